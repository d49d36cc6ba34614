//! Workers on which tasks get on slowly, while they look well otherwise.

mod support;

use {
    egretlb_workflow::{Limits, Step, WorkflowState},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Six workers, one of which takes five times as long.
fn world(seed: u64) -> World {
    let mut world = World::new(seed, 2, 6, Limits::default());
    world.run(2 * SECOND);
    world.workers[2].slowness = 500;
    world
}

fn wide() -> Step {
    step(12, 800)
}

/// A surveyor waits for tasks of 0.8 s, two of which run on a slow worker and would take 4 s there. Their
/// progress tells after a quarter of a second; elsewhere they are done by 1.4 s.
#[test]
fn moved_in_time() {
    for seed in 0..8 {
        let mut world = world(seed);
        let id = world.submit(1, &submission(vec![wide()]));
        let took = world.run_until(6 * SECOND, |world| world.completed(id));
        assert!(took.is_some_and(|took| took < Duration::from_millis(1_500)), "{seed}: {took:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

/// Where a task may run twice its first run goes on, and counts if it is done first after all.
#[test]
fn copied_where_allowed() {
    let mut world = world(9);
    let mut twice = wide();
    twice.speculative = true;
    let id = world.submit(1, &submission(vec![twice]));
    let took = world.run_until(6 * SECOND, |world| world.completed(id));
    assert!(took.is_some_and(|took| took < Duration::from_millis(1_500)), "{took:?}");
}

/// What comes afterwards goes to the others while they have room.
#[test]
fn avoided_afterwards() {
    let mut world = world(10);
    world.submit(1, &submission(vec![wide()]));
    world.run(1_500 * SECOND / 1_000);
    let id = world.submit(2, &submission(vec![step(10, 600)]));
    world.run(Duration::from_millis(100));
    assert!(world.workers[2].running.keys().all(|task| task.workflow != id));
}

/// All workers are slower than the client's estimate by far. Moving helps nobody: each task is moved twice
/// at most and then left alone, and the workflow completes.
#[test]
fn wrong_estimate() {
    let mut world = World::new(11, 2, 4, Limits::default());
    world.run(2 * SECOND);
    for worker in &mut world.workers {
        worker.slowness = 600;
    }
    let id = world.submit(1, &submission(vec![step(8, 500)]));
    assert!(world.run_until(12 * SECOND, |world| world.completed(id)).is_some());
    assert!(world.checker.starts <= 24, "{}", world.checker.starts);
    assert!(matches!(world.state(id), Some(WorkflowState::Ended(_))));
}

/// Tasks of many seconds get on by a percent at a time. One percent where two were due is no sign of a slow
/// worker; were it taken for one, half of the workers would be shunned and tasks be moved for nothing.
#[test]
fn long_tasks_judged_later() {
    for seed in 20..26 {
        let mut world = World::new(seed, 2, 6, Limits::default());
        world.run(2 * SECOND);
        let id = world.submit(1, &submission(vec![step(18, 12_000)]));
        world.run(3 * SECOND);
        let held: Vec<usize> = world.workers.iter().map(|worker| worker.running.len()).collect();
        assert!(held.iter().all(|count| *count == 3), "seed {seed}: {held:?}");
        world.submit(2, &submission(vec![step(12, 500)]));
        world.run(200 * SECOND / 1_000);
        let held: Vec<usize> = world.workers.iter().map(|worker| worker.running.len()).collect();
        assert!(held.iter().all(|count| *count == 5), "seed {seed}: {held:?}");
        assert!(world.run_until(12 * SECOND, |world| world.completed(id)).is_some());
        assert_eq!(world.checker.starts, 30);
    }
}

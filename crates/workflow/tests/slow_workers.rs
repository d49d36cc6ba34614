//! Workers that run tasks slowly while they report healthy.

mod support;

use {
    egretlb_workflow::{Limits, Step, WorkflowState},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Six workers, one of which is five times as slow.
fn world(seed: u64) -> World {
    let mut world = World::new(seed, 2, 6, Limits::default());
    world.run(2 * SECOND);
    world.workers[2].slowness = 500;
    world
}

fn wide_step() -> Step {
    step(12, 800)
}

/// Guards against tasks that stay on a slow worker for 4 s, when moving them ends the workflow within 1.5 s.
#[test]
fn moved_in_time() {
    for seed in 0..8 {
        let mut world = world(seed);
        let id = world.submit(1, &submission(vec![wide_step()]));
        let took = world.run_until(6 * SECOND, |world| world.completed(id));
        assert!(took.is_some_and(|took| took < Duration::from_millis(1_500)), "{seed}: {took:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

/// Guards against stopping the first run of a speculative task, which counts if it ends first.
#[test]
fn copied_where_allowed() {
    let mut world = world(9);
    let mut speculative_step = wide_step();
    speculative_step.speculative = true;
    let id = world.submit(1, &submission(vec![speculative_step]));
    let took = world.run_until(6 * SECOND, |world| world.completed(id));
    assert!(took.is_some_and(|took| took < Duration::from_millis(1_500)), "{took:?}");
}

/// Guards against placing tasks on a worker that is known to be slow while others have free capacity.
#[test]
fn avoided_afterwards() {
    let mut world = world(10);
    world.submit(1, &submission(vec![wide_step()]));
    world.run(1_500 * SECOND / 1_000);
    let id = world.submit(2, &submission(vec![step(10, 600)]));
    world.run(Duration::from_millis(100));
    assert!(world.workers[2].running.keys().all(|task| task.workflow != id));
}

/// Guards against moving tasks without end because the client's estimate is far too low.
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

/// Guards against judging long tasks by a single percent of progress, which would bar healthy workers.
#[test]
fn long_tasks_judged_later() {
    for seed in 20..26 {
        let mut world = World::new(seed, 2, 6, Limits::default());
        world.run(2 * SECOND);
        let id = world.submit(1, &submission(vec![step(18, 12_000)]));
        world.run(3 * SECOND);
        let task_counts: Vec<usize> =
            world.workers.iter().map(|worker| worker.running.len()).collect();
        assert!(task_counts.iter().all(|count| *count == 3), "seed {seed}: {task_counts:?}");
        world.submit(2, &submission(vec![step(12, 500)]));
        world.run(200 * SECOND / 1_000);
        let task_counts: Vec<usize> =
            world.workers.iter().map(|worker| worker.running.len()).collect();
        assert!(task_counts.iter().all(|count| *count == 5), "seed {seed}: {task_counts:?}");
        assert!(world.run_until(12 * SECOND, |world| world.completed(id)).is_some());
        assert_eq!(world.checker.starts, 30);
    }
}

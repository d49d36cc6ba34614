//! Commands that wait at the leader before they are sent.

mod support;

use {
    egretlb_workflow::{Limits, WorkflowState},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// A delayed start of a speculative attempt isn't sent once the task is done.
#[test]
fn copy_of_done() {
    let mut world = World::new(21, 2, 4, Limits::default());
    world.run(2 * SECOND);
    let mut twice = step(4, 1_500);
    twice.speculative = true;
    let id = world.submit(1, &submission(vec![twice]));
    world.run_until(SECOND, |world| world.checker.starts == 4);
    world.command_wait = 3 * SECOND;
    for worker in &mut world.workers {
        worker.stall_runs(1_100);
    }
    assert!(world.run_until(4 * SECOND, |world| world.completed(id)).is_some());
    world.run(4 * SECOND);
    assert_eq!(world.checker.starts, 4);
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Delayed starts of a cancelled workflow aren't sent.
#[test]
fn start_of_cancelled() {
    let mut world = World::new(22, 2, 4, Limits::default());
    world.run(2 * SECOND);
    world.command_wait = 2 * SECOND;
    let id = world.submit(1, &submission(vec![step(4, 500)]));
    world.run(SECOND);
    world.cancel(id);
    world.run(4 * SECOND);
    assert_eq!(world.checker.starts, 0);
    assert!(matches!(world.state(id), Some(WorkflowState::Ended(_))));
}

/// The number of starts under way is bounded, so that none is sent after its lease has lapsed.
#[test]
fn few_under_way() {
    let mut world = World::new(23, 2, 4, Limits::default());
    for _ in 0..40 {
        world.add_worker(8);
    }
    world.run(2 * SECOND);
    world.command_wait = SECOND;
    world.submit(1, &submission(vec![step(300, 100)]));
    world.run(Duration::from_millis(500));
    assert_eq!(world.checker.starts, 0);
    world.run(Duration::from_millis(600));
    assert_eq!(world.checker.starts, 64);
}

/// A leader whose reads lag starts nothing, since it may miss cancellations.
#[test]
fn reads_lag() {
    let mut world = World::new(24, 2, 4, Limits::default());
    world.run(2 * SECOND);
    let leader = world.leader().expect("somebody leads by now");
    let behind = |world: &mut World, behind: bool| {
        world.nodes[leader].scheduler.as_mut().expect("it leads").set_lagging(behind);
    };
    behind(&mut world, true);
    let id = world.submit(1, &submission(vec![step(4, 500)]));
    world.run(SECOND);
    assert_eq!(world.checker.starts, 0);
    behind(&mut world, false);
    assert!(world.run_until(2 * SECOND, |world| world.completed(id)).is_some());
}

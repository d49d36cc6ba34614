//! Runs that the records list at silent or leaving workers, as a successor finds them.

mod support;

use {
    egretlb_workflow::{Limits, Outcome, WorkerState, WorkflowId, WorkflowState},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// A world with a workflow of 20 long tasks under way.
fn world(seed: u64) -> (World, WorkflowId) {
    let mut world = World::new(seed, 3, 4, Limits::default());
    world.run(2 * SECOND);
    let id = world.submit(1, &submission(vec![step(20, 60_000)]));
    world.run(SECOND);
    (world, id)
}

/// The leader is killed and the workflow is cancelled while nobody leads.
fn cancel_between_leaders(world: &mut World, id: WorkflowId) {
    let leader = world.leader().expect("somebody leads by now");
    world.kill(leader);
    world.cancel(id);
    for node in &mut world.nodes {
        node.unreachable.clear();
    }
}

fn assert_stopped(world: &mut World, id: WorkflowId) {
    world.run(4 * SECOND);
    assert!(world.workers.iter().all(|worker| worker.running.is_empty()));
    assert_eq!(world.state(id), Some(WorkflowState::Ended(Outcome::Cancelled)));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// A worker announces that it leaves, so the records list what runs there; then a workflow is cancelled
/// between two leaders. The successor expects the runs that it finds there, and must see all the same that
/// nobody wants them: they would work on, renewed, for as long as the worker stays.
#[test]
fn cancelled_at_leaving() {
    let (mut world, id) = world(41);
    world.workers[0].info.state = WorkerState::Draining;
    world.run(SECOND);
    cancel_between_leaders(&mut world, id);
    assert_stopped(&mut world, id);
}

/// The same with a worker that is silent for three seconds and answers the successor before its leases end.
#[test]
fn cancelled_at_silent() {
    let (mut world, id) = world(42);
    for node in &mut world.nodes {
        node.unreachable = vec![0];
    }
    world.run(Duration::from_millis(3_000));
    cancel_between_leaders(&mut world, id);
    let found = |world: &World| world.leader().is_some();
    assert!(world.run_until(2 * SECOND, found).is_some());
    assert!(!world.workers[0].running.is_empty());
    assert_stopped(&mut world, id);
}

//! Runs on unresponsive or draining workers that a new leader knows from the roster.

mod support;

use {
    egretlb_workflow::{Limits, Outcome, WorkerState, WorkflowId, WorkflowState},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Creates a world in which a workflow of 20 long tasks runs.
fn world(seed: u64) -> (World, WorkflowId) {
    let mut world = World::new(seed, 3, 4, Limits::default());
    world.run(2 * SECOND);
    let id = world.submit(1, &submission(vec![step(20, 60_000)]));
    world.run(SECOND);
    (world, id)
}

/// Kills the leader and cancels the workflow while there is no leader.
fn cancel_between_leaders(world: &mut World, id: WorkflowId) {
    let leader = world.leader().expect("a leader");
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

/// A worker drains, so the roster lists its runs, and their workflow is cancelled between two leaders. The new leader
/// must stop these runs instead of renewing their leases.
#[test]
fn cancelled_on_draining() {
    let (mut world, id) = world(41);
    world.workers[0].info.state = WorkerState::Draining;
    world.run(SECOND);
    cancel_between_leaders(&mut world, id);
    assert_stopped(&mut world, id);
}

/// As above, with a worker that is unreachable for three seconds and answers the new leader before its leases expire.
#[test]
fn cancelled_on_unresponsive() {
    let (mut world, id) = world(42);
    for node in &mut world.nodes {
        node.unreachable = vec![0];
    }
    world.run(Duration::from_millis(3_000));
    cancel_between_leaders(&mut world, id);
    let has_leader = |world: &World| world.leader().is_some();
    assert!(world.run_until(2 * SECOND, has_leader).is_some());
    assert!(!world.workers[0].running.is_empty());
    assert_stopped(&mut world, id);
}

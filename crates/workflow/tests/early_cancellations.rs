//! Workflows that are cancelled before their submission is stored.

mod support;

use {
    egretlb_types::Offset,
    egretlb_workflow::{Key, Limits, Outcome, Record, WorkflowId, WorkflowState},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Longer than an early cancellation is kept.
const KEPT: Duration = Duration::from_secs(62);

const CANCELLED: Option<WorkflowState> = Some(WorkflowState::Ended(Outcome::Cancelled));

fn world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 2, Limits::default());
    world.run(2 * SECOND);
    world
}

fn submit(world: &mut World, id: WorkflowId) {
    world.submit(id.0, &submission(vec![step(2, 300)]));
}

/// Number of ids whose cancellation is the newest record of its key.
fn stored_cancellations(world: &World) -> usize {
    let mut stored = std::collections::BTreeSet::new();
    for (_, Record { key, value }) in world.store.from(Offset(0)) {
        match Key::from_bytes(key) {
            Ok(Key::Cancel(id)) if value.is_empty() => drop(stored.remove(&id)),
            Ok(Key::Cancel(id)) => drop(stored.insert(id)),
            _ => {}
        }
    }
    stored.len()
}

fn known_to_nodes(world: &World) -> Vec<usize> {
    world.nodes.iter().map(|node| node.ledger.early_cancellations().len()).collect()
}

/// Guards against a workflow that runs although its cancellation was stored first, under the same leader and under one that
/// has read only the newest records.
#[test]
fn submitted_later() {
    for restarts in [false, true] {
        let mut world = world(1);
        let id = WorkflowId(7);
        world.cancel(id);
        world.run(SECOND);
        if restarts {
            (0..3).for_each(|node| world.kill(node));
            (0..3).for_each(|node| world.restart(node));
            world.run(3 * SECOND);
        }
        submit(&mut world, id);
        world.run(5 * SECOND);
        assert_eq!(world.state(id), CANCELLED);
        assert_eq!(world.checker.starts, 0, "restarts: {restarts}");
        assert_eq!(known_to_nodes(&world), [0, 0, 0]);
    }
}

/// Guards against cancellations of unknown ids that stay in the store or in a process for ever.
#[test]
fn dropped_when_old() {
    let mut world = world(2);
    for id in 1..=1_000 {
        world.cancel(WorkflowId(id));
    }
    world.run(SECOND);
    assert_eq!(known_to_nodes(&world), [1_000; 3]);
    let leader = world.leader().expect("somebody leads");
    world.kill(leader);
    world.restart(leader);
    world.run(KEPT - 4 * SECOND);
    assert_eq!(stored_cancellations(&world), 1_000);
    world.run(10 * SECOND);
    assert_eq!(stored_cancellations(&world), 0);
    assert_eq!(known_to_nodes(&world), [0; 3]);
    // The id is free again.
    world.checker.cancelled.clear();
    submit(&mut world, WorkflowId(5));
    let done = |world: &World| world.completed(WorkflowId(5));
    assert!(world.run_until(5 * SECOND, done).is_some());
}

/// Guards against dropping the record of a workflow that was cancelled again: the second answer promises as much.
#[test]
fn cancelled_again() {
    let mut world = world(3);
    let id = WorkflowId(7);
    world.cancel(id);
    world.run(KEPT - 4 * SECOND);
    world.cancel(id);
    world.run(10 * SECOND);
    submit(&mut world, id);
    world.run(5 * SECOND);
    assert_eq!((world.state(id), world.checker.starts), (CANCELLED, 0));
}

/// The second cancellation is stored just before the record that drops the first one. Guards against losing both.
#[test]
fn cancelled_while_dropped() {
    let mut world = world(4);
    let id = WorkflowId(7);
    world.cancel(id);
    world.store.before_drop = Some(Record::new(Key::Cancel(id), &true));
    world.run(KEPT);
    assert!(world.store.before_drop.is_none());
    submit(&mut world, id);
    world.run(5 * SECOND);
    assert_eq!((world.state(id), world.checker.starts), (CANCELLED, 0));
}

/// Another writer replaces the record. Guards against forgetting the cancellation, since there is no submission yet.
#[test]
fn record_replaced() {
    let mut world = world(5);
    let id = WorkflowId(7);
    world.cancel(id);
    world.run(SECOND);
    world.overwrite(Key::Cancel(id));
    world.run(SECOND);
    (0..3).for_each(|node| world.kill(node));
    (0..3).for_each(|node| world.restart(node));
    world.run(3 * SECOND);
    submit(&mut world, id);
    world.run(5 * SECOND);
    assert_eq!((world.state(id), world.checker.starts), (CANCELLED, 0));
}

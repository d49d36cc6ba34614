//! Leaders whose authority has lapsed, with no process to take over.

mod support;

use {
    egretlb_workflow::Limits,
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Longer than [`Limits::authority`], but short enough that leases don't expire.
const BEYOND_AUTHORITY: Duration = Duration::from_millis(4_300);

fn world(nodes: usize) -> World {
    let mut world = World::new(1, nodes, 6, Limits::default());
    world.run(2 * SECOND);
    assert!(world.leader().is_some());
    world
}

/// Checks that a workflow is completed within 3 s, so that some node sends commands.
fn assert_completes(world: &mut World, id: u64) {
    let id = world.submit(id, &submission(vec![step(4, 300)]));
    let took = world.run_until(3 * SECOND, |world| world.completed(id));
    assert!(took.is_some(), "nobody starts what clients submit");
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a single leader that sends no heartbeats after a store outage longer than its
/// authority, and so never regains it.
#[test]
fn store_away() {
    let mut world = world(1);
    world.store_down = true;
    world.run(BEYOND_AUTHORITY);
    assert_eq!(world.leader(), None);
    world.store_down = false;
    let took = world.run_until(10 * SECOND, |world| world.leader().is_some());
    assert!(took.is_some_and(|took| took < SECOND / 2), "{took:?}");
    assert_completes(&mut world, 1);
}

/// Guards against a single leader that doesn't recover from a pause longer than its authority.
#[test]
fn frozen_alone() {
    let mut world = world(1);
    world.freeze(0, 6 * SECOND);
    world.run(6 * SECOND);
    let took = world.run_until(10 * SECOND, |world| world.leader().is_some());
    assert!(took.is_some_and(|took| took < SECOND / 2), "{took:?}");
    assert_completes(&mut world, 1);
}

/// Guards against restarted tasks or a needless reconciliation after a store outage shorter than a
/// lease.
#[test]
fn same_term_goes_on() {
    let mut world = world(3);
    let id = world.submit(1, &submission(vec![step(6, 9_000)]));
    world.run(SECOND);
    let (leader, starts) = (world.leader(), world.checker.starts);
    world.store_down = true;
    world.run(BEYOND_AUTHORITY);
    world.store_down = false;
    world.run(SECOND / 2);
    assert_eq!(world.leader(), leader);
    assert!(world.run_until(10 * SECOND, |world| world.completed(id)).is_some());
    assert_eq!(world.checker.starts, starts);
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a leader that never ends its term although the store rejects all its appends.
#[test]
fn appends_refused() {
    for nodes in [1, 3] {
        let mut world = world(nodes);
        let leader = world.leader().expect("somebody leads");
        let term = world.nodes[leader].leadership.term();
        world.store.refused = term;
        world.run(BEYOND_AUTHORITY);
        let took = world.run_until(10 * SECOND, |world| world.leader().is_some());
        assert!(took.is_some_and(|took| took < 4 * SECOND), "{nodes} nodes: {took:?}");
        assert_ne!(world.nodes[leader].leadership.term(), term);
        assert_completes(&mut world, 1);
    }
}

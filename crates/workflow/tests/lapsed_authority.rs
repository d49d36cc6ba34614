//! Leaders whose authority has lapsed, with nobody else to take their place.

mod support;

use {
    egretlb_workflow::Limits,
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Longer than [`Limits::authority`], and so short that the leases of what runs don't lapse.
const BEYOND_AUTHORITY: Duration = Duration::from_millis(4_300);

fn world(nodes: usize) -> World {
    let mut world = World::new(1, nodes, 6, Limits::default());
    world.run(2 * SECOND);
    assert!(world.leader().is_some());
    world
}

/// A client's workflow is taken and done within 3 s: somebody gives orders.
fn serves(world: &mut World, id: u64) {
    let id = world.submit(id, &submission(vec![step(4, 300)]));
    let took = world.run_until(3 * SECOND, |world| world.completed(id));
    assert!(took.is_some(), "nobody starts what clients submit");
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// One VM is left, and the store is away for longer than its authority lasts. The sign of life that it
/// began before gets through in the end, but was sent too long ago to prove anything. Were signs only
/// sent by those that may give orders, this one would never give one again: it takes what clients submit,
/// and all that runs lapses.
#[test]
fn store_away() {
    let mut world = world(1);
    world.store_down = true;
    world.run(BEYOND_AUTHORITY);
    assert_eq!(world.leader(), None);
    world.store_down = false;
    let took = world.run_until(10 * SECOND, |world| world.leader().is_some());
    assert!(took.is_some_and(|took| took < SECOND / 2), "{took:?}");
    serves(&mut world, 1);
}

/// One VM is left, and it is frozen for longer than its authority lasts, with nothing on its way to the
/// store. When it wakes nobody else has claimed.
#[test]
fn frozen_alone() {
    let mut world = world(1);
    world.freeze(0, 6 * SECOND);
    world.run(6 * SECOND);
    let took = world.run_until(10 * SECOND, |world| world.leader().is_some());
    assert!(took.is_some_and(|took| took < SECOND / 2), "{took:?}");
    serves(&mut world, 1);
}

/// The store is away for all, for less than a lease. Nobody can have claimed meanwhile, so the leader
/// goes on with what it knows: its tasks aren't started anew, and there is no survey of all workers to
/// wait for.
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

/// The store answers reads and refuses each append of the term, say because it has missed one of its
/// numbers. A leader that only went on trying would hold its office for ever and do nothing in it; it
/// has to end the term, so that the next one can begin.
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
        serves(&mut world, 1);
    }
}

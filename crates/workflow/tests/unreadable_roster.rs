//! A page of the roster that another writer has replaced.

mod support;

use {
    egretlb_types::Offset,
    egretlb_workflow::{Key, Ledger, Limits},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Replaces the roster's only page, and all processes at once, so that none knows the former page.
fn replace_roster_and_processes(world: &mut World) {
    for node in 0..world.nodes.len() {
        world.kill(node);
    }
    world.overwrite(Key::Roster(0));
    for node in 0..world.nodes.len() {
        world.restart(node);
    }
}

/// Guards against a new leader that takes workers of an unreadable page for workers at which nothing runs.
#[test]
fn silent_worker_of_page() {
    for seed in 0..6 {
        let mut world = World::new(seed, 3, 4, Limits::default());
        world.run(2 * SECOND);
        let id = world.submit(1, &submission(vec![step(12, 6_000)]));
        world.run(SECOND);
        replace_roster_and_processes(&mut world);
        for node in &mut world.nodes {
            node.unreachable = vec![0];
        }
        world.run(3 * SECOND);
        assert!(world.leader().is_some(), "seed {seed}");
        for node in &mut world.nodes {
            node.unreachable.clear();
        }
        assert!(world.run_until(25 * SECOND, |world| world.completed(id)).is_some());
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against the same by the leader after that: the page must stay as it is until nobody needs to wait.
#[test]
fn next_leader_killed() {
    for seed in 0..6 {
        let mut world = World::new(seed, 3, 4, Limits::default());
        world.run(2 * SECOND);
        let id = world.submit(1, &submission(vec![step(12, 7_000)]));
        world.run(SECOND);
        replace_roster_and_processes(&mut world);
        // Without an entry, no new process knows the worker.
        world.workers[0].listed = seed % 2 == 0;
        for node in &mut world.nodes {
            node.unreachable = vec![0];
        }
        assert!(world.run_until(3 * SECOND, |world| world.leader().is_some()).is_some());
        world.run(SECOND);
        let next = world.leader().expect("it has just been elected");
        world.kill(next);
        world.run(2 * SECOND);
        for node in &mut world.nodes {
            node.unreachable.clear();
        }
        assert!(world.run_until(30 * SECOND, |world| world.completed(id)).is_some());
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a page that stays unreadable and delays each later leader.
#[test]
fn page_recorded_again() {
    let mut world = World::new(7, 3, 4, Limits::default());
    world.run(2 * SECOND);
    replace_roster_and_processes(&mut world);
    world.overwrite(Key::Roster(9));
    world.run(12 * SECOND);
    let mut ledger = Ledger::default();
    for (offset, record) in world.store.from(Offset(0)) {
        let _ = ledger.apply(offset, &record.key, &record.value);
    }
    assert!(ledger.unreadable_roster_pages().next().is_none());
    let leader = world.leader().expect("somebody leads by now");
    let id = world.submit(1, &submission(vec![step(40, 1_000)]));
    world.run(100 * Duration::from_millis(1));
    world.kill(leader);
    let took = world.run_until(20 * SECOND, |world| world.completed(id));
    assert!(took.is_some_and(|took| took < 6 * SECOND), "{took:?}");
}

/// Guards against a leader that ends since another writer's page has the highest number, and all pages are full.
#[test]
fn highest_page_number() {
    let mut world = World::new(8, 2, 2, Limits::default());
    world.run(2 * SECOND);
    world.overwrite(Key::Roster(u32::MAX));
    world.run(SECOND);
    for _ in 0..200 {
        world.add_worker(1);
    }
    world.run(4 * SECOND);
    let id = world.submit(1, &submission(vec![step(210, 1_000)]));
    assert!(world.run_until(6 * SECOND, |world| world.completed(id)).is_some());
    assert!(world.workers.iter().filter(|worker| worker.next_end > 1).count() > 150);
}

//! Healthy workers whose directory entries have lapsed.

mod support;

use {
    egretlb_workflow::{Limits, WorkflowId},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

fn world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 4, Limits::default());
    world.run(2 * SECOND);
    world
}

/// Guards against a new leader that gives no tasks to workers whose entries were missing at the
/// takeover.
#[test]
fn back_after_takeover() {
    let mut world = world(31);
    for worker in [0, 1, 2] {
        world.workers[worker].listed = false;
    }
    world.run(SECOND);
    let leader = world.leader().expect("somebody leads by now");
    world.kill(leader);
    world.run(4 * SECOND);
    // One of many reasons to record the roster.
    world.add_worker(1);
    world.run(SECOND);
    for worker in [0, 1, 2] {
        world.workers[worker].listed = true;
    }
    world.run(SECOND);
    let id = world.submit(1, &submission(vec![step(32, 2_000)]));
    let took = world.run_until(20 * SECOND, |world| world.completed(id));
    assert!(took.is_some_and(|took| took < 4 * SECOND), "{took:?}");
}

/// Guards against a new leader that takes a worker without an entry, which refuses connections, for
/// one that has shut down, and starts its tasks twice.
#[test]
fn refusing_and_running() {
    for seed in 0..8 {
        let mut world = world(seed);
        world.submit(1, &submission(vec![step(20, 30_000)]));
        world.run(SECOND);
        let leader = world.leader().expect("somebody leads by now");
        world.workers[0].listed = false;
        world.run(SECOND);
        for node in (0..3).filter(|node| *node != leader) {
            world.nodes[node].refused_by = vec![0];
        }
        world.nodes[leader].reaches_store = false;
        world.run(30 * SECOND);
        assert_ne!(world.leader(), Some(leader));
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against short leases on workers without an entry, which would expire after a lost poll.
#[test]
fn leases_outlast_lost_polls() {
    let mut world = world(33);
    world.submit(1, &submission(vec![step(20, 20_000)]));
    world.run(SECOND);
    world.workers[0].listed = false;
    world.run(SECOND);
    let leader = world.leader().expect("somebody leads by now");
    world.kill(leader);
    world.run(4 * SECOND);
    for node in &mut world.nodes {
        node.unreachable = vec![0];
    }
    world.run(3 * SECOND);
    for node in &mut world.nodes {
        node.unreachable.clear();
    }
    world.run(25 * SECOND);
    assert!(world.completed(WorkflowId(1)));
    assert_eq!(world.checker.starts, 20);
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

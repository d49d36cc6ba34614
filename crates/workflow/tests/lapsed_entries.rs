//! Workers that are well and whose entries in the directory have lapsed.

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

/// Some workers can't write to the directory, so their entries lapse, and the leader is killed. Its successor
/// knows them from the records alone. When the entries are back it must give those workers tasks again; if it
/// took them for workers that are about to leave, their room would stay unused for as long as it leads.
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
    // A worker that goes for good is one reason of many to record the roster.
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

/// A worker's entry lapses, and its network turns new connections away while the worker runs on and the
/// leader, with its open connections, still reaches it. The leader is cut off from the store. Its successor
/// must not take the worker for one that announced its leaving and is gone: it has announced nothing. Its
/// tasks would be started a second time while they run.
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

/// A worker's entry lapses and the leader is killed. Its successor renews the leases there for as long as
/// anywhere else; with the short leases of a worker that leaves, a poll that is lost would end what runs.
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

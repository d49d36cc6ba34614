//! Seeded store and leader faults. A leader must be elected soon after they end, and stay leader.

mod support;

use {
    egretlb_workflow::Limits,
    rand::Rng,
    std::time::Duration,
    support::{step, submission, world::World},
};

const SEEDS: u64 = 200;
const WORKERS: usize = 4;

/// Maximum time from the end of the faults to a leader: 2.5 s until a lost claim is abandoned,
/// 1.2 s without a heartbeat, and up to 0.4 s of takeover delay.
const MAX_ELECTION_TIME: Duration = Duration::from_millis(4_200);

/// How long after the faults delayed appends may arrive. A delayed claim makes its sender leader.
const MAX_APPEND_DELAY: Duration = Duration::from_secs(3);

fn inject_fault(world: &mut World) {
    let node = world.rng.random_range(0..world.nodes.len());
    let leader = world.leader().unwrap_or(node);
    // Up to twice the authority.
    let span = Duration::from_millis(world.rng.random_range(300..8_000));
    match world.rng.random_range(0..10) {
        0 => world.kill(leader),
        1 => world.kill(node),
        2 => world.freeze(leader, span),
        3 => world.freeze(node, span),
        4 => world.nodes[leader].reaches_store = false,
        5 => {
            world.nodes[leader].reaches_store = false;
            world.nodes[leader].calls_hang = true;
        }
        6 => world.store_down = true,
        7 => world.lost_appends = world.rng.random_range(100..700),
        8 => world.late_appends = world.rng.random_range(100..700),
        _ => world.store.refused = world.nodes[leader].leadership.term(),
    }
}

/// Ends all faults. A term whose appends are rejected stays rejected.
fn heal(world: &mut World) {
    world.store_down = false;
    world.lost_appends = 0;
    world.late_appends = 0;
    for node in &mut world.nodes {
        node.reaches_store = true;
        node.calls_hang = false;
        node.frozen_until = world.now;
    }
    if world.nodes.iter().all(|node| !node.up) {
        world.restart(0);
    }
}

/// Runs a seed with one to three nodes and several overlapping faults.
fn run_seed(seed: u64) -> World {
    let mut world = World::new(seed, 1 + usize::try_from(seed % 3).unwrap_or(0), WORKERS, {
        Limits::default()
    });
    world.run(Duration::from_secs(2));
    world.submit(1, &submission(vec![step(4, 30_000)]));
    for _ in 0..world.rng.random_range(1..5) {
        inject_fault(&mut world);
        let pause = world.rng.random_range(50..5_000);
        world.run(Duration::from_millis(pause));
    }
    heal(&mut world);
    world
}

/// Guards against a system that stays without a leader after faults, so that accepted work never
/// starts.
#[test]
fn all_seeds() {
    for seed in 0..SEEDS {
        let mut world = run_seed(seed);
        let elapsed =
            world.run_until(MAX_APPEND_DELAY + MAX_ELECTION_TIME, |world| world.leader().is_some());
        assert!(
            elapsed.is_some_and(|elapsed| elapsed <= MAX_ELECTION_TIME),
            "seed {seed}: {elapsed:?}"
        );
        world.run(MAX_APPEND_DELAY + MAX_ELECTION_TIME);
        let lost = world.run_until(Duration::from_secs(5), |world| world.leader().is_none());
        assert_eq!(lost, None, "seed {seed}: without a leader again");
        let id = world.submit(2, &submission(vec![step(2, 200)]));
        let done = world.run_until(Duration::from_secs(20), |world| world.completed(id));
        assert!(done.is_some(), "seed {seed}: work isn't done");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}

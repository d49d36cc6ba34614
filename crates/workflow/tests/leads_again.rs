//! Seeded days of trouble around the leader and the store. Whatever befell, somebody leads again soon
//! after the store is calm, and goes on leading.

mod support;

use {
    egretlb_workflow::Limits,
    rand::Rng,
    std::time::Duration,
    support::{step, submission, world::World},
};

const SEEDS: u64 = 200;
const WORKERS: usize = 4;

/// From the end of the trouble to a leader: a claim that was lost is given up after 2.5 s, then comes
/// the silence of 1.2 s, and up to 0.4 s by which claims are spread.
const BOUND: Duration = Duration::from_millis(4_200);

/// Appends that were held up arrive until this long after the trouble. A claim among them makes its
/// sender lead in place of whoever does.
const HELD_UP: Duration = Duration::from_secs(3);

fn trouble(world: &mut World) {
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

/// The store is as ever, and all live processes run and reach it. A term that it refuses stays refused.
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

/// Plays a seed: one to three VMs, and some troubles that overlap.
fn play(seed: u64) -> World {
    let mut world = World::new(seed, 1 + usize::try_from(seed % 3).unwrap_or(0), WORKERS, {
        Limits::default()
    });
    world.run(Duration::from_secs(2));
    world.submit(1, &submission(vec![step(4, 30_000)]));
    for _ in 0..world.rng.random_range(1..5) {
        trouble(&mut world);
        let pause = world.rng.random_range(50..5_000);
        world.run(Duration::from_millis(pause));
    }
    heal(&mut world);
    world
}

/// The last leader is killed, frozen, cut off, or its appends are lost, late or refused, while others
/// suffer the same or none are left. A system that then stays without a leader takes clients' work and
/// never starts it.
#[test]
fn all_seeds() {
    for seed in 0..SEEDS {
        let mut world = play(seed);
        let took = world.run_until(HELD_UP + BOUND, |world| world.leader().is_some());
        assert!(took.is_some_and(|took| took <= BOUND), "seed {seed}: {took:?}");
        world.run(HELD_UP + BOUND);
        let lost = world.run_until(Duration::from_secs(5), |world| world.leader().is_none());
        assert_eq!(lost, None, "seed {seed}: without a leader again");
        let id = world.submit(2, &submission(vec![step(2, 200)]));
        let done = world.run_until(Duration::from_secs(20), |world| world.completed(id));
        assert!(done.is_some(), "seed {seed}: work isn't done");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}

//! Time without an owner after an owner dies or shuts down.

mod support;

use {
    egretlb_control::ControlEvent,
    support::{Options, SEC, World},
};

const SEEDS: u64 = 5;

/// The longest time that a shard had no owner, in microseconds.
fn gap(schedulers: usize, seed: u64, end_owner: impl Fn(&mut World)) -> u64 {
    let mut options = Options::new(seed, schedulers);
    options.entries = schedulers;
    let mut world = World::new(options);
    world.run_until(20 * SEC);
    assert_eq!(world.shards_without_owner(), 0);
    let start = world.now;
    end_owner(&mut world);
    world.run_until(start + SEC / 50);
    let took = world.run_while(60 * SEC, |world| world.shards_without_owner() == 0);
    assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
    took.expect("a shard stays without an owner")
}

fn report(name: &str, schedulers: usize, end_owner: impl Fn(&mut World) + Copy) -> u64 {
    let mut gaps: Vec<u64> =
        (1..=SEEDS).map(|seed| gap(schedulers, seed, end_owner) / 1_000).collect();
    gaps.sort();
    println!("{name} schedulers={schedulers} gaps in ms, {gaps:?}");
    gaps[gaps.len() - 1]
}

/// After an owner's death every shard must have a new owner within 10 s.
#[test]
fn after_death() {
    assert!(report("death", 3, |world| world.kill(0)) <= 10_000);
    assert!(report("death", 17, |world| world.kill(0)) <= 10_000);
}

/// After an orderly shutdown every shard must have a new owner within 4 s, without the wait for
/// lease expiry.
#[test]
fn after_shutdown() {
    let shut_down = |world: &mut World| world.step(0, ControlEvent::Shutdown);
    assert!(report("shutdown", 3, shut_down) <= 4_000);
    assert!(report("shutdown", 17, shut_down) <= 4_000);
}

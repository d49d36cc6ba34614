//! A successor reads its predecessor's journal from the low-water mark.

mod support;

use {
    egretlb_control::Role,
    egretlb_log::StreamName,
    egretlb_types::Offset,
    std::time::Duration,
    support::{Fault, Options, SEC, World},
};

/// Expires every journal up to its low-water mark; returns the highest mark.
fn expire_before_marks(world: &mut World) -> u64 {
    let state = world.nodes.iter().find_map(|n| n.control.as_ref()?.state()).unwrap();
    let owners = state.shards().filter_map(|(_, shard)| Some(shard.last_settled()?.0));
    let marks: Vec<_> = owners.map(|node| (node, state.journal_start(node))).collect();
    for (node, mark) in &marks {
        world.log.expire(&StreamName::journal(*node), *mark);
    }
    marks.iter().map(|(_, mark)| mark.0).max().unwrap_or(0)
}

/// A low-water mark that is too high would let the log expire acknowledged entries that a successor
/// still needs.
#[test]
fn low_water_mark_keeps_needed_records() {
    let faults = [
        Fault::Kill,
        Fault::Pause,
        Fault::CutFromLog,
        Fault::CutOff,
        Fault::LogDown,
        Fault::AnswerLost,
        Fault::AppendLate,
    ];
    let mut furthest = 0;
    for seed in 1..=4 {
        let mut options = Options::new(seed, 3);
        options.journal_retention = Duration::from_secs(40);
        let mut world = World::new(options);
        world.run_until(10 * SEC);
        for (round, fault) in faults.iter().cycle().take(14).enumerate() {
            for _ in 0..25 {
                world.run_until(world.now + SEC);
                furthest = furthest.max(expire_before_marks(&mut world));
            }
            world.inject((round + seed as usize) % 3, *fault);
        }
        world.run_until(world.now + 45 * SEC);
        assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
        assert_eq!(world.shards_without_owner(), 0);
    }
    println!("furthest mark={furthest}");
    assert!(furthest > 256, "no mark was made");
}

/// Without a low-water mark a successor would read an hour of its predecessor's journal.
#[test]
fn reads_from_low_water_mark() {
    let mut options = Options::new(9, 3);
    options.journal_retention = Duration::from_secs(600);
    let mut world = World::new(options);
    world.run_until(3_600 * SEC);
    let owner = world.nodes[0].info.node;
    let state = world.nodes[1].control.as_ref().unwrap().state().unwrap().clone();
    let start = state.journal_start(owner);
    let before = world.log.reads;
    world.kill(0);
    world.run_until(world.now + 10 * SEC);
    println!("mark={start} reads in the ten seconds after={}", world.log.reads - before);
    assert!(start > Offset(1_000));
    assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
    assert_eq!(world.shards_without_owner(), 0);
}

/// The low-water mark must not pass records of a released shard that its successor, whose journal
/// calls fail, has yet to read.
#[test]
fn low_water_mark_waits_for_successors() {
    let mut options = Options::new(4, 3);
    options.journal_retention = Duration::from_secs(4);
    let mut world = World::new(options);
    world.run_until(150 * SEC);
    let newcomer = world.add(Role::Scheduler);
    world.nodes[newcomer].journals_cut_until = world.now + 45 * SEC;
    for _ in 0..45 {
        world.run_until(world.now + SEC);
        expire_before_marks(&mut world);
    }
    let waiting = world.nodes[newcomer].control.as_ref().unwrap().shard_counts();
    println!("shards of the newcomer, owned and being taken over: {waiting:?}");
    world.run_until(world.now + 120 * SEC);
    assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
    assert_eq!(world.shards_without_owner(), 0);
}

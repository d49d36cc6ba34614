//! A successor reads its predecessor's journal from the mark on, not from the beginning.

mod support;

use {
    egretlb_control::Role,
    egretlb_log::StreamName,
    egretlb_types::Offset,
    std::time::Duration,
    support::{Fault, Options, SEC, World},
};

/// What lies before the marks is forgotten by the log at once.
fn expire_before_marks(world: &mut World) -> u64 {
    let state = world.nodes.iter().find_map(|n| n.control.as_ref()?.state()).unwrap();
    let owners = state.shards().filter_map(|(_, of)| Some(of.last_settled()?.0));
    let marks: Vec<_> = owners.map(|node| (node, state.journal_start(node))).collect();
    for (node, mark) in &marks {
        world.log.expire(&StreamName::journal(*node), *mark);
    }
    marks.iter().map(|(_, mark)| mark.0).max().unwrap_or(0)
}

/// Owners run for long, and the log forgets all that their marks call needless. Owners die, are
/// cut off, stand still or leave one after the other; nothing acknowledged may be missing, or a
/// mark went too far.
#[test]
fn nothing_needed_is_behind() {
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
        assert_eq!(world.unserved(), 0);
    }
    println!("furthest mark={furthest}");
    assert!(furthest > 256, "no mark was made");
}

/// A node has written for an hour. Its successors read some minutes of its journal.
#[test]
fn an_hour_of_journal() {
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
    assert_eq!(world.unserved(), 0);
}

/// An owner gives shards to a newcomer whose journal calls fail for half a minute. The owner's
/// other shards go on and its mark falls due: it must not move past what the newcomer has yet to
/// read.
#[test]
fn waits_for_successors() {
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
    assert_eq!(world.unserved(), 0);
}

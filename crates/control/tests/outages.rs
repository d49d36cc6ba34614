//! Whole groups of processes lost, cut apart, or without the log for long.

mod support;

use {
    egretlb_control::{Alarm, ConfigVersion, Control, ControlEvent, ControlRecord, Role},
    egretlb_log::StreamName,
    egretlb_types::{Epoch, Offset},
    support::{Options, SEC, World},
};

fn assert_clean(world: &mut World) {
    world.compare_states();
    assert!(world.checker.violations.is_empty(), "{:?}", world.checker.violations);
}

fn control(world: &World, node: usize) -> &Control {
    world.nodes[node].control.as_ref().unwrap()
}

fn epochs(world: &World) -> Vec<Epoch> {
    control(world, 0).state().unwrap().shards().map(|(_, of)| of.epoch()).collect()
}

/// Every VM of the system is replaced at once, as after a power cut. The new processes know
/// nothing. Callers are refused for some seconds; what was acknowledged before is all there, and
/// so is the configuration.
#[test]
fn all_lost_at_once() {
    for schedulers in [3, 9] {
        let mut world = World::new(Options::new(21, schedulers));
        world.run_until(8 * SEC);
        world.propose(1, "first");
        world.run_until(12 * SEC);
        let version = control(&world, 0).in_force().version;
        for node in 0..world.nodes.len() {
            world.kill(node);
            world.restart_at(node, world.now + 2 * SEC);
        }
        world.run_until(world.now + 2 * SEC);
        let took = world.run_while(60 * SEC, |world| world.unserved() == 0);
        println!("schedulers={schedulers} all replaced: owners {took:?} us after the start");
        assert!(took.is_some_and(|took| took < 25 * SEC));
        assert_eq!(control(&world, 0).in_force().version, version);
        assert!(version > ConfigVersion::NONE);
        world.run_until(world.now + 90 * SEC);
        assert_eq!(world.unserved(), 0);
        let members = control(&world, 0).state().unwrap().members().count();
        println!("members after 90 s: {members} of {}", world.nodes.len());
        assert_clean(&mut world);
    }
}

/// The log is down for an hour. No owner may act after three seconds; nobody claims anything, the
/// configuration stays, and when the log is back the same owners go on within seconds.
#[test]
fn log_down_for_an_hour() {
    let mut world = World::new(Options::new(22, 3));
    world.run_until(8 * SEC);
    world.propose(1, "first");
    world.run_until(20 * SEC);
    let before = epochs(&world);
    world.log_down_until = world.now + 3_600 * SEC;
    world.run_until(world.now + 4 * SEC);
    assert_eq!(world.unserved(), 256);
    assert!(control(&world, 0).alarms().any(|alarm| alarm == Alarm::LogOutOfReach));
    world.run_until(world.log_down_until);
    let took = world.run_while(60 * SEC, |world| world.unserved() == 0);
    println!("owners {took:?} us after an hour without the log");
    assert!(took.is_some_and(|took| took < 5 * SEC));
    world.run_until(world.now + 20 * SEC);
    assert_eq!(epochs(&world), before, "a shard changed hands for nothing");
    assert_clean(&mut world);
}

/// A process reaches the log and none of its peers, for ten minutes. The others take its shards
/// over, once; it must not claim theirs in return, or shards would go to and fro all the time.
#[test]
fn cut_from_peers_for_long() {
    let mut world = World::new(Options::new(23, 5));
    world.run_until(20 * SEC);
    let before: u64 = epochs(&world).iter().map(|epoch| epoch.0).sum();
    let owned = control(&world, 0).shard_counts().0 as u64;
    world.nodes[0].peers_cut_until = world.now + 600 * SEC;
    world.run_until(world.now + 590 * SEC);
    let claims = epochs(&world).iter().map(|epoch| epoch.0).sum::<u64>() - before;
    println!("owned by the one cut off={owned} claims in ten minutes={claims}");
    assert_eq!(claims, owned);
    assert_eq!(control(&world, 0).shard_counts().0, 0);
    assert_eq!(world.unserved(), 0);
    world.run_until(world.now + 120 * SEC);
    assert!(control(&world, 0).shard_counts().0 > 0, "it gets shards back");
    assert_clean(&mut world);
}

/// The VM list says that an owner's VM has gone, seconds before its silence would tell.
#[test]
fn vm_list_hint() {
    let mut world = World::new(Options::new(24, 3));
    world.run_until(20 * SEC);
    let addr = world.nodes[0].info.peer_addr.rsplit_once(':').unwrap().0.to_owned();
    world.kill(0);
    for node in [1, 2] {
        world.step(node, ControlEvent::VmGone { addr: addr.as_str().into() });
    }
    let took = world.run_while(30 * SEC, |world| world.unserved() == 0);
    println!("owners {took:?} us after a death that the VM list told");
    assert!(took.is_some_and(|took| took < 5 * SEC));
    assert_clean(&mut world);
}

/// An accepted configuration is in force in every process within three seconds, and both
/// operators of a race are told how it ended.
#[test]
fn configuration_in_time() {
    let mut world = World::new(Options { entries: 9, ..Options::new(25, 9) });
    world.run_until(10 * SEC);
    let mut slowest = 0;
    for _ in 0..20 {
        let ids = [world.propose(0, "one"), world.propose(10, "two")];
        let decided = world.run_while(5 * SEC, |w| ids.iter().any(|id| w.won(*id)));
        assert!(decided.is_some());
        let newest = world.nodes.iter().map(|n| version(n.control.as_ref())).max().unwrap();
        let everywhere = |w: &World| w.nodes.iter().all(|n| version(n.control.as_ref()) == newest);
        let took = world.run_while(5 * SEC, everywhere).expect("not in force everywhere");
        slowest = slowest.max(took);
        world.run_until(world.now + SEC);
        assert!(ids.iter().all(|id| world.checker.decided.contains_key(id)));
        assert_eq!(ids.iter().filter(|id| world.won(**id)).count(), 1);
    }
    println!("in force at 18 processes at the latest {slowest} us after the winner heard");
    assert!(slowest < 3 * SEC);
    assert_clean(&mut world);
}

fn version(control: Option<&Control>) -> ConfigVersion {
    control.unwrap().in_force().version
}

/// All records of the control stream have expired and no snapshot is left. A process that took
/// the empty rest for the whole would claim shards whose owners it doesn't know; it raises an
/// alarm and takes no part.
#[test]
fn nothing_left() {
    let mut world = World::new(Options::new(26, 3));
    world.run_until(20 * SEC);
    let next = control(&world, 0).next();
    world.log.expire(&StreamName::control(), Offset(next.0));
    let node = world.add(Role::Scheduler);
    world.run_until(world.now + 10 * SEC);
    assert!(control(&world, node).alarms().any(|alarm| alarm == Alarm::StateLost));
    assert_eq!(control(&world, node).shard_counts(), (0, 0));
    // The processes that still run write the next snapshot in time, and it lets the new one in.
    let (next, state) = (control(&world, 0).next(), control(&world, 0).state().unwrap().encode());
    let snapshot = ControlRecord::Snapshot { next, state };
    world.log.append(&StreamName::control(), &snapshot.encode());
    world.run_until(world.now + 5 * SEC);
    assert!(control(&world, node).alarms().all(|alarm| alarm != Alarm::StateLost));
    assert_eq!(control(&world, node).state(), control(&world, 0).state());
    assert_clean(&mut world);
}

/// A claimant reads the control stream, is heard by its peers, and can't read or write a journal.
/// Its shards have nobody to act for them. The others see that it doesn't settle, and claim them.
#[test]
fn stuck_claimant() {
    let mut world = World::new(Options::new(27, 3));
    world.run_until(20 * SEC);
    world.nodes[1].journals_cut_until = world.now + 300 * SEC;
    world.kill(0);
    let took = world.run_while(90 * SEC, |world| world.unserved() == 0);
    println!("owners {took:?} us after a death with a stuck claimant");
    assert!(took.is_some_and(|took| took < 60 * SEC));
    assert_clean(&mut world);
}

/// A system of one scheduler and one entry. The entry's VM is gone, and the scheduler is replaced
/// in an orderly way. The new one hears nobody, and there is nobody else to serve the shards.
#[test]
fn alone_with_the_dead() {
    let mut world = World::new(Options::new(28, 1));
    world.run_until(10 * SEC);
    world.kill(1);
    world.step(0, ControlEvent::Shutdown);
    world.run_until(15 * SEC);
    assert!(world.nodes[0].control.is_none());
    world.restart(0);
    let took = world.run_while(60 * SEC, |world| world.unserved() == 0);
    println!("owners {took:?} us after the start of the only scheduler");
    assert!(took.is_some_and(|took| took < 5 * SEC));
    assert_clean(&mut world);
}

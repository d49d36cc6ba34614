//! Loss of whole groups of processes, partitions, and long outages of the log.

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
    control(world, 0).state().unwrap().shards().map(|(_, shard)| shard.epoch()).collect()
}

/// When every process is replaced at once, shards must find owners within 25 s, and acknowledged
/// entries and the configuration must survive.
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
        let took = world.run_while(60 * SEC, |world| world.shards_without_owner() == 0);
        println!("schedulers={schedulers} all replaced: owners {took:?} us after the start");
        assert!(took.is_some_and(|took| took < 25 * SEC));
        assert_eq!(control(&world, 0).in_force().version, version);
        assert!(version > ConfigVersion::NONE);
        world.run_until(world.now + 90 * SEC);
        assert_eq!(world.shards_without_owner(), 0);
        let members = control(&world, 0).state().unwrap().members().count();
        println!("members after 90 s: {members} of {}", world.nodes.len());
        assert_clean(&mut world);
    }
}

/// During an hour without the log no owner may act after its lease expires, and no shard may change
/// its owner when the log recovers.
#[test]
fn log_down_for_an_hour() {
    let mut world = World::new(Options::new(22, 3));
    world.run_until(8 * SEC);
    world.propose(1, "first");
    world.run_until(20 * SEC);
    let before = epochs(&world);
    world.log_down_until = world.now + 3_600 * SEC;
    world.run_until(world.now + 4 * SEC);
    assert_eq!(world.shards_without_owner(), 256);
    assert!(control(&world, 0).alarms().any(|alarm| alarm == Alarm::LogOutOfReach));
    world.run_until(world.log_down_until);
    let took = world.run_while(60 * SEC, |world| world.shards_without_owner() == 0);
    println!("owners {took:?} us after an hour without the log");
    assert!(took.is_some_and(|took| took < 5 * SEC));
    world.run_until(world.now + 20 * SEC);
    assert_eq!(epochs(&world), before, "a shard changed hands for nothing");
    assert_clean(&mut world);
}

/// A process that reaches the log but none of its peers must lose its shards only once, not claim
/// them back in turn.
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
    assert_eq!(world.shards_without_owner(), 0);
    world.run_until(world.now + 120 * SEC);
    assert!(control(&world, 0).shard_counts().0 > 0, "it gets shards back");
    assert_clean(&mut world);
}

/// The VM list shortens a takeover if it reports an owner's VM as gone.
#[test]
fn vm_list_hint() {
    let mut world = World::new(Options::new(24, 3));
    world.run_until(20 * SEC);
    let addr = world.nodes[0].info.peer_addr.rsplit_once(':').unwrap().0.to_owned();
    world.kill(0);
    for node in [1, 2] {
        world.step(node, ControlEvent::VmGone { addr: addr.as_str().into() });
    }
    let took = world.run_while(30 * SEC, |world| world.shards_without_owner() == 0);
    println!("owners {took:?} us after a death that the VM list told");
    assert!(took.is_some_and(|took| took < 5 * SEC));
    assert_clean(&mut world);
}

/// An accepted configuration must be in force everywhere within 3 s, and both of two concurrent
/// proposals must get a result.
#[test]
fn configuration_in_time() {
    let mut world = World::new(Options { entries: 9, ..Options::new(25, 9) });
    world.run_until(10 * SEC);
    let mut slowest = 0;
    for _ in 0..20 {
        let ids = [world.propose(0, "one"), world.propose(10, "two")];
        let decided = world.run_while(5 * SEC, |w| ids.iter().any(|id| w.is_accepted(*id)));
        assert!(decided.is_some());
        let newest = world.nodes.iter().map(|n| version(n.control.as_ref())).max().unwrap();
        let everywhere = |w: &World| w.nodes.iter().all(|n| version(n.control.as_ref()) == newest);
        let took = world.run_while(5 * SEC, everywhere).expect("not in force everywhere");
        slowest = slowest.max(took);
        world.run_until(world.now + SEC);
        assert!(ids.iter().all(|id| world.checker.decided.contains_key(id)));
        assert_eq!(ids.iter().filter(|id| world.is_accepted(**id)).count(), 1);
    }
    println!("in force at 18 processes at the latest {slowest} us after the winner heard");
    assert!(slowest < 3 * SEC);
    assert_clean(&mut world);
}

fn version(control: Option<&Control>) -> ConfigVersion {
    control.unwrap().in_force().version
}

/// A process that finds the control stream expired without a snapshot must raise an alarm and claim
/// nothing.
#[test]
fn expired_without_snapshot() {
    let mut world = World::new(Options::new(26, 3));
    world.run_until(20 * SEC);
    let next = control(&world, 0).next();
    world.log.expire(&StreamName::control(), Offset(next.0));
    let node = world.add(Role::Scheduler);
    world.run_until(world.now + 10 * SEC);
    assert!(control(&world, node).alarms().any(|alarm| alarm == Alarm::StateLost));
    assert_eq!(control(&world, node).shard_counts(), (0, 0));
    // Another process writes the next snapshot, which gives the new one its state.
    let (next, state) = (control(&world, 0).next(), control(&world, 0).state().unwrap().encode());
    let snapshot = ControlRecord::Snapshot { next, state };
    world.log.append(&StreamName::control(), &snapshot.encode());
    world.run_until(world.now + 5 * SEC);
    assert!(control(&world, node).alarms().all(|alarm| alarm != Alarm::StateLost));
    assert_eq!(control(&world, node).state(), control(&world, 0).state());
    assert_clean(&mut world);
}

/// Other processes must claim the shards of a claimant that stays alive but never settles.
#[test]
fn stuck_claimant() {
    let mut world = World::new(Options::new(27, 3));
    world.run_until(20 * SEC);
    world.nodes[1].journals_cut_until = world.now + 300 * SEC;
    world.kill(0);
    let took = world.run_while(90 * SEC, |world| world.shards_without_owner() == 0);
    println!("owners {took:?} us after a death with a stuck claimant");
    assert!(took.is_some_and(|took| took < 60 * SEC));
    assert_clean(&mut world);
}

/// The only scheduler must claim all shards although it receives no heartbeats.
#[test]
fn only_scheduler_claims_alone() {
    let mut world = World::new(Options::new(28, 1));
    world.run_until(10 * SEC);
    world.kill(1);
    world.step(0, ControlEvent::Shutdown);
    world.run_until(15 * SEC);
    assert!(world.nodes[0].control.is_none());
    world.restart(0);
    let took = world.run_while(60 * SEC, |world| world.shards_without_owner() == 0);
    println!("owners {took:?} us after the start of the only scheduler");
    assert!(took.is_some_and(|took| took < 5 * SEC));
    assert_clean(&mut world);
}

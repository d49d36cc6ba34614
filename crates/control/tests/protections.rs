//! Each protection, switched off: the harm it prevents comes about, and the checker notices.

mod support;

use {
    egretlb_control::Protections,
    support::{Fault, Options, SEC, World},
};

/// Runs the script with the protection and without it; what the checker saw without it.
fn without(off: impl Fn(&mut Options), script: impl Fn(&mut World) + Copy) -> Vec<String> {
    let run = |options: Options| {
        let mut world = World::new(options);
        world.run_until(6 * SEC);
        world.propose(1, "first");
        world.run_until(8 * SEC);
        script(&mut world);
        Vec::from_iter(world.checker.violations.iter().cloned())
    };
    let guarded = run(Options::new(3, 3));
    assert!(guarded.is_empty(), "with every protection on: {guarded:?}");
    let mut options = Options::new(3, 3);
    off(&mut options);
    run(options)
}

fn switched_off(change: impl Fn(&mut Protections)) -> impl Fn(&mut Options) {
    move |options| change(&mut options.protections)
}

fn assert_noticed(violations: &[String], harm: &str) {
    println!("noticed: {violations:?}");
    assert!(violations.iter().any(|text| text.contains(harm)), "not noticed: {violations:?}");
}

/// An owner is cut off from its peers and reads the log about once a second. A successor that
/// doesn't wait acts beside it until its next read: a task starts twice.
#[test]
fn no_wait() {
    let script = |world: &mut World| {
        world.inject(0, Fault::CutFromPeers);
        world.run_until(30 * SEC);
    };
    let violations = without(switched_off(|p| p.await_lease_expiry = false), script);
    assert_noticed(&violations, "two owners at once");
}

/// The log's answers reach an owner four seconds late. If it counts its authority from their
/// arrival, it acts on what was true long ago, beside its successor.
#[test]
fn counted_from_arrival() {
    let script = |world: &mut World| {
        world.inject(0, Fault::LateAnswers);
        world.run_until(30 * SEC);
    };
    let violations = without(switched_off(|p| p.lease_from_send = false), script);
    assert_noticed(&violations, "two owners at once");
}

/// A successor says that it has settled before its snapshot is durable, and dies. The next one
/// looks for the shard in a journal that was never begun: a submission that was acknowledged is
/// gone.
#[test]
fn settled_too_soon() {
    let script = |world: &mut World| {
        world.kill(0);
        world.run_while(20 * SEC, |world| world.nodes[1].waits_since.is_some());
        // The journal can't be read or written, while the control stream still is.
        world.nodes[1].journals_cut_until = world.now + 5 * SEC;
        world.run_until(world.now + 5 * SEC);
        world.kill(1);
        world.run_until(world.now + 30 * SEC);
    };
    let violations = without(switched_off(|p| p.snapshot_before_settle = false), script);
    assert_noticed(&violations, "acknowledged entry lost");
}

/// The answer to an append is lost, and the owner appends the record again. A successor that
/// takes both for changes files a claim twice.
#[test]
fn repeats_kept() {
    let script = |world: &mut World| {
        world.inject(0, Fault::AnswerLost);
        world.run_until(world.now + 6 * SEC);
        world.kill(0);
        world.run_until(world.now + 20 * SEC);
    };
    let violations = without(|options| options.dedupe = false, script);
    assert_noticed(&violations, "entry applied twice");
}

/// Two operators change the same version. Without the check of the base both are told that they
/// won, and the change of the first is gone without anyone having decided it.
#[test]
fn any_base() {
    let script = |world: &mut World| {
        world.inject(0, Fault::Operators);
        world.run_until(20 * SEC);
    };
    let violations = without(switched_off(|p| p.base_check = false), script);
    assert_noticed(&violations, "two operators both won");
}

/// A process starts while the log is down, takes the newest version from a peer, and reads the
/// log from its beginning when that is back. Without the rule that versions only go forward it
/// puts one old version after the other in force.
#[test]
fn back_to_old_versions() {
    let script = |world: &mut World| {
        for _ in 0..20 {
            world.propose(1, "next");
            world.run_until(world.now + 2 * SEC);
        }
        let newest = world.nodes[1].control.as_ref().unwrap().in_force().version;
        world.log_down_until = world.now + 10 * SEC;
        world.restart(0);
        world.run_until(world.now + 5 * SEC);
        let adopted = world.nodes[0].control.as_ref().unwrap().in_force().version;
        assert_eq!(adopted, newest, "no configuration from the peers during the outage");
        world.run_until(world.now + 20 * SEC);
    };
    let violations = without(switched_off(|p| p.monotonic_versions = false), script);
    assert_noticed(&violations, "configuration went back");
}

//! With any protection switched off, the checker must detect the resulting violation.

mod support;

use {
    egretlb_control::Protections,
    support::{Fault, Options, SEC, World},
};

/// Runs the script with all protections, then with one off; returns the violations of the second
/// run.
fn without(off: impl Fn(&mut Options), script: impl Fn(&mut World) + Copy) -> Vec<String> {
    let run = |options: Options| {
        let mut world = World::new(options);
        world.run_until(6 * SEC);
        world.propose(1, "first");
        world.run_until(8 * SEC);
        script(&mut world);
        Vec::from_iter(world.checker.violations.iter().cloned())
    };
    let with_all = run(Options::new(3, 3));
    assert!(with_all.is_empty(), "with every protection on: {with_all:?}");
    let mut options = Options::new(3, 3);
    off(&mut options);
    run(options)
}

fn protection_off(change: impl Fn(&mut Protections)) -> impl Fn(&mut Options) {
    move |options| change(&mut options.protections)
}

fn assert_detected(violations: &[String], harm: &str) {
    println!("noticed: {violations:?}");
    assert!(violations.iter().any(|text| text.contains(harm)), "not noticed: {violations:?}");
}

/// A successor that doesn't wait for lease expiry acts beside an owner that is cut off from its
/// peers.
#[test]
fn without_lease_expiry_wait() {
    let script = |world: &mut World| {
        world.inject(0, Fault::CutFromPeers);
        world.run_until(30 * SEC);
    };
    let violations = without(protection_off(|p| p.await_lease_expiry = false), script);
    assert_detected(&violations, "two owners at once");
}

/// An owner that counts its lease from the arrival of late answers acts beside its successor.
#[test]
fn lease_from_arrival() {
    let script = |world: &mut World| {
        world.inject(0, Fault::LateAnswers);
        world.run_until(30 * SEC);
    };
    let violations = without(protection_off(|p| p.lease_from_send = false), script);
    assert_detected(&violations, "two owners at once");
}

/// If a claimant settles before its snapshot is durable and dies, its successor finds no journal
/// and loses acknowledged entries.
#[test]
fn settle_before_snapshot() {
    let script = |world: &mut World| {
        world.kill(0);
        world.run_while(20 * SEC, |world| world.nodes[1].takeover_since.is_some());
        // Its journal can't be read or written, but the control stream can.
        world.nodes[1].journals_cut_until = world.now + 5 * SEC;
        world.run_until(world.now + 5 * SEC);
        world.kill(1);
        world.run_until(world.now + 30 * SEC);
    };
    let violations = without(protection_off(|p| p.snapshot_before_settle = false), script);
    assert_detected(&violations, "acknowledged entry lost");
}

/// A repeated append would apply its entry twice in the successor's state.
#[test]
fn without_dedupe() {
    let script = |world: &mut World| {
        world.inject(0, Fault::AnswerLost);
        world.run_until(world.now + 6 * SEC);
        world.kill(0);
        world.run_until(world.now + 20 * SEC);
    };
    let violations = without(|options| options.dedupe = false, script);
    assert_detected(&violations, "entry applied twice");
}

/// Without the base check, two proposals on the same version are both accepted and one overwrites
/// the other.
#[test]
fn any_base() {
    let script = |world: &mut World| {
        world.inject(0, Fault::Operators);
        world.run_until(20 * SEC);
    };
    let violations = without(protection_off(|p| p.base_check = false), script);
    assert_detected(&violations, "two proposals accepted");
}

/// Without monotonic versions, a process that got the newest version from a peer puts old ones in
/// force while it reads the log.
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
    let violations = without(protection_off(|p| p.monotonic_versions = false), script);
    assert_detected(&violations, "configuration went back");
}

//! Turns each protection off, to show that the checker detects its absence, and on again.

mod support;

use {
    egretlb_tasks::{Limits, Protections},
    std::{collections::HashMap, time::Duration},
    support::{
        Behaviour, Fault, InjectedFault, Step, World, WorldOptions, batch_class, document,
        resources, run_many, run_with_protections, scenario::spec, vms,
    },
};

const ALL_ON: Protections = Protections {
    journal_before_start: true,
    wait_for_lease: true,
    reservation_per_start: true,
    capacity_check: true,
    report_before_grant: true,
    fence_outcomes: true,
    journal_before_ack: true,
    resolve_unconfirmed: true,
    authority: true,
};

fn injected_fault(step: Step, fault: Fault, after: u8) -> InjectedFault {
    InjectedFault { step, fault, after }
}

/// Runs the scenario with the protection off and on, with the faults at several times. Off, at
/// least one run must break an invariant in the expected way; on, none may.
fn detects(unprotected: Protections, variants: &[Vec<InjectedFault>], expected: &str) {
    let run = |i: usize, protections: Protections| {
        run_with_protections(i as u64, &variants[i], protections).violations
    };
    let without = run_many(variants.len(), |i| run(i, unprotected)).concat();
    println!("off: {} violations in {} runs: {:?}", without.len(), variants.len(), without.first());
    assert!(without.iter().any(|text| text.contains(expected)), "not noticed: {without:?}");
    let with = run_many(variants.len(), |i| run(i, ALL_ON)).concat();
    assert_eq!(with, Vec::<String>::new());
}

/// One fault, at the first to the sixth time that the step is taken.
fn at(step: Step, fault: Fault) -> Vec<Vec<InjectedFault>> {
    (0..6).map(|after| vec![injected_fault(step, fault, after)]).collect()
}

// Guards against a start that isn't journalled: a successor would start the task a second time.
#[test]
fn start_waits_for_journal() {
    let unprotected = Protections { journal_before_start: false, ..ALL_ON };
    detects(unprotected, &at(Step::AppendStarting, Fault::KillJobOwner), "after it was done");
}

// Guards against restarting the tasks of an unreachable VM that still runs them.
#[test]
fn lost_vm_waits_for_leases() {
    let unprotected = Protections { wait_for_lease: false, ..ALL_ON };
    detects(unprotected, &at(Step::StartCall, Fault::Lose), "runs on");
}

// Guards against taking an unanswered start for one that never happened.
#[test]
fn unconfirmed_start_is_resolved() {
    let unprotected = Protections { resolve_unconfirmed: false, ..ALL_ON };
    detects(unprotected, &at(Step::StartAnswer, Fault::Lose), "runs on");
}

// Guards against overcommitting a VM.
#[test]
fn capacity_is_checked() {
    let unprotected = Protections { capacity_check: false, ..ALL_ON };
    detects(unprotected, &at(Step::AppendSubmission, Fault::KillJobOwner), "is given");
}

// Guards against a late report of an earlier attempt's end that queues a running task.
#[test]
fn outcome_names_its_attempt() {
    let unprotected = Protections { fence_outcomes: false, ..ALL_ON };
    let mut variants = at(Step::StartMessage, Fault::PauseRackOwner);
    variants.extend(at(Step::AckMessage, Fault::PauseJobOwner));
    variants.extend(at(Step::StartMessage, Fault::DelayLong));
    variants.extend(at(Step::EndedMessage, Fault::Duplicate));
    detects(unprotected, &variants, "runs on");
}

// Guards against losing an accepted job whose owner fails before the submission is journalled.
#[test]
fn submission_waits_for_journal() {
    let unprotected = Protections { journal_before_ack: false, ..ALL_ON };
    detects(
        unprotected,
        &at(Step::AppendSubmission, Fault::CutJobOwnerFromLog),
        "was accepted and isn't over",
    );
}

// Guards against an owner past its authority that accepts a job unknown to its successor.
#[test]
fn acknowledgement_needs_authority() {
    let unprotected = Protections { authority: false, ..ALL_ON };
    detects(
        unprotected,
        &at(Step::AppendSubmission, Fault::PauseJobOwner),
        "was accepted and isn't over",
    );
}

// Guards against a start message that arrives after its attempt was given up and restarted
// elsewhere.
#[test]
fn late_start_finds_no_reservation() {
    let unprotected = Protections { reservation_per_start: false, ..ALL_ON };
    let variant = |i: u8| {
        let late = injected_fault(Step::StartMessage, Fault::DelayHalfAMinute, i / 6);
        vec![late, injected_fault(Step::StartCall, Fault::VmCut, i % 6)]
    };
    let variants: Vec<Vec<InjectedFault>> = (0..36).map(variant).collect();
    detects(unprotected, &variants, "after it was done");
}

fn full_world(protections: Protections) -> World {
    let class = batch_class("night", resources(1.0, 1.0, 0), Duration::from_secs(60), true);
    let night = Behaviour { work: Duration::from_secs(60), ..Behaviour::default() };
    World::new(WorldOptions {
        seed: 5,
        nodes: 4,
        vms: vms(6, 2, resources(3.0, 8.0, 0)),
        document: document(vec![class]),
        classes: HashMap::from([("night".parse().unwrap(), night)]),
        limits: Limits { lease: Duration::from_secs(20), ..WorldOptions::quick_limits() },
        protections,
        faults: Vec::new(),
        learning: true,
    })
}

// Guards against a new owner that overcommits VMs before it knows what they run.
#[test]
fn successor_waits_for_report() {
    for (on, expected) in [(false, true), (true, false)] {
        let mut world = full_world(Protections { report_before_grant: on, ..ALL_ON });
        world.run(Duration::from_secs(3));
        world.submit(spec("titles", 18));
        world.submit(spec("recalls", 18));
        world.run(Duration::from_secs(5));
        world.delay_reports(Duration::from_secs(20));
        world.kill_rack_owner("rack0");
        world.run(Duration::from_secs(200));
        world.finish();
        let violations = &world.checker.violations;
        assert_eq!(violations.iter().any(|text| text.contains("is given")), expected);
        assert!(expected || violations.is_empty(), "{violations:?}");
    }
}

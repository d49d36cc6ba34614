//! Each protection switched off, to show that the checker notices, and on again in the same run.

mod support;

use {
    egretlb_tasks::{Limits, Protections},
    std::{collections::HashMap, time::Duration},
    support::{
        Behaviour, Cell, Fault, Step, World, WorldOptions, batch_class, document, resources,
        run_cells_with, run_many, scenario::spec, vms,
    },
};

const ON: Protections = Protections {
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

fn cell(step: Step, fault: Fault, after: u8) -> Cell {
    Cell { step, fault, after }
}

/// Runs the scenario with the protection off and on, with the faults at several moments. With it
/// off at least one of the runs must break an invariant in the expected way; with it on, none.
fn shows(off: Protections, variants: &[Vec<Cell>], expected: &str) {
    let run = |i: usize, protections: Protections| {
        run_cells_with(i as u64, &variants[i], protections).violations
    };
    let without = run_many(variants.len(), |i| run(i, off)).concat();
    println!("off: {} violations in {} runs: {:?}", without.len(), variants.len(), without.first());
    assert!(without.iter().any(|text| text.contains(expected)), "not noticed: {without:?}");
    let with = run_many(variants.len(), |i| run(i, ON)).concat();
    assert_eq!(with, Vec::<String>::new());
}

/// One fault at a step, the first to the sixth time that the step is taken.
fn at(step: Step, fault: Fault) -> Vec<Vec<Cell>> {
    (0..6).map(|after| vec![cell(step, fault, after)]).collect()
}

// The owner of a job dies after it asked for a start and before the journal has it. Its successor
// reads nothing of the attempt and starts the task again; a batch runs twice.
#[test]
fn start_waits_for_journal() {
    let off = Protections { journal_before_start: false, ..ON };
    shows(off, &at(Step::AppendStarting, Fault::KillJobOwner), "after it was done");
}

// A start's request is lost and its VM counts as lost at once. The VM runs the task after all,
// while a second attempt starts elsewhere.
#[test]
fn lost_vm_is_outwaited() {
    let off = Protections { wait_for_lease: false, ..ON };
    shows(off, &at(Step::StartCall, Fault::Lose), "runs on");
}

// A start's answer is lost and the start is taken for one that never happened.
#[test]
fn doubt_is_resolved() {
    let off = Protections { resolve_unconfirmed: false, ..ON };
    shows(off, &at(Step::StartAnswer, Fault::Lose), "runs on");
}

// The room of a VM isn't checked; its tasks are slowed down or killed for want of memory.
#[test]
fn room_is_checked() {
    let off = Protections { capacity_check: false, ..ON };
    shows(off, &at(Step::AppendSubmission, Fault::KillJobOwner), "is given");
}

// The end of an earlier attempt is told again, late, while the next attempt runs. Taken for the
// end of that one, it queues a task that runs.
#[test]
fn outcome_names_its_attempt() {
    let off = Protections { fence_outcomes: false, ..ON };
    let mut variants = at(Step::StartMessage, Fault::PauseRackOwner);
    variants.extend(at(Step::AckMessage, Fault::PauseJobOwner));
    variants.extend(at(Step::StartMessage, Fault::DelayLong));
    variants.extend(at(Step::EndedMessage, Fault::Duplicate));
    shows(off, &variants, "runs on");
}

// A submission is acknowledged before it is in the journal, and its owner is cut off. The caller
// believes that the job is safe, and nobody knows of it any more.
#[test]
fn submission_waits_for_journal() {
    let off = Protections { journal_before_ack: false, ..ON };
    shows(
        off,
        &at(Step::AppendSubmission, Fault::CutJobOwnerFromLog),
        "was accepted and isn't over",
    );
}

// The owner of a job is paused past its authority, wakes, and acknowledges a submission that its
// successor never read.
#[test]
fn acknowledgement_needs_authority() {
    let off = Protections { authority: false, ..ON };
    shows(off, &at(Step::AppendSubmission, Fault::PauseJobOwner), "was accepted and isn't over");
}

// A start message is held up for half a minute. Meanwhile its VM was cut off, the attempt was
// given up, its task repeated elsewhere, and the VM has come back. The old message arrives.
#[test]
fn late_start_finds_no_reservation() {
    let off = Protections { reservation_per_start: false, ..ON };
    let variant = |i: u8| {
        let late = cell(Step::StartMessage, Fault::DelayHalfAMinute, i / 6);
        vec![late, cell(Step::StartCall, Fault::VmCut, i % 6)]
    };
    let variants: Vec<Vec<Cell>> = (0..36).map(variant).collect();
    shows(off, &variants, "after it was done");
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
        cells: Vec::new(),
        learning: true,
    })
}

// The owner of some racks dies while their VMs are full and more work waits. Its successor knows
// of nothing on the VMs yet; granting room at once would put twice the work on them.
#[test]
fn successor_waits_for_report() {
    for (on, expected) in [(false, true), (true, false)] {
        let mut world = full_world(Protections { report_before_grant: on, ..ON });
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

//! Each protection is needed: without it the checker finds a violation.

mod support;

use {
    egretlb_requests::Protections,
    support::{
        faults::{Fault, Kind, Step},
        matrix::{CellPlan, run_all},
    },
};

const SEEDS: [u64; 4] = [11, 1_011, 2_011, 3_011];

/// Runs the cells with some protection disabled, and returns the first violation that contains
/// `text_part`.
fn first_violation(
    disable: impl Fn(&mut Protections),
    cells: &[CellPlan],
    text_part: &str,
) -> Option<String> {
    let mut protections = Protections::default();
    disable(&mut protections);
    SEEDS.iter().find_map(|seed| {
        let cells = run_all(cells, protections, *seed);
        cells.into_iter().flat_map(|cell| cell.violations).find(|text| text.contains(text_part))
    })
}

fn cells(kinds: &[Kind], faults: &[Fault]) -> Vec<CellPlan> {
    let mut cells = Vec::new();
    for kind in kinds {
        for fault in faults {
            for step in Step::ALL.iter().filter(|step| step.applies(*kind)) {
                cells.push((*kind, vec![(*step, *fault)]));
            }
        }
    }
    cells
}

/// A retry after a server died runs a non-idempotent request twice.
#[test]
fn retry_runs_a_request_twice() {
    let cells = cells(&[Kind::Plain], &[Fault::ServerKilled, Fault::AnswerTruncated]);
    let violation = first_violation(|p| p.at_most_once = false, &cells, "ran 2 times");
    assert!(violation.is_some());
}

/// A broken exchange is reported as not run, although the request ran.
#[test]
fn broken_exchange_is_reported_as_not_run() {
    let cells = cells(&[Kind::Plain], &[Fault::ServerKilled, Fault::AnswerTruncated]);
    let violation = first_violation(|p| p.truthful_ran = false, &cells, "said not to have run");
    assert!(violation.is_some());
}

/// A truncated answer is forwarded as complete.
#[test]
fn truncated_answer_is_forwarded() {
    let cells = cells(&[Kind::Idempotent], &[Fault::AnswerTruncated]);
    let violation = first_violation(
        |p| p.reject_truncated_answers = false,
        &cells,
        "truncated answer as whole",
    );
    assert!(violation.is_some());
}

/// A late answer goes to another caller.
#[test]
fn a_late_answer_goes_to_another() {
    let cells = cells(Kind::ALL, &[Fault::AnswerLate]);
    let violation = first_violation(|p| p.match_answers = false, &cells, "got the answer of");
    assert!(violation.is_some());
}

/// A permit that isn't in the log is granted again by the next owner, so the request runs twice.
#[test]
fn a_permit_ahead_of_the_log_is_forgotten() {
    let faults = [Fault::KeyOwnerKilled, Fault::KeyOwnerPaused, Fault::LogDown];
    let mut cells = cells(&[Kind::Keyed], &faults);
    // The caller tries again only if it gets no answer.
    for (_, faults) in &mut cells {
        faults.push((Step::Running, Fault::AnswerLost));
    }
    let violation = first_violation(|p| p.journal_intent = false, &cells, "ran 2 times");
    assert!(violation.is_some());
}

/// A key in doubt is treated as free, so the request runs twice.
#[test]
fn a_key_in_doubt_is_run_again() {
    let cells = cells(&[Kind::Keyed], &[Fault::EntryKilled, Fault::AnswerLost]);
    let violation = first_violation(|p| p.keep_in_doubt = false, &cells, "ran 2 times");
    assert!(violation.is_some());
}

/// Shares are used after their lease, so a server gets more requests than it has slots.
#[test]
fn shares_are_used_after_their_lease() {
    let cells = cells(&Kind::ALL[..2], &[Fault::AsksLost, Fault::EntryPaused]);
    let violation = first_violation(|p| p.expire_shares = false, &cells, "requests at once");
    assert!(violation.is_some());
}

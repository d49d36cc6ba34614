//! What each protection prevents: with it switched off, the checker notices.

mod support;

use {
    egretlb_requests::Protections,
    support::{
        faults::{Fault, Kind, Step},
        matrix::{CellPlan, run_all},
    },
};

const SEEDS: [u64; 4] = [11, 1_011, 2_011, 3_011];

/// Runs the cells with some protection off, and returns the first violation that names `word`.
fn noticed(off: impl Fn(&mut Protections), cells: &[CellPlan], word: &str) -> Option<String> {
    let mut protections = Protections::default();
    off(&mut protections);
    SEEDS.iter().find_map(|seed| {
        let cells = run_all(cells, protections, *seed);
        cells.into_iter().flat_map(|cell| cell.violations).find(|text| text.contains(word))
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

/// A worker dies in the middle of a filing and the entry sends it to another: a user finds it
/// filed twice.
#[test]
fn sending_again_doubles_a_filing() {
    let cells = cells(&[Kind::Plain], &[Fault::ServerKilled, Fault::AnswerTruncated]);
    let seen = noticed(|p| p.at_most_once = false, &cells, "ran 2 times");
    assert!(seen.is_some());
}

/// An exchange breaks after the request was sent, and the user is told that it didn't run: it
/// sends the filing again, which then stands twice.
#[test]
fn a_broken_exchange_is_called_not_run() {
    let cells = cells(&[Kind::Plain], &[Fault::ServerKilled, Fault::AnswerTruncated]);
    let seen = noticed(|p| p.truthful_ran = false, &cells, "said not to have run");
    assert!(seen.is_some());
}

/// A worker dies while it writes its answer: the user sees half a document that looks whole.
#[test]
fn half_an_answer_is_passed_on() {
    let cells = cells(&[Kind::Idempotent], &[Fault::AnswerTruncated]);
    let seen = noticed(|p| p.reject_truncated_answers = false, &cells, "truncated answer as whole");
    assert!(seen.is_some());
}

/// An answer comes after its caller was told that it timed out: another caller of the same server
/// gets it, and with it somebody else's data.
#[test]
fn a_late_answer_goes_to_another() {
    let cells = cells(Kind::ALL, &[Fault::AnswerLate]);
    let seen = noticed(|p| p.match_answers = false, &cells, "got the answer of");
    assert!(seen.is_some());
}

/// The key's owner dies after it gave a permit that isn't in the log: its successor gives the same
/// key to the caller's next try, and the notice goes out twice.
#[test]
fn a_permit_ahead_of_the_log_is_forgotten() {
    let faults = [Fault::KeyOwnerKilled, Fault::KeyOwnerPaused, Fault::LogDown];
    let mut cells = cells(&[Kind::Keyed], &faults);
    // The caller asks again only if it doesn't get its answer.
    for (_, faults) in &mut cells {
        faults.push((Step::Running, Fault::AnswerLost));
    }
    let seen = noticed(|p| p.journal_intent = false, &cells, "ran 2 times");
    assert!(seen.is_some());
}

/// The entry dies with a filing under way, and nobody can tell whether it ran: taken as free, the
/// caller's next try runs it a second time.
#[test]
fn a_key_in_doubt_is_run_again() {
    let cells = cells(&[Kind::Keyed], &[Fault::EntryKilled, Fault::AnswerLost]);
    let seen = noticed(|p| p.keep_in_doubt = false, &cells, "ran 2 times");
    assert!(seen.is_some());
}

/// An entry that can't reach the grantor goes on sending under a share that has been given to
/// another entry: a worker gets more than it has slots for, and everything on it slows down.
#[test]
fn shares_are_used_after_their_lease() {
    let cells = cells(&Kind::ALL[..2], &[Fault::AsksLost, Fault::EntryPaused]);
    let seen = noticed(|p| p.expire_shares = false, &cells, "requests at once");
    assert!(seen.is_some());
}

//! Requests: at most one run, correctly reported outcomes, and the right answer for each caller.

use {
    crate::{
        checker::{Answer, CallerRecord, Violation},
        worker::{WorkerEvent, WorkerEventKind},
    },
    compact_str::CompactString,
    egretlb_types::Ran,
    std::collections::{BTreeMap, BTreeSet},
};

/// Number of starts and completions of a request.
#[derive(Clone, Copy, Default)]
struct RunCounts {
    began: u32,
    done: u32,
}

/// Checks the callers' answers against the runs.
pub(super) fn check(
    worker_events: &[&WorkerEvent],
    caller_records: &[CallerRecord],
    violations: &mut Vec<Violation>,
) {
    let mut runs: BTreeMap<&CompactString, RunCounts> = BTreeMap::new();
    for event in worker_events {
        match &event.kind {
            WorkerEventKind::RequestBegan { id, .. } => runs.entry(id).or_default().began += 1,
            WorkerEventKind::RequestDone { id } => runs.entry(id).or_default().done += 1,
            _ => {}
        }
    }
    let mut repeated = BTreeSet::new();
    for record in caller_records {
        let runs_of_request = runs.get(&record.id).copied().unwrap_or_default();
        if !record.idempotent && runs_of_request.began > 1 {
            repeated.insert(&record.id);
        }
        violations.extend(misreported_outcome(record, runs_of_request));
    }
    violations.extend(repeated.into_iter().map(|id| Violation::RanTwice { id: id.clone() }));
}

fn misreported_outcome(record: &CallerRecord, runs_of_request: RunCounts) -> Option<Violation> {
    let id = record.id.clone();
    match &record.answer {
        Answer::Whole(served) if served.id != id || served.hash != record.hash => {
            Some(Violation::WrongAnswer { id })
        }
        Answer::Whole(_) | Answer::Error(Ran::Yes) if runs_of_request.done == 0 => {
            Some(Violation::DidNotRun { id })
        }
        Answer::Error(Ran::No) if runs_of_request.began > 0 => Some(Violation::RanAfterAll { id }),
        _ => None,
    }
}

//! Requests: at most once, truthful refusals, each caller its own whole answer.

use {
    crate::{
        checker::{Answer, Told, Violation},
        worker::{Happening, What},
    },
    compact_str::CompactString,
    egretlb_types::Ran,
    std::collections::{BTreeMap, BTreeSet},
};

/// How often a request began and ended.
#[derive(Clone, Copy, Default)]
struct Runs {
    began: u32,
    done: u32,
}

/// Checks what callers were told against what ran.
pub(super) fn check(happenings: &[&Happening], told: &[Told], found: &mut Vec<Violation>) {
    let mut runs: BTreeMap<&CompactString, Runs> = BTreeMap::new();
    for h in happenings {
        match &h.what {
            What::RequestBegan { id, .. } => runs.entry(id).or_default().began += 1,
            What::RequestDone { id } => runs.entry(id).or_default().done += 1,
            _ => {}
        }
    }
    let mut twice = BTreeSet::new();
    for told in told {
        let ran = runs.get(&told.id).copied().unwrap_or_default();
        if !told.idempotent && ran.began > 1 {
            twice.insert(&told.id);
        }
        found.extend(untruth(told, ran));
    }
    found.extend(twice.into_iter().map(|id| Violation::RanTwice { id: id.clone() }));
}

fn untruth(told: &Told, ran: Runs) -> Option<Violation> {
    let id = told.id.clone();
    match &told.answer {
        Answer::Whole(served) if served.id != id || served.hash != told.hash => {
            Some(Violation::WrongAnswer { id })
        }
        Answer::Whole(_) | Answer::Error(Ran::Yes) if ran.done == 0 => {
            Some(Violation::DidNotRun { id })
        }
        Answer::Error(Ran::No) if ran.began > 0 => Some(Violation::RanAfterAll { id }),
        _ => None,
    }
}

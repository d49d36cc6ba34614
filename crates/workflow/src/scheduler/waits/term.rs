//! Lines on what a new leader holds back for workers that haven't answered it.

use {
    super::{super::Scheduler, Joined, MOST_NAMED, ms},
    crate::WorkerId,
    egretlb_types::Time,
    smallvec::SmallVec,
    std::time::Duration,
};

/// Workers that are well answer within some 30 ms of a term's beginning; what is held for longer than
/// this is worth a line.
const TOLD_AFTER: Duration = Duration::from_millis(300);

/// What is held back since the term began.
#[derive(Debug, Default)]
pub(super) struct TermHold {
    began: Option<Time>,
    /// The workers that were named; none before.
    named: Option<SmallVec<[WorkerId; MOST_NAMED]>>,
}

impl Scheduler {
    pub(super) fn tell_term_hold(&mut self, now: Time) {
        if self.unreconciled.is_empty() {
            self.tell_release(now);
            return;
        }
        let began = *self.waits.term.began.get_or_insert(now);
        if self.waits.term.named.is_some() || now.since(began) < TOLD_AFTER {
            return;
        }
        let named: SmallVec<[WorkerId; MOST_NAMED]> =
            self.unreconciled.keys().take(MOST_NAMED).cloned().collect();
        let until = self.unreconciled.values().max().map_or(Duration::ZERO, |at| at.since(now));
        let held_ms = ms(now.since(began));
        let unanswered = self.unreconciled.len();
        let workers = Joined(&named);
        log::info!(
            epoch:% = self.epoch, held_ms, unanswered, workers:%, at_most_ms = ms(until);
            "inherited_work_held"
        );
        self.waits.term.named = Some(named);
    }

    fn tell_release(&mut self, now: Time) {
        let Some(began) = self.waits.term.began.take() else { return };
        let Some(named) = self.waits.term.named.take() else { return };
        let silent = |id: &WorkerId| self.workers.get(id).is_none_or(|worker| !worker.reconciled);
        let silent: SmallVec<[WorkerId; MOST_NAMED]> =
            named.into_iter().filter(|id| silent(id)).collect();
        let held_ms = ms(now.since(began));
        let unanswered = Joined(&silent);
        log::info!(epoch:% = self.epoch, held_ms, unanswered:%; "inherited_work_released");
    }
}

//! Log lines on the hold of a new leader: it doesn't start inherited tasks before all workers of its
//! predecessor have listed their runs and ends or the runs there must have lapsed.

use {
    super::{super::Scheduler, Joined, MAX_NAMED, ms},
    crate::WorkerId,
    egretlb_types::Time,
    smallvec::SmallVec,
    std::time::Duration,
};

/// Minimum duration of a hold that is logged; healthy workers answer within some 30 ms of the beginning of a
/// term.
const MIN_LOGGED_HOLD: Duration = Duration::from_millis(300);

/// The hold on inherited tasks since the term began.
#[derive(Debug, Default)]
pub(super) struct InheritedHold {
    began: Option<Time>,
    /// The workers named in the log line; `None` before it.
    named: Option<SmallVec<[WorkerId; MAX_NAMED]>>,
}

impl Scheduler {
    pub(super) fn log_inherited_hold(&mut self, now: Time) {
        if self.unreconciled.is_empty() {
            self.log_release(now);
            return;
        }
        let began = *self.waits.inherited_hold.began.get_or_insert(now);
        if self.waits.inherited_hold.named.is_some() || now.since(began) < MIN_LOGGED_HOLD {
            return;
        }
        let named: SmallVec<[WorkerId; MAX_NAMED]> =
            self.unreconciled.keys().take(MAX_NAMED).cloned().collect();
        let until = self.unreconciled.iter().map(|(id, until)| self.reconciled_by(id, *until));
        let until = until.max().map_or(Duration::ZERO, |at| at.since(now));
        let held_ms = ms(now.since(began));
        let listed_in_part = |id: &&WorkerId| {
            self.workers.get(*id).is_some_and(|worker| worker.hides_inherited_ends())
        };
        let in_part = self.unreconciled.keys().filter(listed_in_part).count();
        let unanswered = self.unreconciled.len() - in_part;
        let workers = Joined(&named);
        log::info!(
            epoch:% = self.epoch, held_ms, unanswered, in_part, workers:%, at_most_ms = ms(until);
            "inherited_work_held"
        );
        self.waits.inherited_hold.named = Some(named);
    }

    fn log_release(&mut self, now: Time) {
        let Some(began) = self.waits.inherited_hold.began.take() else { return };
        let Some(named) = self.waits.inherited_hold.named.take() else { return };
        let unreconciled =
            |id: &WorkerId| self.workers.get(id).is_none_or(|worker| !worker.all_runs_known());
        let unreconciled: SmallVec<[WorkerId; MAX_NAMED]> =
            named.into_iter().filter(|id| unreconciled(id)).collect();
        let held_ms = ms(now.since(began));
        let unanswered = Joined(&unreconciled);
        log::info!(epoch:% = self.epoch, held_ms, unanswered:%; "inherited_work_released");
    }
}

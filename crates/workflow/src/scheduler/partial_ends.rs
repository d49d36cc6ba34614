//! Lists of ends that a worker returns in several replies.
//!
//! A reply holds a limited number of ends. The others follow once those are recorded and acknowledged. Until then a run
//! that isn't listed may have ended in any way. A new leader doesn't know what its predecessors started at the worker, so
//! any inherited task may be done there and isn't started until the last end is listed.
//!
//! Leases are renewed meanwhile, since the runs in progress are listed in full. A worker that doesn't get to the end of its
//! list gets no starts and no renewals: its runs count as lapsed once their leases have expired.

use {
    super::{Attempt, PollReply, Scheduler, Worker},
    crate::{Step, WorkerId},
    compact_str::CompactString,
    egretlb_types::Time,
    std::time::Duration,
};

/// How long a worker may list nothing but acknowledged ends: some dozen polls.
const MAX_REPEATED_FOR: Duration = Duration::from_secs(2);

/// Maximum number of full replies until all ends of runs of earlier leaders are listed: 100,000 ends. A worker runs some
/// thousand tasks at a time, and without a leader none is started.
const MAX_INHERITED_REPLIES: u32 = 200;

/// A list of ends of which the last reply may show only a part.
#[derive(Debug, Default)]
pub(super) struct PartialEnds {
    /// Number of full replies in a row with new ends.
    full_replies: u32,
    /// Number of the last end that was listed.
    last_listed: u64,
    /// Since when each reply has listed only ends that were acknowledged before.
    repeated_since: Option<Time>,
    /// The remaining ends may be those of runs that only earlier leaders know.
    hides_inherited: bool,
}

impl PartialEnds {
    /// Updates the state after a full reply to a poll that acknowledged the ends up to `acknowledged`.
    fn update(&mut self, now: Time, last_end: u64, acknowledged: u64) {
        self.full_replies += u32::from(last_end > self.last_listed);
        self.last_listed = self.last_listed.max(last_end);
        let repeated = last_end <= acknowledged;
        self.repeated_since = repeated.then(|| self.repeated_since.unwrap_or(now));
    }

    /// Whether the worker won't get to the end of its list.
    fn is_stuck(&self, now: Time) -> bool {
        let repeats = self.repeated_since.is_some_and(|at| now.since(at) >= MAX_REPEATED_FOR);
        repeats || (self.hides_inherited && self.full_replies > MAX_INHERITED_REPLIES)
    }
}

impl Attempt {
    /// Whether this leader knew the run before it ended: it started the run or found it listed.
    pub(super) fn is_known_to_run(&self) -> bool {
        self.listed || self.start_deadline_ms.is_some()
    }
}

impl Worker {
    /// Updates which ends are missing after a reply. `unreconciled` tells whether earlier leaders may have started unknown
    /// runs there.
    fn note_listed_ends(&mut self, now: Time, reply: &PollReply, unreconciled: bool) {
        if !reply.is_full() {
            self.partial_ends = None;
            return;
        }
        let partial = self.partial_ends.get_or_insert_default();
        partial.update(now, reply.last_end(), self.poll_cursor);
        partial.hides_inherited = unreconciled;
    }

    /// Whether the rest of its ends may be those of runs that only earlier leaders know.
    pub(super) fn hides_inherited_ends(&self) -> bool {
        self.partial_ends.as_ref().is_some_and(|partial| partial.hides_inherited)
    }

    /// Whether the last reply may have shown only a part of its ends.
    pub(super) fn lists_ends_in_part(&self) -> bool {
        self.partial_ends.is_some()
    }

    /// Whether it doesn't get to the end of its list of ends, so that its leases aren't renewed.
    pub(super) fn withholds_ends(&self, now: Time) -> bool {
        self.partial_ends.as_ref().is_some_and(|partial| partial.is_stuck(now))
    }

    /// Whether all runs that any leader has started there are known, or their ends.
    pub(super) fn all_runs_known(&self) -> bool {
        self.reconciled && !self.hides_inherited_ends()
    }

    /// Whether an end that it hasn't listed yet may be that of a task of this step. The workers of a step are those of its
    /// service that have its label.
    fn may_hide_end_of(&self, service: &CompactString, step: &Step) -> bool {
        let excluded = self.info.service != *service
            || step.label.as_ref().is_some_and(|label| !self.info.has_label(label));
        !(self.entry_read && excluded)
    }
}

impl Scheduler {
    /// Notes which ends of a worker are missing after a reply. Must precede the processing of its ends.
    pub(super) fn note_listed_ends(&mut self, now: Time, id: &WorkerId, reply: &PollReply) {
        let unreconciled = self.unreconciled.contains_key(id);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let was_partial = worker.lists_ends_in_part();
        worker.note_listed_ends(now, reply, unreconciled);
        // Ends are listed in order, and those of earlier leaders' runs came before the first reply. Runs known to this leader
        // have ended after it.
        let ends_known_run = reply.ended.iter().any(|end| {
            let attempt = worker.attempts.get(&(end.task, end.run));
            attempt.is_some_and(Attempt::is_known_to_run)
        });
        if let Some(partial) = &mut worker.partial_ends {
            partial.hides_inherited &= !ends_known_run;
            if !was_partial && partial.hides_inherited {
                let (running, ended) = (reply.running.len(), reply.ended.len());
                let last_end = partial.last_listed;
                log::info!(worker:% = id, running, ended, last_end; "ends_listed_in_part");
            }
        }
    }

    /// Ends the wait for a worker that has listed all that earlier leaders started there.
    pub(super) fn finish_reconciliation(&mut self, id: &WorkerId) {
        let known = self.workers.get(id).is_some_and(Worker::all_runs_known);
        if known && self.unreconciled.remove(id).is_some() && self.unreconciled.is_empty() {
            log::info!(epoch:% = self.epoch; "survey_complete");
        }
    }

    /// When the wait for what earlier leaders started at a worker ends at the latest. Its leases are renewed while it lists
    /// its ends, so they bound the wait only after the last renewal.
    pub(super) fn reconciled_by(&self, id: &WorkerId, lease_bound: Time) -> Time {
        match self.workers.get(id) {
            Some(worker) if worker.hides_inherited_ends() => worker.lease_bound().max(lease_bound),
            _ => lease_bound,
        }
    }

    /// Ends the waits for workers at which all leases must have lapsed.
    pub(super) fn expire_reconciliations(&mut self, now: Time) {
        let is_over = |(id, until): &(&WorkerId, &Time)| now >= self.reconciled_by(id, **until);
        let over: Vec<WorkerId> =
            self.unreconciled.iter().filter(is_over).map(|(id, _)| id.clone()).collect();
        for id in over {
            self.unreconciled.remove(&id);
            let partial = self.workers.get_mut(&id).and_then(|worker| worker.partial_ends.as_mut());
            if let Some(partial) = partial {
                log::warn!(worker:% = id, last_end = partial.last_listed; "unlisted_ends_given_up");
                partial.hides_inherited = false;
            }
        }
    }

    /// Whether a task of an inherited workflow's step may be running or have ended at a worker without this leader's knowledge.
    pub(super) fn may_have_unknown_runs(&self, service: &CompactString, step: &Step) -> bool {
        let may_hide_runs = |id: &WorkerId| {
            let worker = self.workers.get(id);
            worker.is_none_or(|worker| !worker.reconciled || worker.may_hide_end_of(service, step))
        };
        self.unreadable_roster.is_some() || self.unreconciled.keys().any(may_hide_runs)
    }

    /// Whether all workers of the predecessor have listed what runs there.
    pub(super) fn has_all_running_lists(&self) -> bool {
        let answered = |id: &WorkerId| self.workers.get(id).is_some_and(|worker| worker.reconciled);
        self.unreconciled.keys().all(answered)
    }
}

//! Unreadable directory entries of workers, and unreadable rows of their poll replies.
//!
//! Such a row may stand for any run that is missing from the reply, or for its end. Ignoring it could start a
//! running task twice or repeat one that is done.

use {
    super::{Phase, PollReply, Worker},
    crate::WorkerState,
    egretlb_types::Time,
    smallvec::SmallVec,
    std::time::Duration,
};

/// How long an unreadable end stays unacknowledged, so that the worker lists it again, for about five polls. Then it
/// no longer delays acknowledgements and its run counts as ended without success, since a reply holds only 500 ends
/// and later ones would never be listed.
const END_GIVE_UP_AFTER: Duration = Duration::from_secs(1);

/// How long after a confirmed stop a run has certainly ended, in milliseconds of the worker's clock. Workers take
/// at most 400 ms for a stop.
const STOP_BOUND_MS: u64 = 1_000;

/// What the absence of a run from a poll reply means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AbsentRun {
    /// The run has ended.
    Ended,
    /// The run may still start, or be an unreadable row; it has to be stopped.
    Unconfirmed,
    /// Not known yet.
    Undecided,
}

/// Tracks the unreadable rows in a worker's poll replies.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnreadableRowTracker {
    /// Since when each reply has had unreadable rows of runs.
    unreadable_runs_since: Option<Time>,
    /// Numbers of unreadable ends, in order, and since when there are any.
    unreadable_ends: SmallVec<[u64; 4]>,
    unreadable_ends_since: Option<Time>,
    /// Unreadable ends up to this number no longer delay acknowledgements.
    given_up_to: u64,
}

impl UnreadableRowTracker {
    /// Applies a reply; returns whether a run missing from it may be in an unreadable row.
    pub(super) fn update(&mut self, now: Time, reply: &PollReply) -> bool {
        self.unreadable_runs_since = (reply.unreadable.unidentified_runs > 0)
            .then(|| self.unreadable_runs_since.unwrap_or(now));
        let given_up_to = self.given_up_to;
        self.unreadable_ends =
            reply.unreadable.ends.iter().copied().filter(|end| *end > given_up_to).collect();
        let Some(last) = self.unreadable_ends.last().copied() else {
            self.unreadable_ends_since = None;
            return self.unreadable_runs_since.is_some();
        };
        let since = *self.unreadable_ends_since.get_or_insert(now);
        if now.since(since) >= END_GIVE_UP_AFTER {
            log::warn!(ends_to = last; "unreadable_ends_given_up");
            self.given_up_to = last;
            self.unreadable_ends.clear();
            self.unreadable_ends_since = None;
        }
        self.unreadable_runs_since.is_some() || !self.unreadable_ends.is_empty()
    }

    /// Whether the last reply had no unreadable row that may stand for a run or its end.
    pub(super) fn all_readable(&self) -> bool {
        self.unreadable_runs_since.is_none() && self.unreadable_ends.is_empty()
    }

    /// Whether an end was unreadable in the last reply.
    pub(super) fn is_unreadable_end(&self, end: u64) -> bool {
        self.unreadable_ends.contains(&end)
    }

    /// Ends to skip because they fill up the reply: those given up and those of foreign tasks. Otherwise they are
    /// acknowledged together with later ends, since a number made up by another writer may be higher than those of
    /// ends to come.
    pub(super) fn skipped_ends(&self, reply: &PollReply) -> impl Iterator<Item = u64> {
        let (unreadable, given_up) = (&reply.unreadable, self.given_up_to);
        let given_up = unreadable.ends.iter().copied().filter(move |number| *number <= given_up);
        let skipped = given_up.chain(unreadable.foreign_ends.iter().copied());
        skipped.filter(|_| reply.is_full())
    }

    /// The last end, at most `ends_processed`, that may be acknowledged once it is recorded.
    pub(super) fn max_acknowledgeable_end(&self, ends_processed: u64) -> u64 {
        let first = self.unreadable_ends.first();
        first.map_or(ends_processed, |first| ends_processed.min(first.saturating_sub(1)))
    }

    /// What the absence of a run means in a reply at the worker's clock `clock_ms` to a poll sent at `sent`.
    pub(super) fn classify_absent(
        &self,
        now: Time,
        phase: Phase,
        sent: Time,
        clock_ms: u64,
        lease: Duration,
    ) -> AbsentRun {
        let ends_pending = !self.unreadable_ends.is_empty();
        match (phase, self.unreadable_runs_since) {
            (Phase::Running { clock_ms: confirmed_ms }, None)
                if clock_ms > confirmed_ms && !ends_pending =>
            {
                AbsentRun::Ended
            }
            // The run may be in an unreadable row, and a stop would end it. Without a stop, a run that has ended would
            // block its task forever. So the stop is sent once the lease has lapsed.
            (Phase::Running { clock_ms: confirmed_ms }, Some(since))
                if clock_ms > confirmed_ms && now.since(since) >= lease =>
            {
                AbsentRun::Unconfirmed
            }
            (Phase::Stopping { confirmed_ms: Some(at), .. }, None)
                if clock_ms > at && !ends_pending =>
            {
                AbsentRun::Ended
            }
            (Phase::Stopping { confirmed_ms: Some(at), .. }, Some(_))
                if clock_ms > at + STOP_BOUND_MS && !ends_pending =>
            {
                AbsentRun::Ended
            }
            (Phase::Unconfirmed { since }, _) if sent > since => AbsentRun::Unconfirmed,
            _ => AbsentRun::Undecided,
        }
    }
}

impl Worker {
    /// Marks the directory entry as unreadable: the worker hasn't left, and gets no new tasks.
    pub(super) fn mark_entry_unreadable(&mut self) {
        if !self.in_directory {
            // Its draining state was only assumed, or its entry was missing.
            self.info.state = WorkerState::Other;
        }
        self.info.mark_unreadable();
        self.in_directory = true;
    }

    /// The last end that may be acknowledged once it is recorded.
    pub(super) fn max_acknowledgeable_end(&self) -> u64 {
        self.unreadable_rows.max_acknowledgeable_end(self.ends_processed)
    }
}

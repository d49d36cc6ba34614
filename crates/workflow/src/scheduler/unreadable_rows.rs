//! Workers whose entry, or rows of whose lists, can't be read.
//!
//! Such a row may be any run that is missing from the list, or its end. Taken as nothing, a task whose run
//! goes on would be started a second time, and one that is done would be run again.

use {
    super::{Phase, PollReply, Worker},
    crate::WorkerState,
    egretlb_types::Time,
    smallvec::SmallVec,
    std::time::Duration,
};

/// How long an end that can't be read is left unacknowledged, so that the worker lists it again: some five
/// polls. For longer it isn't, since the worker lists 500 ends at a time, and those behind them would never
/// be seen. Then its task counts as ended without success.
const END_PATIENCE: Duration = Duration::from_secs(1);

/// How long after a confirmed stop a run has certainly ended, on the worker's clock in milliseconds. Workers
/// take at most 400 ms for a stop.
const STOP_SETTLED_MS: u64 = 1_000;

/// What the absence of a run from a worker's list means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AbsentRun {
    /// It isn't under way any more.
    Ended,
    /// It may yet begin, or may be what a row that can't be read stands for; a stop settles it.
    Unconfirmed,
    /// Nothing yet.
    Undecided,
}

/// What can't be read of a worker's lists.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnreadableRows {
    /// Since when each answer had rows of runs that can't be read.
    runs_since: Option<Time>,
    /// The numbers of ends that can't be read, in order, and since when there are any.
    open_ends: SmallVec<[u64; 4]>,
    ends_since: Option<Time>,
    /// Ends up to here that can't be read are given up.
    given_up: u64,
}

impl UnreadableRows {
    /// Takes an answer in; returns whether a run that it doesn't list may be one that can't be read.
    pub(super) fn update(&mut self, now: Time, reply: &PollReply) -> bool {
        self.runs_since =
            (reply.unreadable.unidentified_runs > 0).then(|| self.runs_since.unwrap_or(now));
        let given_up = self.given_up;
        self.open_ends =
            reply.unreadable.ends.iter().copied().filter(|end| *end > given_up).collect();
        let Some(last) = self.open_ends.last().copied() else {
            self.ends_since = None;
            return self.runs_since.is_some();
        };
        let since = *self.ends_since.get_or_insert(now);
        if reply.is_full() || now.since(since) >= END_PATIENCE {
            log::warn!(ends_to = last; "unreadable_ends_given_up");
            self.given_up = last;
            self.open_ends.clear();
            self.ends_since = None;
        }
        self.runs_since.is_some() || !self.open_ends.is_empty()
    }

    /// Whether all rows of the last answer that may stand for a run or its end could be read.
    pub(super) fn all_readable(&self) -> bool {
        self.runs_since.is_none() && self.open_ends.is_empty()
    }

    /// Whether an end couldn't be read in the last answer that was taken in.
    pub(super) fn is_unreadable_end(&self, end: u64) -> bool {
        self.open_ends.contains(&end)
    }

    /// Ends that mean nothing and take up all room of the list. Others are acknowledged with the next end that
    /// means something: a number that another writer made up may be above those of ends to come.
    pub(super) fn skipped_ends(&self, reply: &PollReply) -> impl Iterator<Item = u64> {
        let (odd, given_up) = (&reply.unreadable, self.given_up);
        let given_up = odd.ends.iter().copied().filter(move |number| *number <= given_up);
        let nothing = given_up.chain(odd.foreign_ends.iter().copied());
        nothing.filter(|_| reply.is_full())
    }

    /// Of ends up to `taken`, up to which one the worker may forget them once they are recorded.
    pub(super) fn max_acknowledgeable_end(&self, taken: u64) -> u64 {
        let first = self.open_ends.first();
        first.map_or(taken, |first| taken.min(first.saturating_sub(1)))
    }

    /// What it means that a run isn't listed by an answer of the worker's clock `clock_ms` to a poll that was
    /// sent at `sent`.
    pub(super) fn classify_absent(
        &self,
        now: Time,
        phase: Phase,
        sent: Time,
        clock_ms: u64,
        lease: Duration,
    ) -> AbsentRun {
        let held = !self.open_ends.is_empty();
        match (phase, self.runs_since) {
            (Phase::Running { clock_ms: known }, None) if clock_ms > known && !held => {
                AbsentRun::Ended
            }
            // What goes on behind a row that can't be read would be lost by a stop; what is gone without a
            // trace would hold its task for good without one.
            (Phase::Running { clock_ms: known }, Some(since))
                if clock_ms > known && now.since(since) >= lease =>
            {
                AbsentRun::Unconfirmed
            }
            (Phase::Stopping { confirmed_ms: Some(at), .. }, None) if clock_ms > at && !held => {
                AbsentRun::Ended
            }
            (Phase::Stopping { confirmed_ms: Some(at), .. }, Some(_))
                if clock_ms > at + STOP_SETTLED_MS && !held =>
            {
                AbsentRun::Ended
            }
            (Phase::Unconfirmed { since }, _) if sent > since => AbsentRun::Unconfirmed,
            _ => AbsentRun::Undecided,
        }
    }
}

impl Worker {
    /// Its entry in the directory can't be read: it hasn't left, and gets nothing new.
    pub(super) fn mark_entry_unreadable(&mut self) {
        if !self.in_directory {
            // That it leaves was only supposed, or its entry was gone.
            self.info.state = WorkerState::Other;
        }
        self.info.mark_unreadable();
        self.in_directory = true;
    }

    /// Ends up to here may be acknowledged once they are recorded.
    pub(super) fn max_acknowledgeable_end(&self) -> u64 {
        self.unreadable_rows.max_acknowledgeable_end(self.ends_processed)
    }
}

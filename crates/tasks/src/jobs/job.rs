//! In-memory state of a job, besides its record.

use {
    super::{
        api::{JobCounts, JobStatus},
        record::{AttemptRecord, JobRecord, TaskResult, TaskState},
    },
    crate::msg::ReservationId,
    egretlb_types::{DataCentre, NodeId, Ticket, Time},
    smallvec::SmallVec,
    std::collections::{BTreeMap, BTreeSet},
};

/// A task waiting for placement.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) since: Time,
    /// Backoff after a failure: not placed before this time.
    pub(super) not_before: Time,
    /// The pending placement request that includes it.
    pub(super) round: Option<Ticket>,
}

/// An attempt that may run.
#[derive(Clone, Debug)]
pub(super) struct Active {
    pub(super) attempt: AttemptRecord,
    pub(super) reservation: Option<ReservationId>,
    pub(super) journaled: bool,
    pub(super) running: bool,
    pub(super) unconfirmed: bool,
    pub(super) stop: bool,
    pub(super) draining: bool,
    pub(super) since: Time,
    pub(super) send_at: Time,
}

/// A job and its tasks in memory.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) record: JobRecord,
    pub(super) submitted: Time,
    /// Whether the submission is acknowledged by the journal.
    pub(super) durable: bool,
    pub(super) waiting: BTreeMap<u32, Waiting>,
    pub(super) active: BTreeMap<u32, Active>,
    /// Tasks whose end isn't acknowledged by the journal yet.
    pub(super) unjournaled_ends: BTreeSet<u32>,
    /// Nodes that refused its tasks in this sweep.
    pub(super) refused_by: SmallVec<[NodeId; 4]>,
    /// Completed sweeps over all nodes.
    pub(super) sweeps: u32,
    /// When the next sweep begins.
    pub(super) not_before: Time,
    /// Since when every node has reported that its tasks can't fit.
    pub(super) never_fits_since: Option<Time>,
    /// When capacity was last reclaimed for it.
    pub(super) reclaimed_at: Option<Time>,
    /// The placement request that asked for the reclaim.
    pub(super) reclaim_round: Option<Ticket>,
    /// Whether its tasks are spread over data centres.
    pub(super) spread: bool,
    /// Since when it is over.
    pub(super) over_since: Option<Time>,
}

impl Job {
    /// Creates a job from a submission.
    pub(super) fn new(now: Time, record: JobRecord) -> Self {
        let mut job = Job {
            record,
            submitted: now,
            durable: false,
            waiting: BTreeMap::new(),
            active: BTreeMap::new(),
            unjournaled_ends: BTreeSet::new(),
            refused_by: SmallVec::new(),
            sweeps: 0,
            not_before: now,
            never_fits_since: None,
            reclaimed_at: None,
            reclaim_round: None,
            spread: false,
            over_since: None,
        };
        job.refill(now);
        job
    }

    /// Restores a job from an earlier owner. Its attempts are queried without a reservation, so
    /// that the query can't start them.
    pub(super) fn adopt(now: Time, record: JobRecord) -> Self {
        let mut job = Job::new(now, record);
        job.durable = true;
        for (index, task) in job.record.tasks.iter().enumerate() {
            if let TaskState::Attempt(attempt) = &task.state {
                let mut active = Active::new(now, attempt.clone(), None);
                active.journaled = true;
                active.stop = job.record.cancelled;
                job.active.insert(index as u32, active);
            }
        }
        job
    }

    /// Queues every queued task that isn't waiting yet, and removes the others from the queue.
    pub(super) fn refill(&mut self, now: Time) {
        for (index, task) in self.record.tasks.iter().enumerate() {
            let index = index as u32;
            if task.state == TaskState::Queued {
                let waiting = Waiting { since: now, not_before: now, round: None };
                self.waiting.entry(index).or_insert(waiting);
            } else {
                self.waiting.remove(&index);
            }
        }
    }

    /// The data centres of its attempts.
    pub(super) fn data_centres(&self) -> SmallVec<[DataCentre; 4]> {
        let mut found = SmallVec::new();
        for active in self.active.values().filter(|active| !active.stop && !active.draining) {
            if !found.contains(&active.attempt.data_centre) {
                found.push(active.attempt.data_centre.clone());
            }
        }
        found
    }

    /// Number of tasks that still have to end.
    pub(super) fn remaining(&self) -> u32 {
        (self.waiting.len() + self.active.len()) as u32
    }

    pub(super) fn status(&self, now: Time) -> JobStatus {
        let mut counts = JobCounts::default();
        for (index, task) in self.record.tasks.iter().enumerate() {
            let index = index as u32;
            // An end that isn't journalled may be unknown to a successor, so it isn't visible yet.
            if self.unjournaled_ends.contains(&index) {
                counts.running += 1;
                continue;
            }
            match &task.state {
                TaskState::Queued => counts.queued += 1,
                TaskState::Attempt(_) => self.count_active(index, &mut counts),
                TaskState::Over(TaskResult::Done) => counts.done += 1,
                TaskState::Over(TaskResult::Parked) => counts.parked += 1,
                TaskState::Over(TaskResult::NeverFits) => counts.never_fits += 1,
                TaskState::Over(TaskResult::Cancelled) => counts.cancelled += 1,
            }
        }
        let waits = self.waiting.values().map(|waiting| now.since(waiting.since).as_secs());
        JobStatus {
            spec: self.record.spec.clone(),
            cancelled: self.record.cancelled,
            over: self.record.is_over() && self.unjournaled_ends.is_empty(),
            counts,
            attempts: self.record.tasks.iter().map(|task| u64::from(task.attempts.0)).sum(),
            waiting_secs: waits.max().unwrap_or(0),
        }
    }

    fn count_active(&self, index: u32, counts: &mut JobCounts) {
        match self.active.get(&index) {
            Some(active) if active.stop => counts.stopping += 1,
            Some(active) if active.running => counts.running += 1,
            Some(active) if active.unconfirmed => counts.unconfirmed += 1,
            _ => counts.starting += 1,
        }
    }
}

impl Active {
    pub(super) fn new(
        now: Time,
        attempt: AttemptRecord,
        reservation: Option<ReservationId>,
    ) -> Self {
        Active {
            attempt,
            reservation,
            journaled: false,
            running: false,
            unconfirmed: false,
            stop: false,
            draining: false,
            since: now,
            send_at: now,
        }
    }
}

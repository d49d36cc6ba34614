//! Cancellations of workflows without a submission.
//!
//! A submission may be under way when its workflow is cancelled, at any process or in the store. The cancellation is recorded
//! first, so that the submission is void when it arrives. Most ids have none, so the records are dropped after a while.

use {
    super::{Scheduler, recording::MAX_DROPPED_PER_APPEND},
    crate::{Key, Ledger, Record, WorkflowId},
    egretlb_types::Time,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How long an early cancellation is kept. A submission is passed on and retried for some 10 s at most, and the store may execute
/// a call that it hasn't answered some seconds later.
const KEPT_FOR: Duration = Duration::from_secs(60);

/// Early cancellations in the store, as far as the leader has read.
#[derive(Debug, Default)]
pub(super) struct EarlyCancellations {
    /// When each was last read.
    read_at: BTreeMap<WorkflowId, Time>,
    /// The same, the oldest first.
    order: BTreeSet<(Time, WorkflowId)>,
}

impl EarlyCancellations {
    /// Takes over those of earlier terms, as if they were just read.
    pub(super) fn inherited(now: Time, ledger: &Ledger) -> EarlyCancellations {
        let mut inherited = EarlyCancellations::default();
        ledger.early_cancellations().iter().for_each(|id| inherited.note(now, *id));
        inherited
    }

    /// Notes that one was read, or was read again.
    pub(super) fn note(&mut self, now: Time, id: WorkflowId) {
        self.remove(id);
        self.read_at.insert(id, now);
        self.order.insert((now, id));
    }

    /// Forgets the one of a workflow that has been submitted.
    pub(super) fn remove(&mut self, id: WorkflowId) {
        if let Some(at) = self.read_at.remove(&id) {
            self.order.remove(&(at, id));
        }
    }

    /// Takes out the oldest one if it is to be dropped.
    fn take_expired(&mut self, now: Time) -> Option<WorkflowId> {
        let (at, id) = *self.order.first()?;
        let expired = now.since(at) >= KEPT_FOR;
        expired.then(|| {
            self.remove(id);
            id
        })
    }
}

impl Scheduler {
    /// Drops the records of old early cancellations.
    pub(super) fn drop_early_cancellations(&mut self, now: Time, records: &mut Vec<Record>) {
        let expired = std::iter::from_fn(|| self.early_cancellations.take_expired(now));
        let expired = expired.take(MAX_DROPPED_PER_APPEND);
        records.extend(expired.map(|id| Record::tombstone(Key::Cancel(id))));
    }

    /// Records an early cancellation again that was cancelled anew while its record was being dropped.
    pub(super) fn restore_early_cancellation(&mut self, id: WorkflowId) {
        if self.early_cancellations.read_at.contains_key(&id) {
            self.records_to_rewrite.push(Record::new(Key::Cancel(id), &true));
        }
    }
}

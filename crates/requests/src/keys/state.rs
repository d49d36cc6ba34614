//! State of one key, and the answer to a permit request for it.

use {
    super::message::{KeyOutcome, Permit, PermitHolder, PermitRequest},
    crate::{ids::BodyHash, limits::OUTCOME_TIMEOUT, protections::Protections},
    egretlb_types::{Epoch, RequestKey, Ticket, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// When an intent or an outcome was recorded.
#[derive(Clone, Copy, Debug)]
pub(super) enum RecordedAt {
    /// Time on this process's clock.
    At(Time),
    /// Minimum age when the shard was taken over.
    Age(Duration),
}

#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// The intent is being appended to the log; its holder waits.
    IntentPending { ticket: Ticket },
    /// The permit was granted, or may have been.
    Permitted,
    /// The outcome was reported; it may be [`KeyOutcome::Unknown`].
    Completed(KeyOutcome),
}

#[derive(Clone, Debug)]
pub(super) struct KeyState {
    pub(super) body: BodyHash,
    pub(super) holder: PermitHolder,
    pub(super) phase: Phase,
    pub(super) recorded_at: RecordedAt,
}

/// The keys of one shard.
#[derive(Debug, Default)]
pub(super) struct ShardKeys {
    pub(super) epoch: Option<Epoch>,
    pub(super) states: BTreeMap<RequestKey, KeyState>,
    /// Permits that wait for their intents to be in the log.
    pub(super) intents: BTreeMap<Ticket, RequestKey>,
    /// Reports that wait for their outcomes to be in the log.
    pub(super) reports: BTreeMap<Ticket, PermitHolder>,
    /// Holders that reported an outcome before their permit request arrived, and when.
    pub(super) abandoned: BTreeMap<PermitHolder, Time>,
}

impl KeyState {
    /// Returns the answer to a permit request for this key, or `None` if the request is new or a
    /// duplicate of the holder's own.
    pub(super) fn evaluate(
        &self,
        now: Time,
        request: &PermitRequest,
        protections: Protections,
    ) -> Option<Permit> {
        let same_holder = self.holder == request.holder;
        if self.body != request.body {
            return Some(Permit::BodyMismatch);
        }
        match &self.phase {
            Phase::IntentPending { .. } if same_holder => None,
            Phase::IntentPending { .. } => Some(Permit::InProgress),
            Phase::Permitted if same_holder => Some(Permit::Granted),
            Phase::Permitted if self.is_outcome_overdue(now) => {
                protections.keep_in_doubt.then_some(Permit::InDoubt)
            }
            Phase::Permitted => Some(Permit::InProgress),
            Phase::Completed(KeyOutcome::Ran(answer)) => Some(Permit::Recorded(answer.clone())),
            Phase::Completed(KeyOutcome::Unknown) => {
                protections.keep_in_doubt.then_some(Permit::InDoubt)
            }
            Phase::Completed(KeyOutcome::NotRun) => None,
        }
    }

    fn is_outcome_overdue(&self, now: Time) -> bool {
        matches!(self.recorded_at, RecordedAt::At(at) if now.since(at) >= OUTCOME_TIMEOUT)
    }
}

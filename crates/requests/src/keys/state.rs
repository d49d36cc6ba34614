//! What is known of one key, and what an ask for it is answered.

use {
    super::message::{KeyOutcome, Permit, PermitHolder, PermitRequest},
    crate::{ids::BodyHash, limits::OUTCOME_TIMEOUT, protections::Protections},
    egretlb_types::{Epoch, RequestKey, Ticket, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// When something was recorded, as far as this process knows.
#[derive(Clone, Copy, Debug)]
pub(super) enum Since {
    /// On this process's clock.
    At(Time),
    /// This long before the shard was taken over, at least.
    Age(Duration),
}

#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// The intent isn't known to be in the log yet; its holder waits.
    Intending { ticket: Ticket },
    /// The permit was given, or may have been.
    Permitted,
    /// The outcome is known, or known to stay unknown.
    Ended(KeyOutcome),
}

#[derive(Clone, Debug)]
pub(super) struct KeyState {
    pub(super) body: BodyHash,
    pub(super) holder: PermitHolder,
    pub(super) phase: Phase,
    pub(super) since: Since,
}

#[derive(Debug, Default)]
pub(super) struct ShardKeys {
    pub(super) epoch: Option<Epoch>,
    pub(super) keys: BTreeMap<RequestKey, KeyState>,
    /// Permits that wait for their intents.
    pub(super) intents: BTreeMap<Ticket, RequestKey>,
    /// Reports that wait for their outcomes to be in the log.
    pub(super) reports: BTreeMap<Ticket, PermitHolder>,
    /// Holders that have given up before their ask came, and when they said so.
    pub(super) given_up: BTreeMap<PermitHolder, Time>,
}

impl KeyState {
    /// What an ask for this key is answered, or `None` if the ask is to be taken as new or is the
    /// holder's own ask come twice.
    pub(super) fn answer(
        &self,
        now: Time,
        request: &PermitRequest,
        protections: Protections,
    ) -> Option<Permit> {
        let own = self.holder == request.holder;
        if self.body != request.body {
            return Some(Permit::BodyMismatch);
        }
        match &self.phase {
            Phase::Intending { .. } if own => None,
            Phase::Intending { .. } => Some(Permit::InProgress),
            Phase::Permitted if own => Some(Permit::Granted),
            Phase::Permitted if self.overdue(now) => {
                protections.keep_in_doubt.then_some(Permit::InDoubt)
            }
            Phase::Permitted => Some(Permit::InProgress),
            Phase::Ended(KeyOutcome::Ran(answer)) => Some(Permit::Recorded(answer.clone())),
            Phase::Ended(KeyOutcome::Unknown) => {
                protections.keep_in_doubt.then_some(Permit::InDoubt)
            }
            Phase::Ended(KeyOutcome::NotRun) => None,
        }
    }

    fn overdue(&self, now: Time) -> bool {
        matches!(self.since, Since::At(at) if now.since(at) >= OUTCOME_TIMEOUT)
    }
}

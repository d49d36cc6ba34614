//! Operators' proposals that this process appends to the log.

use {
    crate::{
        event::{ControlEffect, ProposalOutcome},
        record::{ConfigVersion, ControlRecord, ProposalId},
        reducer::appends::{Appends, Purpose},
        state::{ConfigState, Decision},
    },
    egretlb_types::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// An operator gets an answer after this long if the log doesn't respond.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of pending proposals; more are answered as unavailable.
const MAX_PENDING: usize = 16;

#[derive(Clone, Debug)]
struct PendingProposal {
    record: ControlRecord,
    base: ConfigVersion,
    since: Time,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Proposals {
    pending: BTreeMap<ProposalId, PendingProposal>,
}

impl Proposals {
    pub(crate) fn add(
        &mut self,
        now: Time,
        id: ProposalId,
        base: ConfigVersion,
        record: ControlRecord,
        out: &mut Vec<ControlEffect>,
    ) {
        if self.pending.len() >= MAX_PENDING {
            out.push(ControlEffect::ProposalDecided { id, outcome: ProposalOutcome::Unavailable });
            return;
        }
        self.pending.entry(id).or_insert(PendingProposal { record, base, since: now });
    }

    /// Reports decided proposals, and those that timed out.
    pub(crate) fn decide(
        &mut self,
        now: Time,
        config: Option<&ConfigState>,
        appends: &mut Appends,
        out: &mut Vec<ControlEffect>,
    ) {
        self.pending.retain(|id, pending| {
            let outcome = config
                .and_then(|config| outcome(*id, pending, config, appends))
                .or_else(|| timed_out(now, *id, pending, appends));
            let Some(outcome) = outcome else { return true };
            appends.forget(Purpose::Propose(*id));
            out.push(ControlEffect::ProposalDecided { id: *id, outcome });
            false
        });
    }

    /// Appends proposals that aren't in the log yet.
    pub(crate) fn append(
        &self,
        now: Time,
        last_complete_read: Option<Time>,
        appends: &mut Appends,
        out: &mut Vec<ControlEffect>,
    ) {
        for (id, pending) in &self.pending {
            let purpose = Purpose::Propose(*id);
            if appends.may_append(now, purpose, last_complete_read) {
                appends.append(now, purpose, &pending.record, out);
            }
        }
    }
}

fn outcome(
    id: ProposalId,
    pending: &PendingProposal,
    config: &ConfigState,
    appends: &Appends,
) -> Option<ProposalOutcome> {
    let current = config.current();
    let superseded =
        || ProposalOutcome::Superseded { version: current.version, document: current.text.clone() };
    match config.decision(id) {
        Some(Decision::Accepted(version)) => Some(ProposalOutcome::Accepted { version: *version }),
        Some(Decision::Outdated(_)) => Some(superseded()),
        Some(Decision::Invalid(faults)) => {
            Some(ProposalOutcome::Invalid { faults: faults.clone() })
        }
        // Its base is superseded, and no unconfirmed append of it can be in the log.
        None if pending.base < current.version && !appends.is_unconfirmed(Purpose::Propose(id)) => {
            Some(superseded())
        }
        None => None,
    }
}

fn timed_out(
    now: Time,
    id: ProposalId,
    pending: &PendingProposal,
    appends: &Appends,
) -> Option<ProposalOutcome> {
    if now < pending.since + PROPOSAL_TIMEOUT {
        return None;
    }
    let is_unconfirmed = appends.is_unconfirmed(Purpose::Propose(id));
    Some(if is_unconfirmed { ProposalOutcome::Unconfirmed } else { ProposalOutcome::Unavailable })
}

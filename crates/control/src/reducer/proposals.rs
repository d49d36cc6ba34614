//! Operators' proposals that this process brings into the log.

use {
    crate::{
        event::{ControlEffect, ProposalOutcome},
        record::{ConfigVersion, ControlRecord, ProposalId},
        reducer::gate::{Appends, Purpose},
        state::{ConfigState, Decision},
    },
    egretlb_types::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// An operator is told after this long that the log doesn't answer.
const GIVE_UP_AFTER: Duration = Duration::from_secs(20);

/// The most proposals that wait here; more are answered as out of reach.
const WAITING_MAX: usize = 16;

#[derive(Clone, Debug)]
struct Waiting {
    record: ControlRecord,
    base: ConfigVersion,
    since: Time,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Proposals {
    waiting: BTreeMap<ProposalId, Waiting>,
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
        if self.waiting.len() >= WAITING_MAX {
            out.push(ControlEffect::ProposalDecided { id, outcome: ProposalOutcome::Unavailable });
            return;
        }
        self.waiting.entry(id).or_insert(Waiting { record, base, since: now });
    }

    /// Ends what is decided, and gives up on what has waited for too long.
    pub(crate) fn decide(
        &mut self,
        now: Time,
        config: Option<&ConfigState>,
        appends: &mut Appends,
        out: &mut Vec<ControlEffect>,
    ) {
        self.waiting.retain(|id, waiting| {
            let outcome = config
                .and_then(|config| outcome(*id, waiting, config, appends))
                .or_else(|| overdue(now, *id, waiting, appends));
            let Some(outcome) = outcome else { return true };
            appends.forget(Purpose::Propose(*id));
            out.push(ControlEffect::ProposalDecided { id: *id, outcome });
            false
        });
    }

    /// Appends what isn't in the log yet.
    pub(crate) fn append(
        &self,
        now: Time,
        fresh: Option<Time>,
        appends: &mut Appends,
        out: &mut Vec<ControlEffect>,
    ) {
        for (id, waiting) in &self.waiting {
            let purpose = Purpose::Propose(*id);
            if appends.is_open(now, purpose, fresh) {
                appends.append(now, purpose, &waiting.record, out);
            }
        }
    }
}

fn outcome(
    id: ProposalId,
    waiting: &Waiting,
    config: &ConfigState,
    appends: &Appends,
) -> Option<ProposalOutcome> {
    let current = config.current();
    let lost =
        || ProposalOutcome::Superseded { version: current.version, document: current.text.clone() };
    match config.decision(id) {
        Some(Decision::Accepted(version)) => Some(ProposalOutcome::Accepted { version: *version }),
        Some(Decision::Outdated(_)) => Some(lost()),
        Some(Decision::Invalid(faults)) => {
            Some(ProposalOutcome::Invalid { faults: faults.clone() })
        }
        // Its base is already superseded here, and no copy of it can be in the log unseen.
        None if waiting.base < current.version && !appends.in_doubt(Purpose::Propose(id)) => {
            Some(lost())
        }
        None => None,
    }
}

fn overdue(
    now: Time,
    id: ProposalId,
    waiting: &Waiting,
    appends: &Appends,
) -> Option<ProposalOutcome> {
    if now < waiting.since + GIVE_UP_AFTER {
        return None;
    }
    let in_doubt = appends.in_doubt(Purpose::Propose(id));
    Some(if in_doubt { ProposalOutcome::Unconfirmed } else { ProposalOutcome::Unavailable })
}

//! The accepted configuration.

use {
    crate::{
        record::{ConfigVersion, ProposalId},
        state::{Change, Changes},
    },
    compact_str::CompactString,
    egretlb_types::ConfigDocument,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Validates a document. Must be a pure function that is the same in every process, or they would
/// disagree on the configuration. The error lists the faults.
pub type Validator = dyn Fn(&str) -> Result<ConfigDocument, CompactString> + Send + Sync;

/// Maximum number of decisions kept. A proposal that is appended again within this window gets its
/// first decision; a later copy is void because of its base.
const MAX_DECISIONS: usize = 64;

/// An accepted configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct AcceptedConfig {
    /// Its version.
    pub version: ConfigVersion,
    /// Name of the operator.
    pub by: CompactString,
    /// The document.
    pub text: String,
}

/// The result of a proposal.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// It is accepted as this version.
    Accepted(ConfigVersion),
    /// Its base isn't the version that was current, which is this one.
    Outdated(ConfigVersion),
    /// The document has faults.
    Invalid(CompactString),
}

/// The configuration part of the control state.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigState {
    current: AcceptedConfig,
    decisions: VecDeque<(ProposalId, Decision)>,
    #[serde(skip)]
    pub(super) skip_base_check: bool,
}

impl ConfigState {
    /// The accepted configuration; version zero if there is none.
    pub fn current(&self) -> &AcceptedConfig {
        &self.current
    }

    /// The decision on a recent proposal.
    pub fn decision(&self, id: ProposalId) -> Option<&Decision> {
        self.decisions.iter().find(|(decided, _)| *decided == id).map(|(_, decision)| decision)
    }

    /// Of two proposals with the same base, the first in the log is accepted and the second is
    /// void, or it would silently overwrite the first.
    pub(super) fn propose(
        &mut self,
        id: ProposalId,
        base: ConfigVersion,
        accepted: AcceptedConfig,
        validator: &Validator,
    ) -> Changes {
        if self.decision(id).is_some() {
            return Changes::new();
        }
        let mut changes = Changes::new();
        let decision = if base != self.current.version && !self.skip_base_check {
            Decision::Outdated(self.current.version)
        } else if let Err(faults) = validator(&accepted.text) {
            Decision::Invalid(faults)
        } else {
            let version = accepted.version;
            self.current = accepted;
            changes.push(Change::ConfigAccepted(version));
            Decision::Accepted(version)
        };
        self.decisions.push_back((id, decision.clone()));
        if self.decisions.len() > MAX_DECISIONS {
            self.decisions.pop_front();
        }
        changes.push(Change::ProposalDecided(id, decision));
        changes
    }
}

//! Which configuration is accepted.

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

/// Checks a document; a pure function, the same in every process, or they would disagree on what
/// is in force. The error lists the faults for the operator.
pub type Validator = dyn Fn(&str) -> Result<ConfigDocument, CompactString> + Send + Sync;

/// How many decisions are remembered, so that one who appended a proposal twice hears of the
/// first. A second copy is void in any case, for its base.
const DECISIONS_KEPT: usize = 64;

/// An accepted configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Its version.
    pub version: ConfigVersion,
    /// Who proposed it.
    pub by: CompactString,
    /// The document.
    pub text: String,
}

/// What became of a proposal.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// It is the version named.
    Accepted(ConfigVersion),
    /// It named another base than the version that was current then.
    Outdated(ConfigVersion),
    /// The document has faults.
    Invalid(CompactString),
}

/// The configuration's part of the fold.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigState {
    current: Accepted,
    decided: VecDeque<(ProposalId, Decision)>,
    #[serde(skip)]
    pub(super) skip_base_check: bool,
}

impl ConfigState {
    /// The accepted configuration; version zero if there is none.
    pub fn current(&self) -> &Accepted {
        &self.current
    }

    /// What became of a proposal of late.
    pub fn decision(&self, id: ProposalId) -> Option<&Decision> {
        self.decided.iter().find(|(of, _)| *of == id).map(|(_, decision)| decision)
    }

    /// Two operators who change the same version race: the first in the log wins, and the second
    /// is void for everyone. Without that the second would undo the first unseen.
    pub(super) fn propose(
        &mut self,
        id: ProposalId,
        base: ConfigVersion,
        accepted: Accepted,
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
            changes.push(Change::Accepted(version));
            Decision::Accepted(version)
        };
        self.decided.push_back((id, decision.clone()));
        if self.decided.len() > DECISIONS_KEPT {
            self.decided.pop_front();
        }
        changes.push(Change::Decided(id, decision));
        changes
    }
}

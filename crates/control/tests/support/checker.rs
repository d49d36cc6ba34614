//! Checks the guarantees of the control stream during a run.

use {
    egretlb_control::{ConfigVersion, ControlState, ProposalId, ProposalOutcome},
    egretlb_types::{Epoch, Offset, ShardId},
    std::collections::{BTreeMap, BTreeSet},
};

#[derive(Default)]
pub struct Checker {
    pub violations: BTreeSet<String>,
    pub acked: BTreeMap<ShardId, Vec<u64>>,
    pub decided: BTreeMap<ProposalId, ProposalOutcome>,
    in_force: BTreeMap<(usize, u32), ConfigVersion>,
    texts: BTreeMap<ConfigVersion, String>,
    bases: BTreeMap<ProposalId, ConfigVersion>,
    accepted_on: BTreeMap<ConfigVersion, ProposalId>,
    states: BTreeMap<Offset, ControlState>,
}

impl Checker {
    fn fail(&mut self, text: String) {
        self.violations.insert(text);
    }

    pub fn holders(&mut self, shard: ShardId, holders: &[(usize, Epoch)]) {
        if holders.len() > 1 {
            self.fail(format!("two owners at once: shard {shard} held by {holders:?}"));
        }
    }

    pub fn acked(&mut self, shard: ShardId, id: u64) {
        self.acked.entry(shard).or_default().push(id);
    }

    pub fn recovered(&mut self, node: usize, shard: ShardId, entries: &[u64]) {
        for id in self.acked.get(&shard).cloned().unwrap_or_default() {
            if !entries.contains(&id) {
                self.fail(format!("acknowledged entry lost: shard {shard} at node {node}"));
            }
        }
        let distinct: BTreeSet<u64> = entries.iter().copied().collect();
        if distinct.len() != entries.len() {
            self.fail(format!("entry applied twice: shard {shard} at node {node}"));
        }
    }

    pub fn in_force(&mut self, node: usize, incarnation: u32, version: ConfigVersion, text: &str) {
        let last = self.in_force.insert((node, incarnation), version);
        if last.is_some_and(|last| version <= last) {
            self.fail(format!("configuration went back: node {node}"));
        }
        if self.texts.entry(version).or_insert_with(|| text.into()) != text {
            self.fail(format!("two texts of version {version}"));
        }
    }

    pub fn proposed(&mut self, id: ProposalId, base: ConfigVersion) {
        self.bases.insert(id, base);
    }

    pub fn decided(&mut self, id: ProposalId, outcome: ProposalOutcome) {
        if let ProposalOutcome::Accepted { .. } = outcome
            && let Some(other) = self.accepted_on.insert(self.bases[&id], id)
            && other != id
        {
            self.fail("two proposals accepted on one base: one change is overwritten".into());
        }
        self.decided.insert(id, outcome);
    }

    pub fn state(&mut self, next: Offset, state: &ControlState) {
        let first = self.states.entry(next).or_insert_with(|| state.clone());
        if first != state {
            self.fail(format!("two processes disagree at offset {next}"));
        }
    }
}

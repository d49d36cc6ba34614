//! When faults are injected, and what they do.

use super::*;

impl World {
    /// The protocol step that an append belongs to.
    pub(super) fn append_step(&self, stream: &StreamName, bytes: &[u8]) -> Option<Step> {
        if *stream != StreamName::control() {
            let is_snapshot = |batch: JournalBatch| {
                batch.entries.iter().any(|entry| entry.kind == EntryKind::Snapshot)
            };
            return JournalBatch::decode(bytes).is_some_and(is_snapshot).then_some(Step::Snapshot);
        }
        match ControlRecord::decode(bytes)? {
            ControlRecord::Join(_) => Some(Step::Join),
            ControlRecord::Claim { .. } => Some(Step::Claim),
            ControlRecord::Settled { .. } => Some(Step::Settle),
            ControlRecord::Release { .. } => Some(Step::Release),
            ControlRecord::Propose { .. } => Some(Step::Propose),
            _ => None,
        }
    }

    /// Reports the wait for a predecessor's lease to expire as a step.
    pub(super) fn track_wait(&mut self, node: usize) {
        let waits = |c: &Control| c.shard_counts().1 > 0;
        if self.nodes[node].control.as_ref().is_some_and(waits) {
            self.step_reached(node, Step::Wait, Moment::Before);
            let since = *self.nodes[node].takeover_since.get_or_insert(self.now);
            if self.now >= since + 1_500 * MS {
                self.step_reached(node, Step::Wait, Moment::After);
            }
        } else {
            self.nodes[node].takeover_since = None;
        }
    }

    pub(super) fn step_reached(&mut self, node: usize, step: Step, moment: Moment) {
        let Some(trigger) = self.trigger else { return };
        if (trigger.node, trigger.step, trigger.moment) == (node, step, moment) {
            self.trigger = None;
            self.fired_at = Some(self.now);
            self.inject(node, trigger.fault);
        }
    }

    pub fn inject(&mut self, node: usize, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Kill => {
                self.kill(node);
                self.restart_at(node, now + 3 * SEC);
            }
            Fault::Pause => self.nodes[node].paused_until = now + 6 * SEC,
            Fault::CutFromLog => self.nodes[node].log_cut_until = now + 8 * SEC,
            Fault::CutFromPeers => self.nodes[node].peers_cut_until = now + 15 * SEC,
            Fault::CutOff => {
                self.nodes[node].log_cut_until = now + 8 * SEC;
                self.nodes[node].peers_cut_until = now + 8 * SEC;
            }
            Fault::LogDown => self.log_down_until = now + 8 * SEC,
            Fault::LogSlow => self.log_slow_until = now + 10 * SEC,
            Fault::LateAnswers => {
                self.nodes[node].late_answers_until = now + 12 * SEC;
                self.nodes[node].peers_cut_until = now + 12 * SEC;
            }
            Fault::AnswerLost => self.nodes[node].lose_answers = 3,
            Fault::AppendLate => self.nodes[node].late_appends = 3,
            Fault::Expired => self.expire_control(node),
            Fault::ClockRate => {
                for (index, sim_node) in self.nodes.iter_mut().enumerate() {
                    sim_node.clock.set_rate(now, if index == node { 990 } else { 1_010 });
                }
                self.nodes[node].log_cut_until = now + 8 * SEC;
                self.nodes[node].peers_cut_until = now + 8 * SEC;
            }
            Fault::Operators => {
                let other = (0..self.nodes.len()).find(|index| *index != node).unwrap();
                self.propose(node, "first");
                self.propose(other, "second");
            }
        }
    }

    /// Pauses the process while a snapshot of another one lets the records before it expire.
    pub(super) fn expire_control(&mut self, node: usize) {
        self.nodes[node].paused_until = self.now + 4 * SEC;
        let others = self.nodes.iter().enumerate().filter(|(index, _)| *index != node);
        let donor = others.filter_map(|(_, n)| n.control.as_ref()).find(|c| c.state().is_some());
        let Some((next, state)) = donor.map(|c| (c.next(), c.state().unwrap().encode())) else {
            return;
        };
        let record = ControlRecord::Snapshot { next, state };
        self.log.append(&StreamName::control(), &record.encode());
        self.log.expire(&StreamName::control(), next);
    }
}

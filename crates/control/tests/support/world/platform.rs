//! Messages between the processes and to the log.

use super::*;

impl World {
    pub fn local(&self, node: usize) -> Time {
        self.nodes[node].clock.read(self.now)
    }

    pub(super) fn log_delay(&self) -> u64 {
        if self.now < self.log_slow_until { 1_250 * MS } else { NETWORK_DELAY }
    }

    pub(super) fn answer_delay(&self, node: usize) -> u64 {
        let late = self.now < self.nodes[node].late_answers_until;
        if late { 4 * SEC } else { self.log_delay() }
    }

    pub(super) fn is_cut(&self, node: usize, stream: &StreamName) -> bool {
        let sim_node = &self.nodes[node];
        let journal_cut =
            *stream != StreamName::control() && self.now < sim_node.journals_cut_until;
        journal_cut || self.now < self.log_down_until || self.now < sim_node.log_cut_until
    }

    pub(super) fn read_at_log(
        &mut self,
        node: usize,
        stream: &StreamName,
        from: Offset,
        reply: Reply,
        incarnation: u32,
    ) {
        let cut = self.is_cut(node, stream);
        let outcome = if cut { ReadOutcome::Unavailable } else { self.log.read(stream, from) };
        let at = self.now + if cut { TIMEOUT } else { self.answer_delay(node) };
        let delivery = match reply {
            Reply::ControlRead { sent } => {
                Delivery::Control(ControlEvent::ReadDone { sent, outcome })
            }
            Reply::Recovery { recovery_id } => Delivery::RecoveryPage { recovery_id, outcome },
            _ => return,
        };
        self.push(at, SimEvent::Deliver { node, delivery }, incarnation);
        if stream == &StreamName::control() && self.owns(node) {
            self.step_reached(node, Step::Renew, Moment::After);
        }
    }

    pub(super) fn append_at_log(
        &mut self,
        node: usize,
        stream: StreamName,
        bytes: Vec<u8>,
        reply: Reply,
        incarnation: u32,
    ) {
        let sim_node = &mut self.nodes[node];
        let late = sim_node.late_appends > 0 && !matches!(reply, Reply::Nobody);
        let lost = sim_node.lose_answers > 0;
        sim_node.late_appends -= u32::from(late);
        let (outcome, after) = if self.is_cut(node, &stream) {
            (AppendOutcome::NotAppended(NotAppendedReason::Unreachable), TIMEOUT)
        } else if late {
            let late_append = SimEvent::Append { node, stream, bytes, reply: Reply::Nobody };
            self.push(self.now + 5 * SEC, late_append, incarnation);
            self.send_answer(node, reply, AppendOutcome::Unknown, TIMEOUT, incarnation);
            return;
        } else {
            let offset = self.log.append(&stream, &bytes);
            (AppendOutcome::Appended(offset), self.answer_delay(node))
        };
        self.nodes[node].lose_answers -= u32::from(lost);
        let outcome = if lost { AppendOutcome::Unknown } else { outcome };
        self.send_answer(node, reply, outcome, if lost { TIMEOUT } else { after }, incarnation);
        if let Some(step) = self.append_step(&stream, &bytes) {
            self.step_reached(node, step, Moment::After);
        }
    }

    pub(super) fn send_answer(
        &mut self,
        node: usize,
        reply: Reply,
        outcome: AppendOutcome,
        after: u64,
        incarnation: u32,
    ) {
        let delivery = match reply {
            Reply::ControlAppend { ticket } => {
                Delivery::Control(ControlEvent::AppendDone { ticket, outcome })
            }
            Reply::Journal { seq } => Delivery::JournalAnswer { seq, outcome },
            _ => return,
        };
        self.push(self.now + after, SimEvent::Deliver { node, delivery }, incarnation);
    }

    pub(super) fn perform(&mut self, node: usize, effect: ControlEffect) {
        match effect {
            ControlEffect::Read { from } => {
                if self.owns(node) {
                    self.step_reached(node, Step::Renew, Moment::Before);
                }
                let reply = Reply::ControlRead { sent: self.local(node) };
                self.send_read(node, StreamName::control(), from, reply);
            }
            ControlEffect::Append { ticket, bytes } => {
                let reply = Reply::ControlAppend { ticket };
                self.send_append(node, StreamName::control(), bytes, reply);
            }
            ControlEffect::Recover { shard, epoch, from } => self.recover(node, shard, epoch, from),
            ControlEffect::ShardOwned { shard, epoch } => {
                let app = &mut self.nodes[node].app;
                if let Some(app) = app.shards.get_mut(&shard).filter(|app| app.epoch == epoch) {
                    app.active = true;
                    let entries = app.entries.clone();
                    self.checker.recovered(node, shard, &entries);
                } else if shard.0 < WATCHED_SHARDS {
                    self.checker.recovered(node, shard, &[]);
                }
            }
            ControlEffect::ShardLost { shard, .. } => {
                self.nodes[node].app.shards.remove(&shard);
                self.nodes[node].journal.forget(shard);
            }
            ControlEffect::ConfigInForce { version, text, .. } => {
                let incarnation = self.nodes[node].incarnation;
                self.checker.in_force(node, incarnation, version, &text);
            }
            ControlEffect::ProposalDecided { id, outcome } => self.checker.decided(id, outcome),
            ControlEffect::Heartbeat { to, heartbeat } => {
                self.heartbeats += 1;
                self.heartbeat_bytes += heartbeat.encoded_len() as u64;
                let event = ControlEvent::HeartbeatReceived(heartbeat);
                self.send_peer(node, to.node, event);
            }
            ControlEffect::FetchConfig { from } => self.fetch_config(node, from),
            ControlEffect::Alarm { .. } => {}
            ControlEffect::ShutdownDone => self.kill(node),
        }
    }

    pub(super) fn send_read(
        &mut self,
        node: usize,
        stream: StreamName,
        from: Offset,
        reply: Reply,
    ) {
        let incarnation = self.nodes[node].incarnation;
        let at = self.now + self.log_delay();
        self.push(at, SimEvent::Read { node, stream, from, reply }, incarnation);
    }

    pub(super) fn send_append(
        &mut self,
        node: usize,
        stream: StreamName,
        bytes: Vec<u8>,
        reply: Reply,
    ) {
        let incarnation = self.nodes[node].incarnation;
        if let Some(step) = self.append_step(&stream, &bytes) {
            self.step_reached(node, step, Moment::Before);
        }
        if self.nodes[node].incarnation != incarnation {
            // The process was killed before the record was sent.
            return;
        }
        // A paused process sends its records when it resumes.
        let at = self.now.max(self.nodes[node].paused_until) + self.log_delay();
        self.push(at, SimEvent::Append { node, stream, bytes, reply }, incarnation);
    }

    pub(super) fn send_peer(&mut self, node: usize, to: NodeId, event: ControlEvent) {
        let Some(peer) = self.nodes.iter().position(|n| n.info.node == to) else { return };
        let cut = |n: &SimNode| n.peers_cut_until > self.now;
        if cut(&self.nodes[node]) || cut(&self.nodes[peer]) {
            return;
        }
        let incarnation = self.nodes[peer].incarnation;
        let delivery = Delivery::Control(event);
        self.push(
            self.now + NETWORK_DELAY,
            SimEvent::Deliver { node: peer, delivery },
            incarnation,
        );
    }

    pub(super) fn fetch_config(&mut self, node: usize, from: Option<NodeInfo>) {
        let is_requested = |n: &&SimNode| from.as_ref().is_none_or(|info| info.node == n.info.node);
        let peers =
            self.nodes.iter().filter(is_requested).filter(|n| n.peers_cut_until <= self.now);
        let answers: Vec<ControlEvent> = peers
            .filter_map(|n| n.control.as_ref())
            .map(Control::in_force)
            .filter(|in_force| in_force.version.0 > 0)
            .map(|config| ControlEvent::PeerConfig {
                version: config.version,
                document: config.text.to_string(),
            })
            .collect();
        let me = self.nodes[node].info.node;
        for event in answers {
            self.send_peer(node, me, event);
        }
    }

    pub(super) fn owns(&self, node: usize) -> bool {
        self.nodes[node].control.as_ref().is_some_and(|c| c.shard_counts().0 > 0)
    }
}

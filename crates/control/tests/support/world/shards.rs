//! The state and the owners of the watched shards.

use super::*;

impl World {
    pub(super) fn recover(
        &mut self,
        node: usize,
        shard: ShardId,
        epoch: Epoch,
        from: Option<Predecessor>,
    ) {
        if shard.0 >= WATCHED_SHARDS {
            let event = ControlEvent::RecoveryDone { shard, epoch };
            let delivery = Delivery::Control(event);
            let incarnation = self.nodes[node].incarnation;
            self.push(self.now + NETWORK_DELAY, SimEvent::Deliver { node, delivery }, incarnation);
            return;
        }
        self.step_reached(node, Step::Recover, Moment::Before);
        let Some(from) = from else {
            self.write_snapshot(node, shard, epoch, Vec::new());
            return;
        };
        let mut reader =
            JournalReader::new(from.node, [(shard, from.epoch)]).starting_at(from.start);
        if !self.options.dedupe {
            reader = reader.without_dedupe();
        }
        let app = &mut self.nodes[node].app;
        app.next += 1;
        let recovery_id = app.next;
        app.recoveries.insert(recovery_id, Recovery { shard, epoch, from: from.epoch, reader });
        let stream = StreamName::journal(from.node);
        self.send_read(node, stream, from.start, Reply::Recovery { recovery_id });
    }

    pub(super) fn recovery_page(&mut self, node: usize, recovery_id: u64, outcome: ReadOutcome) {
        let Some(recovery) = self.nodes[node].app.recoveries.get_mut(&recovery_id) else { return };
        match recovery.reader.fold(outcome) {
            ReadStep::End => {}
            ReadStep::More | ReadStep::Unavailable => {
                let from = recovery.reader.next();
                let stream = StreamName::journal(recovery.reader.writer());
                self.send_read(node, stream, from, Reply::Recovery { recovery_id });
                return;
            }
        }
        let Recovery { shard, epoch, from, reader } =
            self.nodes[node].app.recoveries.remove(&recovery_id).unwrap();
        let control = self.nodes[node].control.as_ref().unwrap();
        if control.takeover_epoch(shard) != Some(epoch) {
            return;
        }
        match reader.recovered(shard, from) {
            Ok(recovered) => {
                let mut entries = decode(&recovered.snapshot);
                entries.extend(recovered.changes.iter().flat_map(|change| decode(change)));
                self.step_reached(node, Step::Recover, Moment::After);
                self.write_snapshot(node, shard, epoch, entries);
            }
            Err(err) => {
                self.checker.violations.insert(format!("node {node}: {err}"));
            }
        }
    }

    pub(super) fn write_snapshot(
        &mut self,
        node: usize,
        shard: ShardId,
        epoch: Epoch,
        entries: Vec<u64>,
    ) {
        let sim_node = &mut self.nodes[node];
        let entry = snapshot_entry(shard, epoch, &entries);
        let app = AppShard { epoch, entries, active: false };
        sim_node.app.shards.insert(shard, app);
        let ticket = sim_node.app.ticket(Waiter::Snapshot { shard, epoch });
        sim_node.journal.push(entry, ticket).unwrap();
        self.flush(node);
    }

    /// Every owner changes each of its watched shards about three times a second.
    pub(super) fn write_changes(&mut self, node: usize) {
        let now = self.local(node);
        if self.nodes[node].change_at > self.now || !self.watched_changes {
            return;
        }
        self.nodes[node].change_at = self.now + 300 * MS;
        for shard in (0..WATCHED_SHARDS).map(ShardId) {
            let id = self.rng.random();
            let sim_node = &mut self.nodes[node];
            let Some(epoch) = sim_node.control.as_ref().unwrap().epoch_if_held(now, shard) else {
                continue;
            };
            let Some(app) = sim_node.app.shards.get_mut(&shard).filter(|app| app.active) else {
                continue;
            };
            app.entries.push(id);
            let ticket = sim_node.app.ticket(Waiter::Change { shard, epoch, id });
            sim_node.journal.push(change_entry(shard, epoch, id), ticket).unwrap();
        }
        if let Some(from) = self.nodes[node].journal.live_from() {
            self.step(node, ControlEvent::JournalLowWaterMark { from });
        }
        for shard in self.nodes[node].journal.snapshots_due(now) {
            let sim_node = &mut self.nodes[node];
            let Some(app) = sim_node.app.shards.get(&shard) else { continue };
            let entry = snapshot_entry(shard, app.epoch, &app.entries);
            let ticket = sim_node.app.ticket(Waiter::Refresh);
            sim_node.journal.push(entry, ticket).unwrap();
        }
    }

    pub(super) fn flush(&mut self, node: usize) {
        let now = self.local(node);
        let sim_node = &mut self.nodes[node];
        let Some(append) = sim_node.control.as_ref().and_then(|_| sim_node.journal.poll(now))
        else {
            return;
        };
        let stream = StreamName::journal(sim_node.info.node);
        self.send_append(node, stream, append.bytes, Reply::Journal { seq: append.seq });
    }

    pub(super) fn journal_answer(&mut self, node: usize, seq: Seq, outcome: AppendOutcome) {
        let now = self.local(node);
        let answered = self.nodes[node].journal.answered(now, seq, outcome);
        for ticket in answered.durable {
            let waiter = self.nodes[node].app.waiters.remove(&ticket).unwrap();
            match waiter {
                Waiter::Snapshot { shard, epoch } => {
                    self.step(node, ControlEvent::RecoveryDone { shard, epoch });
                }
                Waiter::Change { shard, epoch, id } => {
                    // Acknowledged only if this process has authority at this moment.
                    let control = self.nodes[node].control.as_ref();
                    if control.and_then(|c| c.epoch_if_held(now, shard)) == Some(epoch) {
                        self.checker.acked(shard, id);
                    }
                }
                Waiter::Refresh => {}
            }
        }
        self.flush(node);
    }

    pub(super) fn check(&mut self) {
        for shard in (0..WATCHED_SHARDS).map(ShardId) {
            let holders: Vec<_> = self.holders(shard);
            self.checker.holders(shard, &holders);
        }
    }

    /// The processes that may act for the shard now.
    pub fn holders(&self, shard: ShardId) -> Vec<(usize, Epoch)> {
        let holder = |(index, n): (usize, &SimNode)| {
            let epoch = n.control.as_ref()?.epoch_if_held(n.clock.read(self.now), shard)?;
            Some((index, epoch))
        };
        self.nodes.iter().enumerate().filter_map(holder).collect()
    }

    /// Number of shards for which no process may act now.
    pub fn shards_without_owner(&self) -> usize {
        (0..egretlb_types::SHARD_COUNT).filter(|s| self.holders(ShardId(*s)).is_empty()).count()
    }

    /// Checks that processes at the same offset hold the same state.
    pub fn compare_states(&mut self) {
        for sim_node in &self.nodes {
            if let Some((control, state)) =
                sim_node.control.as_ref().and_then(|c| Some((c, c.state()?)))
            {
                self.checker.state(control.next(), state);
            }
        }
    }
}

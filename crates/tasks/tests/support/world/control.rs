//! The log: who owns what, and the journals.

use super::*;

impl World {
    pub(super) fn control(&mut self) {
        self.push(Duration::from_millis(500), Item::Control);
        let now = self.now;
        if now < self.log_down_until {
            return;
        }
        for n in 0..self.nodes.len() {
            let node = &mut self.nodes[n];
            if node.alive && now >= node.paused_until && now >= node.cut_until {
                node.read_at = now;
                node.held_until = now + AUTHORITY;
                self.take_view(n);
                if now >= self.list_stale_until {
                    let vms = self.list.clone();
                    self.step_rack(n, RackEvent::Vms { vms });
                }
            }
        }
        let fresh: Vec<usize> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].alive && now.since(self.nodes[*n].read_at) < GONE_AFTER)
            .collect();
        for shard in 0..SHARD_COUNT {
            self.succeed(ShardId(shard), &fresh);
        }
    }

    /// Ends the shards that the node no longer owns.
    pub(super) fn take_view(&mut self, n: usize) {
        let lost: Vec<ShardId> = self.nodes[n]
            .view
            .iter()
            .filter(|(shard, epoch)| {
                let owner = self.owners[shard.0 as usize];
                owner.node != n || owner.epoch != **epoch
            })
            .map(|(shard, _)| *shard)
            .collect();
        for shard in lost {
            self.nodes[n].view.remove(&shard);
            self.step_job(n, JobEvent::Lost { shard });
            self.step_rack(n, RackEvent::Lost { shard });
        }
        let nodes = self.nodes.iter().filter(|node| node.alive).map(|node| node.id).collect();
        self.step_job(n, JobEvent::Nodes { nodes });
    }

    pub(super) fn succeed(&mut self, shard: ShardId, fresh: &[usize]) {
        let now = self.now;
        let owner = self.owners[shard.0 as usize];
        if !fresh.contains(&owner.node) {
            let best = fresh.iter().max_by_key(|n| rendezvous_score(shard, NodeId(**n as u64)));
            let Some(best) = best else { return };
            let epoch = owner.epoch.next();
            let claim = Owner { node: *best, epoch, claimed: now, settled: false };
            self.owners[shard.0 as usize] = claim;
            return;
        }
        let first = owner.epoch == Epoch(1);
        let waited = first || now.since(owner.claimed) >= AUTHORITY + Duration::from_millis(200);
        if owner.settled || !waited {
            return;
        }
        self.owners[shard.0 as usize].settled = true;
        let n = owner.node;
        let kept = self.log.entry(shard).or_default();
        kept.epoch = owner.epoch;
        let node = &mut self.nodes[n];
        node.jobs.restore(shard, std::mem::take(&mut kept.snapshot));
        for entry in kept.entries.drain(..) {
            node.jobs.replay(shard, &entry);
        }
        kept.snapshot = node.jobs.snapshot(shard);
        node.view.insert(shard, owner.epoch);
        let epoch = owner.epoch;
        self.step_job(n, JobEvent::Owned { shard, epoch });
        self.step_rack(n, RackEvent::Owned { shard, epoch, released: first });
        let vms = self.list.clone();
        self.step_rack(n, RackEvent::Vms { vms });
    }

    /// Appends what waits in a node's journal, in order.
    pub(super) fn flush(&mut self, n: usize) {
        self.push(Duration::from_millis(40), Item::Flush(n));
        if self.now < self.log_down_until || self.now < self.nodes[n].cut_until {
            return;
        }
        let late = self.now < self.log_late_until;
        self.appended += u64::from(!self.nodes[n].journal.is_empty());
        while let Some((shard, epoch, entry, ticket)) = self.nodes[n].journal.pop_front() {
            let kept = self.log.entry(shard).or_default();
            if epoch >= kept.epoch {
                kept.entries.push(entry);
            }
            let least = if late { 1_000 } else { 5 };
            let delay = self.jitter(least, least + 15);
            self.push(delay, Item::Job(n, JobEvent::Journaled { ticket }));
        }
    }
}

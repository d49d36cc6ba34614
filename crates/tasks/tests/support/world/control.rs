//! The log: shard ownership and journals.

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
                self.drop_lost_shards(n);
                if now >= self.list_stale_until {
                    let vms = self.list.clone();
                    self.step_rack(n, RackEvent::Vms { vms });
                }
            }
        }
        let live: Vec<usize> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].alive && now.since(self.nodes[*n].read_at) < FAILED_AFTER)
            .collect();
        for shard in 0..SHARD_COUNT {
            self.assign_owner(ShardId(shard), &live);
        }
    }

    /// Drops the shards that the node no longer owns.
    pub(super) fn drop_lost_shards(&mut self, n: usize) {
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

    pub(super) fn assign_owner(&mut self, shard: ShardId, live: &[usize]) {
        let now = self.now;
        let owner = self.owners[shard.0 as usize];
        if !live.contains(&owner.node) {
            let best = live.iter().max_by_key(|n| rendezvous_score(shard, NodeId(**n as u64)));
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
        let shard_log = self.log.entry(shard).or_default();
        shard_log.epoch = owner.epoch;
        let node = &mut self.nodes[n];
        node.jobs.restore(shard, std::mem::take(&mut shard_log.snapshot));
        for entry in shard_log.entries.drain(..) {
            node.jobs.replay(shard, &entry);
        }
        shard_log.snapshot = node.jobs.snapshot(shard);
        node.view.insert(shard, owner.epoch);
        let epoch = owner.epoch;
        self.step_job(n, JobEvent::Owned { shard, epoch });
        self.step_rack(n, RackEvent::Owned { shard, epoch, released: first });
        let vms = self.list.clone();
        self.step_rack(n, RackEvent::Vms { vms });
    }

    /// Appends a node's pending journal entries in order.
    pub(super) fn flush(&mut self, n: usize) {
        self.push(Duration::from_millis(40), Item::Flush(n));
        if self.now < self.log_down_until || self.now < self.nodes[n].cut_until {
            return;
        }
        let late = self.now < self.log_late_until;
        self.appended += u64::from(!self.nodes[n].journal.is_empty());
        while let Some((shard, epoch, entry, ticket)) = self.nodes[n].journal.pop_front() {
            let shard_log = self.log.entry(shard).or_default();
            if epoch >= shard_log.epoch {
                shard_log.entries.push(entry);
            }
            let min = if late { 1_000 } else { 5 };
            let delay = self.jitter(min, min + 15);
            self.push(delay, Item::Job(n, JobEvent::Journaled { ticket }));
        }
    }
}

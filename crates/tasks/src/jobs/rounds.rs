//! Pending placement requests and their responses.

use {
    super::{JobEffect, JobTable, queue::NodeInfo},
    crate::msg::{Grant, Placed},
    egretlb_types::{Authority, NodeId, ShardId, TaskId, Ticket, Time},
};

/// A placement request to one node.
#[derive(Clone, Debug)]
pub(super) struct Round {
    pub(super) node: NodeId,
    pub(super) sent: Time,
    pub(super) tasks: Vec<TaskId>,
}

impl JobTable {
    pub(super) fn on_placed(
        &mut self,
        now: Time,
        from: NodeId,
        placed: Placed,
        auth: &dyn Authority,
        out: &mut Vec<JobEffect>,
    ) {
        self.record_node(now, from, &placed);
        let has_round = |state: &super::Shard| state.rounds.contains_key(&placed.round);
        let Some(shard) = self.shards.iter().find(|(_, state)| has_round(state)) else { return };
        let shard = *shard.0;
        // Without authority nothing is started; the round and its reservations expire.
        if self.authorized_epoch(now, shard, auth).is_none() {
            return;
        }
        if placed.reclaiming == 0 {
            self.allow_reclaim(shard, placed.round);
        }
        self.end_round(shard, placed.round, &placed.refused);
        for grant in placed.granted {
            self.start(now, shard, grant, auth, out);
        }
    }

    fn record_node(&mut self, now: Time, from: NodeId, placed: &Placed) {
        let Some(node) = self.nodes.get_mut(&from) else { return };
        self.sizes.record(now, &placed.capacity);
        let NodeInfo { capacity, usage, .. } = node;
        *capacity = Some(placed.capacity.clone());
        for of_team in &placed.usage {
            usage.insert(of_team.team.clone(), of_team.held);
        }
    }

    /// The node had nothing to reclaim: the next node may be asked at once.
    fn allow_reclaim(&mut self, shard: ShardId, round: Ticket) {
        let Some(state) = self.shards.get_mut(&shard) else { return };
        let Some(pending) = state.rounds.get(&round) else { return };
        for task in pending.tasks.clone() {
            if let Some(job) = state.jobs.get_mut(&task.job)
                && job.reclaim_round == Some(round)
            {
                job.reclaimed_at = None;
            }
        }
    }

    /// Removes a round. The node isn't asked again in this sweep for jobs of which it refused a
    /// task.
    fn end_round(&mut self, shard: ShardId, round: Ticket, refused: &[TaskId]) {
        let Some(state) = self.shards.get_mut(&shard) else { return };
        let Some(Round { node, tasks, .. }) = state.rounds.remove(&round) else { return };
        for task in &tasks {
            let Some(job) = state.jobs.get_mut(&task.job) else { continue };
            if let Some(waiting) = job.waiting.get_mut(&task.index)
                && waiting.round == Some(round)
            {
                waiting.round = None;
            }
            if refused.contains(task) && !job.refused_by.contains(&node) {
                job.refused_by.push(node);
            }
        }
    }

    /// Treats a node that doesn't answer as full. A response that arrives later is ignored, so an
    /// attempt is never granted twice.
    pub(super) fn expire_rounds(&mut self, now: Time, shard: ShardId) {
        let timeout = self.limits.place_timeout;
        let Some(state) = self.shards.get(&shard) else { return };
        let late = state.rounds.iter().filter(|(_, round)| now.since(round.sent) >= timeout);
        let late: Vec<(Ticket, Vec<TaskId>)> =
            late.map(|(ticket, round)| (*ticket, round.tasks.clone())).collect();
        for (round, tasks) in late {
            self.end_round(shard, round, &tasks);
        }
    }

    /// Whether the grant is for the task's next attempt.
    pub(super) fn is_current_grant(&self, shard: ShardId, grant: &Grant) -> bool {
        let Some(job) = self.shards.get(&shard).and_then(|state| state.jobs.get(&grant.task.job))
        else {
            return false;
        };
        let waits = job.waiting.contains_key(&grant.task.index);
        let task = job.record.tasks.get(grant.task.index as usize);
        waits && task.is_some_and(|task| task.attempts.next() == grant.attempt)
    }
}

//! Placement order, and the choice of nodes.
//!
//! Services go first, then urgent jobs, batch jobs at risk of missing their target, other jobs
//! within their team's quota, and jobs over quota. Within a rank the job furthest behind its target
//! goes first.

use {
    super::{JobTable, job::Job, rounds::Round},
    crate::msg::{NodeCapacity, NodeMsg, Place, TaskRequest},
    egretlb_types::{ClassKind, JobId, NodeId, Resources, ShardId, TaskId, TeamName, Ticket, Time},
    rand::Rng,
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
};

/// Maximum number of tasks of one job in a request to one node, so that a large job spreads over
/// the nodes.
const MAX_TASKS_PER_REQUEST: usize = 8;

/// How often a node's capacity is queried if no placement request does so.
const CAPACITY_QUERY_INTERVAL: Duration = Duration::from_secs(20);

/// Minimum time between reclaims for one job: a checkpoint and a stop take some seconds, and a
/// second reclaim would evict more tasks than needed.
const RECLAIM_INTERVAL: Duration = Duration::from_secs(10);

/// How long a VM size is remembered: many times a succession.
const VM_SIZE_RETENTION: Duration = Duration::from_secs(600);

/// Share of a job's time that must pass before it counts as at risk for being behind, since it may
/// not have had its turn yet.
const AT_RISK_AFTER_PERCENT: u32 = 25;

/// Last known state of a node.
#[derive(Clone, Debug, Default)]
pub(super) struct NodeInfo {
    pub(super) capacity: Option<NodeCapacity>,
    pub(super) usage: BTreeMap<TeamName, Resources>,
    pub(super) last_request: Option<Time>,
}

impl NodeInfo {
    /// Whether the node reported any VM. Without one it has no racks or has just taken some over.
    pub(super) fn has_vms(&self) -> bool {
        self.capacity.as_ref().is_some_and(|capacity| !capacity.largest.is_empty())
    }
}

/// The VM sizes that nodes reported lately.
///
/// During a succession nobody reports a rack's VMs. Sizes are remembered for longer than that, so
/// that a task isn't wrongly declared too large for every VM.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownVmSizes {
    sizes: Vec<(Resources, Time)>,
    /// When the first size was reported.
    since: Option<Time>,
}

impl KnownVmSizes {
    pub(super) fn record(&mut self, now: Time, capacity: &NodeCapacity) {
        self.since = self.since.or((!capacity.largest.is_empty()).then_some(now));
        self.sizes.retain(|(_, at)| now.since(*at) < VM_SIZE_RETENTION);
        for size in &capacity.largest {
            self.sizes.retain(|(known, _)| known != size);
            self.sizes.push((*size, now));
        }
    }
}

/// Placement priority.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Rank {
    Service,
    Urgent,
    AtRisk,
    WithinQuota,
    OverQuota,
}

impl JobTable {
    pub(super) fn apply_nodes(&mut self, nodes: Vec<NodeId>) {
        self.nodes.retain(|node, _| nodes.contains(node));
        for node in nodes {
            self.nodes.entry(node).or_default();
        }
    }

    /// Queries the capacity of nodes, so that a task that fits no VM is refused at submission.
    pub(super) fn query_capacity(&mut self, now: Time, out: &mut Vec<super::JobEffect>) {
        let Some(shard) = self.shards.iter().find(|(_, state)| state.epoch.is_some()) else {
            return;
        };
        let shard = *shard.0;
        let resend = self.limits.resend;
        for (id, node) in &mut self.nodes {
            let every = if node.has_vms() { CAPACITY_QUERY_INTERVAL } else { resend };
            if node.last_request.is_some_and(|last_request| now.since(last_request) < every) {
                continue;
            }
            node.last_request = Some(now);
            let msg = NodeMsg::Place(Place { shard, round: Ticket(0), requests: Vec::new() });
            out.push(super::JobEffect::SendToNode { node: *id, msg });
        }
    }

    /// Sends the next tasks of a shard to nodes that may have free capacity.
    pub(super) fn plan(&mut self, now: Time, shard: ShardId, out: &mut Vec<super::JobEffect>) {
        let Some(state) = self.shards.get(&shard) else { return };
        let in_rounds: usize = state.rounds.values().map(|round| round.tasks.len()).sum();
        let mut budget = self.limits.max_pending_placements.saturating_sub(in_rounds);
        let mut order: Vec<(Rank, Reverse<u64>, JobId)> = Vec::new();
        for id in &state.open {
            let Some(job) = state.jobs.get(id) else { continue };
            if !job.waiting.is_empty() && now >= job.not_before {
                order.push((self.rank_of(now, job), Reverse(self.lag(now, job)), id.clone()));
            }
        }
        order.sort();
        let mut batches: BTreeMap<NodeId, Vec<TaskRequest>> = BTreeMap::new();
        for (rank, _, id) in order {
            if budget == 0 {
                break;
            }
            budget -= self.plan_job(now, shard, &id, rank, budget, &mut batches);
        }
        for (node, requests) in batches {
            self.request_placement(now, shard, node, requests, out);
        }
    }

    /// Adds tasks of a job to the requests of nodes. Returns their number.
    fn plan_job(
        &mut self,
        now: Time,
        shard: ShardId,
        id: &JobId,
        rank: Rank,
        budget: usize,
        batches: &mut BTreeMap<NodeId, Vec<TaskRequest>>,
    ) -> usize {
        let Some(job) = self.shards.get(&shard).and_then(|state| state.jobs.get(id)) else {
            return 0;
        };
        let missing = if job.record.service { self.missing_replicas(job) } else { usize::MAX };
        let free = job.waiting.iter().filter(|(_, w)| w.round.is_none() && now >= w.not_before);
        let tasks: Vec<u32> = free.map(|(index, _)| *index).take(budget.min(missing)).collect();
        let may_reclaim = rank <= Rank::AtRisk
            && job.sweeps > 0
            && job.reclaimed_at.is_none_or(|at| now.since(at) >= RECLAIM_INTERVAL);
        let mut planned = 0;
        for chunk in tasks.chunks(MAX_TASKS_PER_REQUEST) {
            let Some(node) = self.choose_node(shard, id) else {
                self.end_sweep(now, shard, id, rank);
                break;
            };
            let reclaim = may_reclaim && planned == 0;
            let Some(job) = self.shards.get_mut(&shard).and_then(|state| state.jobs.get_mut(id))
            else {
                break;
            };
            if reclaim {
                job.reclaimed_at = Some(now);
            }
            let requests = chunk.iter().map(|index| task_request(job, *index, rank, reclaim));
            batches.entry(node).or_default().extend(requests);
            planned += chunk.len();
        }
        planned
    }

    /// Whether it fits no VM size reported lately, even empty, and sizes have been known for long
    /// enough.
    pub(super) fn fits_no_known_vm(&self, now: Time, resources: &Resources) -> bool {
        let known_long_enough = |since: Time| now.since(since) >= self.limits.never_fits_after;
        self.sizes.since.is_some_and(known_long_enough)
            && self.sizes.sizes.iter().all(|(size, _)| !resources.fits(size))
    }

    fn request_placement(
        &mut self,
        now: Time,
        shard: ShardId,
        node: NodeId,
        requests: Vec<TaskRequest>,
        out: &mut Vec<super::JobEffect>,
    ) {
        self.next_ticket = self.next_ticket.next();
        let round = self.next_ticket;
        let tasks: Vec<TaskId> = requests.iter().map(|request| request.task.clone()).collect();
        for request in requests.iter().filter(|request| request.reclaim) {
            if let Some(job) = self.job_mut(&request.task) {
                job.reclaim_round = Some(round);
            }
        }
        for task in &tasks {
            if let Some(job) = self.job_mut(task)
                && let Some(waiting) = job.waiting.get_mut(&task.index)
            {
                waiting.round = Some(round);
            }
        }
        if let Some(state) = self.shards.get_mut(&shard) {
            state.rounds.insert(round, Round { node, sent: now, tasks });
        }
        if let Some(info) = self.nodes.get_mut(&node) {
            info.last_request = Some(now);
        }
        let msg = NodeMsg::Place(Place { shard, round, requests });
        out.push(super::JobEffect::SendToNode { node, msg });
    }

    /// The node with more free capacity of two random ones not yet asked in this sweep. Always
    /// taking the best would send every owner's tasks to one node until its capacity is reported
    /// again.
    fn choose_node(&mut self, shard: ShardId, id: &JobId) -> Option<NodeId> {
        let job = self.shards.get(&shard)?.jobs.get(id)?;
        let resources = &job.record.resources;
        let is_candidate = |(node, info): &(&NodeId, &NodeInfo)| {
            !job.refused_by.contains(node)
                && info.capacity.as_ref().is_none_or(|capacity| capacity.could_fit(resources))
        };
        let nodes: Vec<(&NodeId, &NodeInfo)> = self.nodes.iter().filter(is_candidate).collect();
        if nodes.is_empty() {
            return None;
        }
        let first = nodes[self.rng.random_range(0..nodes.len())];
        let second = nodes[self.rng.random_range(0..nodes.len())];
        let free = |info: &NodeInfo| {
            info.capacity.as_ref().map_or(u32::MAX, |capacity| capacity.free.cpu.0)
        };
        Some(if free(second.1) > free(first.1) { *second.0 } else { *first.0 })
    }

    /// Ends a sweep over all nodes: the job backs off, so that a full cluster isn't overloaded by
    /// requests.
    fn end_sweep(&mut self, now: Time, shard: ShardId, id: &JobId, rank: Rank) {
        let backoff = match rank {
            Rank::Service | Rank::Urgent => self.limits.urgent_backoff,
            _ => self.limits.place_backoff,
        };
        let Some(job) = self.shards.get(&shard).and_then(|state| state.jobs.get(id)) else {
            return;
        };
        let never_fits = self.fits_no_known_vm(now, &job.record.resources);
        let Some(job) = self.shards.get_mut(&shard).and_then(|state| state.jobs.get_mut(id)) else {
            return;
        };
        job.never_fits_since = if never_fits { job.never_fits_since.or(Some(now)) } else { None };
        job.refused_by.clear();
        job.sweeps = job.sweeps.saturating_add(1);
        job.not_before = now + backoff;
    }

    pub(super) fn rank_of(&self, now: Time, job: &Job) -> Rank {
        if job.record.service {
            return Rank::Service;
        }
        if !self.within_quota(job) {
            return Rank::OverQuota;
        }
        match self.batch_target(job) {
            Some(target) if target.urgent => Rank::Urgent,
            Some(target) if self.is_at_risk(now, job, &target) => Rank::AtRisk,
            _ => Rank::WithinQuota,
        }
    }

    /// Whether one more task of the job fits its team's quota, by the usage that nodes last
    /// reported.
    fn within_quota(&self, job: &Job) -> bool {
        let Some(team) = &job.record.team else { return true };
        let Some(spec) = self.document.as_ref().and_then(|document| document.team(team)) else {
            return true;
        };
        let held = |sum: Resources, node: &NodeInfo| match node.usage.get(team) {
            Some(held) => sum.plus(held),
            None => sum,
        };
        let held = self.nodes.values().fold(Resources::default(), held);
        held.plus(&job.record.resources).fits(&spec.quota)
    }

    fn batch_target(&self, job: &Job) -> Option<BatchTarget> {
        let class = self.class(&job.record.spec.class)?;
        let ClassKind::Batch { amount, period, urgent, .. } = class.kind else { return None };
        // A job larger than the class's amount gets proportionally more periods.
        let periods = job.record.spec.tasks.div_ceil(amount.max(1)).max(1);
        Some(BatchTarget { time: period * periods, urgent })
    }

    /// Parallelism required to finish in time, in thousandths, per running attempt.
    fn lag(&self, now: Time, job: &Job) -> u64 {
        let Some(target) = self.batch_target(job) else { return 0 };
        self.required_parallelism_permille(now, job, &target) / (job.active.len() as u64).max(1)
    }

    fn required_parallelism_permille(&self, now: Time, job: &Job, target: &BatchTarget) -> u64 {
        let run_time = self.run_time(job);
        let left = target.time.saturating_sub(now.since(job.submitted)).max(run_time);
        let work = run_time.as_millis() as u64 * u64::from(job.remaining());
        work * 1_000 / (left.as_millis() as u64).max(1)
    }

    fn run_time(&self, job: &Job) -> Duration {
        let learned = self.run_times.run_time(&job.record.spec.class);
        learned.unwrap_or(job.record.run_time).max(Duration::from_millis(1))
    }

    fn is_at_risk(&self, now: Time, job: &Job, target: &BatchTarget) -> bool {
        let passed = now.since(job.submitted);
        let past_initial_share = passed * 100 >= target.time * AT_RISK_AFTER_PERCENT;
        let late = target.time.saturating_sub(passed) < self.run_time(job) * 2;
        let behind =
            self.required_parallelism_permille(now, job, target) > job.active.len() as u64 * 1_000;
        late || (past_initial_share && behind)
    }
}

/// Deadline of a job, counted from its submission.
struct BatchTarget {
    time: Duration,
    urgent: bool,
}

fn task_request(job: &Job, index: u32, rank: Rank, reclaim: bool) -> TaskRequest {
    let record = &job.record;
    let task = &record.tasks[index as usize];
    let spread = if job.spread { job.data_centres() } else { Default::default() };
    TaskRequest {
        task: TaskId { job: record.spec.job.clone(), index },
        attempt: task.attempts.next(),
        class: record.spec.class.clone(),
        team: record.team.clone(),
        resources: record.resources,
        // A failed task may have had too small a learned size.
        learned_size: record.learned_size && task.fails == 0,
        service: record.service,
        over_quota: rank == Rank::OverQuota,
        reclaim,
        avoid: task.failed_on.clone(),
        avoid_data_centres: spread,
    }
}

//! Number of replicas of each service.
//!
//! It follows the load that entries measure: late or refused requests, and concurrent requests. It
//! grows at once when the target is missed and shrinks slowly, one replica at a time, since a
//! missing replica delays callers and a surplus one only uses capacity of batch tasks.

use {
    super::{
        JobAlarm, JobEffect, JobEntry, JobSpec, JobTable,
        job::Job,
        record::{JobRecord, service_job},
    },
    crate::msg::NodeMsg,
    egretlb_types::{
        Authority, ClassKind, ClassLoad, ClassName, ClassSpec, JobId, NodeId, Resources, ShardId,
        Time, shard_of_class,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// How often the replica counts are planned.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// How long an entry's measurement is used.
const LOAD_MAX_AGE: Duration = Duration::from_secs(15);

/// Minimum time between two increases, so that the effect of new replicas is measured.
const MIN_GROWTH_INTERVAL: Duration = Duration::from_secs(10);

/// How long a service must need fewer replicas before one is removed.
const SHRINK_AFTER: Duration = Duration::from_secs(300);

/// Assumed concurrent requests per replica, while the slots of its backend server aren't known
/// here.
const ASSUMED_SLOTS: u64 = 8;

/// Target utilization of a replica's slots. Waiting times grow steeply above it; the rest absorbs
/// bursts until a new replica runs.
const TARGET_UTILIZATION_PERMILLE: u64 = 600;

/// Utilization below which a replica is removed. Far below the target, to avoid oscillation.
const IDLE_UTILIZATION_PERMILLE: u64 = 300;

/// Maximum number of replicas of a class.
const MAX_REPLICAS: u32 = 512;

/// State of a service class whose shard is owned.
#[derive(Debug, Default)]
pub(super) struct ServiceState {
    loads: BTreeMap<NodeId, (Time, ClassLoad)>,
    pub(super) target_replicas: u32,
    grown_at: Option<Time>,
    idle_since: Option<Time>,
    target_missed: bool,
    below_target_since: Option<Time>,
}

/// Load of a service, summed over entries.
#[derive(Clone, Copy, Debug, Default)]
struct LoadSum {
    within_target: u64,
    outside_target: u64,
    open_permille: u64,
}

impl ServiceState {
    fn sum_loads(&mut self, now: Time) -> LoadSum {
        self.loads.retain(|_, (at, _)| now.since(*at) < LOAD_MAX_AGE);
        let mut sum = LoadSum::default();
        for (_, load) in self.loads.values() {
            sum.within_target += u64::from(load.within_target);
            sum.outside_target += u64::from(load.late) + u64::from(load.refused);
            sum.open_permille += u64::from(load.open_permille);
        }
        sum
    }

    /// Sets the target number of replicas.
    fn update_target(&mut self, now: Time, permille: u64, min_replicas: u32, running: u32) {
        let sum = self.sum_loads(now);
        let total = sum.within_target + sum.outside_target;
        self.target_missed =
            total > 0 && sum.outside_target * 1_000 > total * 1_000_u64.saturating_sub(permille);
        // Open requests are in thousandths, and so is the share.
        let per_replica = ASSUMED_SLOTS * TARGET_UTILIZATION_PERMILLE;
        let for_load = u32::try_from(sum.open_permille.div_ceil(per_replica)).unwrap_or(u32::MAX);
        let mut target = for_load.max(min_replicas);
        if self.target_missed {
            // Replicas that are little used and still late suffer interference. More replicas
            // wouldn't help; the rack tables throttle or evict the neighbours instead.
            let useful = sum.open_permille / (ASSUMED_SLOTS * IDLE_UTILIZATION_PERMILLE);
            let more = running + (running / 4).max(1);
            target = target.max(more.min(u32::try_from(useful).unwrap_or(u32::MAX)));
        }
        target = target.min(MAX_REPLICAS);
        let may_grow = self.grown_at.is_none_or(|at| now.since(at) >= MIN_GROWTH_INTERVAL);
        if target > self.target_replicas && may_grow {
            self.target_replicas = target;
            self.grown_at = Some(now);
        }
        self.shrink(now, &sum, min_replicas);
    }

    fn shrink(&mut self, now: Time, sum: &LoadSum, min_replicas: u32) {
        let idle_below =
            u64::from(self.target_replicas) * ASSUMED_SLOTS * IDLE_UTILIZATION_PERMILLE;
        let idle = !self.target_missed && !self.loads.is_empty() && sum.open_permille < idle_below;
        if !idle || self.target_replicas <= min_replicas {
            self.idle_since = None;
            return;
        }
        let since = *self.idle_since.get_or_insert(now);
        if now.since(since) >= SHRINK_AFTER {
            self.target_replicas -= 1;
            self.idle_since = Some(now);
        }
    }
}

impl JobTable {
    pub(super) fn on_load(&mut self, now: Time, from: NodeId, class: ClassName, load: ClassLoad) {
        if let Some(service) = self.services.get_mut(&class) {
            service.loads.insert(from, (now, load));
        }
    }

    pub(super) fn plan_services(
        &mut self,
        now: Time,
        auth: &dyn Authority,
        out: &mut Vec<JobEffect>,
    ) {
        let Some(document) = self.document.clone() else { return };
        if now < self.next_service_plan_at {
            return;
        }
        self.next_service_plan_at = now + PLAN_INTERVAL;
        self.retire_services(now);
        for class in &document.classes {
            let shard = shard_of_class(&class.name);
            let is_service = matches!(class.kind, ClassKind::Latency { .. });
            if is_service && self.authorized_epoch(now, shard, auth).is_some() {
                self.plan_service(now, shard, class, out);
            }
        }
    }

    /// Stops the replicas of classes that are no longer configured, including those that an earlier
    /// owner started.
    fn retire_services(&mut self, now: Time) {
        let classes = &self.classes;
        self.services.retain(|class, _| classes.contains_key(class));
        for state in self.shards.values_mut() {
            for id in &state.open {
                let Some(job) = state.jobs.get_mut(id) else { continue };
                if !job.record.service || classes.contains_key(&job.record.spec.class) {
                    continue;
                }
                for active in job.active.values_mut().filter(|active| !active.stop) {
                    active.stop = true;
                    active.send_at = now;
                }
            }
        }
    }

    fn plan_service(
        &mut self,
        now: Time,
        shard: ShardId,
        class: &ClassSpec,
        out: &mut Vec<JobEffect>,
    ) {
        let ClassKind::Latency { permille, replica, spread, .. } = class.kind else { return };
        let Some(id) = service_job(&class.name) else {
            if !self.services.contains_key(&class.name) {
                self.services.insert(class.name.clone(), ServiceState::default());
                let class = class.name.clone();
                out.push(JobEffect::Alarm(JobAlarm::ServiceNameTooLong { class }));
            }
            return;
        };
        self.services.entry(class.name.clone()).or_default();
        self.create_service_job(now, shard, &id, class, replica, out);
        let running = self.replicas(shard, &id);
        let min_replicas = if spread { 2 } else { 1 };
        let Some(service) = self.services.get_mut(&class.name) else { return };
        // A new owner starts from the running replicas until the load is measured again.
        service.target_replicas =
            service.target_replicas.max(if service.grown_at.is_none() { running } else { 0 });
        service.update_target(now, u64::from(permille), min_replicas, running);
        let (target_replicas, target_missed) = (service.target_replicas, service.target_missed);
        self.resize(now, shard, &id, target_replicas, spread, out);
        self.report_missed_target(&class.name, target_missed, out);
        self.alarm_if_short(now, &class.name, running, out);
    }

    fn create_service_job(
        &mut self,
        now: Time,
        shard: ShardId,
        id: &JobId,
        class: &ClassSpec,
        replica: Resources,
        out: &mut Vec<JobEffect>,
    ) {
        let Some(state) = self.shards.get_mut(&shard) else { return };
        if state.jobs.contains_key(id) {
            return;
        }
        let spec = JobSpec {
            job: id.clone(),
            class: class.name.clone(),
            tasks: 0,
            command: class.name.as_str().into(),
            resources: None,
        };
        let record = JobRecord {
            spec,
            resources: replica,
            learned_size: true,
            team: Some(class.team.clone()),
            run_time: Duration::ZERO,
            service: true,
            cancelled: false,
            tasks: Vec::new(),
        };
        state.jobs.insert(id.clone(), Job::new(now, record.clone()));
        state.open.insert(id.clone());
        self.journal(shard, JobEntry::Submitted { record: Box::new(record) }, out);
    }

    /// Replicas that run or start and aren't stopping or draining.
    fn replicas(&self, shard: ShardId, id: &JobId) -> u32 {
        let job = self.shards.get(&shard).and_then(|state| state.jobs.get(id));
        let not_ending = |active: &&super::job::Active| !active.stop && !active.draining;
        job.map_or(0, |job| job.active.values().filter(not_ending).count() as u32)
    }

    fn resize(
        &mut self,
        now: Time,
        shard: ShardId,
        id: &JobId,
        target_replicas: u32,
        spread: bool,
        out: &mut Vec<JobEffect>,
    ) {
        let current = self.replicas(shard, id);
        let Some(job) = self.shards.get_mut(&shard).and_then(|state| state.jobs.get_mut(id)) else {
            return;
        };
        job.spread = spread;
        let surplus = current.saturating_sub(target_replicas) as usize;
        let not_ending = job.active.values_mut().filter(|active| !active.stop && !active.draining);
        for active in not_ending.rev().take(surplus) {
            active.stop = true;
            active.send_at = now;
        }
        let waiting = job.waiting.len() as u32;
        let missing = target_replicas.saturating_sub(current);
        if waiting < missing {
            let tasks = job.record.tasks.len() as u32 + missing - waiting;
            self.journal(shard, JobEntry::Grown { job: id.clone(), tasks }, out);
            if let Some(job) = self.shards.get_mut(&shard).and_then(|state| state.jobs.get_mut(id))
            {
                job.refill(now);
            }
        }
    }

    /// Number of further replicas to request now.
    pub(super) fn missing_replicas(&self, job: &Job) -> usize {
        let class = &job.record.spec.class;
        let target_replicas =
            self.services.get(class).map_or(0, |service| service.target_replicas) as usize;
        let not_ending =
            job.active.values().filter(|active| !active.stop && !active.draining).count();
        let in_round = job.waiting.values().filter(|waiting| waiting.round.is_some()).count();
        target_replicas.saturating_sub(not_ending + in_round)
    }

    fn report_missed_target(&mut self, class: &ClassName, missed: bool, out: &mut Vec<JobEffect>) {
        let Some(service) = self.services.get_mut(class) else { return };
        if !missed {
            return;
        }
        service.idle_since = None;
        for node in self.nodes.keys() {
            let msg = NodeMsg::TargetStatus { class: class.clone(), missed };
            out.push(JobEffect::SendToNode { node: *node, msg });
        }
    }

    fn alarm_if_short(&mut self, now: Time, class: &ClassName, has: u32, out: &mut Vec<JobEffect>) {
        let Some(service) = self.services.get_mut(class) else { return };
        if has >= service.target_replicas {
            service.below_target_since = None;
            return;
        }
        let since = *service.below_target_since.get_or_insert(now);
        if now.since(since) >= MIN_GROWTH_INTERVAL * 3 {
            service.below_target_since = Some(now);
            let needs = service.target_replicas;
            let alarm = JobAlarm::ServiceShort { class: class.clone(), has, needs };
            out.push(JobEffect::Alarm(alarm));
        }
    }
}

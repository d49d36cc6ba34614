//! Throttling and eviction: for a service that misses its target, for a team within its quota, and
//! from VMs that are draining.
//!
//! Evictions lose the work since the last checkpoint, so they are the last resort. For a service,
//! the batch neighbour of its slowest replica with the highest expected interference is throttled
//! first. It is evicted only if the throttle had no effect, the task has run long enough, and the
//! budget allows.

use {
    super::{
        CallKind, EvictReason, Guard, RackAlarm, RackEffect, RackTable, WorkerCall, to_job,
        vm::{Phase, Vm, VmAttempt},
    },
    crate::msg::{JobMsg, TaskRequest},
    egretlb_types::{
        Authority, ClassName, Resources, Time, VmId,
        worker::{TaskFence, ThrottleTask},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// How long a service counts as missing its target after the last notification.
const MISSED_TARGET_LIFETIME: Duration = Duration::from_secs(12);

/// Interval between checks of services and throttled tasks. Measurements are usually older.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Share of processor time left to a throttled task. Low enough to show an effect, high enough for
/// progress.
const THROTTLE_PERMILLE: u16 = 300;

/// Minimum slowdown of a replica for which neighbours are throttled.
const MIN_SLOWDOWN_PERMILLE: u32 = 1_100;

/// Services that miss their target, and the eviction budget.
#[derive(Debug, Default)]
pub(super) struct EvictionState {
    missing_until: BTreeMap<ClassName, Time>,
    /// When each service last missed its target; throttles are lifted some time after.
    last_missed: BTreeMap<ClassName, Time>,
    next_check: Time,
    /// Available evictions in thousandths, and when they were last refilled.
    budget: u64,
    refilled_at: Time,
}

impl EvictionState {
    pub(super) fn record_target(&mut self, now: Time, class: ClassName, missing: bool) {
        if missing {
            self.last_missed.insert(class.clone(), now);
            self.missing_until.insert(class, now + MISSED_TARGET_LIFETIME);
        } else {
            self.missing_until.remove(&class);
        }
    }

    /// Refills the budget in proportion to the running batch tasks, up to one minute's worth.
    fn refill_budget(&mut self, now: Time, batch: u64, per_minute: u32) {
        let minute = (batch * u64::from(per_minute) * 10).max(1_000);
        let since = now.since(self.refilled_at).as_millis() as u64;
        self.budget = (self.budget + minute * since / 60_000).min(minute);
        self.refilled_at = now;
    }

    fn spend_one(&mut self) -> bool {
        let enough = self.budget >= 1_000;
        if enough {
            self.budget -= 1_000;
        }
        enough
    }
}

impl RackTable {
    /// Throttles or evicts neighbours of services that miss their target, and lifts throttles.
    pub(super) fn protect_services(
        &mut self,
        now: Time,
        auth: &dyn Authority,
        out: &mut Vec<RackEffect>,
    ) {
        if now < self.eviction.next_check {
            return;
        }
        self.eviction.next_check = now + CHECK_INTERVAL;
        let batch = |attempt: &&VmAttempt| !attempt.service && attempt.phase == Phase::Running;
        let running = self.vms.values().flat_map(|vm| vm.attempts.values()).filter(batch).count();
        self.eviction.refill_budget(now, running as u64, self.limits.evictions_per_minute);
        self.eviction.missing_until.retain(|_, until| now < *until);
        let classes: Vec<ClassName> = self.eviction.missing_until.keys().cloned().collect();
        for class in &classes {
            if let Some(id) = self.vm_of_slowest_replica(class, now, auth) {
                self.throttle_or_evict(now, &id, out);
            }
        }
        self.lift_throttles(now, auth, out);
    }

    /// The VM with the class's slowest replica that has batch neighbours.
    fn vm_of_slowest_replica(
        &self,
        class: &ClassName,
        now: Time,
        auth: &dyn Authority,
    ) -> Option<VmId> {
        let slowdown = |vm: &Vm| {
            let of_class = |attempt: &&VmAttempt| attempt.service && attempt.class == *class;
            vm.attempts.values().filter(of_class).map(|attempt| attempt.slowdown_permille).max()
        };
        let candidates = self.vms.values().filter(|vm| self.has_authority(now, vm.shard, auth));
        candidates
            .filter(|vm| {
                vm.attempts
                    .values()
                    .any(|attempt| !attempt.service && attempt.phase == Phase::Running)
            })
            .filter_map(|vm| slowdown(vm).map(|slow| (slow, vm)))
            .filter(|(slow, _)| *slow >= MIN_SLOWDOWN_PERMILLE)
            .max_by_key(|(slow, _)| *slow)
            .map(|(_, vm)| vm.record.vm.clone())
    }

    fn throttle_or_evict(&mut self, now: Time, id: &VmId, out: &mut Vec<RackEffect>) {
        let (min_run_time, effect_time) =
            (self.limits.min_run_time, self.limits.throttle_effect_time);
        for of in self.by_interference(id) {
            let Some(attempt) = self.vms.get(id).and_then(|vm| vm.attempts.get(&of)) else {
                continue;
            };
            match attempt.throttled_since {
                None => return self.throttle(now, id, &of, THROTTLE_PERMILLE, out),
                // The effect isn't measured yet.
                Some(since) if now.since(since) < effect_time => return,
                Some(_)
                    if now.since(attempt.since) >= min_run_time && self.eviction.spend_one() =>
                {
                    return self.evict(now, id, &of, EvictReason::Service, out);
                }
                // It can't be evicted now and stays throttled; the next task is tried.
                Some(_) => {}
            }
        }
    }

    /// The batch tasks of a VM by expected interference with its services, highest first. Processor
    /// use ranks tasks without learned interference.
    fn by_interference(&self, id: &VmId) -> Vec<TaskFence> {
        let Some(vm) = self.vms.get(id) else { return Vec::new() };
        let services: Vec<&ClassName> = vm
            .attempts
            .values()
            .filter(|attempt| attempt.service)
            .map(|attempt| &attempt.class)
            .collect();
        let interference = |attempt: &VmAttempt| {
            let learned: f64 =
                services.iter().map(|s| self.learned.pair_slowdown(s, &attempt.class)).sum();
            learned + f64::from(attempt.used.cpu.0) / f64::from(vm.record.capacity.cpu.0.max(1))
        };
        let batch = vm
            .attempts
            .iter()
            .filter(|(_, attempt)| !attempt.service && attempt.phase == Phase::Running);
        let mut batch: Vec<(&TaskFence, f64)> =
            batch.map(|(of, attempt)| (of, interference(attempt))).collect();
        batch.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        batch.into_iter().map(|(of, _)| of.clone()).collect()
    }

    fn throttle(
        &mut self,
        now: Time,
        id: &VmId,
        of: &TaskFence,
        permille: u16,
        out: &mut Vec<RackEffect>,
    ) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let guard = Guard::Authority(vm.shard);
        let Some(attempt) = vm.attempts.get_mut(of) else { return };
        attempt.throttled_since = (permille < 1_000).then_some(now);
        if attempt.throttled_since.is_some() {
            let alarm = RackAlarm::Throttled { vm: id.clone(), task: of.task.clone() };
            out.push(RackEffect::Alarm(alarm));
        }
        let call = WorkerCall::Throttle(ThrottleTask { of: of.clone(), permille });
        self.call(now, id, CallKind::Throttle(of.clone()), call, guard, out);
    }

    /// Lifts throttles on VMs whose services have met their targets for a while. The delay avoids
    /// oscillation.
    fn lift_throttles(&mut self, now: Time, auth: &dyn Authority, out: &mut Vec<RackEffect>) {
        let throttle_release_after = self.limits.throttle_release_after;
        let mut lift = Vec::new();
        for (id, vm) in &self.vms {
            let services = vm.attempts.values().filter(|attempt| attempt.service);
            let last_missed =
                services.filter_map(|attempt| self.eviction.last_missed.get(&attempt.class)).max();
            let targets_met = last_missed
                .is_none_or(|last_missed| now.since(*last_missed) >= throttle_release_after);
            if !targets_met || !self.has_authority(now, vm.shard, auth) {
                continue;
            }
            for (of, attempt) in &vm.attempts {
                if attempt.phase == Phase::Running && attempt.throttled_since.is_some() {
                    lift.push((id.clone(), of.clone()));
                }
            }
        }
        for (id, of) in lift {
            self.throttle(now, &id, &of, 1_000, out);
        }
    }

    /// Checkpoints and stops a task; its job's owner queues it again.
    fn evict(
        &mut self,
        now: Time,
        id: &VmId,
        of: &TaskFence,
        why: EvictReason,
        out: &mut Vec<RackEffect>,
    ) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let Some(attempt) = vm.attempts.get_mut(of) else { return };
        attempt.phase = Phase::Stopping;
        attempt.checkpoint = true;
        attempt.next_call_at = now;
        let alarm = RackAlarm::Evicting { vm: id.clone(), task: of.task.clone(), why };
        out.push(RackEffect::Alarm(alarm));
    }

    /// Evicts as few tasks over quota as needed to free capacity for the request on one VM. A later
    /// request gets the capacity. Returns whether capacity is being freed.
    pub(super) fn reclaim(
        &mut self,
        now: Time,
        request: &TaskRequest,
        auth: &dyn Authority,
        out: &mut Vec<RackEffect>,
    ) -> bool {
        let resources = self.size_of(request);
        let mut best: Option<(VmId, Vec<TaskFence>)> = None;
        for (id, vm) in &self.vms {
            let accepts_tasks = vm.may_grant(true) && !vm.health.quarantined;
            if !accepts_tasks || !self.has_authority(now, vm.shard, auth) {
                continue;
            }
            let Some(victims) = victims(vm, &resources, now, self.limits.min_run_time) else {
                continue;
            };
            if best.as_ref().is_none_or(|(_, least)| victims.len() < least.len()) {
                best = Some((id.clone(), victims));
            }
        }
        let Some((id, victims)) = best else { return false };
        if let Some(vm) = self.vms.get_mut(&id) {
            vm.promised = vm.promised.plus(&resources);
        }
        for of in &victims {
            self.evict(now, &id, of, EvictReason::Reclaim, out);
        }
        self.call_due(now, &id, auth, out);
        true
    }

    /// Drains a VM: replicas get no new requests and are replaced first; batch tasks are
    /// checkpointed and evicted.
    pub(super) fn drain_vm(&mut self, now: Time, id: &VmId, out: &mut Vec<RackEffect>) {
        let drain = self.limits.drain;
        let Some(vm) = self.vms.get_mut(id) else { return };
        if !vm.is_draining() || vm.lost || vm.attempts.is_empty() {
            return;
        }
        if !vm.drain_reported {
            vm.drain_reported = true;
            self.backends_changed.insert(vm.shard);
        }
        let mut evicted = Vec::new();
        for (of, attempt) in &mut vm.attempts {
            if attempt.phase != Phase::Running {
                continue;
            }
            if attempt.service {
                attempt.phase = Phase::Draining { until: now + drain };
                out.push(to_job(&of.task, JobMsg::VmDraining { of: of.clone() }));
            } else {
                evicted.push(of.clone());
            }
        }
        self.reindex(id);
        for of in &evicted {
            self.evict(now, id, of, EvictReason::Draining, out);
        }
    }
}

/// The fewest batch tasks over quota whose eviction frees enough capacity, largest first. Empty if
/// there is enough already, `None` if all of them don't free enough.
fn victims(
    vm: &Vm,
    demand: &Resources,
    now: Time,
    min_run_time: Duration,
) -> Option<Vec<TaskFence>> {
    // Capacity that is already being freed counts, unless it is promised to another task.
    let stopping = vm.attempts.values().filter(|attempt| attempt.phase == Phase::Stopping);
    let freed = stopping.fold(Resources::default(), |sum, attempt| sum.plus(&attempt.resources));
    let mut free = vm.free_capacity().plus(&freed).minus(&vm.promised);
    let mut over_quota: Vec<(&TaskFence, &VmAttempt)> = vm
        .attempts
        .iter()
        .filter(|(_, attempt)| {
            attempt.over_quota && !attempt.service && attempt.phase == Phase::Running
        })
        .filter(|(_, attempt)| now.since(attempt.since) >= min_run_time)
        .collect();
    over_quota.sort_by_key(|(_, attempt)| {
        std::cmp::Reverse((attempt.resources.cpu, attempt.resources.memory))
    });
    let mut victims = Vec::new();
    for (of, attempt) in over_quota {
        if demand.fits(&free) {
            break;
        }
        free = free.plus(&attempt.resources);
        victims.push(of.clone());
    }
    demand.fits(&free).then_some(victims)
}

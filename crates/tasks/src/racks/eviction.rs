//! Taking room back: for a service that misses its target, for a team's own quota, from VMs that
//! are leaving.
//!
//! Evictions are measured by users and cost the work since the last checkpoint, so each kind is
//! the last of several steps. For a service: first the noisiest batch neighbour of its slowest
//! replica is throttled; only if that didn't help for a while is it checkpointed and moved, if it
//! has run long enough and the budget allows.

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

/// How long a service counts as missing its target after it was last said to.
const MISSED_TARGET_LIFETIME: Duration = Duration::from_secs(12);

/// How often neighbours are looked at: measurements are older than that anyway.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The share of its processor time left to a throttled task, in thousandths. Low enough to show
/// within one trial, high enough that the task goes on.
const THROTTLE_PERMILLE: u16 = 300;

/// A replica slowed down less than this, in thousandths, isn't helped by moving neighbours.
const MIN_SLOWDOWN_PERMILLE: u32 = 1_100;

/// Which services are pressed, and what may still be evicted for them.
#[derive(Debug, Default)]
pub(super) struct EvictionState {
    missing_until: BTreeMap<ClassName, Time>,
    /// When each service was last seen to miss its target, for the lifting of throttles.
    last_missed: BTreeMap<ClassName, Time>,
    next_check: Time,
    /// Evictions allowed now, in thousandths, and when that was last topped up.
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

    /// Tops the budget up by the batch tasks that run, and holds it at one minute's worth.
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
    /// One look at pressed services and throttled tasks.
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
                // Its effect isn't measured yet; a second step now might be one too many.
                Some(since) if now.since(since) < effect_time => return,
                Some(_)
                    if now.since(attempt.since) >= min_run_time && self.eviction.spend_one() =>
                {
                    return self.evict(now, id, &of, EvictReason::Service, out);
                }
                // It may not be evicted now and stays throttled; the next one is tried.
                Some(_) => {}
            }
        }
    }

    /// The batch tasks of a VM, those first that are expected to slow its services most: by what
    /// was learned of the pair of classes, and by their use of the processors while nothing is.
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

    /// Lifts throttles where the VM's services have met their targets for a while. Lifting at the
    /// first good sign would set the task going and coming with every measurement.
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

    /// Checkpoints and stops a task; its job's owner queues it again from the checkpoint.
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

    /// Takes lent room back for a task whose team is within its quota and whose class is at risk.
    /// As few tasks as make room for it, on one VM; the room is found at a later try. Returns
    /// whether room is being freed.
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
            let open = vm.may_grant(true) && !vm.health.quarantined;
            if !open || !self.has_authority(now, vm.shard, auth) {
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

    /// Empties a VM that is leaving: replicas are shut off and replaced first, batch tasks are
    /// checkpointed and moved.
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

/// The fewest lent batch tasks of a VM that make room, largest first; none if there is room, and
/// `None` if all of them wouldn't do.
fn victims(
    vm: &Vm,
    demand: &Resources,
    now: Time,
    min_run_time: Duration,
) -> Option<Vec<TaskFence>> {
    // Room that is being freed already is waited for rather than freed twice, unless it is
    // promised to another task.
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

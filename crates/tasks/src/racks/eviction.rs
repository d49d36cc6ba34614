//! Taking room back: for a service that misses its target, for a team's own quota, from VMs that
//! are leaving.
//!
//! Evictions are measured by users and cost the work since the last checkpoint, so each kind is
//! the last of several steps. For a service: first the noisiest batch neighbour of its slowest
//! replica is throttled; only if that didn't help for a while is it checkpointed and moved, if it
//! has run long enough and the budget allows.

use {
    super::{
        About, EvictReason, Guard, RackAlarm, RackEffect, RackTable, WorkerCall, to_job,
        vm::{OnVm, Phase, Vm},
    },
    crate::msg::{JobMsg, TaskRequest},
    egretlb_types::{
        Authority, ClassName, Resources, Time, VmId,
        worker::{TaskFence, ThrottleTask},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// How long a service counts as missing its target after it was last said to.
const PRESSED_FOR: Duration = Duration::from_secs(12);

/// How often neighbours are looked at: measurements are older than that anyway.
const RELIEVE_EVERY: Duration = Duration::from_secs(2);

/// The share of its processor time left to a throttled task, in thousandths. Low enough to show
/// within one trial, high enough that the task goes on.
const THROTTLE_PERMILLE: u16 = 300;

/// A replica slowed down less than this, in thousandths, isn't helped by moving neighbours.
const SLOW_PERMILLE: u32 = 1_100;

/// Which services are pressed, and what may still be evicted for them.
#[derive(Debug, Default)]
pub(super) struct Pressure {
    pressed: BTreeMap<ClassName, Time>,
    /// When each service was last seen to miss its target, for the lifting of throttles.
    missed: BTreeMap<ClassName, Time>,
    next: Time,
    /// Evictions allowed now, in thousandths, and when that was last topped up.
    budget: u64,
    topped_up: Time,
}

impl Pressure {
    pub(super) fn note(&mut self, now: Time, class: ClassName, missing: bool) {
        if missing {
            self.missed.insert(class.clone(), now);
            self.pressed.insert(class, now + PRESSED_FOR);
        } else {
            self.pressed.remove(&class);
        }
    }

    /// Tops the budget up by the batch tasks that run, and holds it at one minute's worth.
    fn top_up(&mut self, now: Time, batch: u64, per_minute: u32) {
        let minute = (batch * u64::from(per_minute) * 10).max(1_000);
        let since = now.since(self.topped_up).as_millis() as u64;
        self.budget = (self.budget + minute * since / 60_000).min(minute);
        self.topped_up = now;
    }

    fn take(&mut self) -> bool {
        let enough = self.budget >= 1_000;
        if enough {
            self.budget -= 1_000;
        }
        enough
    }
}

impl RackTable {
    /// One look at pressed services and throttled tasks.
    pub(super) fn relieve(&mut self, now: Time, auth: &dyn Authority, out: &mut Vec<RackEffect>) {
        if now < self.pressure.next {
            return;
        }
        self.pressure.next = now + RELIEVE_EVERY;
        let batch = |on: &&OnVm| !on.service && on.phase == Phase::Running;
        let running = self.vms.values().flat_map(|vm| vm.attempts.values()).filter(batch).count();
        self.pressure.top_up(now, running as u64, self.limits.evictions_per_minute);
        self.pressure.pressed.retain(|_, until| now < *until);
        let classes: Vec<ClassName> = self.pressure.pressed.keys().cloned().collect();
        for class in &classes {
            if let Some(id) = self.slowest(class, now, auth) {
                self.relieve_vm(now, &id, out);
            }
        }
        self.lift_throttles(now, auth, out);
    }

    /// The VM with the class's slowest replica that has batch neighbours.
    fn slowest(&self, class: &ClassName, now: Time, auth: &dyn Authority) -> Option<VmId> {
        let slowdown = |vm: &Vm| {
            let of_class = |on: &&OnVm| on.service && on.class == *class;
            vm.attempts.values().filter(of_class).map(|on| on.slowdown_permille).max()
        };
        let candidates = self.vms.values().filter(|vm| self.holds(now, vm.shard, auth));
        candidates
            .filter(|vm| vm.attempts.values().any(|on| !on.service && on.phase == Phase::Running))
            .filter_map(|vm| slowdown(vm).map(|slow| (slow, vm)))
            .filter(|(slow, _)| *slow >= SLOW_PERMILLE)
            .max_by_key(|(slow, _)| *slow)
            .map(|(_, vm)| vm.record.vm.clone())
    }

    fn relieve_vm(&mut self, now: Time, id: &VmId, out: &mut Vec<RackEffect>) {
        let (min_run_time, trial) = (self.limits.min_run_time, self.limits.throttle_effect_time);
        for of in self.by_noise(id) {
            let Some(on) = self.vms.get(id).and_then(|vm| vm.attempts.get(&of)) else { continue };
            match on.throttled {
                None => return self.throttle(now, id, &of, THROTTLE_PERMILLE, out),
                // Its effect isn't measured yet; a second step now might be one too many.
                Some(since) if now.since(since) < trial => return,
                Some(_) if now.since(on.since) >= min_run_time && self.pressure.take() => {
                    return self.evict(now, id, &of, EvictReason::Service, out);
                }
                // It may not be evicted now and stays throttled; the next one is tried.
                Some(_) => {}
            }
        }
    }

    /// The batch tasks of a VM, those first that are expected to slow its services most: by what
    /// was learned of the pair of classes, and by their use of the processors while nothing is.
    fn by_noise(&self, id: &VmId) -> Vec<TaskFence> {
        let Some(vm) = self.vms.get(id) else { return Vec::new() };
        let services: Vec<&ClassName> =
            vm.attempts.values().filter(|on| on.service).map(|on| &on.class).collect();
        let noise = |on: &OnVm| {
            let learned: f64 =
                services.iter().map(|s| self.learned.pair_slowdown(s, &on.class)).sum();
            learned + f64::from(on.used.cpu.0) / f64::from(vm.record.capacity.cpu.0.max(1))
        };
        let batch = vm.attempts.iter().filter(|(_, on)| !on.service && on.phase == Phase::Running);
        let mut batch: Vec<(&TaskFence, f64)> = batch.map(|(of, on)| (of, noise(on))).collect();
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
        let Some(on) = vm.attempts.get_mut(of) else { return };
        on.throttled = (permille < 1_000).then_some(now);
        if on.throttled.is_some() {
            let alarm = RackAlarm::Throttled { vm: id.clone(), task: of.task.clone() };
            out.push(RackEffect::Alarm(alarm));
        }
        let call = WorkerCall::Throttle(ThrottleTask { of: of.clone(), permille });
        self.call(now, id, About::Throttle(of.clone()), call, guard, out);
    }

    /// Lifts throttles where the VM's services have met their targets for a while. Lifting at the
    /// first good sign would set the task going and coming with every measurement.
    fn lift_throttles(&mut self, now: Time, auth: &dyn Authority, out: &mut Vec<RackEffect>) {
        let throttle_release_after = self.limits.throttle_release_after;
        let mut lift = Vec::new();
        for (id, vm) in &self.vms {
            let held = vm.attempts.values().filter(|on| on.service);
            let missed = held.filter_map(|on| self.pressure.missed.get(&on.class)).max();
            let is_calm = missed.is_none_or(|missed| now.since(*missed) >= throttle_release_after);
            if !is_calm || !self.holds(now, vm.shard, auth) {
                continue;
            }
            for (of, on) in &vm.attempts {
                if on.phase == Phase::Running && on.throttled.is_some() {
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
        let Some(on) = vm.attempts.get_mut(of) else { return };
        on.phase = Phase::Stopping;
        on.checkpoint = true;
        on.call_at = now;
        let alarm = RackAlarm::Evicting { vm: id.clone(), task: of.task.clone(), why };
        out.push(RackEffect::Alarm(alarm));
    }

    /// Takes lent room back for a task whose team is within its quota and whose class is at risk.
    /// As few tasks as make room for it, on one VM; the room is found at a later try. Returns
    /// whether room is being freed.
    pub(super) fn reclaim(
        &mut self,
        now: Time,
        want: &TaskRequest,
        auth: &dyn Authority,
        out: &mut Vec<RackEffect>,
    ) -> bool {
        let resources = self.size_of(want);
        let mut best: Option<(VmId, Vec<TaskFence>)> = None;
        for (id, vm) in &self.vms {
            let open = vm.may_grant(true) && !vm.health.quarantined;
            if !open || !self.holds(now, vm.shard, auth) {
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
    pub(super) fn drain_leaving(&mut self, now: Time, id: &VmId, out: &mut Vec<RackEffect>) {
        let drain = self.limits.drain;
        let Some(vm) = self.vms.get_mut(id) else { return };
        if !vm.is_leaving() || vm.lost || vm.attempts.is_empty() {
            return;
        }
        if !vm.leaving_told {
            vm.leaving_told = true;
            self.backends_changed.insert(vm.shard);
        }
        let mut evicted = Vec::new();
        for (of, on) in &mut vm.attempts {
            if on.phase != Phase::Running {
                continue;
            }
            if on.service {
                on.phase = Phase::Draining { until: now + drain };
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
fn victims(vm: &Vm, want: &Resources, now: Time, min_run_time: Duration) -> Option<Vec<TaskFence>> {
    // Room that is being freed already is waited for rather than freed twice, unless it is
    // promised to another task.
    let stopping = vm.attempts.values().filter(|on| on.phase == Phase::Stopping);
    let freed = stopping.fold(Resources::default(), |sum, on| sum.plus(&on.resources));
    let mut room = vm.room().plus(&freed).minus(&vm.promised);
    let mut over_quota: Vec<(&TaskFence, &OnVm)> = vm
        .attempts
        .iter()
        .filter(|(_, on)| on.over_quota && !on.service && on.phase == Phase::Running)
        .filter(|(_, on)| now.since(on.since) >= min_run_time)
        .collect();
    over_quota.sort_by_key(|(_, on)| std::cmp::Reverse((on.resources.cpu, on.resources.memory)));
    let mut victims = Vec::new();
    for (of, on) in over_quota {
        if want.fits(&room) {
            break;
        }
        room = room.plus(&on.resources);
        victims.push(of.clone());
    }
    want.fits(&room).then_some(victims)
}

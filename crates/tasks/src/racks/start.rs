//! Starts and stops asked for by the jobs' owners.

use {
    super::{
        About, Guard, RackEffect, RackTable, WorkerCall, to_job,
        vm::{OnVm, Phase},
    },
    crate::msg::{AttemptEnd, Ended, JobMsg, Start, Stop},
    egretlb_types::{
        Authority, ClassName, Resources, ShardId, Time, VmId,
        worker::{StartTask, StopTask, TaskFence},
    },
    std::time::Duration,
};

impl RackTable {
    /// Starts an attempt in the room reserved for it, or finds out what became of it.
    ///
    /// Only the reservation made for this very attempt lets it start. A start that comes late or
    /// doubled finds none; starting it regardless could run an attempt that its job's owner has
    /// long given up and repeated elsewhere. The VM is told to stop it instead, which also makes
    /// it refuse any start of it that is still on its way, and its answer says what happened.
    pub(super) fn on_start(
        &mut self,
        now: Time,
        shard: ShardId,
        start: Start,
        auth: &dyn Authority,
        out: &mut Vec<RackEffect>,
    ) {
        // An adopted attempt's room isn't known to be lent until its job's owner says so.
        let known = self.vms.get_mut(&start.vm).and_then(|vm| vm.attempts.get_mut(&start.of));
        if let Some(on) = known {
            on.over_quota = start.over_quota;
        }
        if !self.holds(now, shard, auth)
            || !self.answer_known(now, shard, &start.vm, &start.of, out)
        {
            return;
        }
        let reserved = start.reservation.and_then(|id| self.take_reservation(&start, id));
        let checked = self.protections.reservation_per_start;
        match reserved {
            Some(resources) => self.begin(now, start, resources, auth, out),
            None if !checked => {
                let resources = start.resources;
                self.begin(now, start, resources, auth, out);
            }
            None => {
                let on = asked_about(now, &start.class, start.service, true);
                self.ask_fate(now, &start.vm, &start.of, on, auth, out);
            }
        }
    }

    /// Stops an attempt, or finds out what became of it.
    pub(super) fn on_stop(
        &mut self,
        now: Time,
        shard: ShardId,
        stop: Stop,
        auth: &dyn Authority,
        out: &mut Vec<RackEffect>,
    ) {
        if !self.holds(now, shard, auth) {
            return;
        }
        let drain = self.limits.drain;
        let Some(vm) = self.vms.get_mut(&stop.vm) else {
            self.answer_unknown_vm(now, shard, &stop.vm, &stop.of, out);
            return;
        };
        if let Some(on) = vm.attempts.get_mut(&stop.of) {
            match on.phase {
                Phase::Running if on.service => {
                    on.phase = Phase::Draining { until: now + drain };
                    self.backends_changed.insert(shard);
                }
                Phase::Running | Phase::Starting => {
                    on.phase = Phase::Stopping;
                    on.checkpoint = stop.checkpoint;
                    on.call_at = now;
                }
                Phase::Draining { .. } | Phase::Stopping => {}
            }
            self.call_due(now, &stop.vm, auth, out);
            return;
        }
        if self.answer_known(now, shard, &stop.vm, &stop.of, out) {
            let Ok(class) = "unknown".parse() else { return };
            let on = asked_about(now, &class, false, stop.checkpoint);
            self.ask_fate(now, &stop.vm, &stop.of, on, auth, out);
        }
    }

    /// The end is journalled by the job's owner.
    pub(super) fn on_ack(&mut self, vm: &VmId, of: &TaskFence) {
        if let Some(closed) = self.vms.get_mut(vm).and_then(|vm| vm.closed.get_mut(of)) {
            closed.acked = true;
        }
    }

    /// Answers a question about an attempt if the answer is at hand. Returns whether the VM has
    /// to be asked.
    fn answer_known(
        &mut self,
        now: Time,
        shard: ShardId,
        id: &VmId,
        of: &TaskFence,
        out: &mut Vec<RackEffect>,
    ) -> bool {
        let Some(vm) = self.vms.get_mut(id) else {
            self.answer_unknown_vm(now, shard, id, of, out);
            return false;
        };
        if let Some(on) = vm.attempts.get(of) {
            if on.phase == Phase::Running {
                let msg = JobMsg::Started { vm: id.clone(), rack: shard, of: of.clone() };
                out.push(to_job(&of.task, msg));
            }
            return false;
        }
        if let Some(closed) = vm.closed.get_mut(of) {
            closed.acked = false;
            closed.send_at = now;
            closed.sends = 0;
            self.tell_ends(now, id, out);
            return false;
        }
        if vm.lost {
            vm.close(now, of, AttemptEnd::Lost, Duration::ZERO);
            self.tell_ends(now, id, out);
            return false;
        }
        // Until a report says what runs here, nothing can be said, and nothing may be stopped.
        vm.is_fresh() && !vm.unresponsive
    }

    /// A VM that isn't on the list, or not yet: its attempts are lost once no lease granted by an
    /// earlier owner can last.
    fn answer_unknown_vm(
        &mut self,
        now: Time,
        shard: ShardId,
        id: &VmId,
        of: &TaskFence,
        out: &mut Vec<RackEffect>,
    ) {
        if now < self.inherited_bound(shard) && self.protections.wait_for_lease {
            return;
        }
        let ended = Ended {
            vm: id.clone(),
            rack: shard,
            of: of.clone(),
            how: AttemptEnd::Lost,
            vm_quarantined: false,
            ran: Duration::ZERO,
        };
        out.push(to_job(&of.task, JobMsg::Ended(ended)));
    }

    fn take_reservation(
        &mut self,
        start: &Start,
        id: crate::msg::ReservationId,
    ) -> Option<Resources> {
        let vm = self.vms.get_mut(&start.vm)?;
        let reserved = vm.reservations.get(&id)?;
        if reserved.task != start.of.task || reserved.attempt != start.of.fence.attempt {
            return None;
        }
        let resources = reserved.resources;
        vm.reservations.remove(&id);
        self.placed.remove(&start.of.task);
        Some(resources)
    }

    fn begin(
        &mut self,
        now: Time,
        start: Start,
        resources: Resources,
        auth: &dyn Authority,
        out: &mut Vec<RackEffect>,
    ) {
        let lease_ms = u32::try_from(self.limits.lease.as_millis()).unwrap_or(u32::MAX);
        let task = StartTask {
            task: start.of.task.clone(),
            fence: start.of.fence,
            class: start.class.clone(),
            service: start.service,
            resources,
            lease_ms,
            checkpoint: start.checkpoint,
            command: start.command,
        };
        let mut on = asked_about(now, &start.class, start.service, true);
        on.phase = Phase::Starting;
        on.resources = resources;
        on.over_quota = start.over_quota;
        on.start = Some(Box::new(task));
        let Some(vm) = self.vms.get_mut(&start.vm) else { return };
        vm.attempts.insert(start.of, on);
        self.reindex(&start.vm);
        self.call_due(now, &start.vm, auth, out);
    }

    /// Asks a VM for the fate of an attempt that isn't known to run there, by stopping it.
    fn ask_fate(
        &mut self,
        now: Time,
        id: &VmId,
        of: &TaskFence,
        on: OnVm,
        auth: &dyn Authority,
        out: &mut Vec<RackEffect>,
    ) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        vm.attempts.insert(of.clone(), on);
        self.call_due(now, id, auth, out);
    }

    /// Makes the calls for starts and stops that are due, first ones and repeated ones.
    pub(super) fn call_due(
        &mut self,
        now: Time,
        id: &VmId,
        auth: &dyn Authority,
        out: &mut Vec<RackEffect>,
    ) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let (shard, unresponsive) = (vm.shard, vm.unresponsive);
        // An unreachable VM is only polled: each start on its way would prolong the time after
        // which its attempts are known to be lost.
        if unresponsive {
            return;
        }
        let mut due = Vec::new();
        for (of, on) in &mut vm.attempts {
            if let Phase::Draining { until } = on.phase
                && now >= until
            {
                on.phase = Phase::Stopping;
            }
            let waits = matches!(on.phase, Phase::Starting | Phase::Stopping);
            if waits && !on.calling && now >= on.call_at {
                due.push(of.clone());
            }
        }
        for of in due {
            if !self.holds(now, shard, auth) {
                return;
            }
            self.call_start_or_stop(now, id, of, out);
        }
    }

    fn call_start_or_stop(
        &mut self,
        now: Time,
        id: &VmId,
        of: TaskFence,
        out: &mut Vec<RackEffect>,
    ) {
        let bound = self.bound_of_call(now);
        let resend = self.limits.resend;
        let Some(vm) = self.vms.get_mut(id) else { return };
        let guard = Guard::Authority(vm.shard);
        let Some(on) = vm.attempts.get_mut(&of) else { return };
        on.calling = true;
        on.call_at = now + resend;
        let start = on.start.as_deref().filter(|_| on.phase == Phase::Starting).cloned();
        let checkpoint = on.checkpoint;
        let (about, call) = match start {
            Some(start) => {
                vm.extend_bound(bound);
                (About::Start(of), WorkerCall::Start(start))
            }
            None => {
                let stop = StopTask { of: of.clone(), checkpoint };
                (About::Stop(of), WorkerCall::Stop(stop))
            }
        };
        self.call(now, id, about, call, guard, out);
    }
}

/// An attempt of which only the fate is asked for. It holds no room: a fresh report doesn't list
/// it, and no start of it is on its way.
fn asked_about(now: Time, class: &ClassName, service: bool, checkpoint: bool) -> OnVm {
    OnVm {
        class: class.clone(),
        service,
        over_quota: false,
        resources: Resources::default(),
        phase: Phase::Stopping,
        start: None,
        doubt: false,
        ran: false,
        checkpoint,
        calling: false,
        call_at: now,
        since: now,
        used: Resources::default(),
        slowdown_permille: 1_000,
        throttled: None,
    }
}

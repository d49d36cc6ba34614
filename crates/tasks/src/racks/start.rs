//! Starts and stops requested by the jobs' owners.

use {
    super::{
        CallKind, Guard, RackEffect, RackTable, WorkerCall, to_job,
        vm::{Phase, VmAttempt},
    },
    crate::msg::{AttemptEnd, Ended, JobMsg, Start, Stop},
    egretlb_types::{
        Authority, ClassName, Resources, ShardId, Time, VmId,
        worker::{StartTask, StopTask, TaskFence},
    },
    std::time::Duration,
};

impl RackTable {
    /// Starts an attempt in its reservation, or resolves its state.
    ///
    /// A late or duplicated start finds no reservation. Starting it anyway could run an attempt
    /// that its job's owner has given up and restarted elsewhere. A stop call resolves its state
    /// instead, and makes the VM refuse any start still in transit.
    pub(super) fn on_start(
        &mut self,
        now: Time,
        shard: ShardId,
        start: Start,
        auth: &dyn Authority,
        out: &mut Vec<RackEffect>,
    ) {
        // An adopted attempt isn't known to be over quota until its job's owner says so.
        let known = self.vms.get_mut(&start.vm).and_then(|vm| vm.attempts.get_mut(&start.of));
        if let Some(attempt) = known {
            attempt.over_quota = start.over_quota;
        }
        if !self.has_authority(now, shard, auth)
            || !self.answer_if_known(now, shard, &start.vm, &start.of, out)
        {
            return;
        }
        let reserved = start.reservation.and_then(|id| self.take_reservation(&start, id));
        let checked = self.protections.reservation_per_start;
        match reserved {
            Some(resources) => self.start_reserved(now, start, resources, auth, out),
            None if !checked => {
                let resources = start.resources;
                self.start_reserved(now, start, resources, auth, out);
            }
            None => {
                let attempt = unresolved_attempt(now, &start.class, start.service, true);
                self.resolve_outcome(now, &start.vm, &start.of, attempt, auth, out);
            }
        }
    }

    /// Stops an attempt, or resolves its state.
    pub(super) fn on_stop(
        &mut self,
        now: Time,
        shard: ShardId,
        stop: Stop,
        auth: &dyn Authority,
        out: &mut Vec<RackEffect>,
    ) {
        if !self.has_authority(now, shard, auth) {
            return;
        }
        let drain = self.limits.drain;
        let Some(vm) = self.vms.get_mut(&stop.vm) else {
            self.answer_unknown_vm(now, shard, &stop.vm, &stop.of, out);
            return;
        };
        if let Some(attempt) = vm.attempts.get_mut(&stop.of) {
            match attempt.phase {
                Phase::Running if attempt.service => {
                    attempt.phase = Phase::Draining { until: now + drain };
                    self.backends_changed.insert(shard);
                }
                Phase::Running | Phase::Starting => {
                    attempt.phase = Phase::Stopping;
                    attempt.checkpoint = stop.checkpoint;
                    attempt.next_call_at = now;
                }
                Phase::Draining { .. } | Phase::Stopping => {}
            }
            self.call_due(now, &stop.vm, auth, out);
            return;
        }
        if self.answer_if_known(now, shard, &stop.vm, &stop.of, out) {
            let Ok(class) = "unknown".parse() else { return };
            let attempt = unresolved_attempt(now, &class, false, stop.checkpoint);
            self.resolve_outcome(now, &stop.vm, &stop.of, attempt, auth, out);
        }
    }

    /// Handles the acknowledgement of an end.
    pub(super) fn on_ack(&mut self, vm: &VmId, of: &TaskFence) {
        if let Some(closed) = self.vms.get_mut(vm).and_then(|vm| vm.closed.get_mut(of)) {
            closed.acked = true;
        }
    }

    /// Reports the attempt's state if it is known. Returns whether the VM has to be queried.
    fn answer_if_known(
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
        if let Some(attempt) = vm.attempts.get(of) {
            if attempt.phase == Phase::Running {
                let msg = JobMsg::Started { vm: id.clone(), rack: shard, of: of.clone() };
                out.push(to_job(&of.task, msg));
            }
            return false;
        }
        if let Some(closed) = vm.closed.get_mut(of) {
            closed.acked = false;
            closed.send_at = now;
            closed.send_count = 0;
            self.report_ends(now, id, out);
            return false;
        }
        if vm.lost {
            vm.close(now, of, AttemptEnd::Lost, Duration::ZERO);
            self.report_ends(now, id, out);
            return false;
        }
        // Until the first fresh report the attempt may run unknown to this owner, and must not be
        // stopped.
        vm.is_fresh() && !vm.unresponsive
    }

    /// Handles an attempt on a VM that isn't listed. It is lost once every lease granted by an
    /// earlier owner must have lapsed.
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

    fn start_reserved(
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
        let mut attempt = unresolved_attempt(now, &start.class, start.service, true);
        attempt.phase = Phase::Starting;
        attempt.resources = resources;
        attempt.over_quota = start.over_quota;
        attempt.start = Some(Box::new(task));
        let Some(vm) = self.vms.get_mut(&start.vm) else { return };
        vm.attempts.insert(start.of, attempt);
        self.reindex(&start.vm);
        self.call_due(now, &start.vm, auth, out);
    }

    /// Queries a VM for the state of an attempt that isn't known to run there, by stopping it.
    fn resolve_outcome(
        &mut self,
        now: Time,
        id: &VmId,
        of: &TaskFence,
        attempt: VmAttempt,
        auth: &dyn Authority,
        out: &mut Vec<RackEffect>,
    ) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        vm.attempts.insert(of.clone(), attempt);
        self.call_due(now, id, auth, out);
    }

    /// Sends the starts and stops that are due, including retries.
    pub(super) fn call_due(
        &mut self,
        now: Time,
        id: &VmId,
        auth: &dyn Authority,
        out: &mut Vec<RackEffect>,
    ) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let (shard, unresponsive) = (vm.shard, vm.unresponsive);
        // An unreachable VM is only polled: a start in transit would postpone the time at which its
        // attempts are known to be lost.
        if unresponsive {
            return;
        }
        let mut due = Vec::new();
        for (of, attempt) in &mut vm.attempts {
            if let Phase::Draining { until } = attempt.phase
                && now >= until
            {
                attempt.phase = Phase::Stopping;
            }
            let waits = matches!(attempt.phase, Phase::Starting | Phase::Stopping);
            if waits && !attempt.call_in_flight && now >= attempt.next_call_at {
                due.push(of.clone());
            }
        }
        for of in due {
            if !self.has_authority(now, shard, auth) {
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
        let bound = self.lease_bound_of_call(now);
        let resend = self.limits.resend;
        let Some(vm) = self.vms.get_mut(id) else { return };
        let guard = Guard::Authority(vm.shard);
        let Some(attempt) = vm.attempts.get_mut(&of) else { return };
        attempt.call_in_flight = true;
        attempt.next_call_at = now + resend;
        let start = attempt.start.as_deref().filter(|_| attempt.phase == Phase::Starting).cloned();
        let checkpoint = attempt.checkpoint;
        let (kind, call) = match start {
            Some(start) => {
                vm.extend_bound(bound);
                (CallKind::Start(of), WorkerCall::Start(start))
            }
            None => {
                let stop = StopTask { of: of.clone(), checkpoint };
                (CallKind::Stop(of), WorkerCall::Stop(stop))
            }
        };
        self.call(now, id, kind, call, guard, out);
    }
}

/// An attempt with unknown state. It reserves nothing: a fresh report doesn't list it, and no start
/// is in transit.
fn unresolved_attempt(now: Time, class: &ClassName, service: bool, checkpoint: bool) -> VmAttempt {
    VmAttempt {
        class: class.clone(),
        service,
        over_quota: false,
        resources: Resources::default(),
        phase: Phase::Stopping,
        start: None,
        unconfirmed: false,
        has_run: false,
        checkpoint,
        call_in_flight: false,
        next_call_at: now,
        since: now,
        used: Resources::default(),
        slowdown_permille: 1_000,
        throttled_since: None,
    }
}

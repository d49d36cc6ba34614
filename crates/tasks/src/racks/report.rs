//! Reports of VMs: running and ended tasks, and measurements.

use {
    super::{
        RackAlarm, RackEffect, RackTable, to_job,
        vm::{Phase, Vm, VmAttempt},
    },
    crate::{limits::Limits, msg::JobMsg},
    egretlb_types::{
        Authority, Resources, Time, VmId,
        worker::{EndedTask, RunningTask, TaskEnd, TaskFence, WorkerReport},
    },
    std::{collections::BTreeSet, time::Duration},
};

impl RackTable {
    pub(super) fn on_report(
        &mut self,
        now: Time,
        id: &VmId,
        sent: Time,
        report: WorkerReport,
        auth: &dyn Authority,
        out: &mut Vec<RackEffect>,
    ) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        // An older report could revive attempts that have ended since.
        if vm.report_sent.is_some_and(|taken| sent < taken) {
            return;
        }
        if vm.unresponsive {
            // Reachable again: leases may be about to lapse, so they are renewed at once.
            vm.renew_at = now;
        }
        if vm.lost {
            out.push(RackEffect::Alarm(RackAlarm::VmBack { vm: id.clone() }));
        }
        vm.report_sent = Some(sent);
        vm.unresponsive = false;
        vm.lost = false;
        vm.reports_draining = report.leaving;
        self.learn(now, id, &report);
        for ended in &report.ended {
            self.on_task_ended(now, id, ended, out);
        }
        for running in &report.running {
            self.on_task_running(now, id, sent, running, out);
        }
        self.query_unlisted(now, id, sent, &report);
        self.update_usage(id, &report, out);
        self.drop_closed(id, sent, &report);
        self.schedule_poll(now, id);
        self.report_ends(now, id, out);
        self.call_due(now, id, auth, out);
    }

    fn learn(&mut self, now: Time, id: &VmId, report: &WorkerReport) {
        let Some(vm) = self.vms.get(id) else { return };
        // An end that is listed again isn't learned twice, since its attempt is closed.
        let class_of = |of: &TaskFence| vm.attempts.get(of).map(|attempt| attempt.class.clone());
        self.learned.observe(now, report, class_of);
    }

    fn on_task_ended(
        &mut self,
        now: Time,
        id: &VmId,
        ended: &EndedTask,
        out: &mut Vec<RackEffect>,
    ) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let was_service = vm.attempts.get(&ended.of).is_some_and(|attempt| attempt.service);
        let ran = Duration::from_millis(ended.ran_ms);
        if !vm.close(now, &ended.of, ended.end.into(), ran) {
            return;
        }
        if was_service {
            self.backends_changed.insert(vm.shard);
        }
        let (health, limit) = (&mut vm.health, self.limits.quarantine_after);
        if ended.end == TaskEnd::Failed
            && !health.quarantined
            && health.consecutive_failures >= limit
        {
            // Every task fails here. Since failing is quick, the VM would fail the whole queue.
            health.quarantined = true;
            health.probe_at = now + self.limits.probe_interval;
            let alarm =
                RackAlarm::Quarantined { vm: id.clone(), fails: health.consecutive_failures };
            out.push(RackEffect::Alarm(alarm));
        }
        if ended.end == TaskEnd::Done && health.quarantined {
            health.quarantined = false;
            out.push(RackEffect::Alarm(RackAlarm::QuarantineOver { vm: id.clone() }));
        }
    }

    fn on_task_running(
        &mut self,
        now: Time,
        id: &VmId,
        sent: Time,
        running: &RunningTask,
        out: &mut Vec<RackEffect>,
    ) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let shard = vm.shard;
        if let Some(closed) = vm.closed.get(&running.of) {
            // The attempt was declared lost or confirmed stopped, and a later report lists it: the
            // worker's clock is out of bounds, or the worker is faulty. It is stopped.
            if sent > closed.at {
                let mut attempt = adopted_attempt(now, running);
                attempt.phase = Phase::Stopping;
                attempt.has_run = false;
                vm.attempts.insert(running.of.clone(), attempt);
            }
            return;
        }
        let known = vm.attempts.contains_key(&running.of);
        let attempt =
            vm.attempts.entry(running.of.clone()).or_insert_with(|| adopted_attempt(now, running));
        attempt.used = running.used;
        attempt.slowdown_permille = running.slowdown_permille;
        attempt.has_run = true;
        let started = !known || attempt.phase == Phase::Starting;
        if attempt.phase == Phase::Starting && !attempt.call_in_flight {
            attempt.phase = Phase::Running;
            attempt.start = None;
            attempt.unconfirmed = false;
        }
        if !started {
            return;
        }
        if attempt.service {
            self.backends_changed.insert(shard);
        }
        if !known {
            vm.renew_at = now;
        }
        let msg = JobMsg::Started { vm: id.clone(), rack: shard, of: running.of.clone() };
        out.push(to_job(&running.of.task, msg));
    }

    /// Queries attempts that should run and that the report doesn't list, by stopping them.
    fn query_unlisted(&mut self, now: Time, id: &VmId, sent: Time, report: &WorkerReport) {
        let listed: BTreeSet<&TaskFence> = report.running.iter().map(|r| &r.of).collect();
        let Some(vm) = self.vms.get_mut(id) else { return };
        for (of, attempt) in &mut vm.attempts {
            let runs = matches!(attempt.phase, Phase::Running | Phase::Draining { .. });
            if runs && attempt.since < sent && !listed.contains(of) {
                attempt.phase = Phase::Stopping;
                attempt.checkpoint = true;
                attempt.next_call_at = now;
                if attempt.service {
                    self.backends_changed.insert(vm.shard);
                }
            }
        }
    }

    fn update_usage(&mut self, id: &VmId, report: &WorkerReport, out: &mut Vec<RackEffect>) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let sum = |sum: Resources, running: &RunningTask| sum.plus(&running.used);
        vm.observed = report.running.iter().fold(Resources::default(), sum);
        vm.recount();
        if !vm.observed.fits(&vm.record.capacity) {
            let used = vm.observed;
            out.push(RackEffect::Alarm(RackAlarm::Overused { vm: id.clone(), used }));
        }
    }

    /// Removes acknowledged ends that no report can list any more.
    fn drop_closed(&mut self, id: &VmId, sent: Time, report: &WorkerReport) {
        let ended = report.ended.iter().map(|ended| &ended.of);
        let running = report.running.iter().map(|running| &running.of);
        let listed: BTreeSet<&TaskFence> = ended.chain(running).collect();
        let Some(vm) = self.vms.get_mut(id) else { return };
        vm.closed.retain(|of, closed| !closed.acked || sent <= closed.at || listed.contains(of));
    }

    /// Schedules the next report: soon if a task is about to end or was throttled or slowed, late
    /// otherwise. Polling every VM at the minimum interval costs too much.
    fn schedule_poll(&mut self, now: Time, id: &VmId) {
        let Some(vm) = self.vms.get(id) else { return };
        let wait = poll_wait(now, vm, &self.limits, |class| self.learned.run_time(class));
        if let Some(vm) = self.vms.get_mut(id) {
            vm.poll_at = now + wait;
        }
    }
}

fn poll_wait(
    now: Time,
    vm: &Vm,
    limits: &Limits,
    run_time: impl Fn(&egretlb_types::ClassName) -> Option<Duration>,
) -> Duration {
    let mut wait = limits.max_poll_interval;
    for attempt in vm.attempts.values() {
        let ran = now.since(attempt.since);
        let expected = match run_time(&attempt.class) {
            _ if attempt.service => limits.max_poll_interval,
            // A task that is overdue is polled after a quarter of the excess.
            Some(usual) => usual.saturating_sub(ran).max(ran.saturating_sub(usual) / 4),
            None => ran / 4,
        };
        let watched = attempt.throttled_since.is_some() || attempt.slowdown_permille > 1_500;
        let expected = if watched { expected.min(limits.max_poll_interval / 3) } else { expected };
        wait = wait.min(expected);
    }
    wait.max(limits.min_poll_interval)
}

fn adopted_attempt(now: Time, running: &RunningTask) -> VmAttempt {
    VmAttempt {
        class: running.class.clone(),
        service: running.service,
        over_quota: false,
        resources: running.resources,
        phase: Phase::Running,
        start: None,
        unconfirmed: false,
        has_run: true,
        checkpoint: true,
        call_in_flight: false,
        next_call_at: now,
        since: now,
        used: running.used,
        slowdown_permille: running.slowdown_permille,
        throttled_since: None,
    }
}

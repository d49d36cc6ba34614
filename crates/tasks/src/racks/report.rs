//! What VMs report: adopting what runs, noticing what ended, measuring.

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
        // An older report than one already taken would bring back what has ended since.
        if vm.report_sent.is_some_and(|taken| sent < taken) {
            return;
        }
        if vm.unresponsive {
            // In reach again: the leases are renewed at once, they may be about to lapse.
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
        // Ends that are listed again aren't learned again: the attempt is closed by then.
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
        if ended.end == TaskEnd::Failed && !health.quarantined && health.fails >= limit {
            // Everything it is given fails here: it would swallow a queue faster than any healthy
            // VM, since failing is quick.
            health.quarantined = true;
            health.probe_at = now + self.limits.probe_interval;
            let alarm = RackAlarm::Quarantined { vm: id.clone(), fails: health.fails };
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
            // It was given up, or a stop of it was confirmed, and a later report lists it: the
            // worker's clock is slower than the bound, or the worker erred. It must not go on.
            if sent > closed.at {
                let mut attempt = adopted(now, running);
                attempt.phase = Phase::Stopping;
                attempt.ran = false;
                vm.attempts.insert(running.of.clone(), attempt);
            }
            return;
        }
        let known = vm.attempts.contains_key(&running.of);
        let attempt =
            vm.attempts.entry(running.of.clone()).or_insert_with(|| adopted(now, running));
        attempt.used = running.used;
        attempt.slowdown_permille = running.slowdown_permille;
        attempt.ran = true;
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

    /// Attempts that should run and that a later report doesn't list: the VM is asked.
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

    /// Forgets acknowledged ends that no report can list any more.
    fn drop_closed(&mut self, id: &VmId, sent: Time, report: &WorkerReport) {
        let ended = report.ended.iter().map(|ended| &ended.of);
        let running = report.running.iter().map(|running| &running.of);
        let listed: BTreeSet<&TaskFence> = ended.chain(running).collect();
        let Some(vm) = self.vms.get_mut(id) else { return };
        vm.closed.retain(|of, closed| !closed.acked || sent <= closed.at || listed.contains(of));
    }

    /// The next report: soon where something is about to end or wants watching, seldom else.
    /// Polling all VMs at the shortest period would by itself pass the control budget.
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
            // What already runs longer than usual is asked about after a part of that excess.
            Some(usual) => usual.saturating_sub(ran).max(ran.saturating_sub(usual) / 4),
            None => ran / 4,
        };
        let watched = attempt.throttled_since.is_some() || attempt.slowdown_permille > 1_500;
        let expected = if watched { expected.min(limits.max_poll_interval / 3) } else { expected };
        wait = wait.min(expected);
    }
    wait.max(limits.min_poll_interval)
}

fn adopted(now: Time, running: &RunningTask) -> VmAttempt {
    VmAttempt {
        class: running.class.clone(),
        service: running.service,
        over_quota: false,
        resources: running.resources,
        phase: Phase::Running,
        start: None,
        unconfirmed: false,
        ran: true,
        checkpoint: true,
        call_in_flight: false,
        next_call_at: now,
        since: now,
        used: running.used,
        slowdown_permille: running.slowdown_permille,
        throttled_since: None,
    }
}

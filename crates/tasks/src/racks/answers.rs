//! Answers of workers, and calls without an answer.

use {
    super::{Call, CallError, CallKind, RackEffect, RackTable, WorkerAnswer, to_job, vm::Phase},
    crate::msg::{AttemptEnd, JobMsg},
    egretlb_types::{
        Authority, Ticket, Time, VmId,
        worker::{RenewAnswer, StartAnswer, StopAnswer, TaskFence},
    },
    std::time::Duration,
};

impl RackTable {
    pub(super) fn on_answer(
        &mut self,
        now: Time,
        ticket: Ticket,
        result: Result<WorkerAnswer, CallError>,
        auth: &dyn Authority,
        out: &mut Vec<RackEffect>,
    ) {
        let Some(call) = self.calls.remove(&ticket) else { return };
        let Some(vm) = self.vms.get_mut(&call.vm) else { return };
        match call.kind {
            CallKind::Report => vm.polling = false,
            CallKind::Renew => vm.renewing = false,
            CallKind::Start(ref of) | CallKind::Stop(ref of) | CallKind::Throttle(ref of) => {
                if let Some(attempt) = vm.attempts.get_mut(of) {
                    attempt.call_in_flight = false;
                }
            }
        }
        match result {
            Ok(answer) => self.on_response(now, call, answer, auth, out),
            Err(e) => self.on_no_answer(now, call, e, out),
        }
    }

    fn on_response(
        &mut self,
        now: Time,
        call: Call,
        answer: WorkerAnswer,
        auth: &dyn Authority,
        out: &mut Vec<RackEffect>,
    ) {
        let Call { vm: id, sent, kind } = call;
        match (kind, answer) {
            (CallKind::Report, WorkerAnswer::Report(report)) => {
                self.on_report(now, &id, sent, report, auth, out);
            }
            (CallKind::Renew, WorkerAnswer::Renew(answer)) => self.on_renewed(now, &id, answer),
            (CallKind::Start(of), WorkerAnswer::Start(answer)) => {
                self.on_started(now, &id, &of, answer, out);
            }
            (CallKind::Stop(of), WorkerAnswer::Stop(answer)) => {
                self.on_stopped(now, &id, &of, answer, out);
            }
            // A throttle needs no handling: reports show its effect. An answer that doesn't match
            // the call is ignored.
            _ => {}
        }
        self.reindex(&id);
    }

    /// Handles a call without an answer. Nothing is granted or renewed on the VM until it reports
    /// again.
    fn on_no_answer(&mut self, now: Time, call: Call, e: CallError, out: &mut Vec<RackEffect>) {
        let id = call.vm;
        let resolve = self.protections.resolve_unconfirmed;
        let min_poll_interval = self.limits.min_poll_interval;
        let Some(vm) = self.vms.get_mut(&id) else { return };
        vm.unresponsive = true;
        vm.poll_at = now + min_poll_interval;
        if let CallKind::Start(of) = call.kind {
            let Some(attempt) = vm.attempts.get_mut(&of) else { return };
            let not_sent = e == CallError::NotSent && !attempt.unconfirmed;
            attempt.unconfirmed |= e == CallError::Unknown;
            if not_sent || !resolve {
                // The worker never gets the call, and no other node starts tasks on this VM.
                vm.close(now, &of, AttemptEnd::NeverRan, Duration::ZERO);
                self.report_ends(now, &id, out);
            } else {
                out.push(to_job(&of.task, JobMsg::UnconfirmedStart { of: of.clone() }));
            }
        }
        self.reindex(&id);
    }

    fn on_started(
        &mut self,
        now: Time,
        id: &VmId,
        of: &TaskFence,
        answer: StartAnswer,
        out: &mut Vec<RackEffect>,
    ) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let Some(attempt) = vm.attempts.get_mut(of) else { return };
        match answer {
            StartAnswer::Started => {
                attempt.has_run = true;
                attempt.start = None;
                attempt.unconfirmed = false;
                attempt.since = now;
                if attempt.phase == Phase::Starting {
                    attempt.phase = Phase::Running;
                }
                if attempt.service {
                    self.backends_changed.insert(vm.shard);
                }
                vm.poll_at = vm.poll_at.min(now + self.limits.min_poll_interval);
                let msg = JobMsg::Started { vm: id.clone(), rack: vm.shard, of: of.clone() };
                out.push(to_job(&of.task, msg));
            }
            StartAnswer::AlreadyEnded => {
                attempt.phase = Phase::Stopping;
                attempt.next_call_at = now;
            }
            StartAnswer::StaleFence | StartAnswer::Refused if attempt.unconfirmed => {
                // An earlier call of this start may have succeeded; a stop call resolves it.
                attempt.phase = Phase::Stopping;
                attempt.next_call_at = now;
            }
            StartAnswer::StaleFence | StartAnswer::Refused => {
                vm.close(now, of, AttemptEnd::NeverRan, Duration::ZERO);
                vm.poll_at = now;
                self.report_ends(now, id, out);
            }
        }
    }

    fn on_stopped(
        &mut self,
        now: Time,
        id: &VmId,
        of: &TaskFence,
        answer: StopAnswer,
        out: &mut Vec<RackEffect>,
    ) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let Some(attempt) = vm.attempts.get(of) else { return };
        let ran = now.since(attempt.since);
        let service = attempt.service;
        let how = match answer {
            StopAnswer::Stopped { checkpoint } => AttemptEnd::Stopped { checkpoint },
            StopAnswer::Ended { end } => end.into(),
            // It ran and the worker doesn't know it: the worker was restarted.
            StopAnswer::NeverRan if attempt.has_run => AttemptEnd::Lost,
            StopAnswer::NeverRan => AttemptEnd::NeverRan,
            StopAnswer::Throttled => return,
        };
        if service {
            self.backends_changed.insert(vm.shard);
        }
        vm.close(now, of, how, ran);
        self.report_ends(now, id, out);
    }

    /// Tasks that the worker no longer runs; a report is requested at once to learn how they ended.
    fn on_renewed(&mut self, now: Time, id: &VmId, answer: RenewAnswer) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        if !answer.unknown.is_empty() {
            vm.poll_at = now;
        }
    }
}

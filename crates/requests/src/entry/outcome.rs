//! Handling of ended attempts, deadlines and disconnected callers.

use {
    super::{
        Attempt, Entry, Phase, Timer,
        event::{AttemptResult, EntryEffect, ErrorReason, Verdict},
        health::Health,
    },
    crate::{
        ids::{AttemptId, RequestId},
        keys::{KeyOutcome, RecordedAnswer},
        limits::PERMIT_TIMEOUT,
    },
    egretlb_types::{NotRunReason, Ran, RetryAfter, Time},
    std::time::Duration,
};

/// Minimum status that counts as a failure of the server. A server that fails fast would otherwise
/// look healthy and attract requests.
const MIN_ERROR_STATUS: u16 = 500;

/// When the caller may retry after an error of unknown duration.
const ERROR_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Entry {
    pub(super) fn attempt_ended(
        &mut self,
        now: Time,
        id: AttemptId,
        result: AttemptResult,
        out: &mut Vec<EntryEffect>,
    ) {
        // A duplicate, or the attempt has timed out before.
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.timers.remove(&(attempt.result_due_at, Timer::AttemptTimeout(id)));
        self.record_attempt_end(now, &attempt, &result);
        let caller_waits = self.requests.get(&attempt.request).is_some_and(|req| req.caller_waits);
        if !caller_waits && !self.opts.protections.match_answers {
            return self.forward_to_any_waiting(id, out);
        }
        let Some(request) = self.requests.get_mut(&attempt.request) else { return };
        request.attempts.retain(|open| *open != id);
        match result {
            AttemptResult::Complete { status, recorded_body } => {
                self.complete(
                    now,
                    id,
                    &attempt,
                    RecordedAnswer { status, body: recorded_body },
                    out,
                );
            }
            AttemptResult::Truncated if !self.opts.protections.reject_truncated_answers => {
                let answer = RecordedAnswer { status: 200, body: None };
                self.complete(now, id, &attempt, answer, out);
            }
            AttemptResult::NotSent | AttemptResult::Declined { .. } => {
                self.attempt_failed(now, &attempt, out);
            }
            AttemptResult::Failed | AttemptResult::Truncated => {
                request.may_have_run = true;
                self.attempt_failed(now, &attempt, out);
            }
        }
    }

    /// Removes an ended attempt from all counts and records its result.
    fn record_attempt_end(&mut self, now: Time, attempt: &Attempt, result: &AttemptResult) {
        let took = now.since(attempt.sent_at);
        let state = self.classes.get_mut(attempt.class);
        state.open = state.open.saturating_sub(1);
        state.load.set_open(now, state.open);
        let mean = state.latency.mean().max(Duration::from_micros(1));
        let ratio = took.as_secs_f64() / mean.as_secs_f64();
        let answered =
            matches!(result, AttemptResult::Complete { status, .. } if *status < MIN_ERROR_STATUS);
        if answered {
            state.latency.record(took);
            let target = state.settings.as_ref().map_or(Duration::MAX, |settings| settings.target);
            state.limit.record(now, took, target);
        }
        // An exchange beyond a reduced share has ended; the grantor can grant its slot once it
        // knows.
        let server = self.servers.get(attempt.server);
        if server.open > server.share
            && let Some(grantor) = self.grantors.get_mut(server.shard)
        {
            grantor.urgent = true;
        }
        self.fairness.ended(attempt.organisation, attempt.expected, took);
        if let AttemptResult::Declined { draining: true } = result {
            let until = self.servers.set_declared_draining(attempt.server, now);
            self.timers.insert((until, Timer::ServerExpiry(attempt.server)));
        }
        let record_result = |health: &mut Health| match result {
            AttemptResult::Declined { draining: true } => {}
            _ if answered => health.record_answer(ratio),
            _ => health.record_failure(),
        };
        if let Some(until) = self.servers.closed(attempt.server, now, record_result) {
            self.timers.insert((until, Timer::ServerExpiry(attempt.server)));
        }
    }

    fn complete(
        &mut self,
        now: Time,
        id: AttemptId,
        attempt: &Attempt,
        answer: RecordedAnswer,
        out: &mut Vec<EntryEffect>,
    ) {
        let Some(request) = self.requests.get_mut(&attempt.request) else { return };
        if let Some(keyed) = &mut request.keyed {
            keyed.outcome = Some(KeyOutcome::Ran(answer));
        }
        // The second answer to a hedged request is dropped.
        if request.caller_waits {
            let in_time = now <= request.target_deadline;
            self.classes.get_mut(attempt.class).load.record_answered(in_time);
            self.answer(attempt.request, Verdict::Forward { attempt: id }, out);
        }
        self.finish_if_done(now, attempt.request, out);
    }

    fn attempt_failed(&mut self, now: Time, attempt: &Attempt, out: &mut Vec<EntryEffect>) {
        let id = attempt.request;
        let Some(request) = self.requests.get(&id) else { return };
        // Another attempt is open and may still succeed.
        if !request.attempts.is_empty() {
            return;
        }
        if self.retry(now, id, attempt.server, out) {
            return;
        }
        self.fail(now, id, ErrorReason::Broken, NotRunReason::NoBackendServer, out);
    }

    /// Ends a request without an answer: a refusal if it didn't run, else an error.
    pub(super) fn fail(
        &mut self,
        now: Time,
        id: RequestId,
        error: ErrorReason,
        refusal: NotRunReason,
        out: &mut Vec<EntryEffect>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        let state = self.classes.get_mut(request.class);
        let queue_wait = state.drain_meter.estimated_wait(now, state.queue.len() + 1);
        let was_sent = request.may_have_run || !request.attempts.is_empty();
        let verdict = if was_sent {
            let ran = if self.opts.protections.truthful_ran { Ran::Unknown } else { Ran::No };
            let retry_after = RetryAfter::from_wait(queue_wait.max(ERROR_RETRY_AFTER));
            Verdict::Error { reason: error, ran, retry_after }
        } else {
            Verdict::Refuse { reason: refusal, retry_after: RetryAfter::from_wait(queue_wait) }
        };
        if request.caller_waits {
            match verdict {
                Verdict::Refuse { .. } => state.load.refused(),
                _ => state.load.record_answered(false),
            }
            self.answer(id, verdict, out);
        }
        self.finish_if_done(now, id, out);
    }

    /// Sends the caller its final answer, unless it has one.
    pub(super) fn answer(&mut self, id: RequestId, verdict: Verdict, out: &mut Vec<EntryEffect>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if std::mem::replace(&mut request.caller_waits, false) {
            out.push(EntryEffect::Answer { request: id, verdict });
        }
    }

    /// Removes a request that owes no answer and has no open attempt, and reports the outcome of
    /// its key.
    pub(super) fn finish_if_done(&mut self, now: Time, id: RequestId, out: &mut Vec<EntryEffect>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.caller_waits || !request.attempts.is_empty() {
            return;
        }
        self.dequeue(id);
        let Some(request) = self.requests.remove(&id) else { return };
        self.timers.remove(&(request.deadline, Timer::Deadline(id)));
        self.timers.remove(&(request.arrived + PERMIT_TIMEOUT, Timer::PermitTimeout(id)));
        if let Some(at) = request.hedge_at {
            self.timers.remove(&(at, Timer::Hedge(id)));
        }
        if let Some(keyed) = request.keyed {
            let default_outcome =
                if request.may_have_run { KeyOutcome::Unknown } else { KeyOutcome::NotRun };
            let outcome = keyed.outcome.clone().unwrap_or(default_outcome);
            self.report(now, id, &keyed, outcome, out);
        }
    }

    /// Refuses a waiting request that can't be answered in time any more.
    pub(super) fn expire_queued(&mut self, now: Time, id: RequestId, out: &mut Vec<EntryEffect>) {
        let queued = self.requests.get(&id).map(|request| request.phase);
        if matches!(queued, Some(Phase::Queued(key)) if key.queue_deadline <= now) {
            self.dequeue(id);
            // Not queued any more: `finish_if_done` must not dequeue it again.
            if let Some(request) = self.requests.get_mut(&id) {
                request.phase = Phase::Open;
            }
            self.fail(now, id, ErrorReason::Broken, NotRunReason::TooLate, out);
        }
    }

    pub(super) fn deadline_passed(&mut self, now: Time, id: RequestId, out: &mut Vec<EntryEffect>) {
        let Some(request) = self.requests.get(&id) else { return };
        if !request.caller_waits {
            return;
        }
        let awaits_permit = request.phase == Phase::AwaitsPermit;
        let refusal = if awaits_permit { NotRunReason::NoPermit } else { NotRunReason::TooLate };
        self.fail(now, id, ErrorReason::TimedOut, refusal, out);
    }

    /// The caller has disconnected: nothing more is sent for the request. Open attempts continue,
    /// since their answers still show the server's latency and the outcome of a key.
    pub(super) fn caller_gone(&mut self, now: Time, id: RequestId, out: &mut Vec<EntryEffect>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if std::mem::replace(&mut request.caller_waits, false) {
            out.push(EntryEffect::Forget { request: id });
        }
        self.finish_if_done(now, id, out);
    }

    /// The runtime hasn't reported the end of an attempt: it counts as failed, so that its slot is
    /// freed.
    pub(super) fn attempt_timed_out(
        &mut self,
        now: Time,
        id: AttemptId,
        out: &mut Vec<EntryEffect>,
    ) {
        if self.attempts.contains_key(&id) {
            out.push(EntryEffect::CancelAttempt { attempt: id });
            self.attempt_ended(now, id, AttemptResult::Failed, out);
        }
    }

    /// Used without [`crate::Protections::match_answers`]: a late answer goes to any waiting
    /// request.
    fn forward_to_any_waiting(&mut self, id: AttemptId, out: &mut Vec<EntryEffect>) {
        let caller_waits = |attempt: &&Attempt| {
            let request = self.requests.get(&attempt.request);
            request.is_some_and(|request| request.caller_waits)
        };
        let waiting = self.attempts.values().find(caller_waits).map(|attempt| attempt.request);
        if let Some(request) = waiting {
            self.answer(request, Verdict::Forward { attempt: id }, out);
        }
    }
}

//! What an attempt's end, a deadline or a vanished caller means for the request.

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

/// From this status on an answer counts against the server. A server that fails fast would
/// otherwise look quick and draw everyone's requests.
const SERVER_ERROR: u16 = 500;

/// When to come back after an error whose end can't be foretold.
const AFTER_ERROR: Duration = Duration::from_secs(1);

impl Entry {
    pub(super) fn answered(
        &mut self,
        now: Time,
        id: AttemptId,
        result: AttemptResult,
        out: &mut Vec<EntryEffect>,
    ) {
        // Told twice, or long after it was given up: the answer belongs to nobody any more.
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.timers.remove(&(attempt.ends_at, Timer::AttemptEnd(id)));
        self.close(now, &attempt, &result);
        let owed = self.requests.get(&attempt.request).is_some_and(|req| req.caller_waits);
        if !owed && !self.opts.protections.match_answers {
            return self.pass_to_anybody(id, out);
        }
        let Some(request) = self.requests.get_mut(&attempt.request) else { return };
        request.attempts.retain(|open| *open != id);
        match result {
            AttemptResult::Complete { status, recorded_body } => {
                self.whole(now, id, &attempt, RecordedAnswer { status, body: recorded_body }, out);
            }
            AttemptResult::Truncated if !self.opts.protections.reject_truncated_answers => {
                let answer = RecordedAnswer { status: 200, body: None };
                self.whole(now, id, &attempt, answer, out);
            }
            AttemptResult::NotSent | AttemptResult::Declined { .. } => {
                self.not_answered(now, &attempt, out);
            }
            AttemptResult::Failed | AttemptResult::Truncated => {
                request.may_have_run = true;
                self.not_answered(now, &attempt, out);
            }
        }
    }

    /// Takes an ended exchange out of all counts.
    fn close(&mut self, now: Time, attempt: &Attempt, result: &AttemptResult) {
        let took = now.since(attempt.sent_at);
        let state = self.classes.get_mut(attempt.class);
        state.open = state.open.saturating_sub(1);
        state.load.open(now, state.open);
        let mean = state.latency.mean().max(Duration::from_micros(1));
        let ratio = took.as_secs_f64() / mean.as_secs_f64();
        let answered =
            matches!(result, AttemptResult::Complete { status, .. } if *status < SERVER_ERROR);
        if answered {
            state.latency.record(took);
            let target = state.service.as_ref().map_or(Duration::MAX, |service| service.target);
            state.limit.record(now, took, target);
        }
        // What is open beyond a share that was taken back is free for others once it is known to
        // have ended.
        let server = self.servers.get(attempt.server);
        if server.open > server.share
            && let Some(grantor) = self.grantors.get_mut(server.shard)
        {
            grantor.hurry = true;
        }
        self.fairness.ended(attempt.member, attempt.expected, took);
        if let AttemptResult::Declined { draining: true } = result {
            let until = self.servers.said_leaving(attempt.server, now);
            self.timers.insert((until, Timer::Server(attempt.server)));
        }
        let judge = |health: &mut Health| match result {
            AttemptResult::Declined { draining: true } => {}
            _ if answered => health.answered(ratio),
            _ => health.failed(),
        };
        if let Some(until) = self.servers.closed(attempt.server, now, judge) {
            self.timers.insert((until, Timer::Server(attempt.server)));
        }
    }

    fn whole(
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
        // The second answer of a hedged request: the caller has the first.
        if request.caller_waits {
            let in_time = now <= request.answer_by;
            self.classes.get_mut(attempt.class).load.answered(in_time);
            self.answer(attempt.request, Verdict::Forward { attempt: id }, out);
        }
        self.end_if_done(now, attempt.request, out);
    }

    fn not_answered(&mut self, now: Time, attempt: &Attempt, out: &mut Vec<EntryEffect>) {
        let id = attempt.request;
        let Some(request) = self.requests.get(&id) else { return };
        // Another sending of it is still open; its answer may come.
        if !request.attempts.is_empty() {
            return;
        }
        if self.retry(now, id, attempt.server, out) {
            return;
        }
        self.fail(now, id, ErrorReason::Broken, NotRunReason::NoBackendServer, out);
    }

    /// Gives the final answer of a request that gets no answer of its own: refused if it certainly
    /// didn't run, else an error.
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
        let backlog = state.drain.wait(now, state.queue.len() + 1);
        let sent = request.may_have_run || !request.attempts.is_empty();
        let verdict = if sent {
            let ran = if self.opts.protections.truthful_ran { Ran::Unknown } else { Ran::No };
            let retry_after = RetryAfter::from_wait(backlog.max(AFTER_ERROR));
            Verdict::Error { reason: error, ran, retry_after }
        } else {
            Verdict::Refuse { reason: refusal, retry_after: RetryAfter::from_wait(backlog) }
        };
        if request.caller_waits {
            match verdict {
                Verdict::Refuse { .. } => state.load.refused(),
                _ => state.load.answered(false),
            }
            self.answer(id, verdict, out);
        }
        self.end_if_done(now, id, out);
    }

    /// Gives the caller its one final answer.
    pub(super) fn answer(&mut self, id: RequestId, verdict: Verdict, out: &mut Vec<EntryEffect>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if std::mem::replace(&mut request.caller_waits, false) {
            out.push(EntryEffect::Answer { request: id, verdict });
        }
    }

    /// Forgets a request once its caller waits for nothing and nothing of it is open, and reports
    /// what became of its key.
    pub(super) fn end_if_done(&mut self, now: Time, id: RequestId, out: &mut Vec<EntryEffect>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.caller_waits || !request.attempts.is_empty() {
            return;
        }
        self.dequeue(id);
        let Some(request) = self.requests.remove(&id) else { return };
        self.timers.remove(&(request.deadline, Timer::Deadline(id)));
        self.timers.remove(&(request.arrived + PERMIT_TIMEOUT, Timer::PermitWait(id)));
        if let Some(at) = request.hedge_at {
            self.timers.remove(&(at, Timer::Hedge(id)));
        }
        if let Some(keyed) = request.keyed {
            let unknown =
                if request.may_have_run { KeyOutcome::Unknown } else { KeyOutcome::NotRun };
            let outcome = keyed.outcome.clone().unwrap_or(unknown);
            self.report(now, id, &keyed, outcome, out);
        }
    }

    /// A waiting request can't be answered in time any more: its caller is told at once.
    pub(super) fn give_up_waiting(&mut self, now: Time, id: RequestId, out: &mut Vec<EntryEffect>) {
        let queued = self.requests.get(&id).map(|request| request.phase);
        if matches!(queued, Some(Phase::Queued(key)) if key.give_up_at <= now) {
            self.dequeue(id);
            if let Some(request) = self.requests.get_mut(&id) {
                request.phase = Phase::Open;
            }
            self.fail(now, id, ErrorReason::Broken, NotRunReason::TooLate, out);
        }
    }

    pub(super) fn deadline(&mut self, now: Time, id: RequestId, out: &mut Vec<EntryEffect>) {
        let Some(request) = self.requests.get(&id) else { return };
        if !request.caller_waits {
            return;
        }
        let awaits_permit = request.phase == Phase::AwaitsPermit;
        let refusal = if awaits_permit { NotRunReason::NoPermit } else { NotRunReason::TooLate };
        self.fail(now, id, ErrorReason::TimedOut, refusal, out);
    }

    /// The caller has gone: its place is free. What was sent runs on, since its answer still tells
    /// how fast the server is and what became of a key; nothing is sent for it any more.
    pub(super) fn caller_gone(&mut self, now: Time, id: RequestId, out: &mut Vec<EntryEffect>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if std::mem::replace(&mut request.caller_waits, false) {
            out.push(EntryEffect::Forget { request: id });
        }
        self.end_if_done(now, id, out);
    }

    /// The runtime owed the end of an attempt: taken as failed, so that its place isn't lost.
    pub(super) fn attempt_overdue(&mut self, now: Time, id: AttemptId, out: &mut Vec<EntryEffect>) {
        if self.attempts.contains_key(&id) {
            out.push(EntryEffect::CancelAttempt { attempt: id });
            self.answered(now, id, AttemptResult::Failed, out);
        }
    }

    /// What happens without [`crate::Protections::match_answers`]: a late answer goes to whoever
    /// waits.
    fn pass_to_anybody(&mut self, id: AttemptId, out: &mut Vec<EntryEffect>) {
        let waits = |attempt: &&Attempt| {
            let request = self.requests.get(&attempt.request);
            request.is_some_and(|request| request.caller_waits)
        };
        let other = self.attempts.values().find(waits).map(|attempt| attempt.request);
        if let Some(request) = other {
            self.answer(request, Verdict::Forward { attempt: id }, out);
        }
    }
}

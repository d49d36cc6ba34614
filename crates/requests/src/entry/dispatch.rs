//! Sending: which waiting request goes next, and to which backend server.

use {
    super::{
        Attempt, Entry, Phase, Timer, class::ClassIx, event::EntryEffect, fairness::MemberIx,
        servers::ServerIx,
    },
    crate::{
        ids::{AttemptId, RequestId},
        limits::MAX_ATTEMPT_DURATION,
    },
    egretlb_types::Time,
    std::time::Duration,
};

/// How long the runtime may take to tell the end of an attempt after its timeout.
const END_GRACE: Duration = Duration::from_millis(500);

/// A sending that the runtime hasn't begun after this is begun too late: the backend server was
/// chosen for its load then.
const SEND_WITHIN: Duration = Duration::from_secs(1);

/// A request that could go now.
struct Next {
    request: RequestId,
    server: ServerIx,
}

impl Entry {
    /// Sends what can be sent.
    pub(super) fn dispatch(&mut self, now: Time, out: &mut Vec<EntryEffect>) {
        while self.waiting > 0 && self.servers.free() > 0 {
            let Some(next) = self.next(now) else { return };
            self.dequeue(next.request);
            let class = self.requests.get(&next.request).map(|request| request.class);
            if let Some(class) = class {
                let state = self.classes.get_mut(class);
                let waiting = !state.queue.is_empty();
                state.drain.sent(now, waiting);
            }
            self.send(now, next.request, next.server, out);
        }
    }

    /// The member that used the least goes first, and of its classes the most urgent request.
    fn next(&mut self, now: Time) -> Option<Next> {
        for member in self.fairness.waiting_in_turn() {
            let (free, total) = (self.servers.free(), self.servers.total());
            if !self.fairness.may_take(member, now, free, total) {
                continue;
            }
            let Some((class, request)) = self.most_urgent(member) else { continue };
            let idempotent = self.requests.get(&request).is_some_and(|req| req.idempotent);
            let picked = self.servers.pick(class, idempotent, None, &mut self.rng);
            if let Some(server) = picked {
                return Some(Next { request, server });
            }
        }
        None
    }

    fn most_urgent(&self, member: MemberIx) -> Option<(ClassIx, RequestId)> {
        let heads = self.fairness.classes(member).iter().filter_map(|ix| {
            let state = self.classes.get(*ix);
            let ready = state.limit.allows(state.open) && self.servers.has_candidate(*ix);
            let head = if ready { state.head(self.opts.order) } else { None };
            head.map(|(key, request)| (key, *ix, request))
        });
        heads.min().map(|(_, class, request)| (class, request))
    }

    /// Sends a request once more.
    pub(super) fn send(
        &mut self,
        now: Time,
        id: RequestId,
        server: ServerIx,
        out: &mut Vec<EntryEffect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let state = self.classes.get_mut(request.class);
        let expected = state.latency.mean();
        // An exchange isn't broken off at its caller's deadline. The backend server may work on it
        // all the same, and a slot that is taken for free too early overloads it; and the outcome
        // of a key is worth knowing.
        let timeout = MAX_ATTEMPT_DURATION;
        let deadline = request.deadline.since(now);
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let ends_at = now + timeout + END_GRACE;
        request.phase = Phase::Open;
        request.attempts.push(attempt);
        // A retry that had to wait earns nothing either, or retries would pay for themselves.
        if request.sends == 0 {
            state.budget.earn();
        }
        request.sends += 1;
        if request.idempotent && request.hedge_at.is_none() {
            let at = now + state.hedge_after();
            request.hedge_at = Some(at);
            self.timers.insert((at, Timer::Hedge(id)));
        }
        state.open += 1;
        state.limit.opened(state.open);
        state.load.open(now, state.open);
        state.note_need();
        let record = Attempt {
            request: id,
            class: request.class,
            member: request.member,
            server,
            sent_at: now,
            ends_at,
            expected,
        };
        self.fairness.sent(request.member, expected);
        self.attempts.insert(attempt, record);
        self.timers.insert((ends_at, Timer::AttemptEnd(attempt)));
        self.servers.opened(server);
        let (vm, addr, shard) = {
            let server = self.servers.get(server);
            (server.vm.clone(), server.addr.clone(), server.shard)
        };
        let lapses = self.grantors.get(shard).map_or(now, |grantor| grantor.lapses);
        let send_by = lapses.min(now + SEND_WITHIN);
        out.push(EntryEffect::Send { request: id, attempt, vm, addr, timeout, deadline, send_by });
    }

    /// Sends an idempotent request a second time, since its first answer is late.
    ///
    /// For one slow backend server, before it is noticed and ejected. Only while nobody waits: a
    /// second sending under load takes the slot of somebody else's first.
    pub(super) fn hedge(&mut self, now: Time, id: RequestId, out: &mut Vec<EntryEffect>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let alone = request.attempts.len() == 1;
        if !request.caller_waits || request.phase != Phase::Open || !alone {
            return;
        }
        let again = now + self.classes.get(request.class).hedge_after();
        request.hedge_at = Some(again);
        self.timers.insert((again, Timer::Hedge(id)));
        if self.waiting > 0 {
            return;
        }
        let first = self.attempts.get(&request.attempts[0]).map(|attempt| attempt.server);
        let picked = self.servers.pick(request.class, true, first, &mut self.rng);
        let Some(server) = picked else { return };
        if self.classes.get_mut(request.class).budget.spend_on_hedge() {
            self.send(now, id, server, out);
        }
    }

    /// Sends a request again that certainly didn't run, or may run twice. Returns whether it is
    /// on its way or waits again.
    ///
    /// For a backend server that has died: its requests go elsewhere. For an overload that makes
    /// servers fail, the budget keeps the second sendings to a tenth, so that they can't feed it.
    pub(super) fn retry(
        &mut self,
        now: Time,
        id: RequestId,
        failed: ServerIx,
        out: &mut Vec<EntryEffect>,
    ) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let at_most_once = self.opts.protections.at_most_once;
        let safe = request.idempotent || !request.may_have_run || !at_most_once;
        if !request.caller_waits || !safe || request.deadline <= now {
            return false;
        }
        let (class, idempotent) = (request.class, request.idempotent);
        if !self.classes.get_mut(class).budget.spend() {
            return false;
        }
        match self.servers.pick(class, idempotent, Some(failed), &mut self.rng) {
            Some(server) => self.send(now, id, server, out),
            None => self.enqueue(now, id),
        }
        true
    }
}

//! Dispatch: which waiting request is sent next, and to which backend server.

use {
    super::{
        Attempt, Entry, Phase, Timer, class::ClassIx, event::EntryEffect, fairness::OrganisationIx,
        servers::ServerIx,
    },
    crate::{
        ids::{AttemptId, RequestId},
        limits::MAX_ATTEMPT_DURATION,
    },
    egretlb_types::Time,
    std::time::Duration,
};

/// How long after an attempt's timeout the runtime may report its end.
const ATTEMPT_END_GRACE: Duration = Duration::from_millis(500);

/// How long the runtime may take to begin an attempt; after that the choice of the backend server
/// is out of date.
const MAX_SEND_DELAY: Duration = Duration::from_secs(1);

/// A request to send and the backend server for it.
struct NextSend {
    request: RequestId,
    server: ServerIx,
}

impl Entry {
    /// Sends waiting requests while there is free capacity.
    pub(super) fn dispatch(&mut self, now: Time, out: &mut Vec<EntryEffect>) {
        while self.queued_count > 0 && self.servers.total_free_capacity() > 0 {
            let Some(next) = self.next_send(now) else { return };
            self.dequeue(next.request);
            let class = self.requests.get(&next.request).map(|request| request.class);
            if let Some(class) = class {
                let state = self.classes.get_mut(class);
                let waiting = !state.queue.is_empty();
                state.drain_meter.sent(now, waiting);
            }
            self.send(now, next.request, next.server, out);
        }
    }

    /// Picks the organisation with the least usage, and the most urgent request of its classes.
    fn next_send(&mut self, now: Time) -> Option<NextSend> {
        for organisation in self.fairness.waiting_by_usage() {
            let (free, total) = (self.servers.total_free_capacity(), self.servers.total_share());
            if !self.fairness.may_use_slot(organisation, now, free, total) {
                continue;
            }
            let Some((class, request)) = self.most_urgent(organisation) else { continue };
            let idempotent = self.requests.get(&request).is_some_and(|req| req.idempotent);
            let picked = self.servers.pick(class, idempotent, None, &mut self.rng);
            if let Some(server) = picked {
                return Some(NextSend { request, server });
            }
        }
        None
    }

    /// The most urgent request of the organisation's classes that can send now.
    fn most_urgent(&self, organisation: OrganisationIx) -> Option<(ClassIx, RequestId)> {
        let heads = self.fairness.classes(organisation).iter().filter_map(|ix| {
            let state = self.classes.get(*ix);
            let ready = state.limit.allows(state.open) && self.servers.has_candidate(*ix);
            let head = if ready { state.head(self.opts.order) } else { None };
            head.map(|(key, request)| (key, *ix, request))
        });
        heads.min().map(|(_, class, request)| (class, request))
    }

    /// Starts an attempt to send a request.
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
        // The exchange isn't cancelled at its caller's deadline: the backend server may continue to
        // work on it and use its slot, and the outcome of a key is still of use.
        let timeout = MAX_ATTEMPT_DURATION;
        let deadline = request.deadline.since(now);
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let result_due_at = now + timeout + ATTEMPT_END_GRACE;
        request.phase = Phase::Open;
        request.attempts.push(attempt);
        // Only a first attempt earns tokens; a retry that was queued doesn't.
        if request.send_count == 0 {
            state.budget.earn();
        }
        request.send_count += 1;
        if request.idempotent && request.hedge_at.is_none() {
            let at = now + state.hedge_after();
            request.hedge_at = Some(at);
            self.timers.insert((at, Timer::Hedge(id)));
        }
        state.open += 1;
        state.limit.opened(state.open);
        state.load.set_open(now, state.open);
        state.record_concurrency_need();
        let record = Attempt {
            request: id,
            class: request.class,
            organisation: request.organisation,
            server,
            sent_at: now,
            result_due_at,
            expected,
        };
        self.fairness.sent(request.organisation, expected);
        self.attempts.insert(attempt, record);
        self.timers.insert((result_due_at, Timer::AttemptTimeout(attempt)));
        self.servers.opened(server);
        let (vm, addr, shard) = {
            let server = self.servers.get(server);
            (server.vm.clone(), server.addr.clone(), server.shard)
        };
        let shares_expire_at =
            self.grantors.get(shard).map_or(now, |grantor| grantor.shares_expire_at);
        let send_by = shares_expire_at.min(now + MAX_SEND_DELAY);
        out.push(EntryEffect::Send { request: id, attempt, vm, addr, timeout, deadline, send_by });
    }

    /// Sends an idempotent request a second time, since its first answer is late.
    ///
    /// For a slow backend server that isn't ejected yet. Only while no request waits: under load a
    /// hedge would take the slot of another request.
    pub(super) fn hedge(&mut self, now: Time, id: RequestId, out: &mut Vec<EntryEffect>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let single_attempt = request.attempts.len() == 1;
        if !request.caller_waits || request.phase != Phase::Open || !single_attempt {
            return;
        }
        let next_hedge_at = now + self.classes.get(request.class).hedge_after();
        request.hedge_at = Some(next_hedge_at);
        self.timers.insert((next_hedge_at, Timer::Hedge(id)));
        if self.queued_count > 0 {
            return;
        }
        let first = self.attempts.get(&request.attempts[0]).map(|attempt| attempt.server);
        let picked = self.servers.pick(request.class, true, first, &mut self.rng);
        let Some(server) = picked else { return };
        if self.classes.get_mut(request.class).budget.spend_on_hedge() {
            self.send(now, id, server, out);
        }
    }

    /// Resends a request that didn't run or is idempotent. Returns whether it was sent or
    /// queued.
    ///
    /// For a backend server that has died: its requests go to others. When servers fail because of
    /// overload, the budget keeps retries from amplifying it.
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

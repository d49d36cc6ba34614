//! Admission: what is decided of a request on its arrival.

use {
    super::{
        Entry, Phase, Request, Timer,
        class::{ClassIx, QueueKey, Service},
        event::{Arrival, EntryEffect, Verdict},
        options::QueueOrder,
        request::Keyed,
    },
    crate::{
        ids::RequestId,
        limits::{MAX_ATTEMPT_DURATION, PERMIT_TIMEOUT},
    },
    egretlb_types::{NotRunReason, RetryAfter, Time, shard_of_key},
    smallvec::SmallVec,
    std::time::Duration,
};

/// A class whose requests have waited for this long without any share has no backend server in
/// reach: one ask and its answer take a few milliseconds.
const NO_SHARE_FOR: Duration = Duration::from_millis(500);

/// A request is admitted if the wait foretold is at most one in so many parts of the time that it
/// may wait.
///
/// The forecast errs, and who is admitted at its limit is refused after a long wait as often as
/// not. A shorter queue keeps the servers just as busy.
const WAIT_ONE_IN: u32 = 2;

impl Entry {
    pub(super) fn arrive(&mut self, now: Time, arrival: Arrival, out: &mut Vec<EntryEffect>) {
        let request = arrival.request;
        let found = self.classes.find(&arrival.class);
        let service = found.and_then(|ix| Some((ix, self.classes.get(ix).service.clone()?)));
        let Some((class, service)) = service else {
            return refuse(request, NotRunReason::UnknownClass, Duration::ZERO, out);
        };
        self.classes.get_mut(class).load.arrived();
        if let Some((reason, wait)) = self.refusal(now, class, &service, &arrival) {
            self.classes.get_mut(class).load.refused();
            return refuse(request, reason, wait, out);
        }
        let entered = self.new_request(now, class, &service, arrival);
        let member = entered.member;
        self.fairness.arrived(member, now);
        self.timers.insert((entered.deadline, Timer::Deadline(request)));
        let keyed = entered.keyed.is_some();
        self.requests.insert(request, entered);
        if keyed {
            self.timers.insert((now + PERMIT_TIMEOUT, Timer::PermitWait(request)));
            self.request_permit(now, request, out);
        } else {
            self.enqueue(now, request);
        }
    }

    /// Why the request is refused at once, and after which wait it may succeed.
    ///
    /// For bursts and overload: who would wait in vain takes up the place of others and learns of
    /// it late. What can be foretold is said on arrival, while the caller can still go elsewhere.
    fn refusal(
        &self,
        now: Time,
        class: ClassIx,
        service: &Service,
        arrival: &Arrival,
    ) -> Option<(NotRunReason, Duration)> {
        if self.shut_down_at.is_some() {
            return Some((NotRunReason::ShuttingDown, Duration::ZERO));
        }
        let state = self.classes.get(class);
        let backlog = state.drain.wait(now, state.queue.len() + 1);
        if self.servers.serving(class) == 0 || self.lacks_share(now, class) {
            return Some((NotRunReason::NoBackendServer, backlog));
        }
        if state.queue.len() >= self.opts.max_queue_len {
            return Some((NotRunReason::QueueFull, backlog));
        }
        let patience = arrival.deadline.unwrap_or(service.target).min(service.target);
        let room = patience.saturating_sub(state.service_time(patience));
        let foretold = self.opts.order == QueueOrder::EarliestDeadline && !state.queue.is_empty();
        let wait = state.drain.wait(now, state.queue.len());
        if patience.is_zero() || (foretold && wait > room / WAIT_ONE_IN) {
            return Some((NotRunReason::TooLate, backlog));
        }
        None
    }

    /// For grantors out of reach: the first request waits for a share, those behind it needn't.
    fn lacks_share(&self, now: Time, class: ClassIx) -> bool {
        let state = self.classes.get(class);
        self.servers.shares(class) == 0
            && !state.queue.is_empty()
            && state.starved_since.is_some_and(|at| now.since(at) >= NO_SHARE_FOR)
    }

    fn new_request(
        &mut self,
        now: Time,
        class: ClassIx,
        service: &Service,
        arrival: Arrival,
    ) -> Request {
        let deadline =
            now + arrival.deadline.unwrap_or(MAX_ATTEMPT_DURATION).min(MAX_ATTEMPT_DURATION);
        // A key on an idempotent class changes nothing: running twice does no harm there.
        let key = arrival.key.filter(|_| !service.idempotent);
        let keyed = key.map(|key| {
            let shard = shard_of_key(&key);
            Box::new(Keyed { shard, key, body: arrival.body, outcome: None })
        });
        Request {
            class,
            member: self.fairness.find_or_add(&service.member),
            arrived: now,
            deadline,
            answer_by: deadline.min(now + service.target),
            idempotent: service.idempotent,
            keyed,
            phase: Phase::AwaitsPermit,
            attempts: SmallVec::new(),
            sends: 0,
            caller_waits: true,
            may_have_run: false,
            hedge_at: None,
        }
    }

    /// Puts a request into its class's queue.
    pub(super) fn enqueue(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (class, member) = (request.class, request.member);
        let starved = self.servers.shares(class) == 0;
        let state = self.classes.get_mut(class);
        if starved {
            state.starved_since.get_or_insert(now);
        }
        let target = state.service.as_ref().map_or(MAX_ATTEMPT_DURATION, |service| service.target);
        let patience = request.answer_by.since(request.arrived).min(target);
        let give_up_at = request.answer_by - state.service_time(patience);
        let key = QueueKey { give_up_at: give_up_at.max(now), request: id };
        request.phase = Phase::Queued(key);
        state.queue.insert(key, id);
        state.note_need();
        self.timers.insert((key.give_up_at, Timer::GiveUp(id)));
        self.fairness.enqueued(member, class);
        self.waiting += 1;
    }

    /// Takes a request out of its queue.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let Phase::Queued(key) = request.phase else { return };
        let state = self.classes.get_mut(request.class);
        state.queue.remove(&key);
        let last = state.queue.is_empty();
        if last {
            state.drain.emptied();
        }
        self.fairness.dequeued(request.member, request.class, last);
        self.timers.remove(&(key.give_up_at, Timer::GiveUp(id)));
        self.waiting -= 1;
    }
}

/// Answers at once that the request isn't run.
fn refuse(id: RequestId, reason: NotRunReason, wait: Duration, out: &mut Vec<EntryEffect>) {
    let retry_after = RetryAfter::from_wait(wait);
    out.push(EntryEffect::Answer { request: id, verdict: Verdict::Refuse { reason, retry_after } });
}

//! Admission: whether a request is accepted on its arrival.

use {
    super::{
        Entry, Phase, Request, Timer,
        class::{ClassIx, ClassSettings, QueueKey},
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

/// How long requests of a class wait for a first share before further ones are refused. A share
/// request is normally answered within milliseconds.
const MAX_SHARE_WAIT: Duration = Duration::from_millis(500);

/// A request is admitted if its estimated wait is at most this fraction (1/n) of its maximum wait.
///
/// The estimate is inexact: requests admitted close to the limit are often refused after a long
/// wait.
const WAIT_DIVISOR: u32 = 2;

impl Entry {
    /// Admits or refuses a request on its arrival.
    pub(super) fn arrive(&mut self, now: Time, arrival: Arrival, out: &mut Vec<EntryEffect>) {
        let request = arrival.request;
        let found = self.classes.find(&arrival.class);
        let settings = found.and_then(|ix| Some((ix, self.classes.get(ix).settings.clone()?)));
        let Some((class, settings)) = settings else {
            return refuse(request, NotRunReason::UnknownClass, Duration::ZERO, out);
        };
        self.classes.get_mut(class).load.arrived();
        if let Some((reason, wait)) = self.refusal(now, class, &settings, &arrival) {
            self.classes.get_mut(class).load.refused();
            return refuse(request, reason, wait, out);
        }
        let admitted = self.new_request(now, class, &settings, arrival);
        let organisation = admitted.organisation;
        self.fairness.arrived(organisation, now);
        self.timers.insert((admitted.deadline, Timer::Deadline(request)));
        let keyed = admitted.keyed.is_some();
        self.requests.insert(request, admitted);
        if keyed {
            self.timers.insert((now + PERMIT_TIMEOUT, Timer::PermitTimeout(request)));
            self.request_permit(now, request, out);
        } else {
            self.enqueue(now, request);
        }
    }

    /// Returns why the request is refused on arrival, and the wait after which it may succeed.
    ///
    /// A request that can't be answered in time is refused at once, so that it takes no slot of a
    /// backend server and its caller can try elsewhere.
    fn refusal(
        &self,
        now: Time,
        class: ClassIx,
        settings: &ClassSettings,
        arrival: &Arrival,
    ) -> Option<(NotRunReason, Duration)> {
        if self.shutdown_started_at.is_some() {
            return Some((NotRunReason::ShuttingDown, Duration::ZERO));
        }
        let state = self.classes.get(class);
        // When a retry may succeed: estimated wait behind the queue and one more request.
        let queue_wait = state.drain_meter.estimated_wait(now, state.queue.len() + 1);
        if self.servers.server_count(class) == 0 || self.lacks_share(now, class) {
            return Some((NotRunReason::NoBackendServer, queue_wait));
        }
        if state.queue.len() >= self.opts.max_queue_len {
            return Some((NotRunReason::QueueFull, queue_wait));
        }
        let answer_within = arrival.deadline.unwrap_or(settings.target).min(settings.target);
        let max_wait = answer_within.saturating_sub(state.service_time(answer_within));
        // The other orders don't refuse by estimated wait; without a queue there is none.
        let wait_predictable =
            self.opts.order == QueueOrder::EarliestDeadline && !state.queue.is_empty();
        let wait = state.drain_meter.estimated_wait(now, state.queue.len());
        if answer_within.is_zero() || (wait_predictable && wait > max_wait / WAIT_DIVISOR) {
            return Some((NotRunReason::TooLate, queue_wait));
        }
        None
    }

    /// Whether the class has no share and requests have waited for one for [`MAX_SHARE_WAIT`], for
    /// example because the grantors are unreachable.
    fn lacks_share(&self, now: Time, class: ClassIx) -> bool {
        let state = self.classes.get(class);
        self.servers.share_sum(class) == 0
            && !state.queue.is_empty()
            && state.without_share_since.is_some_and(|at| now.since(at) >= MAX_SHARE_WAIT)
    }

    fn new_request(
        &mut self,
        now: Time,
        class: ClassIx,
        settings: &ClassSettings,
        arrival: Arrival,
    ) -> Request {
        let deadline =
            now + arrival.deadline.unwrap_or(MAX_ATTEMPT_DURATION).min(MAX_ATTEMPT_DURATION);
        // Idempotent requests may run twice, so their keys are ignored.
        let key = arrival.key.filter(|_| !settings.idempotent);
        let keyed = key.map(|key| {
            let shard = shard_of_key(&key);
            Box::new(Keyed { shard, key, body: arrival.body, outcome: None })
        });
        Request {
            class,
            organisation: self.fairness.find_or_add(&settings.organisation),
            arrived: now,
            deadline,
            target_deadline: deadline.min(now + settings.target),
            idempotent: settings.idempotent,
            keyed,
            phase: Phase::AwaitsPermit,
            attempts: SmallVec::new(),
            send_count: 0,
            caller_waits: true,
            may_have_run: false,
            hedge_at: None,
        }
    }

    /// Adds a request to its class's queue.
    pub(super) fn enqueue(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (class, organisation) = (request.class, request.organisation);
        let without_share = self.servers.share_sum(class) == 0;
        let state = self.classes.get_mut(class);
        if without_share {
            state.without_share_since.get_or_insert(now);
        }
        let target =
            state.settings.as_ref().map_or(MAX_ATTEMPT_DURATION, |settings| settings.target);
        let answer_within = request.target_deadline.since(request.arrived).min(target);
        let queue_deadline = request.target_deadline - state.service_time(answer_within);
        let key = QueueKey { queue_deadline: queue_deadline.max(now), request: id };
        request.phase = Phase::Queued(key);
        state.queue.insert(key, id);
        state.record_concurrency_need();
        self.timers.insert((key.queue_deadline, Timer::QueueDeadline(id)));
        self.fairness.enqueued(organisation, class);
        self.queued_count += 1;
    }

    /// Removes a request from its queue.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let Phase::Queued(key) = request.phase else { return };
        let state = self.classes.get_mut(request.class);
        state.queue.remove(&key);
        let queue_empty = state.queue.is_empty();
        if queue_empty {
            state.drain_meter.queue_emptied();
        }
        self.fairness.dequeued(request.organisation, request.class, queue_empty);
        self.timers.remove(&(key.queue_deadline, Timer::QueueDeadline(id)));
        self.queued_count -= 1;
    }
}

/// Refuses a request that was never sent.
fn refuse(id: RequestId, reason: NotRunReason, wait: Duration, out: &mut Vec<EntryEffect>) {
    let retry_after = RetryAfter::from_wait(wait);
    out.push(EntryEffect::Answer { request: id, verdict: Verdict::Refuse { reason, retry_after } });
}

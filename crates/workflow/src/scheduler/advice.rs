//! Tickets for steps that a policy restricts to some workers.
//!
//! Only a platform service knows which workers a step may use. Its response time grows with the number of
//! workers queried, and a process may have one call open. So a step queries only as many workers as it is
//! likely to need, best first. Answers are cached: permissions don't change, and a ticket is valid for all
//! tasks of the step. Steps that need no ticket are placed meanwhile.

use {
    super::{Effect, QueuedStep, Requirements, Scheduler},
    crate::{AdviceTerms, StepId, TaskId, WorkerId, WorkflowId},
    compact_str::CompactString,
    egretlb_types::Time,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The answer of the service that issues tickets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdviceResult {
    /// Workers that may run the step, with their tickets; the other queried workers may not.
    Allowed {
        /// Worker and ticket.
        tickets: Vec<(WorkerId, CompactString)>,
        /// Validity of the tickets, in milliseconds.
        validity_ms: u32,
    },
    /// Too many calls are queued at the service.
    Busy,
    /// No answer, or an unusable one.
    Failed,
}

/// Workers queried for each waiting task; about half of the workers are expected to be allowed.
const WORKERS_PER_TASK: usize = 2;

/// Minimum number of workers queried; an allowed worker may be full by the time of the start.
const MIN_WORKERS: usize = 4;

/// Maximum number of workers queried in one call. The platform reckons with one call about 30 workers for a step.
const MAX_WORKERS: usize = 30;

/// Delay before the next call after [`AdviceResult::Busy`].
const BUSY_DELAY: Duration = Duration::from_millis(250);

/// Delay before the next call after [`AdviceResult::Failed`].
const FAILED_DELAY: Duration = Duration::from_millis(400);

/// A ticket is not used this close to its expiry, since the start would arrive too late.
const TICKET_MARGIN: Duration = Duration::from_millis(200);

/// Cached answers for one step.
#[derive(Debug, Default)]
pub(super) struct StepAdvice {
    tickets: BTreeMap<WorkerId, (CompactString, Time)>,
    denied: BTreeSet<WorkerId>,
}

impl StepAdvice {
    fn ticket(&self, now: Time, id: &WorkerId) -> Option<&CompactString> {
        let (ticket, expires_at) = self.tickets.get(id)?;
        (now + TICKET_MARGIN < *expires_at).then_some(ticket)
    }

    /// Whether there is neither a valid ticket nor a denial for a worker, so that it may be queried.
    fn is_unknown(&self, now: Time, id: &WorkerId) -> bool {
        !self.denied.contains(id) && self.ticket(now, id).is_none()
    }
}

/// A call that hasn't been answered.
#[derive(Debug)]
struct PendingRequest {
    step: StepId,
    workers: Vec<WorkerId>,
    sent: Time,
}

/// Cached answers for all steps that need tickets, and the open call.
#[derive(Debug, Default)]
pub(super) struct Advice {
    steps: BTreeMap<StepId, StepAdvice>,
    pending: Option<PendingRequest>,
    /// Earliest time of the next call.
    retry_at: Option<Time>,
    /// Steps that found no worker in this pass, in queue order.
    queued: Vec<StepId>,
}

impl Scheduler {
    /// The terms under which tickets for a step are issued; none if it needs no tickets.
    pub(super) fn advice_terms(&self, step: StepId) -> Option<AdviceTerms> {
        self.workflows.get(&step.workflow).and_then(|workflow| workflow.submission.advice)
    }

    /// Whether a worker is known to be allowed to run tasks of a step.
    pub(super) fn is_allowed(&self, now: Time, task: TaskId, id: &WorkerId) -> bool {
        let step = task.step_id();
        let ticket = || self.advice.steps.get(&step).and_then(|advice| advice.ticket(now, id));
        self.advice_terms(step).is_none() || ticket().is_some()
    }

    /// The ticket for a start; empty if none is needed.
    pub(super) fn ticket(&self, now: Time, task: TaskId, id: &WorkerId) -> CompactString {
        let advice = self.advice.steps.get(&task.step_id());
        advice.and_then(|advice| advice.ticket(now, id)).cloned().unwrap_or_default()
    }

    /// Queues a query for more tickets if a step that found no worker needs them; returns whether it does.
    pub(super) fn queue_ticket_query(&mut self, key: QueuedStep) -> bool {
        let step = StepId { workflow: key.workflow, occurrence: key.occurrence, step: key.step };
        let needs_ticket = self.advice_terms(step).is_some();
        if needs_ticket {
            self.advice.queued.push(step);
        }
        needs_ticket
    }

    /// Sends a query for the first queued step, unless a call is open.
    pub(super) fn request_advice(&mut self, now: Time, out: &mut Vec<Effect>) {
        let queued = std::mem::take(&mut self.advice.queued);
        let delayed = self.advice.retry_at.is_some_and(|retry_at| now < retry_at);
        if self.advice.pending.is_some() || delayed {
            return;
        }
        for step in queued {
            let workers = self.workers_to_query(now, step);
            if workers.is_empty() {
                continue;
            }
            log::debug!(step:%, workers = workers.len(); "advice_asked");
            out.push(Effect::Advise { step, workers: workers.clone() });
            self.advice.pending = Some(PendingRequest { step, workers, sent: now });
            return;
        }
    }

    /// The workers to query, those with free capacity first. Full workers follow, since long-running tasks can be
    /// preempted there.
    fn workers_to_query(&mut self, now: Time, id: StepId) -> Vec<WorkerId> {
        let task =
            TaskId { workflow: id.workflow, occurrence: id.occurrence, step: id.step, index: 0 };
        let Some(step) = self.step(task).cloned() else { return Vec::new() };
        let Some(workflow) = self.workflows.get(&id.workflow) else { return Vec::new() };
        let service = workflow.submission.service.clone();
        let occurrence = workflow.occurrences.get(&id.occurrence);
        let state = occurrence.and_then(|occurrence| occurrence.steps.get(usize::from(id.step)));
        let waiting_tasks = state.map_or(0, |state| state.queue.len());
        let requirements = Requirements::new(&step, &mut self.colocation);
        let advice = self.advice.steps.entry(id).or_default();
        let mut candidates: Vec<((bool, u32), &WorkerId)> = Vec::new();
        for (worker_id, worker) in &self.workers {
            let eligible = worker.info.service == service
                && worker.accepts_work(now, &self.limits)
                && step.label.as_ref().is_none_or(|label| worker.info.has_label(label));
            if eligible && advice.is_unknown(now, worker_id) {
                let free = worker.free();
                candidates.push(((requirements.reserved.fits(&free), free.cpu.0), worker_id));
            }
        }
        candidates.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        let count = (waiting_tasks * WORKERS_PER_TASK).clamp(MIN_WORKERS, MAX_WORKERS);
        candidates.into_iter().take(count).map(|(_, worker_id)| worker_id.clone()).collect()
    }

    /// Handles the answer of the service.
    pub fn on_advice(&mut self, now: Time, step: StepId, result: AdviceResult) {
        let Some(PendingRequest { workers, sent, .. }) =
            self.advice.pending.take_if(|pending| pending.step == step)
        else {
            return;
        };
        match result {
            AdviceResult::Allowed { tickets, validity_ms } => {
                if !self.workflows.contains_key(&step.workflow) {
                    return;
                }
                let advice = self.advice.steps.entry(step).or_default();
                advice.denied.extend(workers);
                // Counted from the request, so it isn't used longer than the service allows.
                let expires_at = sent + Duration::from_millis(u64::from(validity_ms));
                log::info!(step:%, allowed = tickets.len(); "advised");
                for (id, ticket) in tickets {
                    advice.denied.remove(&id);
                    advice.tickets.insert(id, (ticket, expires_at));
                }
            }
            AdviceResult::Busy => self.advice.retry_at = Some(now + BUSY_DELAY),
            AdviceResult::Failed => {
                log::warn!(step:%; "advice_failed");
                self.advice.retry_at = Some(now + FAILED_DELAY);
            }
        }
    }

    /// Removes a ticket that a worker rejected.
    pub(super) fn remove_ticket(&mut self, task: TaskId, id: &WorkerId) {
        if let Some(advice) = self.advice.steps.get_mut(&task.step_id()) {
            advice.tickets.remove(id);
        }
    }

    /// Removes the cached answers of an ended workflow.
    pub(super) fn remove_advice(&mut self, workflow: WorkflowId) {
        self.advice.steps.retain(|step, _| step.workflow != workflow);
    }
}

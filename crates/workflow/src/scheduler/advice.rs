//! Tickets for steps that a policy allows only some workers to run.
//!
//! Load: only a service of the platform knows which workers those are. It takes a time for each answer and
//! for each worker named, and one call of a process at a time; so asking about all workers, or for each
//! task, would hold every such step up behind all others. A step asks about as many workers as it is likely
//! to need, the best first, and remembers both answers: what is allowed doesn't change, and a ticket holds
//! for all tasks of the step. Work that needs no ticket is placed meanwhile.

use {
    super::{Effect, Ready, Requirements, Scheduler},
    crate::{AdviceTerms, StepId, TaskId, WorkerId, WorkflowId},
    compact_str::CompactString,
    egretlb_types::Time,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The answer of the service that knows which workers may run a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdviceResult {
    /// The workers that may run it, each with its ticket; the others that were asked about may not.
    Allowed {
        /// Worker and ticket.
        tickets: Vec<(WorkerId, CompactString)>,
        /// How long they are valid, in milliseconds.
        validity_ms: u32,
    },
    /// Too many calls wait there.
    Busy,
    /// No answer, or none that can be used.
    Failed,
}

/// About half of the workers are taken to be allowed, so twice as many are asked about as are needed.
const ASKED_FOR_EACH: usize = 2;

/// At least so many, since one that is allowed may have no room a moment later.
const LEAST_ASKED: usize = 4;

/// And at most so many: one answer about 30 is what the platform reckons with for a step.
const MOST_ASKED: usize = 30;

/// The pause after an answer that says that too many calls wait.
const BUSY_PAUSE: Duration = Duration::from_millis(250);

/// The pause after a call without an answer.
const FAILED_PAUSE: Duration = Duration::from_millis(400);

/// A ticket that ends sooner isn't used any more: the start would arrive late.
const TICKET_MARGIN: Duration = Duration::from_millis(200);

/// What is known of the workers for one step.
#[derive(Debug, Default)]
pub(super) struct StepAdvice {
    tickets: BTreeMap<WorkerId, (CompactString, Time)>,
    barred: BTreeSet<WorkerId>,
}

impl StepAdvice {
    fn ticket(&self, now: Time, id: &WorkerId) -> Option<&CompactString> {
        let (ticket, until) = self.tickets.get(id)?;
        (now + TICKET_MARGIN < *until).then_some(ticket)
    }

    /// Whether asking about a worker could tell anything new.
    fn is_open(&self, now: Time, id: &WorkerId) -> bool {
        !self.barred.contains(id) && self.ticket(now, id).is_none()
    }
}

/// A call under way.
#[derive(Debug)]
struct Asking {
    step: StepId,
    workers: Vec<WorkerId>,
    sent: Time,
}

/// What is known of all steps that need tickets.
#[derive(Debug, Default)]
pub(super) struct Advice {
    steps: BTreeMap<StepId, StepAdvice>,
    asking: Option<Asking>,
    /// No call before.
    after: Option<Time>,
    /// Steps that found no worker in this pass, in the order of the queue.
    wanting: Vec<StepId>,
}

impl Scheduler {
    pub(super) fn needs_ticket(&self, step: StepId) -> Option<AdviceTerms> {
        self.workflows.get(&step.workflow).and_then(|flow| flow.submission.advice)
    }

    /// Whether a worker may run tasks of a step, as far as is known.
    pub(super) fn is_allowed(&self, now: Time, task: TaskId, id: &WorkerId) -> bool {
        let step = task.step_id();
        let ticket = || self.advice.steps.get(&step).and_then(|known| known.ticket(now, id));
        self.needs_ticket(step).is_none() || ticket().is_some()
    }

    /// The ticket for a start; empty if none is needed.
    pub(super) fn ticket(&self, now: Time, task: TaskId, id: &WorkerId) -> CompactString {
        let known = self.advice.steps.get(&task.step_id());
        known.and_then(|known| known.ticket(now, id)).cloned().unwrap_or_default()
    }

    /// A step found no worker: if it needs tickets, more of them may help. Returns whether it does.
    pub(super) fn queue_advice(&mut self, key: Ready) -> bool {
        let step = StepId { workflow: key.workflow, occurrence: key.occurrence, step: key.step };
        let needs = self.needs_ticket(step).is_some();
        if needs {
            self.advice.wanting.push(step);
        }
        needs
    }

    /// Asks for the first step that wants advice, unless a call is under way.
    pub(super) fn request_advice(&mut self, now: Time, out: &mut Vec<Effect>) {
        let wanting = std::mem::take(&mut self.advice.wanting);
        let pauses = self.advice.after.is_some_and(|after| now < after);
        if self.advice.asking.is_some() || pauses {
            return;
        }
        for step in wanting {
            let workers = self.workers_to_ask(now, step);
            if workers.is_empty() {
                continue;
            }
            log::debug!(step:%, workers = workers.len(); "advice_asked");
            out.push(Effect::Advise { step, workers: workers.clone() });
            self.advice.asking = Some(Asking { step, workers, sent: now });
            return;
        }
    }

    /// The workers to ask about, those with most room first. Ones without room are asked about, too, if
    /// there are no others: tasks that last hold nearly all of it, and give way.
    fn workers_to_ask(&mut self, now: Time, id: StepId) -> Vec<WorkerId> {
        let task =
            TaskId { workflow: id.workflow, occurrence: id.occurrence, step: id.step, index: 0 };
        let Some(step) = self.step(task).cloned() else { return Vec::new() };
        let Some(flow) = self.workflows.get(&id.workflow) else { return Vec::new() };
        let service = flow.submission.service.clone();
        let occurrence = flow.occurrences.get(&id.occurrence);
        let state = occurrence.and_then(|occurrence| occurrence.steps.get(usize::from(id.step)));
        let waiting = state.map_or(0, |state| state.queue.len());
        let need = Requirements::new(&step, &mut self.colocation);
        let known = self.advice.steps.entry(id).or_default();
        let mut open: Vec<((bool, u32), &WorkerId)> = Vec::new();
        for (worker_id, worker) in &self.workers {
            let suits = worker.info.service == service
                && worker.accepts_work(now, &self.limits)
                && step.label.as_ref().is_none_or(|label| worker.info.has_label(label));
            if suits && known.is_open(now, worker_id) {
                let free = worker.free();
                open.push(((need.reserved.fits(&free), free.cpu.0), worker_id));
            }
        }
        open.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        let count = (waiting * ASKED_FOR_EACH).clamp(LEAST_ASKED, MOST_ASKED);
        open.into_iter().take(count).map(|(_, worker_id)| worker_id.clone()).collect()
    }

    /// The service has answered.
    pub fn on_advice(&mut self, now: Time, step: StepId, result: AdviceResult) {
        let Some(Asking { workers, sent, .. }) =
            self.advice.asking.take_if(|asking| asking.step == step)
        else {
            return;
        };
        match result {
            AdviceResult::Allowed { tickets, validity_ms } => {
                if !self.workflows.contains_key(&step.workflow) {
                    return;
                }
                let known = self.advice.steps.entry(step).or_default();
                known.barred.extend(workers);
                // The answer was made later than it was asked for, so this ends too soon at worst.
                let until = sent + Duration::from_millis(u64::from(validity_ms));
                log::info!(step:%, allowed = tickets.len(); "advised");
                for (id, ticket) in tickets {
                    known.barred.remove(&id);
                    known.tickets.insert(id, (ticket, until));
                }
            }
            AdviceResult::Busy => self.advice.after = Some(now + BUSY_PAUSE),
            AdviceResult::Failed => {
                log::warn!(step:%; "advice_failed");
                self.advice.after = Some(now + FAILED_PAUSE);
            }
        }
    }

    /// A worker rejected a ticket: it has ended, or the worker is another one by now.
    pub(super) fn remove_ticket(&mut self, task: TaskId, id: &WorkerId) {
        if let Some(known) = self.advice.steps.get_mut(&task.step_id()) {
            known.tickets.remove(id);
        }
    }

    /// The workflow has ended.
    pub(super) fn remove_advice(&mut self, workflow: WorkflowId) {
        self.advice.steps.retain(|step, _| step.workflow != workflow);
    }
}

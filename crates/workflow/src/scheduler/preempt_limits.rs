//! The bounds on preemption, if that policy is in force: what the decision needs of the scheduler's state, and its log lines.

use {
    super::{Phase, QueuedStep, Scheduler, active_workflow::StepState},
    crate::{
        Step, TaskId, WorkflowId,
        overload::{Claim, PreemptionBudget, Refusal, Standing, StopRank},
    },
    compact_str::CompactString,
    egretlb_types::{Resources, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// How long a search that found no task to stop counts for equal or larger demands; each search scans all runs.
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);

/// How long a service must go without a refusal until its limits count as no longer reached.
const CALM_AFTER: Duration = Duration::from_secs(10);

/// The bounds on preemption, and searches and refusals so far.
#[derive(Debug)]
pub(super) struct PreemptLimits {
    pub(super) budget: PreemptionBudget,
    fruitless: Vec<FruitlessSearch>,
    refusing: Vec<Refusing>,
}

/// A recent search that found no task to stop.
#[derive(Debug)]
struct FruitlessSearch {
    at: Time,
    service: CompactString,
    resources: Resources,
    priority: u64,
}

/// A service in which the limits keep batch tasks waiting.
#[derive(Debug)]
struct Refusing {
    service: CompactString,
    since: Time,
    last: Time,
    refusals: u64,
}

/// Searches for a long-running task to stop that the limits made fail, by cause.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RefusedPreemptions {
    /// Each task that could be stopped had been stopped a short time ago.
    pub stopped_recently: u64,
    /// Too many tasks of its workflow were away.
    pub mostly_away: u64,
    /// Its workflow had had its number of stops.
    pub limit_reached: u64,
}

impl PreemptLimits {
    pub(super) fn new(now: Time) -> PreemptLimits {
        let budget = PreemptionBudget::new(now);
        PreemptLimits { budget, fruitless: Vec::new(), refusing: Vec::new() }
    }

    /// Whether an equal or smaller demand recently found no task to stop.
    fn is_fruitless(&self, now: Time, service: &CompactString, step: &Step, priority: u64) -> bool {
        let covers = |search: &FruitlessSearch| {
            now.since(search.at) < SEARCH_INTERVAL
                && search.priority <= priority
                && search.resources.fits(&step.resources)
                && search.service == *service
        };
        self.fruitless.iter().any(covers)
    }
}

impl Scheduler {
    /// Whether the limits on preemption are in force.
    pub(super) fn limits_preemption(&self) -> bool {
        self.limits.policies.preemption_budget
    }

    /// Whether a task to stop for the step may be searched now. Takes the state of the long-running workflows anew if that is
    /// due.
    pub(super) fn may_search_victim(
        &mut self,
        now: Time,
        key: QueuedStep,
        service: &CompactString,
        step: &Step,
    ) -> bool {
        if !self.limits_preemption() {
            return true;
        }
        if self.preempt_limits.budget.is_refresh_due(now) {
            let standings = self.standings();
            self.preempt_limits.budget.refresh(now, standings);
        }
        !self.preempt_limits.is_fruitless(now, service, step, key.priority)
    }

    /// Notes that no task could be stopped for a step. `refusal` is the limit that the task closest to being allowed meets, if any.
    pub(super) fn note_fruitless_search(
        &mut self,
        now: Time,
        key: QueuedStep,
        service: &CompactString,
        step: &Step,
        refusal: Option<Refusal>,
    ) {
        if !self.limits_preemption() {
            return;
        }
        let needs_ticket = self.advice_terms(key.step_id()).is_some();
        let limits = &mut self.preempt_limits;
        limits.fruitless.retain(|search| now.since(search.at) < SEARCH_INTERVAL);
        if step.label.is_none() && !needs_ticket {
            limits.fruitless.push(FruitlessSearch {
                at: now,
                service: service.clone(),
                resources: step.resources,
                priority: key.priority,
            });
        }
        let Some(refusal) = refusal else { return };
        let refused = &mut self.stats.refused_preemptions;
        match refusal {
            Refusal::StoppedRecently => refused.stopped_recently += 1,
            Refusal::MostlyAway => refused.mostly_away += 1,
            Refusal::LimitReached => refused.limit_reached += 1,
        }
        if let Some(refusing) = limits.refusing.iter_mut().find(|entry| entry.service == *service) {
            refusing.last = now;
            refusing.refusals += 1;
            return;
        }
        let service = service.clone();
        log::info!(service:%, cause:% = refusal.name(), priority = key.priority; "preemption_limited");
        limits.refusing.push(Refusing { service, since: now, last: now, refusals: 1 });
    }

    /// Logs the services whose limits are no longer reached.
    pub(super) fn end_preemption_limits(&mut self, now: Time) {
        self.preempt_limits.refusing.retain(|refusing| {
            let goes_on = now.since(refusing.last) < CALM_AFTER;
            if !goes_on {
                let Refusing { service, since, last, refusals } = refusing;
                let lasted_ms = last.since(*since).as_millis() as u64;
                log::info!(service:%, lasted_ms, refusals; "preemption_limit_over");
            }
            goes_on
        });
    }

    /// The preference for stopping a run in favour of a step, or why it may not be stopped.
    pub(super) fn stop_rank(
        &self,
        now: Time,
        task: TaskId,
        priority: u64,
    ) -> Result<Option<StopRank>, Refusal> {
        if !self.limits_preemption() {
            return Ok(None);
        }
        self.preempt_limits.budget.rank(now, task, priority).map(Some)
    }

    /// Counts a stop; returns whether the room is to be kept free for the step, since the stopped task comes before it.
    pub(super) fn note_preemption(&mut self, now: Time, key: QueuedStep, task: TaskId) -> bool {
        if !self.limits_preemption() {
            return false;
        }
        let budget = &mut self.preempt_limits.budget;
        budget.note_stop(now, task);
        let is_lower = budget.claim(task.workflow, key.priority) == Claim::Lower;
        self.stats.preempted_by_lower += u64::from(is_lower);
        is_lower
    }

    /// The number of tasks of each long-running workflow, and of those at work within their targets.
    fn standings(&self) -> BTreeMap<WorkflowId, Standing> {
        let mut standings = BTreeMap::new();
        for (id, active) in &self.workflows {
            let specs = &active.submission.workflow.steps;
            if active.outcome.is_some() || !active.submission.workflow.is_long_running() {
                continue;
            }
            let steps = active.occurrences.values().flat_map(|o| o.steps.iter().zip(specs));
            let open = steps.filter(|(state, spec)| state.open && spec.long_running);
            let left = |(state, _): (&StepState, &Step)| state.tasks.len() as u32 - state.done;
            let tasks = open.map(left).sum();
            let priority = active.submission.priority;
            standings.insert(*id, Standing { priority, tasks, at_work: 0 });
        }
        for ((task, _), attempt) in self.workers.values().flat_map(|worker| &worker.attempts) {
            let at_work = attempt.long_running
                && matches!(attempt.phase, Phase::Running { .. })
                && attempt.over_target_since.is_none();
            if at_work && let Some(standing) = standings.get_mut(&task.workflow) {
                standing.at_work += 1;
            }
        }
        standings
    }
}

//! Preemption of long-running tasks in favour of batch tasks.
//!
//! Long-running tasks occupy nearly all capacity for minutes, while short batch tasks arrive all the time and find
//! none. A batch task needs little capacity for a short time, so a long-running task is stopped for it and starts
//! again when there is free capacity.

use {
    super::{
        Attempt, Effect, Phase, QueuedStep, Scheduler, Worker, placement::CAPACITY_UNIT_MILLICORES,
        waits::StopReason,
    },
    crate::{
        RunId, Step, TaskId, WorkerId,
        overload::{Refusal, StopRank},
    },
    compact_str::CompactString,
    egretlb_types::{MilliCores, Time},
    std::{cmp::Reverse, time::Duration},
};

/// How long long-running tasks aren't started after a batch task fit no worker, so that it gets the free capacity;
/// below the platform's limit of 3 s for starting a long-running task that fits.
const DEFER_FOR: Duration = Duration::from_secs(2);

/// Minimum run time before a long-running task is stopped; earlier, its start would have been wasted. After a longer
/// downtime it runs for at least as long, so that it isn't stopped again and again.
const MIN_RUN_TIME: Duration = Duration::from_secs(3);

/// Maximum number of tasks stopped in one pass, so that a wide step doesn't preempt a whole service before the
/// first stops take effect.
const MAX_STOPS_PER_PASS: usize = 3;

/// Value of preempting a task: its workflow's state if preemption is limited, best-effort capacity gained, in units of
/// [`CAPACITY_UNIT_MILLICORES`], then the task's CPU, smallest first.
type PreemptionValue = (Option<StopRank>, i64, Reverse<MilliCores>);

/// A run to stop, and its CPU.
type Victim = (WorkerId, TaskId, RunId, MilliCores);

impl Scheduler {
    /// Whether a step of long-running tasks isn't started now, so that batch tasks get the free capacity. Under limited
    /// preemption only those of at least its priority do.
    pub(super) fn defers_to_batch(&mut self, now: Time, key: QueuedStep) -> bool {
        let is_blocked = if self.limits_preemption() {
            self.preempt_limits.budget.was_blocked(now, key.priority, DEFER_FOR)
        } else {
            self.batch_blocked_at.is_some_and(|at| now.since(at) < DEFER_FOR)
        };
        if !is_blocked {
            return false;
        }
        let Some(workflow) = self.workflows.get(&key.workflow) else { return false };
        let step_state = workflow.occurrences.get(&key.occurrence);
        let step_state =
            step_state.and_then(|occurrence| occurrence.steps.get(usize::from(key.step)));
        step_state.is_some_and(|step| now.since(step.queue_since) < DEFER_FOR)
    }

    /// Stops long-running tasks for a step that fits no worker, unless stops under way already free enough CPU.
    pub(super) fn preempt_for(
        &mut self,
        now: Time,
        key: QueuedStep,
        service: &CompactString,
        step: &Step,
        out: &mut Vec<Effect>,
    ) {
        if step.long_running || step.best_effort || step.gang {
            return;
        }
        self.batch_blocked_at = Some(now);
        if self.limits_preemption() {
            self.preempt_limits.budget.note_blocked(now, key.priority);
        }
        let waiting = self.queue_of(key).map_or(0, |queue| queue.len());
        // Tasks that miss their target anyway get one place at a time, so that they aren't put off forever either.
        let late = self.wall_ms + u64::from(step.estimate_ms) > key.due_ms;
        let places = if late { waiting.min(1) } else { waiting };
        let places = places.saturating_sub(self.priority_rooms(key, service));
        let needed_cpu = u64::from(step.resources.cpu.0) * places as u64;
        let QueuedStep { workflow, occurrence, step: step_index, .. } = key;
        let first_task = TaskId { workflow, occurrence, step: step_index, index: 0 };
        let mut freed_cpu =
            match self.cpu_being_freed.iter().find(|(entry_service, _)| entry_service == service) {
                Some((_, freed_cpu)) => *freed_cpu,
                None => self.cpu_being_freed(service),
            };
        for _ in 0..MAX_STOPS_PER_PASS {
            if freed_cpu >= needed_cpu
                || self.held_for_batch(now, service)
                || !self.may_search_victim(now, key, service, step)
            {
                break;
            }
            let (id, task, run, cpu) =
                match self.choose_victim(now, first_task, service, step, key.priority) {
                    Ok(victim) => victim,
                    Err(refusal) => {
                        self.note_fruitless_search(now, key, service, step, refusal);
                        break;
                    }
                };
            freed_cpu += u64::from(cpu.0);
            self.stats.preempted += 1;
            let keeps_room = self.note_preemption(now, key, task);
            if self.overdue_would_take_run(&id, task, run) {
                self.hold_for_batch(now, key, service, &id);
            } else if keeps_room {
                self.hold(now, key, id.clone());
            }
            log::info!(task:%, run:%, worker:% = id, waiting; "task_preempted");
            self.stop_runs(now, &id, StopReason::Preempted, out, |other_task, other_run| {
                other_task == task && other_run == run
            });
        }
        self.cpu_being_freed.retain(|(entry_service, _)| entry_service != service);
        self.cpu_being_freed.push((service.clone(), freed_cpu));
    }

    /// CPU in millicores that stops under way will free.
    fn cpu_being_freed(&self, service: &CompactString) -> u64 {
        let workers = self.workers.values().filter(|worker| worker.info.service == *service);
        let attempts = workers.flat_map(|worker| worker.attempts.values());
        let stopping = attempts.filter(|attempt| matches!(attempt.phase, Phase::Stopping { .. }));
        stopping.map(|attempt| u64::from(attempt.reserved.cpu.0)).sum()
    }

    /// The long-running task whose stop frees enough capacity for a task of `step` and gains most best-effort
    /// capacity, or the smallest of equal ones. It restarts where it reduces best-effort capacity less. Under limited
    /// preemption its workflow's state counts first. Otherwise why the limits allow none of those found, if any was.
    fn choose_victim(
        &self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        step: &Step,
        priority: u64,
    ) -> Result<Victim, Option<Refusal>> {
        let mut best: Option<(PreemptionValue, WorkerId, TaskId, RunId)> = None;
        let mut refusal = None;
        for (id, worker) in &self.workers {
            let eligible = worker.info.service == *service
                && worker.accepts_work(now, &self.limits)
                && self.is_allowed(now, task, id)
                && step.label.as_ref().is_none_or(|label| worker.info.has_label(label));
            if !eligible {
                continue;
            }
            for ((task, run), attempt) in preemptible_attempts(now, worker, step) {
                let rank = match self.stop_rank(now, task, priority) {
                    Ok(rank) => rank,
                    Err(cause) => {
                        refusal = refusal.max(Some(cause));
                        continue;
                    }
                };
                let value = (
                    rank,
                    self.gained_best_effort_capacity(worker, attempt),
                    Reverse(attempt.reserved.cpu),
                );
                if best.as_ref().is_none_or(|(best_value, ..)| value > *best_value) {
                    best = Some((value, id.clone(), task, run));
                }
            }
        }
        best.map(|((_, _, Reverse(cpu)), id, task, run)| (id, task, run, cpu)).ok_or(refusal)
    }

    /// Best-effort capacity gained by stopping a latency-critical task, in units of [`CAPACITY_UNIT_MILLICORES`].
    fn gained_best_effort_capacity(&self, worker: &Worker, attempt: &Attempt) -> i64 {
        if !attempt.latency_critical {
            return 0;
        }
        let gained_acceptance =
            self.colocation.acceptance_gain_without(&worker.neighbours, attempt.image);
        (gained_acceptance * worker.best_effort_capacity() as f32 / CAPACITY_UNIT_MILLICORES) as i64
    }
}

/// The long-running tasks of a worker whose stop would each free enough capacity for a task of `step`.
fn preemptible_attempts<'a>(
    now: Time,
    worker: &'a Worker,
    step: &'a Step,
) -> impl Iterator<Item = ((TaskId, RunId), &'a Attempt)> + 'a {
    let free = worker.free();
    let is_running = |phase| matches!(phase, Phase::Running { .. });
    worker
        .attempts
        .iter()
        .filter(move |(_, attempt)| {
            attempt.preemptible
                && is_running(attempt.phase)
                && now.since(attempt.placed_at) >= MIN_RUN_TIME.max(attempt.down_before)
        })
        .filter(move |(_, attempt)| step.resources.fits(&free.plus(&attempt.reserved)))
        .map(|(key, attempt)| (*key, attempt))
}

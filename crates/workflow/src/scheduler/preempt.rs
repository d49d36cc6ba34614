//! Room for tasks that end soon, taken from tasks that last.
//!
//! Load: lasting tasks come for minutes and hold nearly all that the workers have (97% in recorded
//! days); tasks of a second's work, which somebody waits for, come all the time and find no room. What
//! they need is small and used over and over, so a lasting task is stopped for them, and comes back
//! once they leave room.

use {
    super::{
        Attempt, Effect, Phase, Ready, Scheduler, Worker, placement::CAPACITY_STEP_MILLICORES,
        waits::StopReason,
    },
    crate::{RunId, Step, TaskId, WorkerId},
    compact_str::CompactString,
    egretlb_types::{MilliCores, Time},
    std::{cmp::Reverse, time::Duration},
};

/// After a task that ends soon found no room, lasting tasks leave what becomes free to its like for
/// this long. The platform takes a lasting task as forgotten after 3 s with room for it.
const GIVE_WAY: Duration = Duration::from_secs(2);

/// A lasting task isn't stopped sooner after its start: it would only have paid for the start.
const LEAST_STAY: Duration = Duration::from_secs(3);

/// The most lasting tasks that are stopped in one pass, so that one wide step doesn't empty a service
/// before it is known what the first stops bring.
const STOPS_PER_PASS: usize = 3;

/// What the end of a task is worth: room opened to fillers, in steps, and then how small it is.
type Yield = (i64, Reverse<MilliCores>);

impl Scheduler {
    /// Whether a step of lasting tasks leaves the room to others for now.
    pub(super) fn defers_to_batch(&mut self, now: Time, key: Ready) -> bool {
        if self.batch_blocked_at.is_none_or(|at| now.since(at) >= GIVE_WAY) {
            return false;
        }
        let Some(flow) = self.workflows.get(&key.workflow) else { return false };
        let step = flow.occurrences.get(&key.occurrence);
        let step = step.and_then(|occurrence| occurrence.steps.get(usize::from(key.step)));
        step.is_some_and(|step| now.since(step.since) < GIVE_WAY)
    }

    /// Stops lasting tasks for a step that found no room, as far as what is being freed doesn't do.
    pub(super) fn preempt_for(
        &mut self,
        now: Time,
        key: Ready,
        service: &CompactString,
        step: &Step,
        out: &mut Vec<Effect>,
    ) {
        if step.long_running || step.best_effort || step.gang {
            return;
        }
        self.batch_blocked_at = Some(now);
        let waiting = self.queue_of(key).map_or(0, |queue| queue.len());
        let needed = u64::from(step.resources.cpu.0) * waiting as u64;
        let Ready { workflow, occurrence, step: number, .. } = key;
        let of_step = TaskId { workflow, occurrence, step: number, index: 0 };
        let mut freed = match self.cpu_being_freed.iter().find(|(known, _)| known == service) {
            Some((_, freed)) => *freed,
            None => self.being_freed(service),
        };
        for _ in 0..STOPS_PER_PASS {
            if freed >= needed {
                break;
            }
            let Some((id, task, run, cpu)) = self.victim(now, of_step, service, step) else {
                break;
            };
            freed += u64::from(cpu.0);
            self.stats.preempted += 1;
            log::info!(task:%, run:%, worker:% = id, waiting; "task_preempted");
            self.stop_runs(now, &id, StopReason::Preempted, out, |of, number| {
                of == task && number == run
            });
        }
        self.cpu_being_freed.retain(|(known, _)| known != service);
        self.cpu_being_freed.push((service.clone(), freed));
    }

    /// Processor time, in thousandths of a core, that stops under way will free.
    fn being_freed(&self, service: &CompactString) -> u64 {
        let workers = self.workers.values().filter(|worker| worker.info.service == *service);
        let copies = workers.flat_map(|worker| worker.attempts.values());
        let stopping = copies.filter(|copy| matches!(copy.phase, Phase::Stopping { .. }));
        stopping.map(|copy| u64::from(copy.reserved.cpu.0)).sum()
    }

    /// The lasting task whose end makes room for a task of `step` and opens most of its worker to fillers; of
    /// several the smallest. It starts again where it closes less, so what is stopped anyway puts serving
    /// tasks in better order.
    fn victim(
        &self,
        now: Time,
        task: TaskId,
        service: &CompactString,
        step: &Step,
    ) -> Option<(WorkerId, TaskId, RunId, MilliCores)> {
        let mut best: Option<(Yield, WorkerId, TaskId, RunId)> = None;
        for (id, worker) in &self.workers {
            let suits = worker.info.service == *service
                && worker.accepts_work(now, &self.limits)
                && self.is_allowed(now, task, id)
                && step.label.as_ref().is_none_or(|label| worker.info.has_label(label));
            if !suits {
                continue;
            }
            for ((task, run), copy) in yielding(now, worker, step) {
                let yields = (self.opens(worker, copy), Reverse(copy.reserved.cpu));
                if best.as_ref().is_none_or(|(known, ..)| yields > *known) {
                    best = Some((yields, id.clone(), task, run));
                }
            }
        }
        best.map(|((_, Reverse(cpu)), id, task, run)| (id, task, run, cpu))
    }

    /// How much room for fillers the end of a serving task would open, in steps.
    fn opens(&self, worker: &Worker, copy: &Attempt) -> i64 {
        if !copy.latency_critical {
            return 0;
        }
        let opened = self.colocation.acceptance_gain_without(&worker.neighbours, copy.image);
        (opened * worker.best_effort_capacity() as f32 / CAPACITY_STEP_MILLICORES) as i64
    }
}

/// The lasting tasks of a worker each of which would make room for a task of `step`.
fn yielding<'a>(
    now: Time,
    worker: &'a Worker,
    step: &'a Step,
) -> impl Iterator<Item = ((TaskId, RunId), &'a Attempt)> + 'a {
    let free = worker.free();
    let settled = |phase| matches!(phase, Phase::Running { .. });
    worker
        .attempts
        .iter()
        .filter(move |(_, copy)| {
            copy.preemptible && settled(copy.phase) && now.since(copy.placed_at) >= LEAST_STAY
        })
        .filter(move |(_, copy)| step.resources.fits(&free.plus(&copy.reserved)))
        .map(|(key, copy)| (*key, copy))
}

//! Regrouping: moves latency-critical tasks next to those that tolerate the same best-effort tasks.
//!
//! A moved task is down for about a second. That costs less than the best-effort capacity gained, which lasts.

use {
    super::{
        Attempt, Effect, Phase, Scheduler, Worker, placement::count_siblings, waits::StopReason,
    },
    crate::{
        RunId, Step, TaskId, WorkerId,
        colocation::{ColocationGroups, Host, MovableTask, Regrouping},
    },
    compact_str::CompactString,
    egretlb_types::Time,
    std::{collections::BTreeSet, time::Duration},
};

/// Interval between two passes over the same workers; a pass moves one task or swaps two. The capacity that a move opens
/// shows in the tasks that are started next.
const REGROUP_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of workers per pass, since a pass compares pairs of workers. More workers are divided into blocks,
/// with more frequent passes, so that each worker is still scanned every [`REGROUP_INTERVAL`].
const MAX_WORKERS_PER_PASS: usize = 96;

/// Tasks are moved only if a best-effort task has waited this long; otherwise there is enough free capacity.
const MIN_BEST_EFFORT_WAIT: Duration = Duration::from_millis(300);

/// Minimum run time before a task is moved; earlier, its start would have been wasted.
const MIN_RUN_TIME: Duration = Duration::from_secs(3);

/// An attempt that may be moved, and its worker.
struct MoveCandidate {
    worker: WorkerId,
    task: TaskId,
    run: RunId,
}

impl Scheduler {
    /// Stops up to two latency-critical tasks per service that fit better elsewhere; they restart at once.
    pub(super) fn regroup(&mut self, now: Time, out: &mut Vec<Effect>) {
        let blocks = self.workers.len().div_ceil(MAX_WORKERS_PER_PASS).max(1);
        let interval = REGROUP_INTERVAL / u32::try_from(blocks).unwrap_or(u32::MAX);
        if now.since(self.regrouped_at) < interval || self.best_effort_wait < MIN_BEST_EFFORT_WAIT {
            return;
        }
        self.regroup_block = (self.regroup_block + 1) % blocks;
        self.regrouped_at = now;
        let services: BTreeSet<CompactString> =
            self.workers.values().map(|worker| worker.info.service.clone()).collect();
        for service in services {
            for MoveCandidate { worker, task, run } in self.tasks_to_move(now, &service) {
                self.stats.regrouped += 1;
                log::info!(task:%, run:%, worker:% = worker; "serving_regrouped");
                self.stop_runs(
                    now,
                    &worker,
                    StopReason::Regrouped,
                    out,
                    |other_task, other_run| other_task == task && other_run == run,
                );
            }
        }
    }

    fn tasks_to_move(&self, now: Time, service: &CompactString) -> Vec<MoveCandidate> {
        let eligible = |worker: &Worker| {
            worker.info.service == *service && worker.accepts_work(now, &self.limits)
        };
        let block = self
            .workers
            .iter()
            .skip(self.regroup_block * MAX_WORKERS_PER_PASS)
            .take(MAX_WORKERS_PER_PASS);
        let workers: Vec<(&WorkerId, &Worker)> =
            block.filter(|(_, worker)| eligible(worker)).collect();
        let hosts: Vec<Host> = workers.iter().map(|(_, worker)| host(worker)).collect();
        let (mut movable, mut candidates) = (Vec::new(), Vec::new());
        for (index, (id, worker)) in workers.iter().enumerate() {
            for ((task, run), attempt) in &worker.attempts {
                if self.may_be_moved(now, *task, attempt)
                    && !self.overdue_would_take(worker, attempt)
                {
                    movable.push(MovableTask {
                        host: index,
                        image: attempt.image,
                        resources: attempt.reserved,
                    });
                    candidates.push(MoveCandidate {
                        worker: (*id).clone(),
                        task: *task,
                        run: *run,
                    });
                }
            }
        }
        let mut groups = ColocationGroups::new(self.colocation.model(), self.colocation.demand());
        let may_run_on = |task: usize, host: usize| {
            let task = candidates[task].task;
            let max_tasks = self.step(task).map_or(0, |step| step.per_worker as usize);
            max_tasks == 0 || count_siblings(workers[host].1, task) < max_tasks
        };
        let best = groups.best_regrouping(&hosts, &movable, may_run_on);
        let Some(Regrouping { first, second }) = best else { return Vec::new() };
        let indexed_tasks = candidates.into_iter().enumerate();
        indexed_tasks
            .filter(|(index, _)| *index == first || Some(*index) == second)
            .map(|(_, task)| task)
            .collect()
    }

    /// Whether a latency-critical task may be moved: it has started up completely, is preemptible and not bound to
    /// certain workers, and no task of its step is waiting.
    fn may_be_moved(&self, now: Time, task: TaskId, attempt: &Attempt) -> bool {
        let at_work = matches!(attempt.phase, Phase::Running { .. })
            && attempt.percent >= 100
            && now.since(attempt.placed_at) >= MIN_RUN_TIME;
        let unconstrained =
            |step: &Step| step.label.is_none() && step.data_rack.is_none() && !step.gang;
        attempt.latency_critical
            && attempt.preemptible
            && at_work
            && self.step(task).is_some_and(unconstrained)
            && self.advice_terms(task.step_id()).is_none()
            && self.has_no_waiting_tasks(task)
    }

    fn has_no_waiting_tasks(&self, task: TaskId) -> bool {
        let workflow = self.workflows.get(&task.workflow);
        let occurrence = workflow.and_then(|workflow| workflow.occurrences.get(&task.occurrence));
        let step = occurrence.and_then(|occurrence| occurrence.steps.get(usize::from(task.step)));
        step.is_some_and(|step| step.queue.is_empty())
    }
}

fn host(worker: &Worker) -> Host {
    let best_effort_cores = worker.best_effort_capacity().max(0) as f32 / 1_000.0;
    Host {
        free: worker.free(),
        best_effort_cores,
        latency_critical: worker.neighbours.latency_critical().into(),
    }
}

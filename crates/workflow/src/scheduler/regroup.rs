//! Serving tasks that are moved to stand beside those on which the same fillers press.
//!
//! A task that is moved is away for about a second. That costs its users less than a filler that finds no room
//! costs the batch which waits for it, and the room that a move opens is used over and over.

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

/// The pause between two passes at the same workers, in which one task is moved or two change places: what a move
/// opens shows in what is started next.
const REGROUP_GAP: Duration = Duration::from_millis(250);

/// So many workers are considered in a pass. Pairs of them are compared, so all of a large fleet at once would hold up
/// everything else; they take turns, each as often as on a small one.
const HOSTS_PER_PASS: usize = 96;

/// Tasks are moved only while some filler has waited for so long: otherwise there is room enough.
const FILLERS_WAIT: Duration = Duration::from_millis(300);

/// A task isn't moved sooner after its start: it would only have paid for the start.
const LEAST_STAY: Duration = Duration::from_secs(3);

/// A task that may be moved, and where it runs.
struct Candidate {
    worker: WorkerId,
    task: TaskId,
    run: RunId,
}

impl Scheduler {
    /// Stops serving tasks that stand better elsewhere, one or two at a time; they start again at once.
    pub(super) fn regroup(&mut self, now: Time, out: &mut Vec<Effect>) {
        let turns = self.workers.len().div_ceil(HOSTS_PER_PASS).max(1);
        let gap = REGROUP_GAP / u32::try_from(turns).unwrap_or(u32::MAX);
        if now.since(self.regrouped_at) < gap || self.best_effort_wait < FILLERS_WAIT {
            return;
        }
        self.regroup_turn = (self.regroup_turn + 1) % turns;
        self.regrouped_at = now;
        let services: BTreeSet<CompactString> =
            self.workers.values().map(|worker| worker.info.service.clone()).collect();
        for service in services {
            for Candidate { worker, task, run } in self.better_elsewhere(now, &service) {
                self.stats.regrouped += 1;
                log::info!(task:%, run:%, worker:% = worker; "serving_regrouped");
                self.stop_runs(now, &worker, StopReason::Regrouped, out, |of, number| {
                    of == task && number == run
                });
            }
        }
    }

    fn better_elsewhere(&self, now: Time, service: &CompactString) -> Vec<Candidate> {
        let takes = |worker: &Worker| {
            worker.info.service == *service && worker.accepts_work(now, &self.limits)
        };
        let turn =
            self.workers.iter().skip(self.regroup_turn * HOSTS_PER_PASS).take(HOSTS_PER_PASS);
        let workers: Vec<(&WorkerId, &Worker)> = turn.filter(|(_, worker)| takes(worker)).collect();
        let hosts: Vec<Host> = workers.iter().map(|(_, worker)| host(worker)).collect();
        let (mut movable, mut candidates) = (Vec::new(), Vec::new());
        for (place, (id, worker)) in workers.iter().enumerate() {
            for ((task, run), copy) in &worker.attempts {
                if self.may_be_moved(now, *task, copy) {
                    movable.push(MovableTask {
                        host: place,
                        image: copy.image,
                        resources: copy.reserved,
                    });
                    candidates.push(Candidate { worker: (*id).clone(), task: *task, run: *run });
                }
            }
        }
        let mut company = ColocationGroups::new(self.colocation.model(), self.colocation.demand());
        let suits = |task: usize, host: usize| {
            let task = candidates[task].task;
            let most = self.step(task).map_or(0, |step| step.per_worker as usize);
            most == 0 || count_siblings(workers[host].1, task) < most
        };
        let best = company.best_regrouping(&hosts, &movable, suits);
        let Some(Regrouping { first, second }) = best else { return Vec::new() };
        let chosen = candidates.into_iter().enumerate();
        chosen.filter(|(n, _)| *n == first || Some(*n) == second).map(|(_, task)| task).collect()
    }

    /// Whether a serving task may be stopped to run elsewhere: it has settled, may be away, goes anywhere, and
    /// no other one of its step is away.
    fn may_be_moved(&self, now: Time, task: TaskId, copy: &Attempt) -> bool {
        let settled = matches!(copy.phase, Phase::Running { .. })
            && copy.percent >= 100
            && now.since(copy.placed_at) >= LEAST_STAY;
        let goes_anywhere =
            |step: &Step| step.label.is_none() && step.data_rack.is_none() && !step.gang;
        copy.latency_critical
            && copy.preemptible
            && settled
            && self.step(task).is_some_and(goes_anywhere)
            && self.needs_ticket(task.step_id()).is_none()
            && self.all_placed(task)
    }

    fn all_placed(&self, task: TaskId) -> bool {
        let flow = self.workflows.get(&task.workflow);
        let occurrence = flow.and_then(|flow| flow.occurrences.get(&task.occurrence));
        let step = occurrence.and_then(|of| of.steps.get(usize::from(task.step)));
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

//! Tasks that crash every worker that starts them.

use {
    super::{
        worker::{Run, Worker},
        world::World,
    },
    egretlb_types::Time,
    egretlb_workflow::{Effect, EndKind, RunId, StepId, TaskId},
    std::{collections::BTreeMap, time::Duration},
};

/// How long a gang member waits for the others.
const GANG_TIMEOUT: Duration = Duration::from_secs(3);

/// Crashing tasks and the workers they have brought down.
pub struct CrashingTasks {
    /// Time from a task's start to the worker's crash.
    pub tasks: BTreeMap<TaskId, Duration>,
    /// How long a crashed worker is down.
    pub away: Duration,
    /// Whether starts of these tasks get no answer.
    pub unanswered: bool,
    down: Vec<(Time, usize)>,
}

impl Default for CrashingTasks {
    fn default() -> CrashingTasks {
        let away = Duration::from_millis(3_200);
        CrashingTasks { tasks: BTreeMap::new(), away, unanswered: false, down: Vec::new() }
    }
}

impl CrashingTasks {
    /// Returns whether a command gets no answer because the worker crashes first.
    pub fn drops_answer(&self, effect: &Effect) -> bool {
        let Effect::Start { task, .. } = effect else { return false };
        self.unanswered && self.tasks.contains_key(task)
    }
}

impl World {
    /// Ends the other members of gangs of which one has ended: together with it if it is done.
    pub fn end_gangs(&mut self) {
        loop {
            let ends = |worker: &mut Worker| std::mem::take(&mut worker.gang_ends);
            let ends: Vec<_> = self.workers.iter_mut().flat_map(ends).collect();
            if ends.is_empty() {
                return;
            }
            for (step, gang_run, kind) in ends {
                let kind = if kind == EndKind::Done { kind } else { EndKind::Broken };
                for worker in &mut self.workers {
                    let of_gang = |(task, run): &(&TaskId, &Run)| {
                        task.step_id() == step && run.run == gang_run
                    };
                    let members = worker.running.iter().filter(of_gang);
                    let members: Vec<TaskId> = members.map(|(task, _)| *task).collect();
                    for task in members {
                        worker.finish(task, kind, &mut self.checker);
                    }
                }
            }
        }
    }

    /// Holds incomplete gangs, and ends their members after [`GANG_TIMEOUT`].
    pub fn hold_incomplete_gangs(&mut self) {
        let now = self.now;
        let mut present: BTreeMap<(StepId, RunId), u32> = BTreeMap::new();
        for worker in &self.workers {
            for (task, run) in worker.running.iter().filter(|(_, run)| run.step.gang) {
                *present.entry((task.step_id(), run.run)).or_default() += 1;
            }
        }
        for worker in &mut self.workers {
            let incomplete = |(task, run): &(&TaskId, &Run)| {
                let present = present.get(&(task.step_id(), run.run)).copied().unwrap_or(0);
                run.step.gang && present < run.step.count
            };
            let incomplete = worker.running.iter().filter(incomplete);
            let incomplete: Vec<(TaskId, bool)> = incomplete
                .map(|(task, run)| (*task, worker.waited(now, run) >= GANG_TIMEOUT))
                .collect();
            for (task, expired) in incomplete {
                if expired {
                    worker.finish(task, EndKind::Alone, &mut self.checker);
                } else {
                    worker.hold(now, task);
                }
            }
        }
    }

    /// Crashes workers on which a crashing task's time is up, and restarts those that have been
    /// down long enough.
    pub fn run_crashing_tasks(&mut self) {
        let now = self.now;
        for number in 0..self.workers.len() {
            let worker = &self.workers[number];
            let Some(task) = worker.crashing_task(now, &self.crashing_tasks.tasks) else {
                continue;
            };
            self.checker.crashed_by(task);
            self.workers[number].crash(&mut self.checker);
            self.crashing_tasks.down.push((now + self.crashing_tasks.away, number));
        }
        let (restored, down) = self.crashing_tasks.down.drain(..).partition(|(at, _)| *at <= now);
        self.crashing_tasks.down = down;
        let restored: Vec<(Time, usize)> = restored;
        for (_, number) in restored {
            self.revive(number);
        }
    }
}

//! Checks scheduling invariants against what workers observe.

use {
    egretlb_workflow::{EndKind, RunId, Submission, TaskId, WorkerId, WorkflowId},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Number of crashes of a task after which its starts are counted.
const COUNTED_CRASHES: u32 = 3;

/// Number of starts after those crashes that violates the platform's limit.
const FORBIDDEN_STARTS: u32 = 3;

/// Records violations and the state needed to detect them.
#[derive(Default)]
pub struct Checker {
    pub violations: Vec<String>,
    pub starts: u32,
    running: BTreeMap<TaskId, BTreeSet<(WorkerId, RunId)>>,
    /// Ends that the leader hasn't acknowledged, by worker and number.
    unacknowledged: BTreeMap<WorkerId, BTreeMap<u64, (TaskId, EndKind)>>,
    /// Workers at which tasks are done whose ends aren't acknowledged. Without those whose leases have lapsed since.
    unacknowledged_done: BTreeMap<TaskId, BTreeSet<WorkerId>>,
    /// Starts of tasks that were done by then at a worker that hasn't acknowledged it.
    repeated: BTreeMap<TaskId, Vec<(WorkerId, String)>>,
    done: BTreeSet<TaskId>,
    acknowledged_done: BTreeSet<TaskId>,
    failed: BTreeMap<TaskId, u32>,
    /// Workers crashed by each task, and its starts after the third crash.
    crashing_tasks: BTreeMap<TaskId, (u32, u32)>,
    pub cancelled: BTreeSet<WorkflowId>,
}

impl Checker {
    pub fn started(
        &mut self,
        worker: &WorkerId,
        task: TaskId,
        run: RunId,
        submission: &Arc<Submission>,
    ) {
        self.starts += 1;
        let step = &submission.workflow.steps[usize::from(task.step)];
        let running = self.running.entry(task).or_default();
        if !step.speculative && !running.is_empty() {
            self.violations.push(format!("{task} run {run} at {worker} beside {running:?}"));
        }
        running.insert((worker.clone(), run));
        // The platform wants long-running tasks restarted however they end.
        if !step.long_running && self.acknowledged_done.contains(&task) {
            self.violations.push(format!("{task} run {run} started after it was done"));
        }
        // A violation only if that end is acknowledged later.
        if !step.speculative && !step.gang && !step.long_running {
            for done_at in self.unacknowledged_done.get(&task).into_iter().flatten() {
                let text =
                    format!("{task} run {run} at {worker} started after it was done at {done_at}");
                self.repeated.entry(task).or_default().push((done_at.clone(), text));
            }
        }
        // The platform sets no limit for long-running tasks.
        let failed = self.failed.get(&task).copied().filter(|_| !step.long_running);
        if failed.is_some_and(|failed| failed >= submission.max_attempts) {
            self.violations.push(format!("{task} run {run} started after its last attempt"));
        }
        if let Some((crashes, starts)) = self.crashing_tasks.get_mut(&task)
            && *crashes >= COUNTED_CRASHES
        {
            *starts += 1;
            if *starts >= FORBIDDEN_STARTS {
                self.violations.push(format!("{task} run {run} started after {crashes} crashes"));
            }
        }
        for after in &step.after {
            let count = submission.workflow.steps[usize::from(*after)].count;
            let before = |index| TaskId { step: *after, index, ..task };
            if !(0..count).all(|index| self.done.contains(&before(index))) {
                self.violations
                    .push(format!("{task} run {run} started before step {after} was done"));
            }
        }
    }

    pub fn ended(
        &mut self,
        worker: &WorkerId,
        task: TaskId,
        run: RunId,
        kind: EndKind,
        number: u64,
    ) {
        self.vanished(worker, task, run);
        self.unacknowledged.entry(worker.clone()).or_default().insert(number, (task, kind));
        if kind == EndKind::Done {
            self.done.insert(task);
            self.unacknowledged_done.entry(task).or_default().insert(worker.clone());
        }
    }

    /// Notes that the leases of a worker have lapsed: its unacknowledged ends no longer forbid that tasks are started again.
    pub fn lapsed(&mut self, worker: &WorkerId) {
        for (task, _) in self.unacknowledged.get(worker).into_iter().flat_map(BTreeMap::values) {
            if let Some(workers) = self.unacknowledged_done.get_mut(task) {
                workers.remove(worker);
            }
            if let Some(repeated) = self.repeated.get_mut(task) {
                repeated.retain(|(done_at, _)| done_at != worker);
            }
        }
    }

    /// Notes that a gang of `count` tasks is done: the end of one member represents all.
    pub fn gang_done(&mut self, member: TaskId, count: u32) {
        self.done.extend((0..count).map(|index| TaskId { index, ..member }));
    }

    pub fn vanished(&mut self, worker: &WorkerId, task: TaskId, run: RunId) {
        if let Some(running) = self.running.get_mut(&task) {
            running.remove(&(worker.clone(), run));
        }
    }

    /// Makes a worker's ends up to `number` final.
    pub fn acknowledged(&mut self, worker: &WorkerId, number: u64) {
        let Some(ends) = self.unacknowledged.get_mut(worker) else { return };
        let remaining = ends.split_off(&(number + 1));
        for (_, (task, kind)) in std::mem::replace(ends, remaining) {
            match kind {
                EndKind::Done => {
                    self.acknowledged_done.insert(task);
                    let repeated = self.repeated.remove(&task).unwrap_or_default();
                    let forbidden = repeated.into_iter().filter(|(done_at, _)| done_at == worker);
                    self.violations.extend(forbidden.map(|(_, text)| text));
                    self.unacknowledged_done.remove(&task);
                }
                EndKind::Failed => *self.failed.entry(task).or_default() += 1,
                _ => {}
            }
        }
    }

    /// Counts a worker crash caused by a task.
    pub fn crashed_by(&mut self, crashing_task: TaskId) {
        self.crashing_tasks.entry(crashing_task).or_default().0 += 1;
    }

    /// Returns the number of workers that a task has crashed.
    pub fn crashes_by(&self, crashing_task: TaskId) -> u32 {
        self.crashing_tasks.get(&crashing_task).map_or(0, |(crashes, _)| *crashes)
    }

    /// Drops the unacknowledged ends of a crashed worker.
    pub fn discard_ends(&mut self, worker: &WorkerId) {
        self.lapsed(worker);
        self.unacknowledged.remove(worker);
    }

    pub fn is_running(&self, task: TaskId) -> bool {
        self.running.get(&task).is_some_and(|running| !running.is_empty())
    }
}

//! What lasts of a job: its record, the journal's entries, and the fold of the second into the
//! first. The owner applies an entry by the same function by which its successor replays it.

use {
    crate::msg::AttemptEnd,
    compact_str::CompactString,
    egretlb_types::{
        Attempt, ClassName, DataCentre, Fence, JobId, Resources, ShardId, TaskId, TeamName, VmId,
        shard_of_class, shard_of_job,
    },
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::{collections::BTreeMap, time::Duration},
};

/// What the ids of the jobs start with that hold services' replicas; submitters can't use it.
const SERVICE_PREFIX: &str = "service.";

/// The internal job that holds the replicas of a service class; `None` if the class's name is too
/// long to be part of a job's id.
pub fn service_job(class: &ClassName) -> Option<JobId> {
    format!("{SERVICE_PREFIX}{class}").parse().ok()
}

/// Whether the id is kept for services.
pub(crate) fn is_service_job(job: &JobId) -> bool {
    job.as_str().starts_with(SERVICE_PREFIX)
}

/// The shard that keeps the task. Replicas live with their class's shard, where its load is told.
pub fn job_shard_of_task(task: &TaskId) -> ShardId {
    let class = task.job.as_str().strip_prefix(SERVICE_PREFIX);
    match class.and_then(|class| class.parse::<ClassName>().ok()) {
        Some(class) => shard_of_class(&class),
        None => shard_of_job(&task.job),
    }
}

/// A submission: one or more like tasks.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The submitter's name for the job, by which submitting again is idempotent.
    pub job: JobId,
    /// The class: its target, and what a task is declared to take.
    pub class: ClassName,
    /// How many tasks.
    pub tasks: u32,
    /// What to run; opaque to egretlb.
    pub command: CompactString,
    /// What a task takes, where it differs from the class's declaration.
    #[serde(default)]
    pub resources: Option<Resources>,
}

/// The final result of a task.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskResult {
    /// It did its work, once.
    Done,
    /// It failed too often and isn't tried again.
    Parked,
    /// No VM can ever hold it.
    NeverFits,
    /// It was cancelled.
    Cancelled,
}

/// Where a task stands, as far as it lasts.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub enum TaskState {
    /// It waits for room.
    #[default]
    Queued,
    /// An attempt may be running.
    Attempt(AttemptRecord),
    /// It is over.
    Over(TaskResult),
}

/// One attempt that was journalled and isn't known to have ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Its fencing token.
    pub fence: Fence,
    /// The only VM where it may run.
    pub vm: VmId,
    /// The shard of the VM's rack.
    pub rack: ShardId,
    /// The VM's data centre.
    pub data_centre: DataCentre,
    /// What it may use.
    pub resources: Resources,
    /// Whether its room is lent.
    pub over_quota: bool,
}

/// What lasts of one task.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// The number of the last attempt, 0 before the first.
    pub attempts: Attempt,
    /// What the next attempt resumes from.
    pub checkpoint: Option<CompactString>,
    /// Failures so far.
    pub fails: u16,
    /// The distinct healthy VMs where it failed.
    pub failed_on: SmallVec<[VmId; 2]>,
    /// Where it stands.
    pub state: TaskState,
}

/// What lasts of one job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What was submitted.
    pub spec: JobSpec,
    /// What a task takes: the override, or the class's declaration at submission.
    pub resources: Resources,
    /// Whether learned sizes may stand in for `resources`: not where the submitter overrode them.
    pub learned_size: bool,
    /// The team.
    pub team: Option<TeamName>,
    /// How long a task was declared to run.
    pub run_time: Duration,
    /// Whether the tasks are a service's replicas.
    pub service: bool,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// The tasks by number.
    pub tasks: Vec<TaskRecord>,
}

/// A journal entry of a job's shard.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum JobEntry {
    /// A job was accepted. The record has no tasks yet; the spec says how many there are.
    Submitted {
        /// The record.
        record: Box<JobRecord>,
    },
    /// A service's job has more tasks now.
    Grown {
        /// The job.
        job: JobId,
        /// How many tasks it has.
        tasks: u32,
    },
    /// An attempt may run from now on.
    Starting {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptRecord,
    },
    /// The attempt is over.
    Ended {
        /// The task.
        task: TaskId,
        /// Which attempt.
        fence: Fence,
        /// How.
        how: AttemptEnd,
        /// The VM where it failed, if the failure counts against the task.
        blamed: Option<VmId>,
    },
    /// The job is cancelled: nothing of it starts any more.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// No VM can ever hold the tasks that still wait.
    NeverFits {
        /// The job.
        job: JobId,
    },
    /// The job ended long ago and is forgotten.
    Forgot {
        /// The job.
        job: JobId,
    },
}

/// Everything that lasts of a shard.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobSnapshot {
    /// The jobs.
    pub jobs: Vec<JobRecord>,
}

/// When a failing task is given up on; part of the fold, so that all owners agree.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ParkRule {
    /// Distinct healthy VMs.
    pub(crate) vms: usize,
    /// Failures of any kind.
    pub(crate) fails: u16,
}

impl JobRecord {
    /// Fills in the tasks of an accepted record.
    pub(crate) fn grow(&mut self, tasks: u32) {
        if self.tasks.len() < tasks as usize {
            self.tasks.resize_with(tasks as usize, TaskRecord::default);
        }
    }

    /// Whether every task is over.
    pub(crate) fn is_over(&self) -> bool {
        !self.service && self.tasks.iter().all(|task| matches!(task.state, TaskState::Over(_)))
    }

    fn end_queued(&mut self, result: TaskResult) {
        for task in &mut self.tasks {
            if task.state == TaskState::Queued {
                task.state = TaskState::Over(result);
            }
        }
    }

    fn end(
        &mut self,
        index: u32,
        fence: Fence,
        how: &AttemptEnd,
        blamed: &Option<VmId>,
        park_rule: ParkRule,
    ) {
        let (cancelled, service) = (self.cancelled, self.service);
        let Some(task) = self.tasks.get_mut(index as usize) else { return };
        let current = matches!(&task.state, TaskState::Attempt(attempt) if attempt.fence == fence);
        // An entry for another attempt comes from a message that was late or doubled. Folding it
        // would queue a task that runs, and it would then run in two places.
        if !current {
            return;
        }
        task.record_end(how, blamed);
        task.state = match how {
            AttemptEnd::Done if !service => TaskState::Over(TaskResult::Done),
            _ if cancelled => TaskState::Over(TaskResult::Cancelled),
            AttemptEnd::Failed if !service && task.should_park(park_rule) => {
                TaskState::Over(TaskResult::Parked)
            }
            _ => TaskState::Queued,
        };
    }
}

impl TaskRecord {
    fn record_end(&mut self, how: &AttemptEnd, blamed: &Option<VmId>) {
        match how {
            // A stop without a checkpoint leaves the earlier one: resuming from it repeats some
            // work, which is better than all of it.
            AttemptEnd::Stopped { checkpoint: Some(checkpoint) } => {
                self.checkpoint = Some(checkpoint.clone());
            }
            AttemptEnd::Failed => self.fails = self.fails.saturating_add(1),
            _ => {}
        }
        if let Some(vm) = blamed
            && !self.failed_on.contains(vm)
        {
            self.failed_on.push(vm.clone());
        }
    }

    fn should_park(&self, park_rule: ParkRule) -> bool {
        self.failed_on.len() >= park_rule.vms || self.fails >= park_rule.fails
    }
}

/// Folds one entry into the jobs of a shard.
pub(crate) fn fold(jobs: &mut BTreeMap<JobId, JobRecord>, entry: &JobEntry, park_rule: ParkRule) {
    match entry {
        JobEntry::Submitted { record } => {
            let mut record = (**record).clone();
            record.grow(record.spec.tasks);
            jobs.entry(record.spec.job.clone()).or_insert(record);
        }
        JobEntry::Forgot { job } => {
            jobs.remove(job);
        }
        _ => {
            if let Some(record) = jobs.get_mut(entry.job()) {
                fold_record(record, entry, park_rule);
            }
        }
    }
}

/// Folds an entry into the record of its job.
pub(crate) fn fold_record(record: &mut JobRecord, entry: &JobEntry, park_rule: ParkRule) {
    match entry {
        JobEntry::Submitted { .. } | JobEntry::Forgot { .. } => {}
        JobEntry::Grown { tasks, .. } => record.grow(*tasks),
        JobEntry::Starting { task, attempt } => {
            if let Some(task) = record.tasks.get_mut(task.index as usize) {
                task.attempts = attempt.fence.attempt;
                task.state = TaskState::Attempt(attempt.clone());
            }
        }
        JobEntry::Ended { task, fence, how, blamed } => {
            record.end(task.index, *fence, how, blamed, park_rule);
        }
        JobEntry::Cancelled { .. } => {
            record.cancelled = true;
            record.end_queued(TaskResult::Cancelled);
        }
        JobEntry::NeverFits { .. } => record.end_queued(TaskResult::NeverFits),
    }
}

impl JobEntry {
    /// The job that the entry is about.
    pub fn job(&self) -> &JobId {
        match self {
            JobEntry::Submitted { record } => &record.spec.job,
            JobEntry::Starting { task, .. } | JobEntry::Ended { task, .. } => &task.job,
            JobEntry::Grown { job, .. }
            | JobEntry::Cancelled { job }
            | JobEntry::NeverFits { job }
            | JobEntry::Forgot { job } => job,
        }
    }
}

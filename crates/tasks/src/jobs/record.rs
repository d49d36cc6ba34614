//! Durable state of a job: its record, the journal's entries, and their application to the record.
//! Owner and successor apply entries by the same function.

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

/// Prefix of the ids of the internal jobs that hold services' replicas; submitters can't use it.
const SERVICE_PREFIX: &str = "service.";

/// The internal job that holds the replicas of a service class; `None` if the class name is too
/// long for a job id.
pub fn service_job(class: &ClassName) -> Option<JobId> {
    format!("{SERVICE_PREFIX}{class}").parse().ok()
}

/// Whether the id is reserved for services.
pub(crate) fn is_service_job(job: &JobId) -> bool {
    job.as_str().starts_with(SERVICE_PREFIX)
}

/// The shard that owns the task. Replicas belong to their class's shard, which gets its load.
pub fn job_shard_of_task(task: &TaskId) -> ShardId {
    let class = task.job.as_str().strip_prefix(SERVICE_PREFIX);
    match class.and_then(|class| class.parse::<ClassName>().ok()) {
        Some(class) => shard_of_class(&class),
        None => shard_of_job(&task.job),
    }
}

/// A submission of one or more identical tasks.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The submitter's job id; repeated submissions with the same id are idempotent.
    pub job: JobId,
    /// The class, with its target and the declared task size.
    pub class: ClassName,
    /// Number of tasks.
    pub tasks: u32,
    /// The command to run; opaque to egretlb.
    pub command: CompactString,
    /// Overrides the class's declared task size.
    #[serde(default)]
    pub resources: Option<Resources>,
}

/// Final result of a task.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskResult {
    /// Completed.
    Done,
    /// Failed too often and isn't retried.
    Parked,
    /// Too large for any VM.
    NeverFits,
    /// Cancelled.
    Cancelled,
}

/// Durable state of a task.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waits for placement.
    #[default]
    Queued,
    /// An attempt may be running.
    Attempt(AttemptRecord),
    /// Has ended.
    Over(TaskResult),
}

/// An attempt that was journalled and isn't known to have ended.
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
    /// Resource limit.
    pub resources: Resources,
    /// Whether its team was over its quota when it was placed.
    pub over_quota: bool,
}

/// Durable record of a task.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Number of the last attempt, 0 before the first.
    pub attempts: Attempt,
    /// The checkpoint that the next attempt resumes from.
    pub checkpoint: Option<CompactString>,
    /// Number of failures.
    pub fails: u16,
    /// The distinct healthy VMs where it failed.
    pub failed_on: SmallVec<[VmId; 2]>,
    /// Its state.
    pub state: TaskState,
}

/// Durable record of a job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The submission.
    pub spec: JobSpec,
    /// Task size: the override, or the class's declaration at submission.
    pub resources: Resources,
    /// Whether the learned size may replace `resources`; false if the submitter overrode it.
    pub learned_size: bool,
    /// The team.
    pub team: Option<TeamName>,
    /// Declared run time of a task.
    pub run_time: Duration,
    /// Whether the tasks are a service's replicas.
    pub service: bool,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// The tasks by index.
    pub tasks: Vec<TaskRecord>,
}

/// A journal entry of a job shard.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum JobEntry {
    /// A job was accepted. The record has no tasks yet; the spec has their number.
    Submitted {
        /// The record.
        record: Box<JobRecord>,
    },
    /// A service's job has more tasks.
    Grown {
        /// The job.
        job: JobId,
        /// New number of tasks.
        tasks: u32,
    },
    /// An attempt may run from now on.
    Starting {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptRecord,
    },
    /// The attempt ended.
    Ended {
        /// The task.
        task: TaskId,
        /// Fencing token of the attempt.
        fence: Fence,
        /// How.
        how: AttemptEnd,
        /// The VM where it failed, if the failure counts against the task.
        blamed_vm: Option<VmId>,
    },
    /// The job is cancelled; none of its tasks starts any more.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// The tasks that still wait are too large for any VM.
    NeverFits {
        /// The job.
        job: JobId,
    },
    /// The ended job is removed after its retention time.
    Forgot {
        /// The job.
        job: JobId,
    },
}

/// Durable state of a shard.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobSnapshot {
    /// The jobs.
    pub jobs: Vec<JobRecord>,
}

/// When a failing task is parked. Part of the replay, so that all owners agree.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ParkRule {
    /// Number of distinct healthy VMs.
    pub(crate) vms: usize,
    /// Number of failures of any kind.
    pub(crate) fails: u16,
}

impl JobRecord {
    /// Adds queued tasks up to the given number.
    pub(crate) fn grow(&mut self, tasks: u32) {
        if self.tasks.len() < tasks as usize {
            self.tasks.resize_with(tasks as usize, TaskRecord::default);
        }
    }

    /// Whether every task has ended.
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
        blamed_vm: &Option<VmId>,
        park_rule: ParkRule,
    ) {
        let (cancelled, service) = (self.cancelled, self.service);
        let Some(task) = self.tasks.get_mut(index as usize) else { return };
        let current = matches!(&task.state, TaskState::Attempt(attempt) if attempt.fence == fence);
        // An entry for another attempt comes from a late or duplicated message. Applying it would
        // queue a task that still runs.
        if !current {
            return;
        }
        task.record_end(how, blamed_vm);
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
    fn record_end(&mut self, how: &AttemptEnd, blamed_vm: &Option<VmId>) {
        match how {
            // Without a new checkpoint the earlier one is kept, which saves part of the work.
            AttemptEnd::Stopped { checkpoint: Some(checkpoint) } => {
                self.checkpoint = Some(checkpoint.clone());
            }
            AttemptEnd::Failed => self.fails = self.fails.saturating_add(1),
            _ => {}
        }
        if let Some(vm) = blamed_vm
            && !self.failed_on.contains(vm)
        {
            self.failed_on.push(vm.clone());
        }
    }

    fn should_park(&self, park_rule: ParkRule) -> bool {
        self.failed_on.len() >= park_rule.vms || self.fails >= park_rule.fails
    }
}

/// Applies one entry to the jobs of a shard.
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

/// Applies an entry to the record of its job.
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
        JobEntry::Ended { task, fence, how, blamed_vm } => {
            record.end(task.index, *fence, how, blamed_vm, park_rule);
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

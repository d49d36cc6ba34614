//! The leader's state of a workflow that hasn't ended.

use {
    crate::{
        AnnouncedRun, Crash, CrashEvidence, Entry, OccurrenceProgress, Outcome, Progress, RunId,
        Step, StepProgress, Submission, TaskId, WorkerId,
        crash::{decisive_shared_crash, is_given_up, is_suspect},
        overload::remaining_paths,
        run_times::SiblingSpeeds,
        spec::MAX_TASKS,
    },
    compact_str::CompactString,
    egretlb_types::Time,
    smallvec::SmallVec,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
    },
};

/// Maximum number of steps of all unfinished occurrences of a workflow, unless a single occurrence has more. Their
/// progress must fit into a record of 256 KiB.
const MAX_ACTIVE_STEPS: u64 = 10_000;

/// A task of an occurrence.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskState {
    pub(crate) done: bool,
    pub(crate) failed: SmallVec<[RunId; 2]>,
    /// How often a run of this long-running task has ended successfully under this leader.
    pub(crate) exits: u32,
    /// Worker losses during its runs since a run last lasted long enough, or failed, without a crash.
    pub(crate) crashes: Vec<Crash>,
    /// A run that is recorded before its outcome is known, so that a crash is counted even if the
    /// leader changes: the next one, or one that may have crashed its worker.
    pub(crate) announced: Option<Announcement>,
    /// Runs that may be under way, with their workers.
    pub(crate) attempts: SmallVec<[(WorkerId, RunId); 1]>,
    pub(crate) last_run: RunId,
    /// This leader has seen it running, so no run of a predecessor is under way elsewhere.
    pub(crate) found_running: bool,
    pub(crate) saved: CompactString,
    /// Where it last failed or was slow: the next run prefers other workers.
    pub(crate) avoid: Option<Avoided>,
    /// Since when it hasn't run; `None` if it never ran. A long-running task that an earlier leader may have started counts as
    /// down from the start of this term.
    pub(crate) down_since: Option<Time>,
    /// How often it was moved off a worker where it was slow.
    pub(crate) slow_moves: u8,
}

impl TaskState {
    /// Whether it is neither done nor running.
    pub(crate) fn is_pending(&self) -> bool {
        !self.done && self.attempts.is_empty()
    }

    /// Whether it has failed as often as allowed, or is given up because it crashes its workers.
    pub(crate) fn is_exhausted(&self, max_attempts: u32) -> bool {
        self.failed.len() >= max_attempts.max(1) as usize || is_given_up(&self.crashes)
    }

    /// Whether it is exhausted, and no other task may turn out to have caused the crash that decides this. Members of a
    /// gang are never disputed: they have no isolated starts, which would settle it.
    pub(crate) fn has_failed(&self, max_attempts: u32, gang: bool) -> bool {
        self.is_exhausted(max_attempts) && (gang || self.disputed_worker(max_attempts).is_none())
    }

    /// The run that is announced but not started yet.
    pub(crate) fn announced_run(&self) -> Option<RunId> {
        self.announced.as_ref().map(|announced| announced.run).filter(|run| *run > self.last_run)
    }

    /// The lost worker whose crash decides whether it is given up, while another task may turn out to have caused it.
    pub(crate) fn disputed_worker(&self, max_attempts: u32) -> Option<&WorkerId> {
        if self.failed.len() >= max_attempts.max(1) as usize {
            return None;
        }
        decisive_shared_crash(&self.crashes)
    }

    /// Whether it may crash its workers.
    pub(crate) fn is_suspect(&self) -> bool {
        is_suspect(&self.crashes)
    }
}

/// An announced run and what is known of its worker.
#[derive(Clone, Debug)]
pub(crate) struct Announcement {
    pub(crate) run: RunId,
    pub(crate) worker: WorkerId,
    /// How likely the run is the cause if its worker turns out to have crashed; none until the worker has stopped replying
    /// in the run's crash window.
    pub(crate) evidence: Option<CrashEvidence>,
}

/// A worker that a task avoids.
#[derive(Clone, Debug)]
pub(crate) struct Avoided {
    pub(crate) worker: WorkerId,
    pub(crate) since: Time,
}

/// A step of an occurrence.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<TaskState>,
    /// Number of tasks that are done.
    pub(crate) done: u32,
    /// Indices of tasks that wait for a worker.
    pub(crate) queue: VecDeque<u32>,
    /// Since when `queue` has been non-empty.
    pub(crate) queue_since: Time,
    /// All steps before it are done.
    pub(crate) open: bool,
    /// The last search of workers for its tasks, if it found none.
    pub(crate) last_search: Option<LastSearch>,
    /// When a worker to keep free for its tasks was last searched.
    pub(crate) hold_searched_at: Option<Time>,
    /// Speeds of its tasks.
    pub(crate) speeds: SiblingSpeeds,
}

/// A search of all workers that found none for a step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastSearch {
    pub(crate) at: Time,
    /// Number of worker contacts at that time.
    pub(crate) contacts: u64,
}

impl StepState {
    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

/// A due occurrence of a workflow.
#[derive(Clone, Debug, Default)]
pub(crate) struct Occurrence {
    pub(crate) steps: Vec<StepState>,
}

/// A workflow that hasn't ended.
#[derive(Clone, Debug)]
pub(crate) struct ActiveWorkflow {
    pub(crate) submission: Arc<Submission>,
    pub(crate) outcome: Option<Outcome>,
    pub(crate) started: bool,
    /// Accepted before this leader's term, so a predecessor may have started any of its tasks.
    pub(crate) inherited: bool,
    pub(crate) complete_below: u32,
    pub(crate) complete: BTreeSet<u32>,
    pub(crate) occurrences: BTreeMap<u32, Occurrence>,
    /// Number of the first occurrence that isn't due yet, or may not begin yet. Later ones may have begun under an earlier leader.
    pub(crate) next_occurrence: u32,
    /// Completion target, in milliseconds since 1970.
    pub(crate) due_ms: u64,
    /// For each step, the estimated run time of it and of the longest chain of steps that wait for it, in milliseconds.
    pub(crate) remaining_ms: Box<[u64]>,
}

impl ActiveWorkflow {
    /// Restores a workflow from its records; `None` if its submission isn't stored any more.
    pub(crate) fn new(entry: &Entry, inherited: bool) -> Option<ActiveWorkflow> {
        let submission = Arc::clone(entry.submission.as_ref()?);
        let Progress { started, complete_below, complete, occurrences, .. } = &entry.progress;
        let steps = submission.workflow.steps.iter();
        let steps = steps.map(|step| (u64::from(step.estimate_ms), step.after.as_slice()));
        let mut active = ActiveWorkflow {
            due_ms: submission.due_ms(),
            remaining_ms: remaining_paths(steps).into(),
            submission,
            outcome: None,
            started: *started,
            inherited,
            complete_below: *complete_below,
            complete: complete.iter().copied().collect(),
            occurrences: BTreeMap::new(),
            next_occurrence: *complete_below,
        };
        for progress in occurrences {
            let occurrence = active.new_occurrence(Some(progress));
            active.occurrences.insert(progress.number, occurrence);
        }
        Some(active)
    }

    /// Creates the state of an occurrence, from its record if there is one.
    pub(crate) fn new_occurrence(&self, progress: Option<&OccurrenceProgress>) -> Occurrence {
        let mut occurrence = Occurrence::default();
        for (number, step) in self.submission.workflow.steps.iter().enumerate() {
            let mut state = StepState {
                tasks: vec![TaskState::default(); step.count as usize],
                ..StepState::default()
            };
            if let Some(recorded) = progress.and_then(|progress| progress.steps.get(number)) {
                restore(&mut state, recorded, step);
            }
            occurrence.steps.push(state);
        }
        occurrence
    }

    /// The estimated run time of its longest chain of steps, in milliseconds.
    pub(crate) fn critical_path_ms(&self) -> u64 {
        self.remaining_ms.iter().copied().max().unwrap_or(0)
    }

    /// Whether another occurrence may begin beside the unfinished ones. With many overdue at once, the
    /// others wait.
    pub(crate) fn may_begin_another(&self) -> bool {
        let workflow = &self.submission.workflow;
        let occurrences = self.occurrences.len() as u64 + 1;
        self.occurrences.is_empty()
            || (occurrences * workflow.steps.len() as u64 <= MAX_ACTIVE_STEPS
                && occurrences * workflow.task_count() <= u64::from(MAX_TASKS))
    }

    /// Whether a run of this task shows that an earlier leader has begun its occurrence without recording it.
    pub(crate) fn shows_unrecorded_begin(&self, task: TaskId) -> bool {
        let workflow = &self.submission.workflow;
        let step = workflow.steps.get(usize::from(task.step));
        let exists = task.occurrence < workflow.occurrences()
            && step.is_some_and(|step| task.index < step.count);
        exists && !self.has_begun(task.occurrence) && self.outcome.is_none()
    }

    /// Whether an occurrence is open or complete.
    pub(crate) fn has_begun(&self, number: u32) -> bool {
        number < self.complete_below
            || self.complete.contains(&number)
            || self.occurrences.contains_key(&number)
    }

    /// When occurrence `number` is due, in milliseconds since 1970.
    pub(crate) fn due_at(&self, number: u32) -> u64 {
        match self.submission.workflow.repeat {
            Some(repeat) => repeat.due_ms(number),
            None => 0,
        }
    }

    /// Marks an occurrence as complete.
    pub(crate) fn complete(&mut self, number: u32) {
        self.occurrences.remove(&number);
        self.complete.insert(number);
        while self.complete.remove(&self.complete_below) {
            self.complete_below += 1;
        }
        if self.complete_below >= self.submission.workflow.occurrences() {
            self.outcome = Some(Outcome::Completed);
        }
    }

    /// The progress to record.
    pub(crate) fn progress(&self) -> Progress {
        if self.outcome.is_some() {
            return Progress {
                started: self.started,
                outcome: self.outcome,
                complete_below: self.complete_below,
                ..Progress::default()
            };
        }
        let steps = |occurrence: &Occurrence| occurrence.steps.iter().map(record).collect();
        Progress {
            started: self.started,
            outcome: None,
            complete_below: self.complete_below,
            complete: self.complete.iter().copied().collect(),
            occurrences: self
                .occurrences
                .iter()
                .map(|(number, occurrence)| OccurrenceProgress {
                    number: *number,
                    steps: steps(occurrence),
                })
                .collect(),
        }
    }
}

/// Restores the tasks of a step from its recorded progress. Earlier versions recorded long-running tasks that exited as done.
fn restore(state: &mut StepState, recorded: &StepProgress, step: &Step) {
    for (index, task) in (0u32..).zip(&mut state.tasks) {
        if recorded.done.contains(index) && !step.long_running {
            task.done = true;
            state.done += 1;
        }
    }
    for (index, run) in &recorded.failed {
        if let Some(task) = state.tasks.get_mut(*index as usize) {
            task.failed.push(*run);
            task.last_run = task.last_run.max(*run);
        }
    }
    for (index, crash) in &recorded.crashes {
        if let Some(task) = state.tasks.get_mut(*index as usize) {
            task.last_run = task.last_run.max(crash.run);
            task.crashes.push(crash.clone());
        }
    }
    for (index, announced) in &recorded.announced {
        if let Some(task) = state.tasks.get_mut(*index as usize) {
            let probable = task.crashes.extract_if(.., |crash| crash.run == announced.run).last();
            let evidence = probable.map(|crash| crash.evidence);
            let AnnouncedRun { run, worker } = announced.clone();
            task.announced = Some(Announcement { run, worker, evidence });
        }
    }
    for (index, saved) in &recorded.saved {
        if let Some(task) = state.tasks.get_mut(*index as usize) {
            task.saved.clone_from(saved);
        }
    }
}

/// The progress of a step to record.
fn record(state: &StepState) -> StepProgress {
    let mut progress = StepProgress::default();
    for (index, task) in (0u32..).zip(&state.tasks) {
        if task.done {
            progress.done.insert(index);
            continue;
        }
        progress.failed.extend(task.failed.iter().map(|run| (index, *run)));
        progress.crashes.extend(task.crashes.iter().map(|crash| (index, crash.clone())));
        if let Some(Announcement { run, worker, evidence }) = task.announced.clone() {
            if let Some(evidence) = evidence {
                progress.crashes.push((index, Crash { run, worker: worker.clone(), evidence }));
            }
            progress.announced.push((index, AnnouncedRun { run, worker }));
        }
        if !task.saved.is_empty() && task.attempts.is_empty() {
            progress.saved.push((index, task.saved.clone()));
        }
    }
    progress
}

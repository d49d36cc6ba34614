//! State of all workflows, built from the store's records.
//!
//! Every process applies the same records, so each can report the state of any workflow, and can act
//! as leader as soon as it is elected. A process first reads the newest record of each key, page by
//! page, and then the records appended since. The pages aren't a consistent snapshot: a later page
//! may hold records written after the first page was read, which are then read again. So a record
//! that replaces earlier ones only counts if its offset is higher than that of the last one with the
//! same key. Submissions and cancellations have no later versions; the first one counts.

use {
    crate::{
        InterferenceModel, Key, LeaderRecord, LoadEstimate, Outcome, Progress, Record, RecordError,
        RosterPage, Submission, WaveProgress, WorkflowId, record::read_value,
    },
    compact_str::CompactString,
    egretlb_types::{Epoch, Offset},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
};

/// State of a workflow as reported to clients.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkflowState {
    /// Accepted; no task has been started.
    Queued,
    /// A task has been started.
    Running,
    /// Ended.
    Ended(Outcome),
}

/// Recorded state of a workflow.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// Name of the queue that the workflow was submitted to.
    pub route: CompactString,
    /// The submission; `None` once the workflow has ended.
    pub submission: Option<Arc<Submission>>,
    /// Whether a client cancelled it.
    pub cancelled: bool,
    /// Progress recorded by the leader.
    pub progress: Progress,
    /// Whether the submission was read.
    submitted: bool,
    /// Whether the workflow has a schedule of repetitions.
    repeats: bool,
    /// Offset of the newest progress record.
    progress_offset: Option<Offset>,
}

impl Entry {
    /// Returns the state reported to clients. A workflow counts as cancelled once the cancellation
    /// is recorded.
    pub fn state(&self) -> WorkflowState {
        match self.progress.outcome {
            Some(outcome) => WorkflowState::Ended(outcome),
            None if self.cancelled => WorkflowState::Ended(Outcome::Cancelled),
            None if self.progress.started => WorkflowState::Running,
            None => WorkflowState::Queued,
        }
    }

    /// Returns whether the submission was read. A cancellation may be read before it.
    pub fn is_submitted(&self) -> bool {
        self.submitted
    }

    /// Returns whether the workflow waits for its first start. One with a schedule of repetitions
    /// doesn't count, since it may wait for its time.
    fn is_pending(&self) -> bool {
        self.submitted && !self.repeats && self.state() == WorkflowState::Queued
    }
}

/// The change of the ledger that a record made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LedgerChange {
    /// No change, or one that needs no action.
    None,
    /// A new workflow.
    Submitted(WorkflowId),
    /// A workflow was cancelled; one that isn't submitted yet, possibly again.
    Cancelled(WorkflowId),
    /// An early cancellation was dropped from the store.
    EarlyCancellationDropped(WorkflowId),
    /// A workflow's progress changed.
    Progressed(WorkflowId),
    /// The leader record changed.
    Leader,
    /// The list of workers that may run tasks on a leader's command changed.
    Roster,
    /// The estimated load changed.
    Load,
}

/// State built from all records.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: HashMap<WorkflowId, Entry>,
    early_cancellations: BTreeSet<WorkflowId>,
    leader: Option<(Offset, LeaderRecord)>,
    /// Pages of the roster by number.
    roster: BTreeMap<u32, (Offset, RosterPage)>,
    /// Pages of the roster of which the newest record is unreadable, with its offset.
    unreadable_roster: BTreeMap<u32, Offset>,
    interference_model: Option<(Offset, InterferenceModel)>,
    /// The newest record of the estimated load; `None` in it if the value is unreadable.
    load: Option<(Offset, Option<LoadEstimate>)>,
    /// Progress of maintenance waves by number.
    waves: BTreeMap<u64, (Offset, WaveProgress)>,
}

impl Ledger {
    /// Returns a workflow whose submission was read.
    pub fn get(&self, id: WorkflowId) -> Option<&Entry> {
        self.entries.get(&id).filter(|entry| entry.submitted)
    }

    /// Returns the number of workflows with any record.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no workflow has any record.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over all submitted workflows.
    pub fn iter(&self) -> impl Iterator<Item = (WorkflowId, &Entry)> {
        self.entries.iter().filter(|(_, entry)| entry.submitted).map(|(id, entry)| (*id, entry))
    }

    /// Returns the ids that were cancelled before any submission of them was read. Their submissions may be under way.
    pub fn early_cancellations(&self) -> &BTreeSet<WorkflowId> {
        &self.early_cancellations
    }

    /// Drops the early cancellations that `is_stored` doesn't name.
    pub fn retain_early_cancellations(&mut self, is_stored: impl Fn(WorkflowId) -> bool) {
        let dropped: Vec<WorkflowId> =
            self.early_cancellations.iter().copied().filter(|id| !is_stored(*id)).collect();
        for id in dropped {
            self.drop_early_cancellation(id);
        }
    }

    /// Returns the newest leader record.
    pub fn leader(&self) -> Option<&LeaderRecord> {
        self.leader.as_ref().map(|(_, leader)| leader)
    }

    /// Returns the workers that may run tasks on a leader's command.
    pub fn roster_pages(&self) -> impl Iterator<Item = (u32, &RosterPage)> {
        self.roster.iter().map(|(number, (_, page))| (*number, page))
    }

    /// Returns the numbers of the pages of the roster of which the newest record is unreadable. Workers may be missing from
    /// [`Ledger::roster_pages`] then, or listed as they were earlier.
    pub fn unreadable_roster_pages(&self) -> impl Iterator<Item = u32> {
        self.unreadable_roster.keys().copied()
    }

    /// Returns the interference model that the last leader recorded.
    pub fn interference_model(&self) -> Option<&InterferenceModel> {
        self.interference_model.as_ref().map(|(_, interference_model)| interference_model)
    }

    /// Returns the load that a leader estimated, unless the newest record of it is unreadable.
    pub fn load(&self) -> Option<&LoadEstimate> {
        self.load.as_ref()?.1.as_ref()
    }

    /// Returns the progress of the maintenance wave with this number.
    pub fn wave(&self, number: u64) -> Option<&WaveProgress> {
        self.waves.get(&number).map(|(_, progress)| progress)
    }

    /// Returns whether a client's record has been applied.
    pub fn contains(&self, record: &Record) -> bool {
        match Key::from_bytes(&record.key) {
            Ok(Key::Submission(id)) => self.get(id).is_some(),
            Ok(Key::Cancel(id)) => self.entries.get(&id).is_some_and(|entry| entry.cancelled),
            _ => false,
        }
    }

    /// Returns the number of a queue's workflows that wait for their first start, not counting
    /// those with a schedule of repetitions.
    pub fn pending(&self, route: &str) -> usize {
        self.entries.values().filter(|entry| entry.route == route && entry.is_pending()).count()
    }

    /// Applies a record.
    ///
    /// # Errors
    ///
    /// The record can't be read; the ledger is unchanged, but for [`Ledger::unreadable_roster_pages`].
    pub fn apply(
        &mut self,
        offset: Offset,
        key: &[u8],
        value: &[u8],
    ) -> Result<LedgerChange, RecordError> {
        match Key::from_bytes(key)? {
            Key::Leader => self.apply_leader(offset, value),
            Key::Roster(page) => self.apply_roster(page, offset, value),
            Key::InterferenceModel => self.apply_interference_model(offset, value),
            Key::Load => self.apply_load(offset, value),
            Key::Wave(number) => self.apply_wave(number, offset, value),
            Key::Submission(id) if value.is_empty() => {
                self.entries.remove(&id);
                self.early_cancellations.remove(&id);
                Ok(LedgerChange::None)
            }
            Key::Submission(id) => self.apply_submission(id, value),
            Key::Cancel(id) if value.is_empty() => Ok(self.drop_early_cancellation(id)),
            Key::Progress(_) if value.is_empty() => Ok(LedgerChange::None),
            Key::Cancel(id) => self.apply_cancellation(id, value),
            Key::Progress(id) => self.apply_progress(id, offset, value),
        }
    }

    fn apply_leader(&mut self, offset: Offset, value: &[u8]) -> Result<LedgerChange, RecordError> {
        if self.leader.as_ref().is_some_and(|(stored_offset, _)| *stored_offset >= offset) {
            return Ok(LedgerChange::None);
        }
        let leader: LeaderRecord = read_value(value)?;
        // Nobody could lead after it, so it isn't a leader's.
        if leader.epoch == Epoch(u64::MAX) {
            return Err(RecordError::Broken);
        }
        self.leader = Some((offset, leader));
        Ok(LedgerChange::Leader)
    }

    fn apply_roster(
        &mut self,
        page: u32,
        offset: Offset,
        value: &[u8],
    ) -> Result<LedgerChange, RecordError> {
        if self.roster.get(&page).is_some_and(|(stored_offset, _)| *stored_offset >= offset) {
            return Ok(LedgerChange::None);
        }
        match read_value(value) {
            Ok(entries) => {
                self.roster.insert(page, (offset, entries));
                self.unreadable_roster.retain(|other, at| *other != page || *at > offset);
                Ok(LedgerChange::Roster)
            }
            Err(error) => {
                self.unreadable_roster.insert(page, offset);
                Err(error)
            }
        }
    }

    fn apply_interference_model(
        &mut self,
        offset: Offset,
        value: &[u8],
    ) -> Result<LedgerChange, RecordError> {
        if self
            .interference_model
            .as_ref()
            .is_some_and(|(stored_offset, _)| *stored_offset >= offset)
        {
            return Ok(LedgerChange::None);
        }
        self.interference_model = Some((offset, read_value(value)?));
        Ok(LedgerChange::None)
    }

    /// Applies an estimate of the load. An unreadable one counts as absent.
    fn apply_load(&mut self, offset: Offset, value: &[u8]) -> Result<LedgerChange, RecordError> {
        if self.load.as_ref().is_some_and(|(stored_offset, _)| *stored_offset >= offset) {
            return Ok(LedgerChange::None);
        }
        let (estimate, result) = match LoadEstimate::from_value(value) {
            Ok(estimate) => (Some(estimate), Ok(LedgerChange::Load)),
            Err(error) => (None, Err(error)),
        };
        self.load = Some((offset, estimate));
        result
    }

    fn apply_wave(
        &mut self,
        number: u64,
        offset: Offset,
        value: &[u8],
    ) -> Result<LedgerChange, RecordError> {
        if self.waves.get(&number).is_none_or(|(stored_offset, _)| *stored_offset < offset) {
            self.waves.insert(number, (offset, read_value(value)?));
        }
        Ok(LedgerChange::None)
    }

    /// Applies the first submission of an ID. A client that got no answer submits again, so another
    /// process may already have recorded the workflow.
    fn apply_submission(
        &mut self,
        id: WorkflowId,
        value: &[u8],
    ) -> Result<LedgerChange, RecordError> {
        // Repeated submissions are decoded too, so that an unreadable one is reported: it replaces the
        // first one in the store, and processes that start later read only the newest.
        let submission: Submission = read_value(value)?;
        submission.workflow.check_readable().map_err(RecordError::Limits)?;
        if self.entries.get(&id).is_some_and(|entry| entry.submitted) {
            return Ok(LedgerChange::None);
        }
        self.early_cancellations.remove(&id);
        let entry = self.entries.entry(id).or_default();
        entry.submitted = true;
        entry.repeats = submission.workflow.repeat.is_some();
        entry.route = submission.route.clone();
        if entry.progress.outcome.is_none() {
            entry.submission = Some(Arc::new(submission));
        }
        Ok(LedgerChange::Submitted(id))
    }

    fn apply_cancellation(
        &mut self,
        id: WorkflowId,
        value: &[u8],
    ) -> Result<LedgerChange, RecordError> {
        if !read_value::<bool>(value)? {
            return Ok(LedgerChange::None);
        }
        let entry = self.entries.entry(id).or_default();
        let first = !std::mem::replace(&mut entry.cancelled, true);
        if !entry.submitted {
            self.early_cancellations.insert(id);
        }
        let changed = first || !entry.submitted;
        Ok(if changed { LedgerChange::Cancelled(id) } else { LedgerChange::None })
    }

    fn drop_early_cancellation(&mut self, id: WorkflowId) -> LedgerChange {
        if !self.early_cancellations.remove(&id) {
            return LedgerChange::None;
        }
        // Progress without a submission comes from a workflow that is being dropped.
        self.entries.remove(&id);
        LedgerChange::EarlyCancellationDropped(id)
    }

    fn apply_progress(
        &mut self,
        id: WorkflowId,
        offset: Offset,
        value: &[u8],
    ) -> Result<LedgerChange, RecordError> {
        let last_offset = self.entries.get(&id).and_then(|entry| entry.progress_offset);
        if last_offset.is_some_and(|stored_offset| stored_offset >= offset) {
            return Ok(LedgerChange::None);
        }
        // Decoded before the entry is created, so that an unreadable record creates none.
        let progress = read_value(value)?;
        let entry = self.entries.entry(id).or_default();
        entry.progress = progress;
        entry.progress_offset = Some(offset);
        if entry.progress.outcome.is_some() {
            entry.submission = None;
        }
        Ok(LedgerChange::Progressed(id))
    }
}

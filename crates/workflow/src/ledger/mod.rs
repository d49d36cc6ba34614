//! What the records of the store add up to: every workflow and how far it is.
//!
//! Each process folds the same records, so each can tell a client the state of any workflow, and each
//! can lead at once. Pages of the newest records aren't a snapshot: a later page may hold what was
//! written after the first, and is met again in the tail. So each record counts only if its offset is
//! higher than that of the last one of its key.

use {
    crate::{
        InterferenceModel, Key, LeaderRecord, Outcome, Progress, Record, RecordError, Roster,
        Submission, WaveProgress, WorkflowId, record::read_value,
    },
    compact_str::CompactString,
    egretlb_types::Offset,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// What a client is told of a workflow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkflowState {
    /// Accepted, nothing started yet.
    Queued,
    /// Some task was started.
    Running,
    /// It has ended.
    Ended(Outcome),
}

/// A workflow as the records have it.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// The queue.
    pub route: CompactString,
    /// The submission; none once the workflow has ended.
    pub submission: Option<Arc<Submission>>,
    /// A client asked to cancel it.
    pub cancelled: bool,
    /// What the leader recorded.
    pub progress: Progress,
    submitted: bool,
    timed: bool,
    progress_at: Option<Offset>,
}

impl Entry {
    /// What a client is told. A cancelled workflow is shown as such from the moment that the
    /// cancellation is recorded.
    pub fn state(&self) -> WorkflowState {
        match self.progress.outcome {
            Some(outcome) => WorkflowState::Ended(outcome),
            None if self.cancelled => WorkflowState::Ended(Outcome::Cancelled),
            None if self.progress.started => WorkflowState::Running,
            None => WorkflowState::Queued,
        }
    }

    /// Whether a submission was read; a cancellation may be read before it.
    pub fn is_submitted(&self) -> bool {
        self.submitted
    }

    /// Whether it waits for its first start.
    fn is_pending(&self) -> bool {
        self.submitted && !self.timed && self.state() == WorkflowState::Queued
    }
}

/// What a record changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LedgerChange {
    /// Nothing new.
    None,
    /// A new workflow.
    Submitted(WorkflowId),
    /// A workflow is to be cancelled.
    Cancelled(WorkflowId),
    /// A workflow's progress.
    Progressed(WorkflowId),
    /// The leader's record.
    Leader,
    /// The roster.
    Roster,
}

/// The fold of all records.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: HashMap<WorkflowId, Entry>,
    leader: Option<(Offset, LeaderRecord)>,
    roster: Option<(Offset, Roster)>,
    interference_model: Option<(Offset, InterferenceModel)>,
    waves: BTreeMap<u64, (Offset, WaveProgress)>,
}

impl Ledger {
    /// A workflow, if its submission was read.
    pub fn get(&self, id: WorkflowId) -> Option<&Entry> {
        self.entries.get(&id).filter(|entry| entry.submitted)
    }

    /// How many workflows anything is kept of.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is kept of any workflow.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All workflows.
    pub fn iter(&self) -> impl Iterator<Item = (WorkflowId, &Entry)> {
        self.entries.iter().filter(|(_, entry)| entry.submitted).map(|(id, entry)| (*id, entry))
    }

    /// The newest leader's record.
    pub fn leader(&self) -> Option<&LeaderRecord> {
        self.leader.as_ref().map(|(_, leader)| leader)
    }

    /// Workers that may run something by a leader's orders.
    pub fn roster(&self) -> Option<&Roster> {
        self.roster.as_ref().map(|(_, roster)| roster)
    }

    /// What the last leader had learned of images.
    pub fn interference_model(&self) -> Option<&InterferenceModel> {
        self.interference_model.as_ref().map(|(_, interference_model)| interference_model)
    }

    /// How far a wave of upkeep is.
    pub fn wave(&self, number: u64) -> Option<&WaveProgress> {
        self.waves.get(&number).map(|(_, progress)| progress)
    }

    /// Whether a client's record has been taken in.
    pub fn contains(&self, record: &Record) -> bool {
        match Key::from_bytes(&record.key) {
            Ok(Key::Submission(id)) => self.get(id).is_some(),
            Ok(Key::Cancel(id)) => self.entries.get(&id).is_some_and(|entry| entry.cancelled),
            _ => false,
        }
    }

    /// How many of a queue's workflows wait for their first start. Those that run by the clock aren't
    /// counted.
    pub fn pending(&self, route: &str) -> usize {
        self.entries.values().filter(|entry| entry.route == route && entry.is_pending()).count()
    }

    /// Takes a record in.
    ///
    /// # Errors
    ///
    /// The record can't be read; the ledger stays as it was.
    pub fn apply(
        &mut self,
        offset: Offset,
        key: &[u8],
        value: &[u8],
    ) -> Result<LedgerChange, RecordError> {
        match Key::from_bytes(key)? {
            Key::Leader => self.apply_leader(offset, value),
            Key::Roster => self.apply_roster(offset, value),
            Key::InterferenceModel => self.apply_interference_model(offset, value),
            Key::Wave(number) => self.apply_wave(number, offset, value),
            Key::Submission(id) if value.is_empty() => {
                self.entries.remove(&id);
                Ok(LedgerChange::None)
            }
            Key::Submission(id) => self.apply_submission(id, value),
            Key::Cancel(_) | Key::Progress(_) if value.is_empty() => Ok(LedgerChange::None),
            Key::Cancel(id) => {
                if !read_value::<bool>(value)? {
                    return Ok(LedgerChange::None);
                }
                let entry = self.entries.entry(id).or_default();
                let first = !std::mem::replace(&mut entry.cancelled, true);
                Ok(if first { LedgerChange::Cancelled(id) } else { LedgerChange::None })
            }
            Key::Progress(id) => self.apply_progress(id, offset, value),
        }
    }

    fn apply_leader(&mut self, offset: Offset, value: &[u8]) -> Result<LedgerChange, RecordError> {
        if self.leader.as_ref().is_some_and(|(at, _)| *at >= offset) {
            return Ok(LedgerChange::None);
        }
        self.leader = Some((offset, read_value(value)?));
        Ok(LedgerChange::Leader)
    }

    fn apply_roster(&mut self, offset: Offset, value: &[u8]) -> Result<LedgerChange, RecordError> {
        if self.roster.as_ref().is_some_and(|(at, _)| *at >= offset) {
            return Ok(LedgerChange::None);
        }
        self.roster = Some((offset, read_value(value)?));
        Ok(LedgerChange::Roster)
    }

    fn apply_interference_model(
        &mut self,
        offset: Offset,
        value: &[u8],
    ) -> Result<LedgerChange, RecordError> {
        if self.interference_model.as_ref().is_some_and(|(at, _)| *at >= offset) {
            return Ok(LedgerChange::None);
        }
        self.interference_model = Some((offset, read_value(value)?));
        Ok(LedgerChange::None)
    }

    fn apply_wave(
        &mut self,
        number: u64,
        offset: Offset,
        value: &[u8],
    ) -> Result<LedgerChange, RecordError> {
        if self.waves.get(&number).is_none_or(|(at, _)| *at < offset) {
            self.waves.insert(number, (offset, read_value(value)?));
        }
        Ok(LedgerChange::None)
    }

    /// The first submission of an id counts: a client that got no answer sends it again, and another
    /// process may have recorded it already.
    fn apply_submission(
        &mut self,
        id: WorkflowId,
        value: &[u8],
    ) -> Result<LedgerChange, RecordError> {
        // Also a repeated one is read: if it can't be, the store's newest record of this key is of no use to
        // processes that start later.
        let submission: Submission = read_value(value)?;
        if self.entries.get(&id).is_some_and(|entry| entry.submitted) {
            return Ok(LedgerChange::None);
        }
        let entry = self.entries.entry(id).or_default();
        entry.submitted = true;
        entry.timed = submission.workflow.repeat.is_some();
        entry.route = submission.route.clone();
        if entry.progress.outcome.is_none() {
            entry.submission = Some(Arc::new(submission));
        }
        Ok(LedgerChange::Submitted(id))
    }

    fn apply_progress(
        &mut self,
        id: WorkflowId,
        offset: Offset,
        value: &[u8],
    ) -> Result<LedgerChange, RecordError> {
        let known = self.entries.get(&id).and_then(|entry| entry.progress_at);
        if known.is_some_and(|at| at >= offset) {
            return Ok(LedgerChange::None);
        }
        // Read first: what can't be read must not leave an entry behind.
        let progress = read_value(value)?;
        let entry = self.entries.entry(id).or_default();
        entry.progress = progress;
        entry.progress_at = Some(offset);
        if entry.progress.outcome.is_some() {
            entry.submission = None;
        }
        Ok(LedgerChange::Progressed(id))
    }
}

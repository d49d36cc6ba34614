//! Folds the control stream into a state, also if the start of the stream has expired.

use {
    crate::{
        record::ControlRecord,
        state::{Changes, ControlState, Validator},
    },
    egretlb_log::{ReadOutcome, Record},
    egretlb_types::{NodeId, Offset},
};

/// What one read of the stream changed.
#[derive(Clone, Debug, Default)]
pub struct Folded {
    /// Changes made by its records.
    pub changes: Changes,
    /// Processes that wrote the records.
    pub authors: Vec<NodeId>,
    /// Whether the stream's end was reached.
    pub reached_end: bool,
    /// Whether the stream's end was reached without a state, because every snapshot has expired.
    pub state_lost: bool,
    /// Whether the reader restarted because its offset had expired.
    pub restarted: bool,
    /// Number of records that couldn't be decoded.
    pub unreadable: u32,
}

/// The fold of one reader, which may have to start at a snapshot.
///
/// A snapshot holds the records before some offset; others may lie between that offset and the
/// snapshot. A reader without a state therefore buffers what it reads and applies the records that
/// the snapshot doesn't hold.
#[derive(Clone, Debug)]
pub struct ControlFold {
    state: Option<ControlState>,
    next: Offset,
    since_snapshot: u64,
    buffered_from: Offset,
    buffered: Vec<(Offset, ControlRecord)>,
    base_check: bool,
}

impl ControlFold {
    /// A fold that starts at the beginning of the stream.
    pub fn new() -> Self {
        ControlFold {
            state: Some(ControlState::default()),
            next: Offset(0),
            since_snapshot: 0,
            buffered_from: Offset(0),
            buffered: Vec::new(),
            base_check: true,
        }
    }

    /// Accepts proposals on any base. Only for tests of the checker.
    pub(crate) fn without_base_check(mut self) -> Self {
        self.base_check = false;
        if let Some(state) = &mut self.state {
            state.without_base_check();
        }
        self
    }

    /// The state at [`ControlFold::next`]; `None` while the reader looks for a snapshot.
    pub fn state(&self) -> Option<&ControlState> {
        self.state.as_ref()
    }

    /// The offset to read next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Number of records since the newest snapshot.
    pub fn since_snapshot(&self) -> u64 {
        self.since_snapshot
    }

    /// A snapshot record of the current state.
    pub fn snapshot(&self) -> Option<ControlRecord> {
        let state = self.state.as_ref()?.encode();
        Some(ControlRecord::Snapshot { next: self.next, state })
    }

    /// Folds the answer to a read. Records that are folded already are skipped, so reads may
    /// overlap.
    pub fn fold(&mut self, outcome: ReadOutcome, validator: &Validator) -> Folded {
        let mut folded = Folded::default();
        match outcome {
            ReadOutcome::Unavailable => {}
            ReadOutcome::Gone { oldest } => self.restart(oldest, &mut folded),
            ReadOutcome::Page { records, end, next } => {
                for record in records {
                    self.fold_record(&record, validator, &mut folded);
                }
                // A page of expired or compacted records may be empty and still advance the offset.
                folded.reached_end = end && next <= self.next;
                folded.state_lost = folded.reached_end && self.state.is_none();
            }
        }
        folded
    }

    /// Drops the state: the missing records before `oldest` may have changed owners, for example if
    /// the process was paused for longer than the retention.
    fn restart(&mut self, oldest: Offset, folded: &mut Folded) {
        if oldest <= self.next {
            return;
        }
        self.state = None;
        self.buffered.clear();
        self.buffered_from = oldest;
        self.next = oldest;
        folded.restarted = true;
    }

    fn fold_record(&mut self, record: &Record, validator: &Validator, folded: &mut Folded) {
        if record.offset != self.next {
            return;
        }
        self.next = record.offset.next();
        let Some(decoded) = ControlRecord::decode(&record.bytes) else {
            folded.unreadable += 1;
            return;
        };
        self.since_snapshot += 1;
        folded.authors.extend(decoded.author());
        if let ControlRecord::Snapshot { next, state } = &decoded {
            self.since_snapshot = record.offset.0.saturating_sub(next.0);
            if self.state.is_none() {
                self.install_snapshot(*next, state, validator, folded);
            }
        }
        match &mut self.state {
            Some(state) => folded.changes.extend(state.apply(record.offset, &decoded, validator)),
            None => self.buffered.push((record.offset, decoded)),
        }
    }

    fn install_snapshot(
        &mut self,
        next: Offset,
        state: &[u8],
        validator: &Validator,
        folded: &mut Folded,
    ) {
        if next < self.buffered_from {
            // Records between the snapshot and the first one read here are missing.
            return;
        }
        let Some(mut state) = ControlState::decode(state) else {
            folded.unreadable += 1;
            return;
        };
        if !self.base_check {
            state.without_base_check();
        }
        for (offset, record) in self.buffered.drain(..).filter(|(offset, _)| *offset >= next) {
            folded.changes.extend(state.apply(offset, &record, validator));
        }
        self.state = Some(state);
    }
}

impl Default for ControlFold {
    fn default() -> Self {
        ControlFold::new()
    }
}

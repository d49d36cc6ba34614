//! Reading the control stream into a state, also when its beginning has expired.

use {
    crate::{
        record::ControlRecord,
        state::{Changes, ControlState, Validator},
    },
    egretlb_log::{ReadOutcome, Record},
    egretlb_types::{NodeId, Offset},
};

/// What a page of the stream brought.
#[derive(Clone, Debug, Default)]
pub struct Folded {
    /// What its records changed.
    pub changes: Changes,
    /// Who wrote the records.
    pub authors: Vec<NodeId>,
    /// Whether the stream's end was reached.
    pub reached_end: bool,
    /// Whether the stream's end was reached without a state: all snapshots have expired.
    pub state_lost: bool,
    /// Whether the reader had to begin again, since its offset had expired.
    pub restarted: bool,
    /// Records that couldn't be read.
    pub unreadable: u32,
}

/// The fold of one reader, which may have to begin at a snapshot.
///
/// A snapshot holds the records before some offset, and others may have been appended between
/// that offset and the snapshot's own. A reader without a state therefore keeps what it reads,
/// and applies the part that the snapshot doesn't hold.
#[derive(Clone, Debug)]
pub struct ControlFold {
    state: Option<ControlState>,
    next: Offset,
    since_snapshot: u64,
    kept_from: Offset,
    kept: Vec<(Offset, ControlRecord)>,
    base_check: bool,
}

impl ControlFold {
    /// A fold that begins at the start of the stream.
    pub fn new() -> Self {
        ControlFold {
            state: Some(ControlState::default()),
            next: Offset(0),
            since_snapshot: 0,
            kept_from: Offset(0),
            kept: Vec::new(),
            base_check: true,
        }
    }

    /// For tests of the checker only.
    pub(crate) fn without_base_check(mut self) -> Self {
        self.base_check = false;
        if let Some(state) = &mut self.state {
            state.without_base_check();
        }
        self
    }

    /// The state at [`ControlFold::next`], unless the reader is still looking for a snapshot.
    pub fn state(&self) -> Option<&ControlState> {
        self.state.as_ref()
    }

    /// Where to read on.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// How many records lie behind the newest snapshot.
    pub fn since_snapshot(&self) -> u64 {
        self.since_snapshot
    }

    /// The snapshot of what was folded.
    pub fn snapshot(&self) -> Option<ControlRecord> {
        let state = self.state.as_ref()?.encode();
        Some(ControlRecord::Snapshot { next: self.next, state })
    }

    /// Folds an answer. Answers to overlapping reads are welcome; what was folded is skipped.
    pub fn fold(&mut self, outcome: ReadOutcome, validator: &Validator) -> Folded {
        let mut folded = Folded::default();
        match outcome {
            ReadOutcome::Unavailable => {}
            ReadOutcome::Gone { oldest } => self.restart(oldest, &mut folded),
            ReadOutcome::Page { records, end, next } => {
                for record in records {
                    self.fold_record(&record, validator, &mut folded);
                }
                // A page of expired or compacted records may be empty and still move on.
                folded.reached_end = end && next <= self.next;
                folded.state_lost = folded.reached_end && self.state.is_none();
            }
        }
        folded
    }

    /// The state is given up: between it and `oldest` records are missing that may have moved
    /// shards. A process that was paused for longer than the retention would go on with owners
    /// of long ago.
    fn restart(&mut self, oldest: Offset, folded: &mut Folded) {
        if oldest <= self.next {
            return;
        }
        self.state = None;
        self.kept.clear();
        self.kept_from = oldest;
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
                self.install(*next, state, validator, folded);
            }
        }
        match &mut self.state {
            Some(state) => folded.changes.extend(state.apply(record.offset, &decoded, validator)),
            None => self.kept.push((record.offset, decoded)),
        }
    }

    fn install(&mut self, next: Offset, state: &[u8], validator: &Validator, folded: &mut Folded) {
        if next < self.kept_from {
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
        for (offset, record) in self.kept.drain(..).filter(|(offset, _)| *offset >= next) {
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

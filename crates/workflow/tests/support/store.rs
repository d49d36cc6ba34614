//! Fake store: one partition of keyed records with fenced appends.

use {
    egretlb_types::{Epoch, Offset, Seq},
    egretlb_workflow::{AppendResult, Record},
};

#[derive(Default)]
pub struct Store {
    records: Vec<Record>,
    epoch: Epoch,
    seq: Option<Seq>,
    /// Epoch whose appends are rejected.
    pub refused: Option<Epoch>,
    /// Stored just before the append that drops its key.
    pub before_drop: Option<Record>,
}

impl Store {
    pub fn from(&self, next: Offset) -> impl Iterator<Item = (Offset, &Record)> {
        (0..).map(Offset).zip(&self.records).skip(next.0 as usize)
    }

    pub fn append(&mut self, records: &[Record], fence: Option<(Epoch, Seq)>) -> AppendResult {
        if fence.is_some_and(|(epoch, _)| Some(epoch) == self.refused) {
            return AppendResult::Rejected;
        }
        if let Some((epoch, seq)) = fence {
            if epoch < self.epoch {
                return AppendResult::Fenced;
            }
            if epoch == self.epoch && self.seq == Some(seq) {
                return AppendResult::Done;
            }
            if epoch == self.epoch && self.seq.is_some_and(|last| seq != last.next()) {
                return AppendResult::Rejected;
            }
        }
        if let Some((epoch, seq)) = fence {
            (self.epoch, self.seq) = (epoch, Some(seq));
        }
        let drops = |key: &[u8]| records.iter().any(|r| r.key == key && r.value.is_empty());
        self.records.extend(self.before_drop.take_if(|record| drops(&record.key)));
        self.records.extend_from_slice(records);
        AppendResult::Done
    }

    /// Replaces all records of a key, as if it had been loaded as the newest of its key.
    pub fn replace(&mut self, key: &[u8], value: &[u8]) {
        self.records.push(Record { key: key.to_vec(), value: Vec::new() });
        for record in self.records.iter_mut().filter(|record| record.key == key) {
            record.value = value.to_vec();
        }
    }
}

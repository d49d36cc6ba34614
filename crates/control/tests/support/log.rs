//! An in-memory log service.

use {
    egretlb_log::{ReadOutcome, Record, StreamName},
    egretlb_types::Offset,
    std::collections::BTreeMap,
};

const PAGE: usize = 16;

#[derive(Default)]
struct Stream {
    records: Vec<Vec<u8>>,
    oldest: u64,
}

/// Streams that keep every record unless [`FakeLog::expire`] is called.
#[derive(Default)]
pub struct FakeLog {
    streams: BTreeMap<StreamName, Stream>,
    pub appends: u64,
    pub append_bytes: u64,
    pub reads: u64,
    pub read_bytes: u64,
}

impl FakeLog {
    pub fn append(&mut self, name: &StreamName, bytes: &[u8]) -> Offset {
        let stream = self.streams.entry(name.clone()).or_default();
        stream.records.push(bytes.to_vec());
        self.appends += 1;
        self.append_bytes += bytes.len() as u64;
        Offset(stream.records.len() as u64 - 1)
    }

    pub fn read(&mut self, name: &StreamName, from: Offset) -> ReadOutcome {
        self.reads += 1;
        let Some(stream) = self.streams.get(name) else {
            return ReadOutcome::Page { records: Vec::new(), next: from, end: true };
        };
        if from.0 < stream.oldest {
            return ReadOutcome::Gone { oldest: Offset(stream.oldest) };
        }
        let records: Vec<Record> = (from.0..)
            .zip(stream.records.iter().skip(from.0 as usize))
            .take(PAGE)
            .map(|(offset, bytes)| Record { offset: Offset(offset), bytes: bytes.clone() })
            .collect();
        self.read_bytes += records.iter().map(|r| r.bytes.len() as u64).sum::<u64>();
        let next = Offset(from.0 + records.len() as u64);
        ReadOutcome::Page { records, next, end: next.0 >= stream.records.len() as u64 }
    }

    /// Expires the records before `oldest`.
    pub fn expire(&mut self, name: &StreamName, oldest: Offset) {
        if let Some(stream) = self.streams.get_mut(name) {
            stream.oldest = stream.oldest.max(oldest.0);
        }
    }
}

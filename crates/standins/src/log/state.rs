//! Streams with retention and a limited append rate, without I/O.

use {
    crate::log::Expire,
    compact_str::CompactString,
    egretlb_types::Time,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// The limits of the log service.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Maximum number of records kept per stream.
    pub retain_records: usize,
    /// Maximum age of a kept record.
    pub retain_age: Duration,
    /// Maximum number of appends per second over all streams.
    pub appends_per_s: u32,
    /// Maximum size of a record, in bytes.
    pub record_max_bytes: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings {
            retain_records: 1_000_000,
            retain_age: Duration::from_secs(24 * 3600),
            appends_per_s: 500,
            record_max_bytes: 1 << 20,
        }
    }
}

/// The answer to an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Appended {
    /// The record's offset.
    pub offset: u64,
}

/// Reason for refusing an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendRefused {
    /// The append rate exceeds its limit.
    TooMany,
    /// The record exceeds the maximum size.
    TooLarge,
}

/// One record of a stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The record's offset.
    pub offset: u64,
    /// The record's content.
    pub data: Vec<u8>,
}

/// The answer to a read.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReadPage {
    /// Records from the requested offset on, in order.
    pub records: Vec<Record>,
    /// The offset to read from next.
    pub next: u64,
    /// Whether `next` was the end of the stream at the time of the read.
    pub end: bool,
}

/// The requested offset is older than the oldest record kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OffsetGone {
    /// The oldest offset that can be read.
    pub oldest: u64,
}

/// Statistics of one stream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct StreamStats {
    /// Appends that took effect.
    pub appends: u64,
    /// Bytes of these appends.
    pub append_bytes: u64,
    /// Reads answered.
    pub reads: u64,
    /// Bytes of the records read.
    pub read_bytes: u64,
    /// The oldest offset kept.
    pub oldest: u64,
    /// The offset of the next append.
    pub next: u64,
}

/// Statistics of the log.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct LogStats {
    /// Statistics of each stream by name.
    pub streams: BTreeMap<CompactString, StreamStats>,
    /// Appends refused because of the rate.
    pub too_many: u64,
    /// Maximum number of appends accepted within one second.
    pub peak_appends_per_s: u32,
}

#[derive(Debug, Default)]
struct Stream {
    records: VecDeque<(Time, Vec<u8>)>,
    stats: StreamStats,
}

impl Stream {
    fn apply_retention(&mut self, now: Time, settings: &LogSettings) {
        while let Some((at, _)) = self.records.front() {
            let old = now.since(*at) > settings.retain_age;
            if !old && self.records.len() <= settings.retain_records {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        self.records.pop_front();
        self.stats.oldest += 1;
    }
}

/// The log service's state.
#[derive(Debug)]
pub struct LogState {
    settings: LogSettings,
    streams: BTreeMap<CompactString, Stream>,
    current_second: u64,
    appends_in_second: u32,
    peak_appends: u32,
    too_many: u64,
}

impl LogState {
    /// Creates an empty log.
    pub fn new(settings: LogSettings) -> Self {
        LogState {
            settings,
            streams: BTreeMap::new(),
            current_second: 0,
            appends_in_second: 0,
            peak_appends: 0,
            too_many: 0,
        }
    }

    /// Appends a record.
    pub fn append(
        &mut self,
        now: Time,
        stream: &str,
        data: Vec<u8>,
    ) -> Result<Appended, AppendRefused> {
        if data.len() > self.settings.record_max_bytes {
            return Err(AppendRefused::TooLarge);
        }
        self.count_append(now)?;
        let stream = self.streams.entry(CompactString::new(stream)).or_default();
        let offset = stream.stats.next;
        stream.stats.next += 1;
        stream.stats.appends += 1;
        stream.stats.append_bytes += data.len() as u64;
        stream.records.push_back((now, data));
        stream.apply_retention(now, &self.settings);
        Ok(Appended { offset })
    }

    /// Reads records from `from` on, at most `max_bytes` but at least one record.
    pub fn read(
        &mut self,
        now: Time,
        stream: &str,
        from: u64,
        max_bytes: usize,
    ) -> Result<ReadPage, OffsetGone> {
        let Some(stream) = self.streams.get_mut(stream) else {
            return Ok(ReadPage { records: Vec::new(), next: 0, end: true });
        };
        stream.apply_retention(now, &self.settings);
        let oldest = stream.stats.oldest;
        if from < oldest {
            return Err(OffsetGone { oldest });
        }
        let mut page = ReadPage { next: from.min(stream.stats.next), ..ReadPage::default() };
        let mut bytes = 0;
        for (_, data) in stream.records.iter().skip((from - oldest) as usize) {
            if bytes + data.len() > max_bytes && !page.records.is_empty() {
                break;
            }
            bytes += data.len();
            page.records.push(Record { offset: page.next, data: data.clone() });
            page.next += 1;
        }
        page.end = page.next == stream.stats.next;
        stream.stats.reads += 1;
        stream.stats.read_bytes += bytes as u64;
        Ok(page)
    }

    /// Expires records early.
    pub fn expire(&mut self, expire: &Expire) {
        let Some(stream) = self.streams.get_mut(&expire.stream) else { return };
        while stream.stats.oldest < expire.before && !stream.records.is_empty() {
            stream.drop_oldest();
        }
    }

    /// Returns the statistics so far.
    pub fn stats(&self) -> LogStats {
        LogStats {
            streams: self.streams.iter().map(|(name, s)| (name.clone(), s.stats)).collect(),
            too_many: self.too_many,
            peak_appends_per_s: self.peak_appends,
        }
    }

    fn count_append(&mut self, now: Time) -> Result<(), AppendRefused> {
        let second = now.as_micros() / 1_000_000;
        if second != self.current_second {
            self.current_second = second;
            self.appends_in_second = 0;
        }
        if self.appends_in_second >= self.settings.appends_per_s {
            self.too_many += 1;
            return Err(AppendRefused::TooMany);
        }
        self.appends_in_second += 1;
        self.peak_appends = self.peak_appends.max(self.appends_in_second);
        Ok(())
    }
}

//! The streams, their retention and the limit of the append rate, without input or output.

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
    /// The most records kept in one stream.
    pub retain_records: usize,
    /// How long a record is kept.
    pub retain_age: Duration,
    /// The most appends accepted in a second, over all streams.
    pub appends_per_s: u32,
    /// The largest record accepted, in bytes.
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
    /// Where the record stands.
    pub offset: u64,
}

/// Why an append had no effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendRefused {
    /// More appends came in this second than are allowed.
    TooMany,
    /// The record is larger than allowed.
    TooLarge,
}

/// One record of a stream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its place.
    pub offset: u64,
    /// Its bytes.
    pub data: Vec<u8>,
}

/// The answer to a read.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReadPage {
    /// Records from the asked offset on, in order.
    pub records: Vec<Record>,
    /// The offset to read from next.
    pub next: u64,
    /// Whether `next` is the end of the stream: there was no later record when it was read.
    pub end: bool,
}

/// The asked offset is older than the oldest record kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OffsetGone {
    /// The oldest offset that can be read.
    pub oldest: u64,
}

/// What was asked of one stream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct StreamStats {
    /// Appends that took effect.
    pub appends: u64,
    /// Their bytes.
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

/// What was asked of the log.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct LogStats {
    /// Each stream by name.
    pub streams: BTreeMap<CompactString, StreamStats>,
    /// Appends refused for the rate.
    pub too_many: u64,
    /// The most appends accepted within one second.
    pub peak_appends_per_s: u32,
}

#[derive(Debug, Default)]
struct Stream {
    records: VecDeque<(Time, Vec<u8>)>,
    stats: StreamStats,
}

impl Stream {
    fn forget(&mut self, now: Time, settings: &LogSettings) {
        while let Some((at, _)) = self.records.front() {
            let old = now.since(*at) > settings.retain_age;
            if !old && self.records.len() <= settings.retain_records {
                return;
            }
            self.forget_one();
        }
    }

    fn forget_one(&mut self) {
        self.records.pop_front();
        self.stats.oldest += 1;
    }
}

/// The log service's state.
#[derive(Debug)]
pub struct LogState {
    settings: LogSettings,
    streams: BTreeMap<CompactString, Stream>,
    second: u64,
    in_second: u32,
    peak: u32,
    too_many: u64,
}

impl LogState {
    /// An empty log.
    pub fn new(settings: LogSettings) -> Self {
        LogState {
            settings,
            streams: BTreeMap::new(),
            second: 0,
            in_second: 0,
            peak: 0,
            too_many: 0,
        }
    }

    /// Appends a record, or says why not.
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
        stream.forget(now, &self.settings);
        Ok(Appended { offset })
    }

    /// Reads records from `from` on, up to `max_bytes` but at least one.
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
        stream.forget(now, &self.settings);
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

    /// Forgets records before their time.
    pub fn expire(&mut self, expire: &Expire) {
        let Some(stream) = self.streams.get_mut(&expire.stream) else { return };
        while stream.stats.oldest < expire.before && !stream.records.is_empty() {
            stream.forget_one();
        }
    }

    /// What was asked so far.
    pub fn stats(&self) -> LogStats {
        LogStats {
            streams: self.streams.iter().map(|(name, s)| (name.clone(), s.stats)).collect(),
            too_many: self.too_many,
            peak_appends_per_s: self.peak,
        }
    }

    fn count_append(&mut self, now: Time) -> Result<(), AppendRefused> {
        let second = now.as_micros() / 1_000_000;
        if second != self.second {
            self.second = second;
            self.in_second = 0;
        }
        if self.in_second >= self.settings.appends_per_s {
            self.too_many += 1;
            return Err(AppendRefused::TooMany);
        }
        self.in_second += 1;
        self.peak = self.peak.max(self.in_second);
        Ok(())
    }
}

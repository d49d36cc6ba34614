//! Rate-limited logging of unreadable entries.
//!
//! Other writers may leave any number of them, and a worker repeats the same row in each of its answers. An
//! entry is normally logged and counted once, and the use of log and memory is bounded.

use {
    compact_str::CompactString,
    egretlb_telemetry::EntryKind,
    egretlb_types::Time,
    std::{
        collections::{HashMap, VecDeque},
        fmt::Display,
        time::Duration,
    },
};

/// Maximum number of entries remembered as logged, about 150 bytes each. The oldest is evicted first, and is
/// logged again if it occurs again.
const MAX_REMEMBERED: usize = 2_048;

/// Maximum number of lines per [`LINES_WINDOW`]. Entries beyond it are counted, and the next line reports their
/// number.
const MAX_LINES: u32 = 20;

/// The window over which lines are counted.
const LINES_WINDOW: Duration = Duration::from_secs(10);

/// Maximum length of a stored key or detail.
const MAX_TEXT_BYTES: usize = 120;

/// An unreadable entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BadEntry {
    /// Its kind.
    pub kind: EntryKind,
    /// Its key, as far as it is readable.
    pub key: CompactString,
    /// Its offset or number, which distinguishes later entries of the same key; 0 if it has none.
    pub version: u64,
    /// Why it is unreadable.
    pub detail: CompactString,
}

impl BadEntry {
    /// Creates an entry; a long key or detail is truncated.
    pub fn new(
        kind: EntryKind,
        key: impl Into<CompactString>,
        version: u64,
        detail: impl Display,
    ) -> BadEntry {
        let detail = CompactString::from(detail.to_string());
        BadEntry { kind, key: truncated(key.into()), version, detail: truncated(detail) }
    }
}

fn truncated(mut text: CompactString) -> CompactString {
    if text.len() > MAX_TEXT_BYTES {
        let end = (0..=MAX_TEXT_BYTES).rev().find(|end| text.is_char_boundary(*end)).unwrap_or(0);
        text.truncate(end);
    }
    text
}

/// A decoded value, and the entries that were left out of it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Decoded<T> {
    /// The value, without the unreadable entries.
    pub value: T,
    /// The unreadable entries.
    pub bad: Vec<BadEntry>,
}

impl<T> Decoded<T> {
    /// Maps the value and keeps the entries.
    pub fn map<U>(self, change: impl FnOnce(T) -> U) -> Decoded<U> {
        Decoded { value: change(self.value), bad: self.bad }
    }
}

impl<T> From<T> for Decoded<T> {
    fn from(value: T) -> Decoded<T> {
        Decoded { value, bad: Vec::new() }
    }
}

/// How to report an unreadable entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogAction {
    /// Neither log nor count it: it was reported before.
    Ignore,
    /// Only count it: the limit of lines is reached.
    Count,
    /// Count and log it.
    Log {
        /// Number of entries not logged since the last line.
        untold: u64,
    },
}

/// The entries that were reported, and the current rate of log lines.
#[derive(Debug, Default)]
pub struct BadEntryLog {
    /// Version last recorded of each entry, whether logged or only counted.
    versions: HashMap<(EntryKind, CompactString), u64>,
    /// The keys of `versions`, oldest first.
    insertion_order: VecDeque<(EntryKind, CompactString)>,
    /// Start of the current window, and the number of lines in it.
    window: Option<(Time, u32)>,
    suppressed: u64,
}

impl BadEntryLog {
    /// Records an unreadable entry and returns how to report it.
    pub fn record(&mut self, now: Time, entry: &BadEntry) -> LogAction {
        let key = (entry.kind, entry.key.clone());
        match self.versions.insert(key.clone(), entry.version) {
            Some(version) if version == entry.version => return LogAction::Ignore,
            Some(_) => {}
            None => self.insertion_order.push_back(key),
        }
        if self.insertion_order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.versions.remove(&oldest);
        }
        let current = self.window.filter(|(since, _)| now.since(*since) < LINES_WINDOW);
        let (since, lines) = current.unwrap_or((now, 0));
        if lines >= MAX_LINES {
            self.suppressed += 1;
            return LogAction::Count;
        }
        self.window = Some((since, lines + 1));
        LogAction::Log { untold: std::mem::take(&mut self.suppressed) }
    }
}

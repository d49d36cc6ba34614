//! Logging of entries that can't be read.
//!
//! Another writer may leave any number of them, and a worker lists the same row in each of its answers. Each
//! is told and counted once; a flood neither fills the log nor the memory.

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

/// The most entries that are remembered as told, the newest ones, at some 150 bytes each. An older one is told
/// again when it is met again.
const MAX_REMEMBERED: usize = 2_048;

/// The most lines in each [`LINES_EVERY`]; the entries beyond are counted, and their number goes with the next
/// line.
const MAX_LINES: u32 = 20;

/// The span over which lines are counted.
const LINES_WINDOW: Duration = Duration::from_secs(10);

/// The most bytes of a key or a detail that are kept.
const MAX_TEXT_BYTES: usize = 120;

/// An entry that can't be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BadEntry {
    /// What kind of entry it is.
    pub kind: EntryKind,
    /// Its key, as far as that can be read.
    pub key: CompactString,
    /// Its offset or number, so that a later one of the same key is told again; 0 if it has none.
    pub version: u64,
    /// What is wrong with it.
    pub detail: CompactString,
}

impl BadEntry {
    /// An entry that can't be read.
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

/// What was read, and what of it couldn't be.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Decoded<T> {
    /// What was read.
    pub value: T,
    /// Entries that can't be read; the value does without them.
    pub bad: Vec<BadEntry>,
}

impl<T> Decoded<T> {
    /// The same entries with another value.
    pub fn map<U>(self, change: impl FnOnce(T) -> U) -> Decoded<U> {
        Decoded { value: change(self.value), bad: self.bad }
    }
}

impl<T> From<T> for Decoded<T> {
    fn from(value: T) -> Decoded<T> {
        Decoded { value, bad: Vec::new() }
    }
}

/// What is to be done about an entry that can't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogAction {
    /// Nothing: it was told before.
    Ignore,
    /// It is counted, and there are too many for a line each.
    Count,
    /// It is counted and gets a line.
    Log {
        /// How many got none since the last line.
        untold: u64,
    },
}

/// Remembers which entries were told.
#[derive(Debug, Default)]
pub struct BadEntryLog {
    logged: HashMap<(EntryKind, CompactString), u64>,
    /// The same in the order in which they were first told.
    insertion_order: VecDeque<(EntryKind, CompactString)>,
    /// When the span of the last lines began, and how many there were.
    window: Option<(Time, u32)>,
    suppressed: u64,
}

impl BadEntryLog {
    /// An entry that can't be read was met.
    pub fn record(&mut self, now: Time, entry: &BadEntry) -> LogAction {
        let key = (entry.kind, entry.key.clone());
        match self.logged.insert(key.clone(), entry.version) {
            Some(version) if version == entry.version => return LogAction::Ignore,
            Some(_) => {}
            None => self.insertion_order.push_back(key),
        }
        if self.insertion_order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.logged.remove(&oldest);
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

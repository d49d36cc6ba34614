//! Captures log lines per test.

use {
    log::{
        Level, LevelFilter, Log, Metadata, Record,
        kv::{Error, Key, Value, VisitSource},
    },
    std::{cell::RefCell, collections::BTreeMap},
};

thread_local! {
    /// Tests run in parallel, each on its own thread.
    static LINES: RefCell<Vec<Line>> = const { RefCell::new(Vec::new()) };
}

/// A log line at a level enabled in production.
#[derive(Clone, Debug, Default)]
pub struct Line {
    pub event: String,
    pub pairs: BTreeMap<String, String>,
}

impl Line {
    pub fn get(&self, key: &str) -> &str {
        self.pairs.get(key).map_or("", String::as_str)
    }
}

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.pairs.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

struct Collector;

impl Log for Collector {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= Level::Info
    }

    fn log(&self, record: &Record<'_>) {
        let mut line = Line { event: record.args().to_string(), ..Line::default() };
        record.key_values().visit(&mut line).expect("pairs are readable");
        LINES.with_borrow_mut(|lines| lines.push(line));
    }

    fn flush(&self) {}
}

/// Starts capturing this thread's lines.
pub fn collect() {
    // All tests of a binary share the logger; the first call sets it.
    let _ = log::set_logger(&Collector);
    log::set_max_level(LevelFilter::Info);
    LINES.take();
}

/// Returns all lines since the last call.
pub fn take() -> Vec<Line> {
    LINES.take()
}

/// Returns the lines of one event.
pub fn of<'a>(lines: &'a [Line], event: &str) -> Vec<&'a Line> {
    lines.iter().filter(|line| line.event == event).collect()
}

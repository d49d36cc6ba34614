//! Log lines of `key=value` pairs.
//!
//! Events are logged through the macros of the `log` crate, with the event's name as message and
//! its values as key-value pairs:
//!
//! ```
//! # let vm = "w-17"; let wait_ms = 12;
//! log::info!(vm:% = vm, wait_ms; "vm_lost");
//! ```
//!
//! which is written as
//!
//! ```text
//! ts=2026-01-31T08:15:30.123Z level=info node=entry-1 event=vm_lost vm=w-17 wait_ms=12
//! ```

use {
    compact_str::CompactString,
    fern::Output,
    log::{
        Level, LevelFilter, Record,
        kv::{Key, Value, VisitSource},
    },
    std::{
        fmt::{self, Write as _},
        io::{Write as _, stderr, stdout},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, sync_channel},
        },
        thread,
        time::SystemTime,
    },
};

/// The longest value that a line holds, in bytes before escaping. Header values come from callers;
/// one of them must not fill the log's disk.
const MAX_VALUE_BYTES: usize = 512;

/// How a process logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogOptions {
    node: CompactString,
    level: LevelFilter,
    queued: bool,
}

impl LogOptions {
    /// Logs of a process of this name, from level `info`.
    pub fn new(node: impl AsRef<str>) -> Self {
        LogOptions { node: CompactString::new(node), level: LevelFilter::Info, queued: false }
    }

    /// The level after so many `-v` and `-q` on the command line: `info` with none, then `debug`
    /// and `trace`, or `warn`, `error` and none.
    pub fn verbosity(mut self, verbose: usize, quiet: usize) -> Self {
        const LEVELS: [LevelFilter; 6] = [
            LevelFilter::Off,
            LevelFilter::Error,
            LevelFilter::Warn,
            LevelFilter::Info,
            LevelFilter::Debug,
            LevelFilter::Trace,
        ];
        const INFO: usize = 3;
        let level = (INFO + verbose).saturating_sub(quiet);
        self.level = LEVELS[level.min(LEVELS.len() - 1)];
        self
    }

    /// Writes to standard output through a bounded queue, so that a reader that has stopped reading
    /// never holds the process up. Lines that find the queue full are dropped and counted.
    pub fn queued(mut self) -> Self {
        self.queued = true;
        self
    }

    /// The level from which events are logged.
    pub fn level(&self) -> LevelFilter {
        self.level
    }
}

/// The log can't be set up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InitError {
    /// A logger is already set in this process.
    AlreadySet,
}

impl fmt::Display for InitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InitError::AlreadySet => {
                write!(f, "logging is already set up; call init once in each process")
            }
        }
    }
}

impl std::error::Error for InitError {}

/// What the targets of the project's own events begin with.
const OWN_TARGETS: &str = "egretlb";

/// Sends the events of this process to its standard error. Libraries log in a form of their own, some
/// of them several lines for each call, so of theirs only warnings are let through.
///
/// # Errors
///
/// A logger is set already.
pub fn init(options: LogOptions) -> Result<(), InitError> {
    let LogOptions { node, level, queued } = options;
    let output = if queued { queued_output() } else { Output::call(write_line) };
    fern::Dispatch::new()
        .level(level)
        .filter(|meta| meta.level() <= Level::Warn || meta.target().starts_with(OWN_TARGETS))
        .format(move |out, _, record| {
            out.finish(format_args!("{}", format_line(SystemTime::now(), &node, record)));
        })
        .chain(output)
        .apply()
        .map_err(|_| InitError::AlreadySet)
}

/// Logs an event whose name and pairs are only known as it happens. Where they are known before, the
/// macros of `log` say the same more shortly.
pub fn log_event(level: Level, event: &str, pairs: &[(&str, &dyn fmt::Display)]) {
    if level > log::max_level() {
        return;
    }
    let pairs: Vec<(&str, Value<'_>)> =
        pairs.iter().map(|(key, value)| (*key, Value::from_dyn_display(*value))).collect();
    let args = format_args!("{event}");
    let mut record = Record::builder();
    record.level(level).target(module_path!()).key_values(&pairs);
    log::logger().log(&record.args(args).build());
}

/// Lines that wait to be written. At 200 bytes a line the queue takes 400 KB at most, and holds some
/// seconds of a busy leader's events.
const QUEUE_LINES: usize = 2_048;

/// Standard output behind a bounded queue and a thread of its own.
fn queued_output() -> Output {
    let (tx, rx) = sync_channel::<String>(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&dropped);
    let writer = thread::Builder::new().name("log".into()).stack_size(WRITER_STACK_BYTES);
    let spawned = writer.spawn(move || write_queued(&rx, &counted));
    if spawned.is_err() {
        return Output::call(write_line);
    }
    Output::call(move |record| {
        if tx.try_send(format!("{}\n", record.args())).is_err() {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
    })
}

/// The writer only passes lines on.
const WRITER_STACK_BYTES: usize = 64 * 1024;

fn write_queued(rx: &Receiver<String>, dropped: &AtomicU64) {
    let mut out = stdout().lock();
    while let Ok(mut lines) = rx.recv() {
        // Lines that wait are written together: each write is a call to the system.
        lines.extend(rx.try_iter().take(WRITE_LINES));
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            lines.push_str(&format!("level=warn event=log_lines_dropped lines={lost}\n"));
        }
        // Where standard output is gone there is nobody to be told.
        let _ = out.write_all(lines.as_bytes()).and_then(|()| out.flush());
    }
}

/// The most lines of one write.
const WRITE_LINES: usize = 64;

/// Writes a line and its end in one piece. Standard error has no buffer: were they written apart,
/// two processes with one terminal or pipe would write into each other's lines.
fn write_line(record: &Record<'_>) {
    let line = format!("{}\n", record.args());
    // Where standard error is gone there is nobody to be told.
    let _ = stderr().lock().write_all(line.as_bytes());
}

/// The line for one event, without its end.
pub fn format_line(now: SystemTime, node: &str, record: &Record<'_>) -> String {
    let mut line = Line(String::with_capacity(160));
    line.pair("ts", &humantime::format_rfc3339_millis(now));
    line.pair("level", &LowerCase(record.level().as_str()));
    line.pair("node", &node);
    line.pair("event", record.args());
    // Visiting into a string can't fail; a value whose own Display fails leaves a cut line.
    let _ = record.key_values().visit(&mut line);
    line.0
}

struct LowerCase(&'static str);

impl fmt::Display for LowerCase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.chars().try_for_each(|c| f.write_char(c.to_ascii_lowercase()))
    }
}

struct Line(String);

impl Line {
    fn pair(&mut self, key: &str, value: &dyn fmt::Display) {
        if !self.0.is_empty() {
            self.0.push(' ');
        }
        self.push_key(key);
        self.0.push('=');
        self.push_value(&value.to_string());
    }

    /// Keys are chosen by the program; a character that would break the line's form is replaced.
    fn push_key(&mut self, key: &str) {
        let safe = |c: char| if c.is_ascii_alphanumeric() || c == '.' { c } else { '_' };
        self.0.extend(key.chars().map(safe));
    }

    /// Writes plain values bare, others quoted and escaped.
    ///
    /// Values come from callers, too. Were a line feed or a quote written as it is, a header could
    /// end the line and forge the next event, say a `config_accepted` that never was, and whoever
    /// reads the log in an incident would follow it.
    fn push_value(&mut self, value: &str) {
        let value = cut(value);
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.:/+,@%[]".contains(c);
        if !value.is_empty() && value.chars().all(plain) {
            self.0.push_str(value);
            return;
        }
        self.0.push('"');
        for c in value.chars() {
            match c {
                '"' => self.0.push_str("\\\""),
                '\\' => self.0.push_str("\\\\"),
                '\n' => self.0.push_str("\\n"),
                '\r' => self.0.push_str("\\r"),
                '\t' => self.0.push_str("\\t"),
                // Letters of any script are names; marks that break or turn a line aren't.
                c if c.is_alphanumeric() || c.is_ascii_graphic() || c == ' ' => self.0.push(c),
                c => self.0.extend(c.escape_unicode()),
            }
        }
        self.0.push('"');
    }
}

/// The value up to [`MAX_VALUE_BYTES`], at a character's border.
fn cut(value: &str) -> &str {
    let mut end = value.len().min(MAX_VALUE_BYTES);
    while !value.is_char_boundary(end) {
        end -= 1;
    }
    &value[..end]
}

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.pair(key.as_str(), &value);
        Ok(())
    }
}

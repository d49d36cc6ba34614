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

/// Maximum length of a value, in bytes before escaping. Limits what a caller's header can add to
/// the log.
const MAX_VALUE_BYTES: usize = 512;

/// Logging options of a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogOptions {
    node: CompactString,
    level: LevelFilter,
    queued: bool,
}

impl LogOptions {
    /// Creates options for the node of this name, with level `info`.
    pub fn new(node: impl AsRef<str>) -> Self {
        LogOptions { node: CompactString::new(node), level: LevelFilter::Info, queued: false }
    }

    /// Sets the level from the numbers of `-v` and `-q` flags: `info` with none, up to `trace` or
    /// down to `off`.
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

    /// Writes to standard output through a bounded queue, so that a stalled reader doesn't block the
    /// process. When the queue is full, lines are dropped and counted.
    pub fn queued(mut self) -> Self {
        self.queued = true;
        self
    }

    /// Minimum level of logged events.
    pub fn level(&self) -> LevelFilter {
        self.level
    }
}

/// Error of [`init`].
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

/// Target prefix of this project's crates.
const OWN_TARGET_PREFIX: &str = "egretlb";

/// Installs the logger of this process, which writes to standard error, or to standard output if
/// [`LogOptions::queued`]. Events of other crates are logged from level `warn`.
///
/// # Errors
///
/// Returns an error if a logger is already set.
pub fn init(options: LogOptions) -> Result<(), InitError> {
    let LogOptions { node, level, queued } = options;
    let output = if queued { queued_output() } else { Output::call(write_line) };
    fern::Dispatch::new()
        .level(level)
        .filter(|meta| meta.level() <= Level::Warn || meta.target().starts_with(OWN_TARGET_PREFIX))
        .format(move |out, _, record| {
            out.finish(format_args!("{}", format_line(SystemTime::now(), &node, record)));
        })
        .chain(output)
        .apply()
        .map_err(|_| InitError::AlreadySet)
}

/// Logs an event whose name and keys are only known at run time; otherwise use the macros of `log`.
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

/// Capacity of the queue, in lines; about 400 KB at 200 bytes per line.
const QUEUE_LINES: usize = 2_048;

/// Returns an output that queues lines for a thread that writes them to standard output.
fn queued_output() -> Output {
    let (tx, rx) = sync_channel::<String>(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer_dropped = Arc::clone(&dropped);
    let writer = thread::Builder::new().name("log".into()).stack_size(WRITER_STACK_BYTES);
    let spawned = writer.spawn(move || write_queued(&rx, &writer_dropped));
    if spawned.is_err() {
        return Output::call(write_line);
    }
    Output::call(move |record| {
        if tx.try_send(format!("{}\n", record.args())).is_err() {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
    })
}

const WRITER_STACK_BYTES: usize = 64 * 1024;

fn write_queued(rx: &Receiver<String>, dropped: &AtomicU64) {
    let mut out = stdout().lock();
    while let Ok(mut lines) = rx.recv() {
        // Batches queued lines to save system calls.
        lines.extend(rx.try_iter().take(WRITE_BATCH_LINES));
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            lines.push_str(&format!("level=warn event=log_lines_dropped lines={lost}\n"));
        }
        // A write error can't be reported: standard output is the log.
        let _ = out.write_all(lines.as_bytes()).and_then(|()| out.flush());
    }
}

/// Maximum number of queued lines added to one write.
const WRITE_BATCH_LINES: usize = 64;

/// Writes a line and its line feed in one call. Standard error is unbuffered, so that separate writes
/// could interleave with those of other processes.
fn write_line(record: &Record<'_>) {
    let line = format!("{}\n", record.args());
    // A write error can't be reported: standard error is the log.
    let _ = stderr().lock().write_all(line.as_bytes());
}

/// Formats an event as a line without line feed.
pub fn format_line(now: SystemTime, node: &str, record: &Record<'_>) -> String {
    let mut line = Line(String::with_capacity(160));
    line.pair("ts", &humantime::format_rfc3339_millis(now));
    line.pair("level", &LowerCase(record.level().as_str()));
    line.pair("node", &node);
    line.pair("event", record.args());
    // `Line` writes to a string, which doesn't fail.
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

    /// Appends a key, with characters outside `[A-Za-z0-9.]` replaced by `_`.
    fn push_key(&mut self, key: &str) {
        let sanitize = |c: char| if c.is_ascii_alphanumeric() || c == '.' { c } else { '_' };
        self.0.extend(key.chars().map(sanitize));
    }

    /// Appends a value, quoted and escaped unless it is plain, so that a value from a caller can't
    /// forge an event.
    fn push_value(&mut self, value: &str) {
        let value = truncate(value);
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
                // Escapes the rest, such as line separators and direction marks.
                c if c.is_alphanumeric() || c.is_ascii_graphic() || c == ' ' => self.0.push(c),
                c => self.0.extend(c.escape_unicode()),
            }
        }
        self.0.push('"');
    }
}

/// Truncates a value to [`MAX_VALUE_BYTES`], at a character boundary.
fn truncate(value: &str) -> &str {
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

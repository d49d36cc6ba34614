//! Log lines can't be forged through values, keys or event names.

use {
    egretlb_telemetry::{LogOptions, format_line, log_event},
    log::{Level, LevelFilter, Log, Metadata, Record, kv::Source},
    std::{
        sync::Mutex,
        time::{Duration, UNIX_EPOCH},
    },
};

fn line(event: &str, values: &dyn Source) -> String {
    let now = UNIX_EPOCH + Duration::from_millis(1_769_847_330_123);
    let args = format_args!("{event}").to_string();
    let mut builder = Record::builder();
    builder.level(Level::Warn).key_values(values);
    format_line(now, "entry-1", &builder.args(format_args!("{args}")).build())
}

#[test]
fn plain_event() {
    let values: &[(&str, u32)] = &[("wait_ms", 12), ("shard", 7)];
    assert_eq!(
        line("vm_lost", &values),
        "ts=2026-01-31T08:15:30.123Z level=warn node=entry-1 event=vm_lost wait_ms=12 shard=7"
    );
}

#[test]
fn hostile_value() {
    // A value from a caller must not inject a forged event.
    let forged = "x\"\nts=2026-01-31T08:15:30Z level=info event=config_accepted version=9";
    for hostile in [forged, "a b=c", "\r\n", "\u{2028}\u{202e}", "\\\" k=v \\", "", "\0\x1b[2J"] {
        let values: &[(&str, &str)] = &[("key", hostile)];
        let line = line("key_refused", &values);
        assert_eq!(line.lines().count(), 1, "{line:?}");
        assert!(!line.contains('\u{2028}') && !line.contains('\u{202e}'), "{line:?}");
        assert!(!line.chars().any(char::is_control), "{line:?}");
        let (_, value) = line.split_once(" key=").unwrap();
        assert!(is_one_quoted(value), "{line:?}");
    }
}

/// Whether the text is exactly one quoted value.
fn is_one_quoted(text: &str) -> bool {
    let mut chars = text.chars();
    if chars.next() != Some('"') {
        return false;
    }
    while let Some(c) = chars.next() {
        match c {
            '\\' => drop(chars.next()),
            '"' => return chars.next().is_none(),
            _ => {}
        }
    }
    false
}

#[test]
fn hostile_event_and_key() {
    let values: &[(&str, &str)] = &[("a b\n=", "v")];
    let line = line("two words\nlevel=error", &values);
    assert!(line.ends_with(r#"event="two words\nlevel=error" a_b__=v"#), "{line}");
}

#[test]
fn long_value_is_cut() {
    let long = "é".repeat(10_000);
    let values: &[(&str, &str)] = &[("key", &long)];
    assert!(line("e", &values).len() < 700);
}

#[test]
fn verbosity() {
    let level = |verbose, quiet| LogOptions::new("n").verbosity(verbose, quiet).level();
    assert_eq!(level(0, 0), LevelFilter::Info);
    assert_eq!(level(1, 0), LevelFilter::Debug);
    assert_eq!(level(9, 0), LevelFilter::Trace);
    assert_eq!(level(0, 1), LevelFilter::Warn);
    assert_eq!(level(0, 9), LevelFilter::Off);
}

/// Logger that records the formatted lines.
struct RecordingLogger(Mutex<Vec<String>>);

impl Log for RecordingLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = format_line(UNIX_EPOCH, "entry-1", record);
        self.0.lock().unwrap().push(line);
    }

    fn flush(&self) {}
}

#[test]
fn macro_and_function_agree() {
    static LOGGER: RecordingLogger = RecordingLogger(Mutex::new(Vec::new()));
    log::set_logger(&LOGGER).unwrap();
    log::set_max_level(LevelFilter::Warn);
    let vm = "w 17\n";
    log::warn!(vm:% = vm, attempts = 3; "vm_lost");
    log_event(Level::Warn, "vm_lost", &[("vm", &vm), ("attempts", &3)]);
    log_event(Level::Info, "not_logged", &[]);
    let lines = LOGGER.0.lock().unwrap();
    assert_eq!(lines.len(), 2);
    assert_eq!(lines[0], lines[1]);
    assert!(lines[0].ends_with(r#"event=vm_lost vm="w 17\n" attempts=3"#), "{}", lines[0]);
}

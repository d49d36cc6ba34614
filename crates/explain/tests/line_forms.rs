//! Log lines are parsed as they were written.

use {
    egretlb_explain::LogLine,
    egretlb_telemetry::format_line,
    log::{Level, Record},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::time::{Duration, SystemTime},
};

fn format_event(event: &str, value: &str) -> String {
    let pairs = [("workflow", "00000000000000a1"), ("detail", value)];
    let mut builder = Record::builder();
    builder.level(Level::Info).target("egretlb_test").key_values(&pairs);
    let now = SystemTime::UNIX_EPOCH + Duration::from_millis(1_500);
    format_line(now, "entry-1", &builder.args(format_args!("{event}")).build())
}

#[test]
fn round_trip() {
    for value in
        ["plain", "two words", "a \"quote\"", "back\\slash", "line\nfeed\ttab", "", "x=y z=w"]
    {
        let line = LogLine::parse(&format_event("submitted", value)).expect("a line");
        assert_eq!(line.at, "1970-01-01T00:00:01.500Z");
        assert_eq!((line.node.as_str(), line.event.as_str()), ("entry-1", "submitted"));
        assert_eq!(line.get("workflow"), Some("00000000000000a1"));
        assert_eq!(line.get("detail"), Some(value), "{value:?}");
    }
}

/// Guards against text from a client that forges another event.
#[test]
fn no_forged_event() {
    let line = LogLine::parse(&format_event("submitted", "x\" event=\"cancelled")).expect("a line");
    assert_eq!(line.event, "submitted");
}

/// Prefixes of log collectors are ignored, and lines of other programs are rejected.
#[test]
fn other_lines() {
    let line =
        LogLine::parse("  12.5 host-3 ts=2026-01-31T08:15:30.123Z level=info node=n event=e a=1");
    assert_eq!(line.and_then(|line| line.get("a").map(str::to_string)), Some("1".to_string()));
    for text in ["", "ts=", "hello", "ts=1 node=2", "ts=2026 event=\"never closed", "event=x"] {
        assert_eq!(LogLine::parse(text), None, "{text:?}");
    }
}

/// Guards against a panic on corrupted lines.
#[test]
fn corrupted_lines() {
    let mut rng = SmallRng::seed_from_u64(7);
    let valid = format_event("task_failed", "a \"b\" \u{202e} c");
    for _ in 0..20_000 {
        let mut bytes = valid.clone().into_bytes();
        for _ in 0..rng.random_range(1..6) {
            let at = rng.random_range(0..bytes.len());
            bytes[at] = rng.random();
        }
        bytes.truncate(rng.random_range(0..=bytes.len()));
        let _ = LogLine::parse(&String::from_utf8_lossy(&bytes));
    }
}

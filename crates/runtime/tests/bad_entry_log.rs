//! Each unreadable entry is reported once, and the number of log lines is bounded.

use {
    egretlb_runtime::{BadEntry, BadEntryLog, LogAction, platform::EntryKind},
    egretlb_types::Time,
    std::time::Duration,
};

fn entry(key: &str, version: u64) -> BadEntry {
    BadEntry::new(EntryKind::Worker, key, version, "no such field")
}

const NOW: Time = Time::from_secs(100);

#[test]
fn logged_once() {
    let mut log = BadEntryLog::default();
    let line = LogAction::Log { untold: 0 };
    assert_eq!(log.record(NOW, &entry("a", 1)), line);
    assert_eq!(log.record(NOW, &entry("a", 1)), LogAction::Ignore);
    assert_eq!(log.record(NOW, &entry("a", 2)), line);
    assert_eq!(log.record(NOW, &entry("b", 2)), line);
    let other = BadEntry { kind: EntryKind::Vm, ..entry("a", 2) };
    assert_eq!(log.record(NOW, &other), line);
}

/// Thousands of unreadable entries in a second must not displace other lines from the log.
#[test]
fn flood_bounded() {
    let mut log = BadEntryLog::default();
    let actions: Vec<LogAction> =
        (0..100_000).map(|number| log.record(NOW, &entry(&format!("flood-{number}"), 1))).collect();
    let lines = actions.iter().filter(|action| matches!(action, LogAction::Log { .. }));
    assert_eq!(lines.count(), 20);
    assert!(!actions.contains(&LogAction::Ignore));
    // Only the newest entries are remembered.
    assert_eq!(log.record(NOW, &entry("flood-99999", 1)), LogAction::Ignore);
    assert_eq!(log.record(NOW, &entry("flood-0", 1)), LogAction::Count);
    let later = NOW + Duration::from_secs(10);
    let untold = 100_000 - 20 + 1;
    assert_eq!(log.record(later, &entry("next", 1)), LogAction::Log { untold });
}

#[test]
fn texts_shortened() {
    let long = "é".repeat(1_000);
    let entry = BadEntry::new(EntryKind::Run, long.as_str(), 0, &long);
    assert!(entry.key.len() <= 120 && entry.detail.len() <= 120);
    assert!(entry.key.starts_with("éé"));
}

//! Tests of [`KeyTable`] alone.

use {
    egretlb_requests::{
        BodyHash, KEY_RETENTION, KeyTable, KeyTableEffect, KeyTableEvent, MAX_KEYS_PER_SHARD,
        OUTCOME_TIMEOUT, RequestId,
        keys::{
            KeyJournalEntry, KeyOutcome, OutcomeReport, Permit, PermitHolder, PermitRequest,
            RecordedAnswer,
        },
    },
    egretlb_types::{Authority, Epoch, NodeId, RequestKey, ShardId, Time},
    std::time::Duration,
};

const SHARD: ShardId = ShardId(3);

struct Held(Option<Epoch>);

impl Authority for Held {
    fn epoch_if_held(&self, _: Time, _: ShardId) -> Option<Epoch> {
        self.0
    }
}

/// A table that owns the shard, its clock, and a log that takes every entry at once if it is up.
struct Harness {
    table: KeyTable,
    now: Time,
    held: Held,
    log_up: bool,
    journal: Vec<KeyJournalEntry>,
}

impl Harness {
    fn new() -> Self {
        let mut harness = Harness {
            table: KeyTable::new(),
            now: Time::from_secs(200_000),
            held: Held(Some(Epoch(1))),
            log_up: true,
            journal: Vec::new(),
        };
        harness.step(KeyTableEvent::Owned { shard: SHARD, epoch: Epoch(1) });
        harness
    }

    fn step(&mut self, event: KeyTableEvent) -> Vec<KeyTableEffect> {
        let mut out = Vec::new();
        self.table.step(self.now, event, &self.held, &mut out);
        for effect in out.clone() {
            if let KeyTableEffect::Journal { entry, ticket, .. } = effect
                && self.log_up
            {
                self.journal.push(entry);
                out.extend(self.step(KeyTableEvent::Journaled { ticket }));
            }
        }
        out
    }

    fn request(&mut self, id: u64, key: &str, body: u64) -> Option<Permit> {
        let request = PermitRequest {
            shard: SHARD,
            key: key_of(key),
            body: BodyHash(body),
            holder: holder(id),
        };
        let out = self.step(KeyTableEvent::Request { request });
        out.into_iter().find_map(|effect| match effect {
            KeyTableEffect::Answer { holder: to, permit, .. } if to == holder(id) => Some(permit),
            _ => None,
        })
    }

    fn report(&mut self, request: u64, key: &str, outcome: KeyOutcome) -> bool {
        let report =
            OutcomeReport { shard: SHARD, key: key_of(key), holder: holder(request), outcome };
        let out = self.step(KeyTableEvent::Report { report });
        out.iter().any(|effect| matches!(effect, KeyTableEffect::ConfirmReport { .. }))
    }

    fn wait(&mut self, span: Duration) {
        self.now = self.now + span;
        self.step(KeyTableEvent::Tick);
    }
}

fn key_of(text: &str) -> RequestKey {
    RequestKey::new("kelani".parse().unwrap(), text).unwrap()
}

fn holder(request: u64) -> PermitHolder {
    PermitHolder { entry: NodeId(1), request: RequestId(request) }
}

fn answer() -> RecordedAnswer {
    RecordedAnswer { status: 201, body: Some(b"filed".to_vec()) }
}

/// Guards against a second run of a request that is sent again; it gets the recorded answer.
#[test]
fn a_key_runs_once() {
    let mut harness = Harness::new();
    assert_eq!(harness.request(1, "a", 7), Some(Permit::Granted));
    assert_eq!(harness.request(2, "a", 7), Some(Permit::InProgress));
    assert!(harness.report(1, "a", KeyOutcome::Ran(answer())));
    assert_eq!(harness.request(3, "a", 7), Some(Permit::Recorded(answer())));
}

/// Guards against treating two different requests with one key as the same.
#[test]
fn a_key_with_another_body_is_refused() {
    let mut harness = Harness::new();
    assert_eq!(harness.request(1, "a", 7), Some(Permit::Granted));
    assert_eq!(harness.request(2, "a", 8), Some(Permit::BodyMismatch));
    harness.report(1, "a", KeyOutcome::Ran(answer()));
    assert_eq!(harness.request(3, "a", 8), Some(Permit::BodyMismatch));
}

#[test]
fn a_key_that_did_not_run_is_free_again() {
    let mut harness = Harness::new();
    harness.request(1, "a", 7);
    assert!(harness.report(1, "a", KeyOutcome::NotRun));
    assert_eq!(harness.request(2, "a", 7), Some(Permit::Granted));
}

/// Guards against a permit without report that stays in progress forever, or is granted again.
#[test]
fn a_key_without_report_falls_in_doubt() {
    let mut harness = Harness::new();
    harness.request(1, "a", 7);
    harness.wait(OUTCOME_TIMEOUT);
    assert_eq!(harness.request(2, "a", 7), Some(Permit::InDoubt));
    assert!(harness.report(1, "a", KeyOutcome::Ran(answer())));
    assert_eq!(harness.request(3, "a", 7), Some(Permit::Recorded(answer())));
}

/// Guards against requests that wait for a log that is down, and a key left closed by an intent
/// that may not be in the log.
#[test]
fn no_permit_while_the_log_is_down() {
    let mut harness = Harness::new();
    harness.log_up = false;
    assert_eq!(harness.request(1, "a", 7), None);
    let refused = harness.step(KeyTableEvent::LogState { up: false });
    let answered = refused.iter().any(|effect| {
        matches!(effect, KeyTableEffect::Answer { permit: Permit::Unavailable, holder: to, .. }
            if *to == holder(1))
    });
    assert!(answered, "{refused:?}");
    assert_eq!(harness.request(2, "b", 7), Some(Permit::Unavailable));
    harness.log_up = true;
    harness.step(KeyTableEvent::LogState { up: true });
    assert_eq!(harness.request(3, "a", 7), Some(Permit::Granted));
}

#[test]
fn no_permit_without_authority() {
    let mut harness = Harness::new();
    harness.held = Held(None);
    assert_eq!(harness.request(1, "a", 7), Some(Permit::Unavailable));
    harness.held = Held(Some(Epoch(2)));
    assert_eq!(harness.request(2, "a", 7), Some(Permit::Unavailable));
}

/// Guards against a new owner that loses keys, whether it restores a snapshot or replays entries.
#[test]
fn a_successor_knows_every_key() {
    let mut old = Harness::new();
    old.request(1, "ran", 7);
    old.report(1, "ran", KeyOutcome::Ran(answer()));
    old.request(2, "open", 7);
    old.request(3, "free", 7);
    old.report(3, "free", KeyOutcome::NotRun);
    let mut by_entries = KeyTable::new();
    for entry in &old.journal {
        by_entries.replay(SHARD, entry);
    }
    let mut by_snapshot = KeyTable::new();
    by_snapshot.restore(SHARD, old.table.snapshot(old.now, SHARD));
    for table in [by_entries, by_snapshot] {
        let mut new = Harness::new();
        new.table = table;
        new.step(KeyTableEvent::Owned { shard: SHARD, epoch: Epoch(1) });
        assert_eq!(new.request(11, "ran", 7), Some(Permit::Recorded(answer())));
        assert_eq!(new.request(12, "open", 7), Some(Permit::InProgress));
        assert_eq!(new.request(13, "free", 7), Some(Permit::Granted));
        assert!(new.report(2, "open", KeyOutcome::Ran(answer())));
        assert_eq!(new.request(14, "open", 7), Some(Permit::Recorded(answer())));
    }
}

/// Guards against keys dropped before their retention ends, and keys stored beyond it.
#[test]
fn key_retention_and_capacity() {
    let mut harness = Harness::new();
    for i in 0..MAX_KEYS_PER_SHARD as u64 {
        harness.request(i, &format!("k{i}"), 7);
        harness.report(i, &format!("k{i}"), KeyOutcome::Ran(answer()));
    }
    assert_eq!(harness.request(1_000_000, "one-more", 7), Some(Permit::Unavailable));
    harness.wait(KEY_RETENTION - Duration::from_secs(120));
    assert_eq!(harness.request(1_000_001, "k0", 7), Some(Permit::Recorded(answer())));
    harness.wait(Duration::from_secs(240));
    assert_eq!(harness.table.key_count(SHARD), 0);
    assert_eq!(harness.request(1_000_002, "k0", 7), Some(Permit::Granted));
}

/// A report overtakes its permit request on the network. Guards against a permit without holder,
/// which would leave the key in doubt.
#[test]
fn request_behind_its_report_gets_no_permit() {
    let mut harness = Harness::new();
    assert!(harness.report(1, "a", KeyOutcome::NotRun));
    assert_eq!(harness.request(1, "a", 7), Some(Permit::Unavailable));
    assert_eq!(harness.request(2, "a", 7), Some(Permit::Granted));
}

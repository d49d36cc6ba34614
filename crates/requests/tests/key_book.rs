//! The owner of request keys, alone.

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

/// A book that owns the shard, its clock, and the log that takes every entry at once if it is up.
struct Desk {
    book: KeyTable,
    now: Time,
    held: Held,
    log_up: bool,
    journal: Vec<KeyJournalEntry>,
}

impl Desk {
    fn new() -> Self {
        let mut desk = Desk {
            book: KeyTable::new(),
            now: Time::from_secs(200_000),
            held: Held(Some(Epoch(1))),
            log_up: true,
            journal: Vec::new(),
        };
        desk.step(KeyTableEvent::Owned { shard: SHARD, epoch: Epoch(1) });
        desk
    }

    fn step(&mut self, event: KeyTableEvent) -> Vec<KeyTableEffect> {
        let mut out = Vec::new();
        self.book.step(self.now, event, &self.held, &mut out);
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

/// A service desk sends the same notice again, at once and later: it must not go out twice, and
/// the later one gets the first one's answer.
#[test]
fn a_key_runs_once() {
    let mut desk = Desk::new();
    assert_eq!(desk.request(1, "a", 7), Some(Permit::Granted));
    assert_eq!(desk.request(2, "a", 7), Some(Permit::InProgress));
    assert!(desk.report(1, "a", KeyOutcome::Ran(answer())));
    assert_eq!(desk.request(3, "a", 7), Some(Permit::Recorded(answer())));
}

/// A caller uses one key for two filings by mistake: the second must not be taken for the first,
/// nor run under its key.
#[test]
fn a_key_with_another_body_is_refused() {
    let mut desk = Desk::new();
    assert_eq!(desk.request(1, "a", 7), Some(Permit::Granted));
    assert_eq!(desk.request(2, "a", 8), Some(Permit::BodyMismatch));
    desk.report(1, "a", KeyOutcome::Ran(answer()));
    assert_eq!(desk.request(3, "a", 8), Some(Permit::BodyMismatch));
}

#[test]
fn a_key_that_did_not_run_is_free_again() {
    let mut desk = Desk::new();
    desk.request(1, "a", 7);
    assert!(desk.report(1, "a", KeyOutcome::NotRun));
    assert_eq!(desk.request(2, "a", 7), Some(Permit::Granted));
}

/// The entry dies after it got the permit, and nobody reports: the caller is told after a while
/// that the filing may have run, not that it is still in progress, and it isn't run again.
#[test]
fn a_key_without_report_falls_in_doubt() {
    let mut desk = Desk::new();
    desk.request(1, "a", 7);
    desk.wait(OUTCOME_TIMEOUT);
    assert_eq!(desk.request(2, "a", 7), Some(Permit::InDoubt));
    assert!(desk.report(1, "a", KeyOutcome::Ran(answer())));
    assert_eq!(desk.request(3, "a", 7), Some(Permit::Recorded(answer())));
}

/// The log is down: a caller is refused at once rather than after a wait, and an intent whose fate
/// is unknown doesn't leave its key closed.
#[test]
fn no_permit_while_the_log_is_down() {
    let mut desk = Desk::new();
    desk.log_up = false;
    assert_eq!(desk.request(1, "a", 7), None);
    let refused = desk.step(KeyTableEvent::LogState { up: false });
    let told = refused.iter().any(|effect| {
        matches!(effect, KeyTableEffect::Answer { permit: Permit::Unavailable, holder: to, .. }
            if *to == holder(1))
    });
    assert!(told, "{refused:?}");
    assert_eq!(desk.request(2, "b", 7), Some(Permit::Unavailable));
    desk.log_up = true;
    desk.step(KeyTableEvent::LogState { up: true });
    assert_eq!(desk.request(3, "a", 7), Some(Permit::Granted));
}

#[test]
fn no_permit_without_authority() {
    let mut desk = Desk::new();
    desk.held = Held(None);
    assert_eq!(desk.request(1, "a", 7), Some(Permit::Unavailable));
    desk.held = Held(Some(Epoch(2)));
    assert_eq!(desk.request(2, "a", 7), Some(Permit::Unavailable));
}

/// The owner is replaced: what it had promised stands, whether its successor reads a snapshot or
/// entry by entry.
#[test]
fn a_successor_knows_every_key() {
    let mut old = Desk::new();
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
    by_snapshot.restore(SHARD, old.book.snapshot(old.now, SHARD));
    for book in [by_entries, by_snapshot] {
        let mut new = Desk::new();
        new.book = book;
        new.step(KeyTableEvent::Owned { shard: SHARD, epoch: Epoch(1) });
        assert_eq!(new.request(11, "ran", 7), Some(Permit::Recorded(answer())));
        assert_eq!(new.request(12, "open", 7), Some(Permit::InProgress));
        assert_eq!(new.request(13, "free", 7), Some(Permit::Granted));
        assert!(new.report(2, "open", KeyOutcome::Ran(answer())));
        assert_eq!(new.request(14, "open", 7), Some(Permit::Recorded(answer())));
    }
}

/// More keys come than fit: one is refused, none is forgotten before its time. After that time a
/// key is new again.
#[test]
fn keys_are_kept_for_their_time_and_no_more_than_fit() {
    let mut desk = Desk::new();
    for i in 0..MAX_KEYS_PER_SHARD as u64 {
        desk.request(i, &format!("k{i}"), 7);
        desk.report(i, &format!("k{i}"), KeyOutcome::Ran(answer()));
    }
    assert_eq!(desk.request(1_000_000, "one-more", 7), Some(Permit::Unavailable));
    desk.wait(KEY_RETENTION - Duration::from_secs(120));
    assert_eq!(desk.request(1_000_001, "k0", 7), Some(Permit::Recorded(answer())));
    desk.wait(Duration::from_secs(240));
    assert_eq!(desk.book.key_count(SHARD), 0);
    assert_eq!(desk.request(1_000_002, "k0", 7), Some(Permit::Granted));
}

/// A report that nothing was sent overtakes its ask on the network: a permit for that ask would be
/// nobody's, and the caller's next try in doubt for nothing.
#[test]
fn an_ask_behind_its_report_gets_no_permit() {
    let mut desk = Desk::new();
    assert!(desk.report(1, "a", KeyOutcome::NotRun));
    assert_eq!(desk.request(1, "a", 7), Some(Permit::Unavailable));
    assert_eq!(desk.request(2, "a", 7), Some(Permit::Granted));
}

//! The owner of request keys, alone.

use {
    egretlb_requests::{
        BodyHash, IN_DOUBT_AFTER, KEY_RETENTION, KeyBook, KeyBookEffect, KeyBookEvent,
        MAX_KEYS_PER_SHARD, RequestId,
        keys::{
            KeyEntry, KeyOutcome, OutcomeReport, Permit, PermitAsk, PermitHolder, RecordedAnswer,
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
    book: KeyBook,
    now: Time,
    held: Held,
    log_up: bool,
    journal: Vec<KeyEntry>,
}

impl Desk {
    fn new() -> Self {
        let mut desk = Desk {
            book: KeyBook::new(),
            now: Time::from_secs(200_000),
            held: Held(Some(Epoch(1))),
            log_up: true,
            journal: Vec::new(),
        };
        desk.step(KeyBookEvent::Owned { shard: SHARD, epoch: Epoch(1) });
        desk
    }

    fn step(&mut self, event: KeyBookEvent) -> Vec<KeyBookEffect> {
        let mut out = Vec::new();
        self.book.step(self.now, event, &self.held, &mut out);
        for effect in out.clone() {
            if let KeyBookEffect::Journal { entry, ticket, .. } = effect
                && self.log_up
            {
                self.journal.push(entry);
                out.extend(self.step(KeyBookEvent::Journaled { ticket }));
            }
        }
        out
    }

    fn ask(&mut self, request: u64, key: &str, body: u64) -> Option<Permit> {
        let ask = PermitAsk {
            shard: SHARD,
            key: key_of(key),
            body: BodyHash(body),
            holder: holder(request),
        };
        let out = self.step(KeyBookEvent::Ask { ask });
        out.into_iter().find_map(|effect| match effect {
            KeyBookEffect::Answer { holder: to, permit, .. } if to == holder(request) => {
                Some(permit)
            }
            _ => None,
        })
    }

    fn report(&mut self, request: u64, key: &str, outcome: KeyOutcome) -> bool {
        let report =
            OutcomeReport { shard: SHARD, key: key_of(key), holder: holder(request), outcome };
        let out = self.step(KeyBookEvent::Report { report });
        out.iter().any(|effect| matches!(effect, KeyBookEffect::ReportDone { .. }))
    }

    fn wait(&mut self, span: Duration) {
        self.now = self.now + span;
        self.step(KeyBookEvent::Tick);
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
    assert_eq!(desk.ask(1, "a", 7), Some(Permit::Granted));
    assert_eq!(desk.ask(2, "a", 7), Some(Permit::InProgress));
    assert!(desk.report(1, "a", KeyOutcome::Ran(answer())));
    assert_eq!(desk.ask(3, "a", 7), Some(Permit::Recorded(answer())));
}

/// A caller uses one key for two filings by mistake: the second must not be taken for the first,
/// nor run under its key.
#[test]
fn a_key_with_another_body_is_refused() {
    let mut desk = Desk::new();
    assert_eq!(desk.ask(1, "a", 7), Some(Permit::Granted));
    assert_eq!(desk.ask(2, "a", 8), Some(Permit::OtherBody));
    desk.report(1, "a", KeyOutcome::Ran(answer()));
    assert_eq!(desk.ask(3, "a", 8), Some(Permit::OtherBody));
}

#[test]
fn a_key_that_did_not_run_is_free_again() {
    let mut desk = Desk::new();
    desk.ask(1, "a", 7);
    assert!(desk.report(1, "a", KeyOutcome::NotRun));
    assert_eq!(desk.ask(2, "a", 7), Some(Permit::Granted));
}

/// The entry dies after it got the permit, and nobody reports: the caller is told after a while
/// that the filing may have run, not that it is still in progress, and it isn't run again.
#[test]
fn a_key_without_report_falls_in_doubt() {
    let mut desk = Desk::new();
    desk.ask(1, "a", 7);
    desk.wait(IN_DOUBT_AFTER);
    assert_eq!(desk.ask(2, "a", 7), Some(Permit::InDoubt));
    assert!(desk.report(1, "a", KeyOutcome::Ran(answer())));
    assert_eq!(desk.ask(3, "a", 7), Some(Permit::Recorded(answer())));
}

/// The log is down: a caller is refused at once rather than after a wait, and an intent whose fate
/// is unknown doesn't leave its key closed.
#[test]
fn no_permit_while_the_log_is_down() {
    let mut desk = Desk::new();
    desk.log_up = false;
    assert_eq!(desk.ask(1, "a", 7), None);
    let refused = desk.step(KeyBookEvent::LogState { up: false });
    let told = refused.iter().any(|effect| {
        matches!(effect, KeyBookEffect::Answer { permit: Permit::NoPermit, holder: to, .. }
            if *to == holder(1))
    });
    assert!(told, "{refused:?}");
    assert_eq!(desk.ask(2, "b", 7), Some(Permit::NoPermit));
    desk.log_up = true;
    desk.step(KeyBookEvent::LogState { up: true });
    assert_eq!(desk.ask(3, "a", 7), Some(Permit::Granted));
}

#[test]
fn no_permit_without_authority() {
    let mut desk = Desk::new();
    desk.held = Held(None);
    assert_eq!(desk.ask(1, "a", 7), Some(Permit::NoPermit));
    desk.held = Held(Some(Epoch(2)));
    assert_eq!(desk.ask(2, "a", 7), Some(Permit::NoPermit));
}

/// The owner is replaced: what it had promised stands, whether its successor reads a snapshot or
/// entry by entry.
#[test]
fn a_successor_knows_every_key() {
    let mut old = Desk::new();
    old.ask(1, "ran", 7);
    old.report(1, "ran", KeyOutcome::Ran(answer()));
    old.ask(2, "open", 7);
    old.ask(3, "free", 7);
    old.report(3, "free", KeyOutcome::NotRun);
    let mut by_entries = KeyBook::new();
    for entry in &old.journal {
        by_entries.replay(SHARD, entry);
    }
    let mut by_snapshot = KeyBook::new();
    by_snapshot.restore(SHARD, old.book.snapshot(old.now, SHARD));
    for book in [by_entries, by_snapshot] {
        let mut new = Desk::new();
        new.book = book;
        new.step(KeyBookEvent::Owned { shard: SHARD, epoch: Epoch(1) });
        assert_eq!(new.ask(11, "ran", 7), Some(Permit::Recorded(answer())));
        assert_eq!(new.ask(12, "open", 7), Some(Permit::InProgress));
        assert_eq!(new.ask(13, "free", 7), Some(Permit::Granted));
        assert!(new.report(2, "open", KeyOutcome::Ran(answer())));
        assert_eq!(new.ask(14, "open", 7), Some(Permit::Recorded(answer())));
    }
}

/// More keys come than fit: one is refused, none is forgotten before its time. After that time a
/// key is new again.
#[test]
fn keys_are_kept_for_their_time_and_no_more_than_fit() {
    let mut desk = Desk::new();
    for i in 0..MAX_KEYS_PER_SHARD as u64 {
        desk.ask(i, &format!("k{i}"), 7);
        desk.report(i, &format!("k{i}"), KeyOutcome::Ran(answer()));
    }
    assert_eq!(desk.ask(1_000_000, "one-more", 7), Some(Permit::NoPermit));
    desk.wait(KEY_RETENTION - Duration::from_secs(120));
    assert_eq!(desk.ask(1_000_001, "k0", 7), Some(Permit::Recorded(answer())));
    desk.wait(Duration::from_secs(240));
    assert_eq!(desk.book.key_count(SHARD), 0);
    assert_eq!(desk.ask(1_000_002, "k0", 7), Some(Permit::Granted));
}

/// A report that nothing was sent overtakes its ask on the network: a permit for that ask would be
/// nobody's, and the caller's next try in doubt for nothing.
#[test]
fn an_ask_behind_its_report_gets_no_permit() {
    let mut desk = Desk::new();
    assert!(desk.report(1, "a", KeyOutcome::NotRun));
    assert_eq!(desk.ask(1, "a", 7), Some(Permit::NoPermit));
    assert_eq!(desk.ask(2, "a", 7), Some(Permit::Granted));
}

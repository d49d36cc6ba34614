//! A leader that loses its authority logs that.

mod support;

use {
    egretlb_types::{Epoch, Time},
    egretlb_workflow::{AppendResult, Leadership, LeadershipEffect, Limits},
    std::time::Duration,
    support::{lines, step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Creates a leader that has just been elected.
fn elected(now: Time) -> Leadership {
    let mut leadership = Leadership::new(now, "node".to_owned(), 1, 0, Limits::default());
    let mut out = Vec::new();
    let now = now + 4 * SECOND;
    leadership.on_read_sent(now);
    leadership.on_read(now);
    leadership.tick(now, true, &mut out);
    // A pause of the process restarts the timeout for the last leader's heartbeat.
    let now = now + Duration::from_millis(500);
    for tenth in 0..30 {
        let now = now + tenth * Duration::from_millis(100);
        leadership.on_read_sent(now);
        leadership.on_read(now);
        leadership.tick(now, true, &mut out);
    }
    let claimed = out.iter().any(|effect| matches!(effect, LeadershipEffect::Claim { .. }));
    assert!(claimed, "{out:?}");
    let Some(LeadershipEffect::Claim { records, .. }) = out.pop() else { panic!("no claim") };
    let record = records[0].clone();
    let mut ledger = egretlb_workflow::Ledger::default();
    ledger.apply(egretlb_types::Offset(0), &record.key, &record.value).expect("a record");
    let leader = ledger.leader().expect("it was just read").clone();
    leadership.on_leader_record(now + 3 * SECOND, &leader, &mut out);
    assert_eq!(leadership.term(), Some(Epoch(1)));
    leadership
}

/// A leader without acknowledged appends logs once that it has suspended its commands, and once
/// that it resumes.
#[test]
fn told_once() {
    let start = Time::from_secs(100);
    let mut leadership = elected(start);
    lines::collect();
    let mut out = Vec::new();
    let begin = start + 8 * SECOND;
    for tenth in 0..80 {
        leadership.tick(begin + tenth * Duration::from_millis(100), true, &mut out);
    }
    let suspended = lines::take();
    assert_eq!(lines::of(&suspended, "orders_suspended").len(), 1, "{suspended:?}");
    let sent = begin + 8 * SECOND;
    leadership.on_append(sent, sent, AppendResult::Done, &mut out);
    leadership.tick(sent, true, &mut out);
    leadership.tick(sent + SECOND, true, &mut out);
    let lines = lines::take();
    let resumed = lines::of(&lines, "orders_resumed");
    assert_eq!(resumed.len(), 1, "{lines:?}");
    let after: u64 = resumed[0].get("after_ms").parse().expect("a number");
    assert!((4_000..8_000).contains(&after), "{after}");
}

/// The same in a simulated fleet: the former leader logs it, and a leader is elected once the store
/// is back.
#[test]
fn store_away() {
    let mut world = World::new(41, 2, 4, Limits::default());
    world.run(2 * SECOND);
    lines::collect();
    world.store_down = true;
    world.run(3 * SECOND);
    assert!(lines::of(&lines::take(), "orders_suspended").is_empty(), "too early");
    world.run(4 * SECOND);
    assert_eq!(lines::of(&lines::take(), "orders_suspended").len(), 1);
    world.store_down = false;
    let id = world.submit(1, &submission(vec![step(2, 300)]));
    assert!(world.run_until(10 * SECOND, |world| world.completed(id)).is_some());
}

/// Nothing is logged while the store answers.
#[test]
fn calm() {
    let mut world = World::new(42, 2, 4, Limits::default());
    lines::collect();
    world.run(10 * SECOND);
    assert!(lines::of(&lines::take(), "orders_suspended").is_empty());
}

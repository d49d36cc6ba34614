//! The load of a silent store: clients keep coming, and neither appends nor reads are answered.

use {
    egretlb_runtime::{SILENT_AFTER, STUCK_AFTER, StoreHealth},
    egretlb_types::Time,
    std::time::Duration,
};

/// Interval between two clients, of a VM's share of 45 each second.
const CLIENT_INTERVAL: Duration = Duration::from_millis(20);

/// How long clients wait.
const DEADLINE: Duration = Duration::from_secs(3);

/// The outcome of a client's request, and when it is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Stored(Time),
    Rejected(Time),
}

/// Plays a store that is silent for `outage`: an append is answered at its end, reads up to `read_delay` later.
/// Returns the arrival of each client and the outcome of its request.
fn play(outage: Duration, read_delay: Duration) -> Vec<(Time, Outcome)> {
    let silent_from = Time::from_secs(100);
    let silent_until = silent_from + outage;
    let end = silent_until + Duration::from_secs(1);
    let mut health =
        StoreHealth { append_started: Some(silent_from), read_answered: Some(silent_from) };
    let (mut now, mut outcomes, mut queued) = (silent_from, Vec::new(), Vec::new());
    while now < end {
        if now >= silent_until + read_delay {
            health.read_answered = Some(now);
        }
        if now >= silent_until {
            outcomes.extend(queued.drain(..).map(|came| (came, Outcome::Stored(now))));
            health.append_started = None;
        }
        if health.is_stuck(now) {
            outcomes.extend(queued.drain(..).map(|came| (came, Outcome::Rejected(now))));
        }
        if health.accepts_records(now) {
            queued.push(now);
        } else {
            outcomes.push((now, Outcome::Rejected(now)));
        }
        now = now + CLIENT_INTERVAL;
    }
    outcomes
}

/// Guards against clients that wait for a silent store until their deadline.
#[test]
fn rejected_in_time() {
    for outage_ms in [1_500, 4_200, 9_000] {
        let outcomes = play(Duration::from_millis(outage_ms), Duration::from_millis(700));
        for (came, outcome) in outcomes {
            let (Outcome::Stored(at) | Outcome::Rejected(at)) = outcome;
            assert!(at.since(came) <= STUCK_AFTER, "{outage_ms}: {came:?} {outcome:?}");
            assert!(at.since(came) < DEADLINE);
        }
    }
}

/// Guards against clients that are held although the process knows that the store is silent.
#[test]
fn later_ones_at_once() {
    let outcomes = play(Duration::from_millis(4_200), Duration::ZERO);
    let known_at = Time::from_secs(100) + STUCK_AFTER;
    let after = outcomes.iter().filter(|(came, _)| *came > known_at);
    assert!(after.clone().count() > 100);
    let held = |(came, outcome): &&(Time, Outcome)| *outcome != Outcome::Rejected(*came);
    let back = Time::from_secs(100) + Duration::from_millis(4_200);
    assert_eq!(after.filter(held).filter(|(came, _)| *came < back).count(), 0);
}

/// Guards against rejecting clients of a slow store, whose appends and reads take half a second.
#[test]
fn slow_store_accepted() {
    let began = Time::from_secs(100);
    for ms in 0..1_000 {
        let now = began + Duration::from_millis(ms);
        let append_started = Some(began + Duration::from_millis(ms / 500 * 500));
        // A read that waits for 0.6 s for a record and takes 0.5 s.
        let health = StoreHealth { append_started, read_answered: Some(began) };
        assert!(health.accepts_records(now), "{ms}");
    }
    assert!(SILENT_AFTER > Duration::from_millis(1_100));
}

/// Guards against a process that rejects everything before its first read.
#[test]
fn accepts_before_first_read() {
    assert!(StoreHealth::default().accepts_records(Time::from_secs(1)));
}

//! No backend server ever has more requests open than it has slots.

mod support;

use {
    egretlb_requests::Protections,
    std::time::Duration,
    support::faults::{CALM, Conditions, Fault, Kind, Step, run_cell_in},
};

const SEEDS: std::ops::Range<u64> = 100..106;

/// Load above the servers' capacity, so that every granted slot is used at once.
const BUSY: Conditions = Conditions { gap_ms: 16, ..CALM };

/// The same, with messages that overtake each other by up to 1.5 s.
const LATE: Conditions = Conditions { jitter: Duration::from_millis(1_500), ..BUSY };

/// Exchanges that outlast the rest of a lease.
const LONG: Conditions = Conditions { gap_ms: 400, work_ms: (9_000, 9_950), ..CALM };

const SENT: &[Step] = &[Step::Sent];

/// Steps at which slots have just been taken.
const AFTER_SEND: &[Step] = &[Step::Sent, Step::Finished, Step::Answered];

fn overloads(
    conditions: Conditions,
    steps: &[Step],
    faults: &[Fault],
    protections: Protections,
) -> Vec<String> {
    let mut found = Vec::new();
    for step in steps {
        let faults: Vec<_> = faults.iter().map(|fault| (*step, *fault)).collect();
        for seed in SEEDS {
            let cell = run_cell_in(conditions, Kind::Idempotent, &faults, protections, seed);
            found.extend(cell.violations);
        }
    }
    found.retain(|text| text.contains("requests at once"));
    found
}

/// Guards against a late grant that the grantor doesn't count any more.
#[test]
fn late_grants_are_dropped() {
    let unprotected = Protections { fence_grants: false, ..Protections::default() };
    assert_ne!(overloads(LATE, SENT, &[], unprotected), Vec::<String>::new());
    assert_eq!(overloads(LATE, SENT, &[], Protections::default()), Vec::<String>::new());
}

/// The grantor dies, and one entry that its successor can't reach keeps sending under its lease.
/// Guards against granting those slots to others.
#[test]
fn a_new_grantor_waits() {
    let faults = [Fault::ShareOwnerKilled, Fault::AsksLost];
    let unprotected = Protections { await_predecessor_expiry: false, ..Protections::default() };
    assert_ne!(overloads(BUSY, SENT, &faults, unprotected), Vec::<String>::new());
    assert_eq!(overloads(BUSY, SENT, &faults, Protections::default()), Vec::<String>::new());
}

/// Guards against granting a dead entry's slots to others before its exchanges have ended.
#[test]
fn exchanges_outlast_their_lease() {
    let faults = [Fault::EntryKilled];
    let unprotected = Protections { await_open_exchanges: false, ..Protections::default() };
    assert_ne!(overloads(LONG, AFTER_SEND, &faults, unprotected), Vec::<String>::new());
    assert_eq!(overloads(LONG, AFTER_SEND, &faults, Protections::default()), Vec::<String>::new());
}

/// The clock of an entry that can't reach its grantor runs slow. Guards against overload within the
/// drift margin; far beyond it the checker must find a violation.
#[test]
fn clock_drift() {
    let faults = [Fault::AsksLost];
    let within = Conditions { slow_clock_permille: 9, ..BUSY };
    assert_eq!(overloads(within, SENT, &faults, Protections::default()), Vec::<String>::new());
    let beyond = Conditions { slow_clock_permille: 700, ..BUSY };
    assert_ne!(overloads(beyond, SENT, &faults, Protections::default()), Vec::<String>::new());
}

/// Guards against overload under load, late messages, a dead grantor and a dead entry combined.
#[test]
fn combined_faults() {
    let faults = [Fault::ShareOwnerKilled, Fault::EntryKilled];
    for conditions in [BUSY, LATE, LONG] {
        assert_eq!(
            overloads(conditions, SENT, &faults, Protections::default()),
            Vec::<String>::new()
        );
    }
}

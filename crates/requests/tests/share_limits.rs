//! No backend server ever has more open than its slots, whoever dies and whatever comes late.

mod support;

use {
    egretlb_requests::Protections,
    std::time::Duration,
    support::faults::{Around, CALM, Fault, Kind, Step, run_cell_in},
};

const SEEDS: std::ops::Range<u64> = 100..106;

/// More load than the servers can take, so that every slot granted is used at once.
const BUSY: Around = Around { gap_ms: 16, ..CALM };

/// The same, with messages that overtake each other by up to a second and a half.
const LATE: Around = Around { jitter: Duration::from_millis(1_500), ..BUSY };

/// Exchanges that last longer than the rest of a lease.
const LONG: Around = Around { gap_ms: 400, work_ms: (9_000, 9_950), ..CALM };

const SENT: &[Step] = &[Step::Sent];

/// Times at which slots have just been taken, whatever was asked last.
const DIES: &[Step] = &[Step::Sent, Step::Finished, Step::Answered];

fn overloads(
    around: Around,
    steps: &[Step],
    faults: &[Fault],
    protections: Protections,
) -> Vec<String> {
    let mut found = Vec::new();
    for step in steps {
        let faults: Vec<_> = faults.iter().map(|fault| (*step, *fault)).collect();
        for seed in SEEDS {
            let cell = run_cell_in(around, Kind::Idempotent, &faults, protections, seed);
            found.extend(cell.violations);
        }
    }
    found.retain(|text| text.contains("requests at once"));
    found
}

/// Answers of a grantor come late, after the entry has asked again: what they grant isn't in the
/// grantor's books any more, and a worker gets more than it has slots for.
#[test]
fn late_grants_are_dropped() {
    let off = Protections { fence_grants: false, ..Protections::default() };
    assert_ne!(overloads(LATE, SENT, &[], off), Vec::<String>::new());
    assert_eq!(overloads(LATE, SENT, &[], Protections::default()), Vec::<String>::new());
}

/// The grantor dies, and one entry can't be reached by its successor but goes on sending under its
/// lease: the successor must not give those slots to others meanwhile.
#[test]
fn a_new_grantor_waits() {
    let faults = [Fault::ShareOwnerKilled, Fault::AsksLost];
    let off = Protections { await_predecessor_expiry: false, ..Protections::default() };
    assert_ne!(overloads(BUSY, SENT, &faults, off), Vec::<String>::new());
    assert_eq!(overloads(BUSY, SENT, &faults, Protections::default()), Vec::<String>::new());
}

/// An entry dies with long requests under way, which its workers go on with: their slots must not
/// be given to others before those have ended.
#[test]
fn exchanges_outlast_their_lease() {
    let faults = [Fault::EntryKilled];
    let off = Protections { await_open_exchanges: false, ..Protections::default() };
    assert_ne!(overloads(LONG, DIES, &faults, off), Vec::<String>::new());
    assert_eq!(overloads(LONG, DIES, &faults, Protections::default()), Vec::<String>::new());
}

/// The clock of an entry that is cut off from its grantor runs slow, so that it takes its lease for
/// longer than it is. Within the margin no worker gets too much; far beyond it the checker notices.
#[test]
fn clocks_run_apart() {
    let faults = [Fault::AsksLost];
    let within = Around { slow_clock_permille: 9, ..BUSY };
    assert_eq!(overloads(within, SENT, &faults, Protections::default()), Vec::<String>::new());
    let beyond = Around { slow_clock_permille: 700, ..BUSY };
    assert_ne!(overloads(beyond, SENT, &faults, Protections::default()), Vec::<String>::new());
}

/// Everything at once: load, late messages, a dead grantor and a dead entry.
#[test]
fn all_of_it_together() {
    let faults = [Fault::ShareOwnerKilled, Fault::EntryKilled];
    for around in [BUSY, LATE, LONG] {
        assert_eq!(overloads(around, SENT, &faults, Protections::default()), Vec::<String>::new());
    }
}

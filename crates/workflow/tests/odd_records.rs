//! Malformed records from another writer must neither crash the reader nor change the state of
//! other records.
//!
//! Records are generated from fixed seeds; a seed that finds a fault is added to the list.

mod support;

use {
    bolero::generator::bolero_generator::{
        TypeGenerator,
        driver::{Options, Rng},
    },
    egretlb_types::Offset,
    egretlb_workflow::{Entry, Key, Ledger, Outcome, Progress, Record, WorkflowId, WorkflowState},
    rand::{SeedableRng, rngs::StdRng},
    support::{step, submission},
};

const SEEDS: [u64; 8] = [1, 7, 23, 99, 1_871, 40_213, 777_777, 20_251_202];

const DRAWS_PER_SEED: usize = 200;

/// Version of the value encoding, the first byte of each value.
const VERSION: u8 = 8;

const WORKFLOW: WorkflowId = WorkflowId(1);

/// Valid records of one running workflow.
fn own_records() -> Vec<Record> {
    let progress = Progress { started: true, ..Progress::default() };
    vec![
        Record::new(Key::Submission(WORKFLOW), &submission(vec![step(3, 100)])),
        Record::new(Key::Progress(WORKFLOW), &progress),
    ]
}

/// Keys of another writer: malformed, or of unknown workflows and waves.
fn key(kind: u8, bytes: &[u8]) -> Vec<u8> {
    match kind % 5 {
        0 => bytes.to_vec(),
        1 => Key::Submission(WorkflowId(9)).to_bytes(),
        2 => Key::Progress(WorkflowId(9)).to_bytes(),
        3 => Key::Wave(9).to_bytes(),
        _ => [b"p/", bytes].concat(),
    }
}

/// Guards against draws that are all rejected for their version.
#[test]
fn version_is_current() {
    assert!(own_records().iter().all(|record| record.value.first() == Some(&VERSION)));
}

#[test]
fn valid_records_unaffected() {
    let options = Options::default().with_max_len(1_024);
    for seed in SEEDS {
        let mut driver = Rng::new(StdRng::seed_from_u64(seed), &options);
        type Draw = Vec<(u8, Vec<u8>, Vec<u8>, bool)>;
        let draws = std::iter::from_fn(|| Draw::generate(&mut driver));
        for draw in draws.take(DRAWS_PER_SEED) {
            let mut ledger = Ledger::default();
            let mut offset = Offset(0);
            let mut apply = |ledger: &mut Ledger, key: &[u8], value: &[u8]| {
                offset = offset.next();
                ledger.apply(offset, key, value)
            };
            for record in own_records() {
                apply(&mut ledger, &record.key, &record.value).expect("a record of this crate");
            }
            for (kind, name, value, has_version_prefix) in &draw {
                // Some values start with the current version, so that they reach the decoder.
                let value = if *has_version_prefix {
                    [&[VERSION], &value[..]].concat()
                } else {
                    value.clone()
                };
                let _ = apply(&mut ledger, &key(*kind, name), &value);
            }
            let entry = ledger.get(WORKFLOW).expect("it was submitted");
            assert_eq!(entry.state(), WorkflowState::Running, "{draw:?}");
            assert!(entry.submission.is_some());
            assert_eq!(ledger.roster_pages().count(), 0);
            assert!(ledger.leader().is_none());
        }
    }
}

/// Guards against memory use by unreadable progress records of unknown workflows.
#[test]
fn unreadable_progress_ignored() {
    let mut ledger = Ledger::default();
    for number in 0..100 {
        let key = Key::Progress(WorkflowId(number)).to_bytes();
        assert!(ledger.apply(Offset(number), &key, b"\xff").is_err());
    }
    assert_eq!(ledger.len(), 0);
}

/// Guards against cancelling a workflow because of a malformed cancellation record.
#[test]
fn malformed_cancellation() {
    let mut ledger = Ledger::default();
    for (record, offset) in own_records().into_iter().zip(1..) {
        ledger.apply(Offset(offset), &record.key, &record.value).expect("a record of this crate");
    }
    let key = Key::Cancel(WORKFLOW).to_bytes();
    for value in [&b"\xff"[..], b"cancel", &[VERSION], &[VERSION, 7], &[VERSION, 0]] {
        let _ = ledger.apply(Offset(10), &key, value);
        assert_eq!(
            ledger.get(WORKFLOW).map(Entry::state),
            Some(WorkflowState::Running),
            "{value:?}"
        );
    }
    let own = Record::new(Key::Cancel(WORKFLOW), &true);
    ledger.apply(Offset(11), &own.key, &own.value).expect("a record of this crate");
    let cancelled = WorkflowState::Ended(Outcome::Cancelled);
    assert_eq!(ledger.get(WORKFLOW).map(Entry::state), Some(cancelled));
}

//! Validation of workflows, and parsing of IDs and records.

mod support;

use {
    egretlb_types::Offset,
    egretlb_workflow::{
        Key, Ledger, Progress, Record, RecordError, Repeat, SpecError, TaskId, Workflow,
        WorkflowId, WorkflowState,
    },
    support::{step, submission},
};

fn with_steps(steps: Vec<egretlb_workflow::Step>) -> Workflow {
    submission(steps).workflow
}

fn after(mut step: egretlb_workflow::Step, number: u16) -> egretlb_workflow::Step {
    step.after.push(number);
    step
}

#[test]
fn workflows_checked() {
    assert_eq!(with_steps(vec![step(1, 1), after(step(2, 1), 0)]).check(), Ok(()));
    assert_eq!(with_steps(vec![]).check(), Err(SpecError::NoSteps));
    assert_eq!(with_steps(vec![step(0, 1)]).check(), Err(SpecError::TaskCount { step: 0 }));
    let itself = with_steps(vec![after(step(1, 1), 0)]);
    assert_eq!(itself.check(), Err(SpecError::After { step: 0, after: 0 }));
    let later = with_steps(vec![after(step(1, 1), 1), step(1, 1)]);
    assert_eq!(later.check(), Err(SpecError::After { step: 0, after: 1 }));
    let mut large = with_steps(vec![step(1, 1)]);
    large.payload = "x".repeat(4_001).into();
    assert_eq!(large.check(), Err(SpecError::PayloadTooLong));
    let mut endless = with_steps(vec![step(1, 1)]);
    endless.repeat = Some(Repeat { first_ms: 0, every_ms: 0, count: 2 });
    assert_eq!(endless.check(), Err(SpecError::Repeat));
}

#[test]
fn critical_path_is_longest() {
    let steps = vec![step(1, 500), step(1, 200), after(step(3, 300), 1), after(step(1, 100), 2)];
    assert_eq!(with_steps(steps).critical_path_ms(), 600);
}

#[test]
fn ids_read_back() {
    let task: TaskId = "5c0e7a21d94b36f8.0.1.17".parse().expect("it is a task's id");
    assert_eq!(task.to_string(), "5c0e7a21d94b36f8.0.1.17");
    for bad in ["5c0e7a21d94b36f8.0.1", "5C0E7A21D94B36F8.0.1.1", "5c0e7a21d94b36f8.0.1.1.1", ""] {
        assert!(bad.parse::<TaskId>().is_err(), "{bad}");
    }
}

/// Guards against malformed records that change the ledger.
#[test]
fn broken_records() {
    let mut ledger = Ledger::default();
    let id = WorkflowId(7);
    let good = Record::new(Key::Submission(id), &submission(vec![step(1, 1)]));
    ledger.apply(Offset(0), &good.key, &good.value).expect("it is whole");
    let mut cases = vec![(b"w/xyz".to_vec(), vec![1]), (b"other".to_vec(), vec![1])];
    cases.push((Key::Progress(id).to_bytes(), vec![9, 0]));
    cases.push((Key::Submission(WorkflowId(8)).to_bytes(), good.value[..5].to_vec()));
    for (key, value) in cases {
        assert!(ledger.apply(Offset(1), &key, &value).is_err());
    }
    assert_eq!(
        ledger.apply(Offset(1), &Key::Progress(id).to_bytes(), &[9, 0]),
        Err(RecordError::UnsupportedVersion { version: 9 })
    );
    assert_eq!(ledger.get(id).map(egretlb_workflow::Entry::state), Some(WorkflowState::Queued));
    assert_eq!(ledger.iter().count(), 1);
}

/// Guards against older records of a key that overwrite newer ones.
#[test]
fn older_progress_ignored() {
    let mut ledger = Ledger::default();
    let id = WorkflowId(7);
    let started =
        Record::new(Key::Progress(id), &Progress { started: true, ..Progress::default() });
    let fresh = Record::new(Key::Progress(id), &Progress::default());
    let submitted = Record::new(Key::Submission(id), &submission(vec![step(1, 1)]));
    ledger.apply(Offset(9), &started.key, &started.value).expect("it is whole");
    ledger.apply(Offset(1), &submitted.key, &submitted.value).expect("it is whole");
    ledger.apply(Offset(2), &fresh.key, &fresh.value).expect("it is whole");
    assert_eq!(ledger.get(id).map(egretlb_workflow::Entry::state), Some(WorkflowState::Running));
}

/// Guards against records other than a client's being accepted from another process.
#[test]
fn only_clients_records_pass() {
    let good = Record::new(Key::Cancel(WorkflowId(1)), &true);
    assert_eq!(Record::from_bytes(&good.to_bytes()), Some(good));
    let progress = Record::new(Key::Progress(WorkflowId(1)), &Progress::default());
    assert_eq!(Record::from_bytes(&progress.to_bytes()), None);
    assert_eq!(Record::from_bytes(&[]), None);
    assert_eq!(Record::from_bytes(&[200, 1, 2]), None);
}

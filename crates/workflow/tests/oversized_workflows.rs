//! Workflows whose sizes or schedules would exhaust the leader's memory, from clients and from the store.

mod support;

use {
    egretlb_types::Offset,
    egretlb_workflow::{
        Key, Ledger, Limits, MAX_STEPS, MAX_TASKS, MAX_TASKS_PER_STEP, Record, RecordError, Repeat,
        SpecError, Step, Submission, WorkflowState,
    },
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Maximum size of a record in the store.
const MAX_RECORD_BYTES: usize = 256 * 1024;

fn repeated(steps: Vec<Step>, repeat: Repeat) -> Submission {
    let mut submission = submission(steps);
    submission.workflow.repeat = Some(repeat);
    submission
}

fn after(mut step: Step, number: u16) -> Step {
    step.after.push(number);
    step
}

/// Submissions that no version of the crate has accepted, or could run.
fn unreadable() -> Vec<Submission> {
    vec![
        submission(vec![]),
        submission(vec![step(0, 100)]),
        submission(vec![step(u32::MAX, 100)]),
        submission(vec![step(MAX_TASKS_PER_STEP + 1, 100)]),
        submission(vec![step(MAX_TASKS_PER_STEP, 100); 100]),
        submission(vec![step(1, 100); MAX_STEPS + 1]),
        submission(vec![after(step(1, 100), 0)]),
        submission(vec![step(1, 100), after(step(1, 100), u16::MAX)]),
    ]
}

/// Guards against stored submissions that stop each leader: by a failed allocation, or by a step that waits for one that
/// doesn't exist.
#[test]
fn stored_beyond_limits() {
    for (number, spoiled) in unreadable().iter().enumerate() {
        let mut world = World::new(1, 3, 2, Limits::default());
        world.run(2 * SECOND);
        let foreign = world.submit_foreign(9, spoiled);
        let own = world.submit(1, &submission(vec![step(4, 200)]));
        assert!(world.run_until(2 * SECOND, |world| world.completed(own)).is_some(), "{number}");
        assert_eq!(world.state(foreign), None, "{number}");
        // A later leader reads it with all other records.
        let leader = world.leader().expect("somebody leads");
        world.kill(leader);
        world.run(3 * SECOND);
        let own = world.submit(2, &submission(vec![step(4, 200)]));
        assert!(world.run_until(2 * SECOND, |world| world.completed(own)).is_some(), "{number}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "{number}");
    }
}

/// Guards against losing accepted workflows by a lower limit: what an earlier version accepted stays readable.
#[test]
fn largest_stay_readable() {
    let mut largest = submission(vec![step(1, 100); 1_000]);
    largest.workflow.steps[999].count = 100_000;
    largest.workflow.payload = "x".repeat(4_000).into();
    largest.workflow.repeat =
        Some(Repeat { first_ms: u64::MAX, every_ms: u64::MAX, count: u32::MAX });
    let record = Record::new(Key::Submission(egretlb_workflow::WorkflowId(1)), &largest);
    let mut ledger = Ledger::default();
    assert!(ledger.apply(Offset(0), &record.key, &record.value).is_ok());
}

#[test]
fn reason_is_kept() {
    let record = Record::new(
        Key::Submission(egretlb_workflow::WorkflowId(1)),
        &submission(vec![step(u32::MAX, 100)]),
    );
    let error = Ledger::default().apply(Offset(0), &record.key, &record.value);
    assert_eq!(error, Err(RecordError::Limits(SpecError::TaskCount { step: 0 })));
}

/// Guards against accepting more tasks than the leader has memory for.
#[test]
fn total_is_limited() {
    let half = MAX_TASKS / 2;
    let largest = submission(vec![step(half, 100), step(half, 100)]);
    assert_eq!(largest.workflow.check(), Ok(()));
    let larger = submission(vec![step(half, 100), step(half, 100), step(1, 100)]);
    assert_eq!(larger.workflow.check(), Err(SpecError::TooManyTasks));
}

/// Guards against a schedule that is overdue by millions of occurrences: beginning all of them at once would exhaust the
/// leader's memory, and their progress would exceed a record.
#[test]
fn many_overdue() {
    let repeat = Repeat { first_ms: 0, every_ms: 1, count: u32::MAX };
    for steps in [vec![step(1, 50)], vec![step(1, 50); MAX_STEPS], vec![step(60_000, 50)]] {
        let mut world = World::new(1, 3, 2, Limits::default());
        world.run(2 * SECOND);
        let overdue = repeated(steps, repeat);
        assert_eq!(overdue.workflow.check(), Ok(()));
        let overdue = world.submit(1, &overdue);
        world.run(SECOND);
        let mut urgent = submission(vec![step(4, 200)]);
        urgent.workflow.steps[0].estimate_ms = 0;
        let other = world.submit(2, &urgent);
        world.run(2 * SECOND);
        assert_eq!(world.state(overdue), Some(WorkflowState::Running));
        assert!(world.checker.starts > 16, "{}", world.checker.starts);
        assert!(world.state(other).is_some());
        let largest = world.store.from(Offset(0)).map(|(_, record)| record.size()).max();
        assert!(largest.is_some_and(|bytes| bytes <= MAX_RECORD_BYTES), "{largest:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

/// Guards against leaving occurrences out that waited because too many were overdue.
#[test]
fn overdue_run_later() {
    let mut world = World::new(1, 3, 4, Limits::default());
    world.run(2 * SECOND);
    // Twenty occurrences of this size may be unfinished at once.
    let steps = (0..500).map(|number: u16| match number.checked_sub(1) {
        Some(before) => after(step(1, 5), before),
        None => step(1, 5),
    });
    let repeat = Repeat { first_ms: 0, every_ms: 1, count: 21 };
    let id = world.submit(1, &repeated(steps.collect(), repeat));
    world.run(60 * SECOND);
    assert!(world.completed(id), "{} starts", world.checker.starts);
    assert_eq!(world.checker.starts, 10_500);
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against times that wrap: an occurrence that is never due would begin at once.
#[test]
fn schedule_out_of_range() {
    let never = Repeat { first_ms: u64::MAX, every_ms: 1, count: 3 };
    let submission = repeated(vec![step(1, 50)], never);
    assert_eq!(submission.workflow.check(), Err(SpecError::RepeatRange));
    let far = Repeat { first_ms: 1, every_ms: u64::MAX / 2, count: 4 };
    assert_eq!(repeated(vec![step(1, 50)], far).workflow.check(), Err(SpecError::RepeatRange));
    let mut world = World::new(1, 3, 2, Limits::default());
    world.run(2 * SECOND);
    let once = Repeat { first_ms: 1_000, every_ms: u64::MAX, count: 3 };
    let mut foreign = repeated(vec![step(1, 50)], once);
    foreign.stretch_permille = u32::MAX;
    foreign.accepted_ms = u64::MAX;
    let foreign = world.submit_foreign(9, &foreign);
    let own = world.submit(1, &support::submission(vec![step(4, 200)]));
    world.run(2 * SECOND);
    assert!(world.completed(own));
    assert_eq!(world.state(foreign), Some(WorkflowState::Running));
    assert_eq!(world.checker.starts, 5);
}

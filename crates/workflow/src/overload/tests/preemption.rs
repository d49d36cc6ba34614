//! Tests of the private items of `preemption.rs`.

use super::*;

const SECOND: Duration = Duration::from_secs(1);
const URGENT: u64 = 0;
const PATIENT: u64 = 2;

fn task(workflow: u64, index: u32) -> TaskId {
    TaskId { workflow: WorkflowId(workflow), occurrence: 0, step: 0, index }
}

fn refresh(budget: &mut PreemptionBudget, now: Time, at_work: [u32; 2]) {
    let standing = |at_work| Standing { priority: 0, tasks: 14, at_work };
    let standings = (1..).zip(at_work).map(|(id, at_work)| (WorkflowId(id), standing(at_work)));
    budget.refresh(now, standings);
}

/// Number of stops within a minute if one is asked for every 100 ms, and those stopped are back at once.
fn stops_in_a_minute(priority: u64) -> usize {
    let (mut budget, begin) = (PreemptionBudget::new(Time::ZERO), Time::from_secs(100));
    let mut stops = 0;
    for round in 0..600 {
        let now = begin + Duration::from_millis(100) * round;
        refresh(&mut budget, now, [14, 0]);
        let allowed = |index: &u32| budget.rank(now, task(1, *index), priority).is_ok();
        if let Some(index) = (0..14).find(allowed) {
            budget.note_stop(now, task(1, index));
            stops += 1;
        }
    }
    stops
}

/// Guards against a workflow that is stopped without bound, and against patient batch tasks that use up all of its stops.
#[test]
fn stops_bounded_by_priority() {
    assert_eq!(stops_in_a_minute(URGENT), 10);
    assert_eq!(stops_in_a_minute(PATIENT), 5);
}

/// Guards against stopping the same task again before it was of use.
#[test]
fn same_task_spared() {
    let (mut budget, now) = (PreemptionBudget::new(Time::ZERO), Time::from_secs(100));
    refresh(&mut budget, now, [14, 14]);
    budget.note_stop(now, task(1, 3));
    for (later, expected) in [(10, Err(Refusal::StoppedRecently)), (11, Ok(()))] {
        let now = now + SECOND * later;
        refresh(&mut budget, now, [14, 14]);
        let rank = budget.rank(now, task(1, 3), URGENT).map(|_| ());
        assert_eq!(rank, expected, "{later} s");
    }
}

/// Guards against a workflow that loses one task after the other while others have all theirs at work.
#[test]
fn fullest_workflow_first() {
    let (mut budget, now) = (PreemptionBudget::new(Time::ZERO), Time::from_secs(100));
    refresh(&mut budget, now, [13, 14]);
    let rank = |budget: &PreemptionBudget, id| budget.rank(now, task(id, 0), URGENT);
    assert!(rank(&budget, 2) > rank(&budget, 1));
    budget.note_stop(now, task(2, 5));
    assert!(rank(&budget, 1) > rank(&budget, 2), "equal shares, fewer stops");
    refresh(&mut budget, now, [11, 14]);
    assert_eq!(rank(&budget, 1), Err(Refusal::MostlyAway));
}

/// Guards against a new leader that stops a task again which its predecessor had just stopped.
#[test]
fn spared_in_new_term() {
    let begin = Time::from_secs(100);
    let mut budget = PreemptionBudget::new(begin);
    for (later, allowed) in [(10, false), (11, true)] {
        let now = begin + SECOND * later;
        refresh(&mut budget, now, [14, 14]);
        assert_eq!(budget.rank(now, task(1, 0), URGENT).is_ok(), allowed, "{later} s");
    }
}

//! Tests of the private items of `order.rs`.

use super::*;

const NOW_MS: u64 = 1_000_000;

fn waiting(priority: u64, due_in_ms: i64) -> WaitingStep {
    WaitingStep {
        priority,
        long_running: false,
        begin_ms: NOW_MS.saturating_add_signed(due_in_ms - 1_000),
        due_ms: NOW_MS.saturating_add_signed(due_in_ms),
        remaining_ms: 500,
    }
}

/// Guards against an off-by-one at the limits of what is in time and what is late.
#[test]
fn limits_of_groups() {
    for (due_in_ms, expected) in [
        (500, Feasibility::InTime),
        (499, Feasibility::Late),
        (-1_500, Feasibility::Late),
        (-1_501, Feasibility::Hopeless),
    ] {
        assert_eq!(waiting(0, due_in_ms).feasibility(NOW_MS), expected, "{due_in_ms}");
    }
    let long_running = WaitingStep { long_running: true, ..waiting(0, -9_000) };
    assert_eq!(long_running.feasibility(NOW_MS), Feasibility::InTime);
}

/// Guards against orders that differ from their names.
#[test]
fn orders_differ() {
    let late_urgent = waiting(0, 0);
    let hopeless_urgent = waiting(0, -5_000);
    let patient = waiting(2, 5_000);
    let before = |order, a: &WaitingStep, b: &WaitingStep| {
        a.position(order, NOW_MS).1 < b.position(order, NOW_MS).1
    };
    assert!(before(QueueOrder::FeasibilityFirst, &patient, &late_urgent));
    assert!(before(QueueOrder::PriorityFirst, &hopeless_urgent, &patient));
    assert!(before(QueueOrder::HopelessLast, &late_urgent, &patient));
    assert!(before(QueueOrder::HopelessLast, &patient, &hopeless_urgent));
    assert!(before(QueueOrder::FeasibilityFirst, &waiting(2, 900), &waiting(2, 901)));
}

/// Guards against a path that misses a branch.
#[test]
fn longest_branch_counts() {
    let steps: [(u64, &[u16]); 4] = [(10, &[]), (5, &[0]), (20, &[0]), (1, &[1, 2])];
    assert_eq!(remaining_paths(steps.into_iter()), [31, 6, 21, 1]);
}

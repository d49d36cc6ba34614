//! Scheduled workflows.

mod support;

use {
    egretlb_workflow::{Limits, Repeat},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against occurrences that are late, lost or repeated, also across a leader change.
#[test]
fn occurrences_overlap() {
    let mut world = World::new(21, 3, 4, Limits::default());
    world.run(2 * SECOND);
    let mut submission = submission(vec![step(2, 1_500)]);
    let first_ms = world.now.as_micros() / 1_000 + 1_000;
    submission.workflow.repeat = Some(Repeat { first_ms, every_ms: 1_000, count: 5 });
    let id = world.submit(1, &submission);
    world.run(Duration::from_millis(900));
    assert_eq!(world.checker.starts, 0);
    world.run(Duration::from_millis(1_500));
    assert_eq!(world.checker.starts, 4);
    let leader = world.leader().expect("somebody leads");
    world.kill(leader);
    assert!(world.run_until(12 * SECOND, |world| world.completed(id)).is_some());
    assert_eq!(world.checker.starts, 10);
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

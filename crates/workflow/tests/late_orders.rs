//! Commands that get no answer and take effect seconds later or not at all.

mod support;

use {
    egretlb_workflow::{Limits, WorkflowId},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// An unconfirmed start that takes effect late doesn't run beside its replacement.
#[test]
fn late_starts() {
    let mut world = World::new(3, 3, 6, Limits::default());
    world.run(2 * SECOND);
    world.late_commands = 80;
    for id in 1..40 {
        world.submit(id, &submission(vec![step(4, 600)]));
        world.run(Duration::from_millis(150));
    }
    world.late_commands = 0;
    world.run(20 * SECOND);
    assert!((1..40).all(|id| world.completed(WorkflowId(id))));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Workers that leave starts unanswered don't use up the start window and stall the others.
#[test]
fn mute_workers() {
    let mut world = World::new(6, 2, 24, Limits::default());
    world.max_concurrent_commands = Some(2);
    for _ in 0..4 {
        let large = world.add_worker(64);
        world.workers[large].ignores_commands = true;
    }
    world.run(2 * SECOND);
    world.submit(1, &submission(vec![step(1_500, 100)]));
    world.run(3 * SECOND);
    let started = world.checker.starts;
    assert!(started > 1_400, "{started}");
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// An append whose answer was lost is repeated with the same number; with a new one, later appends
/// would be rejected.
#[test]
fn lost_appends() {
    let mut world = World::new(4, 3, 6, Limits::default());
    world.lost_appends = 350;
    world.run(4 * SECOND);
    for id in 1..20 {
        world.submit(id, &submission(vec![step(4, 300)]));
        world.run(Duration::from_millis(150));
    }
    world.run(10 * SECOND);
    assert!((1..20).all(|id| world.completed(WorkflowId(id))));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// While the store is unavailable leases are renewed, no task is lost or run again, and ends are
/// recorded afterwards.
#[test]
fn store_away() {
    let mut world = World::new(5, 3, 6, Limits::default());
    world.run(2 * SECOND);
    let leader = world.leader();
    let mut second = step(4, 500);
    second.after.push(0);
    let id = world.submit(1, &submission(vec![step(8, 1_500), second]));
    world.run(Duration::from_millis(300));
    world.store_down = true;
    world.run(3 * SECOND);
    assert_eq!(world.checker.starts, 12);
    world.store_down = false;
    assert!(world.run_until(SECOND, |world| world.completed(id)).is_some());
    assert_eq!(world.leader(), leader);
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

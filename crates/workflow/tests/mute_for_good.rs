//! A worker that answers polls and no order, for as long as it lives.

mod support;

use {
    egretlb_workflow::{Limits, WorkflowId},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// The roomiest worker answers polls and never an order. Tasks are tried there one after the other, and neither
/// their starts nor the stops of these are ever answered. A start that arrives after its lease is rejected, so
/// none can begin any more by then. Were an answer to the stop waited for, each of these tasks would never run
/// anywhere, and its workflow would never be complete.
#[test]
fn tasks_are_set_free() {
    for seed in 0..6 {
        let mut world = World::new(seed, 2, 6, Limits::default());
        let large = world.add_worker(64);
        world.workers[large].ignores_commands = true;
        world.run(2 * SECOND);
        for id in 1..=20 {
            world.submit(id, &submission(vec![step(4, 300)]));
            world.run(Duration::from_millis(300));
        }
        // A lease, and the work itself, a few times over: a task may be tried there again.
        world.run(25 * SECOND);
        let left: Vec<u64> = (1..=20).filter(|id| !world.completed(WorkflowId(*id))).collect();
        assert_eq!(left, Vec::<u64>::new(), "{seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "{seed}");
    }
}

/// Two of five orders arrive 2 to 12 s late, and all polls are answered. What is set free without
/// an answer must not run twice.
#[test]
fn late_ones_run_once() {
    for seed in 0..6 {
        let mut world = World::new(seed, 2, 6, Limits::default());
        world.run(2 * SECOND);
        world.late_commands = 400;
        for id in 1..=20 {
            world.submit(id, &submission(vec![step(4, 300)]));
            world.run(Duration::from_millis(300));
        }
        world.run(10 * SECOND);
        world.late_commands = 0;
        world.run(20 * SECOND);
        assert!((1..=20).all(|id| world.completed(WorkflowId(id))), "{seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "{seed}");
    }
}

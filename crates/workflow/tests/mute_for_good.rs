//! Workers that answer polls but no commands, or execute commands late.

mod support;

use {
    egretlb_workflow::{Limits, WorkflowId},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// The worker with the most free capacity never answers a start or stop. A start that arrives after its lease is
/// rejected, so after that time the task must be started elsewhere without waiting for an answer to its stop.
#[test]
fn unanswered_starts_are_retried_elsewhere() {
    for seed in 0..6 {
        let mut world = World::new(seed, 2, 6, Limits::default());
        let large = world.add_worker(64);
        world.workers[large].ignores_commands = true;
        world.run(2 * SECOND);
        for id in 1..=20 {
            world.submit(id, &submission(vec![step(4, 300)]));
            world.run(Duration::from_millis(300));
        }
        // Several times the lease and the run time, since a task may be started on that worker again.
        world.run(25 * SECOND);
        let incomplete: Vec<u64> =
            (1..=20).filter(|id| !world.completed(WorkflowId(*id))).collect();
        assert_eq!(incomplete, Vec::<u64>::new(), "{seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "{seed}");
    }
}

/// 40% of the commands are executed 2 to 12 s late, and all polls are answered. A task that was started elsewhere
/// without an answer must not run twice.
#[test]
fn late_commands_run_no_task_twice() {
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

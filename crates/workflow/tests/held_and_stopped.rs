//! Long-running tasks that a new leader preempts while it still waits for a lost worker.

mod support;

use {
    egretlb_types::MilliCores,
    egretlb_workflow::{Limits, Step, TaskId},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// A worker and the leader's VM fail together, so the next leader delays inherited tasks for nine seconds. Long-running
/// tasks that it found running and preempted for batch tasks must start again as soon as these are done: no other
/// worker can be running them.
#[test]
fn preempted_tasks_restart_at_once() {
    for seed in 0..8 {
        let mut world = World::new(seed, 3, 5, Limits::default());
        world.run(2 * SECOND);
        let long_running = Step { long_running: true, per_worker: 1, ..step(4, 0) };
        let mut long_running = long_running;
        long_running.resources.cpu = MilliCores(8_000);
        let id = world.submit(1, &submission(vec![long_running]));
        world.run(5 * SECOND);
        let idle = world.workers.iter().position(|worker| worker.running.is_empty());
        world.workers[idle.expect("a worker without tasks")].crash(&mut world.checker);
        let first = world.leader().expect("a leader");
        world.kill(first);
        let replaced = |world: &World| world.leader().is_some_and(|leader| leader != first);
        assert!(world.run_until(4 * SECOND, replaced).is_some(), "{seed}");
        // A task counts as started when a new leader finds it, and isn't preempted in its first three seconds.
        world.run(Duration::from_millis(3_200));
        world.submit(2, &submission(vec![step(8, 200)]));
        let task = |index| TaskId { workflow: id, occurrence: 0, step: 0, index };
        let all_run = |world: &World| (0..4).all(|i| world.checker.is_running(task(i)));
        assert!(world.run_until(SECOND, |world| !all_run(world)).is_some(), "{seed}");
        // Preempted long-running tasks wait for two seconds.
        let took = world.run_until(12 * SECOND, all_run);
        assert!(took.is_some_and(|took| took < Duration::from_millis(2_600)), "{seed}: {took:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "{seed}");
    }
}

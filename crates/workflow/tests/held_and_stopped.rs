//! Lasting tasks that a new leader stops while it still waits for a lost worker.

mod support;

use {
    egretlb_types::MilliCores,
    egretlb_workflow::{Limits, Step, TaskId},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// A worker and the leader's VM lose power together, so the next leader holds back what it inherits for nine seconds.
/// Clients' short work finds no room meanwhile, and lasting tasks are stopped for it. The leader has seen them run,
/// so nobody else can run them. Were they held back with the rest, their users would be without them until the
/// wait is over, although the short work is done and their room stands empty.
#[test]
fn come_back() {
    for seed in 0..8 {
        let mut world = World::new(seed, 3, 5, Limits::default());
        world.run(2 * SECOND);
        let lasting = Step { long_running: true, per_worker: 1, ..step(4, 0) };
        let mut lasting = lasting;
        lasting.resources.cpu = MilliCores(8_000);
        let id = world.submit(1, &submission(vec![lasting]));
        world.run(5 * SECOND);
        let idle = world.workers.iter().position(|worker| worker.running.is_empty());
        world.workers[idle.expect("one has no task")].crash(&mut world.checker);
        let first = world.leader().expect("somebody leads");
        world.kill(first);
        let led = |world: &World| world.leader().is_some_and(|leader| leader != first);
        assert!(world.run_until(4 * SECOND, led).is_some(), "{seed}");
        // A task that a leader has found counts as started then, and isn't stopped within its first three seconds.
        world.run(Duration::from_millis(3_200));
        world.submit(2, &submission(vec![step(8, 200)]));
        let task = |index| TaskId { workflow: id, occurrence: 0, step: 0, index };
        let all_run = |world: &World| (0..4).all(|i| world.checker.is_running(task(i)));
        assert!(world.run_until(SECOND, |world| !all_run(world)).is_some(), "{seed}");
        // Lasting tasks leave room to short ones for two seconds.
        let took = world.run_until(12 * SECOND, all_run);
        assert!(took.is_some_and(|took| took < Duration::from_millis(2_600)), "{seed}: {took:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "{seed}");
    }
}

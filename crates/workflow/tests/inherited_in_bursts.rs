//! Batch tasks arrive faster than they can be started, while a new leader takes over long-running tasks.

mod support;

use {
    egretlb_workflow::{Limits, TaskId},
    std::time::Duration,
    support::{long_running, step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Number of long-running tasks, each of half a worker.
const LONG_RUNNING: u32 = 8;

/// A leader's authority (4 s), the maximum lease (5.2 s), and 1 s to start a task.
const MAX_DOWNTIME: Duration = Duration::from_millis(10_200);

/// A worker and the leader's VM are lost in a burst of short batch tasks that uses up all starts, and others have room.
/// Guards against long-running tasks that wait until the burst is over, since the new leader hasn't seen them at work.
#[test]
fn long_running_restarted() {
    for seed in 0..4 {
        let mut world = World::new(seed, 3, 24, Limits::default());
        world.run(2 * SECOND);
        let id = world.submit(1, &submission(vec![long_running(LONG_RUNNING, 4)]));
        let task = |index| TaskId { workflow: id, occurrence: 0, step: 0, index };
        let all_run = |world: &World| (0..LONG_RUNNING).all(|i| world.checker.is_running(task(i)));
        world.run_until(3 * SECOND, all_run).expect("all run");
        world.run(SECOND);
        world.command_wait = Duration::from_millis(300);
        let burst = |world: &mut World, round: u64| {
            world.submit(100 + round, &submission(vec![step(60, 20)]));
            world.run(Duration::from_millis(100));
        };
        (0..20).for_each(|round| burst(&mut world, round));
        let runs_task = |worker: &support::worker::Worker| worker.is_running(task(0));
        let lost = world.workers.iter().position(runs_task).expect("the task runs");
        world.workers[lost].crash(&mut world.checker);
        let leader = world.leader().expect("a leader");
        world.kill(leader);
        let begin = world.now;
        for round in 20.. {
            burst(&mut world, round);
            if all_run(&world) {
                break;
            }
            assert!(world.now.since(begin) <= MAX_DOWNTIME, "seed {seed}");
        }
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

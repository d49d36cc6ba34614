//! Batch tasks arrive faster than they can be started, while workers leave.

mod support;

use {
    egretlb_workflow::{Limits, TaskId, WorkerState},
    std::time::Duration,
    support::{long_running, step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Number of long-running tasks, each of half a worker.
const LONG_RUNNING: u32 = 8;

/// Time within which a long-running task that has lost its worker must be at work again.
const MAX_DOWNTIME: Duration = Duration::from_secs(3);

/// Workers leave in a burst of short batch tasks that uses up all starts, and others have room. Guards against long-running
/// tasks that wait until the burst is over.
#[test]
fn long_running_restarted() {
    for seed in 0..4 {
        let mut world = World::new(seed, 2, 24, Limits::default());
        world.run(2 * SECOND);
        let lasting = world.submit(1, &submission(vec![long_running(LONG_RUNNING, 4)]));
        let tasks = (0..LONG_RUNNING).map(|index| TaskId {
            workflow: lasting,
            occurrence: 0,
            step: 0,
            index,
        });
        let tasks: Vec<TaskId> = tasks.collect();
        let all_run = |world: &World| tasks.iter().all(|task| world.checker.is_running(*task));
        world.run_until(3 * SECOND, all_run).expect("all run");
        world.run(SECOND);
        world.command_wait = Duration::from_millis(300);
        let burst = |world: &mut World, round: u64| {
            world.submit(100 + round, &submission(vec![step(60, 20)]));
            world.run(Duration::from_millis(100));
        };
        (0..20).for_each(|round| burst(&mut world, round));
        let busy: Vec<usize> = (0..world.workers.len())
            .filter(|number| {
                let running = &world.workers[*number].running;
                tasks.iter().any(|task| running.contains_key(task))
            })
            .take(2)
            .collect();
        for number in busy {
            world.workers[number].info.state = WorkerState::Draining;
        }
        let mut down_for = Duration::ZERO;
        let mut longest = Duration::ZERO;
        for round in 20..140 {
            burst(&mut world, round);
            down_for = if all_run(&world) {
                Duration::ZERO
            } else {
                down_for + Duration::from_millis(100)
            };
            longest = longest.max(down_for);
        }
        assert!(longest > Duration::ZERO, "seed {seed}: no task was moved");
        assert!(longest <= MAX_DOWNTIME, "seed {seed}: {longest:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

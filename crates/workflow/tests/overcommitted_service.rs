//! Long-running tasks that demand more than a service has, and batch tasks beside them.

mod support;

use {
    egretlb_workflow::{Limits, TaskId, WorkerState},
    std::time::Duration,
    support::{long_running, step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);
const WORKERS: usize = 10;
const LEAVING: usize = 2;
const CORES: u32 = 4;

/// Workers leave, and four of twenty long-running tasks wait for room.
fn overcommitted(seed: u64) -> (World, Vec<TaskId>) {
    let mut world = World::new(seed, 2, WORKERS, Limits::default());
    world.run(2 * SECOND);
    let workflow = world.submit(1, &submission(vec![long_running(20, CORES)]));
    let task = |index| TaskId { workflow, occurrence: 0, step: 0, index };
    let tasks: Vec<TaskId> = (0..20).map(task).collect();
    let all_run = |world: &World| tasks.iter().all(|task| world.checker.is_running(*task));
    world.run_until(5 * SECOND, all_run).expect("all run");
    for worker in &mut world.workers[..LEAVING] {
        worker.info.state = WorkerState::Draining;
    }
    world.run(6 * SECOND);
    (world, tasks)
}

/// Guards against batch tasks that wait for minutes while long-running tasks take each room freed for them.
#[test]
fn batch_served() {
    for seed in 0..4 {
        let (mut world, _) = overcommitted(seed);
        let ids: Vec<_> =
            (0..3).map(|id| world.submit(100 + id, &submission(vec![step(3, 500)]))).collect();
        let done = |world: &World| ids.iter().all(|id| world.completed(*id));
        let took = world.run_until(15 * SECOND, done);
        assert!(took.is_some_and(|took| took <= 12 * SECOND), "seed {seed}: {took:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

/// Guards against long-running tasks that are stopped for batch tasks in vain: others that wait take their places, and none
/// of the batch tasks runs.
#[test]
fn few_stopped_for_batch() {
    for seed in 0..4 {
        let (mut world, _) = overcommitted(seed);
        let leader = world.leader().expect("somebody leads");
        let preempted = |world: &mut World| {
            let scheduler = world.nodes[leader].scheduler.as_mut().expect("it leads");
            scheduler.take_stats().preempted
        };
        preempted(&mut world);
        let ids: Vec<_> =
            (0..6).map(|id| world.submit(100 + id, &submission(vec![step(3, 500)]))).collect();
        let done = |world: &World| ids.iter().all(|id| world.completed(*id));
        let took = world.run_until(30 * SECOND, done);
        let stopped = preempted(&mut world);
        assert!(stopped <= 8, "seed {seed}: {stopped} stopped, {took:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

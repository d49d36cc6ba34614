//! Long-running tasks that wait for room get what little is freed in the order of their downtimes.

mod support;

use {
    egretlb_types::Time,
    egretlb_workflow::{EndKind, Limits, TaskId, WorkerState, WorkflowId},
    rand::Rng,
    std::{collections::BTreeMap, time::Duration},
    support::{long_running, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Workers have eight cores, so each holds two tasks.
const CORES: u32 = 4;
const WORKERS: usize = 8;

/// Number of workers that leave; six tasks wait for room from then on.
const LEAVING: usize = 3;

/// Interval at which a run of the first step ends.
const END_INTERVAL: Duration = Duration::from_millis(500);

/// All waiting tasks take their turns within 3 s; their order counts once they have been down for 2 s.
const MAX_DOWNTIME: Duration = Duration::from_secs(6);

/// Guards against tasks that stay down for as long as others, which were stopped later, keep taking the capacity freed.
#[test]
fn longest_down_first() {
    for seed in 0..4 {
        let mut world = World::new(seed, 2, WORKERS, Limits::default());
        world.run(2 * SECOND);
        let (first, second) = (WorkflowId(1), WorkflowId(2));
        world.submit(1, &submission(vec![long_running(10, CORES)]));
        world.submit(2, &submission(vec![long_running(6, CORES)]));
        let task = |workflow, index| TaskId { workflow, occurrence: 0, step: 0, index };
        let tasks: Vec<TaskId> = (0..10)
            .map(|index| task(first, index))
            .chain((0..6).map(|index| task(second, index)))
            .collect();
        let all_run = |world: &World| tasks.iter().all(|task| world.checker.is_running(*task));
        world.run_until(5 * SECOND, all_run).expect("all run");
        for worker in &mut world.workers[..LEAVING] {
            worker.info.state = WorkerState::Draining;
        }
        world.run(SECOND);
        let mut last_run: BTreeMap<TaskId, Time> = BTreeMap::new();
        let mut longest = Duration::ZERO;
        for _ in 0..60 {
            let running: Vec<TaskId> =
                tasks[..10].iter().filter(|t| world.checker.is_running(**t)).copied().collect();
            if !running.is_empty() {
                let ended = running[world.rng.random_range(0..running.len())];
                let runs =
                    |worker: &&mut support::worker::Worker| worker.running.contains_key(&ended);
                let worker = world.workers.iter_mut().find(runs).expect("it runs");
                worker.finish(ended, EndKind::Lapsed, &mut world.checker);
            }
            for _ in 0..10 {
                world.run(END_INTERVAL / 10);
                for task in &tasks {
                    let last_run = last_run.entry(*task).or_insert(world.now);
                    if world.checker.is_running(*task) {
                        *last_run = world.now;
                    }
                    longest = longest.max(world.now.since(*last_run));
                }
            }
        }
        assert!(longest > SECOND, "seed {seed}: no task waited");
        assert!(longest <= MAX_DOWNTIME, "seed {seed}: {longest:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

//! Long-running tasks that fit a worker are restarted soon after they end.

mod support;

use {
    egretlb_types::{MilliCores, Time},
    egretlb_workflow::{EndKind, Limits, Step, TaskId, WorkerState, WorkflowId},
    rand::Rng,
    std::{collections::BTreeMap, time::Duration},
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Workers have eight cores.
fn long_running(count: u32, cores: u32) -> Step {
    let mut step = step(count, 0);
    step.resources.cpu = MilliCores(cores * 1_000);
    step.long_running = true;
    step
}

fn first_task(id: WorkflowId) -> TaskId {
    TaskId { workflow: id, occurrence: 0, step: 0, index: 0 }
}

/// Makes a running task fail.
fn fail(world: &mut World, task: TaskId) {
    let runs = |worker: &&mut support::worker::Worker| worker.running.contains_key(&task);
    let worker = world.workers.iter_mut().find(runs).expect("it runs");
    worker.finish(task, EndKind::Failed, &mut world.checker);
}

/// A failed task is restarted on the worker where it failed if no other fits it.
#[test]
fn failed_in_full_service() {
    for seed in 0..6 {
        let mut world = World::new(seed, 2, 4, Limits::default());
        world.run(2 * SECOND);
        let id = world.submit(1, &submission(vec![long_running(4, 8)]));
        world.run(2 * SECOND);
        let task = first_task(id);
        assert!(world.checker.is_running(task));
        fail(&mut world, task);
        world.run(Duration::from_millis(10));
        assert!(!world.checker.is_running(task));
        let took = world.run_until(10 * SECOND, |world| world.checker.is_running(task));
        assert!(took.is_some_and(|took| took < 3 * SECOND), "seed {seed}: {took:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

/// Other tasks of a step aren't held back by the one that avoids the only free worker.
#[test]
fn others_behind_failed() {
    let mut world = World::new(31, 2, 2, Limits::default());
    world.run(2 * SECOND);
    let id = world.submit(1, &submission(vec![long_running(3, 8)]));
    world.run(2 * SECOND);
    let running =
        |world: &World| world.workers.iter().map(|worker| worker.running.len()).sum::<usize>();
    assert_eq!(running(&world), 2);
    let task = *world.workers[0].running.keys().next().expect("a task runs");
    assert_eq!(task.workflow, id);
    fail(&mut world, task);
    let took = world.run_until(10 * SECOND, |world| running(world) == 2);
    assert!(took.is_some_and(|took| took < SECOND), "{took:?}");
}

/// A long-running task may start on a quarantined worker if no other fits it.
#[test]
fn only_room_is_quarantined() {
    let mut world = World::new(32, 2, 2, Limits::default());
    world.run(2 * SECOND);
    let first = world.submit(1, &submission(vec![long_running(1, 8)]));
    let second = world.submit(2, &submission(vec![long_running(1, 8)]));
    world.run(2 * SECOND);
    let at = |world: &World, task: TaskId| {
        world.workers.iter().position(|worker| worker.running.contains_key(&task))
    };
    let place = at(&world, first_task(first)).expect("it runs");
    fail(&mut world, first_task(first));
    let back = |world: &World| at(world, first_task(first)).is_some();
    world.run_until(4 * SECOND, back).expect("it runs again");
    assert_eq!(at(&world, first_task(first)), Some(place));
    fail(&mut world, first_task(first));
    let took = world.run_until(10 * SECOND, back);
    assert!(took.is_some_and(|took| took < 3 * SECOND), "{took:?}");
    assert!(world.checker.is_running(first_task(second)));
}

/// Detects long-running tasks that don't run although a worker fits them.
#[derive(Default)]
struct Watch {
    /// When each task last ran, and since when a worker has fitted it without interruption.
    waits: BTreeMap<TaskId, (Time, Option<Time>)>,
    last_fault: Time,
    passed_over: Vec<String>,
}

/// Time after its last run from which a task is checked.
const CHECKED_AFTER: Duration = Duration::from_secs(6);

/// A task is passed over if a worker has fitted it for this long.
const MAX_FITTING: Duration = Duration::from_secs(3);

/// Time without faults before tasks are checked.
const CALM_FOR: Duration = Duration::from_secs(4);

impl Watch {
    fn check(&mut self, world: &World, tasks: &[(TaskId, Step)]) {
        let now = world.now;
        for (task, step) in tasks {
            let (ran, fits_since) = self.waits.entry(*task).or_insert((now, None));
            if world.checker.is_running(*task) {
                (*ran, *fits_since) = (now, None);
                continue;
            }
            let calm = now.since(self.last_fault) >= CALM_FOR;
            let checked = calm && now.since(*ran) >= CHECKED_AFTER;
            if !checked || !world.workers.iter().any(|worker| fits(worker, *task, step)) {
                *fits_since = None;
                continue;
            }
            if now.since(*fits_since.get_or_insert(now)) >= MAX_FITTING {
                self.passed_over.push(format!("{task} at {now:?}"));
                *fits_since = None;
            }
        }
    }
}

fn fits(worker: &support::worker::Worker, task: TaskId, step: &Step) -> bool {
    let used: u32 = worker.running.values().map(|run| run.step.resources.cpu.0).sum();
    let of_step = |other: &&TaskId| other.step_id() == task.step_id();
    let siblings = worker.running.keys().filter(of_step).count();
    worker.up
        && worker.listed
        && worker.info.state == WorkerState::Ready
        && used + step.resources.cpu.0 <= worker.info.capacity.cpu.0
        && (step.per_worker == 0 || siblings < step.per_worker as usize)
}

/// Injects two faults. Never loses a worker together with the leader: tasks that may run there are
/// rightly held back until its leases have lapsed.
fn inject_faults(world: &mut World, tasks: &[(TaskId, Step)]) {
    let kinds = [world.rng.random_range(0..5), world.rng.random_range(0..5)];
    let both_lost = kinds.contains(&0) && kinds.contains(&1);
    for kind in kinds.into_iter().filter(|kind| !both_lost || *kind != 1) {
        let worker = world.rng.random_range(0..world.workers.len());
        match kind {
            0 => {
                let leader = world.leader().expect("somebody leads");
                world.kill(leader);
                world.run(2 * SECOND);
                world.restart(leader);
            }
            1 => {
                world.workers[worker].crash(&mut world.checker);
                world.add_worker(8);
            }
            2 => world.workers[worker].listed = false,
            3 => {
                world.workers[worker].info.state = WorkerState::Draining;
                world.add_worker(8);
            }
            _ => {
                let running = |(task, _): &&(TaskId, Step)| world.checker.is_running(*task);
                let running: Vec<TaskId> = tasks.iter().filter(running).map(|(t, _)| *t).collect();
                if !running.is_empty() {
                    let chosen = world.rng.random_range(0..running.len());
                    fail(world, running[chosen]);
                }
            }
        }
    }
}

fn submit_short(world: &mut World, id: u64) {
    let ms = world.rng.random_range(200..800);
    let mut short = step(world.rng.random_range(1..4), ms);
    short.resources.cpu = MilliCores(world.rng.random_range(500..2_000));
    world.submit(id, &submission(vec![short]));
}

/// Submits long-running tasks of several sizes that take nearly all capacity of six workers.
fn submit_long_running(world: &mut World) -> Vec<(TaskId, Step)> {
    let mut tasks = Vec::new();
    for (id, count, cores) in [(1, 2, 8), (2, 2, 5), (3, 3, 3), (4, 4, 2)] {
        let mut step = long_running(count, cores);
        step.per_worker = world.rng.random_range(0..2);
        let id = world.submit(id, &submission(vec![step.clone()]));
        tasks.extend((0..count).map(|index| (TaskId { index, ..first_task(id) }, step.clone())));
    }
    tasks
}

/// After faults, no long-running task in a nearly full service is passed over while a worker fits
/// it.
#[test]
fn none_passed_over() {
    for seed in 0..60 {
        let mut world = World::new(seed, 3, 6, Limits::default());
        world.run(2 * SECOND);
        let tasks = submit_long_running(&mut world);
        let mut watch = Watch::default();
        for round in 0u64..480 {
            // No short tasks later, so that free capacity stays free.
            if round.is_multiple_of(4) && round % 160 < 60 {
                submit_short(&mut world, 100 + round);
            }
            if round.is_multiple_of(160) {
                inject_faults(&mut world, &tasks);
                watch.last_fault = world.now;
            }
            if round % 160 == 15 {
                world.workers.iter_mut().for_each(|worker| worker.listed = true);
            }
            for _ in 0..10 {
                world.run(Duration::from_millis(10));
                watch.check(&world, &tasks);
            }
        }
        assert_eq!(watch.passed_over, Vec::<String>::new(), "seed {seed}");
    }
}

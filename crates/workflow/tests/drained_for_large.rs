//! Large long-running tasks among small batch tasks.

mod support;

use {
    egretlb_workflow::{Limits, TaskId, WorkerState},
    rand::Rng,
    std::time::Duration,
    support::{long_running, step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);
const WORKERS: usize = 8;

/// Time within which a task that has lost its worker must be at work again.
const MAX_DOWNTIME: Duration = Duration::from_secs(9);

/// A service full of small batch tasks, with more of them waiting, and `count` long-running tasks of nearly a worker each.
fn full_world(seed: u64, count: u32) -> (World, Vec<TaskId>) {
    let mut world = World::new(seed, 2, WORKERS, Limits::default());
    world.run(2 * SECOND);
    let workflow = world.submit(1, &submission(vec![long_running(count, 7)]));
    let task = |index| TaskId { workflow, occurrence: 0, step: 0, index };
    let tasks: Vec<TaskId> = (0..count).map(task).collect();
    world.run_until(3 * SECOND, |world| all_run(world, &tasks)).expect("all run");
    for number in 0..800 {
        let ms = 400 + world.rng.random_range(0..800);
        world.submit(100 + number, &submission(vec![step(3, ms)]));
    }
    world.run(2 * SECOND);
    (world, tasks)
}

fn all_run(world: &World, tasks: &[TaskId]) -> bool {
    tasks.iter().all(|task| world.checker.is_running(*task))
}

/// Lets the workers of the tasks leave.
fn leave(world: &mut World, tasks: &[TaskId]) {
    for task in tasks {
        let runs = |worker: &&mut support::worker::Worker| worker.running.contains_key(task);
        let holder = world.workers.iter_mut().find(runs).expect("it runs");
        holder.info.state = WorkerState::Draining;
    }
    let none_runs = |world: &World| !tasks.iter().any(|task| world.checker.is_running(*task));
    world.run_until(3 * SECOND, none_runs).expect("they are moved");
}

/// The service is still full, and nothing went wrong.
fn check(world: &World, seed: u64) {
    let running: usize = world.workers.iter().map(|worker| worker.running.len()).sum();
    assert!(running > 3 * WORKERS, "seed {seed}: {running} tasks don't fill the service");
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a large long-running task that never finds room, since smaller tasks take each core that comes free.
#[test]
fn large_among_small() {
    for seed in 0..6 {
        let (mut world, tasks) = full_world(seed, 1);
        leave(&mut world, &tasks);
        let took = world.run_until(20 * SECOND, |world| all_run(world, &tasks));
        assert!(took.is_some_and(|took| took <= MAX_DOWNTIME), "seed {seed}: {took:?}");
        check(&world, seed);
    }
}

/// Guards against two large tasks of which neither gets a worker, since each keeps the other from one.
#[test]
fn two_large_in_turn() {
    for seed in 0..4 {
        let (mut world, tasks) = full_world(seed, 2);
        leave(&mut world, &tasks);
        let took = world.run_until(30 * SECOND, |world| all_run(world, &tasks));
        assert!(took.is_some_and(|took| took <= 2 * MAX_DOWNTIME), "seed {seed}: {took:?}");
        check(&world, seed);
    }
}

/// Guards against a worker that stays free for a task that needs it no more.
#[test]
fn room_given_back() {
    let (mut world, tasks) = full_world(1, 1);
    leave(&mut world, &tasks);
    world.run(4 * SECOND);
    world.cancel(tasks[0].workflow);
    world.run(5 * SECOND);
    let used = world.workers.iter().filter(|worker| worker.info.state == WorkerState::Ready);
    let least = used.map(|worker| worker.running.len()).min();
    assert!(least > Some(0), "a worker is kept free");
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

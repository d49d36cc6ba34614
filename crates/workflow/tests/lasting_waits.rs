//! Lasting tasks that have ended and for which there is room run again soon, whatever they wait beside.

mod support;

use {
    egretlb_types::MilliCores,
    egretlb_workflow::{EndKind, Limits, Step, TaskId, WorkflowId},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// A worker has eight cores.
fn lasting(count: u32, cores: u32) -> Step {
    let mut step = step(count, 0);
    step.resources.cpu = MilliCores(cores * 1_000);
    step.lasting = true;
    step
}

fn first_task(id: WorkflowId) -> TaskId {
    TaskId { workflow: id, occurrence: 0, step: 0, index: 0 }
}

/// Lets a task fail where it runs.
fn fail(world: &mut World, task: TaskId) {
    let runs = |worker: &&mut support::worker::Worker| worker.running.contains_key(&task);
    let worker = world.workers.iter_mut().find(runs).expect("it runs");
    worker.finish(task, EndKind::Failed, &mut world.checker);
}

/// A lasting task fails while all other workers are full: the room that it has left is the only one. It
/// runs there again. Were it kept away from where it failed last, it would wait until something else ends,
/// which takes minutes among lasting tasks, and its users would be without it.
#[test]
fn failed_in_full_service() {
    for seed in 0..6 {
        let mut world = World::new(seed, 2, 4, Limits::default());
        world.run(2 * SECOND);
        let id = world.submit(1, &submission(vec![lasting(4, 8)]));
        world.run(2 * SECOND);
        let task = first_task(id);
        assert!(world.checker.is_running(task));
        fail(&mut world, task);
        world.run(Duration::from_millis(10));
        assert!(!world.checker.is_running(task));
        let took = world.run_until(10 * SECOND, |world| world.checker.is_running(task));
        assert!(took.is_some_and(|took| took < 3 * SECOND), "seed {seed}: {took:?}");
        assert_eq!(world.checker.faults, Vec::<String>::new());
    }
}

/// One task of a step has failed and waits for the worker where it failed; others of the step wait behind
/// it. They needn't keep away from that worker, and take the room at once.
#[test]
fn others_behind_failed() {
    let mut world = World::new(31, 2, 2, Limits::default());
    world.run(2 * SECOND);
    let id = world.submit(1, &submission(vec![lasting(3, 8)]));
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

/// A worker has failed two runs in a row, by chance, and gets nothing for a while. A lasting task finds room
/// there only. It is tried there: nobody is worse off if it fails again, and its users are without it
/// otherwise.
#[test]
fn only_room_is_quarantined() {
    let mut world = World::new(32, 2, 2, Limits::default());
    world.run(2 * SECOND);
    let first = world.submit(1, &submission(vec![lasting(1, 8)]));
    let second = world.submit(2, &submission(vec![lasting(1, 8)]));
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

//! Long-running tasks are started again after they have ended successfully.

mod support;

use {
    egretlb_types::MilliCores,
    egretlb_workflow::{
        Bits, EndKind, Key, Limits, OccurrenceProgress, Progress, Step, StepProgress, TaskId,
        WorkflowId, WorkflowState,
    },
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

const TASKS: u32 = 3;

/// How long a long-running task may be without a run, by the platform.
const MAX_DOWN: Duration = Duration::from_secs(6);

fn long_running() -> Step {
    let mut step = step(TASKS, 0);
    step.resources.cpu = MilliCores(2_000);
    step.long_running = true;
    step
}

fn task(id: WorkflowId, index: u32) -> TaskId {
    TaskId { workflow: id, occurrence: 0, step: 0, index }
}

fn all_run(world: &World, id: WorkflowId) -> bool {
    (0..TASKS).all(|index| world.checker.is_running(task(id, index)))
}

/// A world in which all tasks of a long-running workflow run.
fn running_world(seed: u64) -> (World, WorkflowId) {
    let mut world = World::new(seed, 3, 3, Limits::default());
    world.run(2 * SECOND);
    let id = world.submit(1, &submission(vec![long_running()]));
    world.run(5 * SECOND);
    assert!(all_run(&world, id));
    (world, id)
}

/// Ends the runs of a task successfully; returns whether there were any.
fn exit(world: &mut World, task: TaskId) -> bool {
    let mut ended = false;
    for worker in &mut world.workers {
        ended |= worker.is_running(task);
        worker.finish(task, EndKind::Done, &mut world.checker);
    }
    ended
}

/// Guards against a long-running task that isn't started again after a successful end.
#[test]
fn one_exits() {
    let (mut world, id) = running_world(81);
    assert!(exit(&mut world, task(id, 1)));
    assert!(world.run_until(MAX_DOWN, |world| all_run(world, id)).is_some());
    assert_eq!(world.checker.starts, TASKS + 1);
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a long-running workflow that counts as completed.
#[test]
fn all_exit() {
    let (mut world, id) = running_world(82);
    assert!((0..TASKS).all(|index| exit(&mut world, task(id, index))));
    assert!(world.run_until(MAX_DOWN, |world| all_run(world, id)).is_some());
    world.run(2 * SECOND);
    assert_eq!(world.state(id), Some(WorkflowState::Running));
}

/// Guards against a task that exits at once and is started as fast as its ends are listed.
#[test]
fn exits_at_once() {
    let (mut world, id) = running_world(83);
    let end = world.now + 20 * SECOND;
    while world.now < end {
        exit(&mut world, task(id, 0));
        world.run(Duration::from_millis(5));
    }
    let starts = world.checker.starts - TASKS;
    assert!((4..=11).contains(&starts), "{starts}");
    assert!(world.run_until(MAX_DOWN, |world| all_run(world, id)).is_some());
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a cancelled workflow whose exited tasks are started again.
#[test]
fn cancelled_after_exit() {
    let (mut world, id) = running_world(84);
    exit(&mut world, task(id, 0));
    world.run(200 * Duration::from_millis(1));
    exit(&mut world, task(id, 0));
    world.cancel(id);
    world.run(5 * SECOND);
    assert!((0..TASKS).all(|index| !world.checker.is_running(task(id, index))));
}

/// Guards against a successor that takes an exited task for done, whether its predecessor has seen the end or not.
#[test]
fn leader_killed() {
    for pause_ms in [0, 5, 20, 100, 500] {
        let (mut world, id) = running_world(85);
        assert!((0..TASKS).all(|index| exit(&mut world, task(id, index))));
        world.run(Duration::from_millis(pause_ms));
        let leader = world.leader().expect("somebody leads");
        world.kill(leader);
        assert!(world.run_until(2 * MAX_DOWN, |world| all_run(world, id)).is_some());
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

/// Guards against a task that stays done since an earlier version recorded it so.
#[test]
fn recorded_as_done() {
    let mut world = World::new(86, 3, 3, Limits::default());
    let id = world.submit(1, &submission(vec![long_running()]));
    let mut done = Bits::default();
    done.insert(1);
    let steps = vec![StepProgress { done, ..StepProgress::default() }];
    let occurrences = vec![OccurrenceProgress { number: 0, steps }];
    let progress = Progress { started: true, occurrences, ..Progress::default() };
    world.overwrite_with(Key::Progress(id), &progress);
    assert!(world.run_until(10 * SECOND, |world| all_run(world, id)).is_some());
}

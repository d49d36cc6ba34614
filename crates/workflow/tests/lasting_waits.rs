//! Lasting tasks that have ended and for which there is room run again soon, whatever they wait beside.

mod support;

use {
    egretlb_types::{MilliCores, Time},
    egretlb_workflow::{EndKind, Limits, Step, TaskId, WorkerState, WorkflowId},
    rand::Rng,
    std::{collections::BTreeMap, time::Duration},
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

/// What the platform judges: a lasting task that doesn't run although room for it exists.
#[derive(Default)]
struct Watch {
    /// When each task last ran, and since when there has been room for it on end.
    waits: BTreeMap<TaskId, (Time, Option<Time>)>,
    calm_since: Time,
    passed_over: Vec<String>,
}

/// A lasting task is judged from so long after its last run.
const JUDGED_AFTER: Duration = Duration::from_secs(6);

/// It is passed over if there is room for so long on end.
const ROOM_FOR: Duration = Duration::from_secs(3);

/// While nothing has gone wrong for so long.
const CALM_FOR: Duration = Duration::from_secs(4);

impl Watch {
    fn look(&mut self, world: &World, tasks: &[(TaskId, Step)]) {
        let now = world.now;
        for (task, step) in tasks {
            let (ran, roomy) = self.waits.entry(*task).or_insert((now, None));
            if world.checker.is_running(*task) {
                (*ran, *roomy) = (now, None);
                continue;
            }
            let calm = now.since(self.calm_since) >= CALM_FOR;
            let judged = calm && now.since(*ran) >= JUDGED_AFTER;
            if !judged || !world.workers.iter().any(|worker| has_room(worker, *task, step)) {
                *roomy = None;
                continue;
            }
            if now.since(*roomy.get_or_insert(now)) >= ROOM_FOR {
                self.passed_over.push(format!("{task} at {now:?}"));
                *roomy = None;
            }
        }
    }
}

fn has_room(worker: &support::worker::Worker, task: TaskId, step: &Step) -> bool {
    let used: u32 = worker.running.values().map(|run| run.step.resources.cpu.0).sum();
    let of_step = |other: &&TaskId| other.step_id() == task.step_id();
    let siblings = worker.running.keys().filter(of_step).count();
    worker.up
        && worker.listed
        && worker.info.state == WorkerState::Ready
        && used + step.resources.cpu.0 <= worker.info.capacity.cpu.0
        && (step.per_worker == 0 || siblings < step.per_worker as usize)
}

/// Something goes wrong at a worker or with the leader.
fn disturb(world: &mut World, tasks: &[(TaskId, Step)]) {
    let worker = world.rng.random_range(0..world.workers.len());
    match world.rng.random_range(0..6) {
        0 => {
            let leader = world.leader().expect("somebody leads");
            world.kill(leader);
            world.run(Duration::from_millis(500));
            world.restart(leader);
        }
        1 => {
            world.workers[worker].crash(&mut world.checker);
            world.add_worker(8);
        }
        2 => world.workers[worker].listed = false,
        3 => world.workers[worker].info.state = WorkerState::Draining,
        _ => {
            for _ in 0..2 {
                let (task, _) = &tasks[world.rng.random_range(0..tasks.len())];
                if world.checker.is_running(*task) {
                    fail(world, *task);
                }
            }
        }
    }
}

/// Lasting tasks of several sizes hold most of a service, and short work takes what is left all the time.
/// Tasks fail, workers and leaders go, and then all is calm. However full the service is, no lasting task is
/// passed over while there is room for it; its users would see it stand still for no reason.
#[test]
fn none_passed_over() {
    for seed in 0..24 {
        let mut world = World::new(seed, 3, 6, Limits::default());
        world.run(2 * SECOND);
        let mut tasks: Vec<(TaskId, Step)> = Vec::new();
        for (id, cores) in [(1, 6), (2, 4), (3, 3), (4, 5), (5, 2)] {
            let mut step = lasting(3, cores);
            step.per_worker = world.rng.random_range(0..2);
            let id = world.submit(id, &submission(vec![step.clone()]));
            tasks.extend((0..3).map(|index| (TaskId { index, ..first_task(id) }, step.clone())));
        }
        let mut watch = Watch::default();
        for round in 0u64..400 {
            if round.is_multiple_of(3) {
                let mut short =
                    step(world.rng.random_range(1..5), world.rng.random_range(200..1_500));
                short.resources.cpu = MilliCores(world.rng.random_range(500..3_000));
                world.submit(100 + round, &submission(vec![short]));
            }
            if round < 240 && round.is_multiple_of(60) {
                disturb(&mut world, &tasks);
                watch.calm_since = world.now;
            }
            if round.is_multiple_of(60) && round > 0 {
                for worker in &mut world.workers {
                    worker.listed = true;
                }
            }
            for _ in 0..10 {
                world.run(Duration::from_millis(10));
                watch.look(&world, &tasks);
            }
        }
        assert_eq!(watch.passed_over, Vec::<String>::new(), "seed {seed}");
    }
}

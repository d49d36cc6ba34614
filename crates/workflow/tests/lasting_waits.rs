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
    step.long_running = true;
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
        assert_eq!(world.checker.violations, Vec::<String>::new());
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

/// Two things go wrong, at workers or with the leader. A worker is not lost right before the leader: what
/// may run there is rightly held back until its leases have lapsed.
fn disturb(world: &mut World, tasks: &[(TaskId, Step)]) {
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

/// Submits lasting tasks of several sizes, which take nearly all of six workers.
fn submit_lasting(world: &mut World) -> Vec<(TaskId, Step)> {
    let mut tasks = Vec::new();
    for (id, count, cores) in [(1, 2, 8), (2, 2, 5), (3, 3, 3), (4, 4, 2)] {
        let mut step = lasting(count, cores);
        step.per_worker = world.rng.random_range(0..2);
        let id = world.submit(id, &submission(vec![step.clone()]));
        tasks.extend((0..count).map(|index| (TaskId { index, ..first_task(id) }, step.clone())));
    }
    tasks
}

/// Lasting tasks of several sizes hold most of a service, and short work takes what is left for a while.
/// Tasks fail, workers and leaders go, and then all is calm. However full the service is, no lasting task is
/// passed over while there is room for it; its users would see it stand still for no reason.
#[test]
fn none_passed_over() {
    for seed in 0..60 {
        let mut world = World::new(seed, 3, 6, Limits::default());
        world.run(2 * SECOND);
        let tasks = submit_lasting(&mut world);
        let mut watch = Watch::default();
        for round in 0u64..480 {
            // Later on it is quiet, so that room that is left stays.
            if round.is_multiple_of(4) && round % 160 < 60 {
                submit_short(&mut world, 100 + round);
            }
            if round.is_multiple_of(160) {
                disturb(&mut world, &tasks);
                watch.calm_since = world.now;
            }
            if round % 160 == 15 {
                world.workers.iter_mut().for_each(|worker| worker.listed = true);
            }
            for _ in 0..10 {
                world.run(Duration::from_millis(10));
                watch.look(&world, &tasks);
            }
        }
        assert_eq!(watch.passed_over, Vec::<String>::new(), "seed {seed}");
    }
}

//! Workers whose directory entries, or rows of whose reports, can't be read.

mod support;

use {
    egretlb_workflow::{Limits, Step, WorkerInfo, WorkerState, WorkflowId},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

fn world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 4, Limits::default());
    world.run(2 * SECOND);
    world
}

/// Creates a step of long-running tasks, one on each worker.
fn long_running(count: u32) -> Step {
    let mut long_running = step(count, 0);
    long_running.long_running = true;
    long_running.per_worker = 1;
    long_running
}

/// Guards against stopping or restarting the tasks of a worker whose entry can't be read, and
/// against starting new ones there until it can.
#[test]
fn unreadable_entry() {
    for seed in 0..6 {
        let mut world = world(seed);
        world.submit(1, &submission(vec![long_running(4)]));
        world.run(SECOND);
        assert!(world.workers.iter().all(|worker| worker.running.len() == 1));
        world.workers[0].unreadable_entry = true;
        world.run(SECOND);
        let id = world.submit(2, &submission(vec![step(40, 300)]));
        world.run(7 * SECOND);
        assert!(world.completed(id));
        let leader = world.leader().expect("somebody leads by now");
        world.kill(leader);
        let id = world.submit(3, &submission(vec![step(40, 300)]));
        world.run(8 * SECOND);
        assert!(world.completed(id));
        // Its one task was started once, and no other has ended there.
        assert_eq!(world.workers[0].running.len(), 1, "seed {seed}");
        assert_eq!(world.workers[0].next_end, 1, "seed {seed}");
        assert_eq!(world.checker.starts, 84, "seed {seed}");
        world.workers[0].unreadable_entry = false;
        world.run(SECOND);
        let id = world.submit(4, &submission(vec![step(40, 300)]));
        world.run(4 * SECOND);
        assert!(world.completed(id));
        assert!(world.workers[0].next_end > 1, "seed {seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against losing the tasks of a worker whose entry no running process has ever read.
#[test]
fn entry_never_read() {
    for seed in 0..6 {
        let mut world = world(seed);
        world.submit(1, &submission(vec![long_running(4)]));
        world.run(SECOND);
        world.workers[0].unreadable_entry = true;
        world.run(SECOND);
        for node in 0..3 {
            world.kill(node);
        }
        world.run(Duration::from_millis(300));
        for node in 0..3 {
            world.restart(node);
        }
        world.run(9 * SECOND);
        assert_eq!(world.workers[0].running.len(), 1, "seed {seed}");
        assert_eq!(world.workers[0].next_end, 1, "seed {seed}");
        assert_eq!(world.checker.starts, 4, "seed {seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against never restarting the tasks of a crashed worker whose entry can't be read.
#[test]
fn crashed_with_unreadable_entry() {
    let mut world = world(7);
    let id = world.submit(1, &submission(vec![step(12, 2_000)]));
    world.run(Duration::from_millis(300));
    world.workers[0].unreadable_entry = true;
    world.run(Duration::from_millis(500));
    world.workers[0].crash(&mut world.checker);
    assert!(world.run_until(12 * SECOND, |world| world.completed(id)).is_some());
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against restarting runs whose rows can't be read for a while.
#[test]
fn unreadable_runs() {
    for seed in 0..6 {
        let mut world = world(seed);
        let id = world.submit(1, &submission(vec![step(12, 3_000)]));
        world.run(Duration::from_millis(500));
        world.workers[1].unreadable_runs = true;
        world.run(1_500 * Duration::from_millis(1));
        world.workers[1].unreadable_runs = false;
        assert!(world.run_until(12 * SECOND, |world| world.completed(id)).is_some());
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.checker.starts, 12, "seed {seed}");
    }
}

/// Guards against restarting runs after a takeover before leases expire, while rows of a worker's
/// runs can't be read.
#[test]
fn unreadable_runs_at_takeover() {
    for (seed, unreadable_ms) in (0..6).flat_map(|seed| [(seed, 700), (seed, 60_000)]) {
        let mut world = world(seed);
        let id = world.submit(1, &submission(vec![step(12, 3_000)]));
        world.run(Duration::from_millis(500));
        world.workers[1].unreadable_runs = true;
        let leader = world.leader().expect("somebody leads by now");
        world.kill(leader);
        world.run(Duration::from_millis(1_800 + unreadable_ms));
        world.workers[1].unreadable_runs = false;
        assert!(world.run_until(20 * SECOND, |world| world.completed(id)).is_some(), "seed {seed}");
        assert_eq!(
            world.checker.violations,
            Vec::<String>::new(),
            "seed {seed}, {unreadable_ms} ms"
        );
    }
}

/// Guards against a task that waits forever because its run vanished while rows can't be read.
#[test]
fn lost_while_unreadable() {
    let mut world = world(9);
    world.submit(2, &submission(vec![long_running(4)]));
    world.run(Duration::from_millis(300));
    let id = world.submit(1, &submission(vec![step(12, 3_000)]));
    world.run(Duration::from_millis(500));
    world.workers[1].unreadable_runs = true;
    let lost = *world.workers[1].running.keys().next().expect("something runs there");
    let run = world.workers[1].running.remove(&lost).expect("it is there");
    let worker = world.workers[1].info.id.clone();
    world.checker.vanished(&worker, lost, run.run);
    assert!(world.run_until(30 * SECOND, |world| world.completed(id)).is_some());
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against acknowledging ends that couldn't be read, which would repeat finished tasks.
#[test]
fn unreadable_ends() {
    for (seed, lost) in (0..6).flat_map(|seed| [(seed, 2..=u64::MAX), (seed, 1..=1)]) {
        let mut world = world(seed);
        let id = world.submit(1, &submission(vec![step(12, 400)]));
        world.run(Duration::from_millis(200));
        world.workers[1].unreadable_ends = lost.clone();
        world.run(700 * Duration::from_millis(1));
        world.workers[1].unreadable_ends = 0..=0;
        assert!(world.run_until(6 * SECOND, |world| world.completed(id)).is_some());
        assert_eq!(world.checker.starts, 12, "seed {seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against counting unknown ends as failed attempts.
#[test]
fn unknown_ends() {
    let mut world = world(11);
    for worker in &mut world.workers {
        worker.unknown_ends = 4;
    }
    let id = world.submit(1, &submission(vec![step(4, 300)]));
    assert!(world.run_until(40 * SECOND, |world| world.completed(id)).is_some());
    assert_eq!(world.state(WorkflowId(1)), world.state(id));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a worker that attracts most tasks because all its runs end at once in an unknown
/// way.
#[test]
fn worker_with_unknown_ends() {
    let mut world = world(12);
    world.workers[0].unknown_ends = u32::MAX;
    for id in 1..30 {
        world.submit(id, &submission(vec![step(3, 400)]));
        world.run(Duration::from_millis(100));
    }
    world.run(8 * SECOND);
    assert!((1..30).all(|id| world.completed(WorkflowId(id))));
    assert!(world.workers[0].next_end < 12, "{} ends", world.workers[0].next_end);
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Returns a world with a task on each worker, and the entry that another writer puts in place of that of worker 0.
fn with_foreign_entry(seed: u64) -> (World, WorkerInfo) {
    let mut world = World::new(seed, 3, 4, Limits::default());
    world.tell_start_times();
    world.run(2 * SECOND);
    world.submit(1, &submission(vec![long_running(4)]));
    world.add_worker(8);
    world.run(SECOND);
    let mut entry = world.workers[0].info.clone();
    entry.state = WorkerState::Other;
    (world, entry)
}

/// Checks that the entry of another writer, which is there for a second, ends no run and keeps the worker from no later task.
fn check_foreign_entry(mut world: World, entry: WorkerInfo) {
    world.workers[0].foreign_entry = Some(entry);
    world.run(SECOND);
    world.workers[0].foreign_entry = None;
    world.run(8 * SECOND);
    assert_eq!(world.checker.violations, Vec::<String>::new());
    assert_eq!(world.checker.starts, 4);
    let starts = world.workers[0].next_end;
    world.submit(2, &submission(vec![step(40, 300)]));
    world.run(4 * SECOND);
    assert!(world.workers[0].next_end > starts);
}

/// Guards against an entry of another writer that is taken for the restart of a worker, whose tasks then run twice.
#[test]
fn foreign_start_time() {
    for seed in 0..6 {
        let (world, mut entry) = with_foreign_entry(seed);
        entry.id.started_ms = entry.id.started_ms.map(|started_ms| started_ms + 60_000);
        check_foreign_entry(world, entry);
    }
}

/// Guards against an entry of another writer that names the address of another worker, whose answer is taken for the end of the
/// worker's tasks.
#[test]
fn foreign_address() {
    for seed in 0..6 {
        let (world, mut entry) = with_foreign_entry(seed);
        entry.addr = world.workers[1].info.addr;
        check_foreign_entry(world, entry);
    }
}

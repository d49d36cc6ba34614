//! Workers whose entries, or rows of whose lists, can't be read.

mod support;

use {
    egretlb_workflow::{Limits, Step, WorkflowId},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

fn world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 4, Limits::default());
    world.run(2 * SECOND);
    world
}

/// A step of tasks that last, one on each worker.
fn serving(count: u32) -> Step {
    let mut serving = step(count, 0);
    serving.long_running = true;
    serving.per_worker = 1;
    serving
}

/// Another writer overwrites a worker's entry. What runs there goes on for longer than a lease, also under a
/// new leader, and nothing is started there until the entry can be read again. Were the worker taken as gone
/// or as leaving, its users would be without its tasks.
#[test]
fn entry_lost() {
    for seed in 0..6 {
        let mut world = world(seed);
        world.submit(1, &submission(vec![serving(4)]));
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

/// All processes are started anew while a worker's entry can't be read: none of them has ever read one of it. They
/// know it from the records, and what runs there goes on.
#[test]
fn entry_never_read() {
    for seed in 0..6 {
        let mut world = world(seed);
        world.submit(1, &submission(vec![serving(4)]));
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

/// A worker whose entry can't be read loses power. Its tasks are started elsewhere once its leases must have
/// lapsed, as with any silent worker, and not never.
#[test]
fn lost_and_dark() {
    let mut world = world(7);
    let id = world.submit(1, &submission(vec![step(12, 2_000)]));
    world.run(Duration::from_millis(300));
    world.workers[0].unreadable_entry = true;
    world.run(Duration::from_millis(500));
    world.workers[0].crash(&mut world.checker);
    assert!(world.run_until(12 * SECOND, |world| world.completed(id)).is_some());
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// For a while no row of a worker's runs can be read. Each goes on; were it taken as not listed, its task
/// would be started elsewhere and run twice.
#[test]
fn blurred_runs() {
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

/// The leader is killed while no row of a worker's runs can be read. Its successor doesn't know which tasks
/// run there. Those that it finds nowhere may only be started once what runs there must have lapsed.
#[test]
fn blurred_at_takeover() {
    for (seed, blurred) in (0..6).flat_map(|seed| [(seed, 700), (seed, 60_000)]) {
        let mut world = world(seed);
        let id = world.submit(1, &submission(vec![step(12, 3_000)]));
        world.run(Duration::from_millis(500));
        world.workers[1].unreadable_runs = true;
        let leader = world.leader().expect("somebody leads by now");
        world.kill(leader);
        world.run(Duration::from_millis(1_800 + blurred));
        world.workers[1].unreadable_runs = false;
        assert!(world.run_until(20 * SECOND, |world| world.completed(id)).is_some(), "seed {seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}, {blurred} ms");
    }
}

/// A run's row can't be read for good, and the run is lost without an end. Its task isn't held for ever: a
/// stop settles that nothing goes on.
#[test]
fn lost_while_blurred() {
    let mut world = world(9);
    world.submit(2, &submission(vec![serving(4)]));
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

/// Ends can't be read for a moment: all of them, or one among others. Acknowledged at once, also with those that
/// follow, they would be forgotten, and what is done would be run again.
#[test]
fn blurred_ends() {
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

/// Runs end in a way that isn't known. That costs their tasks no attempt: they would otherwise fail although
/// no run of theirs did.
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

/// All that one worker runs ends in a way that isn't known, at once, while it looks well. As it is always free it
/// would draw most tasks, and they would run for nothing.
#[test]
fn unknown_enders() {
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

//! Workers whose addresses refuse connections: they have left or crashed, or are cut off and run on.

mod support;

use {
    egretlb_workflow::{Limits, WorkerState, WorkflowId},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// How long a long-running task may be without a run before it counts as missed.
const MAX_DOWNTIME: Duration = Duration::from_secs(6);

/// How long a workflow may stand still while there is room for its tasks.
const MAX_STANDSTILL: Duration = Duration::from_secs(3);

/// Starts a world whose worker 0 drains with two tasks under way, for which another one has room.
fn draining(seed: u64) -> World {
    let mut world = World::new(seed, 3, 6, Limits::default());
    world.run(2 * SECOND);
    let mut task = step(12, 9_000);
    task.per_worker = 2;
    world.submit(1, &submission(vec![task]));
    world.run(SECOND);
    assert_eq!(world.workers[0].running.len(), 2, "seed {seed}");
    world.add_worker(8);
    world.workers[0].info.state = WorkerState::Draining;
    world.run(Duration::from_millis(400));
    world
}

fn refuse(world: &mut World, worker: usize) {
    for node in &mut world.nodes {
        node.refused_by.push(worker);
    }
}

/// Guards against a second run of tasks that go on at a draining worker behind a cut, once its directory entry is gone.
#[test]
fn drained_and_cut() {
    for (seed, missing_after_ms) in
        (0..10).flat_map(|seed| [(seed, 0), (seed, 1_000), (seed, 2_900)])
    {
        let mut world = draining(seed);
        refuse(&mut world, 0);
        world.run(Duration::from_millis(missing_after_ms));
        world.workers[0].listed = false;
        let took = world.run_until(20 * SECOND, |world| world.completed(WorkflowId(1)));
        assert!(took.is_some(), "seed {seed}, {missing_after_ms} ms");
        let violations = &world.checker.violations;
        assert_eq!(*violations, Vec::<String>::new(), "seed {seed}, {missing_after_ms} ms");
    }
}

/// Guards against a second run of such tasks by a leader that knows of them from the roster alone.
#[test]
fn cut_before_takeover() {
    for (seed, killed_after_ms) in (0..10).flat_map(|seed| [(seed, 0), (seed, 300), (seed, 900)]) {
        let mut world = draining(seed);
        refuse(&mut world, 0);
        world.workers[0].listed = false;
        world.run(Duration::from_millis(killed_after_ms));
        let leader = world.leader().expect("a leader");
        world.kill(leader);
        let took = world.run_until(30 * SECOND, |world| world.completed(WorkflowId(1)));
        assert!(took.is_some(), "seed {seed}, {killed_after_ms} ms");
        let violations = &world.checker.violations;
        assert_eq!(*violations, Vec::<String>::new(), "seed {seed}, {killed_after_ms} ms");
    }
}

/// Guards against tasks that stand still for long after their worker has left, once the leases from before its notice are over.
#[test]
fn left_for_good() {
    for seed in 0..20 {
        let mut world = draining(seed);
        world.run(3 * SECOND + Duration::from_millis(100 * seed));
        world.workers[0].exit(&mut world.checker);
        let restarted = |world: &World| world.checker.starts >= 14;
        let took = world.run_until(10 * SECOND, restarted);
        assert!(took.is_some_and(|took| took < MAX_STANDSTILL), "seed {seed}: {took:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against refused polls that count as renewals, so that the tasks of a crashed worker wait for leases which it never got.
#[test]
fn refused_renewals() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 6, Limits::default());
        world.run(2 * SECOND);
        let mut task = step(6, 0);
        task.long_running = true;
        task.per_worker = 1;
        world.submit(1, &submission(vec![task]));
        world.add_worker(8);
        world.run(2 * SECOND + Duration::from_millis(70 * seed));
        let busy = world.workers.iter().position(|worker| !worker.running.is_empty());
        let busy = busy.expect("six tasks run");
        world.workers[busy].exit(&mut world.checker);
        let took = world.run_until(12 * SECOND, |world| world.checker.starts >= 7);
        assert!(took.is_some_and(|took| took < MAX_DOWNTIME), "seed {seed}: {took:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}

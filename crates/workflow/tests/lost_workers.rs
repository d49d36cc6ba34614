//! Workers that crash, become unresponsive, fail their tasks, or leave.

mod support;

use {
    egretlb_workflow::{Limits, Outcome, Step, WorkerState, WorkflowId, WorkflowState},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// A step that depends on the first one.
fn later_step(count: u32, ms: u32) -> Step {
    let mut later = step(count, ms);
    later.after.push(0);
    later
}

fn world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 6, Limits::default());
    world.run(2 * SECOND);
    world
}

/// Guards against restarting the tasks of a crashed worker before its leases have lapsed, or never.
#[test]
fn dark_worker() {
    let mut world = world(1);
    let id = world.submit(1, &submission(vec![step(12, 2_000)]));
    world.run(Duration::from_millis(500));
    world.workers[0].crash(&mut world.checker);
    assert!(world.run_until(10 * SECOND, |world| world.completed(id)).is_some());
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against restarting the tasks of a partitioned worker before its leases have lapsed on its own clock, which
/// is 2% slow.
#[test]
fn cut_worker() {
    let mut world = world(3);
    world.workers[0].rate = 980;
    let id = world.submit(1, &submission(vec![step(24, 9_000)]));
    world.run(Duration::from_millis(500));
    for node in &mut world.nodes {
        node.unreachable = vec![0];
    }
    world.run(6 * SECOND);
    for node in &mut world.nodes {
        node.unreachable.clear();
    }
    assert!(world.run_until(20 * SECOND, |world| world.completed(id)).is_some());
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a successor that holds back all work, not only that of a worker lost before the takeover.
#[test]
fn silent_before_takeover() {
    let mut world = world(2);
    for id in 1..4 {
        world.submit(
            id,
            &submission(vec![step(8, 700), {
                let mut second = step(4, 300);
                second.after.push(0);
                second
            }]),
        );
    }
    world.run(Duration::from_millis(200));
    world.workers[0].crash(&mut world.checker);
    world.run(4 * SECOND);
    let late = world.submit(
        9,
        &submission(vec![step(30, 3_000), {
            let mut second = step(4, 300);
            second.after.push(0);
            second
        }]),
    );
    world.run(Duration::from_millis(300));
    let leader = world.leader().expect("somebody leads");
    world.kill(leader);
    let took = world.run_until(20 * SECOND, |world| world.completed(late));
    assert!(took.is_some_and(|took| took < Duration::from_millis(6_000)), "{took:?}");
    world.run(6 * SECOND);
    assert!((1..4).all(|id| world.completed(WorkflowId(id))));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a successor that restarts a task whose last allowed attempt had failed.
#[test]
fn spent_before_takeover() {
    for seed in 0..6 {
        let mut world = world(seed);
        for worker in &mut world.workers {
            worker.fails_all = true;
        }
        let id = world.submit(1, &submission(vec![step(2, 300)]));
        world.run(Duration::from_millis(900 + 60 * seed));
        let leader = world.leader().expect("somebody leads");
        world.kill(leader);
        world.run(12 * SECOND);
        assert_eq!(world.state(id), Some(WorkflowState::Ended(Outcome::Failed)));
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

/// Guards against a healthy-looking worker that fails everything and uses up the attempts of many tasks.
#[test]
fn failing_worker() {
    let mut world = world(7);
    world.workers[0].fails_all = true;
    for id in 1..30 {
        world.submit(id, &submission(vec![step(3, 400)]));
        world.run(Duration::from_millis(100));
    }
    world.run(8 * SECOND);
    assert!((1..30).all(|id| world.completed(WorkflowId(id))));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against long-running tasks that stay on a draining worker and are down until their lease has lapsed.
#[test]
fn leaving_worker() {
    let mut world = world(8);
    let mut serving = step(6, 0);
    serving.long_running = true;
    serving.per_worker = 1;
    world.submit(1, &submission(vec![serving]));
    world.add_worker(8);
    world.run(2 * SECOND);
    let busy_worker = world.workers.iter().position(|worker| !worker.running.is_empty());
    let busy_worker = busy_worker.expect("six tasks run");
    world.workers[busy_worker].info.state = WorkerState::Draining;
    world.run(Duration::from_millis(1_500));
    assert!(world.workers[busy_worker].running.is_empty());
    let running: usize = world.workers.iter().map(|worker| worker.running.len()).sum();
    assert_eq!(running, 6);
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a successor that adopts the runs of a workflow cancelled between two leaders.
#[test]
fn cancelled_between_leaders() {
    let mut world = world(9);
    let mut serving = step(4, 0);
    serving.long_running = true;
    let id = world.submit(1, &submission(vec![serving]));
    world.run(SECOND);
    let leader = world.leader().expect("somebody leads");
    world.kill(leader);
    world.cancel(id);
    world.run(4 * SECOND);
    assert!(world.workers.iter().all(|worker| worker.running.is_empty()));
    assert_eq!(world.state(id), Some(WorkflowState::Ended(Outcome::Cancelled)));
}

/// Guards against a workflow that waits for tasks stalled on a worker that reports healthy.
#[test]
fn standing_tasks() {
    for speculative in [false, true] {
        let mut world = world(10);
        let mut stalled_step = step(12, 800);
        stalled_step.speculative = speculative;
        let id = world.submit(1, &submission(vec![stalled_step]));
        world.run(Duration::from_millis(300));
        let busy_worker = world.workers.iter().position(|worker| !worker.running.is_empty());
        let busy_worker = busy_worker.expect("tasks run");
        world.workers[busy_worker].stall_runs(60_000);
        let took = world.run_until(10 * SECOND, |world| world.completed(id));
        assert!(took.is_some_and(|took| took < Duration::from_millis(3_500)), "{took:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

/// Guards against a task that runs twice: a successor finds a new run beside an older one that is only in the
/// records. Stopping the new run and requeueing the task once the old one proves to be none would overlap.
#[test]
fn found_beside_supposed() {
    for seed in 0..12 {
        let mut world = World::new(seed, 2, 4, Limits::default());
        for worker in &mut world.workers {
            worker.stop_ms = 400;
        }
        world.run(2 * SECOND);
        let leader = world.leader().expect("somebody leads by now");
        world.nodes[leader].unreachable = vec![0];
        world.submit(1, &submission(vec![step(16, 9_000)]));
        world.run(4 * SECOND);
        world.nodes[leader].unreachable.clear();
        world.nodes[leader].reaches_store = false;
        world.run(5 * SECOND);
        assert_ne!(world.leader(), Some(leader));
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
        // A higher run proves that the recorded one had ended, so it continues.
        assert_eq!(world.checker.starts, 16, "seed {seed}");
    }
}

/// Guards against a successor that waits for leases on workers that had drained and left before the takeover.
#[test]
fn left_before_takeover() {
    let mut world = world(17);
    let id = world.submit(1, &submission(vec![step(12, 700), later_step(12, 700)]));
    world.run(Duration::from_millis(100));
    for worker in [0, 1] {
        world.workers[worker].info.state = WorkerState::Draining;
    }
    world.run(SECOND);
    for worker in [0, 1] {
        world.workers[worker].crash(&mut world.checker);
    }
    let leader = world.leader().expect("somebody leads by now");
    world.kill(leader);
    let took = world.run_until(12 * SECOND, |world| world.completed(id));
    assert!(took.is_some_and(|took| took < 4 * SECOND), "{took:?}");
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// Guards against a successor that restarts a task of a partitioned draining worker too early, or delays other work.
#[test]
fn leaving_and_cut() {
    let mut world = world(18);
    let mut long_step = step(6, 20_000);
    long_step.per_worker = 1;
    world.submit(1, &submission(vec![long_step]));
    world.run(Duration::from_millis(300));
    world.workers[0].info.state = WorkerState::Draining;
    world.run(SECOND);
    for node in &mut world.nodes {
        node.unreachable = vec![0];
    }
    let leader = world.leader().expect("somebody leads by now");
    world.kill(leader);
    let id = world.submit(2, &submission(vec![step(4, 400)]));
    let took = world.run_until(12 * SECOND, |world| world.completed(id));
    assert!(took.is_some_and(|took| took < 4 * SECOND), "{took:?}");
    world.run(40 * SECOND);
    assert!(world.completed(WorkflowId(1)));
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

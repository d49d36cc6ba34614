//! Workers that crash, fall silent, fail what they start, or leave.

mod support;

use {
    egretlb_workflow::{Limits, Outcome, Step, WorkerState, WorkflowId, WorkflowState},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// A step that waits for the first one.
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

/// A worker loses power with tasks on it. They are started elsewhere, and not before its leases must
/// have lapsed, since it might merely be cut off.
#[test]
fn dark_worker() {
    let mut world = world(1);
    let id = world.submit(1, &submission(vec![step(12, 2_000)]));
    world.run(Duration::from_millis(500));
    world.workers[0].crash(&mut world.checker);
    assert!(world.run_until(10 * SECOND, |world| world.completed(id)).is_some());
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// A worker is cut off and runs on. Its tasks may be started elsewhere only once its leases have lapsed,
/// on its own clock, which is 2% slow.
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

/// A worker is lost seconds before the leader is killed. The successor must hold back what may run at
/// that worker, but nothing else: a client with work elsewhere would wait for nine seconds.
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

/// A task fails on its last attempt, and the leader is killed right after that end is recorded. The
/// successor must end the workflow; were the task started once more, it would have one attempt more
/// than its queue allows.
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

/// One worker fails all that it starts while its heartbeats look well. As it is always free it would
/// draw most tasks, and use up their attempts.
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

/// A worker says that it is about to leave. Its lasting tasks are moved before it goes; otherwise their
/// users are without them until a lease has lapsed.
#[test]
fn leaving_worker() {
    let mut world = world(8);
    let mut serving = step(6, 0);
    serving.long_running = true;
    serving.per_worker = 1;
    world.submit(1, &submission(vec![serving]));
    world.add_worker(8);
    world.run(2 * SECOND);
    let busy = world.workers.iter().position(|worker| !worker.running.is_empty());
    let busy = busy.expect("six tasks run");
    world.workers[busy].info.state = WorkerState::Draining;
    world.run(Duration::from_millis(1_500));
    assert!(world.workers[busy].running.is_empty());
    let running: usize = world.workers.iter().map(|worker| worker.running.len()).sum();
    assert_eq!(running, 6);
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// A workflow is cancelled while no process leads. What runs of it must be stopped by the next leader,
/// not taken over.
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

/// Tasks of one worker stand still while it answers and looks well. They are moved; a workflow would
/// otherwise wait for them for as long as the worker's trouble lasts.
#[test]
fn standing_tasks() {
    for speculative in [false, true] {
        let mut world = world(10);
        let mut slow = step(12, 800);
        slow.speculative = speculative;
        let id = world.submit(1, &submission(vec![slow]));
        world.run(Duration::from_millis(300));
        let busy = world.workers.iter().position(|worker| !worker.running.is_empty());
        let busy = busy.expect("tasks run");
        world.workers[busy].stall_runs(60_000);
        let took = world.run_until(10 * SECOND, |world| world.completed(id));
        assert!(took.is_some_and(|took| took < Duration::from_millis(3_500)), "{took:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

/// A worker is cut off with a start in doubt, and the records list it as silent. Then it is back and doesn't
/// know the run, so the leader starts the task elsewhere; at that moment the store turns the leader away.
/// Its successor finds the new run beside the one that the records suppose. Were it stopped for that one,
/// which takes a while, and the task queued again as soon as the supposed run proves to be none, the task
/// would run twice.
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
        // A higher run is the proof that the supposed one had ended, so it goes on.
        assert_eq!(world.checker.starts, 16, "seed {seed}");
    }
}

/// Workers announce that they leave, are emptied and go dark; the leader is killed just then. Its successor
/// knows from the records that nothing runs there, so clients don't wait for nine seconds.
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

/// A worker that leaves is cut off with a task on it, and the leader is killed. Its successor starts that
/// task elsewhere only once its lease must have lapsed, and all others at once.
#[test]
fn leaving_and_cut() {
    let mut world = world(18);
    let mut slow = step(6, 20_000);
    slow.per_worker = 1;
    world.submit(1, &submission(vec![slow]));
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

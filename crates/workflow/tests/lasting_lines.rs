//! Each start and each end of a lasting task's run leaves a line.

mod support;

use {
    egretlb_workflow::{Limits, WorkerState},
    std::time::Duration,
    support::{
        lines::{self, Line},
        long_running, step, submission,
        world::World,
    },
};

const SECOND: Duration = Duration::from_secs(1);

fn world(seed: u64) -> World {
    let mut world = World::new(seed, 2, 4, Limits::default());
    world.run(2 * SECOND);
    lines::collect();
    world
}

/// The lines that name a run of a lasting task of workflow `id`.
fn runs<'a>(lines: &'a [Line], event: &str, id: u64) -> Vec<&'a Line> {
    let prefix = format!("{id:016x}.");
    let of = lines::of(lines, event);
    of.into_iter().filter(|line| line.get("task").starts_with(&prefix)).collect()
}

/// A lasting task gives its room to short ones and comes back. Its user sees it gone for seconds, and
/// asks why.
#[test]
fn preempted_and_back() {
    let mut world = world(21);
    world.submit(1, &submission(vec![long_running(8, 4)]));
    world.run(5 * SECOND);
    assert_eq!(runs(&lines::take(), "lasting_task_started", 1).len(), 8);
    world.submit(2, &submission(vec![step(3, 500)]));
    world.run(6 * SECOND);
    let lines = lines::take();
    let (ended, started) =
        (runs(&lines, "lasting_task_ended", 1), runs(&lines, "lasting_task_started", 1));
    assert_eq!((ended.len(), started.len()), (1, 1), "{lines:?}");
    assert_eq!(ended[0].get("end"), "stopped");
    assert_eq!(ended[0].get("why"), "preempted");
    assert_eq!(ended[0].get("task"), started[0].get("task"));
    let waited: u64 = started[0].get("waited_ms").parse().expect("a number");
    assert!((400..4_000).contains(&waited), "{waited}");
    // Tasks that end by themselves come by the hundred; of them these lines say nothing.
    assert!(runs(&lines, "lasting_task_started", 2).is_empty());
}

/// A worker announces that it leaves, and its lasting tasks are moved.
#[test]
fn evacuated() {
    let mut world = world(22);
    world.submit(1, &submission(vec![long_running(4, 2)]));
    world.run(2 * SECOND);
    lines::take();
    let busy = world.workers.iter().position(|worker| !worker.running.is_empty());
    let busy = busy.expect("four tasks run");
    let runs_there = world.workers[busy].running.len();
    world.workers[busy].info.state = WorkerState::Draining;
    world.run(2 * SECOND);
    let lines = lines::take();
    let ended = runs(&lines, "lasting_task_ended", 1);
    assert_eq!(ended.len(), runs_there);
    let worker = format!("worker-{busy}");
    for line in ended {
        assert_eq!((line.get("why"), line.get("worker")), ("evacuated", worker.as_str()));
    }
}

/// A worker loses power. What ran there is started elsewhere once its leases must have lapsed; until
/// then its users are without it.
#[test]
fn worker_lost() {
    let mut world = world(23);
    world.submit(1, &submission(vec![long_running(4, 2)]));
    world.run(2 * SECOND);
    lines::take();
    let busy = world.workers.iter().position(|worker| !worker.running.is_empty());
    let busy = busy.expect("four tasks run");
    let runs_there = world.workers[busy].running.len();
    world.workers[busy].crash(&mut world.checker);
    world.run(8 * SECOND);
    let lines = lines::take();
    let ended = runs(&lines, "lasting_task_ended", 1);
    assert_eq!(ended.len(), runs_there);
    assert!(ended.iter().all(|line| line.get("end") == "lost"), "{ended:?}");
    assert!(ended.iter().all(|line| line.get("why") == "worker_silent"), "{ended:?}");
    let down: u64 = ended[0].get("down_ms").parse().expect("a number");
    assert!((4_500..8_000).contains(&down), "{down}");
    let started = runs(&lines, "lasting_task_started", 1);
    assert_eq!(started.len(), runs_there);
    // It counts from when the worker was last heard, not from when its lease was given up: a lease of
    // 5.2 s, renewed for 2.7 s while the silence might have been a long poll.
    for line in started {
        let waited: u64 = line.get("waited_ms").parse().expect("a number");
        assert!((4_500..8_000).contains(&waited), "{waited}");
    }
}

/// A client cancels a service; that its tasks end is what it wants.
#[test]
fn cancelled() {
    let mut world = world(24);
    let id = world.submit(1, &submission(vec![long_running(2, 2)]));
    world.run(2 * SECOND);
    lines::take();
    world.cancel(id);
    world.run(2 * SECOND);
    let lines = lines::take();
    let ended = runs(&lines, "lasting_task_ended", 1);
    assert_eq!(ended.len(), 2);
    assert!(ended.iter().all(|line| line.get("why") == "workflow_ended"), "{ended:?}");
}

//! Starts and ends of long-running tasks are logged.

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

/// The lines on runs of long-running tasks of workflow `id`.
fn runs<'a>(lines: &'a [Line], event: &str, id: u64) -> Vec<&'a Line> {
    let prefix = format!("{id:016x}.");
    let of = lines::of(lines, event);
    of.into_iter().filter(|line| line.get("task").starts_with(&prefix)).collect()
}

/// A preempted task is logged when it stops and when it is back.
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
    // Starts of batch tasks aren't logged.
    assert!(runs(&lines, "lasting_task_started", 2).is_empty());
}

/// Runs moved off a draining worker are logged with the reason.
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

/// Runs lost with their worker are logged with the time they were down.
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
    // Down since the last contact with the worker, not since its lease lapsed: a lease of 5.2 s,
    // renewed for 2.7 s while the missing answer might have been a long poll.
    for line in started {
        let waited: u64 = line.get("waited_ms").parse().expect("a number");
        assert!((4_500..8_000).contains(&waited), "{waited}");
    }
}

/// The ends of a cancelled workflow's runs are logged with that reason.
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

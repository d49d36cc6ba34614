//! Log lines on waiting tasks: their content and their bound.

mod support;

use {
    egretlb_types::MilliCores,
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

fn number(line: &Line, key: &str) -> u64 {
    line.get(key).parse().unwrap_or_else(|_| panic!("{key} in {line:?}"))
}

/// Tasks that don't fit are logged with their indices and the reason.
#[test]
fn no_room() {
    let mut world = world(31);
    world.submit(1, &submission(vec![long_running(6, 8)]));
    world.run(Duration::from_millis(1_500));
    assert!(lines::of(&lines::take(), "tasks_waiting").is_empty(), "too early");
    world.run(10 * SECOND);
    let lines = lines::take();
    let waiting = lines::of(&lines, "tasks_waiting");
    assert!((2..=5).contains(&waiting.len()), "{waiting:?}");
    let first = waiting[0];
    assert_eq!(first.get("step"), "0000000000000001.0.0");
    assert_eq!(first.get("reason"), "no worker has room");
    assert_eq!(first.get("indices"), "4,5");
    assert_eq!(number(first, "tasks"), 2);
    assert!((2_000..3_500).contains(&number(first, "waited_ms")), "{first:?}");
}

/// A wait for capacity is logged with the service's number of workers and of eligible workers.
#[test]
fn workers_counted() {
    let mut world = world(38);
    world.submit(1, &submission(vec![long_running(6, 8)]));
    world.run(SECOND);
    world.workers[0].info.state = WorkerState::Draining;
    world.run(4 * SECOND);
    let lines = lines::take();
    let waiting = lines::of(&lines, "tasks_waiting");
    let line = waiting.last().expect("a line on the tasks that wait");
    assert_eq!((number(line, "service_workers"), number(line, "fit_workers")), (4, 3));
}

/// The end of a logged wait is logged.
#[test]
fn over() {
    let mut world = world(32);
    let mut large = step(6, 4_000);
    large.resources.cpu = MilliCores(8_000);
    world.submit(1, &submission(vec![large]));
    world.run(9 * SECOND);
    let lines = lines::take();
    assert!(!lines::of(&lines, "tasks_waiting").is_empty());
    let over = lines::of(&lines, "tasks_wait_over");
    assert_eq!(over.len(), 1, "{over:?}");
    assert!((3_500..6_000).contains(&number(over[0], "waited_ms")), "{over:?}");
}

/// Tasks of a lost worker aren't queued while its leases may last; they are logged with the worker
/// and the maximum wait.
#[test]
fn silent_worker() {
    let mut world = world(33);
    world.submit(1, &submission(vec![long_running(4, 2)]));
    world.run(2 * SECOND);
    let busy = world.workers.iter().position(|worker| !worker.running.is_empty());
    let busy = busy.expect("four tasks run");
    world.workers[busy].crash(&mut world.checker);
    world.run(4 * SECOND);
    let lines = lines::take();
    let waiting = lines::of(&lines, "tasks_waiting");
    let line = waiting.first().expect("a line on the worker's tasks");
    assert_eq!(line.get("reason"), "it may still run at a worker that doesn't answer");
    assert_eq!(line.get("workers"), format!("worker-{busy}"));
    // A lease of 5 s on a clock that may be 2% slow.
    assert!((1..=5_200).contains(&number(line, "at_most_ms")), "{line:?}");
}

/// Tasks that a new leader holds back for an unreachable worker are logged once when held and once
/// when released.
#[test]
fn inherited_work_held() {
    let mut world = world(34);
    world.submit(1, &submission(vec![long_running(8, 2)]));
    let mut later = step(4, 300);
    later.after.push(0);
    world.submit(2, &submission(vec![step(4, 500), later]));
    world.run(Duration::from_millis(100));
    let leader = world.leader().expect("somebody leads");
    for node in &mut world.nodes {
        node.unreachable = vec![1];
    }
    world.kill(leader);
    world.run(15 * SECOND);
    let lines = lines::take();
    let held = lines::of(&lines, "inherited_work_held");
    assert_eq!(held.len(), 1, "{held:?}");
    assert_eq!(held[0].get("workers"), "worker-1");
    assert_eq!(number(held[0], "unanswered"), 1);
    assert!((5_000..10_000).contains(&number(held[0], "at_most_ms")), "{held:?}");
    let released = lines::of(&lines, "inherited_work_released");
    assert_eq!(released.len(), 1, "{released:?}");
    assert_eq!(released[0].get("unanswered"), "worker-1");
    assert!((5_000..10_000).contains(&number(released[0], "held_ms")), "{released:?}");
    let waiting = lines::of(&lines, "tasks_waiting");
    let unanswered = "workers that may still run it haven't answered the new leader";
    let unanswered = waiting.iter().find(|line| line.get("reason") == unanswered);
    assert_eq!(unanswered.map(|line| line.get("workers")), Some("worker-1"));
}

/// A leader that all workers answer quickly logs nothing about held tasks.
#[test]
fn quick_survey() {
    let mut world = world(35);
    world.submit(1, &submission(vec![long_running(4, 2)]));
    world.run(SECOND);
    let leader = world.leader().expect("somebody leads");
    world.kill(leader);
    world.run(5 * SECOND);
    let lines = lines::take();
    assert!(!lines::of(&lines, "survey_complete").is_empty());
    assert!(lines::of(&lines, "inherited_work_held").is_empty());
    assert!(lines::of(&lines, "inherited_work_released").is_empty());
}

/// Hundreds of workflows that wait at once don't flood the log.
#[test]
fn flood_is_bounded() {
    let mut world = world(36);
    for id in 1..400 {
        world.submit(id, &submission(vec![long_running(20, 8)]));
    }
    world.run(3 * SECOND);
    lines::take();
    let mut logged = std::collections::BTreeSet::new();
    let mut skipped = Vec::new();
    for _ in 0..10 {
        world.run(SECOND);
        let lines = lines::take();
        let waiting = lines::of(&lines, "tasks_waiting");
        assert!(waiting.len() <= 10, "{} lines in a second", waiting.len());
        logged.extend(waiting.iter().map(|line| line.get("step").to_owned()));
        skipped.extend(lines::of(&lines, "waits_untold").iter().map(|line| number(line, "steps")));
    }
    // The least recently logged come first, so all get their turn.
    assert!(logged.len() >= 90, "{} steps", logged.len());
    // The number of steps without a line is logged at intervals.
    assert!((2..=3).contains(&skipped.len()), "{skipped:?}");
    assert!(skipped.iter().all(|steps| (300..400).contains(steps)), "{skipped:?}");
}

/// Starts and ends of hundreds of runs at once are bounded, and first starts leave lines for ends.
#[test]
fn run_lines_bounded() {
    let mut world = world(37);
    for _ in 0..80 {
        world.add_worker(8);
    }
    world.run(2 * SECOND);
    let id = world.submit(1, &submission(vec![long_running(600, 1)]));
    let mut started = 0;
    for _ in 0..4 {
        world.run(SECOND);
        started += lines::of(&lines::take(), "lasting_task_started").len();
    }
    assert!((100..=200 + 4 * 20).contains(&started), "{started}");
    world.cancel(id);
    world.run(3 * SECOND);
    let lines = lines::take();
    let ended = lines::of(&lines, "lasting_task_ended").len();
    assert!((200..=400 + 3 * 20).contains(&ended), "{ended}");
    let suppressed: u64 =
        lines::of(&lines, "lines_left_out").iter().map(|line| number(line, "lines")).sum();
    assert_eq!(suppressed + ended as u64, 600);
}

//! Lines on what waits: since when, for what, and never more of them than a bound.

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

/// A service is larger than its workers, so some of its tasks wait for minutes. Their user asks which
/// and why.
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

/// A line on a wait for room says how many workers the service has and how many of them take work, so that
/// a full service can be told from one that has lost its workers.
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

/// The wait is over; a line says so, so that its end needn't be guessed.
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

/// A worker is lost. Its tasks aren't in any queue while its leases may last; the line names the worker
/// and how long that takes at most.
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

/// A new leader can't reach a worker, and holds all that it inherits for it. One line says so when that
/// has lasted, with the worker's name and how long it lasts at most, and one when it ends.
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
    let survey = "workers that may still run it haven't answered the new leader";
    let survey = waiting.iter().find(|line| line.get("reason") == survey);
    assert_eq!(survey.map(|line| line.get("workers")), Some("worker-1"));
}

/// A leader that hears all workers within some milliseconds says nothing of work held.
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

/// Hundreds of workflows wait at once, as after an outage. Were there a line for each task, or for each
/// workflow every few seconds, the log's queue would overflow and drop the lines that matter.
#[test]
fn flood_is_bounded() {
    let mut world = world(36);
    for id in 1..400 {
        world.submit(id, &submission(vec![long_running(20, 8)]));
    }
    world.run(3 * SECOND);
    lines::take();
    let mut told = std::collections::BTreeSet::new();
    let mut untold = Vec::new();
    for _ in 0..10 {
        world.run(SECOND);
        let lines = lines::take();
        let waiting = lines::of(&lines, "tasks_waiting");
        assert!(waiting.len() <= 10, "{} lines in a second", waiting.len());
        told.extend(waiting.iter().map(|line| line.get("step").to_owned()));
        untold.extend(lines::of(&lines, "waits_untold").iter().map(|line| number(line, "steps")));
    }
    // Those that were told least lately come first, so all come in turn.
    assert!(told.len() >= 90, "{} steps", told.len());
    // How many waited without a line is told now and then.
    assert!((2..=3).contains(&untold.len()), "{untold:?}");
    assert!(untold.iter().all(|steps| (300..400).contains(steps)), "{untold:?}");
}

/// Services of hundreds of tasks start and are cancelled at once. First starts take only a part of the
/// lines, so that a wide service that begins doesn't hide the end of another.
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
    let left_out: u64 =
        lines::of(&lines, "lines_left_out").iter().map(|line| number(line, "lines")).sum();
    assert_eq!(left_out + ended as u64, 600);
}

//! Log lines on runs that are lost with their worker.

mod support;

use {
    egretlb_workflow::Limits,
    std::time::Duration,
    support::{
        lines::{self, Line},
        step, submission,
        world::World,
    },
};

const SECOND: Duration = Duration::from_secs(1);

/// Crashes the first busy worker; returns the number of its runs and the log lines on them.
fn lost_lines(revive: bool) -> (usize, Vec<Line>) {
    let mut world = World::new(31, 2, 4, Limits::default());
    world.run(2 * SECOND);
    lines::collect();
    world.submit(1, &submission(vec![step(8, 6_000)]));
    world.run(2 * SECOND);
    let busy_worker = world.workers.iter().position(|worker| !worker.running.is_empty());
    let busy_worker = busy_worker.expect("eight tasks run");
    let runs = world.workers[busy_worker].running.len();
    world.workers[busy_worker].crash(&mut world.checker);
    world.run(SECOND);
    if revive {
        world.revive(busy_worker);
    }
    world.run(8 * SECOND);
    let lines = lines::take();
    (runs, lines::of(&lines, "run_lost").into_iter().cloned().collect())
}

/// Guards against lost runs without a log line, and lines that can't be attributed to a worker.
#[test]
fn replaced_worker() {
    let (runs, lines) = lost_lines(true);
    assert_eq!(lines.len(), runs);
    for line in &lines {
        assert_eq!(line.get("loss"), "replaced");
        assert_eq!(line.get("in_doubt"), "false");
        assert_eq!(line.get("beside"), (runs - 1).to_string());
        let worked_ms: u64 = line.get("worked_ms").parse().expect("a number");
        assert!((1..=2_000).contains(&worked_ms), "{worked_ms}");
    }
}

/// Guards against a line that reports an unresponsive worker as crashed, since it may only be partitioned.
#[test]
fn silent_worker() {
    let (runs, lines) = lost_lines(false);
    assert_eq!(lines.len(), runs);
    let lapsed = |line: &Line| line.get("loss") == "lapsed" && line.get("lease_left_ms") == "0";
    assert!(lines.iter().all(lapsed), "{lines:?}");
}

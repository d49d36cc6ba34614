//! Each run that is lost with its worker leaves a line.

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

/// Crashes the first busy worker and returns the lines on what was lost there, once `after` is over.
fn lost_lines(revive: bool) -> (usize, Vec<Line>) {
    let mut world = World::new(31, 2, 4, Limits::default());
    world.run(2 * SECOND);
    lines::collect();
    world.submit(1, &submission(vec![step(8, 6_000)]));
    world.run(2 * SECOND);
    let busy = world.workers.iter().position(|worker| !worker.running.is_empty());
    let busy = busy.expect("eight tasks run");
    let runs = world.workers[busy].running.len();
    world.workers[busy].crash(&mut world.checker);
    world.run(SECOND);
    if revive {
        world.revive(busy);
    }
    world.run(8 * SECOND);
    let lines = lines::take();
    (runs, lines::of(&lines, "run_lost").into_iter().cloned().collect())
}

/// Without these lines nobody can tell which tasks a worker took along, nor whether one of them runs at each worker that is
/// lost.
#[test]
fn replaced_worker() {
    let (runs, lines) = lost_lines(true);
    assert_eq!(lines.len(), runs);
    for line in &lines {
        assert_eq!(line.get("loss"), "replaced");
        assert_eq!(line.get("in_doubt"), "false");
        assert_eq!(line.get("beside"), (runs - 1).to_string());
        let worked: u64 = line.get("worked_ms").parse().expect("a number");
        assert!((1..=2_000).contains(&worked), "{worked}");
    }
}

/// A worker that stays away may merely be cut off, and its line says so.
#[test]
fn silent_worker() {
    let (runs, lines) = lost_lines(false);
    assert_eq!(lines.len(), runs);
    assert!(lines.iter().all(|line| line.get("loss") == "lapsed"), "{lines:?}");
}

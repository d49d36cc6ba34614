//! Findings for long-running tasks that weren't running, from log lines as the daemons write them.

use egretlb_explain::{ExplanationBuilder, Finding};

const ID: &str = "97aa5350f2a720be";

/// Explains lines given as time in seconds, VM and the remaining pairs.
fn explain(id: &str, lines: &[(f64, &str, &str)]) -> Vec<Finding> {
    let mut builder = ExplanationBuilder::new(id);
    for (at, node, rest) in lines.iter().rev() {
        builder.add_line(&format!(
            "ts=2026-10-11T16:07:{at:06.3}Z level=info node={node} event={rest}"
        ));
    }
    builder.finish().findings
}

fn texts(findings: &[Finding]) -> String {
    findings.iter().map(|finding| format!("{finding}\n")).collect()
}

/// A gap caused by preemption and the wait for capacity.
#[test]
fn preempted() {
    let findings = explain(
        ID,
        &[
            (1.000, "entry-1", "submitted workflow=97aa5350f2a720be route=r stored=Yes"),
            (
                1.100,
                "entry-2",
                "lasting_task_started task=97aa5350f2a720be.0.0.3 run=4000 worker=w-1",
            ),
            (
                9.000,
                "entry-2",
                "task_preempted task=97aa5350f2a720be.0.0.3 run=4000 worker=w-1 waiting=3",
            ),
            (
                9.400,
                "entry-2",
                "lasting_task_ended task=97aa5350f2a720be.0.0.3 run=4000 worker=w-1 end=stopped why=preempted",
            ),
            (
                11.500,
                "entry-2",
                "tasks_waiting step=97aa5350f2a720be.0.0 tasks=1 indices=3 waited_ms=2100 \
                 reason=\"no worker has room\"",
            ),
            (
                13.400,
                "entry-2",
                "lasting_task_started task=97aa5350f2a720be.0.0.3 run=4001 worker=w-2 waited_ms=4000",
            ),
        ],
    );
    let texts = texts(&findings);
    let down = "task 0.0.3 didn't run for 4000 ms, from 2026-10-11T16:07:09.400Z (stopped at w-1: preempted) \
                until it was started at w-2";
    assert!(texts.contains(down), "{texts}");
    let waited = "step 0.0 waited since 2026-10-11T16:07:09.400Z, for 2100 ms at least, 1 of its tasks (3): \
                  no worker has room";
    assert!(texts.contains(waited), "{texts}");
}

/// A leader and a worker are lost together, so the end of the run isn't logged.
#[test]
fn leader_and_worker_lost() {
    let findings = explain(
        ID,
        &[
            (1.000, "entry-1", "submitted workflow=97aa5350f2a720be route=r stored=Yes"),
            (
                1.100,
                "entry-2",
                "lasting_task_started task=97aa5350f2a720be.0.0.3 run=4000 worker=w-1",
            ),
            (20.000, "entry-3", "elected epoch=5 workers=66 workflows=80 unaccounted=66"),
            (
                20.500,
                "entry-3",
                "inherited_work_held epoch=5 held_ms=500 unanswered=2 workers=w-1,w-9 at_most_ms=8700",
            ),
            (29.200, "entry-3", "inherited_work_released epoch=5 held_ms=9200 unanswered=w-1,w-9"),
            (
                29.210,
                "entry-3",
                "lasting_task_started task=97aa5350f2a720be.0.0.3 run=5000 worker=w-2 waited_ms=9210",
            ),
        ],
    );
    let texts = texts(&findings);
    assert!(
        texts.contains(
            "the new leader entry-3 held inherited work until 2026-10-11T16:07:29.200Z, for 9200 ms, since \
             workers didn't answer: w-1 w-9"
        ),
        "{texts}"
    );
    assert!(
        texts.contains(
            "task 0.0.3 was started again at 2026-10-11T16:07:29.210Z at w-2, 9210 ms after it was found \
             missing; no line tells the end of its run at w-1"
        ),
        "{texts}"
    );
}

/// Context after the last line of a task that is still down is included.
#[test]
fn still_down() {
    let findings = explain(
        ID,
        &[
            (1.000, "entry-1", "submitted workflow=97aa5350f2a720be route=r stored=Yes"),
            (
                1.100,
                "entry-2",
                "lasting_task_started task=97aa5350f2a720be.0.0.3 run=4000 worker=w-1",
            ),
            (
                9.400,
                "entry-2",
                "lasting_task_ended task=97aa5350f2a720be.0.0.3 run=4000 worker=w-1 end=lost why=-",
            ),
            (11.000, "entry-3", "elected epoch=5 workers=66 workflows=80 unaccounted=66"),
            (
                11.500,
                "entry-3",
                "inherited_work_held epoch=5 held_ms=500 unanswered=1 workers=w-9 at_most_ms=8700",
            ),
        ],
    );
    let texts = texts(&findings);
    assert!(
        texts.contains(
            "task 0.0.3 hasn't run since 2026-10-11T16:07:09.400Z, when it was lost with w-1"
        ),
        "{texts}"
    );
    assert!(
        texts.contains(
            "the new leader entry-3 has held inherited work since 2026-10-11T16:07:11.000Z, at most until \
             2026-10-11T16:07:20.200Z, for workers that haven't answered: w-9"
        ),
        "{texts}"
    );
}

/// An explanation of one task leaves out other tasks and steps.
#[test]
fn one_task() {
    let lines = [
        (1.000, "entry-1", "submitted workflow=97aa5350f2a720be route=r stored=Yes"),
        (
            2.000,
            "entry-2",
            "lasting_task_ended task=97aa5350f2a720be.0.0.3 run=4 worker=w-1 end=stopped why=relieved",
        ),
        (
            2.100,
            "entry-2",
            "lasting_task_ended task=97aa5350f2a720be.0.0.4 run=4 worker=w-1 end=stopped why=relieved",
        ),
        (
            5.000,
            "entry-2",
            "tasks_waiting step=97aa5350f2a720be.0.0 tasks=2 indices=3,4 waited_ms=3000 reason=\"no worker has room\"",
        ),
        (
            6.000,
            "entry-2",
            "tasks_waiting step=97aa5350f2a720be.0.1 tasks=1 indices=3 waited_ms=3000 reason=\"no worker has room\"",
        ),
    ];
    let texts = texts(&explain("97aa5350f2a720be.0.0.3", &lines));
    assert!(texts.contains("task 0.0.3 hasn't run since"), "{texts}");
    assert!(!texts.contains("task 0.0.4"), "{texts}");
    assert!(texts.contains("step 0.0 waited") && !texts.contains("step 0.1"), "{texts}");
}

/// Lines left out by the daemon's rate limit are reported as missing.
#[test]
fn left_out() {
    let findings = explain(
        ID,
        &[
            (1.000, "entry-1", "submitted workflow=97aa5350f2a720be route=r stored=Yes"),
            (4.000, "entry-2", "lines_left_out kind=lasting_tasks lines=40"),
            (5.000, "entry-2", "workflow_ended workflow=97aa5350f2a720be outcome=Completed"),
        ],
    );
    assert_eq!(findings.last(), Some(&Finding::LinesMissing { lines: 40 }));
}

/// Waits that weren't logged individually are reported.
#[test]
fn unlogged_waits() {
    let findings = explain(
        ID,
        &[
            (1.000, "entry-1", "submitted workflow=97aa5350f2a720be route=r stored=Yes"),
            (4.000, "entry-2", "waits_untold steps=113"),
            (9.000, "entry-2", "waits_untold steps=59"),
            (9.500, "entry-2", "workflow_ended workflow=97aa5350f2a720be outcome=Completed"),
        ],
    );
    let expected = "up to 113 steps waited without a line of their own, this one perhaps, too";
    assert!(texts(&findings).contains(expected), "{findings:?}");
}

/// If a start isn't logged, the later end of another run counts.
#[test]
fn unlogged_start() {
    let findings = explain(
        ID,
        &[
            (
                2.000,
                "entry-2",
                "lasting_task_ended task=97aa5350f2a720be.0.0.3 run=1000 worker=w-1 end=lapsed why=- down_ms=0",
            ),
            (
                30.000,
                "entry-2",
                "lasting_task_ended task=97aa5350f2a720be.0.0.3 run=6000 worker=w-2 end=lost \
                 why=worker_silent down_ms=5000",
            ),
        ],
    );
    let texts = texts(&findings);
    assert!(
        texts.contains(
            "task 0.0.3 hasn't run since 2026-10-11T16:07:25.000Z, when it was lost with w-2: worker_silent"
        ),
        "{texts}"
    );
}

/// A suspension ends when the leader resumes or another one is elected.
#[test]
fn commands_suspended() {
    let findings = explain(
        ID,
        &[
            (1.000, "entry-1", "submitted workflow=97aa5350f2a720be route=r stored=Yes"),
            (5.000, "entry-2", "orders_suspended epoch=4"),
            (12.000, "entry-2", "orders_resumed epoch=4 after_ms=7000"),
            (20.000, "entry-2", "orders_suspended epoch=4"),
            (21.000, "entry-3", "elected epoch=5 workers=66 workflows=80 unaccounted=66"),
        ],
    );
    let texts = texts(&findings);
    assert!(
        texts.contains(
            "the leader entry-2 gave no orders from 2026-10-11T16:07:05.000Z until \
             2026-10-11T16:07:12.000Z: the store took no sign of life from it"
        ),
        "{texts}"
    );
    assert!(
        texts.contains("from 2026-10-11T16:07:20.000Z until 2026-10-11T16:07:21.000Z"),
        "{texts}"
    );
}

/// A new leader is deposed while it delays inherited tasks.
#[test]
fn held_until_deposed() {
    let findings = explain(
        ID,
        &[
            (1.000, "entry-1", "submitted workflow=97aa5350f2a720be route=r stored=Yes"),
            (
                3.000,
                "entry-2",
                "inherited_work_held epoch=5 held_ms=300 unanswered=1 workers=w-9 at_most_ms=8700",
            ),
            (7.000, "entry-3", "elected epoch=6 workers=66 workflows=80 unaccounted=66"),
        ],
    );
    let texts = texts(&findings);
    assert!(
        texts.contains(
            "the new leader entry-2 held inherited work since 2026-10-11T16:07:02.700Z, until another \
             became leader at 2026-10-11T16:07:07.000Z, for workers that hadn't answered: w-9"
        ),
        "{texts}"
    );
}

/// A suspension logged by a leader that was already superseded is ignored.
#[test]
fn superseded_leader() {
    let findings = explain(
        ID,
        &[
            (1.000, "entry-1", "submitted workflow=97aa5350f2a720be route=r stored=Yes"),
            (20.000, "entry-3", "elected epoch=5 workers=66 workflows=80 unaccounted=66"),
            (24.000, "entry-2", "orders_suspended epoch=4"),
            (24.010, "entry-2", "deposed leader=entry-3"),
        ],
    );
    assert!(!texts(&findings).contains("gave no orders"), "{findings:?}");
}

/// Repeated lines of a wait are merged: the maximum number of tasks, and the latest number of workers.
#[test]
fn merged_waits() {
    let lines = [
        (
            5.000,
            "entry-2",
            "tasks_waiting step=97aa5350f2a720be.0.0 tasks=2 indices=0,1 waited_ms=3000 \
             reason=\"no worker has room\" workers=\"\" service_workers=48 fit_workers=31",
        ),
        (
            9.000,
            "entry-2",
            "tasks_waiting step=97aa5350f2a720be.0.0 tasks=1 indices=1 waited_ms=7000 \
             reason=\"no worker has room\" workers=\"\" service_workers=48 fit_workers=33",
        ),
    ];
    let texts = texts(&explain(ID, &lines));
    assert!(
        texts.contains(
            "step 0.0 waited since 2026-10-11T16:07:02.000Z, for 7000 ms at least, 2 of its tasks (0,1): no \
             worker has room; 33 of its service's 48 workers take work"
        ),
        "{texts}"
    );
}

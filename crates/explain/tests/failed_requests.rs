//! Findings for late, failed and rejected requests, from log lines as the daemons write them.

use egretlb_explain::{DelayRefusals, ExplanationBuilder, Finding};

const ID: &str = "97aa5350f2a720be";

/// Explains lines given as time in seconds, VM and the remaining pairs.
fn explain(lines: &[(f64, &str, &str)]) -> Vec<Finding> {
    let mut builder = ExplanationBuilder::new(ID);
    // Logs of several VMs aren't sorted by time.
    for (at, node, rest) in lines.iter().rev() {
        builder.add_line(&format!(
            "ts=2026-10-11T16:07:{at:06.3}Z level=info node={node} event={rest}"
        ));
    }
    builder.finish().findings
}

/// A late start is attributed to a change of the leader.
#[test]
fn leader_killed() {
    let findings = explain(&[
        (1.000, "entry-1", "submitted workflow=97aa5350f2a720be route=r stored=Yes"),
        (2.600, "entry-2", "elected epoch=4 workers=66 workflows=80 unaccounted=66"),
        (2.640, "entry-2", "survey_complete epoch=4"),
        (2.650, "entry-2", "workflow_started workflow=97aa5350f2a720be worker=w-1"),
        (3.900, "entry-2", "workflow_ended workflow=97aa5350f2a720be outcome=Completed"),
    ]);
    assert_eq!(findings[0].to_string(), "accepted at 2026-10-11T16:07:01.000Z by entry-1");
    assert!(findings.contains(&Finding::StartedLate { waited_ms: 1_650, leaders: 1 }));
    assert!(matches!(
        &findings[2],
        Finding::LeaderChanged { node, surveyed_after_ms: Some(40), .. } if node == "entry-2"
    ));
    assert!(matches!(&findings[3], Finding::Ended { took_ms: Some(2_900), .. }));
}

/// A submission with an unknown outcome is counted as a failed attempt before the accepted one.
#[test]
fn outcome_unknown() {
    let findings = explain(&[
        (1.000, "entry-1", "append_given_up records=3 stored=Unknown"),
        (1.000, "entry-1", "submitted workflow=97aa5350f2a720be route=r stored=Unknown"),
        (1.400, "entry-3", "submitted workflow=97aa5350f2a720be route=r stored=Yes"),
        (1.410, "entry-2", "workflow_started workflow=97aa5350f2a720be worker=w-1"),
        (2.000, "entry-2", "workflow_ended workflow=97aa5350f2a720be outcome=Completed"),
    ]);
    assert_eq!(findings[0], Finding::AnsweredUnknown { times: 1 });
    assert!(matches!(&findings[1], Finding::Accepted { refused_before: 1, .. }));
}

/// Failed runs are attributed to quarantined workers, but only to those that ran a task of the workflow.
#[test]
fn workers_at_fault() {
    let findings = explain(&[
        (1.000, "entry-1", "submitted workflow=97aa5350f2a720be route=r stored=Yes"),
        (1.010, "entry-2", "workflow_started workflow=97aa5350f2a720be worker=w-1"),
        (1.300, "entry-2", "task_failed task=97aa5350f2a720be.0.0.4 run=1 worker=w-1 attempts=1"),
        (1.350, "entry-2", "worker_quarantined worker=w-1 failures=2"),
        (1.360, "entry-2", "worker_quarantined worker=w-77 failures=2"),
        (1.700, "entry-2", "task_failed task=97aa5350f2a720be.0.0.4 run=2 worker=w-2 attempts=2"),
        (1.710, "entry-2", "workflow_ended workflow=97aa5350f2a720be outcome=Failed copies=3"),
    ]);
    assert!(findings.iter().any(|finding| finding.to_string() == "runs failed: 1 at w-1 1 at w-2"));
    // w-77 ran no task of the workflow.
    let at_fault = Finding::WorkersAtFault { workers: vec!["w-1".into()] };
    assert!(findings.contains(&at_fault));
    assert!(matches!(findings.last(), Some(Finding::Ended { outcome, .. }) if outcome == "Failed"));
}

/// Lost runs are counted by task.
#[test]
fn runs_lost_by_task() {
    let findings = explain(&[
        (1.000, "entry-1", "submitted workflow=97aa5350f2a720be route=r stored=Yes"),
        (1.010, "entry-2", "workflow_started workflow=97aa5350f2a720be worker=w-1"),
        (4.300, "entry-2", "run_lost task=97aa5350f2a720be.0.0.4 run=1 worker=w-1 loss=replaced"),
        (4.300, "entry-2", "run_lost task=97aa5350f2a720be.0.0.5 run=1 worker=w-1 loss=replaced"),
        (7.700, "entry-2", "run_lost task=97aa5350f2a720be.0.0.4 run=2 worker=w-2 loss=replaced"),
    ]);
    let expected =
        "runs lost with their worker: 2 of 97aa5350f2a720be.0.0.4 1 of 97aa5350f2a720be.0.0.5";
    assert!(findings.iter().any(|finding| finding.to_string() == expected), "{findings:?}");
}

/// Guards against a long-running task that ends again and again without a word of it.
#[test]
fn exits_by_task() {
    let findings = explain(&[
        (1.000, "entry-1", "submitted workflow=97aa5350f2a720be route=r stored=Yes"),
        (1.010, "entry-2", "workflow_started workflow=97aa5350f2a720be worker=w-1"),
        (4.300, "entry-2", "task_exited task=97aa5350f2a720be.0.0.1 run=1 worker=w-1 exits=1"),
        (6.300, "entry-2", "task_exited task=97aa5350f2a720be.0.0.1 run=2 worker=w-2 exits=2"),
    ]);
    let expected = "long-running tasks ended successfully and were started again: \
                    2 of 97aa5350f2a720be.0.0.1";
    assert!(findings.iter().any(|finding| finding.to_string() == expected), "{findings:?}");
}

/// The task that crashed its workers is named.
#[test]
fn crashing_task() {
    let findings = explain(&[
        (1.000, "entry-1", "submitted workflow=97aa5350f2a720be route=r stored=Yes"),
        (1.010, "entry-2", "workflow_started workflow=97aa5350f2a720be worker=w-1"),
        (7.700, "entry-2", "task_given_up task=97aa5350f2a720be.0.0.4 crashes=2"),
        (7.700, "entry-2", "workflow_ended workflow=97aa5350f2a720be outcome=Failed copies=3"),
    ]);
    let (task, crashes) = ("97aa5350f2a720be.0.0.4".into(), 2);
    assert!(findings.contains(&Finding::CrashedWorkers { task, crashes }), "{findings:?}");
}

#[test]
fn refused_only() {
    let findings = explain(&[
        (1.000, "entry-1", "append_given_up records=3 stored=No"),
        (1.000, "entry-1", "submitted workflow=97aa5350f2a720be route=r stored=No"),
        (2.100, "entry-1", "submitted workflow=97aa5350f2a720be route=r stored=No"),
    ]);
    assert_eq!(findings, [Finding::Refused { times: 2, store_failed: true }]);
}

#[test]
fn never_seen() {
    let findings =
        explain(&[(1.0, "entry-1", "submitted workflow=00000000000000a1 route=r stored=Yes")]);
    assert_eq!(findings, [Finding::NotSeen]);
}

/// Dropped log lines are reported.
#[test]
fn lines_missing() {
    let findings = explain(&[
        (1.000, "entry-1", "submitted workflow=97aa5350f2a720be route=r stored=Yes"),
        (1.500, "entry-1", "log_lines_dropped lines=12"),
        (2.000, "entry-2", "workflow_ended workflow=97aa5350f2a720be outcome=Completed"),
    ]);
    assert_eq!(findings.last(), Some(&Finding::LinesMissing { lines: 12 }));
}

/// Guards against a refusal by the estimated delay that is explained as a failure of the store, or not at all.
#[test]
fn refused_by_delay() {
    let refused = "submission_refused workflow=97aa5350f2a720be route=r delay_ms=41000 age_ms=320 limit_ms=30000 \
                   retry_after_s=4";
    let findings = explain(&[(1.000, "entry-1", refused), (3.200, "entry-2", refused)]);
    let expected = Finding::RefusedByDelay(DelayRefusals {
        times: 2,
        delay_ms: 41_000,
        limit_ms: 30_000,
        age_ms: 320,
        retry_after_s: 4,
    });
    assert_eq!(findings, [expected]);
    let accepted = (7.500, "entry-2", "submitted workflow=97aa5350f2a720be route=r stored=Yes");
    let findings = explain(&[(1.000, "entry-1", refused), accepted]);
    assert!(matches!(&findings[0], Finding::RefusedByDelay(DelayRefusals { times: 1, .. })));
    assert!(matches!(&findings[1], Finding::Accepted { refused_before: 1, .. }));
}

//! `egretlb explain`.

mod helper;

use {
    helper::{egretlb, file},
    serde_json::Value,
};

const LOG: &str = "\
boot: nothing of ours
ts=2026-10-11T16:07:01.000Z level=info node=entry-1 event=submitted workflow=97aa5350f2a720be route=r stored=Yes
ts=2026-10-11T16:07:02.000Z level=info node=entry-2 event=elected epoch=4 workers=66 workflows=80 unaccounted=66
ts=2026-10-11T16:07:02.040Z level=info node=entry-2 event=survey_complete epoch=4
";

const LATER: &str = "\
ts=2026-10-11T16:07:03.900Z level=info node=entry-2 event=workflow_ended workflow=97aa5350f2a720be outcome=Completed
\u{fffd}ts=2026-10-11T16:07:02.050Z level=info node=entry-2 event=workflow_started workflow=97aa5350f2a720be worker=w-1
";

#[test]
fn two_files() {
    let (first, second) = (file("explain-1.log", LOG), file("explain-2.log", LATER));
    let ended = egretlb(["explain", "97aa5350f2a720be", &first, &second]);
    assert_eq!((ended.code, ended.err.as_str()), (0, ""));
    let at = |text: &str| ended.out.find(text).unwrap_or_else(|| panic!("{text}: {}", ended.out));
    assert!(at("submitted") < at("~ 2026-10-11T16:07:02.000Z entry-2 elected"));
    assert!(at("elected") < at("workflow_started"));
    assert!(ended.out.contains("- first started 1050 ms after its acceptance: the leader changed"));
    assert!(
        ended.out.contains("- completed at 2026-10-11T16:07:03.900Z, 2900 ms after its acceptance")
    );
}

#[test]
fn as_json() {
    let path = file("explain-3.log", LOG);
    let ended = egretlb(["explain", "97aa5350f2a720be", &path, "--json"]);
    let value: Value = serde_json::from_str(&ended.out).expect("one document");
    assert_eq!(value["findings"][0]["finding"], "accepted");
    assert_eq!(value["happenings"][0]["event"], "submitted");
}

#[test]
fn no_line() {
    let path = file("explain-4.log", LOG);
    let ended = egretlb(["explain", "00000000000000a1", &path]);
    assert_eq!(ended.code, 5);
    assert!(ended.err.contains("no line names workflow 00000000000000a1"), "{}", ended.err);
}

#[test]
fn bad_words() {
    let ended = egretlb(["explain", "not-an-id"]);
    assert_eq!(ended.code, 2);
    assert!(ended.err.contains("16 hexadecimal digits"), "{}", ended.err);
    let ended = egretlb(["explain", "97aa5350f2a720be", "/no/such/file"]);
    assert_eq!(ended.code, 1);
    assert_eq!(egretlb(["explain"]).code, 2);
}

/// The id of a task selects the events of this task only.
#[test]
fn one_task() {
    const TASK: &str = "97aa5350f2a720be.0.0.3";
    let log = "\
ts=2026-10-11T16:07:09.400Z level=info node=entry-2 event=lasting_task_ended task=97aa5350f2a720be.0.0.3 run=4 worker=w-1 end=stopped why=preempted
ts=2026-10-11T16:07:09.500Z level=info node=entry-2 event=lasting_task_ended task=97aa5350f2a720be.0.0.4 run=4 worker=w-1 end=stopped why=preempted
";
    let ended = egretlb(["explain", TASK, &file("explain-5.log", log)]);
    assert_eq!((ended.code, ended.err.as_str()), (0, ""));
    assert!(ended.out.contains("\ntask 97aa5350f2a720be.0.0.3\n"), "{}", ended.out);
    let finding = "- task 0.0.3 hasn't run since 2026-10-11T16:07:09.400Z, when it was stopped at w-1: preempted";
    assert!(ended.out.contains(finding), "{}", ended.out);
    assert!(!ended.out.contains("0.0.4"), "{}", ended.out);
    assert_eq!(egretlb(["explain", "97aa5350f2a720be.0.0", "/no/such/file"]).code, 2);
}

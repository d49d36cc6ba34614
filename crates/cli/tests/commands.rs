//! The commands, against a fake daemon.

mod helper;

use {
    egretlb_api::{
        CancelAnswer, ConfigView, JobAnswer, JobState, JobStatus, NodeStatus, ProposeAnswer, Role,
        Status, SubmitAnswer, TaskCounts,
    },
    egretlb_config::parse_config,
    egretlb_types::{ConfigDocument, NodeId, Offset, RetryAfter},
    helper::{FakeDaemon, egretlb, example, file},
    serde::Serialize,
    serde_json::{Value, json},
    std::time::Duration,
};

const BOGOTA: &str = include_str!("../../../examples/classes-bogota.jsonc");

fn json_text(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap()
}

fn ok(value: &impl Serialize) -> (u16, String) {
    (200, json_text(value))
}

fn bogota() -> ConfigDocument {
    parse_config(BOGOTA).unwrap()
}

/// Writes the Bogotá example with a changed latency target to a file.
fn changed_file(name: &str) -> String {
    file(name, BOGOTA.replace("\"within\": \"400ms\"", "\"within\": \"350ms\""))
}

/// Starts a daemon with the Bogotá example in force as version 12, which gives `answers` to proposals
/// in turn.
fn daemon_with_answers(answers: Vec<(u16, String)>) -> FakeDaemon {
    let view = ConfigView { version: Some(Offset(12)), document: bogota() };
    FakeDaemon::start(move |called, number| match called.method.as_str() {
        "GET" => ok(&view),
        _ => answers[number - 1].clone(),
    })
}

#[test]
fn help_and_version() {
    let short = egretlb(["-h"]);
    assert_eq!((short.code, short.err.as_str()), (0, ""));
    let long = egretlb(["--help"]);
    assert!(long.out.len() > short.out.len() && long.out.contains("Exit codes."));
    assert!(long.out.lines().all(|line| line.len() <= 80));
    assert_eq!(egretlb(["--version"]).out, concat!("egretlb ", env!("CARGO_PKG_VERSION"), "\n"));
}

#[test]
fn config_check() {
    let ended = egretlb(["config", "check", &example("classes-bogota.jsonc")]);
    assert_eq!((ended.code, ended.err.as_str()), (0, ""));
    assert!(ended.out.ends_with("no faults; 3 teams, 4 classes\n"));
}

#[test]
fn config_diff_and_show() {
    let daemon = daemon_with_answers(vec![]);
    let ended =
        egretlb(["--server", &daemon.addr(), "config", "diff", &changed_file("diff.jsonc")]);
    assert_eq!(ended.code, 0, "{}", ended.err);
    assert_eq!(ended.out, "~ class boundary-check: within 400ms -> 350ms\n");
    assert_eq!(ended.err, "compared with version 12; apply with --base 12\n");

    let shown = egretlb(["--server", &daemon.addr(), "config", "show"]);
    assert!(shown.out.starts_with("// version 12\n"));
    assert_eq!(parse_config(&shown.out).unwrap(), bogota(), "what is shown can be applied");
}

#[test]
fn config_apply() {
    let daemon = daemon_with_answers(vec![ok(&ProposeAnswer::Accepted { version: Offset(15) })]);
    let changed = changed_file("apply.jsonc");
    let args = ["config", "apply", &changed, "--by", "ana", "--server", &daemon.addr(), "--json"];
    let ended = egretlb(args);
    assert_eq!(ended.code, 0, "{}", ended.err);
    assert_eq!(ended.out, "{\"result\":\"accepted\",\"version\":15}\n");
    let proposed = &daemon.calls()[1].body;
    assert_eq!((&proposed["base"], &proposed["by"]), (&json!(12), &json!("ana")));

    // An unchanged configuration isn't proposed.
    let ended =
        egretlb(["--server", &daemon.addr(), "config", "apply", &example("classes-bogota.jsonc")]);
    assert_eq!((ended.code, ended.out.as_str()), (0, "nothing to change; version 12\n"));
    assert_eq!(daemon.calls().len(), 3);
}

#[test]
fn apply_after_lost_answer() {
    // Retries must keep the proposal's id; with a new id the retry would lose to the first try.
    let retry_after = RetryAfter::from_wait(Duration::from_secs(1));
    let daemon = daemon_with_answers(vec![
        (0, String::new()),
        (503, json_text(&ProposeAnswer::Unavailable { retry_after })),
        ok(&ProposeAnswer::Accepted { version: Offset(15) }),
    ]);
    let ended =
        egretlb(["--server", &daemon.addr(), "config", "apply", &changed_file("again.jsonc")]);
    assert_eq!((ended.code, ended.out.as_str()), (0, "accepted; in force is version 15\n"));
    let ids: Vec<Value> =
        daemon.calls()[1..].iter().map(|call| call.body["proposal"].clone()).collect();
    assert_eq!(ids.len(), 3);
    assert!(ids.iter().all(|id| *id == ids[0]), "{ids:?}");
}

#[test]
fn apply_loses_race() {
    // The operator whose proposal loses must see the differences to the configuration in force.
    let mut theirs = bogota();
    theirs.classes.retain(|class| class.name.as_str() != "gazette-watch");
    let lost = ProposeAnswer::Lost { version: Some(Offset(14)), document: Box::new(theirs) };
    let daemon = daemon_with_answers(vec![(409, json_text(&lost))]);
    let changed = changed_file("race.jsonc");
    let ended = egretlb(["--server", &daemon.addr(), "config", "apply", &changed, "--base", "12"]);
    assert_eq!(ended.code, 4);
    assert!(
        ended.out.starts_with("from what is in force (version 14) to yours:\n"),
        "{}",
        ended.out
    );
    assert!(ended.out.contains("~ class boundary-check: within 400ms -> 350ms"));
    assert!(ended.out.contains("+ class gazette-watch"));
    assert!(ended.err.contains("nothing was changed by yours"), "{}", ended.err);
}

#[test]
fn job_submit() {
    let daemon = FakeDaemon::start(|_, _| ok(&SubmitAnswer::Accepted));
    let by_file = egretlb([
        "job",
        "submit",
        &example("job-reconciliation.jsonc"),
        "--server",
        &daemon.addr(),
    ]);
    assert_eq!(by_file.code, 0, "{}", by_file.err);
    assert_eq!(by_file.out, "job reconciliation-2026-01-31 accepted; tasks: 480\n");
    let flags = "job submit --job reconciliation-2026-01-31 --class title-reconciliation --tasks 480 \
                 --cpu 3000m --memory 12000MB --server";
    let words = flags.split_whitespace().chain([daemon.addr().leak(), "--command"]);
    let by_flags = egretlb(words.chain(["reconcile --registry bogota --night 2026-01-31"]));
    assert_eq!(by_flags.code, 0, "{}", by_flags.err);
    let calls = daemon.calls();
    assert_eq!((calls[0].method.as_str(), calls[0].path.as_str()), ("POST", "/jobs"));
    assert_eq!(calls[0].body, calls[1].body, "a file and flags ask for the same");
}

#[test]
fn job_status_and_cancel() {
    let tasks = TaskCounts { queued: 3, running: 2, done: 5, ..TaskCounts::default() };
    let status = JobStatus {
        job: "night-7".parse().unwrap(),
        class: "recall-matching".parse().unwrap(),
        state: JobState::Active,
        tasks,
    };
    let daemon = FakeDaemon::start(move |called, _| match (&*called.method, &*called.path) {
        ("GET", "/jobs/night-7") => ok(&JobAnswer::Found { job: status.clone() }),
        ("DELETE", "/jobs/night-7") => ok(&CancelAnswer::Cancelled),
        ("DELETE", _) => (404, json_text(&CancelAnswer::NotFound)),
        _ => (404, json_text(&JobAnswer::NotFound)),
    });
    let job = |command: &str, id: &str| egretlb(["--server", &daemon.addr(), "job", command, id]);
    let found = job("status", "night-7");
    assert_eq!(found.code, 0, "{}", found.err);
    assert!(found.out.starts_with("job night-7 of recall-matching: active\ntasks: queued 3, "));
    assert!(job("cancel", "night-7").out.contains("night-7 cancelled"));
    for missing in [job("status", "night-8"), job("cancel", "night-8")] {
        assert_eq!(missing.code, 5);
        assert!(missing.err.contains("there is no job night-8"), "{}", missing.err);
    }
}

#[test]
fn status() {
    let node = |name: &str, version| NodeStatus {
        node: NodeId(7),
        name: name.into(),
        role: Role::Scheduler,
        data_centre: "bog-a".parse().unwrap(),
        shards_owned: 128,
        config_version: Some(Offset(version)),
        heard_ms_ago: Some(40),
    };
    let status = Status {
        asked: NodeId(7),
        config_version: Some(Offset(12)),
        control_read_ms_ago: Some(600),
        nodes: vec![node("scheduler-1", 12), node("scheduler-2", 9)],
    };
    let daemon = FakeDaemon::start(move |_, _| ok(&status));
    // The first server is down; the next one is called.
    let servers = format!("127.0.0.1:1,{}", daemon.addr());
    let ended = egretlb(["status", "--server", &servers]);
    assert_eq!(ended.code, 0, "{}", ended.err);
    let lines: Vec<&str> = ended.out.lines().collect();
    assert!(lines[0].starts_with("configuration 12, as node 7 read it 600 ms ago"));
    assert!(lines[2].starts_with("scheduler-1") && !lines[2].contains("behind"));
    assert!(lines[3].starts_with("scheduler-2") && lines[3].ends_with("behind"));
}

#[test]
fn verbose_logs_calls() {
    let daemon = FakeDaemon::start(|_, _| ok(&json!({})));
    let ended = egretlb(["dump", &daemon.addr(), "-v"]);
    let calls =
        ended.err.lines().filter(|line| line.contains("level=debug node=egretlb event=call"));
    assert_eq!(calls.count(), 1, "{}", ended.err);
}

#[test]
fn dump() {
    let daemon = FakeDaemon::start(|_, _| ok(&json!({"node": {"name": "entry-1"}})));
    assert_eq!(egretlb(["dump", &daemon.addr()]).out, "node: name=entry-1\n");
    let raw = egretlb(["dump", &daemon.addr(), "--json"]);
    assert_eq!(raw.out, "{\"node\":{\"name\":\"entry-1\"}}\n");
}

//! Invalid command lines and files, and servers with unexpected answers.

mod helper;

use {
    egretlb_api::{ApiError, ProposeAnswer, SubmitAnswer},
    egretlb_types::RetryAfter,
    helper::{Ended, FakeDaemon, egretlb, example, file},
    serde_json::{Value, json},
    std::time::Duration,
};

#[track_caller]
fn assert_fails(ended: Ended, code: i32, message: &str) {
    assert_eq!(ended.code, code, "{}", ended.err);
    assert!(ended.err.contains(message), "{:?} should say {message:?}", ended.err);
    assert!(ended.err.starts_with("egretlb: "), "{:?}", ended.err);
}

#[test]
fn usage() {
    for (line, message) in [
        ("", "no command is given"),
        ("confg check x", "there is no command \"confg check x\""),
        ("config", "config needs a further word"),
        ("config check", "config check needs a FILE"),
        ("job status", "job status needs a job's ID"),
        ("dump", "dump needs the ADDR of a process"),
        ("dump localhost", "\"localhost\" is no address; give an IP number and port"),
        ("config show", "no server is named; give --server ip:port, or set EGRETLB_SERVER"),
        ("config show --server 127.0.0.1", "is no address"),
        ("config show --sever 127.0.0.1:1", "there is no flag \"--sever\", did you mean --server?"),
        ("config check x --base 3", "--base has no meaning here"),
        ("config show --server=127.0.0.1:1", "write the value of --server as a word of its own"),
        ("status --server 127.0.0.1:1 --server 127.0.0.1:1", "--server is given twice"),
        ("config apply x --server 127.0.0.1:1 --base new", "--base"),
        ("status --timeout 5 --server 127.0.0.1:1", "like \"400ms\""),
        ("job submit --class c --tasks 1 --command x --server 127.0.0.1:1", "--job is missing"),
        ("job status a/b --server 127.0.0.1:1", "the character '/' isn't allowed"),
        ("status --server", "--server needs a value"),
    ] {
        let ended = egretlb(line.split_whitespace());
        assert!(ended.out.is_empty());
        assert_fails(ended, 2, message);
    }
}

#[test]
fn missing_file() {
    assert_fails(egretlb(["config", "check", "no-such.jsonc"]), 1, "no-such.jsonc: No such file");
    assert_fails(
        egretlb(["config", "check", &file("binary", [0xff, 0xfe])]),
        1,
        "readable text file",
    );
}

#[test]
fn faulty_file_stays_here() {
    // A file with faults must be rejected without a call to the server.
    let daemon = FakeDaemon::start(|_, _| (500, String::new()));
    let path = file("faulty.jsonc", "{\n  \"teams\": [],\n  \"clases\": []\n}");
    let ended = egretlb(["--server", &daemon.addr(), "config", "apply", &path]);
    assert!(ended.err.contains(&format!("{path}:3:3: unknown field \"clases\"; did you mean")));
    assert_fails(ended, 3, "2 faults; nothing was changed");
    assert!(daemon.calls().is_empty());

    let json: Value =
        serde_json::from_str(&egretlb(["config", "check", &path, "--json"]).out).unwrap();
    assert_eq!(json["faults"][1]["line"], 3);

    let settings = egretlb(["config", "check", &example("settings-entry.jsonc")]);
    assert_fails(settings, 3, "unknown field \"data_centre\"");
    let job = file("job.jsonc", "{\"job\": \"a b\", \"class\": \"c\", \"tasks\": 0}");
    assert_fails(egretlb(["--server", "127.0.0.1:1", "job", "submit", &job]), 3, "3 faults");
}

#[test]
fn daemon_finds_faults() {
    let view = json!({"version": null, "document": {"teams": [], "classes": []}}).to_string();
    let daemon = FakeDaemon::start(move |called, _| match called.method.as_str() {
        "GET" => (200, view.clone()),
        _ => {
            let faults = vec!["classes[0].within: too short".to_owned()];
            (422, serde_json::to_string(&ProposeAnswer::Invalid { faults }).unwrap())
        }
    });
    let path = example("classes-bogota.jsonc");
    let ended = egretlb(["-q", "--server", &daemon.addr(), "config", "apply", &path]);
    assert_fails(ended, 3, "classes[0].within: too short");
}

#[test]
fn unreachable() {
    let ended = egretlb(["--server", "127.0.0.1:1", "status"]);
    assert_fails(ended, 6, "127.0.0.1:1: not sent");
}

#[test]
fn change_without_answer() {
    // The error must say that the job may have been submitted, and that a retry is safe.
    let retry_after = RetryAfter::from_wait(Duration::from_secs(1));
    let answer = serde_json::to_string(&SubmitAnswer::Unavailable { retry_after }).unwrap();
    let daemon = FakeDaemon::start(move |_, _| (503, answer.clone()));
    let path = example("job-reconciliation.jsonc");
    let ended = egretlb(["--server", &daemon.addr(), "--wait", "150ms", "job", "submit", &path]);
    assert_fails(ended, 6, "it may or may not have been done: give the same command again");
    let calls = daemon.calls();
    let same = |call: &helper::Called| call.path == "/jobs" && call.body == calls[0].body;
    assert!(!calls.is_empty() && calls.iter().all(same), "{calls:?}");
}

#[test]
fn refusals() {
    for (answer, message) in [
        (SubmitAnswer::Conflict, "there is a job reconciliation-2026-01-31 with other contents"),
        (SubmitAnswer::UnknownClass, "title-reconciliation is no batch class"),
        (SubmitAnswer::NeverFits, "no VM could ever hold one of its tasks"),
        (SubmitAnswer::Invalid { message: "too many tasks".into() }, "too many tasks"),
    ] {
        let status = answer.status_code();
        let body = serde_json::to_string(&answer).unwrap();
        let daemon = FakeDaemon::start(move |_, _| (status, body.clone()));
        let path = example("job-reconciliation.jsonc");
        assert_fails(egretlb(["--server", &daemon.addr(), "job", "submit", &path]), 7, message);
    }
    let error = ApiError { error: "the body isn't JSON".into(), retry_after: None };
    let body = serde_json::to_string(&error).unwrap();
    let daemon = FakeDaemon::start(move |_, _| (400, body.clone()));
    assert_fails(egretlb(["dump", &daemon.addr()]), 7, "the body isn't JSON");
}

#[test]
fn not_our_server() {
    // The answer of another HTTP server must not be shown as an empty status.
    for (status, body) in [(200, "<html>\x1b[2J hello"), (404, ""), (200, "{\"a\": 1}")] {
        let daemon = FakeDaemon::start(move |_, _| (status, body.to_owned()));
        let ended = egretlb(["--server", &daemon.addr(), "status"]);
        assert!(!ended.err.contains('\x1b'));
        assert_fails(ended, 6, "is this the operators' address of an egretlb daemon?");
    }
}

#[test]
fn truncated_answer() {
    let daemon = FakeDaemon::start(|_, _| (0, String::new()));
    assert_fails(egretlb(["dump", &daemon.addr()]), 6, "isn't whole");
}

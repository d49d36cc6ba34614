//! Requests at the worker's stand-in, over HTTP.

mod common;

use {
    common::call,
    egretlb_standins::worker::{
        Served, WorkerFaults, WorkerServer, WorkerSettings, body_hash, start_worker,
    },
    egretlb_types::{Megabytes, MilliCores, Resources, worker::StartAnswer},
    serde_json::json,
};

fn worker_with_service() -> WorkerServer {
    let capacity =
        Resources { cpu: MilliCores(1_000), memory: Megabytes(100), ..Resources::default() };
    let settings = WorkerSettings::new("w1".parse().expect("a name"), capacity);
    let worker = start_worker(settings, 0).expect("a free port");
    let start = json!({
        "task": { "job": "svc", "index": 0 }, "fence": { "epoch": 1, "attempt": 1 },
        "class": "checks", "service": true, "resources": { "cpu": 100, "memory": 10 },
        "lease_ms": 600_000, "checkpoint": null, "command": "serve",
    });
    let (status, body) =
        call(worker.addr(), "POST", "/tasks", &[], start.to_string().as_bytes()).expect("start");
    let answer: StartAnswer = serde_json::from_slice(&body).expect("an answer");
    assert_eq!((status, answer), (200, StartAnswer::Started));
    worker
}

#[test]
fn answer_is_its_own() {
    let worker = worker_with_service();
    let headers = [("x-request-id", "r1"), ("x-answer-bytes", "5")];
    let (status, body) =
        call(worker.addr(), "POST", "/serve/checks/a/b", &headers, b"polygon").expect("serve");
    let served: Served = serde_json::from_slice(&body).expect("served");
    let expected = Served {
        id: "r1".into(),
        hash: body_hash(b"polygon"),
        vm: "w1".parse().expect("a name"),
        padding: "xxxxx".into(),
    };
    assert_eq!((status, served), (200, expected));
    assert_eq!(call(worker.addr(), "POST", "/serve/other/", &headers, b"").expect("serve").0, 404);
}

#[test]
fn answer_cut() {
    // A truncated or lost answer must be an error for the caller, although the request ran.
    let worker = worker_with_service();
    worker.set_faults(WorkerFaults { truncate_answers: 1, ..WorkerFaults::default() });
    let headers = [("x-request-id", "r1"), ("x-answer-bytes", "50000")];
    assert!(call(worker.addr(), "GET", "/serve/checks/", &headers, b"").is_err());
    worker.set_faults(WorkerFaults { lose_answers: 1, ..WorkerFaults::default() });
    assert!(call(worker.addr(), "GET", "/serve/checks/", &headers, b"").is_err());
    assert_eq!(worker.history().len(), 5);
}

#[test]
fn refuses_new_work() {
    let worker = worker_with_service();
    let serve = || call(worker.addr(), "GET", "/serve/checks/", &[], b"").map(|(status, _)| status);
    worker.set_faults(WorkerFaults { leaving: true, ..WorkerFaults::default() });
    assert_eq!(serve().expect("an answer"), 503);
    assert!(worker.report().leaving);
    worker.set_faults(WorkerFaults { dead: true, ..WorkerFaults::default() });
    assert!(serve().is_err());
    worker.set_faults(WorkerFaults::default());
    assert_eq!(serve().expect("an answer"), 404);
}

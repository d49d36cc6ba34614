//! Kills, pauses, network faults and outages of real processes. The workers, not egretlb, record
//! the histories.

mod support;

use {
    egretlb_api::{JobState, ProposalId, ProposeAnswer},
    egretlb_standins::{
        checker::{Answer, CallerRecord, History},
        log::LogFaults,
        worker::{Served, WorkerEventKind, WorkerFaults, body_hash},
    },
    egretlb_types::Ran,
    oxhttp::model::StatusCode,
    std::{thread, time::Duration},
    support::{CLASSES, Role, System, WAIT_TIMEOUT, eventually, get, header, propose_on, status},
};

const TASKS: u32 = 12;

/// Tasks run longer than a failed scheduler's lease.
const JOB: &str = "merge run=6s";

fn configured(schedulers: usize, entries: usize) -> System {
    let system = System::start(schedulers, entries, 2);
    system.apply(CLASSES);
    system
}

/// Waits until tasks of the job run.
fn wait_for_running(system: &System, job: &str) {
    eventually("tasks run", || match system.job(job)? {
        egretlb_api::JobAnswer::Found { job } if job.tasks.running > 0 => Some(()),
        _ => None,
    });
}

/// Waits until a worker runs the request.
fn wait_for_request(system: &System, id: &str) {
    let is_begin = |kind: &WorkerEventKind| {
        matches!(
            kind,
            WorkerEventKind::RequestBegan { id: of, .. } if of == id
        )
    };
    eventually("the request runs", || {
        let mut events = system.workers.iter().flat_map(|worker| worker.history());
        events.any(|event| is_begin(&event.kind)).then_some(())
    });
}

/// The events of the workers and the answers to the callers.
fn history(system: &System, caller_records: Vec<CallerRecord>) -> History {
    let worker_events = system.workers.iter().flat_map(|worker| worker.history()).collect();
    let capacities = system.capacities();
    History { worker_events, capacities, caller_records, ..History::default() }
}

fn assert_holds(system: &System, caller_records: Vec<CallerRecord>) {
    let violations = history(system, caller_records).check();
    assert!(violations.is_empty(), "{violations:?}");
}

fn assert_done(system: &System, job: &str) {
    let status = system.wait_for_end(job);
    assert_eq!(status.state, JobState::Done, "{status:?}");
    assert_eq!(status.tasks.done, TASKS);
    assert_holds(system, Vec::new());
}

// A scheduler is killed while a job runs: every task must still be done exactly once.
#[test]
fn killed_scheduler() {
    let mut system = configured(3, 1);
    system.submit("recall-1", TASKS, JOB);
    wait_for_running(&system, "recall-1");
    let mut killed = system.schedulers.remove(0);
    killed.child.kill().expect("the process runs");
    assert_done(&system, "recall-1");
}

// A scheduler is paused for longer than its lease: if it acted on its old state after resuming,
// tasks would run twice at once.
#[test]
fn frozen_scheduler() {
    let system = configured(3, 1);
    system.submit("recall-1", TASKS, JOB);
    wait_for_running(&system, "recall-1");
    system.schedulers[0].signal("-STOP");
    eventually("another one owns its shards", || {
        let frozen: u64 = system.schedulers[0].node.parse().ok()?;
        let seen = status(system.operators());
        let owned = seen.nodes.iter().find(|node| node.node.0 == frozen);
        owned.is_none_or(|node| node.shards_owned == 0).then_some(())
    });
    system.schedulers[0].signal("-CONT");
    assert_done(&system, "recall-1");
}

// A scheduler loses only its connection to the log: it must stop scheduling on its own, since
// others take over its shards.
#[test]
fn scheduler_cut_from_log() {
    let system = configured(3, 1);
    system.submit("recall-1", TASKS, JOB);
    wait_for_running(&system, "recall-1");
    let refuse_nodes = vec![system.schedulers[0].node.as_str().into()];
    system.log.set_faults(LogFaults { refuse_nodes, ..LogFaults::default() });
    assert_done(&system, "recall-1");
}

// All schedulers are replaced at once: accepted jobs must not be lost, and running tasks must not
// be started again.
#[test]
fn all_schedulers_replaced() {
    let mut system = configured(2, 1);
    system.submit("recall-1", TASKS, JOB);
    wait_for_running(&system, "recall-1");
    for mut scheduler in system.schedulers.drain(..) {
        scheduler.child.kill().expect("the process runs");
    }
    for _ in 0..2 {
        let scheduler = system.spawn(Role::Scheduler);
        system.schedulers.push(scheduler);
    }
    assert_done(&system, "recall-1");
}

// A graceful shutdown hands over the shards through the log, exits with success and doesn't
// disturb the job.
#[test]
fn scheduler_ends_gracefully() {
    let mut system = configured(2, 1);
    system.submit("recall-1", TASKS, JOB);
    wait_for_running(&system, "recall-1");
    let mut ending = system.schedulers.remove(0);
    ending.signal("-TERM");
    assert_eq!(ending.exit_code(), Some(0));
    assert_done(&system, "recall-1");
}

// The log loses answers to appends: a repeated submission must not create a second job.
#[test]
fn lost_log_answers() {
    let system = configured(2, 1);
    system.wait_for_service(0, "check");
    system.log.set_faults(LogFaults { lose_answers: 8, ..LogFaults::default() });
    system.submit("recall-1", TASKS, "merge run=300ms");
    assert_done(&system, "recall-1");
}

// The log is down for longer than a lease: requests that don't need it are answered; keyed
// requests are refused with the correct outcome.
#[test]
fn log_down() {
    let system = configured(2, 1);
    system.wait_for_service(0, "check");
    system.wait_for_service(0, "filing");
    system.log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    thread::sleep(Duration::from_secs(5));

    let check = system.request(0, "check", "c-1", &[]).expect("an answer");
    assert_eq!(check.status, StatusCode::OK);
    let filing = system.request(0, "filing", "f-1", &[("idempotency-key", "f-1")]);
    let filing = filing.expect("an answer");
    assert_eq!(filing.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(header(&filing, "egretlb-ran"), Some("no"));
    assert!(header(&filing, "retry-after").is_some());
    let record = CallerRecord {
        id: "f-1".into(),
        idempotent: false,
        hash: body_hash(b"f-1"),
        answer: Answer::Error(Ran::No),
    };
    assert_holds(&system, vec![record]);

    system.log.set_faults(LogFaults::default());
    eventually("filings are taken again", || {
        let answer = system.request(0, "filing", "f-2", &[("idempotency-key", "f-2")]).ok()?;
        (answer.status == StatusCode::OK).then_some(())
    });
    system.submit("recall-1", TASKS, "merge run=300ms");
    assert_done(&system, "recall-1");
}

// An entry is killed while a keyed request runs: a repeat through another entry must not run it
// again.
#[test]
fn killed_entry_keyed() {
    let mut system = configured(2, 2);
    system.wait_for_service(0, "filing");
    system.wait_for_service(1, "filing");
    let callers = system.entries[0].callers;
    let filing = thread::spawn(move || {
        let headers = [("idempotency-key", "claim-7"), ("x-service-ms", "6000")];
        support::send(callers.expect("an entry"), "filing", "claim-7", &headers)
    });
    wait_for_request(&system, "claim-7");
    system.entries[0].child.kill().expect("the process runs");
    assert!(filing.join().expect("no panic").is_err(), "the connection broke");

    let again = system.request(1, "filing", "claim-7", &[("idempotency-key", "claim-7")]);
    let again = again.expect("an answer");
    assert_eq!(again.status, StatusCode::CONFLICT);
    let hash = body_hash(b"claim-7");
    let record = |answer| CallerRecord { id: "claim-7".into(), idempotent: false, hash, answer };
    assert_holds(&system, vec![record(Answer::Nothing), record(Answer::Error(Ran::Unknown))]);
    system.entries.remove(0);
}

// The answer to a keyed request is too long to be stored: a repeat must report that the request
// ran, without an empty or partial answer.
#[test]
fn repeated_long_answer() {
    let system = configured(2, 2);
    system.wait_for_service(0, "filing");
    system.wait_for_service(1, "filing");
    let headers = [("idempotency-key", "claim-9"), ("x-answer-bytes", "1000")];
    let first = system.request(0, "filing", "claim-9", &headers).expect("an answer");
    assert_eq!(first.status, StatusCode::OK);
    let again = eventually("the outcome is recorded", || {
        let again = system.request(1, "filing", "claim-9", &headers).ok()?;
        (header(&again, "retry-after").is_none()).then_some(again)
    });
    assert_eq!(again.status, StatusCode::CONFLICT);
    assert_eq!(header(&again, "egretlb-ran"), Some("yes"));
    let record = CallerRecord {
        id: "claim-9".into(),
        idempotent: false,
        hash: body_hash(b"claim-9"),
        answer: Answer::Error(Ran::Yes),
    };
    assert_holds(&system, vec![record]);
}

// During a graceful shutdown of an entry, requests in progress get their whole answer and new ones
// are refused as not run.
#[test]
fn entry_ends_gracefully() {
    let mut system = configured(2, 1);
    system.wait_for_service(0, "check");
    let callers = system.entries[0].callers.expect("an entry");
    let slow =
        thread::spawn(move || support::send(callers, "check", "slow", &[("x-service-ms", "6000")]));
    wait_for_request(&system, "slow");
    let mut entry = system.entries.remove(0);
    entry.signal("-TERM");
    let refused = eventually("the entry refuses", || {
        let answer = support::send(callers, "check", "late", &[]).ok()?;
        (answer.status == StatusCode::SERVICE_UNAVAILABLE).then_some(answer)
    });
    assert_eq!(header(&refused, "egretlb-ran"), Some("no"));
    let answer = slow.join().expect("no panic").expect("the whole answer");
    assert_eq!(answer.status, StatusCode::OK);
    let served: Served = serde_json::from_slice(&answer.body).expect("whole");
    assert_eq!(served.id, "slow");
    assert_eq!(entry.exit_code(), Some(0));
}

// Of two concurrent proposals on the same base version exactly one is accepted.
#[test]
fn racing_operators() {
    let system = configured(2, 2);
    let base = eventually("both entries have a version", || {
        let versions: Vec<_> = system
            .entries
            .iter()
            .map(|entry| get::<egretlb_api::ConfigView>(entry.operators, "/config"))
            .map(|view| view.expect("a view").version)
            .collect();
        versions.iter().all(|v| v.is_some() && *v == versions[0]).then(|| versions[0])
    });
    let texts = [CLASSES.replace("90000m", "80000m"), CLASSES.replace("90000m", "70000m")];
    let addrs: Vec<_> = system.entries.iter().map(|entry| entry.operators).collect();
    let racers: Vec<_> = texts
        .into_iter()
        .zip(addrs)
        .zip([101, 102])
        .map(|((text, addr), id)| {
            thread::spawn(move || propose_on(addr, &text, ProposalId(id), base))
        })
        .collect();
    let answers: Vec<_> = racers.into_iter().map(|r| r.join().expect("no panic")).collect();
    let won = answers.iter().filter(|a| matches!(a, ProposeAnswer::Accepted { .. })).count();
    let lost = answers.iter().filter(|a| matches!(a, ProposeAnswer::Lost { .. })).count();
    assert_eq!((won, lost), (1, 1), "{answers:?}");
}

// With delayed, truncated and reordered answers, each caller gets its own whole answer or an error.
#[test]
fn own_answers_only() {
    const CALLERS: usize = 200;
    let system = configured(2, 2);
    system.wait_for_service(0, "check");
    system.wait_for_service(1, "check");
    for worker in &system.workers {
        worker.set_faults(WorkerFaults { truncate_answers: 10, ..WorkerFaults::default() });
    }
    let addrs: Vec<_> = system.entries.iter().map(|e| e.callers.expect("an entry")).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let addr = addrs[n % addrs.len()];
            thread::spawn(move || {
                let id = format!("caller-{n}");
                let millis = ((n * 37) % 40).to_string();
                (id.clone(), support::send(addr, "check", &id, &[("x-service-ms", &millis)]))
            })
        })
        .collect();
    let mut own = 0;
    for caller in callers {
        let (id, answer) = caller.join().expect("no panic");
        let answer = answer.expect("an answer");
        if answer.status == StatusCode::OK {
            let served: Served = serde_json::from_slice(&answer.body).expect("whole");
            assert_eq!(served.id, id);
            assert_eq!(served.hash, body_hash(id.as_bytes()));
            own += 1;
        } else {
            assert!(header(&answer, "egretlb-ran").is_some());
        }
    }
    assert!(own > 0, "nobody was answered within {WAIT_TIMEOUT:?}");
}

//! Faults of real processes: kills, freezes, cuts and outages, with what callers and owners of jobs
//! see. Histories are recorded by the workers, never by egretlb itself.

mod support;

use {
    egretlb_api::{JobState, ProposalId, ProposeAnswer},
    egretlb_standins::{
        checker::{Answer, History, Told},
        log::LogFaults,
        worker::{Served, What, WorkerFaults, body_hash},
    },
    egretlb_types::Ran,
    oxhttp::model::StatusCode,
    std::{thread, time::Duration},
    support::{CLASSES, PATIENCE, Role, System, eventually, get, header, propose_on, status},
};

const TASKS: u32 = 12;

/// Long enough that a job outlives the authority of a scheduler that has gone.
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
    let began = |what: &What| matches!(what, What::RequestBegan { id: of, .. } if of == id);
    eventually("the request runs", || {
        let mut happened = system.workers.iter().flat_map(|worker| worker.history());
        happened.any(|happening| began(&happening.what)).then_some(())
    });
}

/// What the workers recorded, with what callers were told.
fn history(system: &System, told: Vec<Told>) -> History {
    let happenings = system.workers.iter().flat_map(|worker| worker.history()).collect();
    let capacities = system.capacities();
    History { happenings, capacities, told, ..History::default() }
}

fn assert_holds(system: &System, told: Vec<Told>) {
    let violations = history(system, told).check();
    assert!(violations.is_empty(), "{violations:?}");
}

fn assert_done(system: &System, job: &str) {
    let status = system.ended(job);
    assert_eq!(status.state, JobState::Done, "{status:?}");
    assert_eq!(status.tasks.done, TASKS);
    assert_holds(system, Vec::new());
}

// A scheduler's process is killed while a batch runs. The owner of the batch must see every task
// done once, although somebody else has to finish what the dead process began.
#[test]
fn killed_scheduler() {
    let mut system = configured(3, 1);
    system.submit("recall-1", TASKS, JOB);
    wait_for_running(&system, "recall-1");
    let mut killed = system.schedulers.remove(0);
    killed.child.kill().expect("the process runs");
    assert_done(&system, "recall-1");
}

// A scheduler is stopped by its VM for longer than its authority lasts, and wakes up with all its
// intentions. If it acted on them, tasks would run in two places.
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

// A scheduler can't reach the log any more, but reaches everything else. It has to stop deciding
// by itself, since nobody can tell it that others have taken over.
#[test]
fn scheduler_cut_from_log() {
    let system = configured(3, 1);
    system.submit("recall-1", TASKS, JOB);
    wait_for_running(&system, "recall-1");
    let refuse_nodes = vec![system.schedulers[0].node.as_str().into()];
    system.log.set_faults(LogFaults { refuse_nodes, ..LogFaults::default() });
    assert_done(&system, "recall-1");
}

// All of the system's own VMs are lost at once and replaced by empty ones. A batch that was
// accepted must not be forgotten, and what runs must not be started again.
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

// A scheduler is told to end, as in a rolling restart. It hands its shards over by the log, ends
// with success, and its batch goes on.
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

// The log takes a record and loses its answer. A submission that is repeated for that must not
// become two batches, or frightened owners get two letters.
#[test]
fn lost_log_answers() {
    let system = configured(2, 1);
    system.wait_for_service(0, "check");
    system.log.set_faults(LogFaults { lose_answers: 8, ..LogFaults::default() });
    system.submit("recall-1", TASKS, "merge run=300ms");
    assert_done(&system, "recall-1");
}

// The log is down for longer than authority lasts. A surveyor's boundary check doesn't need it and
// is answered all the same; a submission and a filing do, and are refused truthfully.
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
    let told = Told {
        id: "f-1".into(),
        idempotent: false,
        hash: body_hash(b"f-1"),
        answer: Answer::Error(Ran::No),
    };
    assert_holds(&system, vec![told]);

    system.log.set_faults(LogFaults::default());
    eventually("filings are taken again", || {
        let answer = system.request(0, "filing", "f-2", &[("idempotency-key", "f-2")]).ok()?;
        (answer.status == StatusCode::OK).then_some(())
    });
    system.submit("recall-1", TASKS, "merge run=300ms");
    assert_done(&system, "recall-1");
}

// An entry is killed after it sent a filing and before its caller has the answer. The caller sends
// the filing again through another entry, with the same key: it must not be filed twice.
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
    let told = |answer| Told { id: "claim-7".into(), idempotent: false, hash, answer };
    assert_holds(&system, vec![told(Answer::Nothing), told(Answer::Error(Ran::Unknown))]);
    system.entries.remove(0);
}

// A filing's answer is longer than what is kept of it, and the caller sends the filing again since
// the answer got lost on its side. It must learn that it ran, and mustn't take an empty answer for
// the whole one.
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
    let told = Told {
        id: "claim-9".into(),
        idempotent: false,
        hash: body_hash(b"claim-9"),
        answer: Answer::Error(Ran::Yes),
    };
    assert_holds(&system, vec![told]);
}

// An entry is told to end while a caller waits for a slow answer. The caller gets it whole, and a
// new caller is told at once that its request wasn't run.
#[test]
fn entry_ends_gracefully() {
    let mut system = configured(2, 1);
    system.wait_for_service(0, "check");
    let callers = system.entries[0].callers.expect("an entry");
    let slow =
        thread::spawn(move || support::send(callers, "check", "slow", &[("x-service-ms", "1500")]));
    thread::sleep(Duration::from_millis(500));
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

// Two operators change the same version at the same moment, each at another daemon. One of them
// wins everywhere; the other is told, and shown what is in force instead.
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

// Answers come late, cut short and out of order, to many callers at once. Each caller gets its own
// whole answer or is told that there is none; nobody gets another's.
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
    assert!(own > 0, "nobody was answered within {PATIENCE:?}");
}

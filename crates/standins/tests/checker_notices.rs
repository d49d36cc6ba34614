//! The checker reports histories that violate an invariant and accepts those that satisfy it.

use {
    compact_str::CompactString,
    egretlb_standins::{
        checker::{Answer, CallerRecord, History, InForce, Violation},
        worker::{Refusal, Served, WorkerEvent, WorkerEventKind},
    },
    egretlb_types::{
        Attempt, Epoch, Fence, Megabytes, MilliCores, NodeId, Offset, Ran, Resources, Time, VmId,
        worker::{TaskEnd, TaskFence},
    },
    std::{slice, time::Duration},
};

fn size(cpu: u32) -> Resources {
    Resources { cpu: MilliCores(cpu), memory: Megabytes(1), ..Resources::default() }
}

fn vm(name: &str) -> VmId {
    name.parse().expect("a name")
}

fn of(attempt: u32) -> TaskFence {
    let fence = Fence { epoch: Epoch(1), attempt: Attempt(attempt) };
    TaskFence { task: "j/0".parse().expect("a task"), fence }
}

fn started(attempt: u32, checkpoint: Option<&str>) -> WorkerEventKind {
    let checkpoint = checkpoint.map(CompactString::new);
    let class = "c".parse().expect("a name");
    WorkerEventKind::Started { of: of(attempt), class, resources: size(600), checkpoint }
}

fn ended(attempt: u32, end: TaskEnd) -> WorkerEventKind {
    WorkerEventKind::Ended { of: of(attempt), end }
}

fn stopped(attempt: u32, checkpoint: Option<&str>) -> WorkerEventKind {
    WorkerEventKind::Stopped { of: of(attempt), checkpoint: checkpoint.map(CompactString::new) }
}

fn history(steps: &[(u64, &str, WorkerEventKind)]) -> History {
    let happening = |(millis, name, kind): &(u64, &str, WorkerEventKind)| WorkerEvent {
        at: Time::from_millis(*millis),
        vm: vm(name),
        kind: kind.clone(),
    };
    let capacities = [(vm("a"), size(1_000)), (vm("b"), size(1_000))].into();
    let worker_events = steps.iter().map(happening).collect();
    History { worker_events, capacities, ..History::default() }
}

#[test]
fn sound_history() {
    let h = history(&[
        (0, "a", started(1, None)),
        (5, "a", stopped(1, Some("at-4ms"))),
        (5, "b", started(2, Some("at-4ms"))),
        (7, "b", WorkerEventKind::Died),
        (9, "a", started(3, Some("at-4ms"))),
        (10, "a", ended(3, TaskEnd::Done)),
    ]);
    assert_eq!(h.check_settled(|_| false), []);
}

#[test]
fn two_places() {
    // A second start while the first still runs is a violation, even if the first ends soon after.
    let h = history(&[
        (0, "a", started(1, None)),
        (5, "b", started(2, None)),
        (6, "a", ended(1, TaskEnd::LeaseLapsed)),
    ]);
    assert!(matches!(h.check()[..], [Violation::TwoPlaces { .. }]));
}

#[test]
fn over_capacity() {
    // Two tasks of 600 on a VM of 1000: one pair runs, the other is refused by the worker.
    let other = |kind| match kind {
        WorkerEventKind::Started { class, resources, checkpoint, .. } => {
            let of = TaskFence { task: "j/1".parse().expect("a task"), ..of(1) };
            WorkerEventKind::Started { of, class, resources, checkpoint }
        }
        kind => kind,
    };
    let held = history(&[(0, "a", started(1, None)), (1, "a", other(started(1, None)))]);
    assert!(matches!(held.check()[..], [Violation::OverCapacity { .. }]));
    let guarded =
        history(&[(0, "a", WorkerEventKind::Refused { of: of(1), why: Refusal::NoRoom })]);
    assert!(matches!(guarded.check()[..], [Violation::OverCapacity { .. }]));
}

#[test]
fn done_twice() {
    let h = history(&[
        (0, "a", started(1, None)),
        (1, "a", ended(1, TaskEnd::Done)),
        (2, "b", started(2, None)),
        (3, "b", ended(2, TaskEnd::Done)),
    ]);
    let task = of(1).task;
    let expected =
        [Violation::StartedAfterDone { task: task.clone() }, Violation::DoneTwice { task }];
    assert_eq!(h.check(), expected);
}

#[test]
fn resumed_wrongly() {
    // An evicted task restarts from the beginning, or is never resumed.
    let h = history(&[
        (0, "a", started(1, None)),
        (5, "a", stopped(1, Some("at-4ms"))),
        (6, "b", started(2, None)),
        (7, "b", stopped(2, None)),
    ]);
    let expected = Some(CompactString::new("at-4ms"));
    let wrong = Violation::WrongResume { of: of(2), expected };
    assert_eq!(h.check(), slice::from_ref(&wrong));
    let never = Violation::NeverResumed { task: of(1).task };
    assert_eq!(h.check_settled(|_| false), [wrong.clone(), never]);
    assert_eq!(h.check_settled(|_| true), [wrong]);
}

fn requests(runs: u32, idempotent: bool, answer: Answer) -> History {
    let id = CompactString::new("r1");
    let began =
        WorkerEventKind::RequestBegan { id: id.clone(), class: "c".parse().expect("a name") };
    let done = WorkerEventKind::RequestDone { id: id.clone() };
    let steps: Vec<_> = (0..u64::from(runs))
        .flat_map(|n| [(2 * n, "a", began.clone()), (2 * n + 1, "a", done.clone())])
        .collect();
    let caller_records = vec![CallerRecord { id, idempotent, hash: 7, answer }];
    History { caller_records, ..history(&steps) }
}

fn served(id: &str, hash: u64) -> Answer {
    Answer::Whole(Served { id: id.into(), hash, vm: vm("a"), padding: String::new() })
}

#[test]
fn ran_twice() {
    let id = CompactString::new("r1");
    assert_eq!(requests(2, false, served("r1", 7)).check(), [Violation::RanTwice { id }]);
    assert_eq!(requests(2, true, served("r1", 7)).check(), []);
}

#[test]
fn misreported_outcome() {
    let id = || CompactString::new("r1");
    let check = |runs, answer| requests(runs, true, answer).check();
    assert_eq!(check(1, Answer::Error(Ran::No)), [Violation::RanAfterAll { id: id() }]);
    assert_eq!(check(0, Answer::Error(Ran::Yes)), [Violation::DidNotRun { id: id() }]);
    assert_eq!(check(1, Answer::Error(Ran::Unknown)), []);
    assert_eq!(check(0, Answer::Error(Ran::No)), []);
}

#[test]
fn wrong_answer() {
    // Guards against delivering a late answer to another caller.
    let id = || CompactString::new("r1");
    let check = |answer| requests(1, true, answer).check();
    assert_eq!(check(served("r2", 7)), [Violation::WrongAnswer { id: id() }]);
    assert_eq!(check(served("r1", 8)), [Violation::WrongAnswer { id: id() }]);
    assert_eq!(check(served("r1", 7)), []);
}

#[test]
fn work_while_leaving() {
    let h = history(&[(0, "a", WorkerEventKind::Leaving), (4_000, "a", started(1, None))]);
    let with = |secs| History { leaving_limit: Some(Duration::from_secs(secs)), ..h.clone() };
    assert!(matches!(with(3).check()[..], [Violation::WorkWhileLeaving { .. }]));
    assert_eq!(with(4).check(), []);
}

#[test]
fn config_went_back() {
    // Guards against an older configuration after a restart during a log outage.
    let seen = |secs, node, version, content| InForce {
        at: Time::from_secs(secs),
        node: NodeId(node),
        version: Offset(version),
        content,
    };
    let with = |in_force| History { in_force, ..History::default() };
    let back = with(vec![seen(0, 1, 5, 50), seen(1, 1, 4, 40), seen(2, 2, 4, 40)]);
    let at = Time::from_secs(1);
    assert_eq!(back.check(), [Violation::ConfigWentBack { node: NodeId(1), at }]);
    let differs = with(vec![seen(0, 1, 5, 50), seen(1, 2, 5, 51)]);
    assert_eq!(differs.check(), [Violation::ConfigDiffers { version: Offset(5) }]);
}

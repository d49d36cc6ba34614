//! Each invariant of the checker notices a history that breaks it, and passes one that keeps it.

use {
    compact_str::CompactString,
    egretlb_standins::{
        checker::{Answer, History, InForce, Told, Violation},
        worker::{Happening, Refusal, Served, What},
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

fn started(attempt: u32, checkpoint: Option<&str>) -> What {
    let checkpoint = checkpoint.map(CompactString::new);
    let class = "c".parse().expect("a name");
    What::Started { of: of(attempt), class, resources: size(600), checkpoint }
}

fn ended(attempt: u32, end: TaskEnd) -> What {
    What::Ended { of: of(attempt), end }
}

fn stopped(attempt: u32, checkpoint: Option<&str>) -> What {
    What::Stopped { of: of(attempt), checkpoint: checkpoint.map(CompactString::new) }
}

fn history(steps: &[(u64, &str, What)]) -> History {
    let happening = |(millis, name, what): &(u64, &str, What)| Happening {
        at: Time::from_millis(*millis),
        vm: vm(name),
        what: what.clone(),
    };
    let capacities = [(vm("a"), size(1_000)), (vm("b"), size(1_000))].into();
    let happenings = steps.iter().map(happening).collect();
    History { happenings, capacities, ..History::default() }
}

#[test]
fn sound_history() {
    let h = history(&[
        (0, "a", started(1, None)),
        (5, "a", stopped(1, Some("at-4ms"))),
        (5, "b", started(2, Some("at-4ms"))),
        (7, "b", What::Died),
        (9, "a", started(3, Some("at-4ms"))),
        (10, "a", ended(3, TaskEnd::Done)),
    ]);
    assert_eq!(h.check_settled(|_| false), []);
}

#[test]
fn two_places() {
    // A task is started anew while the first start still runs: two reconciliations merge the same
    // records. The lapse of the first lease comes too late to excuse it.
    let h = history(&[
        (0, "a", started(1, None)),
        (5, "b", started(2, None)),
        (6, "a", ended(1, TaskEnd::LeaseLapsed)),
    ]);
    assert!(matches!(h.check()[..], [Violation::TwoPlaces { .. }]));
}

#[test]
fn too_much() {
    // Two tasks of 600 on a VM of 1000, once held in fact and once refused by the worker's guard.
    let other = |what| match what {
        What::Started { class, resources, checkpoint, .. } => {
            let of = TaskFence { task: "j/1".parse().expect("a task"), ..of(1) };
            What::Started { of, class, resources, checkpoint }
        }
        what => what,
    };
    let held = history(&[(0, "a", started(1, None)), (1, "a", other(started(1, None)))]);
    assert!(matches!(held.check()[..], [Violation::OverCapacity { .. }]));
    let guarded = history(&[(0, "a", What::Refused { of: of(1), why: Refusal::NoRoom })]);
    assert!(matches!(guarded.check()[..], [Violation::OverCapacity { .. }]));
}

#[test]
fn done_twice() {
    // A batch runs again after it was done: owners of recalled cars get two letters.
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
    // Evicted work starts from the beginning, or never again: the night's work is lost.
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
    let began = What::RequestBegan { id: id.clone(), class: "c".parse().expect("a name") };
    let done = What::RequestDone { id: id.clone() };
    let steps: Vec<_> = (0..u64::from(runs))
        .flat_map(|n| [(2 * n, "a", began.clone()), (2 * n + 1, "a", done.clone())])
        .collect();
    let told = vec![Told { id, idempotent, hash: 7, answer }];
    History { told, ..history(&steps) }
}

fn served(id: &str, hash: u64) -> Answer {
    Answer::Whole(Served { id: id.into(), hash, vm: vm("a"), padding: String::new() })
}

#[test]
fn ran_twice() {
    // A filing is sent again after its answer was lost, and an agency fines the firm.
    let id = CompactString::new("r1");
    assert_eq!(requests(2, false, served("r1", 7)).check(), [Violation::RanTwice { id }]);
    assert_eq!(requests(2, true, served("r1", 7)).check(), []);
}

#[test]
fn told_wrongly() {
    let id = || CompactString::new("r1");
    let check = |runs, answer| requests(runs, true, answer).check();
    assert_eq!(check(1, Answer::Error(Ran::No)), [Violation::RanAfterAll { id: id() }]);
    assert_eq!(check(0, Answer::Error(Ran::Yes)), [Violation::DidNotRun { id: id() }]);
    assert_eq!(check(1, Answer::Error(Ran::Unknown)), []);
    assert_eq!(check(0, Answer::Error(Ran::No)), []);
}

#[test]
fn wrong_answer() {
    // A late answer is handed to the next caller on the same connection.
    let id = || CompactString::new("r1");
    let check = |answer| requests(1, true, answer).check();
    assert_eq!(check(served("r2", 7)), [Violation::WrongAnswer { id: id() }]);
    assert_eq!(check(served("r1", 8)), [Violation::WrongAnswer { id: id() }]);
    assert_eq!(check(served("r1", 7)), []);
}

#[test]
fn work_while_leaving() {
    let h = history(&[(0, "a", What::Leaving), (4_000, "a", started(1, None))]);
    let with = |secs| History { leaving_limit: Some(Duration::from_secs(secs)), ..h.clone() };
    assert!(matches!(with(3).check()[..], [Violation::WorkWhileLeaving { .. }]));
    assert_eq!(with(4).check(), []);
}

#[test]
fn config_went_back() {
    // A process restarts in a log outage and takes an older configuration than it had.
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

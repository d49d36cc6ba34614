//! Tasks at the worker's stand-in, in virtual time.

use {
    compact_str::CompactString,
    egretlb_standins::worker::{
        Refusal, WorkerEventKind, WorkerFaults, WorkerSettings, WorkerState,
    },
    egretlb_types::{
        Accelerators, Attempt, Epoch, Fence, Megabytes, MilliCores, Resources, Time,
        worker::{
            RenewLeases, StartAnswer, StartTask, StopAnswer, StopTask, TaskEnd, TaskFence,
            ThrottleTask,
        },
    },
};

fn size(cpu: u32) -> Resources {
    Resources { cpu: MilliCores(cpu), memory: Megabytes(100), accelerators: Accelerators(0) }
}

fn worker() -> WorkerState {
    WorkerState::new(WorkerSettings::new("w1".parse().expect("a name"), size(1_000)))
}

fn of(task: &str, attempt: u32) -> TaskFence {
    let fence = Fence { epoch: Epoch(1), attempt: Attempt(attempt) };
    TaskFence { task: task.parse().expect("a task"), fence }
}

fn start(of: TaskFence, lease_ms: u32, command: &str) -> StartTask {
    StartTask {
        task: of.task,
        fence: of.fence,
        class: "c".parse().expect("a name"),
        service: false,
        resources: size(600),
        lease_ms,
        checkpoint: None,
        command: CompactString::new(command),
    }
}

fn ends(worker: &WorkerState) -> Vec<(Time, TaskEnd)> {
    let end = |h: &egretlb_standins::worker::WorkerEvent| match h.kind {
        WorkerEventKind::Ended { end, .. } => Some((h.at, end)),
        _ => None,
    };
    worker.history().iter().filter_map(end).collect()
}

#[test]
fn runs_to_its_end() {
    let mut w = worker();
    let first = start(of("j/0", 1), 10_000, "run=500ms");
    assert_eq!(w.start(Time::ZERO, first.clone()), StartAnswer::Started);
    assert_eq!(w.start(Time::from_millis(1), first.clone()), StartAnswer::Started);
    assert_eq!(w.report(Time::from_millis(499)).running.len(), 1);
    let report = w.report(Time::from_millis(700));
    assert_eq!((report.running.len(), report.ended[0].ran_ms), (0, 500));
    assert_eq!(w.start(Time::from_millis(800), first), StartAnswer::AlreadyEnded);
    assert_eq!(ends(&w), [(Time::from_millis(500), TaskEnd::Done)]);
}

#[test]
fn lease_lapses() {
    // A task ends when its lease expires, and a late renewal reports it as unknown.
    let mut w = worker();
    w.start(Time::ZERO, start(of("j/0", 1), 1_000, "run=9s"));
    let renew = || RenewLeases { tasks: vec![of("j/0", 1)], lease_ms: 1_000 };
    assert!(w.renew(Time::from_millis(900), renew()).unknown.is_empty());
    assert_eq!(w.renew(Time::from_millis(2_000), renew()).unknown, [of("j/0", 1)]);
    assert_eq!(ends(&w), [(Time::from_millis(1_900), TaskEnd::LeaseLapsed)]);
}

#[test]
fn fences_hold() {
    // Guards against a delayed start that arrives after the stop of the task.
    let mut w = worker();
    let stop = |attempt| StopTask { of: of("j/0", attempt), checkpoint: false };
    assert_eq!(w.stop(Time::ZERO, stop(1)), StopAnswer::NeverRan);
    assert_eq!(w.stop(Time::ZERO, stop(1)), StopAnswer::NeverRan);
    let late = start(of("j/0", 1), 1_000, "run=9s");
    assert_eq!(w.start(Time::from_millis(5), late.clone()), StartAnswer::StaleFence);
    let next = start(of("j/0", 2), 1_000, "run=9s");
    assert_eq!(w.start(Time::from_millis(5), next), StartAnswer::Started);
    assert_eq!(w.start(Time::from_millis(6), late), StartAnswer::StaleFence);
}

#[test]
fn stopped_with_checkpoint() {
    // A stopped task resumes from its checkpoint, and a repeated stop returns the same checkpoint.
    let mut w = worker();
    w.start(Time::ZERO, start(of("j/0", 1), 10_000, "run=1s checkpoint=100ms"));
    let stop = || StopTask { of: of("j/0", 1), checkpoint: true };
    let answer = w.stop(Time::from_millis(450), stop());
    let checkpoint = Some(CompactString::new("at-400ms"));
    assert_eq!(answer, StopAnswer::Stopped { checkpoint: checkpoint.clone() });
    assert_eq!(w.stop(Time::from_millis(460), stop()), answer);
    let again = StartTask { checkpoint, ..start(of("j/0", 2), 10_000, "run=1s") };
    w.start(Time::from_secs(1), again);
    w.advance(Time::from_secs(2));
    assert_eq!(ends(&w), [(Time::from_millis(1_600), TaskEnd::Done)]);
}

#[test]
fn throttle_slows() {
    let mut w = worker();
    w.start(Time::ZERO, start(of("j/0", 1), 10_000, "run=1s"));
    let throttle = ThrottleTask { of: of("j/0", 1), permille: 500 };
    assert_eq!(w.throttle(Time::from_millis(500), throttle), StopAnswer::Throttled);
    w.advance(Time::from_secs(9));
    assert_eq!(ends(&w), [(Time::from_millis(1_500), TaskEnd::Done)]);
}

#[test]
fn over_capacity() {
    // A start beyond the capacity is refused and recorded for the checker.
    let mut w = worker();
    w.start(Time::ZERO, start(of("j/0", 1), 10_000, "run=1s"));
    assert_eq!(w.start(Time::ZERO, start(of("j/1", 1), 1_000, "")), StartAnswer::Refused);
    let refused = WorkerEventKind::Refused { of: of("j/1", 1), why: Refusal::NoRoom };
    assert_eq!(w.history()[1].kind, refused);
}

#[test]
fn faulty_worker() {
    let mut w = worker();
    w.set_faults(Time::ZERO, WorkerFaults { fail_tasks: true, ..WorkerFaults::default() });
    w.start(Time::ZERO, start(of("j/0", 1), 10_000, "run=1s"));
    w.advance(Time::from_millis(1));
    assert_eq!(ends(&w), [(Time::ZERO, TaskEnd::Failed)]);
    w.set_faults(Time::from_millis(2), WorkerFaults { leaving: true, ..WorkerFaults::default() });
    assert!(w.report(Time::from_millis(3)).leaving);
    assert_eq!(w.start(Time::from_millis(3), start(of("j/1", 1), 9, "")), StartAnswer::Refused);
    w.set_faults(Time::from_millis(4), WorkerFaults { dead: true, ..WorkerFaults::default() });
    assert_eq!(w.history().last().map(|h| &h.kind), Some(&WorkerEventKind::Died));
}

#[test]
fn random_failures() {
    // Failures are random with a fixed seed, so that tests are reproducible.
    let failed = |seed| {
        let settings = WorkerSettings { seed, ..worker().settings().clone() };
        let mut w = WorkerState::new(settings);
        for n in 0..100 {
            w.start(Time::from_millis(n), start(of(&format!("j/{n}"), 1), 9_000, "fail=0.3"));
        }
        w.advance(Time::from_secs(1));
        ends(&w).iter().filter(|(_, end)| *end == TaskEnd::Failed).count()
    };
    assert_eq!(failed(1), failed(1));
    assert!((15..45).contains(&failed(1)));
}

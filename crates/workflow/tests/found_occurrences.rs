//! Occurrences that a leader has begun without recording it, when another one takes over.

mod support;

use {
    compact_str::CompactString,
    egretlb_workflow::{
        End, EndKind, Key, Limits, OccurrenceProgress, Progress, Record, Repeat, RunId, Step,
        StepProgress, TaskId, WorkflowId,
    },
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn after(earlier: u16, ms: u32) -> Step {
    Step { after: std::iter::once(earlier).collect(), ..step(1, ms) }
}

/// Submits a workflow whose occurrences are due each `every_ms`, the first one after `in_ms`.
fn schedule(
    world: &mut World,
    steps: Vec<Step>,
    in_ms: u64,
    every_ms: u64,
    count: u32,
) -> WorkflowId {
    let mut submission = submission(steps);
    let first_ms = world.now.as_micros() / 1_000 + in_ms;
    submission.workflow.repeat = Some(Repeat { first_ms, every_ms, count });
    world.submit(1, &submission)
}

/// Cuts the leader off from the store, with the other nodes' clocks this far behind.
fn cut_off(world: &mut World, behind: Duration) -> usize {
    let leader = world.leader().expect("somebody leads");
    for node in (0..world.nodes.len()).filter(|node| *node != leader) {
        world.nodes[node].clock_behind = behind;
    }
    world.nodes[leader].reaches_store = false;
    leader
}

fn check(world: &World, seed: u64, starts: u32) {
    assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    assert_eq!(world.checker.starts, starts, "seed {seed}");
}

fn stopped(world: &World) -> usize {
    let ends = world.workers.iter().flat_map(|worker| &worker.ended);
    ends.filter(|end| end.kind == EndKind::Stopped).count()
}

/// As many occurrences are recorded as may be open at once, and a worker lists the end of a task of a later one. Guards against
/// dropping that end: the task would run again once its occurrence begins.
#[test]
fn more_than_open_at_once() {
    const STEPS: u16 = 1_000;
    const OPEN: u32 = 10;
    let mut world = World::new(1, 3, 4, Limits::default());
    let steps = vec![step(1, 200); usize::from(STEPS)];
    let id = schedule(&mut world, steps, 0, 1, OPEN + 1);
    // Only the last step of each is left.
    let mut done = StepProgress::default();
    done.done.insert(0);
    let mut recorded = vec![done; usize::from(STEPS) - 1];
    recorded.push(StepProgress::default());
    let occurrence = |number| OccurrenceProgress { number, steps: recorded.clone() };
    let occurrences = (0..OPEN).map(occurrence).collect();
    let progress = Progress { started: true, occurrences, ..Progress::default() };
    world.store.append(&[Record::new(Key::Progress(id), &progress)], None);
    let task = TaskId { workflow: id, occurrence: OPEN, step: 0, index: 0 };
    let saved = CompactString::default();
    let end = End { number: 1, task, run: RunId(1), kind: EndKind::Done, saved };
    world.workers[0].ended.push(end);
    world.workers[0].next_end = 2;
    let worker = world.workers[0].info.id.clone();
    world.checker.ended(&worker, task, RunId(1), EndKind::Done, 1);
    world.run(4 * SECOND);
    assert!(world.checker.starts > OPEN, "{}", world.checker.starts);
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// The successor's clock is behind, so that occurrences that have begun aren't due for it. Guards against dropping the ends of
/// their tasks.
#[test]
fn ended_before_due() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 4, Limits::default());
        world.run(2 * SECOND);
        let id = schedule(&mut world, vec![step(2, 200), after(0, 300)], 1_000, 400, 20);
        world.run(2 * SECOND + u32::try_from(seed).unwrap_or(0) * 40 * MS);
        cut_off(&mut world, 3 * SECOND);
        assert!(world.run_until(30 * SECOND, |world| world.completed(id)).is_some());
        check(&world, seed, 60);
    }
}

/// The same with longer tasks. Guards against stopping their runs, and starting them again beside those that still end.
#[test]
fn running_before_due() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3, 4, Limits::default());
        world.run(2 * SECOND);
        let id = schedule(&mut world, vec![step(1, 4_000)], 1_000, 400, 16);
        world.run(2 * SECOND + u32::try_from(seed).unwrap_or(0) * 40 * MS);
        cut_off(&mut world, 3 * SECOND);
        world.run(4 * SECOND);
        assert_eq!(stopped(&world), 0, "seed {seed}");
        assert!(world.run_until(30 * SECOND, |world| world.completed(id)).is_some());
        check(&world, seed, 16);
    }
}

/// A worker with a run of such an occurrence is cut off, and the roster lists that run. Guards against starting its task elsewhere
/// before its lease has lapsed.
#[test]
fn listed_as_running() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 4, Limits::default());
        world.run(2 * SECOND);
        let id = schedule(&mut world, vec![step(1, 8_000)], 1_000, 60_000, 1);
        world.run(1_400 * MS);
        let busy = world.workers.iter().position(|worker| !worker.running.is_empty());
        let busy = busy.expect("the task runs");
        let leader = world.leader().expect("somebody leads");
        // Due for the successor a moment after its election, while the run still has its lease.
        let behind = 3_800 * MS + u32::try_from(seed).unwrap_or(0) * 60 * MS;
        for node in 0..world.nodes.len() {
            world.nodes[node].unreachable.push(busy);
            world.nodes[node].clock_behind = if node == leader { Duration::ZERO } else { behind };
        }
        world.run(3 * SECOND);
        world.kill(leader);
        assert!(world.run_until(60 * SECOND, |world| world.completed(id)).is_some());
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}

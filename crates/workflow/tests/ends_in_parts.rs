//! Workers with more unacknowledged ends than one reply holds.

mod support;

use {
    compact_str::CompactString,
    egretlb_types::{Megabytes, MilliCores},
    egretlb_workflow::{EndKind, Limits, Step, WorkerState, WorkflowId},
    std::time::Duration,
    support::{long_running, step, submission, worker::MAX_LISTED_ENDS, world::World},
};

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

/// Number of the worker that runs thousands of small tasks.
const LARGE: usize = 3;

/// A world with three small workers and a large one, which alone has the label `large`.
fn world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 3, Limits::default());
    let large = world.add_worker(200);
    world.workers[large].info.labels.push(CompactString::const_new("large"));
    world.workers[large].info.capacity.memory = Megabytes(1_000_000);
    world.run(2 * SECOND);
    world
}

/// A step of small tasks for the large worker, which can run 4,000 of them at a time.
fn small_tasks(count: u32) -> Step {
    let mut step = step(count, 2_500);
    step.resources.cpu = MilliCores(50);
    step.label = Some(CompactString::const_new("large"));
    step
}

/// The same, after the first step of the workflow.
fn second_step(count: u32) -> Step {
    Step { after: std::iter::once(0).collect(), estimate_ms: 300, ..small_tasks(count) }
}

fn running(world: &World) -> usize {
    world.workers[LARGE].running.len()
}

/// Number of unacknowledged ends at the large worker.
fn pending_ends(world: &World) -> usize {
    world.workers[LARGE].ended.len()
}

/// Kills the leader once `count` tasks run at the large worker. They end before anybody leads again.
fn kill_before_ends(world: &mut World, count: usize) {
    let filled = world.run_until(2_400 * MS, |world| running(world) >= count);
    assert!(filled.is_some(), "{} tasks run", running(world));
    let leader = world.leader().expect("somebody leads by now");
    world.kill(leader);
    while world.workers[LARGE].running.values().any(|run| !run.step.long_running) {
        for node in (0..world.nodes.len()).filter(|node| *node != leader) {
            world.freeze(node, 100 * MS);
        }
        world.run(50 * MS);
    }
    assert!(pending_ends(world) >= count);
    world.restart(leader);
}

/// Runs until the next leader has acknowledged the first part of the list, but not the rest.
fn acknowledge_first_part(world: &mut World) -> usize {
    let first = world.workers[LARGE].ended[0].number;
    let acknowledged = |world: &World| world.workers[LARGE].end_cursor >= first;
    assert!(world.run_until(6 * SECOND, acknowledged).is_some());
    assert!(pending_ends(world) > 0);
    world.leader().expect("it has acknowledged ends")
}

fn check(world: &World, seed: u64) {
    let violations = &world.checker.violations;
    assert!(violations.is_empty(), "seed {seed}: {}, such as {}", violations.len(), violations[0]);
}

/// Guards against a new leader that takes the first part of a list of ends for all of it, and starts tasks again that are done.
#[test]
fn rest_unread_at_takeover() {
    for seed in 0..4 {
        let mut world = world(seed);
        let id = world.submit(1, &submission(vec![small_tasks(1_400)]));
        kill_before_ends(&mut world, 1_400);
        assert!(world.run_until(10 * SECOND, |world| world.completed(id)).is_some());
        check(&world, seed);
        assert_eq!(world.checker.starts, 1_400, "seed {seed}");
    }
}

/// Guards against a pause after each part of a long list: how many there are hardly delays what waits for them.
#[test]
fn many_parts() {
    for count in [MAX_LISTED_ENDS - 1, MAX_LISTED_ENDS, 6 * MAX_LISTED_ENDS] {
        let mut world = world(5);
        let steps = vec![small_tasks(u32::try_from(count).unwrap_or(0)), second_step(10)];
        let id = world.submit(1, &submission(steps));
        kill_before_ends(&mut world, count);
        assert!(world.run_until(5 * SECOND, |world| world.leader().is_some()).is_some());
        let took = world.run_until(10 * SECOND, |world| running(world) > 0);
        assert!(took.is_some_and(|took| took < 600 * MS), "{count} ends: {took:?}");
        assert!(world.run_until(5 * SECOND, |world| world.completed(id)).is_some());
        check(&world, 5);
    }
}

/// Guards against a wait for the rest of a list that stops what goes on beside it: leases at that worker, and tasks that can't
/// have run there.
#[test]
fn others_go_on() {
    for seed in 0..4 {
        let mut world = world(seed);
        let mut service = long_running(4, 1);
        service.label = Some(CompactString::const_new("large"));
        world.submit(1, &submission(vec![service]));
        world.run(SECOND);
        let mut elsewhere = step(300, 1_000);
        elsewhere.label = Some(CompactString::const_new("rack-0"));
        world.workers[LARGE].info.labels.retain(|label| label != "rack-0");
        world.run(SECOND);
        let inherited = world.submit(2, &submission(vec![elsewhere]));
        let id = world.submit(3, &submission(vec![small_tasks(1_400)]));
        kill_before_ends(&mut world, 1_400);
        // The worker doesn't list the rest for a while.
        world.workers[LARGE].keeps_ends = true;
        acknowledge_first_part(&mut world);
        let starts = world.checker.starts;
        let new = world.submit(4, &submission(vec![Step { estimate_ms: 300, ..small_tasks(8) }]));
        world.run(1_800 * MS);
        // The small workers run 24 tasks a second.
        let begun = world.checker.starts - starts;
        assert!(begun >= 24 + 8 && running(&world) == 4, "seed {seed}: {begun} starts");
        assert!(!world.completed(id), "seed {seed}");
        world.workers[LARGE].keeps_ends = false;
        assert!(world.run_until(SECOND, |world| world.completed(new)).is_some(), "seed {seed}");
        assert!(world.run_until(5 * SECOND, |world| world.completed(id)).is_some());
        assert!(world.run_until(30 * SECOND, |world| world.completed(inherited)).is_some());
        let lapsed = |end: &egretlb_workflow::End| end.kind == EndKind::Lapsed;
        assert!(!world.workers[LARGE].ended.iter().any(lapsed), "seed {seed}");
        assert_eq!(running(&world), 4, "seed {seed}");
        check(&world, seed);
        assert_eq!(world.checker.starts, 4 + 300 + 1_400 + 8, "seed {seed}");
    }
}

/// Guards against tasks that wait for ever for a worker that lists the same ends again and again.
#[test]
fn rest_never_listed() {
    for seed in 0..4 {
        let mut world = world(seed);
        let id = world.submit(1, &submission(vec![small_tasks(600), second_step(4)]));
        kill_before_ends(&mut world, 600);
        world.workers[LARGE].keeps_ends = true;
        let other = world.add_worker(200);
        world.workers[other].info.labels.push(CompactString::const_new("large"));
        let took = world.run_until(30 * SECOND, |world| world.completed(id));
        assert!(took.is_some_and(|took| took < 16 * SECOND), "seed {seed}: {took:?}");
        check(&world, seed);
        // The worker is used again once it lists the rest.
        world.workers[LARGE].keeps_ends = false;
        world.run(4 * SECOND);
        let id = world.submit(2, &submission(vec![small_tasks(3_000)]));
        assert!(world.run_until(15 * SECOND, |world| world.completed(id)).is_some());
        check(&world, seed);
    }
}

/// Guards against a leader whose own tasks wait for ever at a worker that lists the same ends again and again.
#[test]
fn own_rest_never_listed() {
    let mut world = world(9);
    let other = world.add_worker(200);
    world.run(SECOND);
    let id = world.submit(1, &submission(vec![small_tasks(1_500)]));
    assert!(world.run_until(2_400 * MS, |world| running(world) == 1_500).is_some());
    world.workers[other].info.labels.push(CompactString::const_new("large"));
    world.workers[LARGE].keeps_ends = true;
    let took = world.run_until(30 * SECOND, |world| world.completed(id));
    assert!(took.is_some_and(|took| took < 16 * SECOND), "{took:?}");
    check(&world, 9);
}

/// Guards against ends that a worker still has when it stops answering halfway through its list: they count until its leases
/// have lapsed.
#[test]
fn silent_halfway() {
    for seed in 0..6 {
        let mut world = world(seed);
        let mut others = small_tasks(1_400);
        others.label = None;
        let id = world.submit(1, &submission(vec![others]));
        world.run_until(2_400 * MS, |world| running(world) >= 1_200);
        let count = running(&world);
        kill_before_ends(&mut world, count);
        acknowledge_first_part(&mut world);
        for node in &mut world.nodes {
            node.unreachable = vec![LARGE];
        }
        // It answers again before its leases have lapsed for some seeds, and after that for others.
        world.run(SECOND * u32::try_from(1 + 2 * seed).unwrap_or(1));
        for node in &mut world.nodes {
            node.unreachable.clear();
        }
        assert!(world.run_until(30 * SECOND, |world| world.completed(id)).is_some(), "{seed}");
        check(&world, seed);
    }
}

/// Guards against waiting for the rest of a list that is gone with its worker.
#[test]
fn crashed_halfway() {
    for (seed, keeps_name) in (0..3).flat_map(|seed| [(seed, false), (seed, true)]) {
        let mut world = world(seed);
        if keeps_name {
            world.tell_start_times();
            world.run(SECOND);
        }
        let id = world.submit(1, &submission(vec![small_tasks(1_400)]));
        kill_before_ends(&mut world, 1_400);
        acknowledge_first_part(&mut world);
        let mut checker = std::mem::take(&mut world.checker);
        world.workers[LARGE].crash(&mut checker);
        world.checker = checker;
        let unread = u32::try_from(1_400 - world.workers[LARGE].end_cursor).unwrap_or(0);
        world.run(300 * MS);
        let revived = world.revive(LARGE);
        world.workers[revived].info.capacity = world.workers[LARGE].info.capacity;
        world.workers[revived].info.labels = world.workers[LARGE].info.labels.clone();
        assert!(world.run_until(20 * SECOND, |world| world.completed(id)).is_some(), "{seed}");
        check(&world, seed);
        // What was acknowledged isn't repeated.
        let starts = world.checker.starts;
        assert!(starts <= 1_400 + unread, "seed {seed}: {starts} starts, {unread} ends lost");
    }
}

/// Guards against ends that the next leader has left unread when it is killed, too, after it has recorded its own roster.
#[test]
fn next_leader_killed_halfway() {
    for (seed, draining) in (0..6).flat_map(|seed| [(seed, false), (seed, true)]) {
        let mut world = world(seed);
        let id = world.submit(1, &submission(vec![small_tasks(2_400), second_step(4)]));
        kill_before_ends(&mut world, 2_400);
        if draining {
            world.workers[LARGE].info.state = WorkerState::Draining;
        }
        let next = acknowledge_first_part(&mut world);
        if seed % 2 == 0 {
            // The rest isn't listed before the roster is recorded.
            world.workers[LARGE].keeps_ends = true;
            world.run(700 * MS);
            world.workers[LARGE].keeps_ends = false;
        }
        world.kill(next);
        if draining {
            let other = world.add_worker(200);
            world.workers[other].info.labels.push(CompactString::const_new("large"));
        }
        assert!(world.run_until(30 * SECOND, |world| world.completed(id)).is_some(), "{seed}");
        check(&world, seed);
        assert_eq!(world.checker.starts, 2_404, "seed {seed}");
    }
}

/// Guards against stopping tasks that were moved off a draining worker, because the ends of their earlier runs aren't listed
/// yet.
#[test]
fn moved_off_before_takeover() {
    for seed in 0..4 {
        let mut world = world(seed);
        let mut service = long_running(4, 1);
        service.label = Some(CompactString::const_new("large"));
        world.submit(1, &submission(vec![service]));
        world.run(SECOND);
        let id = world.submit(2, &submission(vec![small_tasks(1_400)]));
        assert!(world.run_until(2 * SECOND, |world| running(world) == 1_404).is_some());
        let other = world.add_worker(8);
        world.workers[other].info.labels.push(CompactString::const_new("large"));
        world.workers[LARGE].info.state = WorkerState::Draining;
        let moved = world.run_until(2 * SECOND, |world| world.workers[other].running.len() == 4);
        assert!(moved.is_some(), "seed {seed}");
        let count = running(&world);
        kill_before_ends(&mut world, count);
        world.workers[LARGE].keeps_ends = true;
        for node in &mut world.nodes {
            node.unreachable = vec![other];
        }
        acknowledge_first_part(&mut world);
        let starts = world.checker.starts;
        for node in &mut world.nodes {
            node.unreachable.clear();
        }
        world.run(SECOND);
        world.workers[LARGE].keeps_ends = false;
        assert!(world.run_until(10 * SECOND, |world| world.completed(id)).is_some());
        assert_eq!(world.workers[other].running.len(), 4, "seed {seed}");
        assert_eq!(world.checker.starts, starts, "seed {seed}");
        check(&world, seed);
    }
}

/// Guards against an end that can't be read for a while and counts as a failure at once, since it stands in a full reply.
#[test]
fn unreadable_in_full_reply() {
    for (seed, unreadable) in (0..3).flat_map(|seed| [(seed, 1..=3), (seed, 200..=200)]) {
        let mut world = world(seed);
        let id = world.submit(1, &submission(vec![small_tasks(1_400)]));
        kill_before_ends(&mut world, 1_400);
        world.workers[LARGE].unreadable_ends = unreadable;
        assert!(world.run_until(5 * SECOND, |world| world.leader().is_some()).is_some());
        world.run(600 * MS);
        world.workers[LARGE].unreadable_ends = 0..=0;
        assert!(world.run_until(10 * SECOND, |world| world.completed(id)).is_some());
        check(&world, seed);
        assert_eq!(world.checker.starts, 1_400, "seed {seed}");
    }
}

/// Guards against lost workflows and repeated tasks where leaders are killed, and workers fall silent, at any moment of the
/// lists of several workers.
#[test]
fn seeded_lists() {
    for seed in 0..12 {
        let mut world = world(seed);
        for _ in 0..2 {
            let other = world.add_worker(60);
            world.workers[other].info.labels.push(CompactString::const_new("large"));
        }
        world.run(SECOND);
        let ids: Vec<WorkflowId> =
            (1..4).map(|id| world.submit(id, &submission(vec![small_tasks(900)]))).collect();
        world.run(MS * u32::try_from(1_200 + 150 * seed).unwrap_or(0));
        for round in 0..3 {
            if let Some(leader) = world.leader() {
                world.kill(leader);
                world.run(MS * u32::try_from(300 + 400 * ((seed + round) % 3)).unwrap_or(0));
                world.restart(leader);
            }
            let silent = LARGE + usize::try_from((seed + round) % 3).unwrap_or(0);
            world.run(MS * u32::try_from(1_300 + 17 * seed * round % 90).unwrap_or(0));
            for node in &mut world.nodes {
                node.unreachable = if seed % 2 == 0 { vec![silent] } else { Vec::new() };
            }
        }
        world.run(2 * SECOND);
        for node in &mut world.nodes {
            node.unreachable.clear();
        }
        for id in ids {
            assert!(world.run_until(60 * SECOND, |world| world.completed(id)).is_some(), "{seed}");
        }
        check(&world, seed);
    }
}

//! Workers whose entries are missing from the directory although they are well: entries expire while the
//! store is away, and a process that has just started may lead before it has read them all. And the reverse:
//! entries that are still there, or again, when their workers are long gone.

mod support;

use {
    egretlb_workflow::{Limits, Step},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);
const WORKERS: usize = 6;

fn world(seed: u64) -> World {
    let mut world = World::new(seed, 3, WORKERS, Limits::default());
    world.run(2 * SECOND);
    world
}

/// So many lasting tasks, each on a worker of its own.
fn one_for_each(workers: usize) -> Step {
    let mut serving = step(u32::try_from(workers).unwrap_or(0), 0);
    serving.long_running = true;
    serving.per_worker = 1;
    serving
}

fn change_leader(world: &mut World) {
    let leader = world.leader().expect("somebody leads");
    world.kill(leader);
    let next = |world: &World| world.leader().is_some();
    world.run_until(6 * SECOND, next).expect("another one leads");
    world.restart(leader);
}

/// Whether each worker runs a task.
fn all_busy(world: &World) -> bool {
    world.workers.iter().all(|worker| !worker.running.is_empty())
}

/// The entries of two workers are missing when the leader changes; the new one knows them by the roster and
/// asks them. Once the entries are back, work goes there again. Were these workers taken for ones that are
/// about to leave, their room would be lost for good, and lasting tasks would wait for it.
#[test]
fn back_after_takeover() {
    for seed in 0..6 {
        let mut world = world(seed);
        for worker in [0, 1] {
            world.workers[worker].listed = false;
        }
        world.run(SECOND);
        change_leader(&mut world);
        // The roster is recorded anew for another worker's sake, as happens all the time.
        world.add_worker(8);
        world.run(SECOND);
        for worker in [0, 1] {
            world.workers[worker].listed = true;
        }
        world.submit(1, &submission(vec![one_for_each(WORKERS + 1)]));
        let took = world.run_until(10 * SECOND, all_busy);
        assert!(took.is_some_and(|took| took < 2 * SECOND), "seed {seed}: {took:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

/// The leader changes twice while entries are missing. What the first successor recorded of these workers
/// must not keep work from them in the term of the second one either.
#[test]
fn back_after_two() {
    let mut world = world(21);
    world.workers[0].listed = false;
    world.run(SECOND);
    change_leader(&mut world);
    world.add_worker(8);
    world.run(SECOND);
    change_leader(&mut world);
    world.workers[0].listed = true;
    world.submit(1, &submission(vec![one_for_each(WORKERS + 1)]));
    let took = world.run_until(10 * SECOND, all_busy);
    assert!(took.is_some_and(|took| took < 2 * SECOND), "{took:?}");
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// A worker's entry is missing for long. What runs there goes on, with leases as long as any other's: with
/// the short ones of a worker that is about to leave it would lapse when the leader is killed beside a short
/// pause of the store, and its users would wait for a new start.
#[test]
fn runs_on_unlisted() {
    let mut world = world(22);
    world.submit(1, &submission(vec![one_for_each(WORKERS)]));
    world.run(SECOND);
    assert!(all_busy(&world));
    world.workers[0].listed = false;
    change_leader(&mut world);
    // The leases of the first leader have ended by then.
    world.run(6 * SECOND);
    let starts = world.checker.starts;
    let leader = world.leader().expect("somebody leads");
    world.kill(leader);
    world.store_down = true;
    world.run(Duration::from_millis(1_500));
    world.store_down = false;
    world.run(8 * SECOND);
    assert!(all_busy(&world));
    assert_eq!(world.checker.starts, starts);
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// A worker announces that it leaves and takes that back. It gets work again once the records don't list
/// it any more.
#[test]
fn leaving_taken_back() {
    let mut world = world(23);
    world.workers[0].info.state = egretlb_workflow::WorkerState::Draining;
    world.run(SECOND);
    world.workers[0].info.state = egretlb_workflow::WorkerState::Ready;
    world.submit(1, &submission(vec![one_for_each(WORKERS)]));
    let took = world.run_until(10 * SECOND, all_busy);
    assert!(took.is_some_and(|took| took < 2 * SECOND), "{took:?}");
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// A worker is long gone and forgotten when its entry is read once more, since the store was away when it
/// should have lapsed. Then the leader changes. Nothing was started at that worker in between, so the
/// successor needn't wait for it; all that clients had submitted would stand still for nine seconds.
#[test]
fn lingering_entry() {
    for seed in 0..6 {
        let mut world = world(seed);
        world.workers[0].crash(&mut world.checker);
        world.run(12 * SECOND);
        world.workers[0].stale_entry = true;
        world.run(SECOND);
        let mut second = step(4, 400);
        second.after.push(0);
        let id = world.submit(1, &submission(vec![step(4, 400), second]));
        world.run(Duration::from_millis(200));
        let leader = world.leader().expect("somebody leads");
        world.kill(leader);
        let took = world.run_until(12 * SECOND, |world| world.completed(id));
        assert!(took.is_some_and(|took| took < 4 * SECOND), "seed {seed}: {took:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

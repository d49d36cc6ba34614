//! Workers without a directory entry although they run, as when entries expire during a store outage, and entries
//! of workers that no longer run.

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

/// Returns a step with a long-running task for each worker.
fn one_per_worker(workers: usize) -> Step {
    let mut long_running_step = step(u32::try_from(workers).unwrap_or(0), 0);
    long_running_step.long_running = true;
    long_running_step.per_worker = 1;
    long_running_step
}

fn change_leader(world: &mut World) {
    let leader = world.leader().expect("a leader");
    world.kill(leader);
    let has_leader = |world: &World| world.leader().is_some();
    world.run_until(6 * SECOND, has_leader).expect("another leader");
    world.restart(leader);
}

/// Returns whether each worker runs a task.
fn all_busy(world: &World) -> bool {
    world.workers.iter().all(|worker| !worker.running.is_empty())
}

/// The entries of two workers are missing when the leader changes, and the new leader knows them from the roster. Once
/// the entries are back, the workers must get tasks again: they aren't draining.
#[test]
fn entries_return_after_takeover() {
    for seed in 0..6 {
        let mut world = world(seed);
        for worker in [0, 1] {
            world.workers[worker].listed = false;
        }
        world.run(SECOND);
        change_leader(&mut world);
        // The new worker makes the leader record the roster again.
        world.add_worker(8);
        world.run(SECOND);
        for worker in [0, 1] {
            world.workers[worker].listed = true;
        }
        world.submit(1, &submission(vec![one_per_worker(WORKERS + 1)]));
        let took = world.run_until(10 * SECOND, all_busy);
        assert!(took.is_some_and(|took| took < 2 * SECOND), "seed {seed}: {took:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

/// As above, with a second change of leader: what the first successor recorded of such workers must not keep tasks off
/// them under the second one.
#[test]
fn entries_return_after_two_takeovers() {
    let mut world = world(21);
    world.workers[0].listed = false;
    world.run(SECOND);
    change_leader(&mut world);
    world.add_worker(8);
    world.run(SECOND);
    change_leader(&mut world);
    world.workers[0].listed = true;
    world.submit(1, &submission(vec![one_per_worker(WORKERS + 1)]));
    let took = world.run_until(10 * SECOND, all_busy);
    assert!(took.is_some_and(|took| took < 2 * SECOND), "{took:?}");
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// The runs of a worker without an entry must get leases of full length. The shorter ones of a draining worker would
/// expire when the leader is killed during a short store outage.
#[test]
fn unlisted_worker_gets_full_leases() {
    let mut world = world(22);
    world.submit(1, &submission(vec![one_per_worker(WORKERS)]));
    world.run(SECOND);
    assert!(all_busy(&world));
    world.workers[0].listed = false;
    change_leader(&mut world);
    // The leases that the first leader sent have expired by then.
    world.run(6 * SECOND);
    let starts = world.checker.starts;
    let leader = world.leader().expect("a leader");
    world.kill(leader);
    world.store_down = true;
    world.run(Duration::from_millis(1_500));
    world.store_down = false;
    world.run(8 * SECOND);
    assert!(all_busy(&world));
    assert_eq!(world.checker.starts, starts);
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// A worker that drains and becomes ready again must get tasks once the roster no longer lists it as draining.
#[test]
fn draining_worker_becomes_ready() {
    let mut world = world(23);
    world.workers[0].info.state = egretlb_workflow::WorkerState::Draining;
    world.run(SECOND);
    world.workers[0].info.state = egretlb_workflow::WorkerState::Ready;
    world.submit(1, &submission(vec![one_per_worker(WORKERS)]));
    let took = world.run_until(10 * SECOND, all_busy);
    assert!(took.is_some_and(|took| took < 2 * SECOND), "{took:?}");
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// The entry of a worker that crashed long ago is read again, as after a store outage that delayed its expiry, and then
/// the leader changes. Nothing was started on that worker meanwhile, so the new leader must not wait for it.
#[test]
fn stale_entry_delays_nothing() {
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
        let leader = world.leader().expect("a leader");
        world.kill(leader);
        let took = world.run_until(12 * SECOND, |world| world.completed(id));
        assert!(took.is_some_and(|took| took < 4 * SECOND), "seed {seed}: {took:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

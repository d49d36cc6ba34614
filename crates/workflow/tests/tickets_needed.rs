//! Queues whose policy allows only some workers to run a step.

mod support;

use {
    egretlb_types::MilliCores,
    egretlb_workflow::{Limits, Submission, WorkerId, WorkflowId},
    std::time::Duration,
    support::{messages::ADVICE_TERMS, step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Twelve workers, of which those with these numbers are allowed.
fn world(seed: u64, allowed: &[usize]) -> World {
    let mut world = World::new(seed, 2, 12, Limits::default());
    let id = |number: &usize| WorkerId(format!("worker-{number}").into());
    world.advisor.allowed = allowed.iter().map(id).collect();
    world.run(2 * SECOND);
    world
}

fn advised(count: u32, ms: u32) -> Submission {
    Submission { advice: Some(ADVICE_TERMS), ..submission(vec![step(count, ms)]) }
}

fn placed(world: &World, id: WorkflowId) -> Vec<usize> {
    let holds = |number: &usize| world.workers[*number].running.keys().any(|t| t.workflow == id);
    (0..world.workers.len()).filter(holds).collect()
}

/// Without a ticket workers reject a start, and a queue with a policy would never be served.
#[test]
fn allowed_only() {
    let mut world = world(41, &[2, 5, 9]);
    let id = world.submit(1, &advised(12, 800));
    world.run(SECOND);
    assert!(placed(&world, id).iter().all(|number| [2, 5, 9].contains(number)));
    assert!(world.run_until(6 * SECOND, |world| world.completed(id)).is_some());
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// What isn't allowed stays so: each worker is asked about once as long as tickets hold.
#[test]
fn asked_once() {
    let mut world = world(42, &[1, 3]);
    let id = world.submit(1, &advised(30, 500));
    assert!(world.run_until(3 * SECOND, |world| world.completed(id)).is_some());
    assert!(world.advisor.asked_workers <= 12, "{}", world.advisor.asked_workers);
}

/// The service takes 2 s for an answer that never comes. Work without a policy doesn't wait for it.
#[test]
fn others_go_on() {
    let mut world = world(43, &[1]);
    world.advisor.unresponsive = true;
    let held = world.submit(1, &advised(4, 300));
    world.run(Duration::from_millis(100));
    let id = world.submit(2, &submission(vec![step(8, 300)]));
    let took = world.run_until(2 * SECOND, |world| world.completed(id));
    assert!(took.is_some_and(|took| took < Duration::from_millis(600)), "{took:?}");
    world.advisor.unresponsive = false;
    assert!(world.run_until(6 * SECOND, |world| world.completed(held)).is_some());
}

/// Too many calls wait at the service. It isn't pressed: the next call comes a quarter of a second later.
#[test]
fn busy_is_respected() {
    let mut world = world(44, &[1]);
    world.advisor.busy = true;
    let id = world.submit(1, &advised(4, 300));
    world.run(2 * SECOND);
    assert!(world.advisor.calls <= 9, "{}", world.advisor.calls);
    world.advisor.busy = false;
    assert!(world.run_until(3 * SECOND, |world| world.completed(id)).is_some());
}

/// Tickets end after 3 s; a step that still has tasks to start asks again.
#[test]
fn tickets_end() {
    let mut world = world(45, &[4]);
    let mut slow = advised(24, 1_500);
    slow.workflow.steps[0].resources.cpu = MilliCores(2_000);
    let id = world.submit(1, &slow);
    assert!(world.run_until(30 * SECOND, |world| world.completed(id)).is_some());
    assert!(world.advisor.calls >= 3);
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// The leader dies with its tickets. Its successor asks for its own.
#[test]
fn successor_asks() {
    let mut world = world(46, &[4, 6]);
    let id = world.submit(1, &advised(40, 900));
    world.run(SECOND);
    let leader = world.leader().expect("somebody leads");
    world.kill(leader);
    assert!(world.run_until(15 * SECOND, |world| world.completed(id)).is_some());
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// A gang needs a ticket for each member's worker before any is started.
#[test]
fn gang_with_tickets() {
    let mut world = world(47, &[0, 1, 2, 3]);
    let mut gang = advised(6, 500);
    gang.workflow.steps[0].gang = true;
    let id = world.submit(1, &gang);
    assert!(world.run_until(4 * SECOND, |world| world.completed(id)).is_some());
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// An allowed worker crashes; its ticket is for that life only. The worker that comes back has another id
/// and is asked about anew.
#[test]
fn new_life_asked() {
    let mut world = world(48, &[7]);
    let id = world.submit(1, &advised(16, 700));
    world.run(Duration::from_millis(600));
    world.workers[7].crash(&mut world.checker);
    let number = world.add_worker(8);
    world.advisor.allowed.insert(world.workers[number].info.id.clone());
    assert!(world.run_until(15 * SECOND, |world| world.completed(id)).is_some());
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

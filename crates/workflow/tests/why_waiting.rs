//! The state dump says of each step that waits why its next task isn't running.

mod support;

use {
    compact_str::CompactString,
    egretlb_types::MilliCores,
    egretlb_workflow::{Limits, Reason, Step, Submission, WorkflowId},
    std::time::Duration,
    support::{messages::TERMS, step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

fn world(seed: u64) -> World {
    let mut world = World::new(seed, 2, 4, Limits::default());
    world.run(2 * SECOND);
    world
}

fn reason(world: &mut World, id: WorkflowId) -> Option<Reason> {
    let now = world.now;
    let leader = world.leader().expect("somebody leads");
    let scheduler = world.nodes[leader].scheduler.as_mut().expect("it leads");
    let waiting = scheduler.waiting_steps(now, 100);
    waiting.into_iter().find(|waiting| waiting.step.workflow == id).map(|waiting| waiting.reason)
}

fn large(count: u32) -> Step {
    let mut large = step(count, 3_000);
    large.resources.cpu = MilliCores(8_000);
    large
}

#[test]
fn no_room() {
    let mut world = world(91);
    let id = world.submit(1, &submission(vec![large(6)]));
    world.run(SECOND);
    assert_eq!(reason(&mut world, id), Some(Reason::NoRoom));
    world.run(8 * SECOND);
    assert_eq!(reason(&mut world, id), None);
}

#[test]
fn no_ticket() {
    let mut world = world(92);
    let id = world.submit(1, &Submission { advice: Some(TERMS), ..submission(vec![step(2, 300)]) });
    world.run(SECOND);
    assert_eq!(reason(&mut world, id), Some(Reason::NoTicket));
}

#[test]
fn no_workers() {
    let mut world = world(93);
    let elsewhere = CompactString::const_new("another-service");
    let id = world.submit(1, &Submission { service: elsewhere, ..submission(vec![step(2, 300)]) });
    world.run(SECOND);
    assert_eq!(reason(&mut world, id), Some(Reason::NoWorkers));
}

#[test]
fn records_late() {
    let mut world = world(94);
    let leader = world.leader().expect("somebody leads");
    world.nodes[leader].scheduler.as_mut().expect("it leads").set_behind(true);
    let id = world.submit(1, &submission(vec![step(2, 300)]));
    world.run(SECOND);
    assert_eq!(reason(&mut world, id), Some(Reason::RecordsReadLate));
}

/// A new leader can't reach a worker that may still run what it has inherited.
#[test]
fn survey() {
    let mut world = world(95);
    let mut later = step(4, 300);
    later.after.push(0);
    let id = world.submit(1, &submission(vec![step(4, 500), later]));
    world.run(Duration::from_millis(100));
    let leader = world.leader().expect("somebody leads");
    for node in &mut world.nodes {
        node.cut_from = vec![1];
    }
    world.kill(leader);
    world.run(3 * SECOND);
    assert_eq!(reason(&mut world, id), Some(Reason::SurveyUnderWay));
}

#[test]
fn serving_tasks() {
    let mut world = world(96);
    for worker in &mut world.workers {
        worker.tail_ms = 49;
    }
    let mut serving = step(4, 0);
    serving.resources.cpu = MilliCores(4_000);
    (serving.lasting, serving.target_ms, serving.per_worker) = (true, 50, 1);
    serving.image = CompactString::const_new("serving");
    world.submit(1, &submission(vec![serving]));
    world.run(3 * SECOND);
    let mut filler = step(4, 500);
    filler.fills = true;
    filler.image = CompactString::const_new("filler");
    let id = world.submit(2, &submission(vec![filler]));
    world.run(Duration::from_millis(300));
    assert_eq!(reason(&mut world, id), Some(Reason::ServingTasks));
}

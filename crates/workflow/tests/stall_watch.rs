//! Shows that the watch for tasks that could run and don't notices such tasks.

mod support;

use {
    egretlb_workflow::{Limits, WorkflowId},
    std::time::Duration,
    support::{long_running, step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

fn world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 6, Limits::default());
    world.watch_stalls();
    world.run(2 * SECOND);
    world
}

/// Guards against a watch that misses a workflow whose submission no leader reads.
#[test]
fn unread_submission() {
    let mut world = world(1);
    world.hidden = Some(WorkflowId(1));
    world.submit(1, &submission(vec![step(2, 300)]));
    world.submit(2, &submission(vec![step(2, 300)]));
    world.run(20 * SECOND);
    let stalls = world.take_stalls();
    assert_eq!(stalls.len(), 1, "{stalls:?}");
    assert!(stalls[0].starts_with("workflow 0000000000000001,"), "{stalls:?}");
}

/// Guards against a watch that misses long-running tasks beside running ones of their step.
#[test]
fn evacuated_for_good() {
    let mut world = world(2);
    for (index, worker) in world.workers.iter_mut().enumerate() {
        worker.info.data_centre = if index < 2 { "west".into() } else { "east".into() };
    }
    world.run(2 * SECOND);
    world.evacuations.end_unread = true;
    world.evacuate("east");
    world.run(SECOND);
    world.submit(1, &submission(vec![long_running(6, 4)]));
    world.run(20 * SECOND);
    assert_eq!(world.take_stalls(), Vec::<String>::new());
    world.take_back("east");
    world.run(20 * SECOND);
    let stalls = world.take_stalls();
    assert_eq!(stalls.len(), 2, "{stalls:?}");
    assert!(stalls.iter().all(|stall| stall.starts_with("long-running ")), "{stalls:?}");
}

/// Guards against a watch that takes tasks for stalled that find no room.
#[test]
fn no_room() {
    let mut world = world(3);
    world.submit(1, &submission(vec![long_running(5, 8)]));
    world.submit(2, &submission(vec![long_running(2, 8)]));
    world.run(20 * SECOND);
    assert_eq!(world.take_stalls(), Vec::<String>::new());
}

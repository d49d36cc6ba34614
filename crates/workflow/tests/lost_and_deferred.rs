//! Long-running tasks whose worker is lost don't wait for anything else once its leases have lapsed.

mod support;

use {
    egretlb_workflow::{Limits, WorkflowId},
    std::time::Duration,
    support::{long_running, step, submission, worker::Worker, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

/// Time until an unresponsive worker counts as such, the maximum lease on a slow clock, and a start.
const MAX_DOWN: Duration = Duration::from_millis(2_700 + 5_200 + 300);

fn running(world: &World, id: WorkflowId) -> usize {
    let tasks = world.workers.iter().flat_map(|worker| worker.running.keys());
    tasks.filter(|task| task.workflow == id).count()
}

/// Loses a worker that runs long-running tasks; returns how long it takes until all run.
fn time_down(world: &mut World, id: WorkflowId) -> Option<Duration> {
    let all = running(world, id);
    let runs_one = |worker: &Worker| worker.running.keys().any(|task| task.workflow == id);
    let busy = world.workers.iter().position(runs_one);
    world.workers[busy.expect("some run")].crash(&mut world.checker);
    assert!(running(world, id) < all);
    world.run_until(15 * SECOND, |world| running(world, id) == all)
}

/// Guards against lost tasks that are held back for batch tasks, which wait for something else.
#[test]
fn blocked_batch_tasks() {
    for seed in 0..8 {
        let mut world = World::new(seed, 2, 4, Limits::default());
        world.run(2 * SECOND);
        let id = world.submit(1, &submission(vec![long_running(4, 2)]));
        world.run(4 * SECOND);
        assert_eq!(running(&world, id), 4);
        let mut blocked = step(2, 500);
        blocked.label = Some("nowhere".into());
        world.submit(2, &submission(vec![blocked]));
        let took = time_down(&mut world, id);
        assert!(took.is_some_and(|took| took < MAX_DOWN), "{seed}: {took:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "{seed}");
    }
}

/// Guards against lost tasks that wait anew before they may use a quarantined worker.
#[test]
fn quarantined_worker() {
    for seed in 0..8 {
        let mut world = World::new(seed, 2, 2, Limits::default());
        world.run(2 * SECOND);
        let id = world.submit(1, &submission(vec![long_running(1, 2)]));
        world.run(4 * SECOND);
        for worker in &mut world.workers {
            worker.fails_all = worker.running.is_empty();
            if worker.fails_all {
                worker.info.labels.push("faulty".into());
            }
        }
        world.run(SECOND);
        for id in 10..40 {
            let mut labelled = step(1, 100);
            labelled.label = Some("faulty".into());
            world.submit(id, &submission(vec![labelled]));
        }
        world.run(SECOND);
        let took = time_down(&mut world, id);
        assert!(took.is_some_and(|took| took < MAX_DOWN), "{seed}: {took:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "{seed}");
    }
}

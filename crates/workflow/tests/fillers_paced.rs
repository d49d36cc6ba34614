//! Fillers beside serving tasks whose load swings.

mod support;

use {
    compact_str::CompactString,
    egretlb_types::MilliCores,
    egretlb_workflow::{Limits, Step, Submission, WorkflowId},
    std::time::Duration,
    support::{step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);

fn serving(count: u32) -> Step {
    let mut serving = step(count, 0);
    serving.resources.cpu = MilliCores(4_000);
    serving.long_running = true;
    serving.target_ms = 50;
    serving.per_worker = 1;
    serving.image = CompactString::const_new("serving");
    serving
}

fn filler(count: u32, ms: u32) -> Step {
    let mut filler = step(count, ms);
    filler.best_effort = true;
    filler.image = CompactString::const_new("filler");
    filler
}

/// Serving tasks in the valley of their load, and fillers beside them that press.
fn pressed() -> (World, WorkflowId) {
    let mut world = World::new(31, 2, 2, Limits::default());
    world.run(2 * SECOND);
    for worker in &mut world.workers {
        (worker.tail_ms, worker.interference_ms) = (14, 15);
    }
    world.submit(1, &submission(vec![serving(2)]));
    world.run(3 * SECOND);
    let id = world.submit(2, &submission(vec![filler(2, 4_000)]));
    world.run(SECOND);
    (world, id)
}

fn fillers(world: &World, id: WorkflowId) -> Vec<u32> {
    let runs = world.workers.iter().flat_map(|worker| &worker.running);
    runs.filter(|(task, _)| task.workflow == id).map(|(_, run)| run.pace).collect()
}

/// The load of a serving task rises while a filler runs beside it. The filler is held back within half a
/// second, at a tenth of the cost of a stop: its work so far isn't lost. When the load falls it goes on at
/// its full pace, and ends.
#[test]
fn held_back_at_peak() {
    let (mut world, id) = pressed();
    assert_eq!(fillers(&world, id).len(), 2);
    for worker in &mut world.workers {
        worker.tail_ms = 45;
    }
    world.run(Duration::from_millis(800));
    let paces = fillers(&world, id);
    assert!(paces.iter().all(|pace| *pace <= 40), "{paces:?}");
    for worker in &mut world.workers {
        worker.tail_ms = 14;
    }
    assert!(world.run_until(12 * SECOND, |world| world.completed(id)).is_some());
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// The leader that held a filler back dies, and the serving tasks are cancelled meanwhile. Its successor
/// doesn't know the pace; were it to take it for full, the filler would stand still for good.
#[test]
fn let_go_by_successor() {
    let (mut world, id) = pressed();
    for worker in &mut world.workers {
        worker.tail_ms = 200;
    }
    world.run(Duration::from_millis(1_200));
    assert!(fillers(&world, id).iter().all(|pace| *pace == 0));
    let starts = world.checker.starts;
    let leader = world.leader().expect("somebody leads");
    world.kill(leader);
    world.cancel(WorkflowId(1));
    for worker in &mut world.workers {
        worker.running.retain(|task, _| task.workflow == id);
    }
    assert!(world.run_until(9 * SECOND, |world| world.completed(id)).is_some());
    // Neither was stopped and begun anew.
    assert_eq!(world.checker.starts, starts);
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

/// A task is over its target on end while fillers work beside it, whatever is known of them. The platform
/// counts harm after 4 s; by 2.5 s they are held back wholly or gone.
#[test]
fn relieved_in_time() {
    let (mut world, id) = pressed();
    for worker in &mut world.workers {
        (worker.tail_ms, worker.interference_ms) = (49, 3);
    }
    world.run(Duration::from_millis(2_500));
    assert!(fillers(&world, id).iter().all(|pace| *pace == 0));
}

/// Serving tasks stand on every worker, at half of their target. A filler that takes half of a worker comes, of an
/// image that was never seen beside them. Were what is feared of it to decide, it would wait for ever, since it
/// never runs and so nothing is learned of it; it is tried once it has waited.
#[test]
fn unknown_is_tried() {
    let mut world = World::new(33, 2, 2, Limits::default());
    world.run(2 * SECOND);
    for worker in &mut world.workers {
        (worker.tail_ms, worker.interference_ms) = (25, 0);
    }
    world.submit(1, &submission(vec![serving(2)]));
    world.run(3 * SECOND);
    let mut large = filler(1, 500);
    large.resources.cpu = MilliCores(4_000);
    let id = world.submit(2, &submission(vec![large]));
    assert!(world.run_until(12 * SECOND, |world| world.completed(id)).is_some());
}

/// A filler at a tenth of its pace isn't taken for one that stands still, which would stop it and lose
/// what it has done.
#[test]
fn no_straggler() {
    let (mut world, id) = pressed();
    let starts = world.checker.starts;
    for worker in &mut world.workers {
        worker.tail_ms = 44;
    }
    world.run(3 * SECOND);
    assert_eq!(fillers(&world, id).len(), 2);
    assert_eq!(world.checker.starts, starts);
}

/// Orders get no answer and are carried out seconds later. What is in force at a worker isn't known then,
/// so the pace is told again.
#[test]
fn lost_calls_repeated() {
    let (mut world, id) = pressed();
    for worker in &mut world.workers {
        worker.tail_ms = 200;
    }
    world.late_commands = 600;
    world.run(SECOND);
    world.late_commands = 0;
    for worker in &mut world.workers {
        worker.tail_ms = 14;
    }
    assert!(world.run_until(25 * SECOND, |world| world.completed(id)).is_some());
    assert_eq!(world.checker.violations, Vec::<String>::new());
}

#[test]
fn submission_serves_nobody() {
    let plain: Submission = submission(vec![filler(2, 300)]);
    let mut world = World::new(32, 2, 2, Limits::default());
    world.run(2 * SECOND);
    let id = world.submit(1, &plain);
    assert!(world.run_until(2 * SECOND, |world| world.completed(id)).is_some());
    assert!(world.workers.iter().all(|worker| worker.paces.is_empty()));
}

/// A serving task's tail strays by a tenth from figure to figure near what its fillers leave it. Each change
/// of a filler's pace is a call; telling every step took 500 calls a second at 490 workers.
#[test]
fn small_changes_untold() {
    let (mut world, id) = pressed();
    for worker in &mut world.workers {
        worker.tail_ms = 30;
    }
    world.run(SECOND);
    let before: usize = world.workers.iter().map(|worker| worker.paces.len()).sum();
    for round in 0..40 {
        for worker in &mut world.workers {
            worker.tail_ms = 28 + round % 5;
        }
        world.run(Duration::from_millis(100));
    }
    let told: usize = world.workers.iter().map(|worker| worker.paces.len()).sum::<usize>() - before;
    assert!(told <= 12, "{told}");
    assert_eq!(fillers(&world, id).len(), 2);
}

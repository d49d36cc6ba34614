//! Isolated starts beside runs that the previous leader had just started.

mod support;

use {
    egretlb_workflow::{TaskId, WorkerState, WorkflowId},
    std::time::Duration,
    support::{
        isolated_starts::{TASK, evidence, run_until_started, submitted_world},
        lines, step, submission,
        world::World,
    },
};

const SECOND: Duration = Duration::from_secs(1);

const CRASHING_TASK: TaskId = TaskId { workflow: WorkflowId(3), ..TASK };

/// How long after its start [`CRASHING_TASK`] crashes its worker: about half a second after the next leader takes over.
const CRASH_DELAY: Duration = Duration::from_millis(1_900);

/// One worker each of two racks that accepts tasks; the others are draining.
const READY: [usize; 2] = [0, 4];

fn drain_others(world: &mut World) {
    for (number, worker) in world.workers.iter_mut().enumerate() {
        if !READY.contains(&number) {
            worker.info.state = WorkerState::Draining;
        }
    }
}

/// Guards against giving up a task since a crashing one that the previous leader had started shortly before takes down the
/// worker of its isolated start.
#[test]
fn just_started_by_predecessor() {
    for seed in 0..20 {
        let mut world = submitted_world(seed);
        drain_others(&mut world);
        let number = run_until_started(&mut world);
        world.run(Duration::from_millis(100));
        world.workers[number].crash(&mut world.checker);
        world.run(Duration::from_millis(3_800));
        // The crashing task starts on the other worker before the lost one is replaced.
        world.crashing_tasks.tasks.insert(CRASHING_TASK, CRASH_DELAY);
        world.submit(CRASHING_TASK.workflow.0, &submission(vec![step(1, 4_000)]));
        let started = |world: &World| world.checker.is_running(CRASHING_TASK);
        world.run_until(SECOND, started).expect("it starts");
        let leader = world.leader().expect("a leader");
        world.kill(leader);
        let replacement = world.revive(number);
        world.workers[replacement].info.state = WorkerState::Draining;
        let crashed = |world: &World| world.checker.crashes_by(CRASHING_TASK) == 1;
        world.run_until(3 * SECOND, crashed).expect("a crash");
        world.crashing_tasks.tasks.clear();
        world.run(30 * SECOND);
        let evidence = evidence(&lines::take());
        assert!(world.completed(TASK.workflow), "seed {seed}: {evidence:?}");
        assert_eq!(world.checker.violations, Vec::<String>::new(), "seed {seed}");
    }
}

//! A task whose workers are lost right after its starts, so that it is started in isolation.

use {
    super::{
        lines::{self, Line},
        step, submission,
        world::World,
    },
    egretlb_workflow::{Limits, TaskId, WorkflowId},
    std::time::Duration,
};

pub const TASK: TaskId = TaskId { workflow: WorkflowId(2), occurrence: 0, step: 0, index: 0 };

const SECOND: Duration = Duration::from_secs(1);

/// Returns a world of three nodes and twelve workers in racks of four, where [`TASK`] has just been submitted.
pub fn submitted_world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 12, Limits::default());
    world.run(2 * SECOND);
    world.submit(TASK.workflow.0, &submission(vec![step(1, 4_000)]));
    lines::collect();
    world
}

/// Like [`submitted_world`], where [`TASK`] has just started.
pub fn started_world(seed: u64) -> World {
    let mut world = submitted_world(seed);
    run_until_started(&mut world);
    world
}

/// Runs until [`TASK`] runs; returns the index of its worker.
pub fn run_until_started(world: &mut World) -> usize {
    let started = |world: &World| world.checker.is_running(TASK);
    world.run_until(10 * SECOND, started).expect("it starts");
    position(world)
}

/// Returns the index of the worker of [`TASK`].
pub fn position(world: &World) -> usize {
    world.workers.iter().position(|worker| worker.running.contains_key(&TASK)).expect("it runs")
}

/// Crashes all workers of a rack at once; returns them.
pub fn crash_rack(world: &mut World, member: usize) -> Vec<usize> {
    let rack = world.workers[member].info.labels.clone();
    let of_rack = |n: &usize| world.workers[*n].up && world.workers[*n].info.labels == rack;
    let lost: Vec<usize> = (0..world.workers.len()).filter(of_rack).collect();
    lost.iter().for_each(|n| world.workers[*n].crash(&mut world.checker));
    lost
}

/// Restarts workers at their addresses.
pub fn revive(world: &mut World, lost: &[usize]) {
    for number in lost {
        world.revive(*number);
    }
}

/// Returns the evidence counted for the losses of the runs of [`TASK`].
pub fn evidence(lines: &[Line]) -> Vec<String> {
    let lost = lines::of(lines, "run_lost").into_iter();
    let of_task = lost.filter(|line| line.get("task") == TASK.to_string());
    of_task.map(|line| line.get("evidence").to_owned()).collect()
}

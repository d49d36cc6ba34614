//! Moves of latency-critical tasks while others wait for room.

mod support;

use {
    compact_str::{CompactString, format_compact},
    egretlb_types::MilliCores,
    egretlb_workflow::{
        Exposure, InterferenceModel, Key, Limits, Record, Sample, Step, WorkerState, set_share,
    },
    std::time::Duration,
    support::{long_running, step, submission, world::World},
};

const SECOND: Duration = Duration::from_secs(1);
const WORKERS: usize = 12;
const CORES: u32 = 32;
const LATENCY_CRITICAL_IMAGES: usize = 4;
const BEST_EFFORT_IMAGES: usize = 4;

fn serving(image: usize) -> CompactString {
    format_compact!("serving-{image}")
}

fn filler(image: usize) -> CompactString {
    format_compact!("filler-{image}")
}

/// What a leader has learned: the first half of the latency-critical images suffer from the first half of the best-effort
/// images, and the second half from the second.
fn model() -> InterferenceModel {
    let mut model = InterferenceModel::default();
    let latency_critical: Vec<_> =
        (0..LATENCY_CRITICAL_IMAGES).map(|image| model.image(&serving(image))).collect();
    for image in 0..BEST_EFFORT_IMAGES {
        let image = model.image(&filler(image));
        model.column(image);
    }
    for _ in 0..40 {
        for (number, image) in latency_critical.iter().enumerate() {
            let sample = |best_effort: usize| {
                let weight = if (number < 2) == (best_effort < 2) { 10.0 } else { 0.5 };
                let mut exposure = Exposure::new();
                set_share(&mut exposure, best_effort, 0.1);
                Sample { headroom: 3.0 - 0.1 * weight, count: 2.0, exposure }
            };
            let samples: Vec<Sample> = (0..BEST_EFFORT_IMAGES).map(sample).collect();
            model.observe(*image, &samples.iter().collect::<Vec<_>>());
        }
        model.solve(Duration::from_millis(250));
    }
    model
}

fn latency_critical(image: usize) -> Step {
    let mut step = long_running(1, CORES / LATENCY_CRITICAL_IMAGES as u32);
    (step.target_ms, step.image) = (50, serving(image));
    step
}

fn best_effort(image: usize) -> Step {
    let mut step = step(30, 2_000);
    step.resources.cpu = MilliCores(1_500);
    (step.best_effort, step.image) = (true, filler(image));
    step
}

/// Number of tasks moved since the last call.
fn moved(world: &mut World) -> u64 {
    let leader = world.leader().expect("somebody leads");
    let scheduler = world.nodes[leader].scheduler.as_mut().expect("it leads");
    scheduler.take_stats().regrouped
}

/// A full service in which images are mixed and best-effort tasks wait.
fn mixed_world(seed: u64) -> World {
    let mut world = World::new(seed, 1, 0, Limits::default());
    world.store.append(&[Record::new(Key::InterferenceModel, &model())], None);
    world.run(2 * SECOND);
    // Each worker is the only one with room when its tasks arrive.
    for number in 0..WORKERS {
        let added = world.add_worker(CORES);
        world.workers[added].tail_ms = 30;
        world.run(SECOND);
        for image in 0..LATENCY_CRITICAL_IMAGES {
            let id = 1 + LATENCY_CRITICAL_IMAGES * number + image;
            world.submit(id as u64, &submission(vec![latency_critical(image)]));
        }
    }
    world.run(2 * SECOND);
    moved(&mut world);
    for number in 0..40 {
        world.submit(
            1_000 + number,
            &submission(vec![best_effort(number as usize % BEST_EFFORT_IMAGES)]),
        );
    }
    world
}

/// Guards against moves in a service where long-running tasks wait for room: these take the places, and each task that is
/// moved is down in turn.
#[test]
fn none_moved_for_nothing() {
    for seed in 0..3 {
        let mut world = mixed_world(seed);
        world.run(8 * SECOND);
        assert!(moved(&mut world) > 0, "seed {seed}: mixed images aren't sorted");
        for worker in &mut world.workers[..3] {
            worker.info.state = WorkerState::Draining;
        }
        // The tasks of the workers that leave count as waiting for too long after 2 s.
        world.run(4 * SECOND);
        moved(&mut world);
        world.run(10 * SECOND);
        let moved = moved(&mut world);
        assert_eq!(moved, 0, "seed {seed}");
        assert_eq!(world.checker.violations, Vec::<String>::new());
    }
}

//! The scenario of the fault tests: jobs start, run, are evicted, cancelled and end.

use {
    super::{
        faults::InjectedFault,
        platform::{batch_class, document, resources, vms},
        worker::Behaviour,
        world::{World, WorldOptions},
    },
    egretlb_tasks::{JobSpec, Protections},
    std::{
        collections::HashMap,
        sync::atomic::{AtomicUsize, Ordering},
        time::Duration,
    },
};

/// Number of worlds that run concurrently.
const THREADS: usize = 4;

pub fn spec(job: &str, tasks: u32) -> JobSpec {
    JobSpec {
        job: job.parse().unwrap(),
        class: "night".parse().unwrap(),
        tasks,
        command: "merge".into(),
        resources: None,
    }
}

/// Result of a run.
pub struct Outcome {
    pub violations: Vec<String>,
    pub faults_injected: u32,
    pub starts: u64,
    pub evictions: u64,
}

pub fn run_with_faults(seed: u64, faults: &[InjectedFault]) -> Outcome {
    run_with_protections(seed, faults, Protections::default())
}

pub fn run_with_protections(
    seed: u64,
    faults: &[InjectedFault],
    protections: Protections,
) -> Outcome {
    let classes = vec![batch_class("night", resources(1.0, 1.0, 0), Duration::from_secs(4), false)];
    let behaviour = HashMap::from([("night".parse().unwrap(), Behaviour::default())]);
    let mut world = World::new(WorldOptions {
        seed,
        nodes: 4,
        vms: vms(6, 2, resources(3.0, 8.0, 0)),
        document: document(classes),
        classes: behaviour,
        limits: WorldOptions::quick_limits(),
        protections,
        faults: faults.to_vec(),
        learning: true,
    });
    // Worker clocks drift by the allowed bound in both directions.
    for (i, worker) in world.workers.values_mut().enumerate() {
        worker.rate_permille = [985, 1_000, 1_015][i % 3];
    }
    world.run(Duration::from_millis(2_600));
    world.submit(spec("titles", 10));
    world.submit(spec("recalls", 6));
    world.leave("vm1", Duration::from_secs(2));
    world.run(Duration::from_secs(1));
    // A caller without an answer submits again.
    world.submit(spec("titles", 10));
    world.run(Duration::from_millis(1_500));
    world.submit(spec("gazette", 12));
    world.run(Duration::from_millis(2_500));
    world.cancel("gazette".parse().unwrap());
    world.run(Duration::from_secs(18));
    world.cancel("gazette".parse().unwrap());
    world.run(Duration::from_secs(60));
    world.finish();
    Outcome {
        violations: world.checker.violations,
        faults_injected: world.faults_injected,
        starts: world.checker.starts,
        evictions: world.checker.evictions,
    }
}

/// Runs `count` worlds concurrently and returns their results in order.
pub fn run_many<T: Send>(count: usize, run: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut done = Vec::new();
        loop {
            let i = next.fetch_add(1, Ordering::Relaxed);
            if i >= count {
                return done;
            }
            done.push((i, run(i)));
        }
    };
    let mut all: Vec<(usize, T)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    });
    all.sort_by_key(|(i, _)| *i);
    all.into_iter().map(|(_, outcome)| outcome).collect()
}

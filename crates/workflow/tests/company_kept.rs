//! Regrouping of latency-critical tasks by image, and the best-effort capacity it gains.
//!
//! Five latency-critical images fill 40 workers. Of eight best-effort images, five interfere with two of them and
//! three with the other three.

use {
    compact_str::CompactString,
    egretlb_types::{MilliCores, Resources},
    egretlb_workflow::{
        ColocationGroups, Demand, Exposure, Host, ImageNo, InterferenceModel, MovableTask,
        Regrouping, Sample, acceptance, set_share,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom},
    smallvec::SmallVec,
    std::time::Duration,
};

const ROUND: Duration = Duration::from_millis(250);
const LATENCY_CRITICAL_IMAGES: usize = 5;
const BEST_EFFORT_IMAGES: usize = 8;

/// The first two latency-critical images suffer from the first five best-effort images, the others from the rest.
fn weight(latency_critical: usize, best_effort: usize) -> f32 {
    if (latency_critical < 2) == (best_effort < 5) { 10.0 } else { 0.5 }
}

struct Learned {
    interference: InterferenceModel,
    demand: Demand,
    latency_critical: Vec<ImageNo>,
}

/// The model and demand after each best-effort image has run beside each latency-critical image for some seconds.
fn learned(rounds: usize) -> Learned {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut interference = InterferenceModel::default();
    let mut image = |name: String| interference.image(&CompactString::from(name));
    let latency_critical: Vec<ImageNo> =
        (0..LATENCY_CRITICAL_IMAGES).map(|n| image(format!("serving-{n}"))).collect();
    let best_effort_images: Vec<ImageNo> =
        (0..BEST_EFFORT_IMAGES).map(|n| image(format!("filler-{n}"))).collect();
    for best_effort in &best_effort_images {
        interference.column(*best_effort);
    }
    for _ in 0..rounds {
        for (number, image) in latency_critical.iter().enumerate() {
            let sample = |rng: &mut SmallRng| {
                let mut exposure = Exposure::new();
                let best_effort = rng.random_range(0..BEST_EFFORT_IMAGES);
                set_share(&mut exposure, best_effort, 0.1);
                let headroom =
                    (3.0 - 0.1 * weight(number, best_effort)) * rng.random_range(0.9..1.1);
                Sample { headroom, count: 2.0, exposure }
            };
            let samples: Vec<Sample> = (0..4).map(|_| sample(&mut rng)).collect();
            interference.observe(*image, &samples.iter().collect::<Vec<_>>());
        }
        interference.solve(ROUND);
    }
    let mut demand = Demand::default();
    demand.update(ROUND, best_effort_images.iter().map(|best_effort| (*best_effort, 10.0)));
    Learned { interference, demand, latency_critical }
}

fn resources(cpu: u32) -> Resources {
    Resources { cpu: MilliCores(cpu), ..Resources::default() }
}

/// Workers with five latency-critical tasks each, of images drawn at random.
fn mixed_hosts(learned: &Learned, seed: u64) -> Vec<Host> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut tasks: Vec<ImageNo> =
        (0..200).map(|n| learned.latency_critical[n % LATENCY_CRITICAL_IMAGES]).collect();
    tasks.shuffle(&mut rng);
    tasks.chunks(5).map(host).collect()
}

fn host(images: &[ImageNo]) -> Host {
    let mut latency_critical: SmallVec<[(ImageNo, u32); 4]> = SmallVec::new();
    for image in images {
        match latency_critical.iter_mut().find(|(other, _)| other == image) {
            Some((_, count)) => *count += 1,
            None => latency_critical.push((*image, 1)),
        }
    }
    Host { free: resources(500), best_effort_cores: 16.0, latency_critical }
}

fn movable(hosts: &[Host]) -> Vec<MovableTask> {
    let tasks_of = |(index, host): (usize, &Host)| {
        let images: Vec<ImageNo> = host.latency_critical.iter().map(|(image, _)| *image).collect();
        images.into_iter().map(move |image| MovableTask {
            host: index,
            image,
            resources: resources(6_400),
        })
    };
    hosts.iter().enumerate().flat_map(tasks_of).collect()
}

fn best(
    learned: &Learned,
    hosts: &[Host],
    tasks: &[MovableTask],
    may_run_on: impl Fn(usize, usize) -> bool,
) -> Option<Regrouping> {
    ColocationGroups::new(&learned.interference, &learned.demand)
        .best_regrouping(hosts, tasks, may_run_on)
}

fn mean_acceptance(learned: &Learned, hosts: &[Host]) -> f32 {
    let host_acceptance = |host: &Host| {
        let images = host.latency_critical.iter().map(|(image, _)| *image);
        acceptance(&learned.interference, &learned.demand, images)
    };
    hosts.iter().map(host_acceptance).sum::<f32>() / hosts.len() as f32
}

fn change_count(host: &mut Host, image: ImageNo, by: i32) {
    match host.latency_critical.iter_mut().find(|(other, _)| *other == image) {
        Some((_, count)) => *count = count.saturating_add_signed(by),
        None => host.latency_critical.push((image, 1)),
    }
    host.latency_critical.retain(|(_, count)| *count > 0);
}

fn swap(hosts: &mut [Host], first: MovableTask, second: MovableTask) {
    change_count(&mut hosts[first.host], first.image, -1);
    change_count(&mut hosts[second.host], second.image, -1);
    change_count(&mut hosts[first.host], second.image, 1);
    change_count(&mut hosts[second.host], first.image, 1);
}

/// Guards against mixed workers that stay mixed or swap tasks forever. Perfectly grouped workers accept 0.47 of the
/// demand on average; five sixths of that must be reached.
#[test]
fn mixed_workers_sorted() {
    let learned = learned(40);
    for seed in 0..10 {
        let mut hosts = mixed_hosts(&learned, seed);
        let before_swaps = mean_acceptance(&learned, &hosts);
        assert!(before_swaps < 0.15, "seed {seed}: {before_swaps}");
        let mut swaps = 0;
        loop {
            let tasks = movable(&hosts);
            let Some(regrouping) = best(&learned, &hosts, &tasks, |_, _| true) else { break };
            let second = regrouping.second.expect("no worker has room for one more");
            swap(&mut hosts, tasks[regrouping.first], tasks[second]);
            swaps += 1;
            assert!(swaps < 200, "seed {seed}: tasks are swapped forever");
        }
        let after_swaps = mean_acceptance(&learned, &hosts);
        assert!(after_swaps > 0.47 * 5.0 / 6.0, "seed {seed}: {after_swaps} after {swaps} swaps");
    }
}

/// Guards against swapping two tasks where moving one suffices.
#[test]
fn stranger_moved_to_room() {
    let learned = learned(40);
    let [first, _, third, fourth, _] = learned.latency_critical[..] else { panic!("five images") };
    let mut hosts = vec![host(&[first, third, third, fourth]), host(&[first, first])];
    hosts[1].free = resources(20_000);
    let tasks = movable(&hosts);
    let regrouping = best(&learned, &hosts, &tasks, |_, _| true);
    assert_eq!(regrouping, Some(Regrouping { first: 0, second: None }));
    // A host that the task may not use isn't offered.
    let with_exclusion = best(&learned, &hosts, &tasks, |task, host| (task, host) != (0, 1));
    assert_ne!(with_exclusion, regrouping);
}

/// Guards against moves between workers that are already grouped.
#[test]
fn sorted_left_alone() {
    let learned = learned(40);
    let [first, second, third, fourth, fifth] = learned.latency_critical[..] else {
        panic!("five images")
    };
    let mut hosts = vec![host(&[first, second, second]), host(&[third, fourth, fifth])];
    for host in &mut hosts {
        host.free = resources(20_000);
    }
    let tasks = movable(&hosts);
    assert_eq!(best(&learned, &hosts, &tasks, |_, _| true), None);
}

/// Guards against moves before any pair of images has been observed.
#[test]
fn nothing_known_nothing_moved() {
    let learned = learned(0);
    let hosts = mixed_hosts(&learned, 1);
    let tasks = movable(&hosts);
    assert_eq!(best(&learned, &hosts, &tasks, |_, _| true), None);
}

/// Guards against moves for best-effort images without demand.
#[test]
fn no_demand_no_move() {
    let mut learned = learned(40);
    learned.demand = Demand::default();
    let best_effort_image = learned.interference.image(&CompactString::const_new("filler-0"));
    learned.demand.update(ROUND, [(best_effort_image, 10.0)]);
    let [_, _, third, fourth, _] = learned.latency_critical[..] else { panic!("five images") };
    let hosts = vec![host(&[third, fourth]), host(&[third]), host(&[fourth])];
    let tasks = movable(&hosts);
    assert_eq!(best(&learned, &hosts, &tasks, |_, _| true), None);
}

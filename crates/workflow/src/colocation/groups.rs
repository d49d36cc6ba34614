//! Finds latency-critical tasks to migrate so that the images on a worker tolerate the same
//! best-effort images. Such images are in the same colocation group.
//!
//! Without migration nearly every worker soon runs tasks of every image, since each new task goes
//! where capacity was just freed. A best-effort image that interferes with only some of them is then
//! tolerated by no worker.

use {
    super::{
        demand::Demand,
        model::{ImageNo, InterferenceModel},
    },
    egretlb_types::Resources,
    smallvec::SmallVec,
    std::collections::BTreeMap,
};

/// Interference weight at which a latency-critical image tolerates no task of a best-effort image.
/// The interference of a task that uses a tenth of the worker is then 0.6.
const BLOCKING_WEIGHT: f32 = 6.0;

/// Minimum gain in cores for best-effort tasks per migrated task, since that task is down for one to
/// two seconds.
const MIN_GAIN_CORES: f32 = 1.0;

/// Two images are in different colocation groups if their acceptance together is lower by more than
/// this than that of each alone.
const GROUP_THRESHOLD: f32 = 0.1;

/// Maximum number of candidates that are considered as the first or only migrated task, those with
/// the highest gain first.
const MAX_CANDIDATES: usize = 12;

/// Returns the share of best-effort demand that the given latency-critical images tolerate, from 0
/// to 1.
pub fn acceptance(
    model: &InterferenceModel,
    demand: &Demand,
    latency_critical: impl Iterator<Item = ImageNo> + Clone,
) -> f32 {
    let (mut accepted, mut total) = (0.0, 0.0);
    for (best_effort, cores) in demand.iter() {
        let weight = |image| model.interference_bound(image, best_effort, 1.0);
        let max_weight = latency_critical.clone().map(weight).fold(0.0, f32::max);
        accepted += cores * (1.0 - max_weight / BLOCKING_WEIGHT).max(0.0);
        total += cores;
    }
    if total > 0.0 { accepted / total } else { 1.0 }
}

/// A worker as a source or destination of migrations.
#[derive(Clone, Debug)]
pub struct Host {
    /// Unreserved resources.
    pub free: Resources,
    /// CPU time available to best-effort tasks, in cores.
    pub best_effort_cores: f32,
    /// Latency-critical images and the number of tasks of each.
    pub latency_critical: SmallVec<[(ImageNo, u32); 4]>,
}

/// A latency-critical task that may be migrated.
#[derive(Clone, Copy, Debug)]
pub struct MovableTask {
    /// Index of its current host.
    pub host: usize,
    /// Its image.
    pub image: ImageNo,
    /// Resources reserved for it.
    pub resources: Resources,
}

/// Tasks to stop and restart elsewhere: one to migrate, or two to swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Regrouping {
    /// Index of the task.
    pub first: usize,
    /// Index of the task it is swapped with.
    pub second: Option<usize>,
}

/// Compares the acceptance of combinations of latency-critical images, to tell which are in the same
/// colocation group. Results are cached.
#[derive(Debug)]
pub struct ColocationGroups<'a> {
    model: &'a InterferenceModel,
    demand: &'a Demand,
    acceptance_cache: BTreeMap<Images, f32>,
    different_groups_cache: BTreeMap<(ImageNo, ImageNo), bool>,
}

/// Sorted latency-critical images of a worker.
type Images = SmallVec<[ImageNo; 8]>;

impl Host {
    fn images(&self) -> Images {
        let mut images: Images = self.latency_critical.iter().map(|(image, _)| *image).collect();
        images.sort_unstable();
        images
    }

    fn count(&self, image: ImageNo) -> u32 {
        self.latency_critical
            .iter()
            .find(|(other, _)| *other == image)
            .map_or(0, |(_, count)| *count)
    }

    /// Returns the images left once one task of `image` has moved away.
    fn images_without_one(&self, image: ImageNo) -> Images {
        let mut images = self.images();
        if self.count(image) == 1 {
            images.retain(|other| *other != image);
        }
        images
    }
}

impl<'a> ColocationGroups<'a> {
    /// Creates an empty cache over a model and the current demand.
    pub fn new(model: &'a InterferenceModel, demand: &'a Demand) -> ColocationGroups<'a> {
        ColocationGroups {
            model,
            demand,
            acceptance_cache: BTreeMap::new(),
            different_groups_cache: BTreeMap::new(),
        }
    }

    fn acceptance(&mut self, images: Images) -> f32 {
        if let Some(acceptance) = self.acceptance_cache.get(&images) {
            return *acceptance;
        }
        let value = acceptance(self.model, self.demand, images.iter().copied());
        self.acceptance_cache.insert(images, value);
        value
    }

    /// Returns whether two images are in different colocation groups; see [`GROUP_THRESHOLD`].
    fn in_different_groups(&mut self, left: ImageNo, right: ImageNo) -> bool {
        let pair = (left.min(right), left.max(right));
        if let Some(differ) = self.different_groups_cache.get(&pair) {
            return *differ;
        }
        let alone = |this: &mut Self, image| this.acceptance(Images::from_slice(&[image]));
        let lower_acceptance = alone(self, left).min(alone(self, right));
        let both = self.acceptance(Images::from_slice(&[pair.0, pair.1]));
        let in_different_groups = left != right && lower_acceptance - both > GROUP_THRESHOLD;
        self.different_groups_cache.insert(pair, in_different_groups);
        in_different_groups
    }

    /// Returns the cores gained for best-effort tasks if all tasks of the image's colocation group
    /// left the host, divided by their number. This prefers hosts with few tasks to migrate.
    fn cores_gained_without(&mut self, host: &Host, image: ImageNo) -> f32 {
        let images = host.images();
        let staying_images: Images = images
            .iter()
            .copied()
            .filter(|other| self.in_different_groups(image, *other))
            .collect();
        if staying_images.is_empty() {
            return 0.0;
        }
        let staying_tasks: u32 = staying_images.iter().map(|other| host.count(*other)).sum();
        let leaving_tasks =
            host.latency_critical.iter().map(|(_, count)| count).sum::<u32>() - staying_tasks;
        let gained = self.acceptance(staying_images) - self.acceptance(images);
        host.best_effort_cores * gained / leaving_tasks.max(1) as f32
    }

    /// Returns the cores lost for best-effort tasks if a task of `image` joined `images`.
    fn cores_lost_with(&mut self, best_effort_cores: f32, images: Images, image: ImageNo) -> f32 {
        let mut with_image = images.clone();
        if let Err(index) = with_image.binary_search(&image) {
            with_image.insert(index, image);
        }
        best_effort_cores * (self.acceptance(images) - self.acceptance(with_image))
    }

    /// Returns the number of tasks on the host that are in another colocation group than `image`.
    fn other_group_tasks(&mut self, host: &Host, image: ImageNo) -> u32 {
        let mut other_group_tasks = 0;
        for (other, count) in &host.latency_critical {
            if self.in_different_groups(image, *other) {
                other_group_tasks += count;
            }
        }
        other_group_tasks
    }

    /// Returns the migration or swap with the highest gain, if it exceeds `MIN_GAIN_CORES` per
    /// migrated task. `is_eligible(task, host)` tells whether a task may run on a host, apart from
    /// capacity.
    pub fn best_regrouping(
        &mut self,
        hosts: &[Host],
        tasks: &[MovableTask],
        is_eligible: impl Fn(usize, usize) -> bool,
    ) -> Option<Regrouping> {
        let candidates = self.migration_candidates(hosts, tasks);
        // The regrouping with its gain beyond the minimum.
        let mut best: Option<(f32, Regrouping)> = None;
        for candidate in candidates.iter().take(MAX_CANDIDATES) {
            let best_net_gain =
                |best: &Option<(f32, Regrouping)>| best.map_or(0.0, |(net_gain, _)| net_gain);
            for (index, host) in hosts.iter().enumerate() {
                let net_gain = self.gain_of_move(candidate, host) - MIN_GAIN_CORES;
                if index == candidate.host || net_gain <= best_net_gain(&best) {
                    continue;
                }
                let fits = |task: &&usize| {
                    tasks[**task].resources.fits(&host.free) && is_eligible(**task, index)
                };
                if let Some(first) = candidate.tasks.iter().find(fits) {
                    best = Some((net_gain, Regrouping { first: *first, second: None }));
                }
            }
            for other in &candidates {
                let net_gain = self.gain_of_swap(hosts, candidate, other) - 2.0 * MIN_GAIN_CORES;
                if other.host == candidate.host || net_gain <= best_net_gain(&best) {
                    continue;
                }
                let can_swap_pair = |first: usize, second: usize| {
                    can_swap(hosts, &tasks[first], &tasks[second])
                        && is_eligible(first, other.host)
                        && is_eligible(second, candidate.host)
                };
                let pairs = candidate
                    .tasks
                    .iter()
                    .flat_map(|first| other.tasks.iter().map(move |second| (*first, *second)));
                if let Some((first, second)) =
                    pairs.into_iter().find(|(a, b)| can_swap_pair(*a, *b))
                {
                    best = Some((net_gain, Regrouping { first, second: Some(second) }));
                }
            }
        }
        best.map(|(_, regrouping)| regrouping)
    }

    /// Returns the movable tasks by host and image, sorted by descending gain.
    fn migration_candidates(
        &mut self,
        hosts: &[Host],
        tasks: &[MovableTask],
    ) -> Vec<MigrationCandidate> {
        let mut by_host_and_image: BTreeMap<(usize, ImageNo), Vec<usize>> = BTreeMap::new();
        for (index, task) in tasks.iter().enumerate() {
            by_host_and_image.entry((task.host, task.image)).or_default().push(index);
        }
        let mut candidates: Vec<MigrationCandidate> = Vec::with_capacity(by_host_and_image.len());
        for ((host, image), tasks) in by_host_and_image {
            let gain_cores = self.cores_gained_without(&hosts[host], image);
            let other_group_tasks = self.other_group_tasks(&hosts[host], image);
            candidates.push(MigrationCandidate {
                host,
                image,
                tasks,
                gain_cores,
                other_group_tasks,
            });
        }
        candidates.sort_by(|left, right| right.gain_cores.total_cmp(&left.gain_cores));
        candidates
    }

    /// Returns the cores gained by moving one of the candidate's tasks to a host, or 0 unless the task
    /// shares the destination with fewer tasks of other colocation groups than its current host.
    fn gain_of_move(&mut self, candidate: &MigrationCandidate, host: &Host) -> f32 {
        if candidate.gain_cores <= 0.0
            || self.other_group_tasks(host, candidate.image) >= candidate.other_group_tasks
        {
            return 0.0;
        }
        candidate.gain_cores
            - self.cores_lost_with(host.best_effort_cores, host.images(), candidate.image)
    }

    /// Returns the cores gained by swapping a task of each candidate, or 0 unless they then share their
    /// hosts with fewer tasks of other colocation groups, which prevents swapping back and forth.
    fn gain_of_swap(
        &mut self,
        hosts: &[Host],
        candidate: &MigrationCandidate,
        other: &MigrationCandidate,
    ) -> f32 {
        if candidate.image == other.image || candidate.gain_cores + other.gain_cores <= 0.0 {
            return 0.0;
        }
        let (source, destination) = (&hosts[candidate.host], &hosts[other.host]);
        let other_group_tasks_after = self.other_group_tasks(destination, candidate.image)
            + self.other_group_tasks(source, other.image);
        // If the two images are in different groups, this also counts the two swapped tasks, each on
        // the host that it leaves.
        let swapped_pair = 2 * u32::from(self.in_different_groups(candidate.image, other.image));
        if other_group_tasks_after
            >= candidate.other_group_tasks + other.other_group_tasks + swapped_pair
        {
            return 0.0;
        }
        let lost = self.cores_lost_with(
            source.best_effort_cores,
            source.images_without_one(candidate.image),
            other.image,
        ) + self.cores_lost_with(
            destination.best_effort_cores,
            destination.images_without_one(other.image),
            candidate.image,
        );
        candidate.gain_cores + other.gain_cores - lost
    }
}

/// Movable tasks of one image on one host, any of which may be migrated.
struct MigrationCandidate {
    host: usize,
    image: ImageNo,
    /// Indexes into the list of movable tasks.
    tasks: Vec<usize>,
    /// See [`ColocationGroups::cores_gained_without`].
    gain_cores: f32,
    /// Number of tasks on the host that are in another colocation group.
    other_group_tasks: u32,
}

fn can_swap(hosts: &[Host], task: &MovableTask, other: &MovableTask) -> bool {
    task.host != other.host
        && task.image != other.image
        && task.resources.fits(&hosts[other.host].free.plus(&other.resources))
        && other.resources.fits(&hosts[task.host].free.plus(&task.resources))
}

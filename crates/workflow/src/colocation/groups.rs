//! Groups latency-critical images that tolerate the same best-effort images, and finds tasks to
//! migrate so that each worker holds few groups.
//!
//! Without migration nearly every worker soon runs tasks of every image, since each new task goes
//! where capacity was just freed. A best-effort image that interferes with only some of them then
//! finds no worker that tolerates it.

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
/// A task that uses a tenth of the worker then takes 0.6 of the headroom.
const BLOCKING_WEIGHT: f32 = 6.0;

/// Minimum gain in cores for best-effort tasks per migrated task, which is down for one to two
/// seconds.
const MIN_GAIN_CORES: f32 = 1.0;

/// Two images are in different groups if together they reject this much more of the best-effort
/// demand than either does alone.
const GROUP_THRESHOLD: f32 = 0.1;

/// Maximum number of task groups considered for migration per pass, those with the highest gain
/// first.
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

/// Computes and caches how much best-effort demand combinations of latency-critical images
/// tolerate.
#[derive(Debug)]
pub struct ColocationGroups<'a> {
    model: &'a InterferenceModel,
    demand: &'a Demand,
    acceptance_cache: BTreeMap<Images, f32>,
    differ_cache: BTreeMap<(ImageNo, ImageNo), bool>,
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
            differ_cache: BTreeMap::new(),
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

    /// Returns whether two images are in different colocation groups.
    fn in_different_groups(&mut self, left: ImageNo, right: ImageNo) -> bool {
        let pair = (left.min(right), left.max(right));
        if let Some(differ) = self.differ_cache.get(&pair) {
            return *differ;
        }
        let alone = |groups: &mut Self, image| groups.acceptance(Images::from_slice(&[image]));
        let lower_acceptance = alone(self, left).min(alone(self, right));
        let both = self.acceptance(Images::from_slice(&[pair.0, pair.1]));
        let in_different_groups = left != right && lower_acceptance - both > GROUP_THRESHOLD;
        self.differ_cache.insert(pair, in_different_groups);
        in_different_groups
    }

    /// Returns the cores gained for best-effort tasks if all tasks of the image's group left, per
    /// leaving task. Dividing by the number of tasks prefers hosts that are nearly sorted.
    fn cores_gained_without(&mut self, host: &Host, image: ImageNo) -> f32 {
        let images = host.images();
        let others: Images = images
            .iter()
            .copied()
            .filter(|other| self.in_different_groups(image, *other))
            .collect();
        if others.is_empty() {
            return 0.0;
        }
        let stay: u32 = others.iter().map(|other| host.count(*other)).sum();
        let leave = host.latency_critical.iter().map(|(_, count)| count).sum::<u32>() - stay;
        let gained = self.acceptance(others) - self.acceptance(images);
        host.best_effort_cores * gained / leave.max(1) as f32
    }

    /// Returns the cores lost for best-effort tasks if a task of `image` joined `images`.
    fn cores_lost_with(&mut self, best_effort_cores: f32, images: Images, image: ImageNo) -> f32 {
        let mut with_image = images.clone();
        if let Err(index) = with_image.binary_search(&image) {
            with_image.insert(index, image);
        }
        best_effort_cores * (self.acceptance(images) - self.acceptance(with_image))
    }

    /// Returns the number of tasks on the host that are in another group than `image`.
    fn other_group_tasks(&mut self, host: &Host, image: ImageNo) -> u32 {
        let mut other_group_tasks = 0;
        for (other, count) in &host.latency_critical {
            if self.in_different_groups(image, *other) {
                other_group_tasks += count;
            }
        }
        other_group_tasks
    }

    /// Returns the migration or swap with the highest gain, if one is worthwhile. `is_eligible`
    /// tells whether a task may run on a host, apart from capacity.
    pub fn best_regrouping(
        &mut self,
        hosts: &[Host],
        tasks: &[MovableTask],
        is_eligible: impl Fn(usize, usize) -> bool,
    ) -> Option<Regrouping> {
        let groups = self.task_groups(hosts, tasks);
        let mut best: Option<(f32, Regrouping)> = None;
        for group in groups.iter().take(MAX_CANDIDATES) {
            let best_gain = |best: &Option<(f32, Regrouping)>| best.map_or(0.0, |(gain, _)| gain);
            for (index, host) in hosts.iter().enumerate() {
                let gain = self.gain_of_move(group, host) - MIN_GAIN_CORES;
                if index == group.host || gain <= best_gain(&best) {
                    continue;
                }
                let fits = |task: &&usize| {
                    tasks[**task].resources.fits(&host.free) && is_eligible(**task, index)
                };
                if let Some(first) = group.tasks.iter().find(fits) {
                    best = Some((gain, Regrouping { first: *first, second: None }));
                }
            }
            for other in &groups {
                let gain = self.gain_of_swap(hosts, group, other) - 2.0 * MIN_GAIN_CORES;
                if other.host == group.host || gain <= best_gain(&best) {
                    continue;
                }
                let can_swap_pair = |first: usize, second: usize| {
                    can_swap(hosts, &tasks[first], &tasks[second])
                        && is_eligible(first, other.host)
                        && is_eligible(second, group.host)
                };
                let pairs = group
                    .tasks
                    .iter()
                    .flat_map(|first| other.tasks.iter().map(move |second| (*first, *second)));
                if let Some((first, second)) =
                    pairs.into_iter().find(|(a, b)| can_swap_pair(*a, *b))
                {
                    best = Some((gain, Regrouping { first, second: Some(second) }));
                }
            }
        }
        best.map(|(_, regrouping)| regrouping)
    }

    /// Groups tasks by host and image, sorted by descending gain.
    fn task_groups(&mut self, hosts: &[Host], tasks: &[MovableTask]) -> Vec<TaskGroup> {
        let mut by_host_and_image: BTreeMap<(usize, ImageNo), Vec<usize>> = BTreeMap::new();
        for (index, task) in tasks.iter().enumerate() {
            by_host_and_image.entry((task.host, task.image)).or_default().push(index);
        }
        let mut groups: Vec<TaskGroup> = Vec::with_capacity(by_host_and_image.len());
        for ((host, image), tasks) in by_host_and_image {
            let gain_cores = self.cores_gained_without(&hosts[host], image);
            let other_group_tasks = self.other_group_tasks(&hosts[host], image);
            groups.push(TaskGroup { host, image, tasks, gain_cores, other_group_tasks });
        }
        groups.sort_by(|left, right| right.gain_cores.total_cmp(&left.gain_cores));
        groups
    }

    /// Returns the cores gained by moving one task of the group to a host, or 0 unless it shares
    /// the destination with fewer tasks of other groups.
    fn gain_of_move(&mut self, group: &TaskGroup, host: &Host) -> f32 {
        if group.gain_cores <= 0.0
            || self.other_group_tasks(host, group.image) >= group.other_group_tasks
        {
            return 0.0;
        }
        group.gain_cores - self.cores_lost_with(host.best_effort_cores, host.images(), group.image)
    }

    /// Returns the cores gained by swapping a task of each group, or 0 unless they then share their
    /// hosts with fewer tasks of other groups, which prevents swapping back and forth.
    fn gain_of_swap(&mut self, hosts: &[Host], group: &TaskGroup, other: &TaskGroup) -> f32 {
        if group.image == other.image || group.gain_cores + other.gain_cores <= 0.0 {
            return 0.0;
        }
        let (source, destination) = (&hosts[group.host], &hosts[other.host]);
        let others_after = self.other_group_tasks(destination, group.image)
            + self.other_group_tasks(source, other.image);
        // `others_after` still counts each task beside the one it replaces.
        let swapped_pair = 2 * u32::from(self.in_different_groups(group.image, other.image));
        if others_after >= group.other_group_tasks + other.other_group_tasks + swapped_pair {
            return 0.0;
        }
        let lost = self.cores_lost_with(
            source.best_effort_cores,
            source.images_without_one(group.image),
            other.image,
        ) + self.cores_lost_with(
            destination.best_effort_cores,
            destination.images_without_one(other.image),
            group.image,
        );
        group.gain_cores + other.gain_cores - lost
    }
}

/// Movable tasks of one image on one host.
struct TaskGroup {
    host: usize,
    image: ImageNo,
    /// Indexes into the list of movable tasks.
    tasks: Vec<usize>,
    /// Cores gained for best-effort tasks per leaving task.
    gain_cores: f32,
    /// Number of tasks on the host that are in another group.
    other_group_tasks: u32,
}

fn can_swap(hosts: &[Host], task: &MovableTask, other: &MovableTask) -> bool {
    task.host != other.host
        && task.image != other.image
        && task.resources.fits(&hosts[other.host].free.plus(&other.resources))
        && other.resources.fits(&hosts[task.host].free.plus(&task.resources))
}

//! Which serving images stand together well, and which serving tasks are better moved.
//!
//! Load: lasting serving tasks of several images hold four fifths of what the workers have, and come, go and
//! fail all the time, so each new one goes where something has just left. After half a minute nearly every
//! worker holds some of each image, and a filler that presses on only two of five finds none that bears it.
//! Most fillers press on the same serving images as others do, so serving images fall into a few kinds.

use {
    super::{
        demand::Demand,
        model::{ImageNo, InterferenceModel},
    },
    egretlb_types::Resources,
    smallvec::SmallVec,
    std::collections::BTreeMap,
};

/// A filler with this weight beside a serving image, for a whole worker, finds no room there: one that uses a
/// tenth of the worker takes 0.6, about all that is left at the peak of the serving task's load.
const BLOCKING_WEIGHT: f32 = 6.0;

/// The room for fillers that must be opened for each task that is moved, in cores. It is away for a second or
/// two; a core serves a filler's task each other second.
const MIN_GAIN_CORES: f32 = 1.0;

/// Images that keep out this share of the fillers' demand together, and neither alone, are of different
/// kinds.
const GROUP_THRESHOLD: f32 = 0.1;

/// So many images at hosts, those whose leaving opens most, are considered in a pass.
const MAX_CANDIDATES: usize = 12;

/// How much of the filler work in demand could run beside these serving images, as a share of it.
pub fn acceptance(
    model: &InterferenceModel,
    demand: &Demand,
    latency_critical: impl Iterator<Item = ImageNo> + Clone,
) -> f32 {
    let (mut open, mut all) = (0.0, 0.0);
    for (best_effort, cores) in demand.iter() {
        let weight = |image| model.interference_bound(image, best_effort, 1.0);
        let hardest = latency_critical.clone().map(weight).fold(0.0, f32::max);
        open += cores * (1.0 - hardest / BLOCKING_WEIGHT).max(0.0);
        all += cores;
    }
    if all > 0.0 { open / all } else { 1.0 }
}

/// A worker, as far as it matters to where serving tasks stand.
#[derive(Clone, Debug)]
pub struct Host {
    /// What is left of its capacity.
    pub free: Resources,
    /// Processor time that is left to fillers, in cores.
    pub best_effort_cores: f32,
    /// The images that serve there, and how many tasks of each.
    pub latency_critical: SmallVec<[(ImageNo, u32); 4]>,
}

/// A serving task that may be moved.
#[derive(Clone, Copy, Debug)]
pub struct MovableTask {
    /// Where it runs: the host's place in the list.
    pub host: usize,
    /// Its image.
    pub image: ImageNo,
    /// What it holds of its host's capacity.
    pub resources: Resources,
}

/// Serving tasks that are better stopped, to be started elsewhere: one, or two that take each other's place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Regrouping {
    /// The task's place in the list.
    pub first: usize,
    /// The one that it changes places with.
    pub second: Option<usize>,
}

/// How open workers are to fillers by the images that serve there.
#[derive(Debug)]
pub struct ColocationGroups<'a> {
    model: &'a InterferenceModel,
    demand: &'a Demand,
    acceptance_cache: BTreeMap<Images, f32>,
    differ_cache: BTreeMap<(ImageNo, ImageNo), bool>,
}

/// Images that serve at a worker, in order.
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

    /// What serves there once a task of an image has left.
    fn images_without_one(&self, image: ImageNo) -> Images {
        let mut images = self.images();
        if self.count(image) == 1 {
            images.retain(|other| *other != image);
        }
        images
    }
}

impl<'a> ColocationGroups<'a> {
    /// By what is known of pairs, and what fillers ask for.
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
        let open = acceptance(self.model, self.demand, images.iter().copied());
        self.acceptance_cache.insert(images, open);
        open
    }

    /// Whether two images are of different kinds: they keep out fillers together that neither keeps out alone.
    fn in_different_groups(&mut self, left: ImageNo, right: ImageNo) -> bool {
        let pair = (left.min(right), left.max(right));
        if let Some(differ) = self.differ_cache.get(&pair) {
            return *differ;
        }
        let alone = |groups: &mut Self, image| groups.acceptance(Images::from_slice(&[image]));
        let lower_alone = alone(self, left).min(alone(self, right));
        let both = self.acceptance(Images::from_slice(&[pair.0, pair.1]));
        let in_different_groups = left != right && lower_alone - both > GROUP_THRESHOLD;
        self.differ_cache.insert(pair, in_different_groups);
        in_different_groups
    }

    /// The room that would be open without an image and its like, in cores, for each of the tasks that would
    /// have to leave: so what has begun to be sorted is sorted first.
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
        let opened = self.acceptance(others) - self.acceptance(images);
        host.best_effort_cores * opened / leave.max(1) as f32
    }

    /// The room that one more task of an image would close beside these, in cores.
    fn cores_lost_with(&mut self, best_effort_cores: f32, images: Images, image: ImageNo) -> f32 {
        let mut more = images.clone();
        if let Err(place) = more.binary_search(&image) {
            more.insert(place, image);
        }
        best_effort_cores * (self.acceptance(images) - self.acceptance(more))
    }

    /// How many tasks of other kinds one of an image has beside it at a host.
    fn other_group_tasks(&mut self, host: &Host, image: ImageNo) -> u32 {
        let mut other_group_tasks = 0;
        for (other, count) in &host.latency_critical {
            if self.in_different_groups(image, *other) {
                other_group_tasks += count;
            }
        }
        other_group_tasks
    }

    /// The move, or change of places, that opens most to fillers, if any is worth it. `is_eligible` tells whether a
    /// task may run at a host, room apart.
    pub fn best_regrouping(
        &mut self,
        hosts: &[Host],
        tasks: &[MovableTask],
        is_eligible: impl Fn(usize, usize) -> bool,
    ) -> Option<Regrouping> {
        let groups = self.task_groups(hosts, tasks);
        let mut best: Option<(f32, Regrouping)> = None;
        for group in groups.iter().take(MAX_CANDIDATES) {
            let least = |best: &Option<(f32, Regrouping)>| best.map_or(0.0, |(gain, _)| gain);
            for (place, host) in hosts.iter().enumerate() {
                let gain = self.gain_of_move(group, host) - MIN_GAIN_CORES;
                if place == group.host || gain <= least(&best) {
                    continue;
                }
                let fits = |task: &&usize| {
                    tasks[**task].resources.fits(&host.free) && is_eligible(**task, place)
                };
                if let Some(first) = group.tasks.iter().find(fits) {
                    best = Some((gain, Regrouping { first: *first, second: None }));
                }
            }
            for other in &groups {
                let gain = self.gain_of_swap(hosts, group, other) - 2.0 * MIN_GAIN_CORES;
                if other.host == group.host || gain <= least(&best) {
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

    /// Groups tasks by host and image, those first whose leaving opens most.
    fn task_groups(&mut self, hosts: &[Host], tasks: &[MovableTask]) -> Vec<TaskGroup> {
        let mut by_host_and_image: BTreeMap<(usize, ImageNo), Vec<usize>> = BTreeMap::new();
        for (place, task) in tasks.iter().enumerate() {
            by_host_and_image.entry((task.host, task.image)).or_default().push(place);
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

    /// What it opens, in cores, if one of these tasks goes to a host; 0 unless it has fewer strangers there.
    fn gain_of_move(&mut self, group: &TaskGroup, host: &Host) -> f32 {
        if group.gain_cores <= 0.0
            || self.other_group_tasks(host, group.image) >= group.other_group_tasks
        {
            return 0.0;
        }
        group.gain_cores - self.cores_lost_with(host.best_effort_cores, host.images(), group.image)
    }

    /// What it opens, in cores, if one of these tasks and one of the others change places; 0 unless they
    /// have fewer strangers beside them then. Without this they might change back and forth.
    fn gain_of_swap(&mut self, hosts: &[Host], group: &TaskGroup, other: &TaskGroup) -> f32 {
        if group.image == other.image || group.gain_cores + other.gain_cores <= 0.0 {
            return 0.0;
        }
        let (here, there) = (&hosts[group.host], &hosts[other.host]);
        let after =
            self.other_group_tasks(there, group.image) + self.other_group_tasks(here, other.image);
        // Neither stands beside the one that it replaces.
        let replaced = 2 * u32::from(self.in_different_groups(group.image, other.image));
        if after >= group.other_group_tasks + other.other_group_tasks + replaced {
            return 0.0;
        }
        let closed = self.cores_lost_with(
            here.best_effort_cores,
            here.images_without_one(group.image),
            other.image,
        ) + self.cores_lost_with(
            there.best_effort_cores,
            there.images_without_one(other.image),
            group.image,
        );
        group.gain_cores + other.gain_cores - closed
    }
}

/// Movable tasks of one image at one host.
struct TaskGroup {
    host: usize,
    image: ImageNo,
    /// Their places in the list of movable tasks.
    tasks: Vec<usize>,
    /// The room that opens for each that leaves, in cores.
    gain_cores: f32,
    /// How many tasks of other kinds are beside each.
    other_group_tasks: u32,
}

fn can_swap(hosts: &[Host], task: &MovableTask, other: &MovableTask) -> bool {
    task.host != other.host
        && task.image != other.image
        && task.resources.fits(&hosts[other.host].free.plus(&other.resources))
        && other.resources.fits(&hosts[task.host].free.plus(&task.resources))
}

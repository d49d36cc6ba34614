//! Which serving images stand together well, and which serving tasks are better moved.
//!
//! Load: lasting serving tasks of several images hold four fifths of what the workers have, and come, go and
//! fail all the time, so each new one goes where something has just left. After half a minute nearly every
//! worker holds some of each image, and a filler that presses on only two of five finds none that bears it.
//! Most fillers press on the same serving images as others do, so serving images fall into a few kinds.

use {
    super::{
        demand::Demand,
        interference::{ImageNo, Interference},
    },
    egretlb_types::Resources,
    smallvec::SmallVec,
    std::collections::BTreeMap,
};

/// A filler with this weight beside a serving image, for a whole worker, finds no room there: one that uses a
/// tenth of the worker takes 0.6, about all that is left at the peak of the serving task's load.
const CLOSING_WEIGHT: f32 = 6.0;

/// The room for fillers that must be opened for each task that is moved, in cores. It is away for a second or
/// two; a core serves a filler's task each other second.
const LEAST_GAIN: f32 = 1.0;

/// Images that keep out this share of the fillers' demand together, and neither alone, are of different
/// kinds.
const DIFFERENT: f32 = 0.1;

/// So many images at hosts, those whose leaving opens most, are considered in a pass.
const MOST_CONSIDERED: usize = 12;

/// How much of the filler work in demand could run beside these serving images, as a share of it.
pub fn openness(
    interference: &Interference,
    demand: &Demand,
    serving: impl Iterator<Item = ImageNo> + Clone,
) -> f32 {
    let (mut open, mut all) = (0.0, 0.0);
    for (filler, cores) in demand.iter() {
        let weight = |image| interference.pressure(image, filler, 1.0);
        let hardest = serving.clone().map(weight).fold(0.0, f32::max);
        open += cores * (1.0 - hardest / CLOSING_WEIGHT).max(0.0);
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
    pub room: f32,
    /// The images that serve there, and how many tasks of each.
    pub serving: SmallVec<[(ImageNo, u32); 4]>,
}

/// A serving task that may be moved.
#[derive(Clone, Copy, Debug)]
pub struct Movable {
    /// Where it runs: the host's place in the list.
    pub host: usize,
    /// Its image.
    pub image: ImageNo,
    /// What it holds of its host's capacity.
    pub hard: Resources,
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
pub struct Company<'a> {
    interference: &'a Interference,
    demand: &'a Demand,
    known: BTreeMap<Images, f32>,
    kinds: BTreeMap<(ImageNo, ImageNo), bool>,
}

/// Images that serve at a worker, in order.
type Images = SmallVec<[ImageNo; 8]>;

impl Host {
    fn images(&self) -> Images {
        let mut images: Images = self.serving.iter().map(|(image, _)| *image).collect();
        images.sort_unstable();
        images
    }

    fn count(&self, image: ImageNo) -> u32 {
        self.serving.iter().find(|(known, _)| *known == image).map_or(0, |(_, count)| *count)
    }

    /// What serves there once a task of an image has left.
    fn images_after(&self, image: ImageNo) -> Images {
        let mut images = self.images();
        if self.count(image) == 1 {
            images.retain(|known| *known != image);
        }
        images
    }
}

impl<'a> Company<'a> {
    /// By what is known of pairs, and what fillers ask for.
    pub fn new(interference: &'a Interference, demand: &'a Demand) -> Company<'a> {
        Company { interference, demand, known: BTreeMap::new(), kinds: BTreeMap::new() }
    }

    fn openness(&mut self, images: Images) -> f32 {
        if let Some(known) = self.known.get(&images) {
            return *known;
        }
        let open = openness(self.interference, self.demand, images.iter().copied());
        self.known.insert(images, open);
        open
    }

    /// Whether two images are of different kinds: they keep out fillers together that neither keeps out alone.
    fn differ(&mut self, left: ImageNo, right: ImageNo) -> bool {
        let pair = (left.min(right), left.max(right));
        if let Some(known) = self.kinds.get(&pair) {
            return *known;
        }
        let alone = |company: &mut Self, image| company.openness(Images::from_slice(&[image]));
        let choosier = alone(self, left).min(alone(self, right));
        let both = self.openness(Images::from_slice(&[pair.0, pair.1]));
        let differ = left != right && choosier - both > DIFFERENT;
        self.kinds.insert(pair, differ);
        differ
    }

    /// The room that would be open without an image and its like, in cores, for each of the tasks that would
    /// have to leave: so what has begun to be sorted is sorted first.
    fn opened_without(&mut self, host: &Host, image: ImageNo) -> f32 {
        let images = host.images();
        let others: Images =
            images.iter().copied().filter(|other| self.differ(image, *other)).collect();
        if others.is_empty() {
            return 0.0;
        }
        let stay: u32 = others.iter().map(|other| host.count(*other)).sum();
        let leave = host.serving.iter().map(|(_, count)| count).sum::<u32>() - stay;
        let opened = self.openness(others) - self.openness(images);
        host.room * opened / leave.max(1) as f32
    }

    /// The room that one more task of an image would close beside these, in cores.
    fn closed_by(&mut self, room: f32, images: Images, image: ImageNo) -> f32 {
        let mut more = images.clone();
        if let Err(place) = more.binary_search(&image) {
            more.insert(place, image);
        }
        room * (self.openness(images) - self.openness(more))
    }

    /// How many tasks of other kinds one of an image has beside it at a host.
    fn strangers(&mut self, host: &Host, image: ImageNo) -> u32 {
        let mut strangers = 0;
        for (other, count) in &host.serving {
            if self.differ(image, *other) {
                strangers += count;
            }
        }
        strangers
    }

    /// The move, or change of places, that opens most to fillers, if any is worth it. `suits` tells whether a
    /// task may run at a host, room apart.
    pub fn best_regrouping(
        &mut self,
        hosts: &[Host],
        tasks: &[Movable],
        suits: impl Fn(usize, usize) -> bool,
    ) -> Option<Regrouping> {
        let kin = self.kin(hosts, tasks);
        let mut best: Option<(f32, Regrouping)> = None;
        for leaving in kin.iter().take(MOST_CONSIDERED) {
            let least = |best: &Option<(f32, Regrouping)>| best.map_or(0.0, |(known, _)| known);
            for (place, host) in hosts.iter().enumerate() {
                let gain = self.gain_of_move(leaving, host) - LEAST_GAIN;
                if place == leaving.host || gain <= least(&best) {
                    continue;
                }
                let fits =
                    |task: &&usize| tasks[**task].hard.fits(&host.free) && suits(**task, place);
                if let Some(first) = leaving.tasks.iter().find(fits) {
                    best = Some((gain, Regrouping { first: *first, second: None }));
                }
            }
            for other in &kin {
                let gain = self.gain_of_change(hosts, leaving, other) - 2.0 * LEAST_GAIN;
                if other.host == leaving.host || gain <= least(&best) {
                    continue;
                }
                let suit = |first: usize, second: usize| {
                    may_change_places(hosts, &tasks[first], &tasks[second])
                        && suits(first, other.host)
                        && suits(second, leaving.host)
                };
                let pairs = leaving
                    .tasks
                    .iter()
                    .flat_map(|first| other.tasks.iter().map(move |second| (*first, *second)));
                if let Some((first, second)) = pairs.into_iter().find(|(a, b)| suit(*a, *b)) {
                    best = Some((gain, Regrouping { first, second: Some(second) }));
                }
            }
        }
        best.map(|(_, regrouping)| regrouping)
    }

    /// Groups tasks by host and image, those first whose leaving opens most.
    fn kin(&mut self, hosts: &[Host], tasks: &[Movable]) -> Vec<Kin> {
        let mut groups: BTreeMap<(usize, ImageNo), Vec<usize>> = BTreeMap::new();
        for (place, task) in tasks.iter().enumerate() {
            groups.entry((task.host, task.image)).or_default().push(place);
        }
        let mut kin: Vec<Kin> = Vec::with_capacity(groups.len());
        for ((host, image), tasks) in groups {
            let opens = self.opened_without(&hosts[host], image);
            let strangers = self.strangers(&hosts[host], image);
            kin.push(Kin { host, image, tasks, opens, strangers });
        }
        kin.sort_by(|left, right| right.opens.total_cmp(&left.opens));
        kin
    }

    /// What it opens, in cores, if one of these tasks goes to a host; 0 unless it has fewer strangers there.
    fn gain_of_move(&mut self, leaving: &Kin, host: &Host) -> f32 {
        if leaving.opens <= 0.0 || self.strangers(host, leaving.image) >= leaving.strangers {
            return 0.0;
        }
        leaving.opens - self.closed_by(host.room, host.images(), leaving.image)
    }

    /// What it opens, in cores, if one of these tasks and one of the others change places; 0 unless they
    /// have fewer strangers beside them then. Without this they might change back and forth.
    fn gain_of_change(&mut self, hosts: &[Host], leaving: &Kin, other: &Kin) -> f32 {
        if leaving.image == other.image || leaving.opens + other.opens <= 0.0 {
            return 0.0;
        }
        let (here, there) = (&hosts[leaving.host], &hosts[other.host]);
        let after = self.strangers(there, leaving.image) + self.strangers(here, other.image);
        // Neither stands beside the one that it replaces.
        let replaced = 2 * u32::from(self.differ(leaving.image, other.image));
        if after >= leaving.strangers + other.strangers + replaced {
            return 0.0;
        }
        let closed = self.closed_by(here.room, here.images_after(leaving.image), other.image)
            + self.closed_by(there.room, there.images_after(other.image), leaving.image);
        leaving.opens + other.opens - closed
    }
}

/// Movable tasks of one image at one host.
struct Kin {
    host: usize,
    image: ImageNo,
    /// Their places in the list of movable tasks.
    tasks: Vec<usize>,
    /// The room that opens for each that leaves, in cores.
    opens: f32,
    /// How many tasks of other kinds are beside each.
    strangers: u32,
}

fn may_change_places(hosts: &[Host], task: &Movable, other: &Movable) -> bool {
    task.host != other.host
        && task.image != other.image
        && task.hard.fits(&hosts[other.host].free.plus(&other.hard))
        && other.hard.fits(&hosts[task.host].free.plus(&task.hard))
}

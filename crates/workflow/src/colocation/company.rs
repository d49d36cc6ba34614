//! Which serving images stand together well, and which serving tasks are better moved.
//!
//! Load: lasting serving tasks of several images hold four fifths of what the workers have, and come, go and
//! fail all the time, so each new one goes where something has just left. After half a minute nearly every
//! worker holds some of each image, and a filler that presses on only two of five finds none that it may
//! run beside: of 48 workers 3 were open to a third of the fillers, while a quarter of all processor time was
//! unused. Most fillers press on the same serving images as others do, so serving images fall into a few
//! kinds; put together by kind they leave 15 of the 48 open.

use {
    super::{
        demand::Demand,
        interference::{ImageNo, Interference},
    },
    egretlb_types::Resources,
    smallvec::SmallVec,
};

/// A filler with this weight beside a serving image, for a whole worker, finds no room there: one that uses a
/// tenth of the worker takes 0.6, about all that is left at the peak of the serving task's load.
const CLOSING_WEIGHT: f32 = 6.0;

/// What a move must gain for each task that is away for a second meanwhile, in tasks that it no longer stands
/// beside, each counted by the share of the fillers' demand that the two keep out together.
const LEAST_GAIN: f32 = 0.4;

/// So many of the serving tasks in the worst company are considered in a pass.
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

/// What two serving images keep out together, beyond what the choosier of them does alone, as a share of
/// the fillers' demand.
#[derive(Clone, Debug, Default)]
pub struct Apart {
    images: SmallVec<[ImageNo; 8]>,
    kept_out: Vec<f32>,
}

impl Apart {
    /// Reckons it for all pairs of these images.
    pub fn new(
        interference: &Interference,
        demand: &Demand,
        images: impl Iterator<Item = ImageNo>,
    ) -> Apart {
        let mut images: SmallVec<[ImageNo; 8]> = images.collect();
        images.sort_unstable();
        images.dedup();
        let open = |images: &[ImageNo]| openness(interference, demand, images.iter().copied());
        let mut kept_out = Vec::with_capacity(images.len() * images.len());
        for left in &images {
            for right in &images {
                let alone = open(&[*left]).min(open(&[*right]));
                kept_out.push(alone - open(&[*left, *right]));
            }
        }
        Apart { images, kept_out }
    }

    fn between(&self, left: ImageNo, right: ImageNo) -> f32 {
        let place = |image| self.images.binary_search(&image).ok();
        let (Some(left), Some(right)) = (place(left), place(right)) else { return 0.0 };
        self.kept_out[left * self.images.len() + right]
    }

    /// What one task of an image keeps out together with those of a host.
    fn strain(&self, host: &Host, image: ImageNo) -> f32 {
        let strain = |(other, count): &(ImageNo, u32)| self.between(image, *other) * *count as f32;
        host.serving.iter().map(strain).sum()
    }

    /// The move, or change of places, that leaves most open to fillers, if any is worth it. `suits` tells
    /// whether a task may run at a host, room apart.
    pub fn best_regrouping(
        &self,
        hosts: &[Host],
        tasks: &[Movable],
        suits: impl Fn(usize, usize) -> bool,
    ) -> Option<Regrouping> {
        let mut best: Option<(f32, Regrouping)> = None;
        let mut offer = |gain: f32, first, second| {
            if gain > 0.0 && best.is_none_or(|(known, _)| gain > known) {
                best = Some((gain, Regrouping { first, second }));
            }
        };
        for first in self.worst_placed(hosts, tasks) {
            let task = &tasks[first];
            let strain = self.strain(&hosts[task.host], task.image);
            for (place, host) in hosts.iter().enumerate() {
                if place != task.host && task.hard.fits(&host.free) && suits(first, place) {
                    offer(strain - self.strain(host, task.image) - LEAST_GAIN, first, None);
                }
            }
            for (second, other) in tasks.iter().enumerate() {
                if may_change_places(hosts, task, other)
                    && suits(first, other.host)
                    && suits(second, task.host)
                {
                    let gain = self.gain_of_change(hosts, task, other);
                    offer(gain - 2.0 * LEAST_GAIN, first, Some(second));
                }
            }
        }
        best.map(|(_, regrouping)| regrouping)
    }

    fn worst_placed(&self, hosts: &[Host], tasks: &[Movable]) -> Vec<usize> {
        let strain = |place: &usize| self.strain(&hosts[tasks[*place].host], tasks[*place].image);
        let mut worst: Vec<(f32, usize)> =
            (0..tasks.len()).map(|place| (strain(&place), place)).collect();
        worst.sort_by(|(left, _), (right, _)| right.total_cmp(left));
        worst.truncate(MOST_CONSIDERED);
        worst.into_iter().map(|(_, place)| place).collect()
    }

    fn gain_of_change(&self, hosts: &[Host], task: &Movable, other: &Movable) -> f32 {
        let (here, there) = (&hosts[task.host], &hosts[other.host]);
        let before = self.strain(here, task.image) + self.strain(there, other.image);
        let after = self.strain(there, task.image) + self.strain(here, other.image);
        // Neither stands beside the one that it replaces.
        before - after + 2.0 * self.between(task.image, other.image)
    }
}

fn may_change_places(hosts: &[Host], task: &Movable, other: &Movable) -> bool {
    task.host != other.host
        && task.image != other.image
        && task.hard.fits(&hosts[other.host].free.plus(&other.hard))
        && other.hard.fits(&hosts[task.host].free.plus(&task.hard))
}

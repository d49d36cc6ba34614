//! Speeds of the tasks of one step, to compare a task with its siblings on other workers.

use {crate::WorkerId, egretlb_types::Time, std::time::Duration};

/// Maximum number of siblings remembered, and so the cost of a comparison in a step of thousands of tasks.
const MAX_SIBLINGS: usize = 32;

/// Minimum number of siblings elsewhere for a comparison: the median of three stands one task in a hundred that takes
/// seven times as long.
const MIN_SIBLINGS: usize = 3;

/// How long a sibling's speed counts.
const VALID_FOR: Duration = Duration::from_secs(30);

/// The last known speed of a task, as a multiple of the estimated speed.
#[derive(Clone, Debug)]
pub(crate) struct SiblingSpeed {
    /// Index of the task.
    pub(crate) index: u32,
    pub(crate) worker: WorkerId,
    /// Whether the worker is away from the step's data.
    pub(crate) away: bool,
    pub(crate) speed: f32,
    pub(crate) at: Time,
}

/// The latest speeds of the tasks of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct SiblingSpeeds {
    latest: Vec<SiblingSpeed>,
}

impl SiblingSpeeds {
    pub(crate) fn note(&mut self, sibling: SiblingSpeed) {
        let known = self.latest.iter_mut().find(|other| other.index == sibling.index);
        if let Some(known) = known {
            *known = sibling;
            return;
        }
        if self.latest.len() < MAX_SIBLINGS {
            self.latest.push(sibling);
        } else if let Some(oldest) = self.latest.iter_mut().min_by_key(|other| other.at) {
            *oldest = sibling;
        }
    }

    /// The median speed on other workers that are equally near the data; none if too few are known.
    pub(crate) fn median_elsewhere(&self, now: Time, worker: &WorkerId, away: bool) -> Option<f32> {
        let elsewhere = self.latest.iter().filter(|sibling| {
            sibling.away == away && sibling.worker != *worker && now.since(sibling.at) < VALID_FOR
        });
        let mut speeds: Vec<f32> = elsewhere.map(|sibling| sibling.speed).collect();
        if speeds.len() < MIN_SIBLINGS {
            return None;
        }
        speeds.sort_unstable_by(f32::total_cmp);
        Some(speeds[speeds.len() / 2]).filter(|median| *median > 0.0)
    }
}

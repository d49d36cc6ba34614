//! How much tasks that fill press on tasks that serve, learned from late figures.
//!
//! Load: fillers of many images come and go within seconds beside serving tasks with a tail target.
//! About half of all pairs of images hardly touch each other; the others take most of a serving task's
//! headroom with a few cores. The figure that shows it averages half a second, and the tail also swings
//! with the serving task's own load, threefold within seconds. Without knowing the pairs every worker
//! would sooner or later hold a bad one; keeping fillers off serving workers altogether leaves them no
//! room, since serving tasks are everywhere.
//!
//! A worker is taken as a queue: the tail of a serving task grows with the inverse of what load leaves
//! free. So the inverse of the tail, as a multiple of the target, is linear in loads: what the task has by
//! itself, its *own headroom*, less a weight for the share of the worker that fillers of an image use. The
//! target is missed where less than 1 is left.
//!
//! The tasks of one workflow have the same load at a time, wherever they run: without fillers their figures
//! are within some 5% of each other, and one in twenty strays by more than a fifth. So two of them at two
//! workers tell what the difference between the fillers there does, whatever the load is: the weights are
//! fitted to these contrasts alone. Compared with a moving average of the workflow's headroom, which depends on the
//! weights itself, part of what fillers take everywhere would be put down to the workflow's own load. What fillers are
//! listed to use explains more than what they ask for.

use {
    super::row::{PRIOR_SPREAD, Row},
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::time::Duration,
};

/// Filler images beyond this many aren't told apart from harmless ones. The cost of an observation
/// grows with the square; at 24 it is 600 multiplications.
const MAX_BEST_EFFORT_IMAGES: usize = 24;

/// How many standard errors are added to a weight before it is relied on.
const BOUND_STANDARD_ERRORS: f32 = 0.7;

/// What is seen beside fillers of which so little is known, as a standard error of what they take, counts
/// half in a workflow's own headroom.
const HIGH_STANDARD_ERROR: f32 = 0.15;

/// Tails below this multiple of the target count as this: figures are whole milliseconds, and at a few of
/// them the inverse jumps.
const MIN_TAIL_RATIO: f32 = 0.15;

/// Processor time in use by filler image, as a share of the worker's; the place in the list is the image's
/// number.
pub type Exposure = SmallVec<[f32; 12]>;

/// An image, by the order in which images were first seen.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ImageNo(u16);

/// What was seen of the serving tasks of one workflow at a worker.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// Their headroom, the median.
    pub headroom: f32,
    /// From how many tasks it was taken.
    pub count: f32,
    /// What fillers used meanwhile.
    pub exposure: Exposure,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Image {
    name: CompactString,
    /// Its place in exposures, if it fills.
    column: Option<usize>,
    /// What fillers do to it, if it serves.
    row: Row,
}

/// What was learned, by pair of images. A leader records it from time to time: its successor would
/// otherwise try all bad pairs again.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct InterferenceModel {
    images: Vec<Image>,
    columns: usize,
}

/// Sets an entry, lengthening the list if need be.
pub fn set_share(exposure: &mut Exposure, index: usize, share: f32) {
    if exposure.len() <= index {
        exposure.resize(index + 1, 0.0);
    }
    exposure[index] = share;
}

/// The inverse of a tail that is given as a multiple of its target: what is left of the worker for the
/// serving task, where 1 just meets the target.
pub fn headroom_of(ratio: f32) -> f32 {
    1.0 / ratio.max(MIN_TAIL_RATIO)
}

/// The median of values with weights: half of the weight is below it. Between two it is their mean.
pub(super) fn median(values: &mut [(f32, f32)]) -> f32 {
    values.sort_unstable_by(|(left, _), (right, _)| left.total_cmp(right));
    let half = values.iter().map(|(_, weight)| weight).sum::<f32>() / 2.0;
    let mut below = 0.0;
    for (place, (value, weight)) in values.iter().enumerate() {
        below += weight;
        if below > half {
            return *value;
        }
        if below >= half {
            return values.get(place + 1).map_or(*value, |(next, _)| f32::midpoint(*value, *next));
        }
    }
    0.0
}

impl InterferenceModel {
    /// The number of an image. All images beyond 65,535 count as one.
    pub fn image(&mut self, name: &CompactString) -> ImageNo {
        let number = |index| ImageNo(u16::try_from(index).unwrap_or(u16::MAX));
        if let Some(index) = self.images.iter().position(|image| image.name == *name) {
            return number(index);
        }
        if self.images.len() > usize::from(u16::MAX) {
            return ImageNo(u16::MAX);
        }
        self.images.push(Image { name: name.clone(), column: None, row: Row::default() });
        number(self.images.len() - 1)
    }

    /// The image's name.
    pub fn name(&self, image: ImageNo) -> &str {
        self.images.get(usize::from(image.0)).map_or("", |image| image.name.as_str())
    }

    /// The place of a filler image in exposures; none if there are too many.
    pub fn column(&mut self, best_effort: ImageNo) -> Option<usize> {
        let columns = self.columns;
        let image = self.images.get_mut(usize::from(best_effort.0))?;
        if image.column.is_none() && columns < MAX_BEST_EFFORT_IMAGES {
            image.column = Some(columns);
            self.columns += 1;
        }
        image.column
    }

    /// The headroom that a workflow's tasks would have without fillers, from what was seen at several workers
    /// at a time: the median, since one figure in twenty strays widely.
    pub fn own_headroom(&self, latency_critical: ImageNo, samples: &[&Sample]) -> f32 {
        let own = |sample: &&Sample| {
            let standard_error =
                self.standard_error(latency_critical, &sample.exposure) / HIGH_STANDARD_ERROR;
            let own = sample.headroom + self.total_interference(latency_critical, &sample.exposure);
            (own, sample.count.sqrt() / (1.0 + standard_error * standard_error))
        };
        let mut values: SmallVec<[(f32, f32); 8]> = samples.iter().map(own).collect();
        median(&mut values)
    }

    /// Takes in what was seen of one workflow's tasks at several workers at a time. Of what one worker shows
    /// alone it can't be told what is the tasks' own load and what fillers take.
    pub fn observe(&mut self, latency_critical: ImageNo, samples: &[&Sample]) {
        if samples.len() < 2 {
            return;
        }
        let own = self.own_headroom(latency_critical, samples);
        let size = self.columns;
        if let Some(image) = self.images.get_mut(usize::from(latency_critical.0)) {
            image.row.grow(size);
            image.row.add_contrasts(own, samples);
        }
    }

    /// Forgets a little of what was seen, by the time that has passed, and finds the weights anew.
    pub fn solve(&mut self, elapsed: Duration) {
        for image in &mut self.images {
            image.row.solve(elapsed);
        }
    }

    fn pair(&self, latency_critical: ImageNo, best_effort: ImageNo) -> Option<(&Row, usize)> {
        let row = &self.images.get(usize::from(latency_critical.0))?.row;
        Some((row, self.images.get(usize::from(best_effort.0))?.column?))
    }

    /// What a filler takes from a serving image's headroom with a share of the worker in use, by a
    /// cautious estimate.
    pub fn interference_bound(
        &self,
        latency_critical: ImageNo,
        best_effort: ImageNo,
        share: f32,
    ) -> f32 {
        let Some((row, column)) = self.pair(latency_critical, best_effort) else {
            let unseen = self.columns < MAX_BEST_EFFORT_IMAGES;
            return if unseen { BOUND_STANDARD_ERRORS * PRIOR_SPREAD * share } else { 0.0 };
        };
        (row.weight(column) + BOUND_STANDARD_ERRORS * row.error(column)) * share
    }

    /// The same by the best estimate; nothing for a pair that was never seen.
    pub fn expected_interference(
        &self,
        latency_critical: ImageNo,
        best_effort: ImageNo,
        share: f32,
    ) -> f32 {
        self.pair(latency_critical, best_effort)
            .map_or(0.0, |(row, column)| row.weight(column) * share)
    }

    /// What fillers' use takes from a serving image's headroom, by the best estimate.
    pub fn total_interference(&self, latency_critical: ImageNo, exposure: &Exposure) -> f32 {
        let Some(image) = self.images.get(usize::from(latency_critical.0)) else { return 0.0 };
        image.row.total_interference(exposure)
    }

    /// The standard error of [`InterferenceModel::total_interference`].
    pub fn standard_error(&self, latency_critical: ImageNo, exposure: &Exposure) -> f32 {
        let Some(image) = self.images.get(usize::from(latency_critical.0)) else { return 0.0 };
        let error = |(column, share): (usize, &f32)| (image.row.error(column) * share).powi(2);
        exposure.iter().enumerate().map(error).sum::<f32>().sqrt()
    }
}

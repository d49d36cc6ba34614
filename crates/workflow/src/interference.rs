//! How much tasks that fill press on tasks that serve, learned from late figures.
//!
//! Load: fillers of many images come and go within seconds beside serving tasks with a tail target.
//! Most pairs of images don't touch each other; a few lift the tail by a tenth for each core in use,
//! several times over in all. The figure that shows it averages half a second, and the tail also swings
//! with the serving task's own load, threefold within seconds. Without knowing the pairs every worker
//! would sooner or later hold a bad one; keeping fillers off serving workers altogether leaves them no
//! room, since serving tasks are everywhere.
//!
//! A worker is taken as a queue: the tail of a serving task grows with the inverse of what load leaves
//! free. So the inverse of the tail, as a multiple of the target, is linear in loads: what the task has by
//! itself, its *own headroom*, less a weight for each core that a filler image uses. The target is missed where
//! less than 1 is left. In recorded days this explained 30 and 34% of what changes between workers at a
//! time; a form linear in the logarithm of the tail explained 24 and 28%, and judged a pair that presses
//! hard at the peak of the serving task's load by how little it does in the valley.
//!
//! The tasks of one workflow have the same load at a time, wherever they run. So their own headroom is followed
//! over all workers, and what one of them lacks beside its fillers is put down to these by recursive least
//! squares. Comparing each figure with the same task's average found weights a third too low, and a tenth
//! of them two thirds too low; this finds half of them within a tenth.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
};

/// Filler images beyond this many aren't told apart from harmless ones. The cost of an observation
/// grows with the square; at 24 it is 600 multiplications.
const MAX_FILLERS: usize = 24;

/// What is believed of a weight before anything was seen: that it is about this large at most.
/// Weights of pairs that press were 0.03 to 0.3 a core on recorded days.
const FIRST_SPREAD: f32 = 0.15;

/// How far a figure strays by itself, as a share of it.
const NOISE: f32 = 0.2;

/// An expected figure below this counts as this much when its noise is reckoned.
const LEAST_EXPECTED: f32 = 0.2;

/// The error of a workflow's own headroom, as a share of it: its load changes by some tenths in the second
/// over which it is averaged.
const OWN_NOISE: f32 = 0.15;

/// Figures of one worker come from the same fillers again and again, and their errors with them. Without
/// this factor weights seemed certain within seconds and stayed wrong.
const NOISE_FACTOR: f32 = 2.0;

/// How many standard errors are added to a weight before it is relied on. With it the pairs that press were
/// judged at 0.3 to 1.7 of what they do after ten seconds, and harmless ones at 0.07 a core.
const CAUTION: f32 = 0.7;

/// Tails below this multiple of the target count as this: figures are whole milliseconds, and at a few of
/// them the inverse jumps.
const MIN_RATIO: f32 = 0.15;

/// Processor time in use by filler image, in cores; the place in the list is the image's number.
pub type Exposure = SmallVec<[f32; 12]>;

/// An image, by the order in which images were first seen.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ImageNo(u16);

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Row {
    weights: Vec<f32>,
    /// The covariance of the weights, row by row.
    spread: Vec<f32>,
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
pub struct Interference {
    images: Vec<Image>,
    columns: usize,
}

fn at(exposure: &Exposure, index: usize) -> f32 {
    exposure.get(index).copied().unwrap_or(0.0)
}

/// Sets an entry, lengthening the list if need be.
pub fn set(exposure: &mut Exposure, index: usize, cores: f32) {
    if exposure.len() <= index {
        exposure.resize(index + 1, 0.0);
    }
    exposure[index] = cores;
}

/// The inverse of a tail that is given as a multiple of its target: what is left of the worker for the
/// serving task, where 1 just meets the target.
pub fn headroom_of(ratio: f32) -> f32 {
    1.0 / ratio.max(MIN_RATIO)
}

impl Interference {
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
    pub fn column(&mut self, filler: ImageNo) -> Option<usize> {
        let columns = self.columns;
        let image = self.images.get_mut(usize::from(filler.0))?;
        if image.column.is_none() && columns < MAX_FILLERS {
            image.column = Some(columns);
            self.columns += 1;
        }
        image.column
    }

    /// Takes in at what headroom `count` tasks of a serving image were, beside the fillers' use, where their
    /// own headroom is `own`.
    pub fn observe(
        &mut self,
        serving: ImageNo,
        own: f32,
        headroom: f32,
        count: f32,
        exposure: &Exposure,
    ) {
        let size = self.columns;
        let Some(image) = self.images.get_mut(usize::from(serving.0)) else { return };
        image.row.grow(size);
        let use_of: Vec<f32> = (0..size).map(|i| at(exposure, i)).collect();
        image.row.learn(&use_of, own, headroom, count);
    }

    fn pair(&self, serving: ImageNo, filler: ImageNo) -> Option<(&Row, usize)> {
        let row = &self.images.get(usize::from(serving.0))?.row;
        Some((row, self.images.get(usize::from(filler.0))?.column?))
    }

    /// What a filler takes from a serving image's headroom with `cores` in use, by a cautious estimate.
    pub fn pressure(&self, serving: ImageNo, filler: ImageNo, cores: f32) -> f32 {
        let Some((row, column)) = self.pair(serving, filler) else {
            let unseen = self.columns < MAX_FILLERS;
            return if unseen { CAUTION * FIRST_SPREAD * cores } else { 0.0 };
        };
        (row.weight(column) + CAUTION * row.error(column)) * cores
    }

    /// What fillers' use takes from a serving image's headroom, by the best estimate.
    pub fn taken(&self, serving: ImageNo, exposure: &Exposure) -> f32 {
        let Some(image) = self.images.get(usize::from(serving.0)) else { return 0.0 };
        exposure.iter().enumerate().map(|(column, cores)| image.row.weight(column) * cores).sum()
    }

    /// The standard error of [`Interference::taken`].
    pub fn unsure(&self, serving: ImageNo, exposure: &Exposure) -> f32 {
        self.images.get(usize::from(serving.0)).map_or(0.0, |image| image.row.unsure(exposure))
    }
}

impl Row {
    fn weight(&self, number: usize) -> f32 {
        self.weights.get(number).copied().unwrap_or(0.0).max(0.0)
    }

    fn error(&self, number: usize) -> f32 {
        let place = number * self.weights.len() + number;
        self.spread.get(place).map_or(FIRST_SPREAD, |spread| spread.max(0.0).sqrt())
    }

    fn grow(&mut self, size: usize) {
        let old = self.weights.len();
        if old >= size {
            return;
        }
        let mut spread = vec![0.0; size * size];
        for row in 0..old {
            spread[row * size..row * size + old]
                .copy_from_slice(&self.spread[row * old..(row + 1) * old]);
        }
        for new in old..size {
            spread[new * size + new] = FIRST_SPREAD * FIRST_SPREAD;
        }
        self.spread = spread;
        self.weights.resize(size, 0.0);
    }

    /// The standard error of what an exposure takes.
    fn unsure(&self, exposure: &Exposure) -> f32 {
        let size = self.weights.len();
        let mut sum = 0.0;
        for (row, left) in exposure.iter().enumerate() {
            for (column, right) in exposure.iter().enumerate() {
                let known = row < size && column < size;
                let unknown = if row == column { FIRST_SPREAD * FIRST_SPREAD } else { 0.0 };
                sum +=
                    left * right * if known { self.spread[row * size + column] } else { unknown };
            }
        }
        sum.max(0.0).sqrt()
    }

    /// One step of recursive least squares: beside `exposure`, `count` tasks whose own headroom is `own` were
    /// at `headroom`.
    fn learn(&mut self, exposure: &[f32], own: f32, headroom: f32, count: f32) {
        let size = self.weights.len();
        let spread = &mut self.spread;
        let mut gain: Vec<f32> = Vec::with_capacity(size);
        for row in 0..size {
            let of_row = &spread[row * size..(row + 1) * size];
            gain.push(of_row.iter().zip(exposure).map(|(p, x)| p * x).sum());
        }
        let taken: f32 = self.weights.iter().zip(exposure).map(|(w, x)| w * x).sum();
        let figure = NOISE * (own - taken).max(LEAST_EXPECTED) / count.sqrt();
        let noise = NOISE_FACTOR * figure.hypot(OWN_NOISE * own);
        let scale = noise * noise + gain.iter().zip(exposure).map(|(g, x)| g * x).sum::<f32>();
        let error = own - headroom - taken;
        for row in 0..size {
            self.weights[row] += gain[row] / scale * error;
            for column in 0..size {
                spread[row * size + column] -= gain[row] * gain[column] / scale;
            }
        }
    }
}

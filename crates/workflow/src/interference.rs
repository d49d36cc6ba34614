//! How much tasks that fill press on tasks that serve, learned from late figures.
//!
//! Load: fillers of many images come and go within seconds beside serving tasks with a tail target.
//! Most pairs of images don't touch each other; a few lift the tail by a tenth for each core in use,
//! several times over in all. The figure that shows it averages half a second, and the tail also swings
//! with the serving task's own load, threefold within seconds. Without knowing the pairs every worker
//! would sooner or later hold a bad one; keeping fillers off serving workers altogether leaves them no
//! room, since serving tasks are everywhere.
//!
//! The logarithm of a tail is taken as the task's own part plus, for each filler image, a weight for
//! each core it uses. The own part is cancelled by comparing each figure with the task's own moving
//! average, and the weights of a serving image come from recursive least squares over those
//! differences. In recorded days this explained the figures better than a linear or a queueing form,
//! and told bad pairs (0.05 to 0.15 a core) from harmless ones (below 0.02) within three seconds.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
    std::time::Duration,
};

/// Filler images beyond this many aren't told apart from harmless ones. The cost of an observation
/// grows with the square; at 24 it is 600 multiplications.
const MAX_FILLERS: usize = 24;

/// What is believed of a weight before anything was seen: that it is about this large at most.
const FIRST_SPREAD: f32 = 0.3;

/// How far a logarithm of a tail strays by itself between two figures.
const NOISE: f32 = 0.2;

/// The span of a task's moving average: longer than a figure's half second, shorter than the swing of
/// its own load (14 s), which would otherwise be put down to fillers.
const AVERAGE_SPAN: Duration = Duration::from_millis(1_500);

/// Tails beyond this multiple of the target count as this: beyond it a tail is merely bad.
const MAX_RATIO: f32 = 25.0;

/// Tails below this multiple of the target count as this.
const MIN_RATIO: f32 = 0.02;

/// A weight below this for each core is noise.
const LEAST_WEIGHT: f32 = 0.02;

/// Processor time in use by filler image, in cores; the place in the list is the image's number.
pub type Exposure = SmallVec<[f32; 12]>;

/// A serving task's moving averages.
#[derive(Clone, Debug)]
pub struct Average {
    tail: f32,
    exposure: Exposure,
}

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

    /// Takes a new figure of a serving task in: its tail as a multiple of its target, and the fillers'
    /// use while it was measured. `elapsed` is the time since the task's last figure.
    pub fn observe(
        &mut self,
        serving: ImageNo,
        average: &mut Option<Average>,
        elapsed: Duration,
        ratio: f32,
        exposure: &Exposure,
    ) {
        let tail = ratio.clamp(MIN_RATIO, MAX_RATIO).ln();
        let Some(average) = average else {
            *average = Some(Average { tail, exposure: exposure.clone() });
            return;
        };
        let size = self.columns;
        let moved: Vec<f32> =
            (0..size).map(|i| at(exposure, i) - at(&average.exposure, i)).collect();
        if let Some(image) = self.images.get_mut(usize::from(serving.0)) {
            image.row.grow(size);
            image.row.learn(&moved, tail - average.tail);
        }
        let share = 1.0 - (-elapsed.as_secs_f32() / AVERAGE_SPAN.as_secs_f32()).exp();
        average.tail += share * (tail - average.tail);
        for (index, change) in moved.iter().enumerate() {
            let mean = at(&average.exposure, index) + share * change;
            set(&mut average.exposure, index, mean);
        }
    }

    fn pair(&self, serving: ImageNo, filler: ImageNo) -> Option<(&Row, usize)> {
        let row = &self.images.get(usize::from(serving.0))?.row;
        Some((row, self.images.get(usize::from(filler.0))?.column?))
    }

    /// What a filler adds to the logarithm of a serving image's tail with `cores` in use.
    pub fn pressure(&self, serving: ImageNo, filler: ImageNo, cores: f32) -> f32 {
        self.pair(serving, filler).map_or(0.0, |(row, column)| row.weight(column) * cores)
    }

    /// The standard error of [`Interference::pressure`].
    pub fn doubt(&self, serving: ImageNo, filler: ImageNo, cores: f32) -> f32 {
        let error = |(row, column): (&Row, usize)| row.error(column);
        self.pair(serving, filler).map_or(FIRST_SPREAD, error) * cores
    }
}

impl Row {
    fn weight(&self, number: usize) -> f32 {
        let weight = self.weights.get(number).copied().unwrap_or(0.0);
        if weight < LEAST_WEIGHT { 0.0 } else { weight }
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

    /// One step of recursive least squares: `moved` is the change of exposure, `change` that of the
    /// tail's logarithm.
    fn learn(&mut self, moved: &[f32], change: f32) {
        let size = self.weights.len();
        let spread = &mut self.spread;
        let mut gain: Vec<f32> = Vec::with_capacity(size);
        for row in 0..size {
            let of_row = &spread[row * size..(row + 1) * size];
            gain.push(of_row.iter().zip(moved).map(|(p, x)| p * x).sum());
        }
        let scale = NOISE * NOISE + gain.iter().zip(moved).map(|(g, x)| g * x).sum::<f32>();
        let expected: f32 = self.weights.iter().zip(moved).map(|(w, x)| w * x).sum();
        let error = change - expected;
        for row in 0..size {
            self.weights[row] += gain[row] / scale * error;
            for column in 0..size {
                spread[row * size + column] -= gain[row] * gain[column] / scale;
            }
        }
    }
}

//! What fillers ask for, by image.

use {super::model::ImageNo, smallvec::SmallVec, std::time::Duration};

/// The span over which demand is averaged: fillers run for a second or two, and serving tasks, which are
/// placed by it, for minutes.
const DEMAND_SPAN: Duration = Duration::from_secs(5);

/// The processor time that fillers of each image ask for, in cores, whether they run or wait; a moving
/// average.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    by_image: SmallVec<[(ImageNo, f32); 12]>,
}

impl Demand {
    /// Takes in what is asked for now.
    pub fn update(&mut self, elapsed: Duration, asked: impl IntoIterator<Item = (ImageNo, f32)>) {
        let share = 1.0 - (-elapsed.as_secs_f32() / DEMAND_SPAN.as_secs_f32()).exp();
        for (_, mean) in &mut self.by_image {
            *mean *= 1.0 - share;
        }
        for (image, cores) in asked {
            match self.by_image.iter_mut().find(|(known, _)| *known == image) {
                Some((_, mean)) => *mean += share * cores,
                None => self.by_image.push((image, cores)),
            }
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (ImageNo, f32)> {
        self.by_image.iter().copied()
    }
}

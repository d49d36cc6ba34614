//! CPU demand of best-effort tasks by image.

use {super::model::ImageNo, smallvec::SmallVec, std::time::Duration};

/// Time constant of the moving average. Longer than single best-effort tasks run, since the average
/// decides where latency-critical tasks run for minutes.
const DEMAND_SPAN: Duration = Duration::from_secs(5);

/// Moving average of the CPU demand of running and waiting best-effort tasks, in cores per image.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    by_image: SmallVec<[(ImageNo, f32); 12]>,
}

impl Demand {
    /// Updates the averages with the current demand. A new image starts at its current demand.
    pub fn update(&mut self, elapsed: Duration, current: impl IntoIterator<Item = (ImageNo, f32)>) {
        let alpha = 1.0 - (-elapsed.as_secs_f32() / DEMAND_SPAN.as_secs_f32()).exp();
        for (_, mean) in &mut self.by_image {
            *mean *= 1.0 - alpha;
        }
        for (image, cores) in current {
            match self.by_image.iter_mut().find(|(other, _)| *other == image) {
                Some((_, mean)) => *mean += alpha * cores,
                None => self.by_image.push((image, cores)),
            }
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (ImageNo, f32)> {
        self.by_image.iter().copied()
    }
}

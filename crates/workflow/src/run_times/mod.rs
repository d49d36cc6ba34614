//! Run times learned from completed runs, and the evidence that a worker is slow or faulty.
//!
//! Nothing here refers to the scheduler's state. All state is in the leader's memory; a new leader learns it anew.

mod failures;
mod histogram;
mod judgement;
mod meter;
mod siblings;

use {
    self::histogram::AgedHistogram, compact_str::CompactString, egretlb_types::Time,
    std::collections::BTreeMap,
};

pub(crate) use self::{
    failures::{FailureRates, FailureScore},
    judgement::{HealthySpeeds, Verdict},
    meter::SpeedMeter,
    siblings::{SiblingSpeed, SiblingSpeeds},
};

/// Number of recent completions from which an image's quantiles are used; until then the estimate counts.
const MIN_COMPLETIONS: f32 = 20.0;

/// Maximum number of images; a fleet has some dozens.
const MAX_IMAGES: usize = 1_024;

/// The ratio of the 90th to the 10th percentile up to which an image's run times predict a single run. Beyond it, the
/// estimates are too far off to show a worker that is four times slower.
const MAX_SPREAD: f32 = 2.0;

/// Tasks that take alike: of the same image, and all near their data or all away from it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct RunClass {
    image: CompactString,
    away: bool,
}

/// Ratios of run time to estimate, by image.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    ratios: BTreeMap<RunClass, AgedHistogram>,
    now: Time,
}

impl RunTimes {
    /// Sets the time by which samples are aged.
    pub(crate) fn advance(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    /// Adds a completed run. Runs without an image have nothing in common, so they teach nothing.
    pub(crate) fn add(&mut self, image: &CompactString, away: bool, ratio: f32) {
        if image.is_empty() || !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        let class = RunClass { image: image.clone(), away };
        if !self.ratios.contains_key(&class) && self.ratios.len() >= MAX_IMAGES {
            let now = self.now;
            self.ratios.retain(|_, ratios| ratios.weight(now) >= 1.0);
            if self.ratios.len() >= MAX_IMAGES {
                return;
            }
        }
        let ratios = self.ratios.entry(class).or_insert_with(AgedHistogram::of_ratios);
        ratios.add(self.now, ratio, 1.0);
    }

    /// A quantile of run time / estimate; none before there are enough completions.
    pub(crate) fn quantile(&self, image: &CompactString, away: bool, share: f32) -> Option<f32> {
        let ratios = self.ratios.get(&RunClass { image: image.clone(), away })?;
        (ratios.weight(self.now) >= MIN_COMPLETIONS).then(|| ratios.quantile(share))
    }

    /// The median ratio of an image whose run times are predictable enough to judge a single run by it.
    pub(crate) fn reliable_median(&self, image: &CompactString, away: bool) -> Option<f32> {
        let [low, median, high] = [0.1, 0.5, 0.9].map(|share| self.quantile(image, away, share));
        (high? <= low? * MAX_SPREAD).then_some(median?)
    }
}

#[cfg(test)]
#[path = "tests/mod.rs"]
mod tests;

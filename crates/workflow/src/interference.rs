//! How much tasks that fill press on tasks that serve, learned from late figures.
//!
//! Load: fillers of many images come and go within seconds beside serving tasks with a tail target.
//! Some pairs of images hardly touch each other, others lift the tail several times over, and the
//! figure that shows it averages the last half second. Without knowing the pairs every worker would
//! sooner or later hold a bad one; keeping fillers off serving workers altogether leaves them no room,
//! since serving tasks are everywhere.
//!
//! The tail, as a multiple of its target, is taken as a base of the serving image plus, for each filler
//! image, a weight for each core it uses. Weights start at nothing and never fall below, so an unknown
//! pair is tried; each observation moves base and weights along its error (normalised least squares).

use {compact_str::CompactString, smallvec::SmallVec, std::collections::HashMap};

/// How far one observation moves the prediction to what was seen. High enough that a bad pair is known
/// after two or three of its own observations, about a second.
const RATE: f32 = 0.35;

/// The base moves slower: what a change comes from is most often a filler.
const BASE_RATE: f32 = 0.05;

/// The most that an observation counts, in multiples of the target: beyond it a tail is merely bad, and
/// a single burst must not condemn every pair that was present.
const MAX_RATIO: f32 = 3.0;

/// The base that is taken for an image that wasn't seen yet.
const FIRST_BASE: f32 = 0.25;

/// Processor time in use, in cores, by filler image.
pub type Exposure = SmallVec<[(CompactString, f32); 4]>;

#[derive(Clone, Debug)]
struct Row {
    base: f32,
    weights: HashMap<CompactString, f32>,
}

/// What was learned, by pair of images.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    rows: HashMap<CompactString, Row>,
}

impl Interference {
    /// Takes a serving task's tail in, as a multiple of its target, beside these fillers.
    pub fn observe(&mut self, serving: &CompactString, ratio: f32, fillers: &Exposure) {
        let ratio = ratio.clamp(0.0, MAX_RATIO);
        let error = ratio - self.predict(serving, fillers);
        let norm = 1.0 + fillers.iter().map(|(_, cores)| cores * cores).sum::<f32>();
        let row = self
            .rows
            .entry(serving.clone())
            .or_insert_with(|| Row { base: FIRST_BASE, weights: HashMap::new() });
        row.base = (row.base + BASE_RATE * error / norm).max(0.0);
        for (image, cores) in fillers {
            let weight = row.weights.entry(image.clone()).or_insert(0.0);
            *weight = (*weight + RATE * error * cores / norm).max(0.0);
        }
    }

    /// The tail to expect of a serving task beside these fillers, as a multiple of its target.
    pub fn predict(&self, serving: &CompactString, fillers: &Exposure) -> f32 {
        let Some(row) = self.rows.get(serving) else { return FIRST_BASE };
        let pressure = |(image, cores): &(CompactString, f32)| {
            row.weights.get(image).copied().unwrap_or(0.0) * cores
        };
        row.base + fillers.iter().map(pressure).sum::<f32>()
    }

    /// What one filler adds to a serving task's tail, as a multiple of its target.
    pub fn pressure(&self, serving: &CompactString, filler: &CompactString, cores: f32) -> f32 {
        let weight = self.rows.get(serving).and_then(|row| row.weights.get(filler));
        weight.copied().unwrap_or(0.0) * cores
    }
}

//! Learned interference between pairs of classes, from reported slowdowns.
//!
//! A report has a task's total slowdown among its neighbours. The weights of the pairs are learned
//! by normalized least mean squares: the prediction error is distributed over the classes present,
//! and converges on the cause as the neighbours vary. Weights based on few samples are shrunk
//! towards zero, and samples decay with time, since interference changes with load.

use {
    egretlb_types::{ClassName, Time, worker::RunningTask},
    std::{collections::BTreeMap, time::Duration},
};

/// Share of the prediction error that one report corrects.
const LEARNING_RATE: f64 = 0.1;

/// Number of samples at which a weight counts half.
const HALF_TRUST_SAMPLES: f64 = 8.0;

/// Time after which the samples of a weight count half.
const HALF_LIFE: Duration = Duration::from_secs(900);

/// A class below this weight is harmless: about thirty of its tasks would double the run time.
const HARMLESS_BELOW: f64 = 0.03;

#[derive(Clone, Copy, Debug, Default)]
struct Weight {
    value: f64,
    samples: f64,
    at: Time,
}

/// Learned weights by pair of classes.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    /// By slowed class, then by class that slows it.
    rows: BTreeMap<ClassName, BTreeMap<ClassName, Weight>>,
    now: Time,
}

impl InterferenceModel {
    /// Learns from the running tasks of one VM.
    pub fn observe(&mut self, now: Time, running: &[RunningTask]) {
        self.now = now;
        let mut counts: BTreeMap<&ClassName, f64> = BTreeMap::new();
        for task in running {
            *counts.entry(&task.class).or_default() += 1.0;
        }
        for task in running {
            let excess = (f64::from(task.slowdown_permille) - 1_000.0) / 1_000.0;
            self.learn(&task.class, excess, &counts);
        }
    }

    fn learn(&mut self, of: &ClassName, excess: f64, counts: &BTreeMap<&ClassName, f64>) {
        if !self.rows.contains_key(of) {
            self.rows.insert(of.clone(), BTreeMap::new());
        }
        let now = self.now;
        let row = self.rows.get_mut(of).expect("inserted above");
        // A task isn't its own neighbour.
        let others = |class: &ClassName, n: f64| if class == of { n - 1.0 } else { n };
        let mut expected = 0.0;
        let mut norm = 0.0;
        for (class, n) in counts {
            let n = others(class, *n);
            expected += n * row.get(*class).map_or(0.0, |weight| weight.value);
            norm += n * n;
        }
        if norm == 0.0 {
            return;
        }
        let error = excess - expected;
        for (class, n) in counts {
            let n = others(class, *n);
            if n == 0.0 {
                continue;
            }
            if !row.contains_key(*class) {
                row.insert((*class).clone(), Weight::default());
            }
            let weight = row.get_mut(*class).expect("inserted above");
            weight.value = (weight.value + LEARNING_RATE * error * n / norm).max(0.0);
            weight.samples = decayed_samples(weight, now) + 1.0;
            weight.at = now;
        }
    }

    /// Expected slowdown of a task of `of` by one task of `by`; 1.0 doubles its run time.
    pub fn pair_slowdown(&self, of: &ClassName, by: &ClassName) -> f64 {
        let Some(weight) = self.rows.get(of).and_then(|row| row.get(by)) else { return 0.0 };
        let samples = decayed_samples(weight, self.now);
        weight.value * samples / (samples + HALF_TRUST_SAMPLES)
    }
}

impl InterferenceModel {
    /// Whether enough samples show that tasks of `by` don't slow tasks of `of`.
    pub fn is_harmless(&self, of: &ClassName, by: &ClassName) -> bool {
        let weight = self.rows.get(of).and_then(|row| row.get(by));
        weight.is_some_and(|weight| {
            weight.value < HARMLESS_BELOW && decayed_samples(weight, self.now) >= HALF_TRUST_SAMPLES
        })
    }
}

fn decayed_samples(weight: &Weight, now: Time) -> f64 {
    let age = now.since(weight.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
    weight.samples * 0.5_f64.powf(age)
}

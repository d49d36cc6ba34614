//! The latency-critical and best-effort tasks that share a worker, and their latency samples.

use {
    super::model::{Exposure, ImageNo, Sample},
    crate::WorkflowId,
    egretlb_types::{MilliCores, Time},
    smallvec::SmallVec,
    std::time::Duration,
};

/// Factor on the pace limit for each sample in which a latency-critical task misses its target.
const PACE_LIMIT_DECREASE: f32 = 0.4;

/// Increase of the pace limit for each sample without a miss.
const PACE_LIMIT_INCREASE: f32 = 0.25;

/// Relative noise of the headroom of a single task. Headroom below 1 by less than the noise doesn't
/// count as a missed target.
const LATENCY_NOISE: f32 = 0.2;

/// Factor on the pace limit for each sample below the target by less than the noise, if such samples count.
const PACE_LIMIT_STEP_DOWN: f32 = 0.7;

/// Headroom from which the pace limit rises at full speed, if samples close to the target count. Below it the limit rises
/// by [`SLOW_PACE_LIMIT_INCREASE`], so that it doesn't swing around the target.
const CLEAR_HEADROOM: f32 = 1.15;
const SLOW_PACE_LIMIT_INCREASE: f32 = 0.05;

/// Share of each sample in the moving average of a worker's shortfall.
const SHORTFALL_GAIN: f32 = 0.3;

/// Maximum shortfall that is expected of a worker; one beyond it is left to the pace limit.
const MAX_SHORTFALL: f32 = 0.3;

/// How long an unchanged sample is taken to have been measured again: beyond this its workflow may be gone.
const MAX_REPEATED_AGE: Duration = Duration::from_secs(5);

/// The last sample of a workflow's latency-critical tasks on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Observation {
    pub(crate) workflow: WorkflowId,
    pub(crate) image: ImageNo,
    pub(crate) at: Time,
    /// When the value last changed.
    pub(crate) changed_at: Time,
    pub(crate) sample: Sample,
}

/// Forecast headroom of a latency-critical image without best-effort tasks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnForecast {
    /// For the time until the next change of pace.
    pub(crate) for_pace: f32,
    /// The lowest while a best-effort task that starts now runs.
    pub(crate) for_start: f32,
    /// Headroom to keep above 1.
    pub(crate) reserve: f32,
}

/// The tasks that share a worker, with their samples, headroom and pace limit.
#[derive(Debug)]
pub(crate) struct Neighbours {
    /// CPU capacity of the worker, in cores.
    cores: f32,
    /// Latency-critical images and the number of tasks of each.
    latency_critical: SmallVec<[(ImageNo, u32); 4]>,
    /// Best-effort images and the CPU that their tasks may use at their current paces, in millicores.
    best_effort: SmallVec<[(ImageNo, u32); 6]>,
    /// The last one of each workflow.
    observations: SmallVec<[Observation; 4]>,
    /// Forecast headroom of each latency-critical image without best-effort tasks; the lowest of its
    /// workflows.
    own_headroom: SmallVec<[(ImageNo, OwnForecast); 4]>,
    /// Mean shortfall of each latency-critical image's samples from the expected headroom, as a share of it.
    shortfalls: SmallVec<[(ImageNo, f32); 4]>,
    /// Cached acceptance; `None` after a change of latency-critical tasks.
    pub(super) acceptance: Option<f32>,
    /// Maximum pace of best-effort tasks, from 0 to 1. Reduced after a missed target, whatever the
    /// model expects, and raised step by step afterwards.
    pace_limit: f32,
    /// When samples were last compared with what was expected.
    judged_at: Time,
}

impl Neighbours {
    pub(crate) fn new(cpu: MilliCores) -> Neighbours {
        Neighbours {
            cores: capacity_cores(cpu),
            latency_critical: SmallVec::new(),
            best_effort: SmallVec::new(),
            observations: SmallVec::new(),
            own_headroom: SmallVec::new(),
            shortfalls: SmallVec::new(),
            acceptance: None,
            pace_limit: 1.0,
            judged_at: Time::ZERO,
        }
    }

    /// Sets the capacity once the worker's directory entry has been read.
    pub(crate) fn set_capacity(&mut self, cpu: MilliCores) {
        self.cores = capacity_cores(cpu);
    }

    pub(crate) fn add_latency_critical(&mut self, image: ImageNo) {
        add(&mut self.latency_critical, image, 1);
        self.acceptance = None;
    }

    pub(crate) fn remove_latency_critical(&mut self, image: ImageNo) {
        subtract(&mut self.latency_critical, image, 1);
        let present = self.latency_critical.iter().any(|(other, _)| *other == image);
        self.shortfalls.retain(|(other, _)| *other != image || present);
        self.acceptance = None;
    }

    pub(crate) fn add_best_effort(&mut self, image: ImageNo, cpu: MilliCores) {
        add(&mut self.best_effort, image, cpu.0);
    }

    pub(crate) fn remove_best_effort(&mut self, image: ImageNo, cpu: MilliCores) {
        subtract(&mut self.best_effort, image, cpu.0);
    }

    /// Returns the latency-critical images and the number of tasks of each.
    pub(crate) fn latency_critical(&self) -> &[(ImageNo, u32)] {
        &self.latency_critical
    }

    pub(super) fn best_effort(&self) -> &[(ImageNo, u32)] {
        &self.best_effort
    }

    /// Converts cores to a share of the worker.
    pub(crate) fn share(&self, cores: f32) -> f32 {
        cores / self.cores
    }

    /// Returns the maximum pace of best-effort tasks, which is 1 without latency-critical tasks.
    pub(super) fn pace_limit(&self) -> f32 {
        if self.latency_critical.is_empty() { 1.0 } else { self.pace_limit }
    }

    /// Adds new samples and adjusts the pace limit. With `close_counts`, also samples below the target by less than the noise
    /// lower it.
    pub(super) fn add_observations(
        &mut self,
        observations: SmallVec<[Observation; 4]>,
        close_counts: bool,
    ) {
        if observations.is_empty() {
            return;
        }
        let missed = |Observation { sample, .. }: &Observation| {
            sample.headroom < 1.0 - LATENCY_NOISE / sample.count.sqrt()
        };
        self.pace_limit = if observations.iter().any(missed) {
            self.pace_limit * PACE_LIMIT_DECREASE
        } else if close_counts {
            let lowest = observations.iter().map(|observation| observation.sample.headroom);
            self.pace_limit_near_target(lowest.fold(f32::INFINITY, f32::min))
        } else {
            (self.pace_limit + PACE_LIMIT_INCREASE).min(1.0)
        };
        for new in observations {
            self.observations.retain(|other| other.workflow != new.workflow);
            self.observations.push(new);
        }
    }

    fn pace_limit_near_target(&self, lowest_headroom: f32) -> f32 {
        match lowest_headroom {
            below if below < 1.0 => self.pace_limit * PACE_LIMIT_STEP_DOWN,
            near if near < CLEAR_HEADROOM => (self.pace_limit + SLOW_PACE_LIMIT_INCREASE).min(1.0),
            _ => (self.pace_limit + PACE_LIMIT_INCREASE).min(1.0),
        }
    }

    /// Adds a shortfall of a latency-critical image's samples. Returns the one that was expected before.
    pub(super) fn update_shortfall(&mut self, image: ImageNo, shortfall: f32) -> f32 {
        let expected = self.shortfall(image);
        let known = self.shortfalls.iter_mut().find(|(other, _)| *other == image);
        match known {
            Some((_, mean)) => {
                let next = *mean + SHORTFALL_GAIN * (shortfall - *mean);
                *mean = next.clamp(-MAX_SHORTFALL, MAX_SHORTFALL);
            }
            None => {
                let first = SHORTFALL_GAIN * shortfall;
                self.shortfalls.push((image, first.clamp(-MAX_SHORTFALL, MAX_SHORTFALL)));
            }
        }
        expected
    }

    /// Returns the shortfall to expect of a latency-critical image's samples; 0 where they exceed the model.
    pub(super) fn shortfall(&self, image: ImageNo) -> f32 {
        let known = self.shortfalls.iter().find(|(other, _)| *other == image);
        known.map_or(0.0, |(_, mean)| mean.max(0.0))
    }

    pub(super) fn judged_at(&self) -> Time {
        self.judged_at
    }

    pub(super) fn set_judged_at(&mut self, now: Time) {
        self.judged_at = now;
    }

    /// Returns the last samples of the images that are still here as samples of now.
    pub(super) fn repeated_observations(
        &self,
        now: Time,
        exposure: &Exposure,
    ) -> SmallVec<[Observation; 4]> {
        let present = |image| self.latency_critical.iter().any(|(other, _)| *other == image);
        let observations = self.observations.iter().filter(|observation| {
            present(observation.image) && now.since(observation.changed_at) < MAX_REPEATED_AGE
        });
        let repeated = |observation: &Observation| {
            let sample = Sample { exposure: exposure.clone(), ..observation.sample.clone() };
            Observation { at: now, sample, ..*observation }
        };
        observations.map(repeated).collect()
    }

    /// Raises the pace limit and lowers the shortfalls of a worker without recent samples.
    pub(super) fn relax(&mut self) {
        self.pace_limit = (self.pace_limit + SLOW_PACE_LIMIT_INCREASE).min(1.0);
        for (_, shortfall) in &mut self.shortfalls {
            *shortfall *= 1.0 - SHORTFALL_GAIN;
        }
    }

    pub(super) fn observations(&self) -> &[Observation] {
        &self.observations
    }

    /// Replaces the forecasts; an image with several gets the lowest headrooms and the highest reserve.
    pub(super) fn update_own_headroom(
        &mut self,
        own_headroom: impl Iterator<Item = (ImageNo, OwnForecast)>,
    ) {
        self.own_headroom.clear();
        for (image, own) in own_headroom {
            match self.own_headroom.iter_mut().find(|(other, _)| *other == image) {
                Some((_, lowest)) => {
                    *lowest = OwnForecast {
                        for_pace: lowest.for_pace.min(own.for_pace),
                        for_start: lowest.for_start.min(own.for_start),
                        reserve: lowest.reserve.max(own.reserve),
                    };
                }
                None => self.own_headroom.push((image, own)),
            }
        }
    }

    pub(super) fn own_forecast(&self, image: ImageNo) -> Option<&OwnForecast> {
        self.own_headroom.iter().find(|(other, _)| *other == image).map(|(_, own)| own)
    }

    /// Returns the forecast headroom that the worker's best-effort tasks may take from a latency-critical image together:
    /// less what its samples fall short of the model, and less the reserve.
    pub(super) fn usable_headroom(
        &self,
        latency_critical: ImageNo,
        forecast: impl Fn(&OwnForecast) -> f32,
    ) -> Option<f32> {
        let own = self.own_forecast(latency_critical)?;
        Some(forecast(own) * (1.0 - self.shortfall(latency_critical)) - 1.0 - own.reserve)
    }

    pub(super) fn own_headroom(&self, image: ImageNo) -> Option<f32> {
        self.own_forecast(image).map(|own| own.for_pace)
    }
}

/// Converts a capacity to cores. Returns at least one, since the capacity is 0 until it is known.
fn capacity_cores(cpu: MilliCores) -> f32 {
    (cpu.0 as f32 / 1_000.0).max(1.0)
}

/// Adds an amount to an image's total.
fn add(
    totals: &mut SmallVec<impl smallvec::Array<Item = (ImageNo, u32)>>,
    image: ImageNo,
    amount: u32,
) {
    match totals.iter_mut().find(|(other, _)| *other == image) {
        Some((_, total)) => *total += amount,
        None => totals.push((image, amount)),
    }
}

/// Subtracts an amount from an image's total, and removes the image at 0.
fn subtract(
    totals: &mut SmallVec<impl smallvec::Array<Item = (ImageNo, u32)>>,
    image: ImageNo,
    amount: u32,
) {
    for (other, total) in totals.iter_mut() {
        if *other == image {
            *total = total.saturating_sub(amount);
        }
    }
    totals.retain(|(_, total)| *total > 0);
}

//! Limits the expected interference of all best-effort tasks of a worker together.
//!
//! The interference of a single task is ignored below [`MIN_NOTICEABLE_INTERFERENCE`](super::MIN_NOTICEABLE_INTERFERENCE),
//! within which a pair's weight is noise. Several such tasks on a worker add up to a tenth of the headroom and more, which
//! takes latency-critical tasks over their target at the peak of their load. So the expected interference of all tasks
//! counts, without the safety factor of the single estimates, against the forecast headroom less a reserve and less what
//! the worker's own samples fall short of the model.

use {
    super::{
        Colocation, Neighbours, Observation,
        model::{Exposure, ImageNo},
    },
    egretlb_types::Time,
    smallvec::SmallVec,
    std::time::Duration,
};

/// Expected interference below this, in headroom, doesn't count: a sum over ten tasks remains within the noise.
const MIN_COUNTED_INTERFERENCE: f32 = 0.01;

/// Lower bound of the expected headroom in relative shortfalls.
const MIN_EXPECTED_HEADROOM: f32 = 0.6;

/// Interval of the samples. A value that is listed unchanged for longer has been measured again.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// A worker whose pace limit is lower takes no further best-effort task: its samples fell below the target without the
/// model expecting it.
const MIN_LIMIT_FOR_START: f32 = 0.8;

impl Colocation {
    /// Adds the samples that a worker has just reported.
    pub(crate) fn observe(
        &mut self,
        now: Time,
        worker: &mut Neighbours,
        exposure: &Exposure,
        observations: SmallVec<[Observation; 4]>,
    ) {
        if !self.load_forecast {
            worker.add_observations(observations, false);
            return;
        }
        let new = !observations.is_empty();
        if !new && now.since(worker.judged_at()) < SAMPLE_INTERVAL {
            return;
        }
        worker.set_judged_at(now);
        let observations =
            if new { observations } else { worker.repeated_observations(now, exposure) };
        if observations.is_empty() {
            worker.relax();
            return;
        }
        for Observation { workflow, image, sample, .. } in &observations {
            let Some(load) = self.loads.get_mut(workflow) else { continue };
            let expected = load.forecast.level() - self.model.total_interference(*image, exposure);
            let shortfall = (expected - sample.headroom) / expected.max(MIN_EXPECTED_HEADROOM);
            let known = worker.update_shortfall(*image, shortfall);
            load.add_shortfall(shortfall - known);
        }
        worker.add_observations(observations, true);
    }

    /// Returns the expected interference of the tasks that count.
    fn counted_interference(
        &self,
        worker: &Neighbours,
        latency_critical: ImageNo,
        best_effort_tasks: impl Iterator<Item = (ImageNo, f32)>,
    ) -> f32 {
        best_effort_tasks
            .map(|task| self.expected_interference(worker, latency_critical, task))
            .filter(|interference| *interference >= MIN_COUNTED_INTERFERENCE)
            .sum()
    }

    /// Returns whether the latency-critical images of a worker tolerate one more best-effort task beside the others there.
    pub(super) fn total_tolerates(&self, worker: &Neighbours, best_effort: (ImageNo, f32)) -> bool {
        if !self.load_forecast || worker.latency_critical().is_empty() {
            return true;
        }
        if worker.pace_limit() < MIN_LIMIT_FOR_START {
            return false;
        }
        worker.latency_critical().iter().all(|(latency_critical, _)| {
            let added = self.expected_interference(worker, *latency_critical, best_effort);
            if added < MIN_COUNTED_INTERFERENCE {
                return true;
            }
            let present =
                worker.best_effort().iter().map(|(image, cpu)| (*image, super::cores(*cpu)));
            let total = added + self.counted_interference(worker, *latency_critical, present);
            worker
                .usable_headroom(*latency_critical, |own| own.for_start)
                .is_none_or(|usable| total <= usable)
        })
    }

    /// Returns, for each latency-critical image on a worker, the pace at which it tolerates the expected interference of all
    /// given best-effort tasks.
    pub(super) fn total_pace(
        &self,
        worker: &Neighbours,
        latency_critical: ImageNo,
        best_effort_tasks: impl Iterator<Item = (ImageNo, f32)>,
    ) -> f32 {
        if !self.load_forecast {
            return 1.0;
        }
        let total = self.counted_interference(worker, latency_critical, best_effort_tasks);
        let usable = worker.usable_headroom(latency_critical, |own| own.for_pace);
        usable.map_or(1.0, |usable| usable.max(0.0) / total.max(f32::MIN_POSITIVE))
    }

    /// Returns whether a best-effort task counts in the total of a latency-critical image.
    pub(super) fn counts_in_total(
        &self,
        worker: &Neighbours,
        latency_critical: ImageNo,
        best_effort: (ImageNo, f32),
    ) -> bool {
        self.load_forecast
            && self.expected_interference(worker, latency_critical, best_effort)
                >= MIN_COUNTED_INTERFERENCE
    }
}

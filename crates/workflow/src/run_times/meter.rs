//! Speed of a run by the progress that its worker reports.
//!
//! Spans are measured by the worker's clock: a reply that was read late, for instance after this process was frozen, shows
//! the speed at the time when it was written.

use std::time::Duration;

/// Minimum span of a sample.
const MIN_SPAN_MS: f32 = 100.0;

/// Minimum span of a sample as a share of the estimate.
const MIN_SPAN_SHARE: f32 = 0.08;

/// Progress from which a sample is precise enough, in percent: progress is in whole percents.
const MIN_PROGRESS: u32 = 4;

/// Share of the estimate after which a sample is taken with less progress.
const MAX_SPAN_SHARE: f32 = 0.25;

/// A worker reports no progress for 250 ms while a run resumes from a checkpoint.
const MAX_RESUME_MS: f32 = 600.0;

/// A run without progress for this long is stalled. A task of 1 s progresses by 1% every 10 ms.
const STALLED_AFTER: Duration = Duration::from_millis(900);

/// A run is stalled only after this multiple of the time that a percent takes it: a task of 84 s makes a percent in 0.84 s.
const STALLED_PERCENTS: f32 = 3.0;

/// A run that has made no progress yet is stalled only after this multiple of the time that a percent takes its siblings: it may
/// take seven times as long as they do.
const STALLED_SIBLING_PERCENTS: f32 = 8.0;

/// Progress at a time of the worker's clock.
#[derive(Clone, Copy, Debug)]
struct Mark {
    clock_ms: u64,
    percent: u32,
}

/// The speed of a run over some span, as a multiple of the estimated speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SpeedSample {
    pub(crate) speed: f32,
    pub(crate) span: Duration,
}

/// Measures the speed of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SpeedMeter {
    /// The first report: a run that was taken over or resumed starts above 0.
    first: Option<Mark>,
    /// Begin of the sample under way.
    base: Option<Mark>,
    /// The report that last showed progress.
    progressed: Option<Mark>,
}

impl SpeedMeter {
    /// Adds a report of the progress; returns a sample if one is complete.
    pub(crate) fn observe(
        &mut self,
        clock_ms: u64,
        percent: u32,
        estimate_ms: u32,
    ) -> Option<SpeedSample> {
        let mark = Mark { clock_ms, percent };
        self.first.get_or_insert(mark);
        if self.progressed.is_none_or(|last| last.percent != percent) {
            self.progressed = Some(mark);
        }
        let base = *self.base.get_or_insert(mark);
        if clock_ms < base.clock_ms || percent < base.percent {
            self.base = Some(mark);
            return None;
        }
        let span_ms = (clock_ms - base.clock_ms) as f32;
        let progress = percent - base.percent;
        let estimate = estimate_ms as f32;
        let resuming = progress == 0 && span_ms < MAX_RESUME_MS;
        let precise = progress >= MIN_PROGRESS || span_ms >= MAX_SPAN_SHARE * estimate;
        if estimate_ms == 0
            || span_ms < MIN_SPAN_MS.max(MIN_SPAN_SHARE * estimate)
            || !precise
            || resuming
        {
            return None;
        }
        self.base = Some(mark);
        let speed = progress as f32 / 100.0 * estimate / span_ms;
        Some(SpeedSample { speed, span: Duration::from_secs_f32(span_ms / 1_000.0) })
    }

    /// Whether it has made no progress for too long. `usual_speed` is that of its siblings.
    pub(crate) fn is_stalled(&self, clock_ms: u64, estimate_ms: u32, usual_speed: f32) -> bool {
        let (Some(first), Some(progressed)) = (self.first, self.progressed) else { return false };
        let without_progress = clock_ms.saturating_sub(progressed.clock_ms) as f32;
        let progress = progressed.percent.saturating_sub(first.percent);
        let max_wait = if progress > 0 {
            let percent_ms = (progressed.clock_ms - first.clock_ms) as f32 / progress as f32;
            STALLED_PERCENTS * percent_ms
        } else {
            let percent_ms = estimate_ms as f32 / 100.0 / usual_speed.max(f32::MIN_POSITIVE);
            STALLED_SIBLING_PERCENTS * percent_ms
        };
        without_progress >= max_wait.max(STALLED_AFTER.as_secs_f32() * 1_000.0)
    }
}

#[cfg(test)]
#[path = "tests/meter.rs"]
mod tests;

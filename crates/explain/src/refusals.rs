//! Refusals of submissions by the estimated delay.

use {crate::TimelineEvent, serde::Serialize, std::fmt};

/// Refusals of a workflow since by the estimated delay it couldn't end in time, with the values of the last one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct DelayRefusals {
    /// Number of refusals.
    pub times: usize,
    /// The estimated delay, in milliseconds.
    pub delay_ms: u64,
    /// The longest delay with which it would have been taken, in milliseconds.
    pub limit_ms: u64,
    /// Age of the estimate, in milliseconds.
    pub age_ms: u64,
    /// In how many seconds the caller was asked to come back.
    pub retry_after_s: u64,
}

impl DelayRefusals {
    /// The refusals among the events, if any, from `submission_refused`.
    pub(crate) fn find(events: &[TimelineEvent]) -> Option<DelayRefusals> {
        let refusals =
            || events.iter().filter(|event| event.own && event.event == "submission_refused");
        let last = refusals().next_back()?;
        let number = |key| last.get(key).and_then(|value| value.parse().ok()).unwrap_or(0);
        Some(DelayRefusals {
            times: refusals().count(),
            delay_ms: number("delay_ms"),
            limit_ms: number("limit_ms"),
            age_ms: number("age_ms"),
            retry_after_s: number("retry_after_s"),
        })
    }
}

impl fmt::Display for DelayRefusals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let DelayRefusals { times, delay_ms, limit_ms, age_ms, retry_after_s } = self;
        write!(
            f,
            "refused {times} times, not stored: the estimated delay was {delay_ms} ms, by an estimate {age_ms} ms old, \
             and with more than {limit_ms} ms it can't end in time; the caller was asked to come back after \
             {retry_after_s} s"
        )
    }
}

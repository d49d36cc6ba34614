//! Topics of the store whose reads fail, and how often for which cause.

use {
    crate::platform::{ReadFailure, Topic},
    egretlb_types::Time,
    std::{collections::BTreeMap, fmt, time::Duration},
};

/// Interval between two reports on a topic whose reads keep failing.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Number of failed reads by cause.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FailureCounts(BTreeMap<ReadFailure, u32>);

impl FailureCounts {
    fn add(&mut self, cause: ReadFailure) {
        *self.0.entry(cause).or_default() += 1;
    }
}

impl fmt::Display for FailureCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, (cause, count)) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { "," };
            write!(f, "{separator}{cause:?}:{count}")?;
        }
        Ok(())
    }
}

/// What to log about a failed read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FailureReport {
    /// The first failure.
    Lost,
    /// Reads have failed for a while.
    StillLost {
        /// Time since the first failure.
        after: Duration,
        /// The failures so far.
        failures: FailureCounts,
    },
}

/// The end of a series of failed reads.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Regained {
    /// Time since the first failure.
    pub after: Duration,
    /// All failures.
    pub failures: FailureCounts,
}

#[derive(Clone, Debug)]
struct Series {
    since: Time,
    reported_at: Time,
    failures: FailureCounts,
}

/// Topics whose last read failed.
#[derive(Clone, Debug, Default)]
pub struct FailingTopics(BTreeMap<Topic, Series>);

impl FailingTopics {
    /// Whether the last read of a topic failed.
    pub fn contains(&self, topic: Topic) -> bool {
        self.0.contains_key(&topic)
    }

    /// Notes a failed read and returns what to log.
    pub fn on_failed(
        &mut self,
        now: Time,
        topic: Topic,
        cause: ReadFailure,
    ) -> Option<FailureReport> {
        let is_first = !self.contains(topic);
        let series = self.0.entry(topic).or_insert_with(|| Series {
            since: now,
            reported_at: now,
            failures: FailureCounts::default(),
        });
        series.failures.add(cause);
        if is_first {
            return Some(FailureReport::Lost);
        }
        if now.since(series.reported_at) < REPORT_INTERVAL {
            return None;
        }
        series.reported_at = now;
        let after = now.since(series.since);
        Some(FailureReport::StillLost { after, failures: series.failures.clone() })
    }

    /// Notes an answered read; returns the series of failures that it ends, if there is one.
    pub fn on_answered(&mut self, now: Time, topic: Topic) -> Option<Regained> {
        let series = self.0.remove(&topic)?;
        Some(Regained { after: now.since(series.since), failures: series.failures })
    }
}

//! Delta encoding of a worker's list of runs.
//!
//! Between two polls mostly progress and usage change, so task ids and unchanged checkpoints aren't sent again.

use {
    compact_str::CompactString,
    egretlb_workflow::RunningTask,
    serde::{Deserialize, Serialize},
};

/// A run in progress, relative to the previous list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) enum Row {
    /// The run is in the previous list.
    Listed {
        /// Its index there.
        index: u16,
        /// Its progress in percent.
        percent: u32,
        /// Its tail latency in milliseconds if it is latency-critical, else its CPU use in millicores.
        figure: u32,
        /// Its checkpoint, if that has changed.
        saved: Option<CompactString>,
    },
    /// The run isn't in the previous list.
    New(RunningTask),
}

/// Encodes `current` relative to `previous`.
pub(crate) fn diff(previous: &[RunningTask], current: &[RunningTask]) -> Vec<Row> {
    let to_row = |run: &RunningTask| {
        let same_run = |old: &RunningTask| (old.task, old.run) == (run.task, run.run);
        let index = previous.iter().position(same_run).and_then(|index| u16::try_from(index).ok());
        match index {
            Some(index) => Row::Listed {
                index,
                percent: run.percent,
                figure: run.figure,
                saved: (previous[usize::from(index)].saved != run.saved).then(|| run.saved.clone()),
            },
            None => Row::New(run.clone()),
        }
    };
    current.iter().map(to_row).collect()
}

/// Decodes `rows`; `None` if an index isn't in `previous`.
pub(crate) fn apply(previous: &[RunningTask], rows: Vec<Row>) -> Option<Vec<RunningTask>> {
    let to_run = |row| match row {
        Row::New(run) => Some(run),
        Row::Listed { index, percent, figure, saved } => {
            let old = previous.get(usize::from(index))?;
            let saved = saved.unwrap_or_else(|| old.saved.clone());
            Some(RunningTask { task: old.task, run: old.run, saved, percent, figure })
        }
    };
    rows.into_iter().map(to_run).collect()
}

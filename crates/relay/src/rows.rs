//! Lists of what runs at a worker, as changes of the list before.
//!
//! Most of a list is as it was a moment ago: tasks get on, and a figure strays. Their names and checkpoints
//! needn't be sent again.

use {
    compact_str::CompactString,
    egretlb_workflow::RunningTask,
    serde::{Deserialize, Serialize},
};

/// A run that is under way.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) enum Row {
    /// It was listed before.
    Known {
        /// Its place in the list before.
        place: u16,
        /// How far it is.
        percent: u32,
        /// Its figure.
        figure: u32,
        /// Its checkpoint, if that is another one.
        saved: Option<CompactString>,
    },
    /// It wasn't.
    New(RunningTask),
}

/// What `now` has in place of `before`.
pub(crate) fn changes(before: &[RunningTask], now: &[RunningTask]) -> Vec<Row> {
    let row = |run: &RunningTask| {
        let known = |old: &RunningTask| (old.task, old.run) == (run.task, run.run);
        let place = before.iter().position(known).and_then(|place| u16::try_from(place).ok());
        match place {
            Some(place) => Row::Known {
                place,
                percent: run.percent,
                figure: run.figure,
                saved: (before[usize::from(place)].saved != run.saved).then(|| run.saved.clone()),
            },
            None => Row::New(run.clone()),
        }
    };
    now.iter().map(row).collect()
}

/// The list that `rows` stand for; none if they don't follow `before`.
pub(crate) fn follow(before: &[RunningTask], rows: Vec<Row>) -> Option<Vec<RunningTask>> {
    let run = |row| match row {
        Row::New(run) => Some(run),
        Row::Known { place, percent, figure, saved } => {
            let old = before.get(usize::from(place))?;
            let saved = saved.unwrap_or_else(|| old.saved.clone());
            Some(RunningTask { task: old.task, run: old.run, saved, percent, figure })
        }
    };
    rows.into_iter().map(run).collect()
}

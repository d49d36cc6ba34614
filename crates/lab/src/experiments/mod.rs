//! The experiments, each over three sizes or more.
//!
//! An experiment builds a small model around a real reducer, drives it with a seeded generator in
//! virtual time, and measures the reducer alone. A model knows only what its reducer's border says.

mod books;
mod control;
mod entry;
mod journal;
mod keys;
mod tasks;
mod wire;

use crate::report::Report;

/// An experiment that can be asked for by name.
#[derive(Clone, Copy, Debug)]
pub struct Experiment {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it measures, in one line.
    pub about: &'static str,
    /// Runs it with a seed.
    pub run: fn(u64) -> Report,
}

/// All experiments.
pub const ALL: &[Experiment] = &[
    Experiment {
        name: "books",
        about: "memory of the books, cost of a placement and of a takeover, by VMs and tasks",
        run: books::run,
    },
    Experiment {
        name: "control",
        about: "heartbeats, reads, configuration changes and takeovers, by processes",
        run: control::run,
    },
    Experiment {
        name: "entry",
        about: "cost and memory of requests, traffic of shares, by requests and servers",
        run: entry::run,
    },
    Experiment {
        name: "journal",
        about: "appends and bytes to the log, by starts and by owners",
        run: journal::run,
    },
    Experiment {
        name: "keys",
        about: "memory, processor time and journal bytes of request keys, by keys",
        run: keys::run,
    },
    Experiment {
        name: "tasks",
        about: "books, messages and journals of tasks, and start delays, by workers",
        run: tasks::run,
    },
    Experiment {
        name: "wire",
        about: "bytes of calls with their headers, by reads, bodies and workers",
        run: wire::run,
    },
];

/// The experiment of the name.
pub fn find(name: &str) -> Option<&'static Experiment> {
    ALL.iter().find(|experiment| experiment.name == name)
}

//! The experiments, each over at least three sizes.
//!
//! An experiment drives a real reducer in virtual time with a small seeded model of its
//! environment, and measures the reducer alone.

mod books;
mod control;
mod entry;
mod journal;
mod keys;
mod tasks;
mod wire;

use crate::report::Report;

/// A named experiment.
#[derive(Clone, Copy, Debug)]
pub struct Experiment {
    /// Its name on the command line.
    pub name: &'static str,
    /// One-line description for the help text.
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

/// Finds an experiment by its name.
pub fn find(name: &str) -> Option<&'static Experiment> {
    ALL.iter().find(|experiment| experiment.name == name)
}

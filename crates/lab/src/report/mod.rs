//! Results of an experiment as text, JSON and curves.

mod curves;
mod text;

use {
    crate::measure::{Line, Series, Spread},
    serde::Serialize,
};

pub use crate::report::curves::{DrawError, draw};

/// A single figure.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fact {
    /// What is measured.
    pub name: &'static str,
    /// The figure.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
}

/// Results of one experiment.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// The experiment's name.
    pub experiment: &'static str,
    /// The seed of the run.
    pub seed: u64,
    /// Values over growing sizes.
    pub series: Vec<Series>,
    /// Distributions.
    pub spreads: Vec<Spread>,
    /// Single figures.
    pub facts: Vec<Fact>,
}

/// A series with its fitted line, for the JSON output.
#[derive(Serialize)]
struct Fitted<'a> {
    series: &'a Series,
    line: Option<Line>,
}

impl Report {
    /// Creates an empty report.
    pub fn new(experiment: &'static str, seed: u64) -> Self {
        Report { experiment, seed, ..Report::default() }
    }

    /// Adds a single figure.
    pub fn fact(&mut self, name: &'static str, value: f64, unit: &'static str) {
        self.facts.push(Fact { name, value, unit });
    }

    /// Converts the report to a JSON object.
    pub fn to_json(&self) -> serde_json::Value {
        let fitted: Vec<_> =
            self.series.iter().map(|series| Fitted { series, line: series.line() }).collect();
        serde_json::json!({
            "experiment": self.experiment,
            "seed": self.seed,
            "series": fitted,
            "spreads": self.spreads,
            "facts": self.facts,
        })
    }
}

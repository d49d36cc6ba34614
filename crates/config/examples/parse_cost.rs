//! Measures the time to parse, check, diff and render class configurations of growing size.
//!
//! Run with `cargo run --release -p egretlb-config --example parse_cost`.

use {
    egretlb_config::{diff, parse_config, render, render_compact},
    egretlb_types::{ClassSpec, ConfigDocument},
    std::{
        hint::black_box,
        time::{Duration, Instant},
    },
};

const CLASSES: [usize; 3] = [100, 1_000, 5_000];

/// Number of runs; the median is reported.
const RUNS: usize = 31;

fn main() {
    println!("classes  text_bytes  compact_bytes  parse_us  check_us  diff_us  render_us");
    for count in CLASSES {
        let document = document(count);
        let text = render(&document);
        let changed = changed(&document);
        println!(
            "{count:7}  {:10}  {:13}  {:8}  {:8}  {:7}  {:9}",
            text.len(),
            render_compact(&document).len(),
            median(|| drop(black_box(parse_config(black_box(&text))))).as_micros(),
            median(|| drop(black_box(egretlb_config::check_document(black_box(&document)))))
                .as_micros(),
            median(|| drop(black_box(diff(black_box(&document), &changed)))).as_micros(),
            median(|| drop(black_box(render(black_box(&document))))).as_micros(),
        );
    }
}

/// The Bogotá example with its classes repeated under new names, up to `count` classes.
fn document(count: usize) -> ConfigDocument {
    let example = include_str!("../../../examples/classes-bogota.jsonc");
    let example = parse_config(example).unwrap_or_else(|faults| panic!("{faults}"));
    let renamed = |(i, class): (usize, &ClassSpec)| ClassSpec {
        name: format!("{}-{i}", class.name).parse().unwrap_or_else(|e| panic!("{e}")),
        ..class.clone()
    };
    let classes = example.classes.iter().cycle().take(count).enumerate().map(renamed).collect();
    ConfigDocument { teams: example.teams, classes }
}

/// The document without every hundredth class.
fn changed(document: &ConfigDocument) -> ConfigDocument {
    let mut changed = document.clone();
    let mut i = 0;
    changed.classes.retain(|_| {
        i += 1;
        i % 100 != 0
    });
    changed
}

fn median(run: impl Fn()) -> Duration {
    let mut times: Vec<Duration> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed()
        })
        .collect();
    times.sort();
    times[RUNS / 2]
}

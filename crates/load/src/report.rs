//! Formats the results as a table or JSON.

use {crate::callers::LoadResult, hdrhistogram::Histogram, serde::Serialize, std::fmt::Write};

#[derive(Debug, Serialize)]
struct LatencySummary {
    p50_micros: u64,
    p99_micros: u64,
    p999_micros: u64,
    max_micros: u64,
}

impl LatencySummary {
    fn new(histogram: &Histogram<u64>) -> Self {
        LatencySummary {
            p50_micros: histogram.value_at_quantile(0.5),
            p99_micros: histogram.value_at_quantile(0.99),
            p999_micros: histogram.value_at_quantile(0.999),
            max_micros: histogram.max(),
        }
    }
}

#[derive(Debug, Serialize)]
struct Report {
    answered: u64,
    refused: u64,
    unknown: u64,
    broken: u64,
    answered_per_second: f64,
    cpu_micros_per_request: f64,
    latency: LatencySummary,
    refusal: LatencySummary,
}

impl Report {
    fn new(result: &LoadResult) -> Self {
        let all = result.answered + result.refused + result.unknown + result.broken;
        Report {
            answered: result.answered,
            refused: result.refused,
            unknown: result.unknown,
            broken: result.broken,
            answered_per_second: result.answered as f64 / result.elapsed_time.as_secs_f64(),
            cpu_micros_per_request: result.cpu.as_secs_f64() * 1e6 / all.max(1) as f64,
            latency: LatencySummary::new(&result.latency),
            refusal: LatencySummary::new(&result.refusal),
        }
    }
}

/// Formats the results as a table, or as JSON.
pub fn report(result: &LoadResult, json: bool) -> String {
    let report = Report::new(result);
    if json {
        let text = serde_json::to_string(&report).expect("numbers can be written");
        return format!("{text}\n");
    }
    let mut text = String::new();
    let rows = [("answered", &report.latency), ("refused", &report.refusal)];
    let line = format!(
        "answered {}  refused {}  unknown {}  broken {}\n{:.0} answered a second, {:.1} µs of \
         processor time a request in the measured processes\n",
        report.answered,
        report.refused,
        report.unknown,
        report.broken,
        report.answered_per_second,
        report.cpu_micros_per_request,
    );
    text.push_str(&line);
    for (name, times) in rows {
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{name:9} p50 {:>8} µs  p99 {:>8} µs  p99.9 {:>8} µs  max {:>8} µs",
            times.p50_micros, times.p99_micros, times.p999_micros, times.max_micros
        );
    }
    text
}

//! The report as text.

use {crate::report::Report, std::fmt};

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} (seed {})", self.experiment, self.seed)?;
        for series in &self.series {
            writeln!(f, "  {} [{}]", series.name, series.unit)?;
            for point in &series.points {
                writeln!(f, "    {:>12} {}: {:>14.3}", point.size, series.size, point.value)?;
            }
            if let Some(line) = series.line() {
                let (start, slope, r2) = (line.start, line.slope, line.r2);
                writeln!(f, "    line: {start:.4} + {slope:.6} x {} (r2 {r2:.3})", series.size)?;
            }
        }
        for s in &self.spreads {
            writeln!(
                f,
                "  {} at {} [{}]: n={} p50={:.3} p99={:.3} p99.9={:.3} max={:.3}",
                s.name, s.size, s.unit, s.count, s.p50, s.p99, s.p999, s.max
            )?;
        }
        for fact in &self.facts {
            writeln!(f, "  {}: {:.4} {}", fact.name, fact.value, fact.unit)?;
        }
        Ok(())
    }
}

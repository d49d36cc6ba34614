//! Measured points and their least-squares line.

use serde::Serialize;

/// One measured value at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// The size, in the series' unit of size.
    pub size: f64,
    /// The measured value.
    pub value: f64,
}

/// The line `value = start + slope * size`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The value at size 0.
    pub start: f64,
    /// The growth of the value per unit of size.
    pub slope: f64,
    /// Coefficient of determination, from 0 to 1.
    pub r2: f64,
}

/// Values measured over growing sizes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Series {
    /// What is measured.
    pub name: &'static str,
    /// The unit of the sizes.
    pub size: &'static str,
    /// The unit of the values.
    pub unit: &'static str,
    /// The points, ordered by size.
    pub points: Vec<Point>,
}

impl Series {
    /// Creates a series without points.
    pub fn new(name: &'static str, size: &'static str, unit: &'static str) -> Self {
        Series { name, size, unit, points: Vec::new() }
    }

    /// Adds a point.
    pub fn push(&mut self, size: f64, value: f64) {
        self.points.push(Point { size, value });
    }

    /// Returns the least-squares line; `None` with fewer than two sizes.
    pub fn line(&self) -> Option<Line> {
        let n = self.points.len() as f64;
        let mean_size = self.points.iter().map(|p| p.size).sum::<f64>() / n;
        let mean_value = self.points.iter().map(|p| p.value).sum::<f64>() / n;
        let sum = |f: &dyn Fn(&Point) -> f64| self.points.iter().map(f).sum::<f64>();
        let size_size = sum(&|p| (p.size - mean_size).powi(2));
        let size_value = sum(&|p| (p.size - mean_size) * (p.value - mean_value));
        let value_value = sum(&|p| (p.value - mean_value).powi(2));
        if self.points.len() < 2 || size_size == 0.0 {
            return None;
        }
        let slope = size_value / size_size;
        let r2 = if value_value == 0.0 { 1.0 } else { slope * size_value / value_value };
        Some(Line { start: mean_value - slope * mean_size, slope, r2 })
    }
}

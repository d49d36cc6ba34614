//! Draws curves as SVG.

use {
    crate::{measure::Series, report::Report},
    plotters::{
        backend::SVGBackend,
        chart::ChartBuilder,
        drawing::IntoDrawingArea,
        element::Circle,
        series::LineSeries,
        style::{BLUE, RED, WHITE},
    },
    std::{
        fmt, io,
        path::{Path, PathBuf},
    },
};

/// Width and height of a picture in pixels.
const PICTURE_PIXELS: (u32, u32) = (640, 400);

/// Ratio of the axis ranges to the largest values.
const AXIS_MARGIN_RATIO: f64 = 1.1;

/// An error in drawing a curve.
#[derive(Debug)]
pub enum DrawError {
    /// The folder can't be created.
    Folder(io::Error),
    /// The picture can't be written.
    Picture {
        /// The file.
        path: PathBuf,
        /// The error of the plotting library.
        cause: String,
    },
}

impl fmt::Display for DrawError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DrawError::Folder(e) => write!(f, "can't make the folder: {e}; name another by --svg"),
            DrawError::Picture { path, cause } => {
                write!(f, "can't write {}: {cause}; name another folder by --svg", path.display())
            }
        }
    }
}

impl std::error::Error for DrawError {}

/// Draws each series of the report into its own file in `dir`; returns the paths.
pub fn draw(report: &Report, dir: &Path) -> Result<Vec<PathBuf>, DrawError> {
    std::fs::create_dir_all(dir).map_err(DrawError::Folder)?;
    let mut paths = Vec::new();
    for series in report.series.iter().filter(|series| series.points.len() > 1) {
        let name = series.name.replace(|c: char| !c.is_ascii_alphanumeric(), "-");
        let path = dir.join(format!("{}-{name}.svg", report.experiment));
        draw_one(series, &path)
            .map_err(|e| DrawError::Picture { path: path.clone(), cause: e.to_string() })?;
        paths.push(path);
    }
    Ok(paths)
}

fn draw_one(series: &Series, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let points: Vec<_> = series.points.iter().map(|p| (p.size, p.value)).collect();
    let max_size = points.iter().map(|p| p.0).fold(0.0, f64::max) * AXIS_MARGIN_RATIO;
    let max_value =
        points.iter().map(|p| p.1).fold(f64::MIN_POSITIVE, f64::max) * AXIS_MARGIN_RATIO;
    let root = SVGBackend::new(path, PICTURE_PIXELS).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(72)
        .build_cartesian_2d(0.0..max_size, 0.0..max_value)?;
    let y_name = format!("{} [{}]", series.name, series.unit);
    chart.configure_mesh().x_desc(series.size).y_desc(y_name).draw()?;
    if let Some(line) = series.line() {
        let at = |size: f64| (size, (line.start + line.slope * size).max(0.0));
        chart.draw_series(LineSeries::new([at(0.0), at(max_size)], &RED))?;
    }
    chart.draw_series(points.iter().map(|p| Circle::new(*p, 4, BLUE)))?;
    root.present()?;
    Ok(())
}

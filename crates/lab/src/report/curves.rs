//! Curves as SVG.

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

/// The size of a picture in pixels.
const PICTURE: (u32, u32) = (640, 400);

/// How much room is left above the highest point.
const HEADROOM: f64 = 1.1;

/// Why a curve couldn't be drawn.
#[derive(Debug)]
pub enum DrawError {
    /// The folder can't be made.
    Folder(io::Error),
    /// The picture can't be written; the text tells why.
    Picture {
        /// The file.
        path: PathBuf,
        /// What the plotting library said.
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

/// Draws each series of the report into a file of its own in `dir`; returns the files.
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
    let widest = points.iter().map(|p| p.0).fold(0.0, f64::max) * HEADROOM;
    let highest = points.iter().map(|p| p.1).fold(f64::MIN_POSITIVE, f64::max) * HEADROOM;
    let root = SVGBackend::new(path, PICTURE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(72)
        .build_cartesian_2d(0.0..widest, 0.0..highest)?;
    let y_name = format!("{} [{}]", series.name, series.unit);
    chart.configure_mesh().x_desc(series.size).y_desc(y_name).draw()?;
    if let Some(line) = series.line() {
        let at = |size: f64| (size, (line.start + line.slope * size).max(0.0));
        chart.draw_series(LineSeries::new([at(0.0), at(widest)], &RED))?;
    }
    chart.draw_series(points.iter().map(|p| Circle::new(*p, 4, BLUE)))?;
    root.present()?;
    Ok(())
}

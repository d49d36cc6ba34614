//! The fitted line and the curve drawn from it.

use egretlb_lab::{
    measure::Series,
    report::{Report, draw},
};

fn series() -> Series {
    let mut series = Series::new("cost of a thing", "things", "us");
    for size in [1.0, 2.0, 4.0] {
        series.push(size, 3.0 + 2.0 * size);
    }
    series
}

#[test]
fn straight_line() {
    let line = series().line().expect("a line");
    assert!((line.start - 3.0).abs() < 1e-9 && (line.slope - 2.0).abs() < 1e-9);
    assert!((line.r2 - 1.0).abs() < 1e-9);
    assert_eq!(Series::new("nothing", "things", "us").line(), None);
}

#[test]
fn report_shown() {
    let mut report = Report::new("trial", 7);
    report.series.push(series());
    report.fact("answer", 42.0, "things");
    assert!(report.to_string().contains("line: 3.0000 + 2.000000 x things"));
    assert_eq!(report.to_json()["series"][0]["line"]["slope"], 2.0);
    let dir = std::env::temp_dir().join(format!("egretlb-lab-{}", std::process::id()));
    let paths = draw(&report, &dir).expect("drawn");
    let picture = std::fs::read_to_string(&paths[0]).expect("a picture");
    std::fs::remove_dir_all(&dir).expect("removed");
    assert!(picture.starts_with("<svg") && picture.contains("things"));
}

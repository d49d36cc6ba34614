//! Diffs of configurations, as the command prints them.

use egretlb_config::{diff, parse_config};

const BOGOTA: &str = include_str!("../../../examples/classes-bogota.jsonc");

#[test]
fn lines_by_name() {
    let old = parse_config(BOGOTA).unwrap();
    let text = BOGOTA
        .replace("\"within\": \"400ms\"", "\"within\": \"350ms\"")
        .replace("\"amount\": 4800", "\"amount\": 5200")
        .replace("\"name\": \"gazette-watch\"", "\"name\": \"gazette\"")
        .replace("\"cpu\": \"150000m\"", "\"cpu\": \"90000m\"");
    let new = parse_config(&text).unwrap();
    assert_eq!(
        diff(&old, &new),
        [
            "~ team gazette: quota cpu=150000m memory=600000MB accelerators=0 -> cpu=90000m \
             memory=600000MB accelerators=0",
            "~ class boundary-check: within 400ms -> 350ms",
            "+ class gazette: member mineria-andina, team gazette, kind batch, amount 240, within \
             1h, task cpu=1000m memory=2000MB accelerators=0, run_time 40s, urgent true",
            "- class gazette-watch",
            "~ class title-reconciliation: amount 4800 -> 5200",
        ]
    );
}

#[test]
fn order_means_nothing() {
    let old = parse_config(BOGOTA).unwrap();
    let mut new = old.clone();
    new.classes.reverse();
    new.teams.reverse();
    assert_eq!(diff(&old, &new), Vec::<String>::new());
}

#[test]
fn kind_changes() {
    let old = parse_config(BOGOTA).unwrap();
    let mut new = old.clone();
    new.classes[0].kind = old.classes[3].kind.clone();
    let lines = diff(&old, &new);
    assert!(lines.contains(&"~ class boundary-check: kind latency -> batch".to_owned()));
    assert!(lines.contains(&"~ class boundary-check: percentile p99 -> (none)".to_owned()));
    assert!(lines.contains(&"~ class boundary-check: amount (none) -> 240".to_owned()));
}

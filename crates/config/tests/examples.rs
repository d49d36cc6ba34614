//! The committed examples parse without faults and match their comments.

use {
    egretlb_config::{
        ByteSize, Period, diff, parse_config, parse_settings, render, render_compact,
    },
    egretlb_types::{ClassKind, ConfigDocument},
    std::{fs, path::Path},
};

fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    fs::read_to_string(path).expect("the example is committed")
}

fn document(name: &str) -> ConfigDocument {
    parse_config(&example(name)).unwrap_or_else(|faults| panic!("{name}:\n{faults}"))
}

#[test]
fn class_examples() {
    let bogota = document("classes-bogota.jsonc");
    assert_eq!((bogota.teams.len(), bogota.classes.len()), (3, 4));
    let filing = bogota.class(&"claim-filing".parse().unwrap()).unwrap();
    assert!(matches!(filing.kind, ClassKind::Latency { idempotent: false, permille: 990, .. }));

    let lanka = document("classes-sri-lanka.jsonc");
    let urgent = lanka.class(&"urgent-recall".parse().unwrap()).unwrap();
    assert!(matches!(urgent.kind, ClassKind::Batch { urgent: true, amount: 600, .. }));
}

#[test]
fn rendered_reads_the_same() {
    for name in ["classes-bogota.jsonc", "classes-sri-lanka.jsonc"] {
        let document = document(name);
        let again = parse_config(&render(&document)).unwrap_or_else(|faults| panic!("{faults}"));
        assert_eq!(diff(&document, &again), Vec::<String>::new());
        assert_eq!(document, again);
        assert_eq!(parse_config(&render_compact(&document)), Ok(document));
    }
}

#[test]
fn settings_examples() {
    let entry = parse_settings(&example("settings-entry.jsonc")).unwrap();
    assert_eq!(entry.listen.callers, Some("127.0.0.1:8080".parse().unwrap()));
    assert_eq!(entry.limits.max_body, ByteSize(1_000_000));
    assert_eq!(entry.limits.drain, Period::from_millis(30_000));

    // The entry's example states the defaults, which the scheduler's omits.
    let scheduler = parse_settings(&example("settings-scheduler.jsonc")).unwrap();
    assert_eq!(scheduler.listen.callers, None);
    assert_eq!(scheduler.limits, entry.limits);
    assert_eq!((scheduler.known_peers.len(), entry.known_peers.len()), (1, 0));
}

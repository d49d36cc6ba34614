//! A state dump is bounded and readable.

use {
    egretlb_telemetry::{Dump, MAX_DUMP_ITEMS, MAX_DUMP_TEXT, render_dump},
    serde_json::json,
    std::collections::HashMap,
};

#[test]
fn outline() {
    let dump = Dump::new()
        .section("node", &json!({"name": "entry-1", "uptime_s": 12}))
        .section("queues", &json!([{"class": "check", "waiting": 3}, {"class": "file"}]))
        .section("owner", &json!({"shards": [1, 2], "journal": {"lag_ms": 4}}))
        .section("peers", &json!([]))
        .into_json();
    assert_eq!(
        render_dump(&dump),
        "node: name=entry-1 uptime_s=12\nowner:\n  journal: lag_ms=4\n  shards: 1 2\npeers: none\n\
         queues:\n  - class=check waiting=3\n  - class=file\n"
    );
}

#[test]
fn bounded() {
    // Large state must be truncated, and a caller's text must not inject terminal sequences.
    let many = vec!["x"; MAX_DUMP_ITEMS + 7];
    let body = "b".repeat(10_000);
    let map: HashMap<String, u32> = (0..2_000).map(|i| (format!("k{i}"), i)).collect();
    let dump = Dump::new()
        .section("many", &many)
        .section("body", &body)
        .section("map", &map)
        .section("key", &"\x1b[2J\nforged: line")
        .into_json();
    assert_eq!(dump["many"].as_array().unwrap().len(), MAX_DUMP_ITEMS + 1);
    assert_eq!(dump["many"][MAX_DUMP_ITEMS], "7 more are left out");
    assert!(dump["body"].as_str().unwrap().len() < MAX_DUMP_TEXT + 30);
    assert_eq!(dump["map"].as_object().unwrap().len(), MAX_DUMP_ITEMS + 1);
    let text = render_dump(&dump);
    assert!(!text.contains('\x1b') && !text.contains("\nforged"), "{text}");
}

#[test]
fn unshowable_section() {
    let keyed: HashMap<(u8, u8), u8> = [((1, 2), 3)].into();
    let dump = Dump::new().section("odd", &keyed).section("good", &1).into_json();
    assert!(dump["odd"].as_str().unwrap().starts_with("can't be shown"));
    assert_eq!(dump["good"], 1);
}

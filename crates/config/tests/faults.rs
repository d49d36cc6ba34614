//! All faults of a file are reported in one run, with position and remedy.

use {
    egretlb_config::{
        FaultKind, MAX_CLASSES, MAX_FAULTS, MAX_FAULTS_SHOWN, MAX_TEXT_BYTES, Place, SettingsError,
        check_document, parse_config, parse_settings, read_settings,
    },
    egretlb_types::{ClassKind, ConfigDocument},
    std::time::Duration,
};

/// The faults of a class configuration, as the command prints them.
fn faults(text: &str) -> Vec<String> {
    match parse_config(text) {
        Ok(_) => vec![],
        Err(faults) => faults.as_slice().iter().map(ToString::to_string).collect(),
    }
}

fn settings_faults(text: &str) -> Vec<String> {
    match parse_settings(text) {
        Ok(_) => vec![],
        Err(faults) => faults.as_slice().iter().map(ToString::to_string).collect(),
    }
}

const TEAM: &str =
    r#"{"name": "claims", "member": "andina", "quota": {"cpu": "8000m", "memory": "9000MB"}}"#;

/// A document of one class with this target.
fn with_target(target: &str) -> String {
    format!(
        "{{\"teams\": [{TEAM}], \"classes\": [\n{{\"name\": \"check\", \"member\": \"andina\", \
         \"team\": \"claims\", {target}}}\n]}}"
    )
}

const LATENCY: &str = r#""latency": {"percentile": "p99", "within": "400ms", "idempotent": true,
 "spread": false, "replica": {"cpu": "100m", "memory": "10MB"}}"#;

#[test]
fn many_in_one_run() {
    // Guards against reporting only the first of several faults.
    let text = r#"{
  "teams": [
    { "name": "claims", "member": "andina", "quota": { "cpu": 8, "memory": "9000MB" } },
    { "name": "claims", "member": "andina", "quota": { "cpu": "8000m", "memory": "9000" } },
  ],
  "classes": [
    {
      "name": "check", "member": "andina", "team": "clains", "weight": 3,
      "latency": { "percentile": 99, "wihtin": "400ms", "idempotent": "yes", "spread": true,
                   "replica": { "cpu": "100m", "memory": "10MB" } },
    },
    { "name": "night run", "member": "andina", "team": "claims" },
  ]
}"#;
    assert_eq!(
        faults(text),
        [
            r#"3:63: found a number, expected thousandths of a core, like "1500m""#,
            r#"4:15: a second team named "claims", first at 3:15; rename or remove one of them"#,
            r#"4:82: found "9000": write it with its unit, as megabytes, like "2000MB""#,
            r#"8:52: no team is named clains; did you mean claims?"#,
            r#"8:62: unknown field "weight"; remove it; the fields here are name, member, team, latency, batch"#,
            r#"9:18: "within" is missing; add it: a duration in quotes, like "400ms" or "8h""#,
            r#"9:34: found a number, expected a percentile in quotes, like "p99""#,
            r#"9:38: unknown field "wihtin"; did you mean "within"?"#,
            r#"9:71: found a text, expected true if a request may run twice without harm, else false"#,
            r#"12:5: the class has no target; add "latency": {...} for requests or "batch": {...} for tasks"#,
            r#"12:15: found "night run": the character ' ' isn't allowed; use letters, digits, '-', '_' and '.'"#,
        ]
    );
}

#[test]
fn ranges() {
    let latency = |percentile: &str, within: &str, cpu: &str| {
        with_target(&format!(
            r#""latency": {{"percentile": "{percentile}", "within": "{within}", "spread": true,
                "idempotent": true, "replica": {{"cpu": "{cpu}", "memory": "10MB"}}}}"#
        ))
    };
    assert_eq!(faults(&latency("p50", "1ms", "1m")), [""; 0]);
    assert_eq!(faults(&latency("p99.9", "60s", "1m")), [""; 0]);
    for (percentile, within, cpu, expected) in [
        ("p49.9", "1ms", "1m", "p49.9 is out of range; use p50 to p99.9"),
        ("p100", "1ms", "1m", "p100 is out of range; use p50 to p99.9"),
        ("p99.99", "1ms", "1m", "found \"p99.99\": write it as p and a number"),
        ("p99", "0ms", "1m", "0ms is out of range; use 1ms to 1min"),
        ("p99", "61s", "1m", "61s is out of range; use 1ms to 1min"),
        ("p99", "1.5s", "1m", "found \"1.5s\": write it as a whole number and its unit"),
        ("p99", "99999999999999999999d", "1m", "write it as a whole number and its unit"),
        ("p99", "18446744073709551615d", "1m", "write it as a whole number and its unit"),
        ("p99", "1s", "0m", "what takes nothing would fit a full VM any number of times"),
    ] {
        let found = faults(&latency(percentile, within, cpu));
        assert_eq!(found.len(), 1, "{found:?}");
        assert!(found[0].contains(expected), "{found:?} should say {expected}");
    }
}

#[test]
fn batch_never_in_time() {
    let batch = |amount: &str, run_time: &str| {
        with_target(&format!(
            r#""batch": {{"amount": {amount}, "within": "8h", "run_time": "{run_time}",
                "urgent": false, "task": {{"cpu": "1m", "memory": "1MB", "accelerators": 2}}}}"#
        ))
    };
    assert_eq!(faults(&batch("1", "8h")), [""; 0]);
    let found = faults(&batch("0", "9h"));
    assert!(found[0].contains("0 is out of range; use 1 to 10000000"), "{found:?}");
    assert!(found[1].contains("one task runs 9h, longer than the 8h"), "{found:?}");
    assert!(faults(&batch("-1", "1h"))[0].contains("-1 is out of range"));
    assert!(faults(&batch("1.5", "1h"))[0].contains("1.5 is out of range"));
}

#[test]
fn other_members_team() {
    let text = with_target(LATENCY).replace(
        r#""name": "check", "member": "andina""#,
        r#""name": "check", "member": "kelani""#,
    );
    let expected = "class check is owned by kelani, but team claims belongs to andina; name a team of \
                kelani";
    assert!(faults(&text)[0].ends_with(expected), "{:?}", faults(&text));
}

#[test]
fn two_targets() {
    let text = with_target(&format!("{LATENCY}, \"batch\": {{}}"));
    assert!(faults(&text)[0].contains("has both \"latency\" and \"batch\""));
}

#[test]
fn syntax() {
    for (text, expected) in [
        ("", "1:1: not JSON with comments: the text is empty"),
        ("// nothing\n", "1:1: not JSON with comments: the text is empty"),
        ("[]", "1:1: found a list, expected an object in braces"),
        ("{\n  \"teams\": [}\n", "2:13: not JSON with comments: Unexpected"),
        ("{\"teams\": [] \"classes\": []}", "1:13: not JSON with comments: Expected comma"),
        ("{teams: []}", "1:2: not JSON with comments:"),
        ("{'teams': []}", "1:2: not JSON with comments: Single-quoted"),
        ("{\"teams\": [], \"classes\": [], \"teams\": []}", "1:30: \"teams\" stands twice, first"),
    ] {
        let found = faults(text);
        assert!(found[0].starts_with(expected), "{text:?}: {found:?} should start with {expected}");
    }
}

#[test]
fn wrong_kind_of_file() {
    // Passing settings as class configuration, or the reverse, must be refused with a listing of
    // bounded length.
    let settings = include_str!("../../../examples/settings-entry.jsonc");
    assert!(faults(settings).iter().any(|fault| fault.contains("unknown field \"log_service\"")));
    let classes = include_str!("../../../examples/classes-bogota.jsonc");
    assert!(settings_faults(classes).iter().any(|fault| fault.contains("\"name\" is missing")));

    let many = format!("{{\"teams\": [{}], \"classes\": []}}", "1,".repeat(MAX_FAULTS_SHOWN + 5));
    let shown = parse_config(&many).unwrap_err().to_string();
    assert_eq!(shown.lines().count(), MAX_FAULTS_SHOWN + 1);
    assert!(shown.ends_with("and 5 more; mend these first"));
}

#[test]
fn too_long() {
    let text = " ".repeat(MAX_TEXT_BYTES + 1);
    assert!(faults(&text)[0].contains("at most 4000000 are read"));
    let deep = "[".repeat(100_000);
    assert!(faults(&deep)[0].contains("nesting depth"), "{:?}", faults(&deep));
}

#[test]
fn faults_are_bounded() {
    // Guards against quadratic time in locating the faults of one long line.
    let text = format!("{{{}}}", "\"x\": 1, ".repeat(400_000));
    let found = parse_config(&text).unwrap_err();
    assert_eq!(found.as_slice().len(), MAX_FAULTS);
    assert!(found.to_string().ends_with("and at least 900 more; mend these first"));

    let team = "t".repeat(64);
    let mut document = parse_config(&with_target(LATENCY)).unwrap();
    document.classes[0].team = team.parse().unwrap();
    document.classes = vec![document.classes[0].clone(); MAX_CLASSES + 1];
    let expected = check_document(&document)[0].to_string();
    assert_eq!(expected, "classes: 5001 classes; at most 5000 are allowed: remove unused ones");
}

#[test]
fn settings() {
    let text = r#"{
  "name": "entry 1", "data_centre": "bog-a",
  "listen": { "callers": "localhost:80", "operators": "127.0.0.1:81", "peers": "127.0.0.1:81" },
  "log_service": [], "vm_list": "127.0.0.1:0",
  "limits": { "max_body": "1GB", "max_connections": 0, "drain": "2h", "caller_timeout": 30, "x": 1 }
}"#;
    let found = settings_faults(text);
    for expected in [
        "2:11: found \"entry 1\"",
        "3:26: found \"localhost:80\": invalid socket address syntax",
        "4:18: \"log_service\" is missing",
        "4:33: port 0 is out of range; use port 1 to port 65535",
        "5:27: found \"1GB\": write it as a whole number and its unit (B, KB, MB)",
        "5:53: 0 is out of range; use 1 to 20000",
        "5:65: 2h is out of range; use 0ms to 1h",
        "5:89: found a number, expected a value with its unit",
        "5:93: unknown field \"x\"",
    ] {
        assert!(
            found.iter().any(|fault| fault.starts_with(expected)),
            "{expected} not in {found:#?}"
        );
    }
    let same = text.replace("localhost:80", "127.0.0.1:80");
    let expected = "3:80: 127.0.0.1:81 is listened on twice; give each its own port";
    assert!(settings_faults(&same).iter().any(|fault| fault == expected));
    let any = same.replace("\"127.0.0.1:81\" }", "\"0.0.0.0:82\" }");
    let expected = "3:80: 0.0.0.0:82 stands for any interface";
    assert!(settings_faults(&any).iter().any(|fault| fault.starts_with(expected)));
}

#[test]
fn settings_file_missing() {
    let err = read_settings("no-such-settings.jsonc").unwrap_err();
    assert!(matches!(err, SettingsError::Read { .. }));
    let expected = err.to_string();
    assert!(expected.contains("no-such-settings.jsonc"), "{expected}");
    assert!(expected.contains("give the path of a readable file"), "{expected}");
}

#[test]
fn document_without_file() {
    // A document that bypasses the command's check must get the same faults.
    let mut document: ConfigDocument = parse_config(&with_target(LATENCY)).unwrap();
    assert_eq!(check_document(&document), []);
    let ClassKind::Latency { target, .. } = &mut document.classes[0].kind else { panic!() };
    *target = Duration::ZERO;
    document.classes[0].team = "clams".parse().unwrap();
    let found = check_document(&document);
    assert_eq!(found[0].place, Place::Class { index: 0, field: "team" });
    assert!(matches!(found[0].kind, FaultKind::UnknownTeam { .. }));
    let expected = found[1].to_string();
    assert!(
        expected.starts_with("classes[0].within: 0ms is out of range; use 1ms to 1min"),
        "{expected}"
    );
}

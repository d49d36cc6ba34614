//! The load tool's command line.

use {
    egretlb_load::{Parsed, parse},
    std::ffi::OsString,
};

fn parsed(line: &str) -> Result<Parsed, String> {
    parse(line.split_whitespace().map(OsString::from).collect())
}

#[test]
fn reads_a_load() {
    let line = "--to 127.0.0.1:8080 --class check --requests 50 --callers 2 --rate 10 --pid 7";
    let Ok(Parsed::Run(load)) = parsed(line) else { panic!("a load") };
    assert_eq!((load.requests, load.callers, load.rate), (50, 2, Some(10)));
    assert_eq!(load.pids, [7]);
    assert!(!load.json);
}

// Guards against sending load to other machines.
#[test]
fn refuses_other_machines() {
    let refused = parsed("--to 10.0.0.4:8080 --class check").expect_err("refused");
    assert!(refused.contains("loopback"), "{refused}");
}

#[test]
fn refuses_unbounded_loads() {
    for line in ["--requests 0", "--requests 2000000", "--callers 5000", "--rate 0", "--what 1"] {
        let line = format!("--to 127.0.0.1:8080 --class check {line}");
        assert!(parsed(&line).is_err(), "{line}");
    }
}

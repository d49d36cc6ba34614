//! A panic ends the process.

use {
    egretlb_telemetry::{LogOptions, exit_on_panic, init},
    std::{
        env,
        process::{Command, Output, exit},
        thread,
        time::Duration,
    },
};

/// Set in the process that panics.
const CHILD: &str = "EGRETLB_TEST_PANICS";

/// Runs a test of this file in a process of its own.
fn child(test: &str) -> Output {
    let program = env::current_exe().expect("the test's own program is known");
    let mut command = Command::new(program);
    command.args([test, "--exact", "--nocapture", "--test-threads=1"]).env(CHILD, "1");
    command.output().expect("the test's own program starts")
}

/// A part of the process panics beside the others, say the one that follows the records. The others
/// would go on: clients are still answered, but what they are told no longer changes, and no supervisor
/// sees a reason to start the process anew.
#[test]
fn process_ends() {
    if env::var_os(CHILD).is_some() {
        init(LogOptions::new("entry-1").queued()).expect("no logger is set");
        exit_on_panic();
        let part = thread::spawn(|| panic!("a broken\ninvariant"));
        // The others go on.
        let _ = part.join();
        thread::sleep(Duration::from_secs(1));
        // The test's own report would wait for standard output, which the log holds.
        exit(0);
    }
    let Output { status, stdout, .. } = child("process_ends");
    assert_eq!(status.code(), Some(101));
    let stdout = String::from_utf8_lossy(&stdout);
    let line = stdout.lines().find(|line| line.contains("event=panicked"));
    let line = line.unwrap_or_else(|| panic!("no line tells of it: {stdout}"));
    assert!(line.contains("level=error node=entry-1"), "{line}");
    assert!(line.contains(r#"message="a broken\ninvariant""#), "{line}");
    assert!(line.contains("panics.rs:"), "{line}");
}

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

/// Environment variable set in the child process, which panics.
const CHILD: &str = "EGRETLB_TEST_PANICS";

/// Runs a test of this file in a child process.
fn run_child(test: &str) -> Output {
    let program = env::current_exe().expect("the test's own program is known");
    let mut command = Command::new(program);
    command.args([test, "--exact", "--nocapture", "--test-threads=1"]).env(CHILD, "1");
    command.output().expect("the test's own program starts")
}

/// After a panic on one thread the others must not go on, for example answering from a stale state.
#[test]
fn process_ends() {
    if env::var_os(CHILD).is_some() {
        init(LogOptions::new("entry-1").queued()).expect("no logger is set");
        exit_on_panic();
        let panicking = thread::spawn(|| panic!("a broken\ninvariant"));
        let _ = panicking.join();
        thread::sleep(Duration::from_secs(1));
        // Returning would block: the test report needs standard output, which the log writer locks.
        exit(0);
    }
    let Output { status, stdout, .. } = run_child("process_ends");
    assert_eq!(status.code(), Some(101));
    let stdout = String::from_utf8_lossy(&stdout);
    let line = stdout.lines().find(|line| line.contains("event=panicked"));
    let line = line.unwrap_or_else(|| panic!("no panicked event in: {stdout}"));
    assert!(line.contains("level=error node=entry-1"), "{line}");
    assert!(line.contains(r#"message="a broken\ninvariant""#), "{line}");
    assert!(line.contains("panics.rs:"), "{line}");
}

//! Panics end the process.

use std::{
    panic::{PanicHookInfo, set_hook, take_hook},
    process::exit,
    thread::sleep,
    time::Duration,
};

/// The exit code after a panic, the same as after one of the main thread.
const PANICKED: i32 = 101;

/// How long the log's writer gets for the last lines. It needs some milliseconds; where nobody reads
/// the log, the process ends without them.
const LAST_LINES: Duration = Duration::from_millis(100);

/// Has a panic on any thread or task end the process, with a log line that says where it was.
///
/// The runtime catches a panic of a spawned task and goes on without the task. Were it the one that
/// follows the records or looks at the timers, the process would stay half alive: it answers clients,
/// but from a state that no longer changes, or leads without giving orders. Nothing outside shows that.
/// A process that has ended is started anew at once, and another takes over if it led.
pub fn exit_on_panic() {
    let report = take_hook();
    set_hook(Box::new(move |info| {
        report(info);
        let at = info.location().map(ToString::to_string).unwrap_or_default();
        log::error!(message = message(info), at; "panicked");
        sleep(LAST_LINES);
        exit(PANICKED);
    }));
}

fn message<'a>(info: &'a PanicHookInfo<'_>) -> &'a str {
    let payload = info.payload();
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or_default()
}

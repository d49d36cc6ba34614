//! Ends the process on a panic.

use std::{
    panic::{PanicHookInfo, set_hook, take_hook},
    process::exit,
    thread::sleep,
    time::Duration,
};

/// Exit code after a panic, as of the main thread.
const PANIC_EXIT_CODE: i32 = 101;

/// Time for the log's writer thread to write queued lines before the process exits.
const LOG_FLUSH_WAIT: Duration = Duration::from_millis(100);

/// Installs a panic hook that logs the panic with its location and exits the process.
///
/// The runtime catches panics of spawned tasks. Without the hook the process would go on without the
/// task and, for example, answer clients from a stale state. After an exit the supervisor restarts it.
pub fn exit_on_panic() {
    let default_hook = take_hook();
    set_hook(Box::new(move |info| {
        default_hook(info);
        let at = info.location().map(ToString::to_string).unwrap_or_default();
        log::error!(message = message(info), at; "panicked");
        sleep(LOG_FLUSH_WAIT);
        exit(PANIC_EXIT_CODE);
    }));
}

fn message<'a>(info: &'a PanicHookInfo<'_>) -> &'a str {
    let payload = info.payload();
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or_default()
}

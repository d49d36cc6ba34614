//! Ending by signal.

use {
    egretlb_net::{Running, Stopped},
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::{thread, time::Duration},
};

/// How often is looked for a signal or the daemon's end.
const POLL: Duration = Duration::from_millis(20);

/// Waits for signals and the daemon's end. The first signal asks for a graceful end, the second
/// doesn't wait for it.
pub(crate) fn wait_for_end(running: Running) -> Stopped {
    let mut signals = match Signals::new([SIGTERM, SIGINT]) {
        Ok(signals) => signals,
        Err(error) => {
            log::warn!(error:% = error; "signals_not_handled");
            return running.join();
        }
    };
    let mut asked = false;
    while !running.is_finished() {
        for _ in signals.pending() {
            if asked {
                let cut_off = running.in_progress();
                log::warn!(cut_off; "ended_by_second_signal");
                return Stopped { cut_off, crashed: false };
            }
            asked = true;
            log::info!("shutting_down");
            running.shutdown();
        }
        thread::sleep(POLL);
    }
    running.join()
}

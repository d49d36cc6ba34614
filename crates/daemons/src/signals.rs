//! Shutdown by signal.

use {
    egretlb_net::{Running, Stopped},
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::{thread, time::Duration},
};

/// How often signals and the daemon's state are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the daemon ends. The first signal requests a graceful shutdown; the second returns
/// at once.
pub(crate) fn wait_for_end(running: Running) -> Stopped {
    let mut signals = match Signals::new([SIGTERM, SIGINT]) {
        Ok(signals) => signals,
        Err(error) => {
            log::warn!(error:% = error; "signals_not_handled");
            return running.join();
        }
    };
    let mut shutdown_requested = false;
    while !running.is_finished() {
        for _ in signals.pending() {
            if shutdown_requested {
                let cut_off = running.in_progress();
                log::warn!(cut_off; "ended_by_second_signal");
                return Stopped { cut_off, crashed: false };
            }
            shutdown_requested = true;
            log::info!("shutting_down");
            running.shutdown();
        }
        thread::sleep(POLL_INTERVAL);
    }
    running.join()
}

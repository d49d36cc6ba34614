//! Facade that re-exports the egretlb library crates.
//!
//! To run a daemon in a program's own threads, use [`config`] and [`net`]. For the scheduling logic
//! without I/O, use [`node`] or the reducers below it.
//!
//! ```no_run
//! use egretlb::{config::read_settings, net::start_scheduler};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let settings = read_settings("settings.jsonc")?;
//! let running = start_scheduler(&settings)?;
//! println!("operators' calls are answered at {}", running.operators());
//! running.shutdown();
//! running.join();
//! # Ok(())
//! # }
//! ```

pub use {
    egretlb_api as api, egretlb_config as config, egretlb_control as control, egretlb_log as log,
    egretlb_net as net, egretlb_node as node, egretlb_requests as requests, egretlb_tasks as tasks,
    egretlb_telemetry as telemetry, egretlb_types as types,
};

//! egretlb as one library: everything that its programs are made of.
//!
//! A program that wants a daemon among its own threads needs [`config`] and [`net`]; one that wants
//! the decisions without any input or output, for a test or a measurement, needs [`node`] or one of
//! the reducers below it. Each part is a crate of its own and usable alone; this one only names
//! them together.
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

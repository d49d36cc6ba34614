//! Shows the main path: a configuration, requests and a batch job through two entries and two
//! schedulers, on stand-ins of the platform.
//!
//! All parts run as threads of one program, so that nothing has to be installed or started first.
//! In use each daemon is a process of its own, on VMs of its own.

mod client;
mod error;
mod story;
mod system;

pub use crate::{error::QuickstartError, story::run};

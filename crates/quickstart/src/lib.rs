//! Demonstrates a configuration, requests and a batch job with two entries, two schedulers and
//! stand-ins of the platform.
//!
//! All parts run as threads of one program, without any installation. In production each daemon is
//! a separate process on its own VM.

mod client;
mod error;
mod story;
mod system;

pub use crate::{error::QuickstartError, story::run};

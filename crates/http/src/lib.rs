//! HTTP/1.1 over persistent connections, on one thread.
//!
//! `oxhttp`, which the operators' interface uses, opens a connection for each call and blocks a
//! thread for it. The leader makes several hundred calls a second to the same workers, and a poll
//! occupies its connection for seconds. So this crate uses `hyper`, which reuses connections and
//! is asynchronous.

mod client;
mod server;
mod upgrade;

pub use crate::{
    client::{Answer, CallError, Client},
    server::{Request, Response, ServerLimits, serve},
    upgrade::{Duplex, Upgrade, Upgrading, upgrade},
};

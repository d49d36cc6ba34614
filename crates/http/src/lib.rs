//! HTTP/1.1 over kept connections, on one thread.
//!
//! `oxhttp`, which the operators' interface uses, opens a connection for each call and blocks a
//! thread for it. The leader makes several hundred calls a second to the same workers, each new
//! connection costs a round trip, and a poll occupies its connection for seconds. So this is built on
//! `hyper`, the nearest kin that keeps connections and needs no thread for each.

mod client;
mod server;
mod upgrade;

pub use crate::{
    client::{Answer, CallError, Client},
    server::{Request, Response, ServerLimits, serve},
    upgrade::{Duplex, Upgrade, Upgrading, upgrade},
};

//! Messages between egretlb's processes, over `tarpc`.
//!
//! Messages may be lost, duplicated or late; the reducers retry. A full queue drops messages, and
//! none are retained for an unreachable peer. Bodies are encoded by `postcard`, which is more
//! compact than `tarpc`'s bincode for small integers.

mod client;
mod server;
mod service;

pub use self::{
    client::{DeliveryFailure, OnUndelivered, PeerSender},
    server::listen,
    service::Received,
};

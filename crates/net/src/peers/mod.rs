//! Messages between egretlb's own processes, by `tarpc`.
//!
//! Every message may be lost, doubled or late; the reducers repeat what matters. So a queue that is
//! full drops, and no message is kept for a peer that can't be reached. Bodies are `postcard`
//! inside one `tarpc` call, since bincode's fixed-size integers would double the small ones.

mod client;
mod server;
mod service;

pub use self::{
    client::{Fate, PeerSender, Undelivered},
    server::listen,
    service::Received,
};

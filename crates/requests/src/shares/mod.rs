//! Shares of backend servers: how many requests each entry may have open at each.
//!
//! The owner of a rack's shard is the grantor for the rack's servers. The sum of what all entries
//! may have open at a server never exceeds its slots and connections, also while membership
//! changes, entries die or the grantor is replaced. There is no journal: a new grantor learns from
//! the entries' requests what they hold, and grants nothing more until all that its predecessor
//! granted must have expired.

mod message;
mod pool;
mod table;

pub use self::{
    message::{ServerDemand, ServerGrant, ServerInfo, ShareGrant, ShareRequest},
    table::{ServerSpec, ShareTable, ShareTableEffect, ShareTableEvent},
};

//! Measures what egretlb's reducers cost as what they serve grows: processor time, memory, messages.
//!
//! The slopes that it finds are what the capacity page is worked out from. It drives the real
//! reducers with fixed seeds in virtual time, without sockets: what the network and the kernel add
//! isn't in its figures.

pub mod experiments;
pub mod measure;
pub mod models;
pub mod report;

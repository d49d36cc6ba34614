//! Standbys: the VMs of a large fleet that follow the records, besides the leader.
//!
//! The leader names them in the topic of terms ([`announce()`]). Any other VM forwards clients' records to a standby and
//! asks it about workflows ([`forward`]). If none of them answers for a while, the VM follows the records itself, and may
//! take over.

mod announce;
mod forward;

use {
    egretlb_types::Epoch,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

pub(crate) use self::{
    announce::announce,
    forward::{Forwarding, answer, check_standbys},
};

/// Key of the newest announcement.
const KEY: &[u8] = b"term";

/// Version of the announcement's encoding.
const FORMAT_VERSION: u8 = 1;

/// A leader's announcement of its term.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct Announcement {
    pub(crate) epoch: Epoch,
    /// The leader's address for other VMs.
    pub(crate) leader: SocketAddr,
    /// Addresses of the standbys; empty if all VMs follow the records.
    pub(crate) standbys: Vec<SocketAddr>,
}

impl Announcement {
    fn to_value(&self) -> Vec<u8> {
        // Serializing this type can't fail.
        let body = postcard::to_stdvec(self).unwrap_or_default();
        [&[FORMAT_VERSION], &body[..]].concat()
    }

    /// Decodes a record of the topic; `None` if it has another key or can't be read.
    pub(crate) fn from_record(key: &[u8], value: &[u8]) -> Option<Announcement> {
        match value.split_first() {
            Some((&FORMAT_VERSION, body)) if key == KEY => postcard::from_bytes(body).ok(),
            _ => None,
        }
    }
}

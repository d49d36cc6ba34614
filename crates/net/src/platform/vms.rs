//! The platform's VM list over HTTP: `GET /vms` answers a JSON list of VM records.
//!
//! The list of 1,300 VMs is some 240 KB, and it is asked for once a second, so that a leaving VM gets
//! nothing new within a few seconds. Read whole each time it would be a hundred times a node's
//! budget for control. So the question carries the `ETag` of the last answer, and a list that
//! hasn't changed comes back as a 304 without a body. A platform without `ETag` sends it whole.

use {
    crate::http::{CallFailure, HttpAnswer, call},
    egretlb_types::VmRecord,
    oxhttp::model::{
        HeaderValue, Method, StatusCode,
        header::{ETAG, IF_NONE_MATCH},
    },
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// A second is ample for the whole list, and short beside the list's own lag.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// A list and the tag that the platform gave it.
#[derive(Clone, Debug)]
struct Known {
    tag: HeaderValue,
    vms: Vec<VmRecord>,
}

/// Reads the platform's VM list. Clones share what was read last.
#[derive(Clone, Debug)]
pub struct VmListClient {
    addr: SocketAddr,
    known: Arc<Mutex<Option<Known>>>,
}

impl VmListClient {
    /// A client of the list at `addr` that knows no list yet.
    pub fn new(addr: SocketAddr) -> Self {
        VmListClient { addr, known: Arc::default() }
    }

    /// The whole list as the platform has it now.
    pub fn read(&self) -> Result<Vec<VmRecord>, CallFailure> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let headers = known.iter().map(|known| (IF_NONE_MATCH, known.tag.clone()));
        let url = format!("http://{}/vms", self.addr);
        let answer = call(Method::GET, url, headers, Vec::new(), CALL_LIMIT)?;
        match (answer.status, known) {
            (StatusCode::NOT_MODIFIED, Some(known)) => Ok(known.vms),
            (StatusCode::OK, _) => self.take(&answer),
            (status, _) => {
                let text = format!("the VM list answered with status {status}");
                Err(CallFailure::NoAnswer(io::Error::other(text)))
            }
        }
    }

    fn take(&self, answer: &HttpAnswer) -> Result<Vec<VmRecord>, CallFailure> {
        let vms: Vec<VmRecord> = serde_json::from_slice(&answer.body)
            .map_err(|e| CallFailure::NoAnswer(io::Error::new(io::ErrorKind::InvalidData, e)))?;
        let tag = answer.headers.get(ETAG).cloned();
        let known = tag.map(|tag| Known { tag, vms: vms.clone() });
        *self.known.lock().unwrap_or_else(PoisonError::into_inner) = known;
        Ok(vms)
    }
}

//! The platform's VM list over HTTP: `GET /vms` returns a JSON list of VM records.
//!
//! The list is large and polled once a second, so requests carry the `ETag` of the last response:
//! an unchanged list is a 304 without a body. A platform without `ETag` sends the full list.

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

/// Short compared with the lag of the list itself.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The last list and its `ETag`.
#[derive(Clone, Debug)]
struct CachedList {
    etag: HeaderValue,
    vms: Vec<VmRecord>,
}

/// Client of the platform's VM list. Clones share the cached list.
#[derive(Clone, Debug)]
pub struct VmListClient {
    addr: SocketAddr,
    cached: Arc<Mutex<Option<CachedList>>>,
}

impl VmListClient {
    /// Creates a client of the list at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        VmListClient { addr, cached: Arc::default() }
    }

    /// Returns the platform's current list.
    pub fn read(&self) -> Result<Vec<VmRecord>, CallFailure> {
        let cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let headers = cached.iter().map(|cached| (IF_NONE_MATCH, cached.etag.clone()));
        let url = format!("http://{}/vms", self.addr);
        let response = call(Method::GET, url, headers, Vec::new(), CALL_TIMEOUT)?;
        match (response.status, cached) {
            (StatusCode::NOT_MODIFIED, Some(cached)) => Ok(cached.vms),
            (StatusCode::OK, _) => self.store(&response),
            (status, _) => {
                let text = format!("the VM list answered with status {status}");
                Err(CallFailure::NoAnswer(io::Error::other(text)))
            }
        }
    }

    fn store(&self, response: &HttpAnswer) -> Result<Vec<VmRecord>, CallFailure> {
        let vms: Vec<VmRecord> = serde_json::from_slice(&response.body)
            .map_err(|e| CallFailure::NoAnswer(io::Error::new(io::ErrorKind::InvalidData, e)))?;
        let etag = response.headers.get(ETAG).cloned();
        let cached = etag.map(|etag| CachedList { etag, vms: vms.clone() });
        *self.cached.lock().unwrap_or_else(PoisonError::into_inner) = cached;
        Ok(vms)
    }
}

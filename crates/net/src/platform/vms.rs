//! The platform's VM list over HTTP: `GET /vms` answers a JSON list of VM records.

use {
    crate::http::{CallFailure, call},
    egretlb_types::VmRecord,
    oxhttp::model::Method,
    std::{io, net::SocketAddr, time::Duration},
};

/// The list of 1,300 VMs is some 300 KB; a second is ample and short beside the list's own lag.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// Reads the whole list.
pub fn read_vms(addr: SocketAddr) -> Result<Vec<VmRecord>, CallFailure> {
    let url = format!("http://{addr}/vms");
    let answer = call(Method::GET, url, [], Vec::new(), CALL_LIMIT)?;
    if answer.status.as_u16() != 200 {
        let text = format!("the VM list answered with status {}", answer.status);
        return Err(CallFailure::NoAnswer(io::Error::other(text)));
    }
    serde_json::from_slice(&answer.body)
        .map_err(|e| CallFailure::NoAnswer(io::Error::new(io::ErrorKind::InvalidData, e)))
}

//! HTTP connections that are upgraded to another protocol.

use {
    crate::client::{CallError, open_stream},
    bytes::Bytes,
    http::{Method, Request, StatusCode},
    http_body_util::Empty,
    hyper::{
        body::Incoming,
        client::conn::http1::handshake,
        upgrade::{OnUpgrade, Upgraded, on},
    },
    hyper_util::rt::TokioIo,
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// A connection after an upgrade.
pub type Duplex = TokioIo<Upgraded>;

/// A connection whose client requested an upgrade.
#[derive(Clone, Debug)]
pub struct Upgrading(OnUpgrade);

impl Upgrading {
    pub(crate) fn from_request(req: &mut Request<Incoming>) -> Option<Upgrading> {
        req.headers().contains_key("upgrade").then(|| Upgrading(on(req)))
    }

    /// Returns the upgraded connection, once the switching response was sent.
    ///
    /// # Errors
    ///
    /// The connection broke before.
    pub async fn complete(self) -> Result<Duplex, CallError> {
        self.0.await.map(TokioIo::new).map_err(|_| CallError::Lost)
    }
}

/// The outcome of an upgrade request.
#[derive(Debug)]
pub enum Upgrade {
    /// The connection switched to the protocol.
    Agreed(Box<Duplex>),
    /// The peer responded with another status.
    Declined(StatusCode),
}

/// Opens a connection to `addr` and requests an upgrade to `protocol` at `path`, waiting at most
/// `limit`.
///
/// # Errors
///
/// The connection or the request failed, or timed out.
pub async fn upgrade(
    addr: SocketAddr,
    path: &str,
    protocol: &'static str,
    limit: Duration,
) -> Result<Upgrade, CallError> {
    match timeout(limit, request_upgrade(addr, path, protocol)).await {
        Ok(result) => result,
        Err(_) => Err(CallError::TimedOut),
    }
}

async fn request_upgrade(
    addr: SocketAddr,
    path: &str,
    protocol: &'static str,
) -> Result<Upgrade, CallError> {
    let stream = open_stream(addr).await?;
    let (mut conn, driver) =
        handshake(TokioIo::new(stream)).await.map_err(|_| CallError::NotSent)?;
    tokio::task::spawn_local(async move {
        if let Err(error) = driver.with_upgrades().await {
            log::debug!(error:% = error; "connection_ended");
        }
    });
    let req = Request::builder()
        .method(Method::GET)
        .uri(path)
        .header("host", addr.to_string())
        .header("connection", "upgrade")
        .header("upgrade", protocol)
        .body(Empty::<Bytes>::new())
        .map_err(|_| CallError::NotSent)?;
    let response = conn.send_request(req).await.map_err(|_| CallError::Lost)?;
    let status = response.status();
    if status != StatusCode::SWITCHING_PROTOCOLS {
        return Ok(Upgrade::Declined(status));
    }
    let stream = on(response).await.map_err(|_| CallError::Lost)?;
    Ok(Upgrade::Agreed(Box::new(TokioIo::new(stream))))
}

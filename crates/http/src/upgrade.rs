//! Connections that change from HTTP to another protocol.

use {
    crate::client::{CallError, open},
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

/// A connection that speaks another protocol.
pub type Duplex = TokioIo<Upgraded>;

/// A connection whose client asked for another protocol.
#[derive(Clone, Debug)]
pub struct Upgrading(OnUpgrade);

impl Upgrading {
    pub(crate) fn of(req: &mut Request<Incoming>) -> Option<Upgrading> {
        req.headers().contains_key("upgrade").then(|| Upgrading(on(req)))
    }

    /// The connection, after the answer that agrees was sent.
    ///
    /// # Errors
    ///
    /// It broke before.
    pub async fn complete(self) -> Result<Duplex, CallError> {
        self.0.await.map(TokioIo::new).map_err(|_| CallError::Lost)
    }
}

/// What became of asking for another protocol.
#[derive(Debug)]
pub enum Upgrade {
    /// The connection speaks it.
    Agreed(Box<Duplex>),
    /// The peer answered with another status.
    Declined(StatusCode),
}

/// Opens a connection to `addr` and asks for `protocol` at `path`, for `limit` at most.
///
/// # Errors
///
/// There is no connection, or no answer.
pub async fn upgrade(
    addr: SocketAddr,
    path: &str,
    protocol: &'static str,
    limit: Duration,
) -> Result<Upgrade, CallError> {
    match timeout(limit, ask(addr, path, protocol)).await {
        Ok(result) => result,
        Err(_) => Err(CallError::Lost),
    }
}

async fn ask(addr: SocketAddr, path: &str, protocol: &'static str) -> Result<Upgrade, CallError> {
    let stream = open(addr).await?;
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
    let answer = conn.send_request(req).await.map_err(|_| CallError::Lost)?;
    let status = answer.status();
    if status != StatusCode::SWITCHING_PROTOCOLS {
        return Ok(Upgrade::Declined(status));
    }
    let stream = on(answer).await.map_err(|_| CallError::Lost)?;
    Ok(Upgrade::Agreed(Box::new(TokioIo::new(stream))))
}

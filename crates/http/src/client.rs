//! Calls to one address over kept connections.

use {
    bytes::Bytes,
    http::{HeaderMap, Method, Request, StatusCode},
    http_body_util::{BodyExt, Full, Limited},
    hyper::client::conn::http1::{SendRequest, handshake},
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{cell::RefCell, fmt, io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// The largest answer that is read, in bytes. The store's pages are 1 MB, its reads by default 1 MiB.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// How long a connection may take to open. A cut-off peer doesn't answer at all, and the peers are a
/// few milliseconds away; the first repetition of a lost opening packet comes after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Unacknowledged bytes older than this break a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// When an idle connection is probed, and how often.
const KEEPALIVE: Duration = Duration::from_secs(5);

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallError {
    /// Nothing listens at the address: nothing was sent.
    Refused,
    /// No connection could be opened: nothing was sent.
    NotSent,
    /// Some of the request may have arrived; the connection broke or the time was up.
    Lost,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Refused => write!(f, "nothing listens there; nothing was sent"),
            CallError::NotSent => write!(f, "no connection; nothing was sent"),
            CallError::Lost => write!(f, "no answer; the request may have been carried out"),
        }
    }
}

impl std::error::Error for CallError {}

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

type Connection = SendRequest<Full<Bytes>>;

/// Calls to one address. A connection is used for one exchange at a time and kept afterwards; one
/// whose exchange was given up is closed, so that a late answer can't be taken for another call's.
#[derive(Clone, Debug)]
pub struct Client {
    addr: SocketAddr,
    idle: Rc<RefCell<Vec<Connection>>>,
    kept: usize,
}

impl Client {
    /// Calls to `addr`, of which at most `kept` connections stay open between calls.
    pub fn new(addr: SocketAddr, kept: usize) -> Client {
        Client { addr, idle: Rc::default(), kept }
    }

    /// The address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request and waits for its whole answer, at most for `limit`.
    ///
    /// # Errors
    ///
    /// Says whether something may have been sent.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: Bytes,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        let mut builder = Request::builder().method(method).uri(path);
        if !headers.iter().any(|(name, _)| *name == "host") {
            builder = builder.header("host", self.addr.to_string());
        }
        if !body.is_empty() {
            builder = builder.header("content-type", "application/json");
        }
        for (name, value) in headers {
            builder = builder.header(*name, value);
        }
        let req = builder.body(Full::new(body)).map_err(|_| CallError::NotSent)?;
        match timeout(limit, self.exchange(req)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Lost),
        }
    }

    async fn exchange(&self, mut req: Request<Full<Bytes>>) -> Result<Answer, CallError> {
        loop {
            let kept = self.idle.borrow_mut().pop();
            let fresh = kept.is_none();
            let mut conn = match kept {
                Some(conn) => conn,
                None => self.connect().await?,
            };
            if conn.is_closed() || conn.ready().await.is_err() {
                if fresh {
                    return Err(CallError::NotSent);
                }
                continue;
            }
            match conn.try_send_request(req).await {
                Ok(answer) => {
                    let (parts, body) = answer.into_parts();
                    let body = Limited::new(body, MAX_ANSWER_BYTES);
                    let body = body.collect().await.map_err(|_| CallError::Lost)?.to_bytes();
                    self.keep(conn);
                    return Ok(Answer { status: parts.status, headers: parts.headers, body });
                }
                // The peer had closed the kept connection before anything of the request was written.
                Err(mut error) => match error.take_message() {
                    Some(unsent) if !fresh => req = unsent,
                    Some(_) => return Err(CallError::NotSent),
                    None => return Err(CallError::Lost),
                },
            }
        }
    }

    fn keep(&self, conn: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.kept && !conn.is_closed() {
            idle.push(conn);
        }
    }

    async fn connect(&self) -> Result<Connection, CallError> {
        let stream = open(self.addr).await?;
        let (conn, driver) =
            handshake(TokioIo::new(stream)).await.map_err(|_| CallError::NotSent)?;
        tokio::task::spawn_local(async move {
            if let Err(error) = driver.await {
                log::debug!(error:% = error; "connection_ended");
            }
        });
        Ok(conn)
    }
}

/// Opens a connection.
pub(crate) async fn open(addr: SocketAddr) -> Result<TcpStream, CallError> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(CallError::Refused);
        }
        Ok(Err(_)) | Err(_) => return Err(CallError::NotSent),
    };
    prepare(&stream);
    Ok(stream)
}

/// Sets what shows a silent peer: a cut-off one neither answers nor resets.
pub(crate) fn prepare(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE / 5);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(USER_TIMEOUT)));
    if let Err(error) = set {
        log::debug!(error:% = error; "socket_option_refused");
    }
}

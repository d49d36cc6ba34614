//! Forwarding of clients' records from followers to the leader.
//!
//! The store serializes appends. If every VM appended by itself, a slow store would delay the leader's heartbeats
//! until the other nodes consider it dead. Followers therefore forward clients' records to the leader, which
//! appends them together with its own. If the leader doesn't answer, the follower appends the record itself;
//! appending a record twice is harmless.

use {
    crate::{append::Stored, node::Node, relays, standbys},
    bytes::Bytes,
    egretlb_http::{CallError, Client, Request, Response},
    egretlb_telemetry::METRICS_CONTENT_TYPE,
    egretlb_workflow::Record,
    http::Method,
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{sync::oneshot, time::timeout},
};

/// Path for forwarded records.
const RECORDS_PATH: &str = "/records";

/// How long a follower waits for the leader: two appends of a slow store, and less than the clients' timeout of
/// 3 s. The wait ends early if another process becomes leader.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How long the leader waits for an append; its answer must arrive within [`FORWARD_TIMEOUT`].
const STORE_TIMEOUT: Duration = Duration::from_millis(1_900);

/// Maximum number of idle connections to the leader.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Status codes of the leader's answers.
mod status {
    pub(super) const OK: u16 = 200;
    pub(super) const NOT_LEADER: u16 = 409;
    pub(super) const REJECTED: u16 = 503;
    pub(super) const UNKNOWN: u16 = 504;
}

/// A client's record for the leader's next append.
pub(crate) struct PendingRecord {
    pub(crate) record: Record,
    pub(crate) tx: oneshot::Sender<Stored>,
}

/// The outcome of forwarding a record.
pub(crate) enum Forwarded {
    /// The leader answered.
    Settled(Stored),
    /// The leader didn't accept the record: it no longer leads or is unreachable.
    NotAccepted,
    /// No answer: the record may be stored.
    Unknown,
}

/// The client for the current leader's address.
#[derive(Default)]
pub(crate) struct LeaderClient {
    client: RefCell<Option<Client>>,
}

impl LeaderClient {
    fn client(&self, addr: SocketAddr) -> Client {
        let mut client = self.client.borrow_mut();
        match &*client {
            Some(current) if current.addr() == addr => current.clone(),
            _ => client.insert(Client::new(addr, MAX_IDLE_CONNECTIONS)).clone(),
        }
    }

    /// Forwards a record to the leader at `addr`.
    async fn forward(&self, addr: SocketAddr, record: &Record) -> Forwarded {
        let body = Bytes::from(record.to_bytes());
        match self.client(addr).call(Method::POST, RECORDS_PATH, &[], body, FORWARD_TIMEOUT).await {
            Ok(answer) if answer.status == status::OK => Forwarded::Settled(Stored::Yes),
            Ok(answer) if answer.status == status::REJECTED => Forwarded::Settled(Stored::No),
            Ok(answer) if answer.status == status::UNKNOWN => Forwarded::Unknown,
            Ok(_) | Err(CallError::NotSent | CallError::Refused) => Forwarded::NotAccepted,
            Err(CallError::Lost | CallError::TimedOut) => Forwarded::Unknown,
        }
    }
}

/// Path of the state dump, the same as in the other daemons.
const STATE_PATH: &str = "/state";

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Answers requests of followers, and requests for state and metrics.
pub(crate) async fn answer(node: Rc<Node>, req: Request) -> Response {
    if req.method == Method::GET && req.path == METRICS_PATH {
        let body = Bytes::from(node.metrics.render());
        let content_type = METRICS_CONTENT_TYPE;
        return Response { body, content_type, ..Response::empty(status::OK) };
    }
    if req.method == Method::GET && req.path == STATE_PATH {
        let body = Bytes::from(node.dump(node.clock().now()));
        return Response { body, ..Response::empty(status::OK) };
    }
    if req.path == relays::PATH {
        return node.relays.answer_offer(req.upgrade, req.query == relays::LOW_CPU_QUERY);
    }
    if let Some(response) = standbys::answer(&node, &req).await {
        return response;
    }
    let record =
        req.body.filter(|_| req.path == RECORDS_PATH).and_then(|body| Record::from_bytes(&body));
    let Some(record) = record else { return Response::empty(status::REJECTED) };
    if !node.has_authority() {
        return Response::empty(status::NOT_LEADER);
    }
    Response::empty(match node.store_as_leader(record).await {
        Stored::Yes => status::OK,
        Stored::No | Stored::Refused { .. } => status::REJECTED,
        Stored::Unknown => status::UNKNOWN,
    })
}

impl Node {
    /// Stores a client's record, through the leader if possible, else by an own append.
    pub(crate) async fn store_record(self: &Rc<Self>, record: Record) -> Stored {
        let leader_addr = self.core().other_leader();
        let standbys = self.standbys();
        let forwarded = if let Some(standbys) = standbys {
            self.forward_to_standby(&standbys, &record).await
        } else if self.has_authority() {
            Forwarded::Settled(self.store_as_leader(record.clone()).await)
        } else if let Some(addr) = leader_addr {
            self.forward(addr, &record).await
        } else {
            Forwarded::NotAccepted
        };
        match forwarded {
            // If a live leader can't append the record, an own append wouldn't succeed either.
            Forwarded::Settled(stored @ (Stored::Yes | Stored::No | Stored::Refused { .. })) => {
                stored
            }
            Forwarded::NotAccepted => self.appender.append(record).await,
            Forwarded::Settled(Stored::Unknown) | Forwarded::Unknown => {
                match self.appender.append(record).await {
                    Stored::Yes => Stored::Yes,
                    // The leader may have stored it.
                    Stored::No | Stored::Unknown | Stored::Refused { .. } => Stored::Unknown,
                }
            }
        }
    }

    async fn forward(&self, addr: SocketAddr, record: &Record) -> Forwarded {
        tokio::select! {
            forwarded = self.leader.forward(addr, record) => forwarded,
            () = self.watch.wait_for_records(std::slice::from_ref(record)) => Forwarded::Settled(Stored::Yes),
            () = self.watch.wait_for_other_leader(addr) => Forwarded::Unknown,
        }
    }

    /// Adds a record to the leader's next append.
    async fn store_as_leader(self: &Rc<Self>, record: Record) -> Stored {
        let (tx, rx) = oneshot::channel();
        if !self.add_pending_record(PendingRecord { record, tx }) {
            return Stored::No;
        }
        match timeout(STORE_TIMEOUT, rx).await {
            Ok(Ok(stored)) => stored,
            Ok(Err(_)) | Err(_) => Stored::Unknown,
        }
    }
}

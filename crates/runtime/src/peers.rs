//! Clients' records that followers hand to the leader.
//!
//! Each append to the store waits for the one before it. With every VM appending for itself, a slow
//! store (240 ms an append) takes four appends a second from 35 VMs, and the leader's signs of life wait
//! behind them until it is taken for dead. So followers hand what clients submit to the leader, which
//! appends it with its own records, all in one call. A leader that can't be reached, or doesn't answer,
//! is passed over: the same record may be appended twice without harm.

use {
    crate::{append::Stored, node::Node, relays},
    bytes::Bytes,
    egretlb_http::{CallError, Client, Request, Response},
    egretlb_telemetry::METRICS_CONTENT_TYPE,
    egretlb_workflow::Record,
    http::Method,
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{sync::oneshot, time::timeout},
};

/// Where followers hand records in.
const RECORDS_PATH: &str = "/records";

/// How long a follower waits for the leader: two appends of a slow store, and below the 3 s that clients
/// wait. If another process takes over meanwhile, it waits no longer.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How long the leader tries to get a record stored, so that its answer arrives.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_900);

/// Connections to the leader that are kept.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// The leader's answers.
mod status {
    pub(super) const STORED: u16 = 200;
    pub(super) const NOT_LEADER: u16 = 409;
    pub(super) const REJECTED: u16 = 503;
    pub(super) const UNKNOWN: u16 = 504;
}

/// A client's record that waits for the leader's next append.
pub(crate) struct PendingRecord {
    pub(crate) record: Record,
    pub(crate) tx: oneshot::Sender<Stored>,
}

/// What became of a record that was handed to the leader.
enum Forwarded {
    /// The leader knows.
    Settled(Stored),
    /// It didn't take it: it doesn't lead, or can't be reached.
    NotAccepted,
    /// Nobody can say.
    Unknown,
}

/// The connection to the leader.
#[derive(Default)]
pub(crate) struct LeaderClient {
    client: RefCell<Option<Client>>,
}

impl LeaderClient {
    fn client(&self, addr: SocketAddr) -> Client {
        let mut client = self.client.borrow_mut();
        match &*client {
            Some(open) if open.addr() == addr => open.clone(),
            _ => client.insert(Client::new(addr, MAX_IDLE_CONNECTIONS)).clone(),
        }
    }

    /// Hands a record to the leader at `addr`.
    async fn forward(&self, addr: SocketAddr, record: &Record) -> Forwarded {
        let body = Bytes::from(record.to_bytes());
        match self.client(addr).call(Method::POST, RECORDS_PATH, &[], body, FORWARD_TIMEOUT).await {
            Ok(answer) if answer.status == status::STORED => Forwarded::Settled(Stored::Yes),
            Ok(answer) if answer.status == status::REJECTED => Forwarded::Settled(Stored::No),
            Ok(answer) if answer.status == status::UNKNOWN => Forwarded::Unknown,
            Ok(_) | Err(CallError::NotSent | CallError::Refused) => Forwarded::NotAccepted,
            Err(CallError::Lost) => Forwarded::Unknown,
        }
    }
}

/// Where the state is read, as with the other daemons, so that the operator's command finds it.
const STATE_PATH: &str = "/state";

/// Where metrics are read.
const METRICS_PATH: &str = "/metrics";

/// Answers a follower, or whoever reads the metrics.
pub(crate) async fn answer(node: Rc<Node>, req: Request) -> Response {
    if req.method == Method::GET && req.path == METRICS_PATH {
        let body = Bytes::from(node.metrics.render());
        let content_type = METRICS_CONTENT_TYPE;
        return Response { body, content_type, ..Response::empty(status::STORED) };
    }
    if req.method == Method::GET && req.path == STATE_PATH {
        let body = Bytes::from(node.dump(node.clock().now()));
        return Response { body, ..Response::empty(status::STORED) };
    }
    if req.path == relays::PATH {
        return node.relays.answer_offer(req.upgrade);
    }
    let record =
        req.body.filter(|_| req.path == RECORDS_PATH).and_then(|body| Record::from_bytes(&body));
    let Some(record) = record else { return Response::empty(status::REJECTED) };
    if !node.has_authority() {
        return Response::empty(status::NOT_LEADER);
    }
    Response::empty(match node.store_as_leader(record).await {
        Stored::Yes => status::STORED,
        Stored::No => status::REJECTED,
        Stored::Unknown => status::UNKNOWN,
    })
}

impl Node {
    /// Gets a client's record stored, by the leader if that works, else by an append of our own.
    pub(crate) async fn store_record(self: &Rc<Self>, record: Record) -> Stored {
        let leader_addr = self.core().other_leader();
        let forwarded = if self.has_authority() {
            Forwarded::Settled(self.store_as_leader(record.clone()).await)
        } else if let Some(addr) = leader_addr {
            self.forward(addr, &record).await
        } else {
            Forwarded::NotAccepted
        };
        match forwarded {
            // A leader that is alive and can't get it stored says so; the store needs no further append.
            Forwarded::Settled(stored @ (Stored::Yes | Stored::No)) => stored,
            Forwarded::NotAccepted => self.appender.append(record).await,
            Forwarded::Settled(Stored::Unknown) | Forwarded::Unknown => {
                match self.appender.append(record).await {
                    Stored::Yes => Stored::Yes,
                    // The leader may have stored it after all.
                    Stored::No | Stored::Unknown => Stored::Unknown,
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

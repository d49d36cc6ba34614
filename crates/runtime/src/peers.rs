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
const PATH: &str = "/records";

/// How long a follower waits for the leader: two appends of a slow store, and below the 3 s that clients
/// wait. If another process takes over meanwhile, it waits no longer.
const LIMIT: Duration = Duration::from_millis(2_000);

/// How long the leader tries to get a record stored, so that its answer arrives.
const STORE_LIMIT: Duration = Duration::from_millis(1_900);

/// Connections to the leader that are kept.
const KEPT: usize = 4;

/// The leader's answers.
mod status {
    pub(super) const STORED: u16 = 200;
    pub(super) const NOT_LEADER: u16 = 409;
    pub(super) const REJECTED: u16 = 503;
    pub(super) const UNKNOWN: u16 = 504;
}

/// A client's record that waits for the leader's next append.
pub(crate) struct Waiting {
    pub(crate) record: Record,
    pub(crate) tx: oneshot::Sender<Stored>,
}

/// What became of a record that was handed to the leader.
enum Handed {
    /// The leader knows.
    Settled(Stored),
    /// It didn't take it: it doesn't lead, or can't be reached.
    NotTaken,
    /// Nobody can say.
    Unknown,
}

/// The connection to the leader.
#[derive(Default)]
pub(crate) struct Leader {
    client: RefCell<Option<Client>>,
}

impl Leader {
    fn client(&self, addr: SocketAddr) -> Client {
        let mut client = self.client.borrow_mut();
        match &*client {
            Some(known) if known.addr() == addr => known.clone(),
            _ => client.insert(Client::new(addr, KEPT)).clone(),
        }
    }

    /// Hands a record to the leader at `addr`.
    async fn store(&self, addr: SocketAddr, record: &Record) -> Handed {
        let body = Bytes::from(record.to_bytes());
        match self.client(addr).call(Method::POST, PATH, &[], body, LIMIT).await {
            Ok(answer) if answer.status == status::STORED => Handed::Settled(Stored::Yes),
            Ok(answer) if answer.status == status::REJECTED => Handed::Settled(Stored::No),
            Ok(answer) if answer.status == status::UNKNOWN => Handed::Unknown,
            Ok(_) | Err(CallError::NotSent | CallError::Refused) => Handed::NotTaken,
            Err(CallError::Lost) => Handed::Unknown,
        }
    }
}

/// Where the state is read, as with the other daemons, so that the operator's command finds it.
const STATE: &str = "/state";

/// Where metrics are read.
const METRICS: &str = "/metrics";

/// Answers a follower, or whoever reads the metrics.
pub(crate) async fn answer(node: Rc<Node>, req: Request) -> Response {
    if req.method == Method::GET && req.path == METRICS {
        let body = Bytes::from(node.metrics.render());
        let content_type = METRICS_CONTENT_TYPE;
        return Response { body, content_type, ..Response::empty(status::STORED) };
    }
    if req.method == Method::GET && req.path == STATE {
        let body = Bytes::from(node.dump(node.clock().now()));
        return Response { body, ..Response::empty(status::STORED) };
    }
    if req.path == relays::PATH {
        return node.relays.answer(req.upgrade);
    }
    let record = req.body.filter(|_| req.path == PATH).and_then(|body| Record::from_bytes(&body));
    let Some(record) = record else { return Response::empty(status::REJECTED) };
    if !node.may_lead() {
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
        let other = self.core().other_leader();
        let handed = if self.may_lead() {
            Handed::Settled(self.store_as_leader(record.clone()).await)
        } else if let Some(addr) = other {
            self.hand_over(addr, &record).await
        } else {
            Handed::NotTaken
        };
        match handed {
            // A leader that is alive and can't get it stored says so; the store needs no further append.
            Handed::Settled(stored @ (Stored::Yes | Stored::No)) => stored,
            Handed::NotTaken => self.appender.append(record).await,
            Handed::Settled(Stored::Unknown) | Handed::Unknown => {
                match self.appender.append(record).await {
                    Stored::Yes => Stored::Yes,
                    // The leader may have stored it after all.
                    Stored::No | Stored::Unknown => Stored::Unknown,
                }
            }
        }
    }

    async fn hand_over(&self, addr: SocketAddr, record: &Record) -> Handed {
        tokio::select! {
            handed = self.leader.store(addr, record) => handed,
            () = self.reads.clients_records(std::slice::from_ref(record)) => Handed::Settled(Stored::Yes),
            () = self.reads.other_leader(addr) => Handed::Unknown,
        }
    }

    /// Adds a record to the leader's next append.
    async fn store_as_leader(self: &Rc<Self>, record: Record) -> Stored {
        let (tx, rx) = oneshot::channel();
        if !self.add_waiting(Waiting { record, tx }) {
            return Stored::No;
        }
        match timeout(STORE_LIMIT, rx).await {
            Ok(Ok(stored)) => stored,
            Ok(Err(_)) | Err(_) => Stored::Unknown,
        }
    }
}

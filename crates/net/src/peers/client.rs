//! The sending side of peer calls: one kept connection for each peer.

use {
    super::{server::MESSAGE_MAX_BYTES, service::PeerClient},
    egretlb_types::NodeId,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tarpc::{client::Config, context, serde_transport::tcp, tokio_serde::formats::Bincode},
    tokio::{
        runtime::Handle,
        sync::mpsc::{self, Receiver, Sender, error::TrySendError},
        time,
    },
};

/// How many messages wait for one peer. More than a second's worth at the peak means that the
/// peer is stuck, and what waits any longer would be acted on too late.
const QUEUE_MAX: usize = 1024;

/// How long a connect or a call may take. Within a region a round trip takes some 1 ms, between
/// regions some 100 ms; an owner that takes longer is as good as unreachable for a caller who waits.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// How long a peer that nothing is sent to keeps its connection.
const IDLE_LIMIT: Duration = Duration::from_secs(120);

/// What is known of a message that wasn't confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// No byte of it left this process.
    NeverSent,
    /// It may have arrived.
    Unknown,
}

/// What to do when a message isn't known to have arrived.
pub type Undelivered = Box<dyn FnOnce(Fate) + Send>;

struct Outgoing {
    body: Vec<u8>,
    undelivered: Option<Undelivered>,
}

impl Outgoing {
    fn never_sent(self) {
        if let Some(undelivered) = self.undelivered {
            undelivered(Fate::NeverSent);
        }
    }
}

/// Sends messages to peers without waiting.
#[derive(Clone)]
pub struct PeerSender {
    rt: Handle,
    from: NodeId,
    queues: Arc<Mutex<HashMap<SocketAddr, Sender<Outgoing>>>>,
}

impl PeerSender {
    /// A sender in the name of `from`, whose connections run on `rt`.
    pub fn new(rt: Handle, from: NodeId) -> Self {
        PeerSender { rt, from, queues: Arc::default() }
    }

    /// Sends `body` to the peer at `to`; calls `undelivered` if it isn't known to have arrived.
    pub fn send(&self, to: SocketAddr, body: Vec<u8>, undelivered: Option<Undelivered>) {
        let tx = self.queue(to);
        match tx.try_send(Outgoing { body, undelivered }) {
            Ok(()) => {}
            Err(TrySendError::Full(out) | TrySendError::Closed(out)) => out.never_sent(),
        }
    }

    fn queue(&self, to: SocketAddr) -> Sender<Outgoing> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(tx) = queues.get(&to).filter(|tx| !tx.is_closed()) {
            return tx.clone();
        }
        // Replaced peers come back under other addresses: forget the closed queues.
        queues.retain(|_, tx| !tx.is_closed());
        let (tx, rx) = mpsc::channel(QUEUE_MAX);
        queues.insert(to, tx.clone());
        self.rt.spawn(run_queue(to, self.from, rx));
        tx
    }
}

async fn connect(to: SocketAddr) -> Option<PeerClient> {
    let mut connecting = tcp::connect(to, Bincode::default);
    connecting.config_mut().max_frame_length(MESSAGE_MAX_BYTES);
    let transport = time::timeout(CALL_LIMIT, connecting).await.ok()?.ok()?;
    Some(PeerClient::new(Config::default(), transport).spawn())
}

/// Sends what is queued for one peer until nothing came for [`IDLE_LIMIT`].
///
/// Calls don't wait for each other: between regions a round trip takes some 100 ms, and one call at
/// a time would hold a peer to ten messages a second.
async fn run_queue(to: SocketAddr, from: NodeId, mut rx: Receiver<Outgoing>) {
    let mut client: Option<PeerClient> = None;
    let broken = Arc::new(AtomicBool::new(false));
    while let Ok(Some(out)) = time::timeout(IDLE_LIMIT, rx.recv()).await {
        if client.is_none() || broken.swap(false, Ordering::AcqRel) {
            client = connect(to).await;
        }
        match client.clone() {
            Some(connected) => {
                tokio::spawn(deliver(connected, from, out, Arc::clone(&broken)));
            }
            None => {
                out.never_sent();
                fail_queued(&mut rx);
            }
        }
    }
}

async fn deliver(client: PeerClient, from: NodeId, out: Outgoing, broken: Arc<AtomicBool>) {
    let mut cx = context::current();
    cx.deadline = Instant::now() + CALL_LIMIT;
    let sent = client.deliver(cx, from, out.body).await;
    if sent.is_err() {
        broken.store(true, Ordering::Release);
        if let Some(undelivered) = out.undelivered {
            undelivered(Fate::Unknown);
        }
    }
}

/// When a peer can't be reached, whoever waits behind the failed message is told at once rather
/// than after a time-out each.
fn fail_queued(rx: &mut Receiver<Outgoing>) {
    while let Ok(out) = rx.try_recv() {
        out.never_sent();
    }
}

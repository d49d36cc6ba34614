//! Sender of peer messages, with one persistent connection for each peer.

use {
    super::{server::MAX_MESSAGE_BYTES, service::PeerClient},
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

/// Maximum number of messages queued for one peer.
const MAX_QUEUED_MESSAGES: usize = 1024;

/// How long a connect or a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an unused connection stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Why a message isn't known to have arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeliveryFailure {
    /// Nothing was sent.
    NeverSent,
    /// It may have arrived.
    Unknown,
}

/// Callback for a message that isn't known to have arrived.
pub type OnUndelivered = Box<dyn FnOnce(DeliveryFailure) + Send>;

struct Outgoing {
    body: Vec<u8>,
    on_undelivered: Option<OnUndelivered>,
}

impl Outgoing {
    fn fail_unsent(self) {
        if let Some(on_undelivered) = self.on_undelivered {
            on_undelivered(DeliveryFailure::NeverSent);
        }
    }
}

/// Sends messages to peers without blocking.
#[derive(Clone)]
pub struct PeerSender {
    rt: Handle,
    from: NodeId,
    queues: Arc<Mutex<HashMap<SocketAddr, Sender<Outgoing>>>>,
}

impl PeerSender {
    /// Creates a sender for the node `from`, whose connections run on `rt`.
    pub fn new(rt: Handle, from: NodeId) -> Self {
        PeerSender { rt, from, queues: Arc::default() }
    }

    /// Sends `body` to the peer at `to`; calls `on_undelivered` if it isn't known to have arrived.
    pub fn send(&self, to: SocketAddr, body: Vec<u8>, on_undelivered: Option<OnUndelivered>) {
        let tx = self.queue(to);
        match tx.try_send(Outgoing { body, on_undelivered }) {
            Ok(()) => {}
            Err(TrySendError::Full(outgoing) | TrySendError::Closed(outgoing)) => {
                outgoing.fail_unsent()
            }
        }
    }

    fn queue(&self, to: SocketAddr) -> Sender<Outgoing> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(tx) = queues.get(&to).filter(|tx| !tx.is_closed()) {
            return tx.clone();
        }
        // Replaced peers have new addresses: remove closed queues.
        queues.retain(|_, tx| !tx.is_closed());
        let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
        queues.insert(to, tx.clone());
        self.rt.spawn(run_queue(to, self.from, rx));
        tx
    }
}

async fn connect(to: SocketAddr) -> Option<PeerClient> {
    let mut connecting = tcp::connect(to, Bincode::default);
    connecting.config_mut().max_frame_length(MAX_MESSAGE_BYTES);
    let transport = time::timeout(CALL_TIMEOUT, connecting).await.ok()?.ok()?;
    Some(PeerClient::new(Config::default(), transport).spawn())
}

/// Sends the messages queued for one peer; ends when none arrives for [`IDLE_TIMEOUT`].
///
/// Calls run concurrently, since a round trip between regions takes some 100 ms.
async fn run_queue(to: SocketAddr, from: NodeId, mut rx: Receiver<Outgoing>) {
    let mut client: Option<PeerClient> = None;
    let disconnected = Arc::new(AtomicBool::new(false));
    while let Ok(Some(outgoing)) = time::timeout(IDLE_TIMEOUT, rx.recv()).await {
        if client.is_none() || disconnected.swap(false, Ordering::AcqRel) {
            client = connect(to).await;
        }
        match client.clone() {
            Some(connected) => {
                tokio::spawn(deliver(connected, from, outgoing, Arc::clone(&disconnected)));
            }
            None => {
                outgoing.fail_unsent();
                fail_queued(&mut rx);
            }
        }
    }
}

async fn deliver(
    client: PeerClient,
    from: NodeId,
    outgoing: Outgoing,
    disconnected: Arc<AtomicBool>,
) {
    let mut cx = context::current();
    cx.deadline = Instant::now() + CALL_TIMEOUT;
    let result = client.deliver(cx, from, outgoing.body).await;
    if result.is_err() {
        disconnected.store(true, Ordering::Release);
        if let Some(on_undelivered) = outgoing.on_undelivered {
            on_undelivered(DeliveryFailure::Unknown);
        }
    }
}

/// Fails all queued messages of an unreachable peer at once, rather than after a timeout each.
fn fail_queued(rx: &mut Receiver<Outgoing>) {
    while let Ok(outgoing) = rx.try_recv() {
        outgoing.fail_unsent();
    }
}

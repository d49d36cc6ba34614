//! Input and output that both daemons share.

use {
    super::{error::StartError, operators::Replies},
    crate::{
        clock::Clock,
        http::RequestCounter,
        peers::{self, DeliveryFailure, PeerSender, Received},
        platform::{HttpLog, VmListClient},
        pool::Pool,
    },
    compact_str::{CompactString, ToCompactString},
    crossbeam::channel::{Receiver, Sender},
    egretlb_config::Settings,
    egretlb_control::{NodeInfo, Role},
    egretlb_log::{AppendOutcome, LogService, StreamName},
    egretlb_node::{Delivery, NodeEffect, NodeEvent, Notice, PeerMessage},
    egretlb_telemetry::{AppendResult, CommonMetrics, log_event},
    egretlb_types::{NodeId, Time},
    log::Level,
    rand::{Rng, SeedableRng, rngs::StdRng},
    smallvec::SmallVec,
    std::{
        fmt::Display,
        net::SocketAddr,
        sync::Arc,
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::runtime::{Builder, Runtime},
};

/// Time between two ticks of a reducer.
pub(super) const TICK: Duration = Duration::from_millis(100);

/// Time between two reads of the VM list. The list itself lags by seconds.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of threads for blocking calls. Exceeds the requests that an entry has in flight,
/// which its shares bound.
const MAX_POOL_THREADS: usize = 1_024;

/// Bits of a node id. JSON readers preserve only 53 bits of a number.
const NODE_ID_BITS: u32 = 53;

/// How a daemon ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stopped {
    /// Number of requests that were still in progress at the drain limit.
    pub cut_off: usize,
    /// Whether the daemon's thread panicked.
    pub crashed: bool,
}

/// A running daemon.
pub struct Running {
    pub(super) node: NodeId,
    pub(super) callers: Option<SocketAddr>,
    pub(super) operators: SocketAddr,
    pub(super) peers: SocketAddr,
    pub(super) shutdown: Box<dyn Fn() + Send + Sync>,
    pub(super) request_counters: Vec<RequestCounter>,
    pub(super) thread: JoinHandle<Stopped>,
    pub(super) _rt: Arc<Runtime>,
}

impl Running {
    /// The node's id.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// The address for callers' requests, of an entry.
    pub fn callers(&self) -> Option<SocketAddr> {
        self.callers
    }

    /// The address of the operators' interface.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// The address for peers' messages.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Starts a graceful shutdown, without waiting for its end.
    pub fn shutdown(&self) {
        (self.shutdown)();
    }

    /// Number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.request_counters.iter().map(RequestCounter::count).sum()
    }

    /// Whether the daemon has ended.
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits until the daemon has ended.
    pub fn join(self) -> Stopped {
        let cut_off = self.in_progress();
        self.thread.join().unwrap_or(Stopped { cut_off, crashed: true })
    }
}

/// Generates a random node id: a restarted process is a new node.
pub(super) fn generate_node_id() -> NodeId {
    NodeId(StdRng::from_os_rng().random::<u64>() >> (u64::BITS - NODE_ID_BITS))
}

/// Creates the runtime for peer calls, which never block.
pub(super) fn peer_runtime() -> Result<Arc<Runtime>, StartError> {
    let rt = Builder::new_multi_thread().worker_threads(1).enable_all().build();
    rt.map(Arc::new).map_err(StartError::Threads)
}

/// Listens for peers' messages and sends them to the loop as events.
pub(super) fn listen_to_peers<E: From<NodeEvent> + Send + 'static>(
    rt: &Runtime,
    settings: &Settings,
    tx: Sender<E>,
) -> Result<SocketAddr, StartError> {
    let addr = settings.listen.peers;
    let handler = move |Received { from, body }: Received| {
        if let Some(message) = PeerMessage::decode(&body) {
            // A send fails only while the process ends.
            let _ = tx.send(NodeEvent::Peer { from, message }.into());
        }
    };
    peers::listen(rt.handle(), addr.ip(), addr.port(), handler)
        .map_err(|error| StartError::Listen { field: "peers", addr, error })
}

/// The peers of the settings, which can send a configuration while the log is unreachable.
pub(super) fn seeds(settings: &Settings) -> SmallVec<[CompactString; 4]> {
    settings.known_peers.iter().map(ToCompactString::to_compact_string).collect()
}

pub(super) fn node_info(
    node: NodeId,
    role: Role,
    settings: &Settings,
    peers: SocketAddr,
    operators: SocketAddr,
) -> NodeInfo {
    NodeInfo {
        node,
        role,
        data_centre: settings.data_centre.clone(),
        peer_addr: peers.to_compact_string(),
        http_addr: operators.to_compact_string(),
    }
}

/// Performs the effects that both daemons share.
pub(super) struct Io<E> {
    pub(super) clock: Clock,
    pub(super) pool: Pool,
    pub(super) log: Arc<dyn LogService>,
    pub(super) tx: Sender<E>,
    pub(super) replies: Replies,
    pub(super) metrics: CommonMetrics,
    peers: PeerSender,
    vm_list: VmListClient,
    next_vm_list_read: Time,
}

impl<E: From<NodeEvent> + Send + 'static> Io<E> {
    pub(super) fn new(
        clock: Clock,
        node: NodeId,
        settings: &Settings,
        rt: &Runtime,
        tx: Sender<E>,
        replies: Replies,
        metrics: CommonMetrics,
    ) -> Self {
        Io {
            clock,
            pool: Pool::new(MAX_POOL_THREADS),
            log: Arc::new(HttpLog::new(settings.log_service.iter().copied(), node)),
            tx,
            replies,
            metrics,
            peers: PeerSender::new(rt.handle().clone(), node),
            vm_list: VmListClient::new(settings.vm_list),
            next_vm_list_read: Time::ZERO,
        }
    }

    /// Runs `job`, which may block, on the pool and sends its result as an event.
    pub(super) fn run(&self, job: impl FnOnce() -> E + Send + 'static) {
        let tx = self.tx.clone();
        // A send fails only while the process ends.
        self.pool.run(move || drop(tx.send(job())));
    }

    /// Reads the VM list if a read is due. If that fails, the last list stays in use.
    pub(super) fn poll_vms(&mut self, now: Time) {
        if now < self.next_vm_list_read {
            return;
        }
        self.next_vm_list_read = now + VM_LIST_INTERVAL;
        let (list, tx) = (self.vm_list.clone(), self.tx.clone());
        self.pool.run(move || match list.read() {
            Ok(vms) => drop(tx.send(NodeEvent::Vms(vms).into())),
            Err(error) => log::debug!(error:% = error; "vm_list_unavailable"),
        });
    }

    /// Performs an effect; returns true if the daemon should end.
    pub(super) fn perform(&self, effect: NodeEffect) -> bool {
        match effect {
            NodeEffect::ReadControl { from } => {
                let log = Arc::clone(&self.log);
                let sent = self.clock.now();
                self.run(move || {
                    let outcome = log.read(&StreamName::control(), from);
                    NodeEvent::ControlRead { sent, outcome }.into()
                });
            }
            NodeEffect::AppendControl { ticket, bytes } => {
                let append = self.appender(StreamName::control(), bytes);
                self.run(move || NodeEvent::ControlAppended { ticket, outcome: append() }.into());
            }
            NodeEffect::Send { addr, message } => self.send(&addr, message),
            NodeEffect::Reply { call, reply } => self.replies.deliver(call, reply),
            NodeEffect::Notice(notice) => log_notice(&notice),
            NodeEffect::Exit => return true,
        }
        false
    }

    /// Returns a closure that makes the append; it may block.
    pub(super) fn appender(
        &self,
        stream: StreamName,
        bytes: Vec<u8>,
    ) -> impl FnOnce() -> AppendOutcome + Send + 'static {
        let (log, clock, metrics) = (Arc::clone(&self.log), self.clock, self.metrics.clone());
        move || {
            let sent = clock.now();
            let outcome = log.append(&stream, &bytes);
            metrics.appended(append_result(&outcome), clock.now().since(sent));
            outcome
        }
    }

    fn send(&self, addr: &CompactString, message: Box<PeerMessage>) {
        let tx = self.tx.clone();
        let Ok(to) = addr.parse::<SocketAddr>() else { return };
        let body = message.encode();
        self.metrics.sent_to_peer(body.len() as u64);
        let on_undelivered = move |failure| {
            let delivery = match failure {
                DeliveryFailure::NeverSent => Delivery::NeverSent,
                DeliveryFailure::Unknown => Delivery::Unknown,
            };
            // A send fails only while the process ends.
            let _ = tx.send(NodeEvent::Undelivered { message, delivery }.into());
        };
        self.peers.send(to, body, Some(Box::new(on_undelivered)));
    }
}

fn append_result(outcome: &AppendOutcome) -> AppendResult {
    match outcome {
        AppendOutcome::Appended(_) => AppendResult::Appended,
        AppendOutcome::NotAppended(_) => AppendResult::NotAppended,
        AppendOutcome::Unknown => AppendResult::Unknown,
    }
}

/// Logs a notice. Its text is `key=value` pairs without blanks; the first value is the event name.
fn log_notice(notice: &Notice) {
    let level = if notice.is_alarm() {
        Level::Warn
    } else if notice.is_detail() {
        Level::Debug
    } else {
        Level::Info
    };
    let text = notice.to_string();
    let tokens = text.split_whitespace();
    let pairs: Vec<(&str, &str)> =
        tokens.map(|token| token.split_once('=').unwrap_or(("text", token))).collect();
    let event = pairs.first().map_or("notice", |(_, event)| *event);
    let pairs: Vec<(&str, &dyn Display)> =
        pairs.iter().skip(1).map(|(key, value)| (*key, value as &dyn Display)).collect();
    log_event(level, event, &pairs);
}

/// Waits for an event, at most until `wake_at`.
pub(super) fn wait<E>(clock: Clock, rx: &Receiver<E>, wake_at: Time) -> Option<E> {
    let left = wake_at.since(clock.now());
    rx.recv_timeout(left).ok()
}

/// Starts the thread that steps a daemon's reducer.
pub(super) fn spawn_loop(
    name: &str,
    run: impl FnOnce() -> Stopped + Send + 'static,
) -> Result<JoinHandle<Stopped>, StartError> {
    thread::Builder::new().name(name.into()).spawn(run).map_err(StartError::Threads)
}

/// Waits at most `limit` until the requests in progress complete.
pub(super) fn drain(request_counters: &[&RequestCounter], limit: Duration) -> Stopped {
    let cut_off = request_counters.iter().map(|counter| counter.wait_until_zero(limit)).sum();
    Stopped { cut_off, crashed: false }
}

//! What both daemons' loops have in common.

use {
    super::{error::StartError, operators::Replies},
    crate::{
        clock::Clock,
        http::Drain,
        peers::{self, Fate, PeerSender, Received},
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

/// Time between two ticks of a reducer. Coarser ones would show in the delay of a lease's renewal,
/// finer ones cost processor time while nothing happens.
pub(super) const TICK: Duration = Duration::from_millis(100);

/// Time between two readings of the VM list. The list itself lags by seconds.
const VMS_EVERY: Duration = Duration::from_secs(1);

/// Threads for calls that block. An entry has at most as many exchanges open as it holds shares:
/// at the target 9,200 tasks' servers over 17 entries are some 600 slots.
const POOL_THREADS: usize = 1_024;

/// The bits of a node's id. JSON readers keep 53 bits of a number.
const NODE_ID_BITS: u32 = 53;

/// What became of a daemon that was stopped.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stopped {
    /// Requests that were still in progress when the limit ran out, and were cut off.
    pub cut_off: usize,
    /// Whether the daemon's thread panicked: a fault of egretlb, which its log tells of.
    pub crashed: bool,
}

/// A running daemon.
pub struct Running {
    pub(super) node: NodeId,
    pub(super) callers: Option<SocketAddr>,
    pub(super) operators: SocketAddr,
    pub(super) peers: SocketAddr,
    pub(super) shutdown: Box<dyn Fn() + Send + Sync>,
    pub(super) drains: Vec<Drain>,
    pub(super) thread: JoinHandle<Stopped>,
    pub(super) _rt: Arc<Runtime>,
}

impl Running {
    /// The node's id.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Where an entry takes callers' requests.
    pub fn callers(&self) -> Option<SocketAddr> {
        self.callers
    }

    /// Where operators' calls are answered.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Where peers' messages are taken.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Asks the daemon to end gracefully, without waiting.
    pub fn shutdown(&self) {
        (self.shutdown)();
    }

    /// How many requests are in progress.
    pub fn in_progress(&self) -> usize {
        self.drains.iter().map(Drain::open).sum()
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

/// Draws a node's id: a restarted process is a new node, so the id must be new, too.
pub(super) fn draw_node() -> NodeId {
    NodeId(StdRng::from_os_rng().random::<u64>() >> (u64::BITS - NODE_ID_BITS))
}

/// A runtime for peers' calls, which are short and never block.
pub(super) fn peer_runtime() -> Result<Arc<Runtime>, StartError> {
    let rt = Builder::new_multi_thread().worker_threads(1).enable_all().build();
    rt.map(Arc::new).map_err(StartError::Threads)
}

/// Binds the peers' address and hands on what arrives there.
pub(super) fn listen_to_peers<E: From<NodeEvent> + Send + 'static>(
    rt: &Runtime,
    settings: &Settings,
    tx: Sender<E>,
) -> Result<SocketAddr, StartError> {
    let addr = settings.listen.peers;
    let take = move |Received { from, body }: Received| {
        if let Some(message) = PeerMessage::decode(&body) {
            // A send fails only while the process ends.
            let _ = tx.send(NodeEvent::Peer { from, message }.into());
        }
    };
    peers::listen(rt.handle(), addr.ip(), addr.port(), take).map_err(|error| StartError::Listen {
        field: "peers",
        addr,
        error,
    })
}

/// The peers of the settings, to be asked for a configuration while the log is out of reach.
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

/// Performs the effects that both daemons have.
pub(super) struct Io<E> {
    pub(super) clock: Clock,
    pub(super) pool: Pool,
    pub(super) log: Arc<dyn LogService>,
    pub(super) tx: Sender<E>,
    pub(super) replies: Replies,
    pub(super) metrics: CommonMetrics,
    peers: PeerSender,
    vm_list: VmListClient,
    vms_at: Time,
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
            pool: Pool::new(POOL_THREADS),
            log: Arc::new(HttpLog::new(settings.log_service.iter().copied(), node)),
            tx,
            replies,
            metrics,
            peers: PeerSender::new(rt.handle().clone(), node),
            vm_list: VmListClient::new(settings.vm_list),
            vms_at: Time::ZERO,
        }
    }

    /// Runs `job` where it may block, and takes what it returns as an event.
    pub(super) fn run(&self, job: impl FnOnce() -> E + Send + 'static) {
        let tx = self.tx.clone();
        // A send fails only while the process ends.
        self.pool.run(move || drop(tx.send(job())));
    }

    /// Reads the VM list when it is time. A list that can't be read stays as it was last.
    pub(super) fn poll_vms(&mut self, now: Time) {
        if now < self.vms_at {
            return;
        }
        self.vms_at = now + VMS_EVERY;
        let (list, tx) = (self.vm_list.clone(), self.tx.clone());
        self.pool.run(move || match list.read() {
            Ok(vms) => drop(tx.send(NodeEvent::Vms(vms).into())),
            Err(error) => log::debug!(error:% = error; "vm_list_unavailable"),
        });
    }

    /// Performs an effect; returns whether the process may end.
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
            NodeEffect::Reply { call, reply } => self.replies.give(call, reply),
            NodeEffect::Notice(notice) => note(&notice),
            NodeEffect::Exit => return true,
        }
        false
    }

    /// An append to be run where it may block.
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
        let undelivered = move |fate| {
            let delivery = match fate {
                Fate::NeverSent => Delivery::NeverSent,
                Fate::Unknown => Delivery::Unknown,
            };
            // A send fails only while the process ends.
            let _ = tx.send(NodeEvent::Undelivered { message, delivery }.into());
        };
        self.peers.send(to, body, Some(Box::new(undelivered)));
    }
}

fn append_result(outcome: &AppendOutcome) -> AppendResult {
    match outcome {
        AppendOutcome::Appended(_) => AppendResult::Appended,
        AppendOutcome::NotAppended(_) => AppendResult::NotAppended,
        AppendOutcome::Unknown => AppendResult::Unknown,
    }
}

/// Logs a notice. Its text is pairs of values without blanks, the first of which names the event.
fn note(notice: &Notice) {
    let level = if notice.is_alarm() {
        Level::Warn
    } else if notice.is_detail() {
        Level::Debug
    } else {
        Level::Info
    };
    let text = notice.to_string();
    let words = text.split_whitespace();
    let pairs: Vec<(&str, &str)> =
        words.map(|word| word.split_once('=').unwrap_or(("text", word))).collect();
    let event = pairs.first().map_or("notice", |(_, event)| *event);
    let pairs: Vec<(&str, &dyn Display)> =
        pairs.iter().skip(1).map(|(key, value)| (*key, value as &dyn Display)).collect();
    log_event(level, event, &pairs);
}

/// Receives until something happens, at most until `wake_at`.
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

/// Waits until the answers under way are written, at most `limit`.
pub(super) fn drain(drains: &[&Drain], limit: Duration) -> Stopped {
    let cut_off = drains.iter().map(|drain| drain.wait(limit)).sum();
    Stopped { cut_off, crashed: false }
}

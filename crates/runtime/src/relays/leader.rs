//! The leader's side: connections to relays, and routing of calls.

use {
    super::{FRAME_GAP, PROTOCOL, UNRESPONSIVE_AFTER, frames},
    crate::{
        clock::Clock,
        core::Core,
        platform::{Decoded, PaceCall, PollCall, StartCall, StopCall, Workers},
    },
    bytes::Bytes,
    compact_str::CompactString,
    egretlb_http::{Response, Upgrading},
    egretlb_relay::{
        Answer, Assignment, Call, CallNo, Candidate, CodecError, DeclinedOffers, Hello,
        LeaderCodec, RelayNo, Route, relays_wanted, standbys_wanted,
    },
    egretlb_types::{Epoch, Time},
    egretlb_workflow::{PaceResult, PollResult, StartResult, StopResult, WorkerId},
    futures::{SinkExt, StreamExt, future::LocalBoxFuture},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        fmt,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::{Notify, oneshot},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// How long after it is queued a call may arrive at its relay. Later ones aren't made, since the task may have been
/// cancelled.
const CALL_VALIDITY: Duration = Duration::from_millis(400);

/// Timeout of a call, in addition to the wait that it requests. Longer than the relay's timeout of its HTTP request
/// to the worker.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of the first frame of a connection.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of spare connections, which replace lost relays.
const MAX_SPARES: usize = 2;

/// Maximum interval between routing attempts while a call waits for the first relays.
const ROUTE_RETRY: Duration = Duration::from_millis(25);

/// Interval at which workers that left the directory are removed from the assignment and missing relays replaced.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Status codes of declined offers.
mod status {
    pub(super) const NOT_LEADER: u16 = 409;
    pub(super) const NOT_WANTED: u16 = 503;
}

/// Why a relay's connection ended.
#[derive(Clone, Copy, Debug)]
enum SessionEnd {
    /// The connection closed or failed.
    Closed,
    /// The relay sent no frame within [`UNRESPONSIVE_AFTER`].
    Unresponsive,
    /// The relay sent a frame that can't be decoded.
    Unreadable(CodecError),
    /// This process closed the connection: it removed the relay, or its term ended.
    ClosedByLeader,
}

impl fmt::Display for SessionEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SessionEnd::Closed => write!(f, "closed"),
            SessionEnd::Unresponsive => write!(f, "silent"),
            SessionEnd::Unreadable(error) => write!(f, "unreadable: {error}"),
            SessionEnd::ClosedByLeader => write!(f, "given up"),
        }
    }
}

/// A connection to a relay.
struct Session {
    number: RelayNo,
    name: CompactString,
    data_centre: CompactString,
    addr: Option<SocketAddr>,
    low_cpu: bool,
    codec: RefCell<LeaderCodec>,
    /// When the first call of the next frame was added.
    first_call_at: Cell<Time>,
    /// The relay's clock in milliseconds in its last frame, and when that was received.
    relay_clock: Cell<(u64, Time)>,
    /// Where to send the answers to calls in progress.
    answer_txs: RefCell<HashMap<CallNo, oneshot::Sender<Answer>>>,
    /// Whether the relay is in use; false for a spare.
    used: Cell<bool>,
    /// Notified when a frame is to be sent.
    send_frame: Notify,
    /// Notified when this process wants the connection closed.
    close_requested: Notify,
}

impl Session {
    /// Expiry of the calls in the next frame, on the relay's clock in milliseconds.
    fn until_ms(&self) -> u64 {
        let (clock_ms, received_at) = self.relay_clock.get();
        let span = self.first_call_at.get().since(received_at) + CALL_VALIDITY;
        clock_ms.saturating_add(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }

    fn add(&self, now: Time, worker: &WorkerId, addr: SocketAddr, call: Call) -> CallNo {
        let mut codec = self.codec.borrow_mut();
        if !codec.has_calls() {
            self.first_call_at.set(now);
        }
        let number = codec.add(worker, addr, call);
        self.send_frame.notify_one();
        number
    }
}

/// A relay in use, for the state dump.
pub(crate) struct UsedRelay {
    pub(crate) name: CompactString,
    pub(crate) data_centre: CompactString,
    /// Number of workers assigned to it.
    pub(crate) workers: usize,
}

/// The relays of one term.
struct Term {
    epoch: Epoch,
    assignment: Assignment,
    /// All connected relays, whether in use or spare.
    sessions: BTreeMap<RelayNo, Rc<Session>>,
    declined_offers: DeclinedOffers,
    min_fleet_vms: usize,
    next_number: u32,
}

impl Term {
    /// Estimated number of VMs: those that offer themselves, and this one.
    fn vm_count(&mut self, now: Time) -> usize {
        self.sessions.len() + self.declined_offers.count(now) + 1
    }

    /// Whether more VMs that are fit to lead should be connected, as standbys.
    fn wants_fit(&mut self, now: Time) -> bool {
        let wanted = standbys_wanted(self.vm_count(now), self.min_fleet_vms);
        let fit = self.sessions.values().filter(|session| !session.low_cpu).count();
        wanted > 0 && fit < wanted + MAX_SPARES
    }

    /// Puts spare relays into use until `wanted` are used; returns whether any was added.
    fn activate_spares(&mut self, now: Time, wanted: usize) -> bool {
        let mut added = false;
        for session in self.sessions.values().filter(|session| !session.used.get()) {
            if self.assignment.relay_count() >= wanted {
                break;
            }
            session.used.set(true);
            // Sends an empty frame, which tells the relay that it is in use.
            session.send_frame.notify_one();
            self.assignment.add_relay(now, session.number, session.data_centre.clone());
            log::info!(relay:% = session.name, used = self.assignment.relay_count(), wanted; "relay_used");
            added = true;
        }
        added
    }
}

/// The workers, called directly or through relays.
pub(crate) struct Relays {
    direct: Rc<dyn Workers>,
    core: Rc<RefCell<Core>>,
    term: RefCell<Option<Term>>,
    /// Notified when a new connection's relay is put into use.
    relay_added: Notify,
    clock: Clock,
}

impl Relays {
    pub(crate) fn new(direct: Rc<dyn Workers>, core: Rc<RefCell<Core>>, clock: Clock) -> Relays {
        Relays { direct, core, term: RefCell::default(), relay_added: Notify::new(), clock }
    }

    /// The workers, called directly.
    pub(crate) fn direct(&self) -> &dyn Workers {
        &*self.direct
    }

    /// Starts a term of this process as leader.
    pub(crate) fn begin_term(self: &Rc<Self>, epoch: Epoch, min_fleet_vms: usize) {
        self.end_term();
        let assignment = Assignment::new(self.clock.now());
        let term = Term {
            epoch,
            assignment,
            sessions: BTreeMap::new(),
            declined_offers: DeclinedOffers::default(),
            min_fleet_vms,
            next_number: 0,
        };
        *self.term.borrow_mut() = Some(term);
        spawn_local(Rc::clone(self).sweep_loop(epoch));
    }

    /// Ends the term and closes all connections to relays.
    pub(crate) fn end_term(&self) {
        let Some(term) = self.term.borrow_mut().take() else { return };
        for session in term.sessions.values() {
            session.close_requested.notify_one();
            session.answer_txs.borrow_mut().clear();
        }
    }

    /// Number of relays in use.
    pub(crate) fn count(&self) -> usize {
        self.term.borrow().as_ref().map_or(0, |term| term.assignment.relay_count())
    }

    /// The relays in use.
    pub(crate) fn used(&self) -> Vec<UsedRelay> {
        let term = self.term.borrow();
        let Some(term) = &*term else { return Vec::new() };
        let used = term.sessions.values().filter(|session| session.used.get());
        let to_used_relay = |session: &Rc<Session>| UsedRelay {
            name: session.name.clone(),
            data_centre: session.data_centre.clone(),
            workers: term.assignment.worker_count(session.number),
        };
        used.map(to_used_relay).collect()
    }

    /// The connected VMs, and the estimated number of all VMs.
    pub(crate) fn candidates(&self, now: Time) -> (Vec<Candidate>, usize) {
        let mut term = self.term.borrow_mut();
        let Some(term) = &mut *term else { return (Vec::new(), 0) };
        let to_candidate = |session: &Rc<Session>| {
            let (data_centre, low_cpu) = (session.data_centre.clone(), session.low_cpu);
            Some(Candidate { addr: session.addr?, data_centre, low_cpu })
        };
        let candidates = term.sessions.values().filter_map(to_candidate).collect();
        (candidates, term.vm_count(now))
    }

    /// Number of relays that the current directory requires.
    fn wanted_relays(&self) -> usize {
        relays_wanted(self.core.borrow().worker_count())
    }

    /// Answers a follower's offer to be a relay. Declines it if enough relays and spares are connected, also those that may
    /// be standbys, or if `upgrading` is `None`: the request doesn't ask for the protocol.
    pub(crate) fn answer_offer(
        self: &Rc<Self>,
        upgrading: Option<Upgrading>,
        low_cpu: bool,
    ) -> Response {
        // The number of workers isn't known yet: the follower offers itself again soon.
        if !self.core.borrow().knows_workers() {
            return Response::empty(status::NOT_LEADER);
        }
        let wanted = self.wanted_relays();
        let mut term = self.term.borrow_mut();
        let Some(term) = &mut *term else { return Response::empty(status::NOT_LEADER) };
        let spares = if wanted > 0 { MAX_SPARES } else { 0 };
        let now = self.clock.now();
        let has_seat = term.sessions.len() < wanted + spares || (!low_cpu && term.wants_fit(now));
        let Some(upgrading) = upgrading.filter(|_| wanted > 0 && has_seat) else {
            term.declined_offers.note(now);
            return Response::empty(status::NOT_WANTED);
        };
        spawn_local(Rc::clone(self).run_session(term.epoch, upgrading));
        Response::switching(PROTOCOL)
    }

    async fn run_session(self: Rc<Self>, epoch: Epoch, upgrading: Upgrading) {
        let Ok(stream) = upgrading.complete().await else { return };
        let mut frames = frames(stream);
        let Ok(Some(Ok(frame))) = timeout(HELLO_TIMEOUT, frames.next()).await else { return };
        let Ok(hello) = Hello::from_frame(&frame) else { return };
        let Some(session) = self.register(epoch, hello) else { return };
        let end = tokio::select! {
            end = self.exchange(&session, frames, epoch) => end,
            () = session.close_requested.notified() => SessionEnd::ClosedByLeader,
        };
        self.close(epoch, &session, end);
    }

    fn register(&self, epoch: Epoch, hello: Hello) -> Option<Rc<Session>> {
        let now = self.clock.now();
        let wanted = self.wanted_relays();
        let mut term = self.term.borrow_mut();
        let term = term.as_mut().filter(|term| term.epoch == epoch)?;
        let number = RelayNo(term.next_number);
        term.next_number += 1;
        let session = Rc::new(Session {
            number,
            name: hello.name,
            data_centre: hello.data_centre,
            addr: hello.addr,
            low_cpu: hello.low_cpu,
            codec: RefCell::default(),
            first_call_at: Cell::new(now),
            relay_clock: Cell::new((hello.clock_ms, now)),
            answer_txs: RefCell::default(),
            used: Cell::new(false),
            send_frame: Notify::new(),
            close_requested: Notify::new(),
        });
        term.sessions.insert(number, Rc::clone(&session));
        if term.activate_spares(now, wanted) {
            self.relay_added.notify_waiters();
        }
        Some(session)
    }

    async fn exchange(&self, session: &Session, frames: super::Frames, epoch: Epoch) -> SessionEnd {
        let (mut sink, mut source) = frames.split();
        let write = async {
            loop {
                session.send_frame.notified().await;
                let until_ms = session.until_ms();
                let frame = session.codec.borrow_mut().next_frame(epoch, until_ms);
                if sink.send(Bytes::from(frame)).await.is_err() {
                    return SessionEnd::Closed;
                }
                sleep(FRAME_GAP).await;
            }
        };
        let read = async {
            // Set once a frame is received or a timeout finds the relay in use; the next timeout then ends the
            // connection. A spare relay sends no frames.
            let mut frames_due_since = None;
            loop {
                let frame = match timeout(UNRESPONSIVE_AFTER, source.next()).await {
                    Ok(Some(Ok(frame))) => frame,
                    Ok(_) => return SessionEnd::Closed,
                    Err(_) if frames_due_since.is_some() => return SessionEnd::Unresponsive,
                    Err(_) => {
                        frames_due_since = session.used.get().then(|| self.clock.now());
                        continue;
                    }
                };
                frames_due_since = Some(self.clock.now());
                if let Err(error) = self.receive_answers(session, &frame) {
                    return SessionEnd::Unreadable(error);
                }
            }
        };
        tokio::select! {
            end = write => end,
            end = read => end,
        }
    }

    fn receive_answers(&self, session: &Session, frame: &[u8]) -> Result<(), CodecError> {
        let (clock_ms, answers) = session.codec.borrow_mut().read(frame)?;
        session.relay_clock.set((clock_ms, self.clock.now()));
        let mut answer_txs = session.answer_txs.borrow_mut();
        for (number, answer) in answers {
            if let Some(tx) = answer_txs.remove(&number) {
                // Fails if the call has timed out.
                let _ = tx.send(answer);
            }
        }
        Ok(())
    }

    fn close(&self, epoch: Epoch, session: &Session, end: SessionEnd) {
        log::info!(relay:% = session.name, end:% = end; "relay_lost");
        session.answer_txs.borrow_mut().clear();
        let now = self.clock.now();
        let wanted = self.wanted_relays();
        let mut term = self.term.borrow_mut();
        let Some(term) = term.as_mut().filter(|term| term.epoch == epoch) else { return };
        term.sessions.remove(&session.number);
        term.assignment.remove_relay(session.number);
        term.activate_spares(now, wanted);
    }

    async fn sweep_loop(self: Rc<Self>, epoch: Epoch) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            let wanted = self.wanted_relays();
            let core = self.core.borrow();
            let mut term = self.term.borrow_mut();
            let Some(term) = term.as_mut().filter(|term| term.epoch == epoch) else { return };
            term.assignment.retain_workers(|id| core.directory.contains_key(id));
            term.activate_spares(self.clock.now(), wanted);
        }
    }

    /// The relay for a worker, after a wait for the first relays of the term. `None` if the worker is called directly
    /// or the term has ended.
    async fn relay_of(&self, worker: &WorkerId) -> Option<Rc<Session>> {
        loop {
            let relay_added = self.relay_added.notified();
            {
                let core = self.core.borrow();
                let data_centre = core.directory.get(worker).map(|info| info.data_centre.clone());
                let mut term = self.term.borrow_mut();
                let term = term.as_mut()?;
                let now = self.clock.now();
                let (data_centre, worker_total) =
                    (data_centre.unwrap_or_default(), core.worker_count());
                match term.assignment.route(now, worker, &data_centre, worker_total) {
                    Route::Direct => return None,
                    Route::Via(number) => return term.sessions.get(&number).cloned(),
                    Route::Wait => {}
                }
            }
            // The route is determined again in either case.
            let _ = timeout(ROUTE_RETRY, relay_added).await;
        }
    }

    /// Makes a call through a relay. Returns the call as an error if the worker is to be called directly.
    async fn relay_call(
        &self,
        worker: &WorkerId,
        addr: SocketAddr,
        call: Call,
    ) -> Result<Answer, Call> {
        let session = self.relay_of(worker).await;
        // The authority may have expired during the wait or a pause of the process.
        if self.core.borrow().leadership.authority(self.clock.now()).is_none() {
            return Ok(call.withheld_answer());
        }
        let Some(session) = session else { return Err(call) };
        // The relay will call this worker from now on.
        if !session.codec.borrow().has_worker(worker) {
            self.direct.close_idle(addr);
        }
        let requested_wait = match &call {
            Call::Poll { wait_ms, .. } => Duration::from_millis(*wait_ms),
            Call::Start { .. } | Call::Stop { .. } | Call::Pace { .. } => Duration::ZERO,
        };
        let lost_answer = call.lost_answer();
        let (tx, rx) = oneshot::channel();
        let number = session.add(self.clock.now(), worker, addr, call);
        session.answer_txs.borrow_mut().insert(number, tx);
        let answer = match timeout(requested_wait + ANSWER_TIMEOUT, rx).await {
            Ok(Ok(answer)) => answer,
            // The relay is lost; this isn't counted against the worker.
            Ok(Err(_)) => return Ok(lost_answer),
            Err(_) => {
                session.answer_txs.borrow_mut().remove(&number);
                lost_answer
            }
        };
        let removal = self.term.borrow_mut().as_mut().and_then(|term| {
            let now = self.clock.now();
            term.assignment.record_call(now, session.number, worker, answer.is_from_worker())
        });
        if let Some(removal) = removal {
            log::warn!(relay:% = session.name, why:? = removal; "relay_given_up");
            session.close_requested.notify_one();
        }
        Ok(answer)
    }
}

impl Workers for Relays {
    fn poll(&self, call: PollCall) -> LocalBoxFuture<'_, Decoded<PollResult>> {
        Box::pin(async move {
            let PollCall { recorded, until_ms, wait_ms, .. } = call;
            let relayed = Call::Poll { recorded, until_ms, wait_ms };
            match self.relay_call(&call.worker, call.addr, relayed).await {
                Ok(Answer::Poll(result)) => result.into(),
                Ok(_) => PollResult::Failed.into(),
                Err(_) => self.direct.poll(call).await,
            }
        })
    }

    fn start<'a>(&'a self, call: StartCall<'a>) -> LocalBoxFuture<'a, StartResult> {
        Box::pin(async move {
            let StartCall { task, run, until_ms, .. } = call;
            let relayed = Call::Start {
                task,
                run,
                payload: call.payload.into(),
                until_ms,
                checkpoint: call.checkpoint.into(),
                ticket: call.ticket.into(),
                data_centre: call.data_centre.into(),
            };
            match self.relay_call(call.worker, call.addr, relayed).await {
                Ok(Answer::Start(result)) => result,
                Ok(_) => StartResult::Unknown,
                Err(_) => self.direct.start(call).await,
            }
        })
    }

    fn stop(&self, call: StopCall) -> LocalBoxFuture<'_, StopResult> {
        Box::pin(async move {
            let relayed = Call::Stop { task: call.task, run: call.run };
            match self.relay_call(&call.worker, call.addr, relayed).await {
                Ok(Answer::Stop(result)) => result,
                Ok(_) => StopResult::Unknown,
                Err(_) => self.direct.stop(call).await,
            }
        })
    }

    fn pace(&self, call: PaceCall) -> LocalBoxFuture<'_, PaceResult> {
        Box::pin(async move {
            let PaceCall { task, run, percent, .. } = call;
            let relayed = Call::Pace { task, run, percent };
            match self.relay_call(&call.worker, call.addr, relayed).await {
                Ok(Answer::Pace(result)) => result,
                Ok(_) => PaceResult::Unknown,
                Err(_) => self.direct.pace(call).await,
            }
        })
    }

    fn close_idle(&self, addr: SocketAddr) {
        self.direct.close_idle(addr);
    }
}

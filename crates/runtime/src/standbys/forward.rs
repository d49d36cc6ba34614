//! Forwarding of clients' records and questions to standbys, and a standby's answers.

use {
    crate::{
        admission::Admitted,
        append::Stored,
        clients::{self, Lookup},
        clock::Clock,
        node::Node,
        peers::Forwarded,
    },
    bytes::Bytes,
    egretlb_http::{Answer, CallError, Client, Request, Response},
    egretlb_types::Time,
    egretlb_workflow::{Key, Outcome, Record, WorkflowId, WorkflowState},
    http::{Method, header::RETRY_AFTER},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::time::sleep,
};

/// Path for clients' records.
const STORE_PATH: &str = "/store";

/// Path for the state of a workflow.
const WORKFLOW_PATH: &str = "/workflow";

/// Path for the number of pending workflows of a route.
const PENDING_PATH: &str = "/pending";

/// Path for checks whether a standby answers.
const CHECK_PATH: &str = "/standby";

/// How long a VM waits for a record to be stored: longer than a standby waits for the leader.
const STORE_TIMEOUT: Duration = Duration::from_millis(2_400);

/// How long a VM waits for an answer about a workflow: as long as a standby takes to catch up, and a hop.
const ASK_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a standby takes at most to read the records past a question.
const MAX_CATCH_UP: Duration = Duration::from_millis(600);

/// Interval between checks of a standby that isn't asked anything else.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of standbys that are asked one question in turn.
const MAX_TRIES: usize = 2;

/// Maximum number of idle connections to a standby.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// Time without an answer of any standby after which a VM follows the records itself; a change of the leader doesn't
/// interrupt the answers.
const SILENT_AFTER: Duration = Duration::from_millis(1_500);

/// How long a VM follows the records at least, since loading them is expensive.
const MIN_FOLLOWING: Duration = Duration::from_secs(5);

/// Status codes of a standby's answers.
mod status {
    pub(super) const OK: u16 = 200;
    pub(super) const BAD_REQUEST: u16 = 400;
    pub(super) const GONE: u16 = 410;
    pub(super) const REFUSED: u16 = 429;
    pub(super) const UNAVAILABLE: u16 = 503;
    pub(super) const TIMEOUT: u16 = 504;
}

/// What a VM knows of the standbys that it asks.
#[derive(Debug)]
pub(crate) struct Forwarding {
    /// When a standby last answered in any way, or the first announcement was read.
    alive_at: Cell<Option<Time>>,
    /// When a standby with current records last answered.
    served_at: Cell<Option<Time>>,
    /// Since when this VM follows the records although there are standbys.
    following_since: Cell<Option<Time>>,
    /// Index of the standby that is asked first.
    preferred: Cell<usize>,
    clients: RefCell<HashMap<SocketAddr, Client>>,
    /// Additional time without an answer until this VM follows the records.
    patience: Duration,
}

impl Forwarding {
    /// `seed` spreads the VMs over the standbys. VMs with a high `patience` leave it to others to take over.
    pub(crate) fn new(seed: u64, patience: Duration) -> Forwarding {
        Forwarding {
            alive_at: Cell::new(None),
            served_at: Cell::new(None),
            following_since: Cell::new(None),
            preferred: Cell::new(usize::try_from(seed % 1_000_003).unwrap_or(0)),
            clients: RefCell::default(),
            patience,
        }
    }

    /// Decides whether standbys answer, so that this VM needn't follow the records, and notes since when it follows them.
    /// Standbys also answer while the store is away: if all VMs loaded the records at its return, nobody would get them in
    /// time.
    pub(crate) fn update_served(&self, now: Time) -> bool {
        let last = self.alive_at.get().unwrap_or_else(|| {
            self.alive_at.set(Some(now));
            now
        });
        let answered = now.since(last) < SILENT_AFTER + self.patience;
        let following_since = match (answered, self.following_since.get()) {
            (true, Some(since)) if now.since(since) >= MIN_FOLLOWING => None,
            (true, since) => since,
            (false, since) => Some(since.unwrap_or(now)),
        };
        self.following_since.set(following_since);
        following_since.is_none()
    }

    /// Whether a standby with current records has answered recently.
    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        self.served_at.get().is_some_and(|at| now.since(at) < SILENT_AFTER)
    }

    fn client(&self, addr: SocketAddr) -> Client {
        let mut clients = self.clients.borrow_mut();
        clients.entry(addr).or_insert_with(|| Client::new(addr, MAX_IDLE_CONNECTIONS)).clone()
    }

    /// Closes the connections to VMs that aren't standbys any more.
    fn retain(&self, standbys: &[SocketAddr]) {
        self.clients.borrow_mut().retain(|addr, _| standbys.contains(addr));
    }

    /// Sends a request to the preferred standby.
    async fn call(
        &self,
        standbys: &[SocketAddr],
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        let Some(addr) = standbys.get(self.preferred.get() % standbys.len().max(1)) else {
            return Err(CallError::NotSent);
        };
        let answer = self.client(*addr).call(Method::POST, path, &[], body, limit).await;
        let now = Clock.now();
        match &answer {
            Ok(answer) if answer.status.as_u16() == status::UNAVAILABLE => {
                self.alive_at.set(Some(now));
                self.prefer_next();
            }
            Ok(_) => {
                self.alive_at.set(Some(now));
                self.served_at.set(Some(now));
            }
            Err(_) => self.prefer_next(),
        }
        answer
    }

    fn prefer_next(&self) {
        self.preferred.set(self.preferred.get().wrapping_add(1));
    }
}

impl Node {
    /// The standbys to ask; `None` if this process follows the records.
    pub(crate) fn standbys(&self) -> Option<Vec<SocketAddr>> {
        if self.follows_records() {
            return None;
        }
        Some(self.core().announcement.as_ref()?.standbys.clone())
    }

    /// Whether this process follows the records: it may lead, is a standby, or no standby answers.
    pub(crate) fn follows_records(&self) -> bool {
        let now = self.clock().now();
        let core = self.core();
        let Some(announcement) = &core.announcement else { return core.terms_loaded };
        announcement.standbys.is_empty()
            || core.leadership.addr().is_some_and(|own| {
                announcement.standbys.contains(&own) || announcement.leader == own
            })
            || self.needs_directory()
            || !self.forwarding.update_served(now)
    }

    /// Whether this process can serve clients.
    pub(crate) fn is_ready(&self, now: Time) -> bool {
        let standbys_fresh = !self.follows_records() && self.forwarding.is_fresh(now);
        self.core().is_ready(now, standbys_fresh)
    }

    /// Forwards a client's record to a standby.
    pub(crate) async fn forward_to_standby(
        &self,
        standbys: &[SocketAddr],
        record: &Record,
    ) -> Forwarded {
        let mut outcome = Forwarded::NotAccepted;
        for _ in 0..MAX_TRIES {
            let body = Bytes::from(record.to_bytes());
            let call = self.forwarding.call(standbys, STORE_PATH, body, STORE_TIMEOUT);
            match call.await {
                Ok(answer) if answer.status.as_u16() == status::OK => {
                    return Forwarded::Settled(Stored::Yes);
                }
                Ok(answer) if answer.status.as_u16() == status::UNAVAILABLE => {
                    outcome = Forwarded::Settled(Stored::No);
                }
                Ok(answer) if answer.status.as_u16() == status::REFUSED => {
                    let retry_after_secs = retry_after_secs(&answer);
                    return Forwarded::Settled(Stored::Refused { retry_after_secs });
                }
                Ok(_) | Err(CallError::Lost | CallError::TimedOut) => return Forwarded::Unknown,
                Err(CallError::NotSent | CallError::Refused) => {}
            }
        }
        outcome
    }

    /// Asks a standby for the state of a workflow.
    pub(crate) async fn ask_state(&self, standbys: &[SocketAddr], id: WorkflowId) -> Lookup {
        for _ in 0..MAX_TRIES {
            let body = Bytes::from(id.to_string());
            let call = self.forwarding.call(standbys, WORKFLOW_PATH, body, ASK_TIMEOUT);
            let Ok(answer) = call.await else { continue };
            match (answer.status.as_u16(), decode_state(&answer.body)) {
                (status::OK, Some(state)) => return Lookup::State(state),
                (status::GONE, _) => return Lookup::Absent,
                _ => {}
            }
        }
        Lookup::Unknown
    }

    /// Asks a standby for the number of pending workflows of a route.
    pub(crate) async fn ask_pending(&self, standbys: &[SocketAddr], route: &str) -> Option<usize> {
        for _ in 0..MAX_TRIES {
            let body = Bytes::copy_from_slice(route.as_bytes());
            let call = self.forwarding.call(standbys, PENDING_PATH, body, ASK_TIMEOUT);
            let Ok(answer) = call.await else { continue };
            if answer.status.as_u16() == status::OK {
                return std::str::from_utf8(&answer.body).ok()?.parse().ok();
            }
        }
        None
    }
}

/// Checks now and then whether a standby answers, until the process ends.
pub(crate) async fn check_standbys(node: Rc<Node>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let standbys = match &node.core().announcement {
            Some(announcement) => announcement.standbys.clone(),
            None => continue,
        };
        node.forwarding.retain(&standbys);
        let own = node.core().leadership.addr();
        if own.is_some_and(|own| standbys.contains(&own)) || node.leads() {
            continue;
        }
        let recent = |at| node.clock().now().since(at) < CHECK_INTERVAL;
        if !node.forwarding.served_at.get().is_some_and(recent) {
            let _ = node.forwarding.call(&standbys, CHECK_PATH, Bytes::new(), CHECK_TIMEOUT).await;
        }
    }
}

/// Answers another VM's question as a standby; `None` if the path isn't one of these.
pub(crate) async fn answer(node: &Rc<Node>, req: &Request) -> Option<Response> {
    let body = req.body.clone().unwrap_or_default();
    let known = [STORE_PATH, WORKFLOW_PATH, PENDING_PATH, CHECK_PATH];
    if !known.contains(&req.path.as_str()) {
        return None;
    }
    let now = node.clock().now();
    // Questions aren't passed on, so that they don't go round in circles.
    if !node.core().is_current(now) {
        return Some(Response::empty(status::UNAVAILABLE));
    }
    Some(match req.path.as_str() {
        STORE_PATH => match Record::from_bytes(&body) {
            Some(record) => store(node, record, now).await,
            None => Response::empty(status::BAD_REQUEST),
        },
        WORKFLOW_PATH => match parse_id(&body) {
            Some(id) => show(node, id, now).await,
            None => Response::empty(status::BAD_REQUEST),
        },
        PENDING_PATH => {
            let route = String::from_utf8_lossy(&body);
            let count = node.core().ledger.pending(&route);
            Response { body: Bytes::from(count.to_string()), ..Response::empty(status::OK) }
        }
        _ => Response::empty(status::OK),
    })
}

/// Stores a client's record for another VM, unless it is a submission that is refused.
async fn store(node: &Rc<Node>, record: Record, arrived: Time) -> Response {
    let submission = if node.core().limits.policies.admission { record.submission() } else { None };
    if let Some((id, submission)) = &submission {
        match node.admit(*id, submission, arrived).await {
            Admitted::Yes => {}
            Admitted::Known => return Response::empty(status::OK),
            Admitted::No { retry_after_secs } => return refused(retry_after_secs),
        }
    }
    if let Some((id, _)) = &submission {
        node.note_attempt(*id);
    }
    let stored = match Key::from_bytes(&record.key) {
        Ok(Key::Cancel(id)) if node.core().ledger.get(id).is_none() => {
            node.store_early_cancellation(id).await
        }
        _ => node.store_record(record).await,
    };
    if let (Stored::No | Stored::Refused { .. }, Some((id, _))) = (stored, &submission) {
        node.note_not_stored(*id);
    }
    match stored {
        Stored::Yes => Response::empty(status::OK),
        Stored::No => Response::empty(status::UNAVAILABLE),
        Stored::Unknown => Response::empty(status::TIMEOUT),
        // This VM asks standbys itself since a moment ago.
        Stored::Refused { retry_after_secs } => refused(retry_after_secs),
    }
}

fn refused(retry_after_secs: u32) -> Response {
    Response { retry_after: Some(retry_after_secs), ..Response::empty(status::REFUSED) }
}

/// The value of `Retry-After` in a standby's refusal.
fn retry_after_secs(answer: &Answer) -> u32 {
    let value = answer.headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok());
    value.and_then(|value| value.parse().ok()).unwrap_or(1)
}

async fn show(node: &Rc<Node>, id: WorkflowId, arrived: Time) -> Response {
    match clients::look_up(node, id, arrived, MAX_CATCH_UP).await {
        Lookup::State(state) => {
            Response { body: encode_state(state), ..Response::empty(status::OK) }
        }
        Lookup::Absent => Response::empty(status::GONE),
        Lookup::Unknown => Response::empty(status::UNAVAILABLE),
    }
}

fn parse_id(body: &[u8]) -> Option<WorkflowId> {
    std::str::from_utf8(body).ok()?.parse().ok()
}

/// The states in the order of their codes.
const STATES: [WorkflowState; 5] = [
    WorkflowState::Queued,
    WorkflowState::Running,
    WorkflowState::Ended(Outcome::Completed),
    WorkflowState::Ended(Outcome::Failed),
    WorkflowState::Ended(Outcome::Cancelled),
];

fn encode_state(state: WorkflowState) -> Bytes {
    let code = STATES.iter().position(|other| *other == state).unwrap_or_default();
    Bytes::from(code.to_string())
}

fn decode_state(body: &[u8]) -> Option<WorkflowState> {
    let code: usize = std::str::from_utf8(body).ok()?.parse().ok()?;
    STATES.get(code).copied()
}

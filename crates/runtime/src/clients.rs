//! The HTTP interface for clients.

use {
    crate::{admission::Admitted, append::Stored, configuration::NoRoute, node::Node},
    egretlb_http::{Request, Response},
    egretlb_telemetry::Answered,
    egretlb_types::Time,
    egretlb_workflow::{Key, Record, Route, Submission, WorkflowId, WorkflowState},
    http::Method,
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// `Retry-After` of responses with status 503. By then this process has caught up, or the load balancer uses
/// another one.
const RETRY_AFTER_SECS: u32 = 1;

/// Maximum time that a request for an unknown workflow waits until the records are read past its arrival. Another
/// process may just have accepted the workflow.
const MAX_CATCH_UP: Duration = Duration::from_millis(900);

/// Maximum share of the client's deadline for catching up, in percent.
const CATCH_UP_PERCENT: u32 = 60;

/// HTTP status codes.
mod status {
    pub(super) const OK: u16 = 200;
    pub(super) const BAD_REQUEST: u16 = 400;
    pub(super) const NOT_FOUND: u16 = 404;
    pub(super) const METHOD_NOT_ALLOWED: u16 = 405;
    pub(super) const GONE: u16 = 410;
    pub(super) const TOO_LARGE: u16 = 413;
    pub(super) const REFUSED: u16 = 429;
    pub(super) const UNAVAILABLE: u16 = 503;
    pub(super) const TIMEOUT: u16 = 504;
}

fn unavailable() -> Response {
    Response { retry_after: Some(RETRY_AFTER_SECS), ..Response::empty(status::UNAVAILABLE) }
}

/// The answer to a submission that is refused by the estimated delay.
fn refused(retry_after_secs: u32) -> Response {
    Response { retry_after: Some(retry_after_secs), ..Response::empty(status::REFUSED) }
}

/// Answers a client's request.
pub(crate) async fn answer(node: Rc<Node>, req: Request) -> Response {
    let arrived = node.clock().now();
    let response = route_request(&node, arrived, &req).await;
    let answered = match response.status {
        status::OK | status::GONE => Answered::Done,
        status::UNAVAILABLE | status::REFUSED => Answered::Refused,
        status::TIMEOUT => Answered::Unknown,
        _ => Answered::Wrong,
    };
    node.metrics.answered(answered, node.clock().now().since(arrived));
    response
}

async fn route_request(node: &Rc<Node>, arrived: Time, req: &Request) -> Response {
    let (route, is_current) = {
        let configuration = &node.core().configuration;
        let route = configuration.find(arrived, &req.host, &req.path).cloned();
        (route, configuration.is_current(arrived))
    };
    let route = match route {
        Ok(route) => route,
        Err(NoRoute::Absent) => return Response::empty(status::NOT_FOUND),
        Err(NoRoute::Unknown) => return answer_without_route(node, arrived, req).await,
    };
    let id_text = &req.path[route.prefix.len()..];
    if id_text.is_empty() && req.method == Method::GET {
        return if is_current { pending(node, &route).await } else { unavailable() };
    }
    let id: WorkflowId = match id_text.parse() {
        Ok(id) => id,
        Err(error) => return error_response(node, status::BAD_REQUEST, &error),
    };
    match req.method {
        Method::POST => submit(node, &route, (arrived, is_current), id, req).await,
        Method::GET => show(node, id, arrived, req).await,
        Method::DELETE => cancel(node, id, arrived, req).await,
        _ => Response::empty(status::METHOD_NOT_ALLOWED),
    }
}

/// Answers a request whose route isn't known. What is known of a stored workflow doesn't depend on its route.
async fn answer_without_route(node: &Rc<Node>, arrived: Time, req: &Request) -> Response {
    let id_text = req.path.rsplit('/').next().unwrap_or_default();
    let id: Option<WorkflowId> = id_text.parse().ok();
    let Some(id) = id.filter(|_| node.core().configuration.version().is_some()) else {
        return unavailable();
    };
    match (&req.method, find(node, id, arrived, req).await) {
        (&Method::POST, Lookup::State(_)) => Response::empty(status::OK),
        (&Method::GET, Lookup::State(state)) => state_response(node, state),
        (&Method::DELETE, Lookup::State(state)) => cancel_stored(node, id, state).await,
        _ => unavailable(),
    }
}

fn state_response(node: &Node, state: WorkflowState) -> Response {
    Response { body: node.formats().state(state), ..Response::empty(status::OK) }
}

fn error_response(node: &Node, status: u16, error: &dyn std::fmt::Display) -> Response {
    let body = node.formats().error(&error.to_string());
    Response { body, ..Response::empty(status) }
}

async fn pending(node: &Node, route: &Route) -> Response {
    let count = match node.standbys() {
        Some(standbys) => node.ask_pending(&standbys, &route.name).await,
        None => {
            let core = node.core();
            core.is_current(node.clock().now()).then(|| core.ledger.pending(&route.name))
        }
    };
    let Some(count) = count else { return unavailable() };
    Response { body: node.formats().pending(count), ..Response::empty(status::OK) }
}

/// Stores a workflow. If the configuration may be outdated, only one that is stored already is confirmed: the route may have
/// been removed. Requests about a known workflow don't depend on it.
async fn submit(
    node: &Rc<Node>,
    route: &Route,
    (arrived, is_current): (Time, bool),
    id: WorkflowId,
    req: &Request,
) -> Response {
    let Some(body) = &req.body else { return Response::empty(status::TOO_LARGE) };
    let workflow =
        match node.formats().workflow(body).and_then(|parsed| parsed.check().map(|()| parsed)) {
            Ok(workflow) => workflow,
            Err(error) => return error_response(node, status::BAD_REQUEST, &error),
        };
    let is_stored = {
        let core = node.core();
        core.ledger.get(id).is_some() || core.accepted.contains(&id)
    };
    if is_stored {
        return Response::empty(status::OK);
    }
    if !is_current {
        return unavailable();
    }
    let submission = Submission {
        route: route.name.clone(),
        service: route.service.clone(),
        priority: route.priority,
        max_attempts: route.max_attempts,
        stretch_permille: route.stretch_permille,
        slack_ms: route.slack_ms,
        advice: route.advice,
        accepted_ms: node.clock().wall_ms(),
        workflow,
    };
    // A VM that asks standbys leaves the decision to them.
    if node.standbys().is_none() {
        match node.admit(id, &submission, arrived).await {
            Admitted::Yes => {}
            Admitted::Known => return Response::empty(status::OK),
            Admitted::No { retry_after_secs } => return refused(retry_after_secs),
        }
    }
    store_submission(node, id, &submission).await
}

/// Stores a submission that may be taken.
async fn store_submission(node: &Rc<Node>, id: WorkflowId, submission: &Submission) -> Response {
    let in_doubt = node.is_in_doubt(id);
    node.note_attempt(id);
    let mut stored = node.store_record(Record::new(Key::Submission(id), submission)).await;
    if let Stored::Refused { retry_after_secs } = stored {
        if !in_doubt {
            node.note_not_stored(id);
            return refused(retry_after_secs);
        }
        // An earlier attempt may have stored it.
        stored = Stored::Unknown;
    }
    log::info!(workflow:% = id, route:% = submission.route, stored:? = stored; "submitted");
    match stored {
        Stored::Yes => {
            node.mark_accepted(id);
            Response::empty(status::OK)
        }
        // The workflow will never run.
        Stored::No | Stored::Refused { .. } => {
            node.note_not_stored(id);
            unavailable()
        }
        // The workflow may run; the client retries with the same id.
        Stored::Unknown => Response::empty(status::TIMEOUT),
    }
}

async fn show(node: &Rc<Node>, id: WorkflowId, arrived: Time, req: &Request) -> Response {
    match find(node, id, arrived, req).await {
        Lookup::State(state) => state_response(node, state),
        // The outcome of a submission that this process has sent may be unknown.
        Lookup::Absent if node.is_in_doubt(id) => unavailable(),
        Lookup::Absent => Response::empty(status::GONE),
        Lookup::Unknown => unavailable(),
    }
}

async fn cancel(node: &Rc<Node>, id: WorkflowId, arrived: Time, req: &Request) -> Response {
    match find(node, id, arrived, req).await {
        Lookup::State(state) => cancel_stored(node, id, state).await,
        Lookup::Absent => {
            let stored = node.store_early_cancellation(id).await;
            cancel_response(id, stored, status::GONE)
        }
        Lookup::Unknown => unavailable(),
    }
}

/// Cancels a workflow in a state, unless it has ended.
async fn cancel_stored(node: &Rc<Node>, id: WorkflowId, state: WorkflowState) -> Response {
    if let WorkflowState::Ended(_) = state {
        return Response::empty(status::OK);
    }
    let stored = node.store_record(Record::new(Key::Cancel(id), &true)).await;
    cancel_response(id, stored, status::OK)
}

/// The response to a cancellation; `success` is its status if the cancellation is stored.
fn cancel_response(id: WorkflowId, stored: Stored, success: u16) -> Response {
    let early = success == status::GONE;
    log::info!(workflow:% = id, early, stored:? = stored; "cancelled");
    match stored {
        Stored::Yes => Response::empty(success),
        Stored::No | Stored::Refused { .. } => unavailable(),
        Stored::Unknown => Response::empty(status::TIMEOUT),
    }
}

/// The result of looking up a workflow.
pub(crate) enum Lookup {
    State(WorkflowState),
    /// It doesn't exist: the records are read past the request's arrival.
    Absent,
    /// The records haven't been read past the request's arrival.
    Unknown,
}

/// Looks up a workflow, or asks a standby for it.
async fn find(node: &Rc<Node>, id: WorkflowId, arrived: Time, req: &Request) -> Lookup {
    if let Some(standbys) = node.standbys() {
        return node.ask_state(&standbys, id).await;
    }
    let deadline = node.formats().deadline(&req.headers);
    let catch_up = deadline
        .map_or(MAX_CATCH_UP, |deadline| MAX_CATCH_UP.min(deadline * CATCH_UP_PERCENT / 100));
    look_up(node, id, arrived, catch_up).await
}

/// Looks up a workflow, after a wait of at most `catch_up` until the records are read past `arrived` if it isn't found.
pub(crate) async fn look_up(
    node: &Rc<Node>,
    id: WorkflowId,
    arrived: Time,
    catch_up: Duration,
) -> Lookup {
    let lookup = node.watch.find_stored(arrived, |core| {
        if let Some(entry) = core.ledger.get(id) {
            return Some(Lookup::State(entry.state()));
        }
        core.accepted.contains(&id).then_some(Lookup::State(WorkflowState::Queued))
    });
    let found = timeout(catch_up, lookup).await;
    found.map_or(Lookup::Unknown, |found| found.unwrap_or(Lookup::Absent))
}

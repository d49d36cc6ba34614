//! The operators' HTTP interface.

use {
    super::error::StartError,
    crate::http::{BadRequest, HttpServer, read_body, respond, respond_json},
    compact_str::CompactString,
    crossbeam::channel::{self, Sender},
    egretlb_api::{
        ApiError, CONFIG, HEALTHZ, JOBS, MAX_COMMAND_BYTES, MAX_TASKS_PER_JOB, METRICS, READYZ,
        STATE, STATUS, SubmitJob, job_of_path,
    },
    egretlb_config::Settings,
    egretlb_node::{CallTicket, NodeEvent, OperatorReply, OperatorRequest},
    egretlb_telemetry::METRICS_CONTENT_TYPE,
    oxhttp::model::{
        Body, HeaderValue, Method, Request, Response, StatusCode, header::CONTENT_TYPE,
    },
    serde::de::DeserializeOwned,
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// How long a call waits for the reducer, which replies within 5 s unless the process hangs.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a request body; a configuration of thousands of classes fits.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 64;

/// How long a connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Calls that wait for a reply.
#[derive(Clone, Default)]
pub(super) struct Replies {
    next: Arc<AtomicU64>,
    waiting: Arc<Mutex<HashMap<CallTicket, Sender<OperatorReply>>>>,
}

impl Replies {
    /// Delivers a reply to the waiting call.
    pub(super) fn deliver(&self, call: CallTicket, reply: OperatorReply) {
        if let Some(tx) = self.lock().remove(&call) {
            // The receiver may have stopped waiting.
            let _ = tx.send(reply);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<CallTicket, Sender<OperatorReply>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request to the reducer and waits for its reply.
    fn request<E: From<NodeEvent>>(
        &self,
        tx: &Sender<E>,
        request: OperatorRequest,
    ) -> Option<OperatorReply> {
        let call = CallTicket(self.next.fetch_add(1, Ordering::Relaxed));
        let (reply_tx, reply_rx) = channel::bounded(1);
        self.lock().insert(call, reply_tx);
        let sent = tx.send(NodeEvent::Operator { call, request }.into());
        let reply = sent.ok().and_then(|()| reply_rx.recv_timeout(REPLY_TIMEOUT).ok());
        self.lock().remove(&call);
        reply
    }
}

/// Serves the operators' interface of one daemon.
pub(super) fn serve<E: From<NodeEvent> + Send + 'static>(
    settings: &Settings,
    tx: Sender<E>,
    replies: Replies,
    render_metrics: impl Fn() -> String + Send + Sync + 'static,
) -> Result<HttpServer, StartError> {
    let addr = settings.listen.operators;
    let handler = move |req: &mut Request<Body>| match route(req) {
        Ok(Route::Reducer(request)) => match replies.request(&tx, request) {
            Some(reply) => to_response(reply),
            None => api_error(
                StatusCode::SERVICE_UNAVAILABLE,
                "the process doesn't respond; check its log and restart it if it hangs",
            ),
        },
        Ok(Route::Health) => respond(StatusCode::OK, [], "alive\n"),
        Ok(Route::Metrics) => {
            let mut metrics = respond(StatusCode::OK, [], render_metrics());
            let content_type = HeaderValue::from_static(METRICS_CONTENT_TYPE);
            metrics.headers_mut().insert(CONTENT_TYPE, content_type);
            metrics
        }
        Err(bad) => api_error(bad.status, bad.text),
    };
    HttpServer::start(addr.ip(), addr.port(), IDLE_TIMEOUT, MAX_CONNECTIONS, handler)
        .map_err(|error| StartError::Listen { field: "operators", addr, error })
}

enum Route {
    Reducer(OperatorRequest),
    Health,
    Metrics,
}

fn route(req: &mut Request<Body>) -> Result<Route, BadRequest> {
    let path = req.uri().path().to_owned();
    let method = req.method().clone();
    let request = match (method, path.as_str()) {
        (Method::GET, HEALTHZ) => return Ok(Route::Health),
        (Method::GET, METRICS) => return Ok(Route::Metrics),
        (Method::GET, READYZ) => OperatorRequest::Ready,
        (Method::GET, CONFIG) => OperatorRequest::Config,
        (Method::POST, CONFIG) => OperatorRequest::Propose(Box::new(json_body(req)?)),
        (Method::GET, STATUS) => OperatorRequest::Status,
        (Method::GET, STATE) => OperatorRequest::State,
        (Method::POST, JOBS) => OperatorRequest::Submit(check_limits(json_body(req)?)?),
        (method, path) => match (method, job_of_path(path)) {
            (Method::GET, Some(Ok(job))) => OperatorRequest::Job(job),
            (Method::DELETE, Some(Ok(job))) => OperatorRequest::Cancel(job),
            (_, Some(Err(error))) => {
                return Err(BadRequest::new(
                    StatusCode::BAD_REQUEST,
                    format!("the job id: {error}"),
                ));
            }
            _ => {
                let text = "no such call; see the operators' calls in docs/GUIDE.md";
                return Err(BadRequest::new(StatusCode::NOT_FOUND, text));
            }
        },
    };
    Ok(Route::Reducer(request))
}

fn json_body<T: DeserializeOwned>(req: &mut Request<Body>) -> Result<T, BadRequest> {
    let body = read_body(req, MAX_BODY_BYTES)?;
    serde_json::from_slice(&body).map_err(|e| {
        let text = format!("the body isn't what this call takes: {e}; see docs/GUIDE.md");
        BadRequest::new(StatusCode::BAD_REQUEST, text)
    })
}

/// Checks the limits that keep a submission within one log record.
fn check_limits(submit: SubmitJob) -> Result<SubmitJob, BadRequest> {
    if submit.tasks == 0 || submit.tasks > MAX_TASKS_PER_JOB {
        let text = format!("a job has 1 to {MAX_TASKS_PER_JOB} tasks; split larger ones");
        return Err(BadRequest::new(StatusCode::UNPROCESSABLE_ENTITY, text));
    }
    if submit.command.len() > MAX_COMMAND_BYTES {
        let text = format!("a command has at most {MAX_COMMAND_BYTES} bytes; name a file instead");
        return Err(BadRequest::new(StatusCode::UNPROCESSABLE_ENTITY, text));
    }
    Ok(submit)
}

fn api_error(status: StatusCode, text: impl Into<CompactString>) -> Response<Body> {
    respond_json(status, &ApiError { error: text.into(), retry_after: None })
}

fn status_code(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

fn to_response(reply: OperatorReply) -> Response<Body> {
    match reply {
        OperatorReply::Config(view) => respond_json(StatusCode::OK, &view),
        OperatorReply::Propose(answer) => respond_json(status_code(answer.status_code()), &answer),
        OperatorReply::Submit(answer) => respond_json(status_code(answer.status_code()), &answer),
        OperatorReply::Job(answer) => respond_json(status_code(answer.status_code()), &answer),
        OperatorReply::Cancel(answer) => respond_json(status_code(answer.status_code()), &answer),
        OperatorReply::Status(status) => respond_json(StatusCode::OK, &status),
        OperatorReply::State(state) => respond_json(StatusCode::OK, &state),
        OperatorReply::Ready { missing: None } => respond(StatusCode::OK, [], "ready\n"),
        OperatorReply::Ready { missing: Some(why) } => {
            respond(StatusCode::SERVICE_UNAVAILABLE, [], format!("not ready: {why}\n"))
        }
    }
}

//! The callers' HTTP interface.
//!
//! Request and response bodies don't pass through the reducer. Each request waits on its own
//! channel, so a response can only reach the caller that made the request.

use {
    crate::http::{BadRequest, CallFailure, HttpAnswer, read_body, respond},
    compact_str::CompactString,
    crossbeam::channel::{self, Receiver, Sender},
    egretlb_api::{CALLS_PREFIX, DEADLINE_MS, IDEMPOTENCY_KEY, RAN, RETRY_AFTER},
    egretlb_node::{CallerArrival, EntryNodeEvent},
    egretlb_requests::{
        AttemptId, BodyHash, MAX_RECORDED_BODY_BYTES, RequestId,
        entry::{AttemptResult, ErrorReason, Verdict},
        keys::RecordedAnswer,
    },
    egretlb_telemetry::{EntryMetrics, Outcome},
    egretlb_types::{
        ClassName, NotRunReason, Ran, RequestKey, RetryAfter,
        worker::{DECLINED_HEADER, DECLINED_LEAVING},
    },
    oxhttp::model::{
        Body, HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode,
        header::{
            CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
            TRAILER, TRANSFER_ENCODING, UPGRADE,
        },
    },
    siphasher::sip::SipHasher13,
    smallvec::SmallVec,
    std::{
        collections::HashMap,
        hash::Hasher,
        mem,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Maximum deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Headers that aren't forwarded. `Content-Length` and `Host` are set by the HTTP client.
const HOP_BY_HOP: [HeaderName; 12] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// A caller's request.
pub(super) struct CallerRequest {
    pub(super) method: Method,
    /// Path and query for the backend server.
    pub(super) target: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Vec<u8>,
    keyed: bool,
}

/// The final result of a request, for its handler.
enum FinalResult {
    Forward(Box<HttpAnswer>),
    Verdict(Box<Verdict>),
}

struct PendingRequest {
    req: Arc<CallerRequest>,
    tx: Sender<FinalResult>,
    sent: bool,
    /// Complete responses by attempt; one of them is forwarded.
    responses: Vec<(AttemptId, HttpAnswer)>,
}

/// The requests in progress.
#[derive(Clone, Default)]
pub(super) struct Requests {
    next: Arc<AtomicU64>,
    pending: Arc<Mutex<HashMap<RequestId, PendingRequest>>>,
}

impl Requests {
    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, PendingRequest>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin(&self, req: CallerRequest) -> (RequestId, Receiver<FinalResult>) {
        let id = RequestId(self.next.fetch_add(1, Ordering::Relaxed) + 1);
        let (tx, rx) = channel::bounded(1);
        let pending = PendingRequest { req: Arc::new(req), tx, sent: false, responses: Vec::new() };
        self.lock().insert(id, pending);
        (id, rx)
    }

    /// Returns the request to send and whether this is a retry; `None` if it isn't in progress.
    pub(super) fn begin_attempt(&self, id: RequestId) -> Option<(Arc<CallerRequest>, bool)> {
        let mut table = self.lock();
        let pending = table.get_mut(&id)?;
        let is_retry = mem::replace(&mut pending.sent, true);
        Some((Arc::clone(&pending.req), is_retry))
    }

    /// Stores a complete response until the reducer decides whether to forward it.
    pub(super) fn store_response(&self, id: RequestId, attempt: AttemptId, response: HttpAnswer) {
        if let Some(pending) = self.lock().get_mut(&id) {
            pending.responses.push((attempt, response));
        }
    }

    /// Sends the final result to the request's handler.
    pub(super) fn end(&self, id: RequestId, verdict: Verdict) {
        let Some(mut pending) = self.lock().remove(&id) else { return };
        let response = match verdict {
            Verdict::Forward { attempt } => {
                let index = pending.responses.iter().position(|(of, _)| *of == attempt);
                index.map(|index| pending.responses.swap_remove(index).1)
            }
            _ => None,
        };
        let result = match response {
            Some(response) => FinalResult::Forward(Box::new(response)),
            None => FinalResult::Verdict(Box::new(verdict)),
        };
        // The handler waits as long as the request is in the table.
        let _ = pending.tx.send(result);
    }

    /// Refuses the requests that arrived after the reducer's last step: they would otherwise delay
    /// the shutdown until the drain limit.
    pub(super) fn refuse_rest(&self) {
        for (_, pending) in self.lock().drain() {
            let reason = NotRunReason::ShuttingDown;
            let retry_after = RetryAfter::from_wait(Duration::ZERO);
            let verdict = Box::new(Verdict::Refuse { reason, retry_after });
            // The handler waits as long as the request is in the table.
            let _ = pending.tx.send(FinalResult::Verdict(verdict));
        }
    }

    /// Removes a request that no handler waits for.
    pub(super) fn forget(&self, id: RequestId) {
        self.lock().remove(&id);
    }
}

/// Handles one caller's request.
pub(super) fn handle(
    req: &mut Request<Body>,
    max_body: usize,
    requests: &Requests,
    tx: &Sender<EntryNodeEvent>,
    metrics: &EntryMetrics,
) -> Response<Body> {
    let arrived = Instant::now();
    let (arrival, call) = match read_request(req, max_body) {
        Ok(parts) => parts,
        Err(bad) => return reject(&bad),
    };
    let (request, rx) = requests.begin(call);
    let class = arrival.class.clone();
    let arrival = CallerArrival { request, ..arrival };
    if tx.send(EntryNodeEvent::Arrived(arrival)).is_err() {
        requests.forget(request);
        metrics.refused(NotRunReason::ShuttingDown, arrived.elapsed());
        let retry_after = RetryAfter::from_wait(Duration::ZERO);
        return refuse(NotRunReason::ShuttingDown, retry_after);
    }
    let result = rx.recv();
    count(metrics, &class, result.as_ref().ok(), arrived.elapsed());
    match result {
        Ok(FinalResult::Forward(response)) => forward(*response),
        Ok(FinalResult::Verdict(verdict)) => respond_verdict(*verdict),
        Err(_) => respond_error(ErrorReason::Broken, Ran::Unknown, None),
    }
}

/// Updates the metrics of an ended request. An unknown class gets no series, since the number of
/// names that callers may send is unbounded.
fn count(metrics: &EntryMetrics, class: &ClassName, result: Option<&FinalResult>, took: Duration) {
    let verdict = match result {
        Some(FinalResult::Forward(_)) => return metrics.ended(class, Outcome::Answered, took),
        Some(FinalResult::Verdict(verdict)) => &**verdict,
        None => return metrics.ended(class, Outcome::Failed, took),
    };
    match verdict {
        Verdict::Refuse { reason, .. } => {
            metrics.refused(*reason, took);
            if *reason != NotRunReason::UnknownClass {
                metrics.ended(class, Outcome::Refused, took);
            }
        }
        Verdict::Forward { .. } | Verdict::Error { .. } => {
            metrics.ended(class, Outcome::Failed, took);
        }
        Verdict::Recorded(_) => metrics.ended(class, Outcome::Answered, took),
    }
}

/// Reads and validates a caller's request.
fn read_request(
    req: &mut Request<Body>,
    max_body: usize,
) -> Result<(CallerArrival, CallerRequest), BadRequest> {
    // Their responses have no body or another meaning.
    if [Method::HEAD, Method::CONNECT, Method::TRACE].contains(req.method()) {
        return Err(BadRequest::new(
            StatusCode::METHOD_NOT_ALLOWED,
            "use GET, POST, PUT, PATCH or DELETE",
        ));
    }
    let class = parse_class(req.uri().path())?;
    let deadline = parse_deadline(req.headers())?;
    let key = parse_key(req.headers())?;
    let target = req.uri().path_and_query().map_or_else(String::new, ToString::to_string);
    let body = read_body(req, max_body)?;
    let hash = body_hash(req.method(), &target, &body);
    let arrival = CallerArrival {
        request: RequestId(0),
        class,
        deadline,
        key: key.clone(),
        body: hash,
        body_size: body.len() as u64,
    };
    let call = CallerRequest {
        method: req.method().clone(),
        target,
        headers: end_to_end_headers(req.headers()),
        body,
        keyed: key.is_some(),
    };
    Ok((arrival, call))
}

fn parse_class(path: &str) -> Result<ClassName, BadRequest> {
    let class = path.strip_prefix(CALLS_PREFIX).and_then(|rest| rest.split('/').next());
    let Some(class) = class else {
        let text = "no such path; requests go to /serve/{class}/{path}";
        return Err(BadRequest::new(StatusCode::NOT_FOUND, text));
    };
    class.parse().map_err(|e| BadRequest::new(StatusCode::NOT_FOUND, format!("the class: {e}")))
}

fn parse_deadline(headers: &HeaderMap) -> Result<Option<Duration>, BadRequest> {
    let Some(value) = headers.get(DEADLINE_MS) else { return Ok(None) };
    let millis = value.to_str().ok().and_then(|text| text.trim().parse::<u64>().ok());
    match millis {
        Some(millis) => Ok(Some(Duration::from_millis(millis).min(MAX_DEADLINE))),
        None => {
            let text = "Egretlb-Deadline-Ms isn't a number; give milliseconds, like 400";
            Err(BadRequest::new(StatusCode::BAD_REQUEST, text))
        }
    }
}

fn parse_key(headers: &HeaderMap) -> Result<Option<CompactString>, BadRequest> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(BadRequest::new(
            StatusCode::BAD_REQUEST,
            "two Idempotency-Key headers; send one",
        ));
    }
    let text = value.to_str().unwrap_or_default();
    match RequestKey::check(text) {
        Ok(text) => Ok(Some(text)),
        Err(error) => {
            Err(BadRequest::new(StatusCode::BAD_REQUEST, format!("Idempotency-Key: {error}")))
        }
    }
}

fn body_hash(method: &Method, target: &str, body: &[u8]) -> BodyHash {
    let mut hasher = SipHasher13::new();
    for part in [method.as_str().as_bytes(), target.as_bytes(), body] {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    BodyHash(hasher.finish())
}

/// Returns the end-to-end headers, without hop-by-hop ones and those that `Connection` names.
fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let texts = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named: SmallVec<[HeaderName; 4]> = texts
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let forwarded =
        headers.iter().filter(|(name, _)| !HOP_BY_HOP.contains(name) && !named.contains(name));
    forwarded.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// The result of a call to a backend server for the reducer, and the response if it is complete.
pub(super) fn attempt_result(
    result: Result<HttpAnswer, CallFailure>,
    req: &CallerRequest,
) -> (AttemptResult, Option<HttpAnswer>) {
    let response = match result {
        Ok(response) => response,
        Err(CallFailure::NotSent(_)) => return (AttemptResult::NotSent, None),
        Err(CallFailure::NoAnswer(_)) => return (AttemptResult::Failed, None),
        Err(CallFailure::Truncated { .. }) => return (AttemptResult::Truncated, None),
    };
    if let Some(reason) = response.headers.get(DECLINED_HEADER) {
        return (AttemptResult::Declined { draining: reason == DECLINED_LEAVING }, None);
    }
    let is_recorded = req.keyed && response.body.len() <= MAX_RECORDED_BODY_BYTES;
    let recorded_body = is_recorded.then(|| response.body.clone());
    (AttemptResult::Complete { status: response.status.as_u16(), recorded_body }, Some(response))
}

fn with_headers(
    mut response: Response<Body>,
    ran: Ran,
    retry_after: Option<RetryAfter>,
) -> Response<Body> {
    let headers = response.headers_mut();
    let value = |text: String| HeaderValue::try_from(text).ok();
    if let Some(ran) = value(ran.to_string()) {
        headers.insert(RAN, ran);
    }
    if let Some(after) = retry_after.and_then(|after| value(after.to_string())) {
        headers.insert(RETRY_AFTER, after);
    }
    response
}

/// Rejects an invalid request: it wasn't run, and a retry won't succeed.
fn reject(bad: &BadRequest) -> Response<Body> {
    with_headers(respond(bad.status, [], format!("{}\n", bad.text)), Ran::No, None)
}

fn forward(response: HttpAnswer) -> Response<Body> {
    let mut forwarded = Response::new(Body::from(response.body));
    *forwarded.status_mut() = response.status;
    *forwarded.headers_mut() = end_to_end_headers(&response.headers);
    with_headers(forwarded, Ran::Yes, None)
}

/// Responds with the response that was recorded for a request's key. One whose body was too long to
/// be recorded is a conflict.
fn respond_recorded(recorded: RecordedAnswer) -> Response<Body> {
    let RecordedAnswer { status, body } = recorded;
    let Some(body) = body else {
        let text = format!(
            "the request ran before with status {status}; its response was too long to be recorded, \
             and it isn't run again\n"
        );
        return with_headers(respond(StatusCode::CONFLICT, [], text), Ran::Yes, None);
    };
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    with_headers(response, Ran::Yes, None)
}

fn respond_verdict(verdict: Verdict) -> Response<Body> {
    match verdict {
        // Unreachable: the response is stored until the reducer forwards it.
        Verdict::Forward { .. } => respond_error(ErrorReason::Broken, Ran::Yes, None),
        Verdict::Recorded(recorded) => respond_recorded(recorded),
        Verdict::Refuse { reason, retry_after } => refuse(reason, retry_after),
        Verdict::Error { reason, ran, retry_after } => {
            respond_error(reason, ran, Some(retry_after))
        }
    }
}

fn refuse(reason: NotRunReason, retry_after: RetryAfter) -> Response<Body> {
    let (status, retryable) = match reason {
        NotRunReason::UnknownClass => (StatusCode::NOT_FOUND, false),
        NotRunReason::KeyReused => (StatusCode::UNPROCESSABLE_ENTITY, false),
        NotRunReason::KeyInProgress => (StatusCode::CONFLICT, true),
        NotRunReason::QueueFull => (StatusCode::TOO_MANY_REQUESTS, true),
        NotRunReason::TooLate
        | NotRunReason::NoBackendServer
        | NotRunReason::NoPermit
        | NotRunReason::ShuttingDown => (StatusCode::SERVICE_UNAVAILABLE, true),
    };
    let response = respond(status, [], format!("{reason}\n"));
    with_headers(response, Ran::No, retryable.then_some(retry_after))
}

fn respond_error(reason: ErrorReason, ran: Ran, retry_after: Option<RetryAfter>) -> Response<Body> {
    let (status, text) = match reason {
        ErrorReason::TimedOut => {
            (StatusCode::GATEWAY_TIMEOUT, "no response in time; the request may have run")
        }
        ErrorReason::Broken => {
            (StatusCode::BAD_GATEWAY, "the response was lost; the request may have run")
        }
        ErrorReason::KeyInDoubt => (
            StatusCode::CONFLICT,
            "an earlier request with this key may have run; it isn't run again, look it up",
        ),
    };
    with_headers(respond(status, [], format!("{text}\n")), ran, retry_after)
}

//! Callers' requests over HTTP.
//!
//! A request's body stays here while the reducer decides; its answer's body never passes through
//! the reducer either. Each request waits on a channel of its own, so an answer can only reach the
//! caller whose request it is.

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

/// The longest deadline that a caller may ask for.
const DEADLINE_MAX: Duration = Duration::from_secs(600);

/// Headers that belong to one connection and aren't passed on. The length is set anew.
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

/// What a caller sent.
pub(super) struct CallerRequest {
    pub(super) method: Method,
    /// Path and query as the backend server gets them.
    pub(super) target: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Vec<u8>,
    keyed: bool,
}

/// What the handler of a request is told in the end.
enum Final {
    Forward(Box<HttpAnswer>),
    Verdict(Box<Verdict>),
}

struct Waiting {
    req: Arc<CallerRequest>,
    tx: Sender<Final>,
    sent: bool,
    /// Whole answers by sending; only one of them is passed on.
    answers: Vec<(AttemptId, HttpAnswer)>,
}

/// The requests in progress.
#[derive(Clone, Default)]
pub(super) struct Requests {
    next: Arc<AtomicU64>,
    waiting: Arc<Mutex<HashMap<RequestId, Waiting>>>,
}

impl Requests {
    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, Waiting>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin(&self, req: CallerRequest) -> (RequestId, Receiver<Final>) {
        let id = RequestId(self.next.fetch_add(1, Ordering::Relaxed) + 1);
        let (tx, rx) = channel::bounded(1);
        let waiting = Waiting { req: Arc::new(req), tx, sent: false, answers: Vec::new() };
        self.lock().insert(id, waiting);
        (id, rx)
    }

    /// What is to be sent for the request, while it is in progress, and whether it was sent before.
    pub(super) fn send(&self, id: RequestId) -> Option<(Arc<CallerRequest>, bool)> {
        let mut table = self.lock();
        let waiting = table.get_mut(&id)?;
        let again = mem::replace(&mut waiting.sent, true);
        Some((Arc::clone(&waiting.req), again))
    }

    /// Keeps a whole answer until the reducer says whether to pass it on.
    pub(super) fn keep(&self, id: RequestId, attempt: AttemptId, answer: HttpAnswer) {
        if let Some(waiting) = self.lock().get_mut(&id) {
            waiting.answers.push((attempt, answer));
        }
    }

    /// Gives a request its final answer.
    pub(super) fn end(&self, id: RequestId, verdict: Verdict) {
        let Some(mut waiting) = self.lock().remove(&id) else { return };
        let kept = match verdict {
            Verdict::Forward { attempt } => {
                let at = waiting.answers.iter().position(|(of, _)| *of == attempt);
                at.map(|at| waiting.answers.swap_remove(at).1)
            }
            _ => None,
        };
        let last = match kept {
            Some(answer) => Final::Forward(Box::new(answer)),
            None => Final::Verdict(Box::new(verdict)),
        };
        // The handler waits as long as the request is in the table.
        let _ = waiting.tx.send(last);
    }

    /// Refuses what is left when the reducer has ended with nothing in progress: these requests
    /// came behind its last step. Nobody would answer them, and each would hold its caller, and the
    /// end of the process, until the drain's limit.
    pub(super) fn refuse_rest(&self) {
        for (_, waiting) in self.lock().drain() {
            let reason = NotRunReason::ShuttingDown;
            let retry_after = RetryAfter::from_wait(Duration::ZERO);
            let verdict = Box::new(Verdict::Refuse { reason, retry_after });
            // The handler waits as long as the request is in the table.
            let _ = waiting.tx.send(Final::Verdict(verdict));
        }
    }

    /// Drops a request that nobody waits for.
    pub(super) fn forget(&self, id: RequestId) {
        self.lock().remove(&id);
    }
}

/// Handles one caller's request: from its headers to its final answer.
pub(super) fn handle(
    req: &mut Request<Body>,
    max_body: usize,
    requests: &Requests,
    tx: &Sender<EntryNodeEvent>,
    metrics: &EntryMetrics,
) -> Response<Body> {
    let arrived = Instant::now();
    let (arrival, call) = match read_request(req, max_body) {
        Ok(read) => read,
        Err(bad) => return refuse_bad(&bad),
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
    let last = rx.recv();
    count(metrics, &class, last.as_ref().ok(), arrived.elapsed());
    match last {
        Ok(Final::Forward(answer)) => pass_on(*answer),
        Ok(Final::Verdict(verdict)) => answer_verdict(*verdict),
        Err(_) => error_answer(ErrorReason::Broken, Ran::Unknown, None),
    }
}

/// Counts how a request ended. One of an unknown class has no series of its own: the class is the
/// caller's text, and each new text would take memory for good.
fn count(metrics: &EntryMetrics, class: &ClassName, last: Option<&Final>, took: Duration) {
    let verdict = match last {
        Some(Final::Forward(_)) => return metrics.ended(class, Outcome::Answered, took),
        Some(Final::Verdict(verdict)) => &**verdict,
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

/// Reads and checks what a caller sent; an answer at once if it can't be taken.
fn read_request(
    req: &mut Request<Body>,
    max_body: usize,
) -> Result<(CallerArrival, CallerRequest), BadRequest> {
    // Their answers have no body or another meaning than a request's answer.
    if [Method::HEAD, Method::CONNECT, Method::TRACE].contains(req.method()) {
        return Err(BadRequest::new(
            StatusCode::METHOD_NOT_ALLOWED,
            "use GET, POST, PUT, PATCH or DELETE",
        ));
    }
    let class = class_of(req.uri().path())?;
    let deadline = deadline_of(req.headers())?;
    let key = key_text(req.headers())?;
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
        headers: end_to_end(req.headers()),
        body,
        keyed: key.is_some(),
    };
    Ok((arrival, call))
}

fn class_of(path: &str) -> Result<ClassName, BadRequest> {
    let class = path.strip_prefix(CALLS_PREFIX).and_then(|rest| rest.split('/').next());
    let Some(class) = class else {
        let text = "no such path; requests go to /serve/{class}/{path}";
        return Err(BadRequest::new(StatusCode::NOT_FOUND, text));
    };
    class.parse().map_err(|e| BadRequest::new(StatusCode::NOT_FOUND, format!("the class: {e}")))
}

fn deadline_of(headers: &HeaderMap) -> Result<Option<Duration>, BadRequest> {
    let Some(value) = headers.get(DEADLINE_MS) else { return Ok(None) };
    let millis = value.to_str().ok().and_then(|text| text.trim().parse::<u64>().ok());
    match millis {
        Some(millis) => Ok(Some(Duration::from_millis(millis).min(DEADLINE_MAX))),
        None => {
            let text = "Egretlb-Deadline-Ms isn't a number; give milliseconds, like 400";
            Err(BadRequest::new(StatusCode::BAD_REQUEST, text))
        }
    }
}

fn key_text(headers: &HeaderMap) -> Result<Option<CompactString>, BadRequest> {
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

/// The headers that are passed on: neither a connection's own nor those that `Connection` names.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let texts = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named: SmallVec<[HeaderName; 4]> = texts
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let kept =
        headers.iter().filter(|(name, _)| !HOP_BY_HOP.contains(name) && !named.contains(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// What the reducer is told of a call to a backend server, and the answer if it is whole.
pub(super) fn attempt_result(
    called: Result<HttpAnswer, CallFailure>,
    req: &CallerRequest,
) -> (AttemptResult, Option<HttpAnswer>) {
    let answer = match called {
        Ok(answer) => answer,
        Err(CallFailure::NotSent(_)) => return (AttemptResult::NotSent, None),
        Err(CallFailure::NoAnswer(_)) => return (AttemptResult::Failed, None),
        Err(CallFailure::Truncated { .. }) => return (AttemptResult::Truncated, None),
    };
    if let Some(why) = answer.headers.get(DECLINED_HEADER) {
        return (AttemptResult::Declined { draining: why == DECLINED_LEAVING }, None);
    }
    let small = req.keyed && answer.body.len() <= MAX_RECORDED_BODY_BYTES;
    let recorded_body = small.then(|| answer.body.clone());
    (AttemptResult::Complete { status: answer.status.as_u16(), recorded_body }, Some(answer))
}

fn with_headers(
    mut answer: Response<Body>,
    ran: Ran,
    retry_after: Option<RetryAfter>,
) -> Response<Body> {
    let headers = answer.headers_mut();
    let value = |text: String| HeaderValue::try_from(text).ok();
    if let Some(ran) = value(ran.to_string()) {
        headers.insert(RAN, ran);
    }
    if let Some(after) = retry_after.and_then(|after| value(after.to_string())) {
        headers.insert(RETRY_AFTER, after);
    }
    answer
}

/// A request that can't be read: it wasn't run, and coming back with the same won't help.
fn refuse_bad(bad: &BadRequest) -> Response<Body> {
    with_headers(respond(bad.status, [], format!("{}\n", bad.text)), Ran::No, None)
}

fn pass_on(answer: HttpAnswer) -> Response<Body> {
    let mut passed = Response::new(Body::from(answer.body));
    *passed.status_mut() = answer.status;
    *passed.headers_mut() = end_to_end(&answer.headers);
    with_headers(passed, Ran::Yes, None)
}

/// The answer that was recorded with a request's key. One that was too long to be recorded can't
/// be given again: an empty body under its status would pass for the whole answer.
fn repeat_recorded(recorded: RecordedAnswer) -> Response<Body> {
    let RecordedAnswer { status, body } = recorded;
    let Some(body) = body else {
        let text = format!(
            "it ran before and answered with status {status}; that answer was too long to be kept, \
             and it isn't run again\n"
        );
        return with_headers(respond(StatusCode::CONFLICT, [], text), Ran::Yes, None);
    };
    let mut answer = Response::new(Body::from(body));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    with_headers(answer, Ran::Yes, None)
}

fn answer_verdict(verdict: Verdict) -> Response<Body> {
    match verdict {
        // Its answer was kept until now, or the reducer wouldn't have said so.
        Verdict::Forward { .. } => error_answer(ErrorReason::Broken, Ran::Yes, None),
        Verdict::Recorded(recorded) => repeat_recorded(recorded),
        Verdict::Refuse { reason, retry_after } => refuse(reason, retry_after),
        Verdict::Error { reason, ran, retry_after } => error_answer(reason, ran, Some(retry_after)),
    }
}

fn refuse(reason: NotRunReason, retry_after: RetryAfter) -> Response<Body> {
    let (status, come_back) = match reason {
        NotRunReason::UnknownClass => (StatusCode::NOT_FOUND, false),
        NotRunReason::KeyReused => (StatusCode::UNPROCESSABLE_ENTITY, false),
        NotRunReason::KeyInProgress => (StatusCode::CONFLICT, true),
        NotRunReason::QueueFull => (StatusCode::TOO_MANY_REQUESTS, true),
        NotRunReason::TooLate
        | NotRunReason::NoBackendServer
        | NotRunReason::NoPermit
        | NotRunReason::ShuttingDown => (StatusCode::SERVICE_UNAVAILABLE, true),
    };
    let answer = respond(status, [], format!("{reason}\n"));
    with_headers(answer, Ran::No, come_back.then_some(retry_after))
}

fn error_answer(reason: ErrorReason, ran: Ran, retry_after: Option<RetryAfter>) -> Response<Body> {
    let (status, text) = match reason {
        ErrorReason::TimedOut => {
            (StatusCode::GATEWAY_TIMEOUT, "no answer in time; it may have run")
        }
        ErrorReason::Broken => (StatusCode::BAD_GATEWAY, "the answer was lost; it may have run"),
        ErrorReason::KeyInDoubt => (
            StatusCode::CONFLICT,
            "an earlier request with this key may have run; it isn't run again, look it up",
        ),
    };
    with_headers(respond(status, [], format!("{text}\n")), ran, retry_after)
}

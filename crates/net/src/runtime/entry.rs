//! The entry daemon.

use {
    super::{
        callers::{self, CallerRequest, Requests},
        error::StartError,
        gauges::EntryGauges,
        io::{
            Io, Running, Stopped, TICK, drain, generate_node_id, listen_to_peers, node_info,
            peer_runtime, seeds, spawn_loop, wait,
        },
        operators::{self, Replies},
    },
    crate::{
        clock::Clock,
        http::{HttpServer, call},
    },
    crossbeam::channel::{self, Receiver, Sender},
    egretlb_api::DEADLINE_MS,
    egretlb_config::Settings,
    egretlb_control::Role,
    egretlb_node::{
        EntryNode, EntryNodeEffect, EntryNodeEvent, EntryNodeOptions, NodeEvent, RequestEffect,
    },
    egretlb_requests::entry::AttemptResult,
    egretlb_telemetry::EntryMetrics,
    egretlb_types::Time,
    oxhttp::model::{HeaderName, HeaderValue},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

struct EntryLoop {
    entry: EntryNode,
    io: Io<EntryNodeEvent>,
    rx: Receiver<EntryNodeEvent>,
    requests: Requests,
    metrics: Arc<EntryMetrics>,
    gauges: EntryGauges,
    drain_limit: Duration,
    shutdown_deadline: Option<Time>,
}

/// Starts an entry.
pub fn start_entry(settings: &Settings) -> Result<Running, StartError> {
    let addr = settings.listen.callers.ok_or(StartError::NoCallersAddress)?;
    let rt = peer_runtime()?;
    let (tx, rx) = channel::unbounded();
    let node = generate_node_id();
    let replies = Replies::default();
    let requests = Requests::default();
    let metrics = Arc::new(EntryMetrics::new());
    let peers = listen_to_peers(&rt, settings, tx.clone())?;
    let rendered_metrics = Arc::clone(&metrics);
    let render = move || rendered_metrics.render();
    let http = operators::serve(settings, tx.clone(), replies.clone(), render)?;
    let callers = serve_callers(addr, settings, tx.clone(), requests.clone(), &metrics)?;
    let info = node_info(node, Role::Entry, settings, peers, http.addr());
    let clock = Clock::start();
    let common = metrics.common().clone();
    let io = Io::new(clock, node, settings, &rt, tx.clone(), replies, common);
    let entry = EntryNode::new(EntryNodeOptions { info, seed: node.0, seeds: seeds(settings) });
    let daemon = EntryLoop {
        entry,
        io,
        rx,
        requests,
        metrics: Arc::clone(&metrics),
        gauges: EntryGauges::new(metrics),
        drain_limit: settings.limits.drain.as_duration(),
        shutdown_deadline: None,
    };
    let request_counters = vec![callers.counter().clone(), http.counter().clone()];
    let (callers_addr, operators) = (callers.addr(), http.addr());
    let thread = spawn_loop("egretlb-entry", move || daemon.run(&callers, &http))?;
    log::info!(
        node:% = node, callers:% = callers_addr, operators:% = operators, peers:% = peers;
        "started"
    );
    let shutdown = Box::new(move || drop(tx.send(NodeEvent::Shutdown.into())));
    let callers = Some(callers_addr);
    Ok(Running { node, callers, operators, peers, shutdown, request_counters, thread, _rt: rt })
}

fn serve_callers(
    addr: SocketAddr,
    settings: &Settings,
    tx: Sender<EntryNodeEvent>,
    requests: Requests,
    metrics: &Arc<EntryMetrics>,
) -> Result<HttpServer, StartError> {
    let metrics = Arc::clone(metrics);
    let limits = settings.limits;
    let max_body = usize::try_from(limits.max_body.0).unwrap_or(usize::MAX);
    let handler = move |req: &mut _| callers::handle(req, max_body, &requests, &tx, &metrics);
    let connections = limits.max_connections as usize;
    HttpServer::start(
        addr.ip(),
        addr.port(),
        limits.caller_timeout.as_duration(),
        connections,
        handler,
    )
    .map_err(|error| StartError::Listen { field: "callers", addr, error })
}

impl EntryLoop {
    fn run(mut self, callers: &HttpServer, operators: &HttpServer) -> Stopped {
        let mut next_tick = Time::ZERO;
        let mut effects = Vec::new();
        loop {
            let wake_at = self.entry.wake_at().map_or(next_tick, |at| at.min(next_tick));
            let event = wait(self.io.clock, &self.rx, wake_at);
            let now = self.io.clock.now();
            if matches!(event, Some(EntryNodeEvent::Node(NodeEvent::Shutdown))) {
                self.shutdown_deadline.get_or_insert(now + self.drain_limit);
            }
            let timer_due = self.entry.wake_at().is_some_and(|at| now >= at);
            if let Some(event) = event {
                self.entry.step(now, event, &mut effects);
            }
            if now >= next_tick || timer_due {
                self.entry.step(now, NodeEvent::Tick.into(), &mut effects);
            }
            if now >= next_tick {
                next_tick = now + TICK;
                self.io.poll_vms(now);
                self.gauges.update(now, &self.entry);
            }
            let done = effects.drain(..).fold(false, |done, effect| done | self.perform(effect));
            let overdue = self.shutdown_deadline.is_some_and(|deadline| now >= deadline);
            if done || overdue {
                // Responses may still be being written to slow callers.
                let remaining =
                    self.shutdown_deadline.map_or(Duration::ZERO, |deadline| deadline.since(now));
                // From here on, requests that arrive are refused by their handlers.
                drop(self.rx);
                if done {
                    self.requests.refuse_rest();
                }
                return drain(&[callers.counter(), operators.counter()], remaining.max(TICK));
            }
        }
    }

    fn perform(&self, effect: EntryNodeEffect) -> bool {
        match effect {
            EntryNodeEffect::Node(effect) => return self.io.perform(effect),
            EntryNodeEffect::Request(effect) => self.perform_request(effect),
        }
        false
    }

    fn perform_request(&self, effect: RequestEffect) {
        match effect {
            RequestEffect::Send { request, attempt, addr, timeout } => {
                let Some((req, is_retry)) = self.requests.begin_attempt(request) else {
                    // The reducer holds the share until the attempt ends.
                    let result = AttemptResult::NotSent;
                    // A send fails only while the process ends.
                    let _ = self.io.tx.send(EntryNodeEvent::AttemptEnded { attempt, result });
                    return;
                };
                if is_retry {
                    self.metrics.retried();
                }
                let requests = self.requests.clone();
                self.io.run(move || {
                    let result = send(&req, &addr, timeout);
                    let (result, response) = callers::attempt_result(result, &req);
                    if let Some(response) = response {
                        requests.store_response(request, attempt, response);
                    }
                    EntryNodeEvent::AttemptEnded { attempt, result }
                });
            }
            // The library can't cancel a call: it ends at its timeout, and counts as open until then.
            RequestEffect::CancelAttempt { .. } => {}
            RequestEffect::Answer { request, verdict } => self.requests.end(request, verdict),
            RequestEffect::Forget { request } => self.requests.forget(request),
        }
    }
}

fn send(
    req: &CallerRequest,
    addr: &str,
    timeout: Duration,
) -> Result<crate::http::HttpAnswer, crate::http::CallFailure> {
    let deadline = HeaderName::from_static(DEADLINE_MS);
    let millis = HeaderValue::from(u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX));
    let mut headers = req.headers.clone();
    headers.insert(deadline, millis);
    let headers = headers.iter().map(|(name, value)| (name.clone(), value.clone()));
    let url = format!("http://{addr}{}", req.target);
    call(req.method.clone(), url, headers, req.body.clone(), timeout)
}

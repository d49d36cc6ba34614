//! The entry daemon.

use {
    super::{
        callers::{self, CallerRequest, Requests},
        error::StartError,
        gauges::EntryGauges,
        io::{
            Io, Running, Stopped, TICK, drain, draw_node, listen_to_peers, node_info, peer_runtime,
            seeds, spawn_loop, wait,
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

struct Loop {
    entry: EntryNode,
    io: Io<EntryNodeEvent>,
    rx: Receiver<EntryNodeEvent>,
    requests: Requests,
    metrics: Arc<EntryMetrics>,
    gauges: EntryGauges,
    drain_limit: Duration,
    stop_by: Option<Time>,
}

/// Starts an entry with the settings.
pub fn start_entry(settings: &Settings) -> Result<Running, StartError> {
    let addr = settings.listen.callers.ok_or(StartError::NoCallersAddress)?;
    let rt = peer_runtime()?;
    let (tx, rx) = channel::unbounded();
    let node = draw_node();
    let replies = Replies::default();
    let requests = Requests::default();
    let metrics = Arc::new(EntryMetrics::new());
    let peers = listen_to_peers(&rt, settings, tx.clone())?;
    let rendered = Arc::clone(&metrics);
    let render = move || rendered.render();
    let http = operators::serve(settings, tx.clone(), replies.clone(), render)?;
    let callers = serve_callers(addr, settings, tx.clone(), requests.clone(), &metrics)?;
    let info = node_info(node, Role::Entry, settings, peers, http.addr());
    let clock = Clock::start();
    let common = metrics.common().clone();
    let io = Io::new(clock, node, settings, &rt, tx.clone(), replies, common);
    let entry = EntryNode::new(EntryNodeOptions { info, seed: node.0, seeds: seeds(settings) });
    let daemon = Loop {
        entry,
        io,
        rx,
        requests,
        metrics: Arc::clone(&metrics),
        gauges: EntryGauges::new(metrics),
        drain_limit: settings.limits.drain.as_duration(),
        stop_by: None,
    };
    let drains = vec![callers.drain().clone(), http.drain().clone()];
    let (callers_addr, operators) = (callers.addr(), http.addr());
    let thread = spawn_loop("egretlb-entry", move || daemon.run(&callers, &http))?;
    log::info!(
        node:% = node, callers:% = callers_addr, operators:% = operators, peers:% = peers;
        "started"
    );
    let shutdown = Box::new(move || drop(tx.send(NodeEvent::Shutdown.into())));
    let callers = Some(callers_addr);
    Ok(Running { node, callers, operators, peers, shutdown, drains, thread, _rt: rt })
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

impl Loop {
    fn run(mut self, callers: &HttpServer, operators: &HttpServer) -> Stopped {
        let mut tick_at = Time::ZERO;
        let mut effects = Vec::new();
        loop {
            let wake_at = self.entry.wake_at().map_or(tick_at, |at| at.min(tick_at));
            let event = wait(self.io.clock, &self.rx, wake_at);
            let now = self.io.clock.now();
            if matches!(event, Some(EntryNodeEvent::Node(NodeEvent::Shutdown))) {
                self.stop_by.get_or_insert(now + self.drain_limit);
            }
            let due = self.entry.wake_at().is_some_and(|at| now >= at);
            if let Some(event) = event {
                self.entry.step(now, event, &mut effects);
            }
            if now >= tick_at || due {
                self.entry.step(now, NodeEvent::Tick.into(), &mut effects);
            }
            if now >= tick_at {
                tick_at = now + TICK;
                self.io.poll_vms(now);
                self.gauges.update(now, &self.entry);
            }
            let done = effects.drain(..).fold(false, |done, effect| done | self.perform(effect));
            let overdue = self.stop_by.is_some_and(|by| now >= by);
            if done || overdue {
                // What the reducer has answered is still being written to slow callers.
                let left = self.stop_by.map_or(Duration::ZERO, |by| by.since(now));
                // From here on an arrival finds nobody who takes it, and refuses itself.
                drop(self.rx);
                if done {
                    self.requests.refuse_rest();
                }
                return drain(&[callers.drain(), operators.drain()], left.max(TICK));
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
                let Some((req, again)) = self.requests.send(request) else {
                    // Told all the same: without it the reducer would hold the share for good.
                    let result = AttemptResult::NotSent;
                    // A send fails only while the process ends.
                    let _ = self.io.tx.send(EntryNodeEvent::AttemptEnded { attempt, result });
                    return;
                };
                if again {
                    self.metrics.retried();
                }
                let requests = self.requests.clone();
                self.io.run(move || {
                    let called = send(&req, &addr, timeout);
                    let (result, answer) = callers::attempt_result(called, &req);
                    if let Some(answer) = answer {
                        requests.keep(request, attempt, answer);
                    }
                    EntryNodeEvent::AttemptEnded { attempt, result }
                });
            }
            // The library can't break off a call; its thread ends by the time-out, and until then
            // the exchange counts as open, as it is.
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

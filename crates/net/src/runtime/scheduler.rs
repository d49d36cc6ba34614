//! The scheduler daemon.

use {
    super::{
        error::StartError,
        gauges::SchedulerGauges,
        io::{
            Io, Running, Stopped, TICK, drain, draw_node, listen_to_peers, node_info, peer_runtime,
            seeds, spawn_loop, wait,
        },
        operators::{self, Replies},
    },
    crate::{
        clock::Clock,
        http::{CallFailure, HttpServer},
        platform::WorkerClient,
    },
    crossbeam::channel::{self, Receiver},
    egretlb_config::Settings,
    egretlb_control::Role,
    egretlb_log::StreamName,
    egretlb_node::{
        NodeEffect, NodeEvent, Notice, Scheduler, SchedulerEffect, SchedulerEvent,
        SchedulerOptions, WorkerCallGuard,
    },
    egretlb_tasks::{CallError, JobAlarm, RackAlarm, WorkerAnswer, WorkerCall},
    egretlb_telemetry::SchedulerMetrics,
    egretlb_types::Time,
    std::{sync::Arc, time::Duration},
};

/// How long a graceful end waits for its releases to be in the log. Successors then wait out the
/// authority, as after a kill.
const RELEASE_WITHIN: Duration = Duration::from_secs(10);

struct Loop {
    scheduler: Scheduler,
    io: Io<SchedulerEvent>,
    rx: Receiver<SchedulerEvent>,
    metrics: Arc<SchedulerMetrics>,
    gauges: SchedulerGauges,
    stop_by: Option<Time>,
}

/// Starts a scheduler with the settings.
pub fn start_scheduler(settings: &Settings) -> Result<Running, StartError> {
    let rt = peer_runtime()?;
    let (tx, rx) = channel::unbounded();
    let node = draw_node();
    let replies = Replies::default();
    let metrics = Arc::new(SchedulerMetrics::new());
    let peers = listen_to_peers(&rt, settings, tx.clone())?;
    let rendered = Arc::clone(&metrics);
    let render = move || rendered.render();
    let http = operators::serve(settings, tx.clone(), replies.clone(), render)?;
    let info = node_info(node, Role::Scheduler, settings, peers, http.addr());
    let clock = Clock::start();
    let common = metrics.common().clone();
    let io = Io::new(clock, node, settings, &rt, tx.clone(), replies, common);
    let options = SchedulerOptions { info, seed: node.0, seeds: seeds(settings) };
    let scheduler = Scheduler::new(options);
    let gauges = SchedulerGauges::new(Arc::clone(&metrics));
    let daemon = Loop { scheduler, io, rx, metrics, gauges, stop_by: None };
    let operators = http.addr();
    let drains = vec![http.drain().clone()];
    let thread = spawn_loop("egretlb-scheduler", move || daemon.run(&http))?;
    log::info!(node:% = node, operators:% = operators, peers:% = peers; "started");
    let shutdown = Box::new(move || drop(tx.send(NodeEvent::Shutdown.into())));
    Ok(Running { node, callers: None, operators, peers, shutdown, drains, thread, _rt: rt })
}

impl Loop {
    fn run(mut self, http: &HttpServer) -> Stopped {
        let mut tick_at = Time::ZERO;
        let mut effects = Vec::new();
        loop {
            let event = wait(self.io.clock, &self.rx, tick_at);
            let now = self.io.clock.now();
            if matches!(event, Some(SchedulerEvent::Node(NodeEvent::Shutdown))) {
                self.stop_by.get_or_insert(now + RELEASE_WITHIN);
            }
            if let Some(event) = event {
                self.scheduler.step(now, event, &mut effects);
            }
            if now >= tick_at {
                tick_at = now + TICK;
                self.scheduler.step(now, NodeEvent::Tick.into(), &mut effects);
                self.io.poll_vms(now);
                self.gauges.update(now, &self.scheduler);
            }
            let done = effects.drain(..).fold(false, |done, effect| done | self.perform(effect));
            if done || self.stop_by.is_some_and(|by| now >= by) {
                return drain(&[http.drain()], TICK);
            }
        }
    }

    /// Counts what an effect shows to have happened.
    fn count(&self, effect: &SchedulerEffect) {
        match effect {
            SchedulerEffect::CallWorker { call: WorkerCall::Start(_), .. } => {
                self.metrics.start_requested();
            }
            SchedulerEffect::Node(NodeEffect::Notice(notice)) => match notice {
                Notice::Rack(RackAlarm::Evicting { .. }) => self.metrics.evicted(),
                Notice::Job(JobAlarm::AttemptLost { .. }) => self.metrics.attempt_lost(),
                Notice::Job(JobAlarm::TaskParked { .. }) => self.metrics.parked(),
                _ => {}
            },
            _ => {}
        }
    }

    fn perform(&self, effect: SchedulerEffect) -> bool {
        self.count(&effect);
        match effect {
            SchedulerEffect::Node(effect) => return self.io.perform(effect),
            SchedulerEffect::AppendJournal { seq, bytes } => {
                let stream = StreamName::journal(self.scheduler.node());
                let append = self.io.appender(stream, bytes);
                self.io.run(move || SchedulerEvent::JournalAppended { seq, outcome: append() });
            }
            SchedulerEffect::ReadJournal { read_id, node, from } => {
                let log = Arc::clone(&self.io.log);
                self.io.run(move || {
                    let outcome = log.read(&StreamName::journal(node), from);
                    SchedulerEvent::JournalRead { read_id, outcome }
                });
            }
            SchedulerEffect::CallWorker { addr, ticket, call, guard } => {
                let clock = self.io.clock;
                self.io.run(move || {
                    let result = if may_call(clock, guard) {
                        call_worker(&WorkerClient::new(addr), &call)
                    } else {
                        Err(CallError::NotSent)
                    };
                    SchedulerEvent::WorkerAnswered { ticket, result }
                });
            }
        }
        false
    }
}

/// Asked on the thread that makes the call, right before it. A process that was stopped since the
/// decision would otherwise start a task under an authority that another one has by now.
fn may_call(clock: Clock, guard: WorkerCallGuard) -> bool {
    match guard {
        WorkerCallGuard::None => true,
        WorkerCallGuard::Before(until) => clock.now() < until,
        WorkerCallGuard::Refused(_) => false,
    }
}

fn call_worker(worker: &WorkerClient, call: &WorkerCall) -> Result<WorkerAnswer, CallError> {
    let answer = match call {
        WorkerCall::Start(start) => worker.start(start).map(WorkerAnswer::Start),
        WorkerCall::Renew(renew) => worker.renew(renew).map(WorkerAnswer::Renew),
        WorkerCall::Stop(stop) => worker.stop(stop).map(WorkerAnswer::Stop),
        WorkerCall::Throttle(throttle) => worker.throttle(throttle).map(WorkerAnswer::Stop),
        WorkerCall::Report => worker.report().map(WorkerAnswer::Report),
    };
    answer.map_err(|failure| match failure {
        CallFailure::NotSent(_) => CallError::NotSent,
        CallFailure::NoAnswer(_) | CallFailure::Truncated { .. } => CallError::Unknown,
    })
}

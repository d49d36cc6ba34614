//! The scheduler daemon.

use {
    super::{
        error::StartError,
        gauges::SchedulerGauges,
        io::{
            Io, Running, Stopped, TICK, drain, generate_node_id, listen_to_peers, node_info,
            peer_runtime, seeds, spawn_loop, wait,
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

/// How long a graceful shutdown waits until the log has the released shards. After that, successors
/// wait for the authority to expire, as after a crash.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);

struct SchedulerLoop {
    scheduler: Scheduler,
    io: Io<SchedulerEvent>,
    rx: Receiver<SchedulerEvent>,
    metrics: Arc<SchedulerMetrics>,
    gauges: SchedulerGauges,
    shutdown_deadline: Option<Time>,
}

/// Starts a scheduler.
pub fn start_scheduler(settings: &Settings) -> Result<Running, StartError> {
    let rt = peer_runtime()?;
    let (tx, rx) = channel::unbounded();
    let node = generate_node_id();
    let replies = Replies::default();
    let metrics = Arc::new(SchedulerMetrics::new());
    let peers = listen_to_peers(&rt, settings, tx.clone())?;
    let rendered_metrics = Arc::clone(&metrics);
    let render = move || rendered_metrics.render();
    let http = operators::serve(settings, tx.clone(), replies.clone(), render)?;
    let info = node_info(node, Role::Scheduler, settings, peers, http.addr());
    let clock = Clock::start();
    let common = metrics.common().clone();
    let io = Io::new(clock, node, settings, &rt, tx.clone(), replies, common);
    let options = SchedulerOptions { info, seed: node.0, seeds: seeds(settings) };
    let scheduler = Scheduler::new(options);
    let gauges = SchedulerGauges::new(Arc::clone(&metrics));
    let daemon = SchedulerLoop { scheduler, io, rx, metrics, gauges, shutdown_deadline: None };
    let operators = http.addr();
    let request_counters = vec![http.counter().clone()];
    let thread = spawn_loop("egretlb-scheduler", move || daemon.run(&http))?;
    log::info!(node:% = node, operators:% = operators, peers:% = peers; "started");
    let shutdown = Box::new(move || drop(tx.send(NodeEvent::Shutdown.into())));
    Ok(Running {
        node,
        callers: None,
        operators,
        peers,
        shutdown,
        request_counters,
        thread,
        _rt: rt,
    })
}

impl SchedulerLoop {
    fn run(mut self, http: &HttpServer) -> Stopped {
        let mut next_tick = Time::ZERO;
        let mut effects = Vec::new();
        loop {
            let event = wait(self.io.clock, &self.rx, next_tick);
            let now = self.io.clock.now();
            if matches!(event, Some(SchedulerEvent::Node(NodeEvent::Shutdown))) {
                self.shutdown_deadline.get_or_insert(now + RELEASE_TIMEOUT);
            }
            if let Some(event) = event {
                self.scheduler.step(now, event, &mut effects);
            }
            if now >= next_tick {
                next_tick = now + TICK;
                self.scheduler.step(now, NodeEvent::Tick.into(), &mut effects);
                self.io.poll_vms(now);
                self.gauges.update(now, &self.scheduler);
            }
            let done = effects.drain(..).fold(false, |done, effect| done | self.perform(effect));
            if done || self.shutdown_deadline.is_some_and(|deadline| now >= deadline) {
                return drain(&[http.counter()], TICK);
            }
        }
    }

    /// Updates the counters that depend on an effect.
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

/// Checked on the calling thread right before the call: the authority may have passed to another
/// process while this one was paused.
fn may_call(clock: Clock, guard: WorkerCallGuard) -> bool {
    match guard {
        WorkerCallGuard::None => true,
        WorkerCallGuard::Before(until) => clock.now() < until,
        WorkerCallGuard::Refused(_) => false,
    }
}

fn call_worker(worker: &WorkerClient, call: &WorkerCall) -> Result<WorkerAnswer, CallError> {
    let result = match call {
        WorkerCall::Start(start) => worker.start(start).map(WorkerAnswer::Start),
        WorkerCall::Renew(renew) => worker.renew(renew).map(WorkerAnswer::Renew),
        WorkerCall::Stop(stop) => worker.stop(stop).map(WorkerAnswer::Stop),
        WorkerCall::Throttle(throttle) => worker.throttle(throttle).map(WorkerAnswer::Stop),
        WorkerCall::Report => worker.report().map(WorkerAnswer::Report),
    };
    result.map_err(|failure| match failure {
        CallFailure::NotSent(_) => CallError::NotSent,
        CallFailure::NoAnswer(_) | CallFailure::Truncated { .. } => CallError::Unknown,
    })
}

//! An entry's handling of callers' requests.
//!
//! A request is admitted or refused on arrival; a non-idempotent one with a key waits for a permit
//! from the key's owner; it waits in its class's queue; it is sent to a backend server for which
//! the entry holds a share; the complete answer is forwarded. Each request gets exactly one final
//! answer.

mod admission;
mod budget;
mod class;
mod dispatch;
mod dump;
mod event;
mod fairness;
mod grantors;
mod health;
mod latency;
mod limit;
mod meter;
mod options;
mod outcome;
mod permits;
mod request;
mod servers;
mod share_requests;

pub use self::{
    dump::{ClassDump, EntryDump, ServerDump},
    event::{Arrival, AttemptResult, EntryEffect, EntryEvent, ErrorReason, ShardOwner, Verdict},
    options::{EntryOptions, QueueOrder},
};

use {
    self::{
        class::{ClassSettings, Classes},
        fairness::Fairness,
        grantors::Grantors,
        permits::Reports,
        request::{Attempt, Phase, Request, Timer},
        servers::Servers,
    },
    crate::ids::{AttemptId, RequestId},
    egretlb_types::{ClassKind, ConfigDocument, Epoch, NodeId, ShardId, Time},
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
};

/// Admits, queues, sends and answers the requests that arrive at one entry process.
#[derive(Debug)]
pub struct Entry {
    opts: EntryOptions,
    rng: SmallRng,
    classes: Classes,
    fairness: Fairness,
    servers: Servers,
    grantors: Grantors,
    owners: HashMap<ShardId, (NodeId, Epoch)>,
    requests: HashMap<RequestId, Request>,
    /// Ordered, so that tests with a disabled protection are deterministic.
    attempts: BTreeMap<AttemptId, Attempt>,
    next_attempt: u64,
    timers: BTreeSet<(Time, Timer)>,
    reports: Reports,
    /// Number of queued requests.
    queued_count: usize,
    /// When demand is next checked between ticks.
    next_demand_check: Time,
    shutdown_started_at: Option<Time>,
    drained: bool,
}

impl Entry {
    /// Creates an entry without configuration, owners and backend servers.
    pub fn new(opts: EntryOptions) -> Self {
        let rng = SmallRng::seed_from_u64(opts.seed);
        Entry {
            opts,
            rng,
            classes: Classes::default(),
            fairness: Fairness::default(),
            servers: Servers::default(),
            grantors: Grantors::default(),
            owners: HashMap::new(),
            requests: HashMap::new(),
            attempts: BTreeMap::new(),
            next_attempt: 1,
            timers: BTreeSet::new(),
            reports: Reports::default(),
            queued_count: 0,
            next_demand_check: Time::ZERO,
            shutdown_started_at: None,
            drained: false,
        }
    }

    /// Handles one event and appends the resulting effects, in order.
    pub fn step(&mut self, now: Time, event: EntryEvent, out: &mut Vec<EntryEffect>) {
        // Timers that are due run first: after a pause the event must not use expired shares or
        // deadlines.
        self.run_timers(now, out);
        match event {
            EntryEvent::Arrived(arrival) => self.arrive(now, arrival, out),
            EntryEvent::CallerGone { request } => self.caller_gone(now, request, out),
            EntryEvent::Config { document } => self.configure(&document),
            EntryEvent::Owners { owners } => self.set_owners(now, &owners, out),
            EntryEvent::Vms { vms } => self.set_vms(&vms),
            EntryEvent::SharesGranted { grant } => self.apply_grant(now, grant, out),
            EntryEvent::SharesRecalled { shard } => self.handle_recall(now, shard, out),
            EntryEvent::PermitAnswer { request, permit } => {
                self.apply_permit(now, request, permit, out);
            }
            EntryEvent::AttemptEnded { attempt, result } => {
                self.attempt_ended(now, attempt, result, out)
            }
            EntryEvent::ReportConfirmed { request } => self.report_confirmed(request),
            EntryEvent::Tick => self.tick(now, out),
            EntryEvent::Shutdown => {
                self.shutdown_started_at.get_or_insert(now);
            }
        }
        self.dispatch(now, out);
        self.run_timers(now, out);
        self.request_on_demand(now, out);
        self.finish_drain(now, out);
    }

    /// When an additional [`EntryEvent::Tick`] is due; `None` if no timer is set.
    pub fn wake_at(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    fn configure(&mut self, document: &Arc<ConfigDocument>) {
        for ix in self.classes.indices() {
            self.classes.get_mut(ix).settings = None;
        }
        for spec in &document.classes {
            let ClassKind::Latency { target, idempotent, .. } = spec.kind else { continue };
            let ix = self.classes.find_or_add(&spec.name);
            self.fairness.find_or_add(&spec.member);
            self.classes.get_mut(ix).settings =
                Some(ClassSettings { organisation: spec.member.clone(), target, idempotent });
        }
    }

    fn run_timers(&mut self, now: Time, out: &mut Vec<EntryEffect>) {
        while let Some((at, timer)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.pop_first();
            match timer {
                Timer::QueueDeadline(request) => self.expire_queued(now, request, out),
                Timer::Deadline(request) => self.deadline_passed(now, request, out),
                Timer::Hedge(request) => self.hedge(now, request, out),
                Timer::PermitTimeout(request) => self.permit_timed_out(now, request, out),
                Timer::AttemptTimeout(attempt) => self.attempt_timed_out(now, attempt, out),
                Timer::SharesExpire(shard) => self.expire_shares(now, shard),
                Timer::ServerExpiry(server) => self.servers.expire(server, now),
                Timer::ResendReport(request) => self.resend_report(now, request, out),
            }
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<EntryEffect>) {
        self.send_due_requests(now, self.needs_shares(), out);
        for ix in self.classes.indices() {
            let class = self.classes.get_mut(ix);
            if let Some(load) = class.load.take_report(now) {
                out.push(EntryEffect::ReportLoad { class: class.name.clone(), load });
            }
        }
    }

    /// After a shutdown returns all shares and reports [`EntryEffect::Drained`] once nothing is in
    /// progress.
    fn finish_drain(&mut self, now: Time, out: &mut Vec<EntryEffect>) {
        let Some(since) = self.shutdown_started_at else { return };
        let reported =
            self.reports.is_empty() || now.since(since) >= permits::SHUTDOWN_REPORT_TIMEOUT;
        if self.drained || !self.requests.is_empty() || !self.attempts.is_empty() || !reported {
            return;
        }
        self.drained = true;
        self.return_shares(now, out);
        out.push(EntryEffect::Drained);
    }
}

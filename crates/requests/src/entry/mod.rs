//! One entry's decisions about callers' requests.
//!
//! A request's way: it arrives and is admitted or refused at once; a non-idempotent one with a key
//! waits for a permit of the key's owner; it waits in its class's queue; it is sent to a backend
//! server for which the entry holds a share; the whole answer is passed on. Each request gets
//! exactly one final answer, as soon as it is known.

mod arrive;
mod budget;
mod class;
mod dispatch;
mod dump;
mod event;
mod fairness;
mod grantors;
mod health;
mod keyed;
mod latency;
mod limit;
mod meter;
mod options;
mod outcome;
mod request;
mod servers;
mod sharing;

pub use self::{
    dump::{ClassDump, EntryDump, ServerDump},
    event::{Arrival, AttemptResult, EntryEffect, EntryEvent, ErrorReason, ShardOwner, Verdict},
    options::{EntryOptions, QueueOrder},
};

use {
    self::{
        class::{Classes, Service},
        fairness::Fairness,
        grantors::Grantors,
        keyed::Reports,
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

/// Decides what becomes of the requests that arrive at one entry process.
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
    /// Ordered, so that a test with a protection off behaves the same in each run.
    attempts: BTreeMap<AttemptId, Attempt>,
    next_attempt: u64,
    timers: BTreeSet<(Time, Timer)>,
    reports: Reports,
    /// Requests that wait in queues.
    waiting: usize,
    /// When it is next looked whether to ask for shares because of demand.
    look_at: Time,
    shut_down_at: Option<Time>,
    drained: bool,
}

impl Entry {
    /// An entry that knows no configuration, no owners and no backend servers yet.
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
            waiting: 0,
            look_at: Time::ZERO,
            shut_down_at: None,
            drained: false,
        }
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn step(&mut self, now: Time, event: EntryEvent, out: &mut Vec<EntryEffect>) {
        // What has run out meanwhile goes first: after a pause, shares and deadlines must not be
        // used by the event that ends it.
        self.run_timers(now, out);
        match event {
            EntryEvent::Arrived(arrival) => self.arrive(now, arrival, out),
            EntryEvent::CallerGone { request } => self.caller_gone(now, request, out),
            EntryEvent::Config { document } => self.configure(&document),
            EntryEvent::Owners { owners } => self.set_owners(now, &owners, out),
            EntryEvent::Vms { vms } => self.set_vms(&vms),
            EntryEvent::SharesGranted { grant } => self.take_grant(now, grant, out),
            EntryEvent::SharesRecalled { shard } => self.recalled(now, shard, out),
            EntryEvent::PermitAnswer { request, permit } => {
                self.take_permit(now, request, permit, out);
            }
            EntryEvent::AttemptEnded { attempt, result } => {
                self.answered(now, attempt, result, out)
            }
            EntryEvent::ReportConfirmed { request } => self.report_done(request),
            EntryEvent::Tick => self.tick(now, out),
            EntryEvent::Shutdown => {
                self.shut_down_at.get_or_insert(now);
            }
        }
        self.dispatch(now, out);
        self.run_timers(now, out);
        self.request_on_demand(now, out);
        self.finish_drain(now, out);
    }

    /// When the next [`EntryEvent::Tick`] is due at the latest, besides the regular ones.
    pub fn wake_at(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    fn configure(&mut self, document: &Arc<ConfigDocument>) {
        for ix in self.classes.indices() {
            self.classes.get_mut(ix).service = None;
        }
        for spec in &document.classes {
            let ClassKind::Latency { target, idempotent, .. } = spec.kind else { continue };
            let ix = self.classes.find_or_add(&spec.name);
            self.fairness.find_or_add(&spec.member);
            self.classes.get_mut(ix).service =
                Some(Service { member: spec.member.clone(), target, idempotent });
        }
    }

    fn run_timers(&mut self, now: Time, out: &mut Vec<EntryEffect>) {
        while let Some((at, timer)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.pop_first();
            match timer {
                Timer::GiveUp(request) => self.give_up_waiting(now, request, out),
                Timer::Deadline(request) => self.deadline(now, request, out),
                Timer::Hedge(request) => self.hedge(now, request, out),
                Timer::PermitWait(request) => self.permit_overdue(now, request, out),
                Timer::AttemptEnd(attempt) => self.attempt_overdue(now, attempt, out),
                Timer::Lapse(shard) => self.lapse(now, shard),
                Timer::Server(server) => self.servers.expire(server, now),
                Timer::Report(request) => self.report_again(now, request, out),
            }
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<EntryEffect>) {
        self.send_due_requests(now, self.is_short(), out);
        for ix in self.classes.indices() {
            let class = self.classes.get_mut(ix);
            if let Some(load) = class.load.take(now) {
                out.push(EntryEffect::ReportLoad { class: class.name.clone(), load });
            }
        }
    }

    /// After a shutdown: gives back all shares and says so once nothing is in progress.
    fn finish_drain(&mut self, now: Time, out: &mut Vec<EntryEffect>) {
        let Some(since) = self.shut_down_at else { return };
        let reported = self.reports.is_empty() || now.since(since) >= keyed::REPORT_ON_SHUTDOWN;
        if self.drained || !self.requests.is_empty() || !self.attempts.is_empty() || !reported {
            return;
        }
        self.drained = true;
        self.give_back_shares(now, out);
        out.push(EntryEffect::Drained);
    }
}

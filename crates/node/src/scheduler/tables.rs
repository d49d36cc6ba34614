//! The tables of a scheduler, and the messages between them and to other processes.

use {
    super::{
        Out, SchedulerEffect, WorkerCallGuard,
        journal::{TableEntry, TableTicket},
        recovery::OwnershipHistory,
    },
    crate::{
        node::Notice,
        peer::{JobRequest, PeerMessage},
    },
    egretlb_control::Control,
    egretlb_log::Recovered,
    egretlb_requests::{
        KeyTable, KeyTableEffect, KeyTableEvent, ShareTable, ShareTableEffect, ShareTableEvent,
        keys::{KeyJournalEntry, KeySnapshot, Permit},
        shares::{ServerInfo, ServerSpec},
    },
    egretlb_tasks::{
        Backend, CallError, CallId, Guard, JobEffect, JobEntry, JobEvent, JobSnapshot, JobTable,
        RackEffect, RackEvent, RackTable, WorkerAnswer,
    },
    egretlb_types::{
        Authority, ConfigDocument, Epoch, NodeId, ShardId, Ticket, Time, VmRecord, VmState,
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// The durable state of a shard, as stored in a journal snapshot.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct ShardSnapshot {
    jobs: JobSnapshot,
    keys: KeySnapshot,
}

/// A change of a shard, as stored in a journal entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum ShardChange {
    Job(JobEntry),
    Key(KeyJournalEntry),
}

impl ShardSnapshot {
    pub(super) fn encode(&self) -> Vec<u8> {
        // Can't fail: no type here holds a map of unknown length.
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

impl ShardChange {
    fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

/// The node and call id that get the reply to a call about a job.
#[derive(Clone, Copy, Debug)]
struct Caller {
    node: NodeId,
    call: CallId,
}

pub(super) struct SchedulerTables {
    jobs: JobTable,
    racks: RackTable,
    shares: ShareTable,
    keys: KeyTable,
    callers: BTreeMap<CallId, Caller>,
    last_call: u64,
    pending_entries: Vec<TableEntry>,
    log_up: bool,
    known_schedulers: Vec<NodeId>,
}

impl SchedulerTables {
    pub(super) fn new(node: NodeId, seed: u64) -> Self {
        SchedulerTables {
            jobs: JobTable::builder().seed(seed).build(),
            racks: RackTable::builder().seed(seed.wrapping_add(node.0)).build(),
            shares: ShareTable::new(),
            keys: KeyTable::new(),
            callers: BTreeMap::new(),
            last_call: 0,
            pending_entries: Vec::new(),
            log_up: true,
            known_schedulers: Vec::new(),
        }
    }

    pub(super) fn racks(&self) -> &RackTable {
        &self.racks
    }

    pub(super) fn keys(&self) -> &KeyTable {
        &self.keys
    }

    /// Removes and returns the entries to journal, in order.
    pub(super) fn take_entries(&mut self) -> Vec<TableEntry> {
        std::mem::take(&mut self.pending_entries)
    }

    pub(super) fn snapshot(&self, now: Time, shard: ShardId) -> ShardSnapshot {
        ShardSnapshot { jobs: self.jobs.snapshot(shard), keys: self.keys.snapshot(now, shard) }
    }

    /// Restores a shard from its recovered journal. Returns whether any part couldn't be decoded.
    pub(super) fn restore(&mut self, shard: ShardId, recovered: Option<&Recovered>) -> bool {
        let Some(recovered) = recovered else { return false };
        let snapshot: Result<ShardSnapshot, _> = postcard::from_bytes(&recovered.snapshot);
        let mut unreadable = snapshot.is_err();
        let ShardSnapshot { jobs, keys } = snapshot.unwrap_or_default();
        self.jobs.restore(shard, jobs);
        self.keys.restore(shard, keys);
        for change in &recovered.changes {
            match postcard::from_bytes(change) {
                Ok(ShardChange::Job(entry)) => self.jobs.replay(shard, &entry),
                Ok(ShardChange::Key(entry)) => self.keys.replay(shard, &entry),
                Err(_) => unreadable = true,
            }
        }
        unreadable
    }

    pub(super) fn take_ownership(
        &mut self,
        now: Time,
        shard: ShardId,
        epoch: Epoch,
        history: OwnershipHistory,
        control: &Control,
        out: &mut Out,
    ) {
        let OwnershipHistory { had_owner, unreleased } = history;
        let released = !had_owner || !unreleased;
        self.step_racks(now, RackEvent::Owned { shard, epoch, released }, control, out);
        let owned = ShareTableEvent::Owned { shard, epoch, had_owner };
        self.step_shares(now, owned, control, out);
        self.step_keys(now, KeyTableEvent::Owned { shard, epoch }, control, out);
        self.step_jobs(now, JobEvent::Owned { shard, epoch }, control, out);
    }

    pub(super) fn lose_ownership(
        &mut self,
        now: Time,
        shard: ShardId,
        control: &Control,
        out: &mut Out,
    ) {
        self.step_jobs(now, JobEvent::Lost { shard }, control, out);
        self.step_keys(now, KeyTableEvent::Lost { shard }, control, out);
        self.step_shares(now, ShareTableEvent::Lost { shard }, control, out);
        self.step_racks(now, RackEvent::Lost { shard }, control, out);
    }

    pub(super) fn configure(
        &mut self,
        now: Time,
        document: &Arc<ConfigDocument>,
        control: &Control,
        out: &mut Out,
    ) {
        let event = RackEvent::Config { document: Arc::clone(document) };
        self.step_racks(now, event, control, out);
        let event = JobEvent::Config { document: Arc::clone(document) };
        self.step_jobs(now, event, control, out);
    }

    pub(super) fn tick(&mut self, now: Time, control: &Control, out: &mut Out) {
        self.step_racks(now, RackEvent::Tick, control, out);
        self.step_shares(now, ShareTableEvent::Tick, control, out);
        self.step_keys(now, KeyTableEvent::Tick, control, out);
        self.step_jobs(now, JobEvent::Tick, control, out);
    }

    /// Passes on the list of schedulers if it has changed.
    pub(super) fn update_schedulers(&mut self, now: Time, control: &Control, out: &mut Out) {
        let Some(state) = control.state() else { return };
        let nodes: Vec<NodeId> = state.schedulers().map(|info| info.node).collect();
        if nodes != self.known_schedulers {
            self.known_schedulers.clone_from(&nodes);
            self.step_jobs(now, JobEvent::Nodes { nodes }, control, out);
        }
    }

    pub(super) fn vms(&mut self, now: Time, vms: Vec<VmRecord>, control: &Control, out: &mut Out) {
        self.step_racks(now, RackEvent::Vms { vms }, control, out);
    }

    pub(super) fn log_state(&mut self, now: Time, up: bool, control: &Control, out: &mut Out) {
        if up != self.log_up {
            self.log_up = up;
            self.step_keys(now, KeyTableEvent::LogState { up }, control, out);
        }
    }

    pub(super) fn journaled(
        &mut self,
        now: Time,
        ticket: TableTicket,
        control: &Control,
        out: &mut Out,
    ) {
        match ticket {
            TableTicket::Jobs(ticket) => {
                self.step_jobs(now, JobEvent::Journaled { ticket }, control, out);
            }
            TableTicket::Keys(ticket) => {
                self.step_keys(now, KeyTableEvent::Journaled { ticket }, control, out);
            }
        }
    }

    pub(super) fn worker_answered(
        &mut self,
        now: Time,
        ticket: Ticket,
        result: Result<WorkerAnswer, CallError>,
        control: &Control,
        out: &mut Out,
    ) {
        self.step_racks(now, RackEvent::WorkerAnswered { ticket, result }, control, out);
    }

    /// Handles a message for a scheduler. Messages for an entry are ignored: they were sent to the
    /// previous process at this address.
    pub(super) fn peer(
        &mut self,
        now: Time,
        from: NodeId,
        message: PeerMessage,
        control: &Control,
        out: &mut Out,
    ) {
        match message {
            PeerMessage::PermitRequest(request) => {
                self.step_keys(now, KeyTableEvent::Request { request }, control, out);
            }
            PeerMessage::Outcome(report) => {
                self.step_keys(now, KeyTableEvent::Report { report }, control, out);
            }
            PeerMessage::ShareRequest(request) => {
                self.step_shares(now, ShareTableEvent::Request { request }, control, out);
            }
            PeerMessage::Load { class, load } => {
                self.step_jobs(now, JobEvent::Load { from, class, load }, control, out);
            }
            PeerMessage::ToNode(msg) => {
                self.step_racks(now, RackEvent::NodeMessage { from, msg }, control, out);
            }
            PeerMessage::ToRack { shard, msg } => {
                self.step_racks(now, RackEvent::RackMessage { shard, msg }, control, out);
            }
            PeerMessage::ToJob { msg, .. } => {
                self.step_jobs(now, JobEvent::Message { from, msg }, control, out);
            }
            PeerMessage::JobCall { call, request } => {
                self.job_call(now, Caller { node: from, call }, request, control, out);
            }
            _ => {}
        }
    }

    fn job_call(
        &mut self,
        now: Time,
        caller: Caller,
        request: JobRequest,
        control: &Control,
        out: &mut Out,
    ) {
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.callers.insert(call, caller);
        let event = match request {
            JobRequest::Submit(spec) => JobEvent::Submit { call, spec },
            JobRequest::Cancel(job) => JobEvent::Cancel { call, job },
            JobRequest::Status(job) => JobEvent::Status { call, job },
        };
        self.step_jobs(now, event, control, out);
    }

    fn step_jobs(&mut self, now: Time, event: JobEvent, control: &Control, out: &mut Out) {
        let mut effects = Vec::new();
        self.jobs.step(now, event, control, &mut effects);
        for effect in effects {
            self.perform_job(effect, control, out);
        }
    }

    fn perform_job(&mut self, effect: JobEffect, control: &Control, out: &mut Out) {
        match effect {
            JobEffect::Journal { shard, entry, ticket } => {
                let body = ShardChange::Job(entry).encode();
                self.pending_entries.push(TableEntry {
                    shard,
                    ticket: TableTicket::Jobs(ticket),
                    body,
                });
            }
            JobEffect::Reply { call, reply } => {
                if let Some(caller) = self.callers.remove(&call) {
                    let message = PeerMessage::JobReply { call: caller.call, reply };
                    out.outbox.send(control, caller.node, message);
                }
            }
            JobEffect::SendToNode { node, msg } => {
                out.outbox.send(control, node, PeerMessage::ToNode(msg));
            }
            JobEffect::SendToRack { shard, msg } => {
                out.outbox.send_to_owner(control, shard, PeerMessage::ToRack { shard, msg });
            }
            JobEffect::Alarm(alarm) => out.notice(Notice::Job(alarm)),
        }
    }

    fn step_racks(&mut self, now: Time, event: RackEvent, control: &Control, out: &mut Out) {
        let mut effects = Vec::new();
        self.racks.step(now, event, control, &mut effects);
        for effect in effects {
            self.perform_rack(now, effect, control, out);
        }
    }

    fn perform_rack(&mut self, now: Time, effect: RackEffect, control: &Control, out: &mut Out) {
        match effect {
            RackEffect::CallWorker { addr, ticket, call, guard, .. } => {
                let guard = call_guard(now, guard, control);
                out.scheduler_effects.push(SchedulerEffect::CallWorker {
                    addr,
                    ticket,
                    call,
                    guard,
                });
            }
            RackEffect::SendToJob { shard, msg } => {
                out.outbox.send_to_owner(control, shard, PeerMessage::ToJob { shard, msg });
            }
            RackEffect::Backends { shard, backends } => {
                let servers = backends.into_iter().map(server_spec).collect();
                self.step_shares(now, ShareTableEvent::Servers { shard, servers }, control, out);
            }
            RackEffect::Alarm(alarm) => out.notice(Notice::Rack(alarm)),
        }
    }

    fn step_shares(&mut self, now: Time, event: ShareTableEvent, control: &Control, out: &mut Out) {
        let mut effects = Vec::new();
        self.shares.step(now, event, control, &mut effects);
        for effect in effects {
            match effect {
                ShareTableEffect::Grant { entry, grant } => {
                    if control.epoch_if_held(now, grant.shard) == Some(grant.epoch) {
                        out.outbox.send(control, entry, PeerMessage::Shares(grant));
                    }
                }
                ShareTableEffect::Recall { entry, shard, .. } => {
                    out.outbox.send(control, entry, PeerMessage::RecallShares { shard });
                }
            }
        }
    }

    fn step_keys(&mut self, now: Time, event: KeyTableEvent, control: &Control, out: &mut Out) {
        let mut effects = Vec::new();
        self.keys.step(now, event, control, &mut effects);
        for effect in effects {
            match effect {
                KeyTableEffect::Journal { shard, entry, ticket } => {
                    let body = ShardChange::Key(entry).encode();
                    self.pending_entries.push(TableEntry {
                        shard,
                        ticket: TableTicket::Keys(ticket),
                        body,
                    });
                }
                KeyTableEffect::Answer { shard, holder, permit } => {
                    let has_authority = control.epoch_if_held(now, shard).is_some();
                    // Without an answer the entry drops its permit request and the key is freed.
                    if has_authority || permit != Permit::Granted {
                        let message = PeerMessage::Permit { request: holder.request, permit };
                        out.outbox.send(control, holder.entry, message);
                    }
                }
                KeyTableEffect::ConfirmReport { holder } => {
                    let message = PeerMessage::OutcomeRecorded { request: holder.request };
                    out.outbox.send(control, holder.entry, message);
                }
            }
        }
    }
}

fn call_guard(now: Time, guard: Guard, control: &Control) -> WorkerCallGuard {
    match guard {
        Guard::None => WorkerCallGuard::None,
        Guard::Before(time) => WorkerCallGuard::Before(time),
        Guard::Authority(shard) => match control.authority_until(now, shard) {
            Some(until) => WorkerCallGuard::Before(until),
            None => WorkerCallGuard::Refused(shard),
        },
    }
}

fn server_spec(backend: Backend) -> ServerSpec {
    ServerSpec {
        info: ServerInfo {
            vm: backend.vm,
            addr: backend.addr,
            data_centre: backend.data_centre,
            state: VmState::Live,
            classes: backend.classes,
        },
        slots: backend.slots,
        connections: backend.connections,
    }
}

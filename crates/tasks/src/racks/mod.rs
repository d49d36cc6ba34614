//! Table of VMs and their attempts, for the rack shards that a node owns.
//!
//! It alone calls its racks' VMs: it makes reservations, forwards starts and stops, renews leases,
//! polls reports, and reports ends to the jobs' owners. It journals nothing: a successor adopts
//! what the VMs report, and grants nothing on a VM before it has a report that no call of the
//! predecessor can change.

mod answers;
mod api;
mod eviction;
mod index;
mod lease;
mod place;
mod report;
mod start;
mod vm;

pub use api::{
    Backend, CallError, EvictReason, Guard, RackAlarm, RackEffect, RackEvent, VmSummary,
    WorkerAnswer, WorkerCall,
};

use {
    crate::{
        jobs::job_shard_of_task,
        learn::ClassStatistics,
        limits::{Limits, Protections},
        msg::{JobMsg, NodeCapacity, NodeMsg, RackMsg, ReservationId},
    },
    egretlb_types::{
        Authority, ClassName, ConfigDocument, Epoch, Resources, ShardId, TaskId, TeamName, Ticket,
        Time, VmId, VmRecord, shard_of_rack, worker::TaskFence,
    },
    eviction::EvictionState,
    index::CapacityIndex,
    rand::{SeedableRng, rngs::SmallRng},
    smallvec::SmallVec,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
    vm::Vm,
};

/// State of an owned shard.
#[derive(Clone, Copy, Debug)]
struct RackShard {
    epoch: Epoch,
    owned_at: Time,
    released: bool,
    /// When authority was last held; renewals go on for a limited time after it.
    authority_seen_at: Time,
}

/// A worker call in progress.
#[derive(Clone, Debug)]
struct Call {
    vm: VmId,
    sent: Time,
    kind: CallKind,
}

/// The kind of a call, with its attempt.
#[derive(Clone, Debug)]
enum CallKind {
    Start(TaskFence),
    Renew,
    Stop(TaskFence),
    Throttle(TaskFence),
    Report,
}

/// Builds a [`RackTable`].
#[derive(Debug, Default)]
pub struct RackTableBuilder {
    limits: Limits,
    protections: Protections,
    seed: u64,
    learning: bool,
}

impl RackTableBuilder {
    /// Overrides the default limits.
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Disables protections, in tests.
    pub fn protections(mut self, protections: Protections) -> Self {
        self.protections = protections;
        self
    }

    /// Seed of the random placement choices.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Whether sizes and interference are learned. Disabled only as a baseline to compare with.
    pub fn learning(mut self, enabled: bool) -> Self {
        self.learning = enabled;
        self
    }

    /// Builds a table without any shards.
    pub fn build(self) -> RackTable {
        RackTable {
            limits: self.limits,
            protections: self.protections,
            rng: SmallRng::seed_from_u64(self.seed),
            learned: ClassStatistics::new(self.learning),
            document: Arc::default(),
            shards: BTreeMap::new(),
            vm_list: Arc::default(),
            vms: BTreeMap::new(),
            slots: Vec::new(),
            free_slots: Vec::new(),
            index: CapacityIndex::default(),
            placed: HashMap::new(),
            calls: HashMap::new(),
            next_ticket: Ticket(0),
            backends_changed: BTreeSet::new(),
            eviction: EvictionState::default(),
            usage: BTreeMap::new(),
            capacity: NodeCapacity::default(),
            next_totals_at: Time::ZERO,
            quarantined: BTreeSet::new(),
        }
    }
}

/// Table of VMs: free capacity, leases, attempts and health.
#[derive(Debug)]
pub struct RackTable {
    limits: Limits,
    protections: Protections,
    rng: SmallRng,
    learned: ClassStatistics,
    document: Arc<ConfigDocument>,
    shards: BTreeMap<ShardId, RackShard>,
    vm_list: Arc<Vec<VmRecord>>,
    vms: BTreeMap<VmId, Vm>,
    /// VM by slot of the capacity index.
    slots: Vec<VmId>,
    free_slots: Vec<u32>,
    index: CapacityIndex,
    /// The reservation of each task that has one, so that a repeated request gets the same grant.
    placed: HashMap<TaskId, (VmId, ReservationId)>,
    calls: HashMap<Ticket, Call>,
    next_ticket: Ticket,
    backends_changed: BTreeSet<ShardId>,
    eviction: EvictionState,
    /// Resources held by each team's batch tasks, as of the last update.
    usage: BTreeMap<TeamName, Resources>,
    /// Capacity of all VMs, as of the last update.
    capacity: NodeCapacity,
    next_totals_at: Time,
    quarantined: BTreeSet<VmId>,
}

/// Interval between updates of the capacity and usage totals.
const TOTALS_INTERVAL: Duration = Duration::from_millis(500);

impl RackTable {
    /// Creates a builder with learning enabled.
    pub fn builder() -> RackTableBuilder {
        RackTableBuilder { learning: true, ..RackTableBuilder::default() }
    }

    /// Handles one event and appends its effects to `out`.
    pub fn step(
        &mut self,
        now: Time,
        event: RackEvent,
        auth: &dyn Authority,
        out: &mut Vec<RackEffect>,
    ) {
        self.record_authority(now, auth);
        match event {
            RackEvent::Owned { shard, epoch, released } => {
                self.acquire_shard(now, shard, epoch, released)
            }
            RackEvent::Lost { shard } => self.drop_shard(shard),
            RackEvent::Config { document } => self.document = document,
            RackEvent::Tick => self.tick(now, auth, out),
            RackEvent::Vms { vms } => {
                self.vm_list = Arc::new(vms);
                self.apply_vm_list(now);
            }
            RackEvent::NodeMessage { from: _, msg: NodeMsg::Place(place) } => {
                self.place(now, place, auth, out);
            }
            RackEvent::NodeMessage { from: _, msg: NodeMsg::TargetStatus { class, missed } } => {
                self.eviction.record_target(now, class, missed);
            }
            RackEvent::RackMessage { shard, msg } => match msg {
                RackMsg::Start(start) => self.on_start(now, shard, start, auth, out),
                RackMsg::Stop(stop) => self.on_stop(now, shard, stop, auth, out),
                RackMsg::AckEnded { vm, of } => self.on_ack(&vm, &of),
            },
            RackEvent::WorkerAnswered { ticket, result } => {
                self.on_answer(now, ticket, result, auth, out);
            }
        }
    }

    fn tick(&mut self, now: Time, auth: &dyn Authority, out: &mut Vec<RackEffect>) {
        let ids: Vec<VmId> = self.vms.keys().cloned().collect();
        for id in &ids {
            self.expire_reservations(now, id);
            self.check_lost(now, id, out);
            self.poll(now, id, out);
            self.renew(now, id, out);
            self.call_due(now, id, auth, out);
            self.drain_vm(now, id, out);
            self.report_ends(now, id, out);
        }
        if now >= self.next_totals_at {
            self.next_totals_at = now + TOTALS_INTERVAL;
            self.update_totals();
        }
        self.protect_services(now, auth, out);
        self.report_backends(out);
    }

    fn record_authority(&mut self, now: Time, auth: &dyn Authority) {
        for (shard, state) in &mut self.shards {
            if auth.epoch_if_held(now, *shard) == Some(state.epoch) {
                state.authority_seen_at = now;
            }
        }
    }

    /// Whether this node holds authority for the shard.
    fn has_authority(&self, now: Time, shard: ShardId, auth: &dyn Authority) -> bool {
        let Some(state) = self.shards.get(&shard) else { return false };
        !self.protections.authority || auth.epoch_if_held(now, shard) == Some(state.epoch)
    }

    fn acquire_shard(&mut self, now: Time, shard: ShardId, epoch: Epoch, released: bool) {
        let state = RackShard { epoch, owned_at: now, released, authority_seen_at: now };
        self.shards.insert(shard, state);
        self.apply_vm_list(now);
    }

    fn drop_shard(&mut self, shard: ShardId) {
        self.shards.remove(&shard);
        let gone: Vec<VmId> = self
            .vms
            .values()
            .filter(|vm| vm.shard == shard)
            .map(|vm| vm.record.vm.clone())
            .collect();
        for id in &gone {
            self.forget(id);
        }
        self.calls.retain(|_, call| !gone.contains(&call.vm));
    }

    fn apply_vm_list(&mut self, now: Time) {
        for vm in self.vms.values_mut() {
            vm.listed = false;
        }
        let vm_list = Arc::clone(&self.vm_list);
        for record in vm_list.iter() {
            let shard = shard_of_rack(&record.rack);
            if self.shards.contains_key(&shard) {
                self.apply_vm_record(now, shard, record);
            }
        }
        let gone: Vec<VmId> = self
            .vms
            .values()
            .filter(|vm| !vm.listed && vm.attempts.is_empty() && vm.closed.is_empty())
            .map(|vm| vm.record.vm.clone())
            .collect();
        for id in &gone {
            self.forget(id);
        }
        let ids: Vec<VmId> = self.vms.keys().cloned().collect();
        ids.iter().for_each(|id| self.reindex(id));
    }

    fn apply_vm_record(&mut self, now: Time, shard: ShardId, record: &VmRecord) {
        if let Some(vm) = self.vms.get_mut(&record.vm) {
            vm.listed = true;
            if vm.record != *record {
                vm.record = record.clone();
                self.backends_changed.insert(shard);
            }
            return;
        }
        let slot = self.free_slots.pop().unwrap_or(self.slots.len() as u32);
        if slot as usize == self.slots.len() {
            self.slots.push(record.vm.clone());
        } else {
            self.slots[slot as usize] = record.vm.clone();
        }
        let mut vm = Vm::new(record.clone(), shard, slot, now);
        let owned_at = self.shards[&shard].owned_at;
        vm.fresh_from = owned_at + self.limits.max_call_delay;
        vm.lease_bound = self.inherited_bound(shard);
        self.vms.insert(record.vm.clone(), vm);
    }

    fn forget(&mut self, id: &VmId) {
        let Some(vm) = self.vms.remove(id) else { return };
        self.index.set(vm.slot, None);
        self.quarantined.remove(id);
        self.free_slots.push(vm.slot);
        self.backends_changed.insert(vm.shard);
        self.placed.retain(|_, (at, _)| at != id);
    }

    /// Updates the VM's resource sums and its place in the capacity index.
    fn reindex(&mut self, id: &VmId) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        vm.recount();
        if vm.health.quarantined {
            self.quarantined.insert(id.clone());
        } else {
            self.quarantined.remove(id);
        }
        let accepts_tasks =
            vm.may_grant(self.protections.report_before_grant) && !vm.health.quarantined;
        let checked = self.protections.capacity_check;
        let free = if checked { vm.free_capacity() } else { vm.record.capacity };
        self.index.set(vm.slot, accepts_tasks.then_some(&free));
    }

    fn ticket(&mut self, now: Time, vm: &VmId, kind: CallKind) -> Ticket {
        self.next_ticket = self.next_ticket.next();
        self.calls.insert(self.next_ticket, Call { vm: vm.clone(), sent: now, kind });
        self.next_ticket
    }

    fn call(
        &mut self,
        now: Time,
        id: &VmId,
        kind: CallKind,
        call: WorkerCall,
        guard: Guard,
        out: &mut Vec<RackEffect>,
    ) {
        let addr = self.vms[id].record.addr.clone();
        let ticket = self.ticket(now, id, kind);
        out.push(RackEffect::CallWorker { vm: id.clone(), addr, ticket, call, guard });
    }

    /// Sums the capacity of the node's VMs.
    fn node_capacity(&self) -> NodeCapacity {
        let mut capacity = NodeCapacity::default();
        for vm in self.vms.values() {
            capacity.add_size(&vm.record.capacity);
            if vm.may_grant(self.protections.report_before_grant) {
                capacity.vms += 1;
                capacity.free = capacity.free.plus(&vm.free_capacity());
            }
        }
        capacity
    }

    /// State of each VM, for a state dump.
    pub fn summary(&self) -> Vec<VmSummary> {
        let summary = |vm: &Vm| VmSummary {
            vm: vm.record.vm.clone(),
            committed: vm.committed,
            observed: vm.observed,
            attempts: vm.attempts.len() as u32,
            takes_work: vm.may_grant(true) && !vm.health.quarantined,
            quarantined: vm.health.quarantined,
            lost: vm.lost,
        };
        self.vms.values().map(summary).collect()
    }

    fn report_backends(&mut self, out: &mut Vec<RackEffect>) {
        for shard in std::mem::take(&mut self.backends_changed) {
            let backends = self.backends(shard);
            out.push(RackEffect::Backends { shard, backends });
        }
    }

    /// The VMs of a shard that serve requests now.
    pub fn backends(&self, shard: ShardId) -> Vec<Backend> {
        let serves = |vm: &&Vm| vm.shard == shard && !vm.is_draining() && !vm.lost;
        let backend = |vm: &Vm| {
            let running = vm
                .attempts
                .values()
                .filter(|attempt| attempt.service && attempt.phase == vm::Phase::Running);
            let classes: SmallVec<[ClassName; 4]> =
                running.map(|attempt| attempt.class.clone()).collect();
            Backend {
                vm: vm.record.vm.clone(),
                addr: vm.record.addr.clone(),
                data_centre: vm.record.data_centre.clone(),
                classes,
                slots: vm.record.slots,
                connections: vm.record.connections,
            }
        };
        let all = self.vms.values().filter(serves).map(backend);
        all.filter(|backend| !backend.classes.is_empty()).collect()
    }
}

fn to_job(task: &TaskId, msg: JobMsg) -> RackEffect {
    RackEffect::SendToJob { shard: job_shard_of_task(task), msg }
}

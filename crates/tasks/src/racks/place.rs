//! Choosing VMs for tasks, and keeping the room until they start.

use {
    super::{
        RackEffect, RackTable,
        vm::{Reservation, Vm},
    },
    crate::msg::{Grant, JobMsg, Place, Placed, ReservationId, TaskRequest, TeamUsage},
    egretlb_types::{Authority, ClassName, Resources, TeamName, Time, VmId},
    std::collections::BTreeMap,
};

/// How many VMs are compared for a task. More find a better neighbourhood at more cost; past a
/// dozen the best of them hardly improves.
const MAX_CANDIDATES: usize = 12;

/// How much worse one unit of expected slowdown (a doubling of run time) is than leaving a VM
/// wholly empty: a latency target missed costs more than fragmented room.
const SLOWDOWN_WEIGHT: f64 = 4.0;

/// A VM in a data centre that already has a replica is taken only for want of others.
const SPREAD_PENALTY: f64 = 100.0;

/// An accelerator held idle by a task that needs none may keep another task waiting.
const IDLE_ACCELERATOR_PENALTY: f64 = 2.0;

/// Work that leaves services alone goes beside them first. Otherwise it would fill the VMs without
/// services, and work that disturbs would find room only beside them.
const HARMLESS_BONUS: f64 = 0.8;

impl RackTable {
    pub(super) fn place(
        &mut self,
        now: Time,
        place: Place,
        auth: &dyn Authority,
        out: &mut Vec<RackEffect>,
    ) {
        let mut placed = Placed {
            round: place.round,
            granted: Vec::new(),
            refused: Vec::new(),
            reclaiming: 0,
            capacity: Default::default(),
            usage: Vec::new(),
        };
        for request in &place.requests {
            match self.place_one(now, request, auth) {
                Some(grant) => placed.granted.push(grant),
                None => {
                    placed.refused.push(request.task.clone());
                    if request.reclaim && self.reclaim(now, request, auth, out) {
                        placed.reclaiming += 1;
                    }
                }
            }
        }
        placed.capacity = self.capacity.clone();
        placed.usage =
            self.usage_of(place.requests.iter().filter_map(|request| request.team.as_ref()));
        let msg = JobMsg::Placed(placed);
        out.push(RackEffect::SendToJob { shard: place.shard, msg });
    }

    fn place_one(
        &mut self,
        now: Time,
        request: &TaskRequest,
        auth: &dyn Authority,
    ) -> Option<Grant> {
        if let Some(grant) = self.granted_before(now, request) {
            return Some(grant);
        }
        let resources = self.size_of(request);
        let id = self.choose(now, request, &resources, auth)?;
        let vm = self.vms.get_mut(&id)?;
        if vm.health.quarantined {
            vm.health.probe_at = now + self.limits.probe_interval;
        }
        let epoch = self.shards.get(&vm.shard)?.epoch;
        self.next_ticket = self.next_ticket.next();
        let reservation = ReservationId { epoch, number: self.next_ticket };
        let reserved = Reservation {
            task: request.task.clone(),
            attempt: request.attempt,
            service: request.service,
            class: request.class.clone(),
            resources,
            until: now + self.limits.reservation,
        };
        vm.reservations.insert(reservation, reserved);
        self.placed.insert(request.task.clone(), (id.clone(), reservation));
        self.reindex(&id);
        self.grant(&id, reservation)
    }

    /// The same room again for a question that was doubled or whose answer was lost.
    fn granted_before(&self, now: Time, request: &TaskRequest) -> Option<Grant> {
        let (id, reservation) = self.placed.get(&request.task)?;
        let reserved = self.vms.get(id)?.reservations.get(reservation)?;
        let same = reserved.attempt == request.attempt && now < reserved.until;
        if same { self.grant(id, *reservation) } else { None }
    }

    fn grant(&self, id: &VmId, reservation: ReservationId) -> Option<Grant> {
        let vm = self.vms.get(id)?;
        let reserved = vm.reservations.get(&reservation)?;
        Some(Grant {
            task: reserved.task.clone(),
            attempt: reserved.attempt,
            reservation,
            vm: id.clone(),
            rack: vm.shard,
            data_centre: vm.record.data_centre.clone(),
            resources: reserved.resources,
        })
    }

    /// What to commit for a task: what was learned of its class, where that may stand in.
    pub(super) fn size_of(&self, request: &TaskRequest) -> Resources {
        if request.learned_size {
            self.learned.committed_size(&request.class, &request.resources)
        } else {
            request.resources
        }
    }

    /// The best of a sample of VMs with room. Looking at all of them would make each decision
    /// dearer with every worker; a dozen at random, from tight and roomy ones, rank nearly as well.
    fn choose(
        &mut self,
        now: Time,
        request: &TaskRequest,
        resources: &Resources,
        auth: &dyn Authority,
    ) -> Option<VmId> {
        if let Some(probe) = self.probe(now, request, resources, auth) {
            return Some(probe);
        }
        let slots = self.index.sample(resources, MAX_CANDIDATES, &mut self.rng);
        let mut best: Option<(f64, &VmId)> = None;
        for slot in slots {
            let id = &self.slots[slot as usize];
            let Some(vm) = self.vms.get(id) else { continue };
            if !self.may_take(now, vm, request, resources, auth) {
                continue;
            }
            let cost = self.cost(vm, request, resources);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    fn may_take(
        &self,
        now: Time,
        vm: &Vm,
        request: &TaskRequest,
        resources: &Resources,
        auth: &dyn Authority,
    ) -> bool {
        let fits = !self.protections.capacity_check || resources.fits(&vm.free_capacity());
        fits && vm.may_grant(self.protections.report_before_grant)
            && !request.avoid.contains(&vm.record.vm)
            && (!request.service || vm.accepts_service(&request.class))
            && self.has_authority(now, vm.shard, auth)
    }

    /// A VM in quarantine that is due for a probe. Only a batch task that hasn't failed yet is
    /// used for it: it costs the task one short attempt, and its failure isn't held against it.
    fn probe(
        &self,
        now: Time,
        request: &TaskRequest,
        resources: &Resources,
        auth: &dyn Authority,
    ) -> Option<VmId> {
        if request.service || !request.avoid.is_empty() {
            return None;
        }
        let due = |vm: &&Vm| vm.health.quarantined && now >= vm.health.probe_at;
        let probes = self.quarantined.iter().filter_map(|id| self.vms.get(id));
        probes
            .filter(due)
            .find(|vm| self.may_take(now, vm, request, resources, auth))
            .map(|vm| vm.record.vm.clone())
    }

    /// What placing the task on the VM would cost: expected slowdown on both sides, room left in
    /// shapes that are hard to use, lost spread. It only ranks; whether it fits is checked before.
    fn cost(&self, vm: &Vm, request: &TaskRequest, resources: &Resources) -> f64 {
        let left = vm.free_capacity().minus(resources);
        let part = |left: u32, of: u32| f64::from(left) / f64::from(of.max(1));
        let capacity = &vm.record.capacity;
        let cpu_left = part(left.cpu.0, capacity.cpu.0);
        let memory_left = part(left.memory.0, capacity.memory.0);
        // Batch packs tightly and keeps roomy VMs for large tasks; a service takes the roomiest,
        // since its load grows where it stands.
        let roomy = (cpu_left + memory_left) / 2.0;
        let mut cost = if request.service { 1.0 - roomy } else { roomy };
        cost += (cpu_left - memory_left).abs();
        if resources.accelerators.0 == 0 && capacity.accelerators.0 > 0 {
            cost += IDLE_ACCELERATOR_PENALTY;
        }
        if request.avoid_data_centres.contains(&vm.record.data_centre) {
            cost += SPREAD_PENALTY;
        }
        let mut services = vm.attempts.values().filter(|attempt| attempt.service).peekable();
        let beside_services = !request.service && services.peek().is_some();
        if beside_services
            && services.all(|attempt| self.learned.is_harmless(&attempt.class, &request.class))
        {
            cost -= HARMLESS_BONUS;
        }
        let neighbours = vm.attempts.values().map(|attempt| (&attempt.class, attempt.service));
        cost + SLOWDOWN_WEIGHT * self.learned.slowdown(&request.class, request.service, neighbours)
    }

    fn usage_of<'a>(&self, teams: impl Iterator<Item = &'a TeamName>) -> Vec<TeamUsage> {
        let mut held: BTreeMap<&TeamName, Resources> =
            teams.map(|team| (team, Resources::default())).collect();
        if held.is_empty() {
            return Vec::new();
        }
        for (team, held) in &mut held {
            *held = self.usage.get(*team).copied().unwrap_or_default();
        }
        let usage = |(team, held): (&TeamName, Resources)| TeamUsage { team: team.clone(), held };
        held.into_iter().map(usage).collect()
    }
}

impl RackTable {
    /// Sums up the room and what each class holds. Done now and then rather than for each
    /// question, so that a question's cost doesn't grow with the VMs.
    pub(super) fn update_totals(&mut self) {
        self.capacity = self.node_capacity();
        let mut by_class: BTreeMap<&ClassName, Resources> = BTreeMap::new();
        for attempt in
            self.vms.values().flat_map(|vm| vm.attempts.values()).filter(|attempt| !attempt.service)
        {
            let sum = by_class.entry(&attempt.class).or_default();
            *sum = sum.plus(&attempt.resources);
        }
        // A quota bounds batch work: services take what their targets need.
        let mut usage: BTreeMap<TeamName, Resources> = BTreeMap::new();
        for (class, sum) in by_class {
            if let Some(class) = self.document.class(class) {
                let total = usage.entry(class.team.clone()).or_default();
                *total = total.plus(&sum);
            }
        }
        self.usage = usage;
    }
}

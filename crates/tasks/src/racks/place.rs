//! Choice of VMs for tasks, and reservations.

use {
    super::{
        RackEffect, RackTable,
        vm::{Reservation, Vm},
    },
    crate::msg::{Grant, JobMsg, Place, Placed, ReservationId, TaskRequest, TeamUsage},
    egretlb_types::{Authority, ClassName, Resources, TeamName, Time, VmId},
    std::collections::BTreeMap,
};

/// Maximum number of VMs compared for a task. More candidates cost time and hardly improve the best
/// one.
const MAX_CANDIDATES: usize = 12;

/// Cost of an expected slowdown of 1.0 (twice the run time), relative to leaving a VM empty. A
/// missed latency target is worse than fragmentation.
const SLOWDOWN_WEIGHT: f64 = 4.0;

/// Cost of a VM in a data centre that already has a replica; used only if there is no other.
const SPREAD_PENALTY: f64 = 100.0;

/// Cost of an accelerator VM for a task that needs none, which may keep another task waiting.
const IDLE_ACCELERATOR_PENALTY: f64 = 2.0;

/// Bonus for harmless tasks beside services, which leaves VMs without services to other tasks.
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
        if let Some(grant) = self.existing_grant(now, request) {
            return Some(grant);
        }
        let resources = self.size_of(request);
        let id = self.choose_vm(now, request, &resources, auth)?;
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

    /// The existing grant, for a request that was duplicated or whose response was lost.
    fn existing_grant(&self, now: Time, request: &TaskRequest) -> Option<Grant> {
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

    /// Resources to reserve for a task: the learned size, where the request allows it.
    pub(super) fn size_of(&self, request: &TaskRequest) -> Resources {
        if request.learned_size {
            self.learned.committed_size(&request.class, &request.resources)
        } else {
            request.resources
        }
    }

    /// The VM with the lowest cost in a random sample with enough free capacity. Sampling keeps the
    /// cost of a decision independent of the number of VMs.
    fn choose_vm(
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
            if !self.can_place(now, vm, request, resources, auth) {
                continue;
            }
            let cost = self.cost(vm, request, resources);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    fn can_place(
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

    /// A VM in quarantine that is due for a probe. Probes are batch tasks that haven't failed yet;
    /// a failure doesn't count against them.
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
            .find(|vm| self.can_place(now, vm, request, resources, auth))
            .map(|vm| vm.record.vm.clone())
    }

    /// Cost of placing the task on the VM: expected slowdowns, fragmentation and lost spread. Only
    /// ranks VMs; the capacity check comes first.
    fn cost(&self, vm: &Vm, request: &TaskRequest, resources: &Resources) -> f64 {
        let left = vm.free_capacity().minus(resources);
        let part = |left: u32, of: u32| f64::from(left) / f64::from(of.max(1));
        let capacity = &vm.record.capacity;
        let cpu_left = part(left.cpu.0, capacity.cpu.0);
        let memory_left = part(left.memory.0, capacity.memory.0);
        // Batch tasks are packed tightly, which keeps space for large ones. Services get the VM
        // with the most free capacity, since their load grows in place.
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
    /// Updates the capacity and usage totals. Runs periodically, so that the cost of a request
    /// doesn't grow with the number of VMs.
    pub(super) fn update_totals(&mut self) {
        self.capacity = self.node_capacity();
        let mut by_class: BTreeMap<&ClassName, Resources> = BTreeMap::new();
        for attempt in
            self.vms.values().flat_map(|vm| vm.attempts.values()).filter(|attempt| !attempt.service)
        {
            let sum = by_class.entry(&attempt.class).or_default();
            *sum = sum.plus(&attempt.resources);
        }
        // Quotas limit only batch tasks; services get what their targets need.
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

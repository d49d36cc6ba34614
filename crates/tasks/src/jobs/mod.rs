//! Table of jobs and their tasks, for the job shards that a node owns.
//!
//! It alone decides where a task may run. An attempt is journalled before it is started, and the
//! next attempt begins only after the previous one is known to have ended, so a task never runs in
//! two places.

mod api;
mod calls;
mod ends;
mod job;
mod queue;
mod record;
mod rounds;
mod services;
mod starts;

pub use {
    api::{CallId, JobAlarm, JobCounts, JobEffect, JobEvent, JobRefusal, JobReply, JobStatus},
    record::{
        JobEntry, JobSnapshot, JobSpec, TaskRecord, TaskResult, job_shard_of_task, service_job,
    },
};

use {
    crate::{
        learn::SizeTable,
        limits::{Limits, Protections},
        msg::JobMsg,
    },
    egretlb_types::{
        Authority, ClassName, ClassSpec, ConfigDocument, Epoch, JobId, NodeId, ShardId, TaskId,
        Ticket, Time, shard_of_class, worker::TaskFence,
    },
    job::Job,
    queue::{KnownVmSizes, NodeInfo},
    rand::{SeedableRng, rngs::SmallRng},
    record::{JobRecord, ParkRule, fold},
    rounds::Round,
    services::ServiceState,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
};

/// What happens when a journal entry is acknowledged.
#[derive(Clone, Debug)]
enum Pending {
    /// Answers a submission or cancellation.
    Call { call: CallId, shard: ShardId, reply: JobReply, since: Time },
    /// Starts an attempt.
    Start { shard: ShardId, of: TaskFence },
    /// Acknowledges an end.
    End { shard: ShardId, ended: Box<crate::msg::Ended> },
}

/// State of one shard, owned or being replayed.
#[derive(Debug, Default)]
struct Shard {
    /// `None` while the shard is being replayed.
    epoch: Option<Epoch>,
    /// Replayed jobs, until the shard is owned.
    replayed: BTreeMap<JobId, JobRecord>,
    jobs: BTreeMap<JobId, Job>,
    /// Jobs with tasks to place, start or stop.
    open: BTreeSet<JobId>,
    rounds: BTreeMap<Ticket, Round>,
}

/// Builds a [`JobTable`].
#[derive(Debug, Default)]
pub struct JobTableBuilder {
    limits: Limits,
    protections: Protections,
    seed: u64,
}

impl JobTableBuilder {
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

    /// Builds a table without any shards.
    pub fn build(self) -> JobTable {
        JobTable {
            limits: self.limits,
            protections: self.protections,
            rng: SmallRng::seed_from_u64(self.seed),
            document: None,
            classes: HashMap::new(),
            next_service_plan_at: Time::ZERO,
            nodes: BTreeMap::new(),
            shards: BTreeMap::new(),
            pending: HashMap::new(),
            next_ticket: Ticket(0),
            services: BTreeMap::new(),
            run_times: SizeTable::default(),
            next_forget_at: Time::ZERO,
            sizes: KnownVmSizes::default(),
        }
    }
}

/// Table of jobs and of where their tasks may run.
#[derive(Debug)]
pub struct JobTable {
    limits: Limits,
    protections: Protections,
    rng: SmallRng,
    document: Option<Arc<ConfigDocument>>,
    /// Index of each class in the configuration.
    classes: HashMap<ClassName, usize>,
    next_service_plan_at: Time,
    nodes: BTreeMap<NodeId, NodeInfo>,
    shards: BTreeMap<ShardId, Shard>,
    pending: HashMap<Ticket, Pending>,
    next_ticket: Ticket,
    services: BTreeMap<ClassName, ServiceState>,
    /// Learned run times by class.
    run_times: SizeTable,
    next_forget_at: Time,
    sizes: KnownVmSizes,
}

impl JobTable {
    /// Creates a builder.
    pub fn builder() -> JobTableBuilder {
        JobTableBuilder::default()
    }

    /// Handles one event and appends its effects to `out`.
    pub fn step(
        &mut self,
        now: Time,
        event: JobEvent,
        auth: &dyn Authority,
        out: &mut Vec<JobEffect>,
    ) {
        match event {
            JobEvent::Owned { shard, epoch } => self.acquire_shard(now, shard, epoch),
            JobEvent::Lost { shard } => self.drop_shard(shard, out),
            JobEvent::Config { document } => self.apply_config(document),
            JobEvent::Tick => self.tick(now, auth, out),
            JobEvent::Nodes { nodes } => self.apply_nodes(nodes),
            JobEvent::Submit { call, spec } => self.submit(now, call, spec, auth, out),
            JobEvent::Cancel { call, job } => self.cancel(now, call, job, auth, out),
            JobEvent::Status { call, job } => self.status(now, call, job, out),
            JobEvent::Journaled { ticket } => self.on_journaled(now, ticket, auth, out),
            JobEvent::Message { from, msg } => self.on_message(now, from, msg, auth, out),
            JobEvent::Load { from, class, load } => self.on_load(now, from, class, load),
        }
    }

    /// Replays a journal entry of a predecessor into a shard that isn't owned yet.
    pub fn replay(&mut self, shard: ShardId, entry: &JobEntry) {
        let park_rule = self.park_rule();
        fold(&mut self.shards.entry(shard).or_default().replayed, entry, park_rule);
    }

    /// Restores a shard's snapshot; later entries are replayed on top.
    pub fn restore(&mut self, shard: ShardId, snapshot: JobSnapshot) {
        let state = self.shards.entry(shard).or_default();
        let jobs = snapshot.jobs.into_iter();
        state.replayed = jobs.map(|record| (record.spec.job.clone(), record)).collect();
    }

    /// The durable state of a shard, owned or replayed.
    pub fn snapshot(&self, shard: ShardId) -> JobSnapshot {
        let Some(state) = self.shards.get(&shard) else { return JobSnapshot::default() };
        let owned = state.jobs.values().map(|job| job.record.clone());
        JobSnapshot { jobs: owned.chain(state.replayed.values().cloned()).collect() }
    }

    fn apply_config(&mut self, document: Arc<ConfigDocument>) {
        let names = document.classes.iter().enumerate();
        self.classes = names.map(|(at, class)| (class.name.clone(), at)).collect();
        self.document = Some(document);
    }

    /// Looks the class up in the current configuration.
    fn class(&self, name: &ClassName) -> Option<&ClassSpec> {
        self.document.as_ref()?.classes.get(*self.classes.get(name)?)
    }

    fn park_rule(&self) -> ParkRule {
        ParkRule { vms: self.limits.parked_after_vms, fails: self.limits.parked_after_fails }
    }

    fn acquire_shard(&mut self, now: Time, shard: ShardId, epoch: Epoch) {
        let state = self.shards.entry(shard).or_default();
        state.epoch = Some(epoch);
        for (id, record) in std::mem::take(&mut state.replayed) {
            let job = Job::adopt(now, record);
            state.open.insert(id.clone());
            state.jobs.insert(id, job);
        }
    }

    /// Drops a shard. Waiting callers are asked to retry, since the successor may or may not read
    /// their entry.
    fn drop_shard(&mut self, shard: ShardId, out: &mut Vec<JobEffect>) {
        self.shards.remove(&shard);
        self.services.retain(|class, _| shard_of_class(class) != shard);
        self.pending.retain(|_, pending| match pending {
            Pending::Call { call, shard: of, .. } if *of == shard => {
                out.push(calls::ask_again(*call));
                false
            }
            Pending::Call { .. } => true,
            Pending::Start { shard: of, .. } | Pending::End { shard: of, .. } => *of != shard,
        });
    }

    /// The epoch of a shard for which this node holds authority.
    fn authorized_epoch(&self, now: Time, shard: ShardId, auth: &dyn Authority) -> Option<Epoch> {
        let epoch = self.shards.get(&shard)?.epoch?;
        let held = !self.protections.authority || auth.epoch_if_held(now, shard) == Some(epoch);
        held.then_some(epoch)
    }

    /// Applies an entry and journals it.
    fn journal(&mut self, shard: ShardId, entry: JobEntry, out: &mut Vec<JobEffect>) -> Ticket {
        let park_rule = self.park_rule();
        self.next_ticket = self.next_ticket.next();
        if let Some(state) = self.shards.get_mut(&shard)
            && let Some(job) = state.jobs.get_mut(entry.job())
        {
            record::fold_record(&mut job.record, &entry, park_rule);
        }
        out.push(JobEffect::Journal { shard, entry, ticket: self.next_ticket });
        self.next_ticket
    }

    fn tick(&mut self, now: Time, auth: &dyn Authority, out: &mut Vec<JobEffect>) {
        self.expire_calls(now, out);
        self.query_capacity(now, out);
        self.plan_services(now, auth, out);
        self.forget_old_jobs(now, auth, out);
        // Most shards of a node have nothing to do.
        let busy = |state: &Shard| !state.open.is_empty() || !state.rounds.is_empty();
        let busy = self.shards.iter().filter(|(_, state)| busy(state));
        let shards: Vec<ShardId> = busy.map(|(shard, _)| *shard).collect();
        for shard in shards {
            if self.authorized_epoch(now, shard, auth).is_some() {
                self.expire_rounds(now, shard);
                self.resend(now, shard, out);
                self.plan(now, shard, out);
                self.close_jobs(now, shard, out);
            }
        }
    }

    fn on_journaled(
        &mut self,
        now: Time,
        ticket: Ticket,
        auth: &dyn Authority,
        out: &mut Vec<JobEffect>,
    ) {
        match self.pending.remove(&ticket) {
            Some(Pending::Call { call, shard, reply, .. }) => {
                // Only an append acknowledged under authority is certain to be read by a successor.
                let held = self.authorized_epoch(now, shard, auth).is_some();
                if let JobReply::Accepted { job } = &reply {
                    self.mark_durable(shard, job);
                }
                let reply =
                    if held { JobEffect::Reply { call, reply } } else { calls::ask_again(call) };
                out.push(reply);
            }
            Some(Pending::Start { shard, of }) => self.start_journaled(now, shard, &of, auth, out),
            Some(Pending::End { shard, ended }) => {
                self.end_journaled(now, shard, *ended, auth, out)
            }
            None => {}
        }
    }

    fn on_message(
        &mut self,
        now: Time,
        from: NodeId,
        msg: JobMsg,
        auth: &dyn Authority,
        out: &mut Vec<JobEffect>,
    ) {
        match msg {
            JobMsg::Placed(placed) => self.on_placed(now, from, placed, auth, out),
            JobMsg::Started { vm, rack, of } => self.on_started(now, vm, rack, of, auth, out),
            JobMsg::UnconfirmedStart { of } => {
                if let Some(active) = self.active_mut(&of) {
                    active.unconfirmed = true;
                }
            }
            JobMsg::Ended(ended) => self.on_ended(now, ended, auth, out),
            JobMsg::VmDraining { of } => {
                if let Some(active) = self.active_mut(&of) {
                    active.draining = true;
                }
            }
        }
    }

    fn job_mut(&mut self, task: &TaskId) -> Option<&mut Job> {
        let shard = job_shard_of_task(task);
        self.shards.get_mut(&shard)?.jobs.get_mut(&task.job)
    }

    /// The task's current attempt, if it is the one named.
    fn active_mut(&mut self, of: &TaskFence) -> Option<&mut job::Active> {
        let job = self.job_mut(&of.task)?;
        job.active.get_mut(&of.task.index).filter(|active| active.attempt.fence == of.fence)
    }
}

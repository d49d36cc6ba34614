//! Table of the shares of the backend servers in all rack shards that this process owns.

use {
    super::{
        message::{ServerGrant, ServerInfo, ShareGrant, ShareRequest},
        pool::{Pool, PoolRequest},
    },
    crate::{
        limits::{MAX_ATTEMPT_DURATION, SHARE_LEASE, with_clock_margin},
        protections::Protections,
    },
    egretlb_types::{Authority, Epoch, NodeId, ShardId, Time, VmId, VmState},
    std::{collections::BTreeMap, time::Duration},
};

/// Minimum time between two [`ShareTableEffect::Recall`]s sent to one entry.
const MIN_RECALL_INTERVAL: Duration = Duration::from_millis(100);

/// A backend server as known to the owner of its rack.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerSpec {
    /// Description sent to entries.
    pub info: ServerInfo,
    /// Number of requests that it processes at once.
    pub slots: u16,
    /// Number of connections that it accepts at once.
    pub connections: u16,
}

/// Input of a [`ShareTable`].
#[derive(Clone, Debug)]
pub enum ShareTableEvent {
    /// This process owns the shard now.
    Owned {
        /// The shard.
        shard: ShardId,
        /// Epoch of the ownership.
        epoch: Epoch,
        /// Whether a previous owner may have granted shares; false only in the first epoch of a
        /// shard.
        had_owner: bool,
    },
    /// This process doesn't own the shard any more.
    Lost {
        /// The shard.
        shard: ShardId,
    },
    /// All backend servers of the shard's racks and their classes. Required before any request is
    /// answered, and again after [`ShareTableEvent::Lost`].
    Servers {
        /// The shard.
        shard: ShardId,
        /// The servers.
        servers: Vec<ServerSpec>,
    },
    /// An entry requests shares.
    Request {
        /// The request.
        request: ShareRequest,
    },
    /// Time passed.
    Tick,
}

/// Output of a [`ShareTable`], performed by the runtime.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShareTableEffect {
    /// Answer a share request. Authority for the shard must be checked again before it is sent.
    Grant {
        /// The entry.
        entry: NodeId,
        /// The answer.
        grant: ShareGrant,
    },
    /// Ask an entry for a new request soon, since others are short of shares. A hint that may be
    /// lost.
    Recall {
        /// The entry.
        entry: NodeId,
        /// The shard.
        shard: ShardId,
        /// Epoch of this owner.
        epoch: Epoch,
    },
}

/// State of one rack shard.
#[derive(Debug, Default)]
struct ShardShares {
    /// Epoch of the ownership; `None` before [`ShareTableEvent::Owned`].
    epoch: Option<Epoch>,
    /// When all that a predecessor granted must have ended.
    predecessor_expires_at: Time,
    /// Whether the servers are known: an answer before that would revoke shares that entries hold.
    servers_received: bool,
    servers: BTreeMap<VmId, ServerShares>,
    /// Version of the descriptions; increases when one changes.
    version: u64,
    entries: BTreeMap<NodeId, EntryRequests>,
}

#[derive(Debug, Default)]
struct ServerShares {
    /// `None` for a server that isn't described, but of which shares are held.
    spec: Option<ServerSpec>,
    pool: Pool,
}

/// State of one entry's requests.
#[derive(Clone, Copy, Debug, Default)]
struct EntryRequests {
    last_seq: u64,
    requested_at: Time,
    recalled_at: Time,
}

/// Grants shares of the backend servers of all rack shards that this process owns.
#[derive(Debug, Default)]
pub struct ShareTable {
    shards: BTreeMap<ShardId, ShardShares>,
    protections: Protections,
}

impl ShareTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        ShareTable::default()
    }

    /// Creates a table with some protections disabled, for tests.
    pub fn with_protections(protections: Protections) -> Self {
        ShareTable { protections, ..ShareTable::default() }
    }

    /// Handles one event and appends the resulting effects.
    pub fn step(
        &mut self,
        now: Time,
        event: ShareTableEvent,
        auth: &dyn Authority,
        out: &mut Vec<ShareTableEffect>,
    ) {
        match event {
            ShareTableEvent::Owned { shard, epoch, had_owner } => {
                self.acquire(now, shard, epoch, had_owner);
            }
            ShareTableEvent::Lost { shard } => {
                self.shards.remove(&shard);
            }
            ShareTableEvent::Servers { shard, servers } => self.set_servers(shard, servers),
            ShareTableEvent::Request { request } => self.handle_request(now, request, auth, out),
            ShareTableEvent::Tick => self.tick(now, out),
        }
    }

    /// Number of slots charged at the server, for the state dump: the maximum number of requests
    /// that entries may have open there. `None` for an unknown server.
    pub fn charged(&self, shard: ShardId, vm: &VmId) -> Option<u32> {
        Some(self.shards.get(&shard)?.servers.get(vm)?.pool.charged())
    }

    /// Number of slots charged to the entry at all servers, for the state dump.
    pub fn charged_to(&self, entry: NodeId) -> u32 {
        let servers = self.shards.values().flat_map(|shares| shares.servers.values());
        servers.map(|server| server.pool.charged_to(entry)).sum()
    }

    fn acquire(&mut self, now: Time, shard: ShardId, epoch: Epoch, had_owner: bool) {
        // The predecessor's authority ended before `now`, so all that it granted ends within this
        // time.
        let must_wait = had_owner && self.protections.await_predecessor_expiry;
        let charge_duration = if must_wait { self.max_charge_duration() } else { Duration::ZERO };
        let shares = self.shards.entry(shard).or_default();
        shares.epoch = Some(epoch);
        shares.predecessor_expires_at = now + charge_duration;
    }

    /// How long after its request a share and the exchanges begun under it may last.
    fn max_charge_duration(&self) -> Duration {
        let exchange_time = if self.protections.await_open_exchanges {
            MAX_ATTEMPT_DURATION
        } else {
            Duration::ZERO
        };
        with_clock_margin(SHARE_LEASE + exchange_time)
    }

    fn set_servers(&mut self, shard: ShardId, servers: Vec<ServerSpec>) {
        let shares = self.shards.entry(shard).or_default();
        shares.servers_received = true;
        let described_count =
            shares.servers.values().filter(|server| server.spec.is_some()).count();
        let unchanged = described_count == servers.len()
            && servers.iter().all(|spec| {
                let existing = shares.servers.get(&spec.info.vm);
                existing.is_some_and(|existing| existing.spec.as_ref() == Some(spec))
            });
        if unchanged {
            return;
        }
        // A server that is missing from one list keeps its pool: what is open there stays charged.
        for server in shares.servers.values_mut() {
            server.spec = None;
            server.pool.resize(0);
        }
        for spec in servers {
            let server = shares.servers.entry(spec.info.vm.clone()).or_default();
            server.pool.resize(pool_size(&spec));
            server.spec = Some(spec);
        }
        shares.version += 1;
    }

    fn handle_request(
        &mut self,
        now: Time,
        request: ShareRequest,
        auth: &dyn Authority,
        out: &mut Vec<ShareTableEffect>,
    ) {
        let charge_duration = self.max_charge_duration();
        let Some(shares) = self.shards.get_mut(&request.shard) else { return };
        let held = auth.epoch_if_held(now, request.shard);
        // A request to another owner states what was held then, not now.
        let current = held.is_some() && held == shares.epoch && held == Some(request.epoch);
        if !current || !shares.servers_received {
            return;
        }
        let entry_requests = shares.entries.entry(request.entry).or_default();
        // An overtaken request would revoke what was granted since.
        if request.seq <= entry_requests.last_seq {
            return;
        }
        entry_requests.last_seq = request.seq;
        entry_requests.requested_at = now;
        let granted = shares.grant_all(now, charge_duration, &request);
        let descriptions = if request.known_version == shares.version {
            Vec::new()
        } else {
            shares.descriptions()
        };
        let grant = ShareGrant {
            shard: request.shard,
            epoch: request.epoch,
            seq: request.seq,
            lease: SHARE_LEASE,
            servers: granted,
            version: shares.version,
            descriptions,
        };
        out.push(ShareTableEffect::Grant { entry: request.entry, grant });
        shares.recall(now, request.shard, Some(request.entry), out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<ShareTableEffect>) {
        let charge_duration = self.max_charge_duration();
        for (shard, shares) in &mut self.shards {
            for server in shares.servers.values_mut() {
                server.pool.expire(now);
            }
            shares.servers.retain(|_, server| server.spec.is_some() || server.pool.charged() > 0);
            shares.entries.retain(|_, entry_requests| {
                now.since(entry_requests.requested_at) < charge_duration
            });
            shares.recall(now, *shard, None, out);
        }
    }
}

impl ShardShares {
    /// Grants shares of all servers of the shard, as a list without the empty ones.
    fn grant_all(
        &mut self,
        now: Time,
        charge_duration: Duration,
        request: &ShareRequest,
    ) -> Vec<ServerGrant> {
        let confirm_only = now < self.predecessor_expires_at;
        // What the entry holds is charged also at servers that aren't described yet.
        for demand in request.servers.iter().filter(|demand| demand.holding > 0) {
            self.servers.entry(demand.vm.clone()).or_default();
        }
        let mut granted = Vec::new();
        for (vm, server) in &mut self.servers {
            let demand = request.servers.iter().find(|demand| demand.vm == *vm);
            let (holding, need, want) =
                demand.map_or((0, 0, 0), |demand| (demand.holding, demand.need, demand.want));
            let draining = server.spec.as_ref().is_none_or(ServerSpec::is_draining);
            let pool_request = PoolRequest {
                entry: request.entry,
                holding,
                need: if draining { 0 } else { need },
                want: if draining { 0 } else { want },
                expires_at: now + with_clock_margin(SHARE_LEASE),
                free_at: now + charge_duration,
            };
            server.pool.expire(now);
            let max_open = server.pool.grant(now, vm, pool_request, confirm_only);
            if max_open > 0 {
                granted.push(ServerGrant { vm: vm.clone(), max_open });
            }
        }
        granted
    }

    fn descriptions(&self) -> Vec<ServerInfo> {
        self.servers
            .values()
            .filter_map(|server| Some(server.spec.as_ref()?.info.clone()))
            .collect()
    }

    /// Asks for new requests from entries whose fair share has changed because of others, except
    /// from `requester`, which has just sent one.
    fn recall(
        &mut self,
        now: Time,
        shard: ShardId,
        requester: Option<NodeId>,
        out: &mut Vec<ShareTableEffect>,
    ) {
        let Some(epoch) = self.epoch else { return };
        for (vm, server) in &self.servers {
            for entry in server.pool.to_recall(now, vm) {
                let Some(entry_requests) = self.entries.get_mut(&entry) else { continue };
                if Some(entry) == requester
                    || now.since(entry_requests.recalled_at) < MIN_RECALL_INTERVAL
                {
                    continue;
                }
                entry_requests.recalled_at = now;
                out.push(ShareTableEffect::Recall { entry, shard, epoch });
            }
        }
    }
}

impl ServerSpec {
    fn is_draining(&self) -> bool {
        self.info.state == VmState::Leaving
    }
}

/// Number of requests that may be open at a server. Each takes a slot and a connection, so the
/// smaller of the two limits counts.
fn pool_size(spec: &ServerSpec) -> u16 {
    if spec.is_draining() { 0 } else { spec.slots.min(spec.connections) }
}

//! The grantor's book.

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

/// The least time between two recalls sent to one entry. A recall asks the entry to say sooner
/// what it needs; more of them would only repeat that.
const RECALL_GAP: Duration = Duration::from_millis(100);

/// A backend server as the rack's owner knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerSpec {
    /// What entries are told of it.
    pub info: ServerInfo,
    /// How many requests it works on at once.
    pub slots: u16,
    /// How many connections it accepts at once.
    pub connections: u16,
}

/// What the book is told.
#[derive(Clone, Debug)]
pub enum ShareTableEvent {
    /// This process owns the shard now.
    Owned {
        /// The shard.
        shard: ShardId,
        /// The epoch of the ownership.
        epoch: Epoch,
        /// Whether anybody owned the shard before and may have granted shares; only the very first
        /// epoch of a shard has none.
        had_owner: bool,
    },
    /// This process doesn't own the shard any more.
    Lost {
        /// The shard.
        shard: ShardId,
    },
    /// All backend servers of the shard's racks, with the classes that they serve. No ask is
    /// answered before this was told; after [`ShareTableEvent::Lost`] it is to be told anew.
    Servers {
        /// The shard.
        shard: ShardId,
        /// The servers.
        servers: Vec<ServerSpec>,
    },
    /// An entry asks.
    Request {
        /// The ask.
        request: ShareRequest,
    },
    /// Time passed.
    Tick,
}

/// What the book asks the runtime to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShareTableEffect {
    /// Answer an entry's ask. Authority for the shard is asked again before it is sent.
    Grant {
        /// The entry.
        entry: NodeId,
        /// The answer.
        grant: ShareGrant,
    },
    /// Ask an entry to ask again soon, since others go short. Only a hint: it may be lost.
    Recall {
        /// The entry.
        entry: NodeId,
        /// The shard.
        shard: ShardId,
        /// The epoch of this owner.
        epoch: Epoch,
    },
}

#[derive(Debug, Default)]
struct ShardShares {
    /// The epoch, once owned.
    epoch: Option<Epoch>,
    /// When all that a predecessor granted must have ended.
    outwaited: Time,
    /// Whether the rack's servers were told: before that an answer would take shares away that
    /// entries rightly hold.
    servers_known: bool,
    servers: BTreeMap<VmId, ServerShares>,
    /// Grows when a description changes.
    version: u64,
    entries: BTreeMap<NodeId, EntryRequests>,
}

#[derive(Debug, Default)]
struct ServerShares {
    /// `None` for a server that isn't described, now or yet, but of which something is held.
    spec: Option<ServerSpec>,
    pool: Pool,
}

/// What the book remembers of one entry's asks.
#[derive(Clone, Copy, Debug, Default)]
struct EntryRequests {
    last_seq: u64,
    asked_at: Time,
    recalled_at: Time,
}

/// Grants shares of the backend servers of all rack shards that this process owns.
#[derive(Debug, Default)]
pub struct ShareTable {
    shards: BTreeMap<ShardId, ShardShares>,
    protections: Protections,
}

impl ShareTable {
    /// An empty book.
    pub fn new() -> Self {
        ShareTable::default()
    }

    /// A book with some protections off, for tests.
    pub fn with_protections(protections: Protections) -> Self {
        ShareTable { protections, ..ShareTable::default() }
    }

    /// Takes one event and appends what is to be done.
    pub fn step(
        &mut self,
        now: Time,
        event: ShareTableEvent,
        auth: &dyn Authority,
        out: &mut Vec<ShareTableEffect>,
    ) {
        match event {
            ShareTableEvent::Owned { shard, epoch, had_owner } => {
                self.own(now, shard, epoch, had_owner);
            }
            ShareTableEvent::Lost { shard } => {
                self.shards.remove(&shard);
            }
            ShareTableEvent::Servers { shard, servers } => self.set_servers(shard, servers),
            ShareTableEvent::Request { request } => self.handle_request(now, request, auth, out),
            ShareTableEvent::Tick => self.tick(now, out),
        }
    }

    /// What the server's entries may have open at most, for the state dump; `None` if unknown.
    pub fn charged(&self, shard: ShardId, vm: &VmId) -> Option<u32> {
        Some(self.shards.get(&shard)?.servers.get(vm)?.pool.charged())
    }

    /// What the entry may have open at most over all servers, for the state dump.
    pub fn charged_to(&self, entry: NodeId) -> u32 {
        let servers = self.shards.values().flat_map(|shares| shares.servers.values());
        servers.map(|server| server.pool.charged_to(entry)).sum()
    }

    fn own(&mut self, now: Time, shard: ShardId, epoch: Epoch, had_owner: bool) {
        // The predecessor may have granted up to the moment at which its authority ended, which
        // precedes `now`. What it granted then lapses last.
        let wait = had_owner && self.protections.await_predecessor_expiry;
        let span = if wait { self.charge_span() } else { Duration::ZERO };
        let shares = self.shards.entry(shard).or_default();
        shares.epoch = Some(epoch);
        shares.outwaited = now + span;
    }

    /// How long after its ask a share and the exchanges begun under it may last.
    fn charge_span(&self) -> Duration {
        let exchanges = if self.protections.await_open_exchanges {
            MAX_ATTEMPT_DURATION
        } else {
            Duration::ZERO
        };
        with_clock_margin(SHARE_LEASE + exchanges)
    }

    fn set_servers(&mut self, shard: ShardId, servers: Vec<ServerSpec>) {
        let shares = self.shards.entry(shard).or_default();
        shares.servers_known = true;
        let described = shares.servers.values().filter(|server| server.spec.is_some()).count();
        let same = described == servers.len()
            && servers.iter().all(|spec| {
                let known = shares.servers.get(&spec.info.vm);
                known.is_some_and(|known| known.spec.as_ref() == Some(spec))
            });
        if same {
            return;
        }
        // A server that is off the list for a moment must not come back with an empty pool: what
        // is open there stays charged, whatever changed of the description.
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
        let span = self.charge_span();
        let Some(shares) = self.shards.get_mut(&request.shard) else { return };
        let held = auth.epoch_if_held(now, request.shard);
        // An ask meant for another owner says what was held then, not now.
        let current = held.is_some() && held == shares.epoch && held == Some(request.epoch);
        if !current || !shares.servers_known {
            return;
        }
        let asks = shares.entries.entry(request.entry).or_default();
        // An overtaken ask would take back what the entry was given since.
        if request.seq <= asks.last_seq {
            return;
        }
        asks.last_seq = request.seq;
        asks.asked_at = now;
        let granted = shares.grant_all(now, span, &request);
        let descriptions =
            if request.known_version == shares.version { Vec::new() } else { shares.describe() };
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
        let span = self.charge_span();
        for (shard, shares) in &mut self.shards {
            for server in shares.servers.values_mut() {
                server.pool.expire(now);
            }
            shares.servers.retain(|_, server| server.spec.is_some() || server.pool.charged() > 0);
            shares.entries.retain(|_, asks| now.since(asks.asked_at) < span);
            shares.recall(now, *shard, None, out);
        }
    }
}

impl ShardShares {
    fn grant_all(&mut self, now: Time, span: Duration, request: &ShareRequest) -> Vec<ServerGrant> {
        let adopt_only = now < self.outwaited;
        for held in request.servers.iter().filter(|held| held.holding > 0) {
            self.servers.entry(held.vm.clone()).or_default();
        }
        let mut granted = Vec::new();
        for (vm, server) in &mut self.servers {
            let named = request.servers.iter().find(|wanted| wanted.vm == *vm);
            let (holding, need, want) =
                named.map_or((0, 0, 0), |wanted| (wanted.holding, wanted.need, wanted.want));
            let leaving = server.spec.as_ref().is_none_or(ServerSpec::is_leaving);
            let pool_request = PoolRequest {
                entry: request.entry,
                holding,
                need: if leaving { 0 } else { need },
                want: if leaving { 0 } else { want },
                lapses: now + with_clock_margin(SHARE_LEASE),
                free_at: now + span,
            };
            server.pool.expire(now);
            let max_open = server.pool.grant(now, vm, pool_request, adopt_only);
            if max_open > 0 {
                granted.push(ServerGrant { vm: vm.clone(), max_open });
            }
        }
        granted
    }

    fn describe(&self) -> Vec<ServerInfo> {
        self.servers
            .values()
            .filter_map(|server| Some(server.spec.as_ref()?.info.clone()))
            .collect()
    }

    /// Asks entries to ask again where others' asks have changed what they should hold.
    fn recall(
        &mut self,
        now: Time,
        shard: ShardId,
        asking: Option<NodeId>,
        out: &mut Vec<ShareTableEffect>,
    ) {
        let Some(epoch) = self.epoch else { return };
        for (vm, server) in &self.servers {
            for entry in server.pool.to_recall(now, vm) {
                let Some(asks) = self.entries.get_mut(&entry) else { continue };
                if Some(entry) == asking || now.since(asks.recalled_at) < RECALL_GAP {
                    continue;
                }
                asks.recalled_at = now;
                out.push(ShareTableEffect::Recall { entry, shard, epoch });
            }
        }
    }
}

impl ServerSpec {
    fn is_leaving(&self) -> bool {
        self.info.state == VmState::Leaving
    }
}

/// How many requests may be open at a server. Each takes a slot and, since an exchange has a
/// connection of its own, a connection: the scarcer of the two is what is shared out.
fn pool_size(spec: &ServerSpec) -> u16 {
    if spec.is_leaving() { 0 } else { spec.slots.min(spec.connections) }
}

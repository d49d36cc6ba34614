//! The backend servers: shares held of them, and which ones can take a request now.

use {
    super::{
        class::ClassIx,
        health::{Health, HealthState},
    },
    crate::shares::ServerInfo,
    compact_str::CompactString,
    egretlb_types::{DataCentre, ShardId, Time, VmId, VmState},
    rand::{Rng, rngs::SmallRng},
    smallvec::SmallVec,
    std::{collections::HashMap, time::Duration},
};

/// How long a server's own notice that it is draining is valid. The VM list, which lags, shows
/// the server as draining within this time.
const DECLARED_DRAINING_TTL: Duration = Duration::from_secs(60);

/// At most one in this many of a class's servers is ejected at once, but always one if there are
/// several. If more look unhealthy, load is the likely cause, and ejections would add load to the
/// others.
const SERVERS_PER_EJECTION: u32 = 5;

/// Number of random pairs tried in each data centre list before all its candidates are scanned.
const MAX_PAIR_DRAWS: usize = 4;

/// Index of a server in [`Servers`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct ServerIx(pub(super) usize);

/// One backend server.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) vm: VmId,
    pub(super) addr: CompactString,
    pub(super) shard: ShardId,
    /// Whether it is in the entry's data centre.
    pub(super) local: bool,
    /// Classes that it runs; empty if no grantor describes it.
    pub(super) classes: SmallVec<[ClassIx; 4]>,
    /// Maximum number of requests that this entry may have open there.
    pub(super) share: u16,
    /// Number of this entry's open requests there.
    pub(super) open: u16,
    pub(super) health: Health,
    /// Whether its grantor describes it as draining, or not at all any more.
    described_draining: bool,
    /// Whether the platform's list of VMs shows it as draining.
    listed_draining: bool,
    /// End of the validity of its own notice that it is draining.
    declared_draining_until: Option<Time>,
    /// Its index in the candidates of each class, while it can take a request.
    positions: SmallVec<[(ClassIx, usize); 4]>,
}

/// Counts of one class's servers, and those of them that can take a request now.
#[derive(Clone, Debug, Default)]
struct ClassServers {
    /// Candidates in the entry's data centre.
    local: Vec<ServerIx>,
    /// Candidates in other data centres.
    remote: Vec<ServerIx>,
    /// Number of servers that run the class.
    servers: u32,
    /// Number of these servers that are ejected.
    ejected: u32,
    /// Sum of the shares of these servers.
    shares: u32,
}

/// All backend servers that grantors have described.
#[derive(Debug, Default)]
pub(super) struct Servers {
    list: Vec<Server>,
    by_vm: HashMap<VmId, ServerIx>,
    /// Indices of removed servers, to be reused.
    free_indices: Vec<ServerIx>,
    /// Indexed by [`ClassIx`].
    by_class: Vec<ClassServers>,
    /// Number of requests that could be opened now.
    free_capacity: u32,
    /// Sum of all shares.
    total_share: u32,
}

impl Server {
    fn is_draining(&self) -> bool {
        self.described_draining || self.listed_draining || self.declared_draining_until.is_some()
    }

    /// Number of further requests that it can take.
    fn free_capacity(&self) -> u16 {
        if self.is_draining() {
            return 0;
        }
        match self.health.state {
            HealthState::Active => self.share.saturating_sub(self.open),
            HealthState::Probing { .. } if self.open == 0 => self.share.min(1),
            HealthState::Probing { .. } | HealthState::Ejected { .. } => 0,
        }
    }

    fn is_probing(&self) -> bool {
        matches!(self.health.state, HealthState::Probing { .. })
    }

    /// The share to request if `want` is wanted.
    pub(super) fn max_requestable(&self, want: u16) -> u16 {
        match self.health.state {
            _ if self.is_draining() => 0,
            HealthState::Active => want,
            HealthState::Probing { .. } => 1,
            HealthState::Ejected { .. } => 0,
        }
    }

    /// Open requests weighted by slowness; a request is sent to the server with the lower score.
    fn load_score(&self) -> f64 {
        f64::from(self.open + 1) * self.health.slowness
    }
}

impl Servers {
    pub(super) fn get(&self, ix: ServerIx) -> &Server {
        &self.list[ix.0]
    }

    pub(super) fn find(&self, vm: &VmId) -> Option<ServerIx> {
        self.by_vm.get(vm).copied()
    }

    pub(super) fn total_free_capacity(&self) -> u32 {
        self.free_capacity
    }

    pub(super) fn total_share(&self) -> u32 {
        self.total_share
    }

    /// Upper bound, exclusive, of all server indices.
    pub(super) fn index_bound(&self) -> usize {
        self.list.len()
    }

    /// The servers that are described.
    pub(super) fn iter(&self) -> impl Iterator<Item = (ServerIx, &Server)> {
        let all = self.list.iter().enumerate().map(|(i, server)| (ServerIx(i), server));
        all.filter(|(_, server)| !server.classes.is_empty())
    }

    /// Number of servers that run the class.
    pub(super) fn server_count(&self, class: ClassIx) -> u32 {
        self.by_class.get(class.0).map_or(0, |class_servers| class_servers.servers)
    }

    /// Sum of the shares of the servers that run the class; other classes may use them too.
    pub(super) fn share_sum(&self, class: ClassIx) -> u32 {
        self.by_class.get(class.0).map_or(0, |class_servers| class_servers.shares)
    }

    pub(super) fn has_candidate(&self, class: ClassIx) -> bool {
        let class_servers = self.by_class.get(class.0);
        class_servers.is_some_and(|c| !c.local.is_empty() || !c.remote.is_empty())
    }

    /// Applies a grantor's description of a server.
    pub(super) fn apply_description(
        &mut self,
        info: &ServerInfo,
        shard: ShardId,
        classes: SmallVec<[ClassIx; 4]>,
        local_data_centre: &DataCentre,
    ) -> ServerIx {
        let ix = self.find_or_add(info, shard);
        self.update(ix, |server| {
            server.addr = info.addr.clone();
            server.shard = shard;
            server.local = info.data_centre == *local_data_centre;
            server.described_draining = info.state == VmState::Leaving;
        });
        self.set_classes(ix, classes);
        ix
    }

    /// Stops using a server that its grantor doesn't describe any more. Its index is free once nothing
    /// is open there.
    pub(super) fn remove(&mut self, ix: ServerIx) {
        self.set_share(ix, 0);
        self.update(ix, |server| server.described_draining = true);
        self.set_classes(ix, SmallVec::new());
        self.free_index_if_idle(ix);
    }

    pub(super) fn set_share(&mut self, ix: ServerIx, share: u16) {
        let old = self.list[ix.0].share;
        for class in self.list[ix.0].classes.clone() {
            let sum = &mut self.by_class[class.0].shares;
            *sum = *sum - u32::from(old) + u32::from(share);
        }
        self.total_share = self.total_share - u32::from(old) + u32::from(share);
        self.update(ix, |server| server.share = share);
    }

    /// Sets whether the platform's list shows the server as draining.
    pub(super) fn set_listed_draining(&mut self, vm: &VmId, draining: bool) {
        if let Some(ix) = self.by_vm.get(vm).copied() {
            self.update(ix, |server| server.listed_draining = draining);
        }
    }

    /// Records the server's own notice that it is draining; returns until when it is valid.
    pub(super) fn set_declared_draining(&mut self, ix: ServerIx, now: Time) -> Time {
        let until = now + DECLARED_DRAINING_TTL;
        self.update(ix, |server| server.declared_draining_until = Some(until));
        until
    }

    /// Ends an expired ejection or draining notice.
    pub(super) fn expire(&mut self, ix: ServerIx, now: Time) {
        if let HealthState::Ejected { until } = self.list[ix.0].health.state
            && until <= now
        {
            for class in self.list[ix.0].classes.clone() {
                self.by_class[class.0].ejected -= 1;
            }
            self.update(ix, |server| server.health.start_probing());
        }
        self.update(ix, |server| {
            server.declared_draining_until =
                server.declared_draining_until.filter(|until| *until > now);
        });
    }

    pub(super) fn opened(&mut self, ix: ServerIx) {
        self.update(ix, |server| server.open += 1);
    }

    /// Records the end of an exchange. If the server is ejected now, returns until when.
    pub(super) fn closed(
        &mut self,
        ix: ServerIx,
        now: Time,
        record_result: impl FnOnce(&mut Health),
    ) -> Option<Time> {
        self.update(ix, |server| {
            server.open = server.open.saturating_sub(1);
            record_result(&mut server.health);
        });
        let ejected = self.eject_if_unhealthy(ix, now);
        self.free_index_if_idle(ix);
        ejected
    }

    /// Picks the better of two random candidates, preferring the local data centre.
    ///
    /// Two choices avoid slow servers at low cost; picking the best of all would send every entry
    /// to the same server. Excludes `except`, and servers that are being probed unless `may_probe`.
    /// If no pair contains an eligible server, takes any.
    pub(super) fn pick(
        &self,
        class: ClassIx,
        may_probe: bool,
        except: Option<ServerIx>,
        rng: &mut SmallRng,
    ) -> Option<ServerIx> {
        let candidates = self.by_class.get(class.0)?;
        let is_eligible =
            |ix: &ServerIx| Some(*ix) != except && (may_probe || !self.list[ix.0].is_probing());
        for list in [&candidates.local, &candidates.remote] {
            if list.is_empty() {
                continue;
            }
            for _ in 0..MAX_PAIR_DRAWS {
                let pair = [0; 2].map(|_| list[rng.random_range(0..list.len())]);
                let better = pair.into_iter().filter(is_eligible).min_by(|a, b| {
                    self.list[a.0].load_score().total_cmp(&self.list[b.0].load_score())
                });
                if better.is_some() {
                    return better;
                }
            }
            if let Some(any) = list.iter().copied().find(is_eligible) {
                return Some(any);
            }
        }
        None
    }

    fn find_or_add(&mut self, info: &ServerInfo, shard: ShardId) -> ServerIx {
        if let Some(ix) = self.by_vm.get(&info.vm) {
            return *ix;
        }
        let server = Server {
            vm: info.vm.clone(),
            addr: info.addr.clone(),
            shard,
            local: false,
            classes: SmallVec::new(),
            share: 0,
            open: 0,
            health: Health::new(),
            described_draining: false,
            listed_draining: false,
            declared_draining_until: None,
            positions: SmallVec::new(),
        };
        let ix = self.free_indices.pop().unwrap_or(ServerIx(self.list.len()));
        if ix.0 == self.list.len() {
            self.list.push(server);
        } else {
            self.list[ix.0] = server;
        }
        self.by_vm.insert(info.vm.clone(), ix);
        ix
    }

    fn set_classes(&mut self, ix: ServerIx, classes: SmallVec<[ClassIx; 4]>) {
        if self.list[ix.0].classes == classes {
            return;
        }
        self.remove_capacity(ix);
        let share = u32::from(self.list[ix.0].share);
        let ejected =
            u32::from(matches!(self.list[ix.0].health.state, HealthState::Ejected { .. }));
        for class in std::mem::take(&mut self.list[ix.0].classes) {
            self.by_class[class.0].servers -= 1;
            self.by_class[class.0].shares -= share;
            self.by_class[class.0].ejected -= ejected;
        }
        for class in &classes {
            if self.by_class.len() <= class.0 {
                self.by_class.resize_with(class.0 + 1, ClassServers::default);
            }
            self.by_class[class.0].servers += 1;
            self.by_class[class.0].shares += share;
            self.by_class[class.0].ejected += ejected;
        }
        self.list[ix.0].classes = classes;
        self.add_capacity(ix);
    }

    fn eject_if_unhealthy(&mut self, ix: ServerIx, now: Time) -> Option<Time> {
        let server = &self.list[ix.0];
        // A server that fails its probe is always ejected again: the limit is for active servers.
        let below_limit = |class: &ClassIx| {
            let class_servers = &self.by_class[class.0];
            class_servers.servers >= 2
                && class_servers.ejected < (class_servers.servers / SERVERS_PER_EJECTION).max(1)
        };
        let allowed = server.is_probing() || server.classes.iter().all(below_limit);
        if !server.health.should_eject() || !allowed {
            return None;
        }
        for class in server.classes.clone() {
            self.by_class[class.0].ejected += 1;
        }
        let mut until = now;
        self.update(ix, |server| until = server.health.eject(now));
        Some(until)
    }

    /// Changes a server and updates the candidates and sums.
    fn update(&mut self, ix: ServerIx, update: impl FnOnce(&mut Server)) {
        let before = self.list[ix.0].free_capacity();
        let local = self.list[ix.0].local;
        update(&mut self.list[ix.0]);
        let server = &self.list[ix.0];
        let after = server.free_capacity();
        let counted = !server.classes.is_empty();
        if counted {
            self.free_capacity = self.free_capacity - u32::from(before) + u32::from(after);
        }
        let moved = local != server.local;
        if (before > 0 && after == 0) || moved {
            self.remove_candidate(ix, local);
        }
        if after > 0 && (before == 0 || moved) {
            self.insert_candidate(ix);
        }
    }

    /// Removes the server from the free capacity and the candidates before its classes change.
    fn remove_capacity(&mut self, ix: ServerIx) {
        if !self.list[ix.0].classes.is_empty() {
            self.free_capacity -= u32::from(self.list[ix.0].free_capacity());
        }
        let local = self.list[ix.0].local;
        self.remove_candidate(ix, local);
    }

    /// Adds the server to the free capacity and the candidates after its classes have changed.
    fn add_capacity(&mut self, ix: ServerIx) {
        let free_capacity = self.list[ix.0].free_capacity();
        if !self.list[ix.0].classes.is_empty() {
            self.free_capacity += u32::from(free_capacity);
        }
        if free_capacity > 0 {
            self.insert_candidate(ix);
        }
    }

    fn insert_candidate(&mut self, ix: ServerIx) {
        let Server { local, classes, positions, .. } = &mut self.list[ix.0];
        if !positions.is_empty() {
            return;
        }
        for class in classes.iter() {
            let list = self.by_class[class.0].list(*local);
            positions.push((*class, list.len()));
            list.push(ix);
        }
    }

    fn remove_candidate(&mut self, ix: ServerIx, local: bool) {
        for (class, position) in std::mem::take(&mut self.list[ix.0].positions) {
            let list = self.by_class[class.0].list(local);
            list.swap_remove(position);
            let Some(moved) = list.get(position).copied() else { continue };
            let positions = &mut self.list[moved.0].positions;
            if let Some(entry) = positions.iter_mut().find(|entry| entry.0 == class) {
                entry.1 = position;
            }
        }
    }

    /// Makes the index of a forgotten server available once nothing is open there.
    fn free_index_if_idle(&mut self, ix: ServerIx) {
        let server = &self.list[ix.0];
        let unused = server.classes.is_empty() && server.described_draining && server.open == 0;
        if unused && self.by_vm.get(&server.vm) == Some(&ix) {
            self.by_vm.remove(&self.list[ix.0].vm);
            self.free_indices.push(ix);
        }
    }
}

impl ClassServers {
    fn list(&mut self, local: bool) -> &mut Vec<ServerIx> {
        if local { &mut self.local } else { &mut self.remote }
    }
}

//! The backend servers: what the entry holds there, and which ones can take a request now.

use {
    super::{
        class::ClassIx,
        health::{Health, Standing},
    },
    crate::shares::ServerInfo,
    compact_str::CompactString,
    egretlb_types::{DataCentre, ShardId, Time, VmId, VmState},
    rand::{Rng, rngs::SmallRng},
    smallvec::SmallVec,
    std::{collections::HashMap, time::Duration},
};

/// How long a server's own word that it is leaving stands. The VM list, which lags, will have said
/// so by then, or the server has stayed.
const SAID_LEAVING_FOR: Duration = Duration::from_secs(60);

/// At most one in so many of a class's servers is ejected at once. When more of them look bad the
/// load is at fault, and taking servers out would make it worse for the others.
const EJECT_ONE_IN: u32 = 5;

/// Pairs drawn before a class is taken to have no server that fits.
const DRAWS: usize = 4;

/// The place of a server in [`Servers`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct ServerIx(pub(super) usize);

/// One backend server.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) vm: VmId,
    pub(super) addr: CompactString,
    pub(super) shard: ShardId,
    pub(super) near: bool,
    pub(super) classes: SmallVec<[ClassIx; 4]>,
    /// How many requests may be open there.
    pub(super) share: u16,
    /// How many are.
    pub(super) open: u16,
    pub(super) health: Health,
    described_leaving: bool,
    listed_leaving: bool,
    said_leaving: Option<Time>,
    /// Its place in the candidates of each class, while it can take a request.
    places: SmallVec<[(ClassIx, usize); 4]>,
}

/// The servers of one class that can take a request now.
#[derive(Clone, Debug, Default)]
struct Candidates {
    near: Vec<ServerIx>,
    far: Vec<ServerIx>,
    /// How many servers run the class.
    servers: u32,
    /// How many of them are ejected.
    out: u32,
    /// The sum of the shares held of them.
    shares: u32,
}

/// All backend servers that grantors described.
#[derive(Debug, Default)]
pub(super) struct Servers {
    list: Vec<Server>,
    by_vm: HashMap<VmId, ServerIx>,
    unused: Vec<ServerIx>,
    candidates: Vec<Candidates>,
    /// Requests that could be opened now, over all candidates.
    free: u32,
    /// The sum of the shares.
    total: u32,
}

impl Server {
    fn is_leaving(&self) -> bool {
        self.described_leaving || self.listed_leaving || self.said_leaving.is_some()
    }

    /// How many more requests it could take.
    fn room(&self) -> u16 {
        if self.is_leaving() {
            return 0;
        }
        match self.health.standing {
            Standing::In => self.share.saturating_sub(self.open),
            Standing::Probing { .. } if self.open == 0 => self.share.min(1),
            Standing::Probing { .. } | Standing::Out { .. } => 0,
        }
    }

    fn is_probing(&self) -> bool {
        matches!(self.health.standing, Standing::Probing { .. })
    }

    /// How many shares make sense to ask for, if `want` are needed.
    pub(super) fn useful(&self, want: u16) -> u16 {
        match self.health.standing {
            _ if self.is_leaving() => 0,
            Standing::In => want,
            Standing::Probing { .. } => 1,
            Standing::Out { .. } => 0,
        }
    }

    /// The lower, the better to send to.
    fn score(&self) -> f64 {
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

    pub(super) fn free(&self) -> u32 {
        self.free
    }

    pub(super) fn total(&self) -> u32 {
        self.total
    }

    /// One more than the largest place.
    pub(super) fn end(&self) -> usize {
        self.list.len()
    }

    /// The servers that are described.
    pub(super) fn iter(&self) -> impl Iterator<Item = (ServerIx, &Server)> {
        let all = self.list.iter().enumerate().map(|(i, server)| (ServerIx(i), server));
        all.filter(|(_, server)| !server.classes.is_empty())
    }

    /// How many servers run the class.
    pub(super) fn serving(&self, class: ClassIx) -> u32 {
        self.candidates.get(class.0).map_or(0, |candidates| candidates.servers)
    }

    /// How many requests of the class the shares held allow, besides other classes' ones.
    pub(super) fn shares(&self, class: ClassIx) -> u32 {
        self.candidates.get(class.0).map_or(0, |candidates| candidates.shares)
    }

    pub(super) fn has_candidate(&self, class: ClassIx) -> bool {
        let candidates = self.candidates.get(class.0);
        candidates.is_some_and(|c| !c.near.is_empty() || !c.far.is_empty())
    }

    /// Takes a grantor's description of a server, with the places of its classes.
    pub(super) fn describe(
        &mut self,
        info: &ServerInfo,
        shard: ShardId,
        classes: SmallVec<[ClassIx; 4]>,
        home: &DataCentre,
    ) -> ServerIx {
        let ix = self.find_or_add(info, shard);
        self.change(ix, |server| {
            server.addr = info.addr.clone();
            server.shard = shard;
            server.near = info.data_centre == *home;
            server.described_leaving = info.state == VmState::Leaving;
        });
        self.set_classes(ix, classes);
        ix
    }

    /// The grantor doesn't describe the server any more.
    pub(super) fn forget(&mut self, ix: ServerIx) {
        self.set_share(ix, 0);
        self.change(ix, |server| server.described_leaving = true);
        self.set_classes(ix, SmallVec::new());
        self.reuse_if_idle(ix);
    }

    pub(super) fn set_share(&mut self, ix: ServerIx, share: u16) {
        let old = self.list[ix.0].share;
        for class in self.list[ix.0].classes.clone() {
            let sum = &mut self.candidates[class.0].shares;
            *sum = *sum - u32::from(old) + u32::from(share);
        }
        self.total = self.total - u32::from(old) + u32::from(share);
        self.change(ix, |server| server.share = share);
    }

    /// The platform's list says so.
    pub(super) fn list_leaving(&mut self, vm: &VmId, leaving: bool) {
        if let Some(ix) = self.by_vm.get(vm).copied() {
            self.change(ix, |server| server.listed_leaving = leaving);
        }
    }

    /// The server itself says so.
    pub(super) fn said_leaving(&mut self, ix: ServerIx, now: Time) -> Time {
        let until = now + SAID_LEAVING_FOR;
        self.change(ix, |server| server.said_leaving = Some(until));
        until
    }

    /// Ends what has run out: a server's word that it is leaving, an ejection.
    pub(super) fn expire(&mut self, ix: ServerIx, now: Time) {
        if let Standing::Out { until } = self.list[ix.0].health.standing
            && until <= now
        {
            for class in self.list[ix.0].classes.clone() {
                self.candidates[class.0].out -= 1;
            }
            self.change(ix, |server| server.health.probe());
        }
        self.change(ix, |server| {
            server.said_leaving = server.said_leaving.filter(|until| *until > now);
        });
    }

    pub(super) fn opened(&mut self, ix: ServerIx) {
        self.change(ix, |server| server.open += 1);
    }

    /// An exchange has ended. Returns until when the server is ejected, if it is now.
    pub(super) fn closed(
        &mut self,
        ix: ServerIx,
        now: Time,
        judge: impl FnOnce(&mut Health),
    ) -> Option<Time> {
        self.change(ix, |server| {
            server.open = server.open.saturating_sub(1);
            judge(&mut server.health);
        });
        let ejected = self.eject_if_bad(ix, now);
        self.reuse_if_idle(ix);
        ejected
    }

    /// Two random choices, the better of which is taken; in the near data centre if it has room.
    ///
    /// Two choices keep a slow server from being picked often, at the cost of two look-ups; the
    /// best of all would draw every entry to the same server at once.
    pub(super) fn pick(
        &self,
        class: ClassIx,
        may_probe: bool,
        except: Option<ServerIx>,
        rng: &mut SmallRng,
    ) -> Option<ServerIx> {
        let candidates = self.candidates.get(class.0)?;
        let fits =
            |ix: &ServerIx| Some(*ix) != except && (may_probe || !self.list[ix.0].is_probing());
        for list in [&candidates.near, &candidates.far] {
            if list.is_empty() {
                continue;
            }
            for _ in 0..DRAWS {
                let pair = [0; 2].map(|_| list[rng.random_range(0..list.len())]);
                let better = pair
                    .into_iter()
                    .filter(fits)
                    .min_by(|a, b| self.list[a.0].score().total_cmp(&self.list[b.0].score()));
                if better.is_some() {
                    return better;
                }
            }
            if let Some(any) = list.iter().copied().find(fits) {
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
            near: false,
            classes: SmallVec::new(),
            share: 0,
            open: 0,
            health: Health::new(),
            described_leaving: false,
            listed_leaving: false,
            said_leaving: None,
            places: SmallVec::new(),
        };
        let ix = self.unused.pop().unwrap_or(ServerIx(self.list.len()));
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
        self.withdraw(ix);
        let share = u32::from(self.list[ix.0].share);
        let out = u32::from(matches!(self.list[ix.0].health.standing, Standing::Out { .. }));
        for class in std::mem::take(&mut self.list[ix.0].classes) {
            self.candidates[class.0].servers -= 1;
            self.candidates[class.0].shares -= share;
            self.candidates[class.0].out -= out;
        }
        for class in &classes {
            if self.candidates.len() <= class.0 {
                self.candidates.resize_with(class.0 + 1, Candidates::default);
            }
            self.candidates[class.0].servers += 1;
            self.candidates[class.0].shares += share;
            self.candidates[class.0].out += out;
        }
        self.list[ix.0].classes = classes;
        self.offer(ix);
    }

    fn eject_if_bad(&mut self, ix: ServerIx, now: Time) -> Option<Time> {
        let server = &self.list[ix.0];
        // A server that fails its probe goes back out: the bound is for those that still serve.
        let bound = |class: &ClassIx| {
            let candidates = &self.candidates[class.0];
            candidates.servers >= 2 && candidates.out < (candidates.servers / EJECT_ONE_IN).max(1)
        };
        let allowed = server.is_probing() || server.classes.iter().all(bound);
        if !server.health.is_bad() || !allowed {
            return None;
        }
        for class in server.classes.clone() {
            self.candidates[class.0].out += 1;
        }
        let mut until = now;
        self.change(ix, |server| until = server.health.eject(now));
        Some(until)
    }

    /// Changes a server and keeps the candidates and sums in step.
    fn change(&mut self, ix: ServerIx, change: impl FnOnce(&mut Server)) {
        let before = self.list[ix.0].room();
        let near = self.list[ix.0].near;
        change(&mut self.list[ix.0]);
        let server = &self.list[ix.0];
        let after = server.room();
        let counted = !server.classes.is_empty();
        if counted {
            self.free = self.free - u32::from(before) + u32::from(after);
        }
        let moved = near != server.near;
        if (before > 0 && after == 0) || moved {
            self.take_places(ix, near);
        }
        if after > 0 && (before == 0 || moved) {
            self.give_places(ix);
        }
    }

    /// Takes the server out of the sums and candidates, before its classes change.
    fn withdraw(&mut self, ix: ServerIx) {
        if !self.list[ix.0].classes.is_empty() {
            self.free -= u32::from(self.list[ix.0].room());
        }
        let near = self.list[ix.0].near;
        self.take_places(ix, near);
    }

    fn offer(&mut self, ix: ServerIx) {
        let room = self.list[ix.0].room();
        if !self.list[ix.0].classes.is_empty() {
            self.free += u32::from(room);
        }
        if room > 0 {
            self.give_places(ix);
        }
    }

    fn give_places(&mut self, ix: ServerIx) {
        let Server { near, classes, places, .. } = &mut self.list[ix.0];
        if !places.is_empty() {
            return;
        }
        for class in classes.iter() {
            let list = self.candidates[class.0].list(*near);
            places.push((*class, list.len()));
            list.push(ix);
        }
    }

    fn take_places(&mut self, ix: ServerIx, near: bool) {
        for (class, place) in std::mem::take(&mut self.list[ix.0].places) {
            let list = self.candidates[class.0].list(near);
            list.swap_remove(place);
            let Some(moved) = list.get(place).copied() else { continue };
            let places = &mut self.list[moved.0].places;
            if let Some(entry) = places.iter_mut().find(|entry| entry.0 == class) {
                entry.1 = place;
            }
        }
    }

    /// Lets the place of a forgotten server be used again once nothing is open there.
    fn reuse_if_idle(&mut self, ix: ServerIx) {
        let server = &self.list[ix.0];
        let idle = server.classes.is_empty() && server.described_leaving && server.open == 0;
        if idle && self.by_vm.get(&server.vm) == Some(&ix) {
            self.by_vm.remove(&self.list[ix.0].vm);
            self.unused.push(ix);
        }
    }
}

impl Candidates {
    fn list(&mut self, near: bool) -> &mut Vec<ServerIx> {
        if near { &mut self.near } else { &mut self.far }
    }
}

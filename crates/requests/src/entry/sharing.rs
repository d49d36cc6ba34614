//! Asking grantors for shares, and taking what they grant.

use {
    super::{
        Entry, Timer,
        class::ClassIx,
        event::{EntryEffect, ShardOwner},
        grantors::{Demand, Grantor},
        servers::{Server, ServerIx},
    },
    crate::shares::{ServerDemand, ServerInfo, ShareGrant, ShareRequest},
    egretlb_types::{ShardId, Time, VmRecord, VmState, shard_of_rack},
    smallvec::SmallVec,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How often demand is looked at, between regular ticks.
const LOOK_PERIOD: Duration = Duration::from_millis(10);

/// Shares are asked for when fewer than one in so many of those held are free.
const SHORT_ONE_IN: u32 = 8;

/// What is asked for beyond the most that was needed of late, so that growth finds room: a quarter
/// and two more.
const HEADROOM_ONE_IN: u32 = 4;
const HEADROOM_LEAST: u32 = 2;

/// No share larger than this is asked for; far beyond any server's slots.
const WANT_MAX: u32 = 1_024;

impl Entry {
    pub(super) fn set_owners(
        &mut self,
        now: Time,
        owners: &[ShardOwner],
        out: &mut Vec<EntryEffect>,
    ) {
        for owner in owners {
            let known = self.owners.get(&owner.shard);
            // The control stream never goes back; an event that does was overtaken.
            if known.is_some_and(|(_, epoch)| *epoch >= owner.epoch) {
                continue;
            }
            self.owners.insert(owner.shard, (owner.node, owner.epoch));
            if let Some(grantor) = self.grantors.get_mut(owner.shard) {
                grantor.owner = Some((owner.node, owner.epoch));
                grantor.waiting = false;
                grantor.hurry = true;
            }
        }
        self.send_due_requests(now, false, out);
    }

    /// Takes the platform's list as a hint: which racks there are, and who is leaving.
    pub(super) fn set_vms(&mut self, vms: &[VmRecord]) {
        for record in vms {
            let shard = shard_of_rack(&record.rack);
            let owner = self.owners.get(&shard).copied();
            self.grantors.find_or_add(shard).owner = owner;
            self.servers.list_leaving(&record.vm, record.state == VmState::Leaving);
        }
    }

    /// Whether more shares would help now.
    pub(super) fn is_short(&self) -> bool {
        self.waits_without_share() || self.servers.free() * SHORT_ONE_IN < self.servers.total()
    }

    /// Whether a class has requests waiting and no server of its own that may take one.
    ///
    /// Free shares of other classes' servers don't help it. Were they counted, a boundary check
    /// would wait for the next periodic ask, up to 3 s, while shares for filings lie idle.
    fn waits_without_share(&self) -> bool {
        let waits =
            |ix: ClassIx| !self.classes.get(ix).queue.is_empty() && !self.servers.has_candidate(ix);
        self.waiting > 0 && self.classes.indices().any(waits)
    }

    /// Asks soon when demand grows, without waiting for the next tick.
    pub(super) fn request_on_demand(&mut self, now: Time, out: &mut Vec<EntryEffect>) {
        if now < self.look_at {
            return;
        }
        self.look_at = now + LOOK_PERIOD;
        if self.is_short() {
            self.send_due_requests(now, true, out);
        }
    }

    pub(super) fn recalled(&mut self, now: Time, shard: ShardId, out: &mut Vec<EntryEffect>) {
        if let Some(grantor) = self.grantors.get_mut(shard) {
            grantor.hurry = true;
        }
        self.send_due_requests(now, false, out);
    }

    pub(super) fn send_due_requests(&mut self, now: Time, short: bool, out: &mut Vec<EntryEffect>) {
        if self.drained {
            return;
        }
        let need = self.waiting + self.attempts.len();
        let due = self.grantors.due(now, Demand { short, need });
        if due.is_empty() {
            return;
        }
        let plan = self.plan();
        for shard in due {
            self.send_request(now, shard, &plan, out);
        }
    }

    pub(super) fn give_back_shares(&mut self, now: Time, out: &mut Vec<EntryEffect>) {
        for shard in self.grantors.shards() {
            let servers = self.grantors.get(shard).map(|grantor| grantor.servers.clone());
            for server in servers.unwrap_or_default() {
                self.servers.set_share(server, 0);
            }
            self.send_request(now, shard, &[], out);
        }
    }

    /// Sends an ask that says what is held until its answer, and what is wanted.
    fn send_request(
        &mut self,
        now: Time,
        shard: ShardId,
        plan: &[Planned],
        out: &mut Vec<EntryEffect>,
    ) {
        let Some(grantor) = self.grantors.get_mut(shard) else { return };
        let Some((node, epoch)) = grantor.owner else { return };
        let servers = &self.servers;
        grantor.servers.retain(|ix| {
            let server = servers.get(*ix);
            server.shard == shard && (!server.classes.is_empty() || server.open > 0)
        });
        let asks = grantor.servers.iter().filter_map(|ix| {
            let server = servers.get(*ix);
            // What is open stays held, also beyond the share: a smaller share takes effect as
            // exchanges end.
            let holding = server.share.max(server.open);
            let planned = plan.get(ix.0).copied().unwrap_or_default();
            let want = server.useful(planned.want);
            let need = planned.need.min(want);
            let named = holding > 0 || want > 0;
            named.then(|| ServerDemand { vm: server.vm.clone(), holding, need, want })
        });
        let servers: Vec<ServerDemand> = asks.collect();
        grantor.seq += 1;
        grantor.asked_at = Some(now);
        grantor.waiting = true;
        grantor.hurry = false;
        grantor.asked_need = self.waiting + self.attempts.len();
        let request = ShareRequest {
            shard,
            epoch,
            entry: self.opts.node,
            seq: grantor.seq,
            known_version: grantor.known_version,
            servers,
        };
        out.push(EntryEffect::RequestShares { node, request });
    }

    pub(super) fn take_grant(&mut self, now: Time, grant: ShareGrant, out: &mut Vec<EntryEffect>) {
        let shard = grant.shard;
        let Some(grantor) = self.grantors.get_mut(shard) else { return };
        let epoch = grantor.owner.map(|(_, epoch)| epoch);
        let current = epoch == Some(grant.epoch) && grant.seq == grantor.seq && grantor.waiting;
        // A grant that was overtaken by a later ask, or by a later grantor, isn't in anybody's
        // books any more.
        if self.opts.protections.fence_grants && !current {
            return;
        }
        let asked_at = grantor.asked_at.unwrap_or(now);
        let old_lapse = grantor.lapses;
        grantor.lapses = if self.opts.protections.expire_shares {
            Grantor::lease_end(asked_at, grant.lease)
        } else {
            Time::from_micros(u64::MAX)
        };
        let lapses = grantor.lapses;
        let changed = grantor.known_version != grant.version;
        grantor.known_version = grant.version;
        grantor.answered(grant.servers.iter().map(|server| u32::from(server.max_open)).sum());
        self.timers.remove(&(old_lapse, Timer::Lapse(shard)));
        if changed {
            self.describe(shard, &grant.descriptions);
        }
        let lowered = self.set_shares(&grant);
        self.timers.insert((lapses, Timer::Lapse(shard)));
        // A new description changes what is worth asking for; and what was taken back is free for
        // others only once the grantor knows that it was.
        if let Some(grantor) = self.grantors.get_mut(shard) {
            grantor.hurry = changed || lowered;
        }
        self.send_due_requests(now, false, out);
    }

    fn describe(&mut self, shard: ShardId, descriptions: &[ServerInfo]) {
        let mut seen = BTreeSet::new();
        for info in descriptions {
            let classes: SmallVec<[ClassIx; 4]> =
                info.classes.iter().map(|name| self.classes.find_or_add(name)).collect();
            seen.insert(self.servers.describe(info, shard, classes, &self.opts.data_centre));
        }
        let Some(grantor) = self.grantors.get_mut(shard) else { return };
        for gone in grantor.servers.difference(&seen) {
            if self.servers.get(*gone).shard == shard {
                self.servers.forget(*gone);
            }
        }
        grantor.servers.extend(seen);
    }

    /// Returns whether any share became smaller.
    fn set_shares(&mut self, grant: &ShareGrant) -> bool {
        let mut lowered = false;
        let Some(grantor) = self.grantors.get(grant.shard) else { return lowered };
        let granted: BTreeMap<ServerIx, u16> = grant
            .servers
            .iter()
            .filter_map(|server| Some((self.servers.find(&server.vm)?, server.max_open)))
            .collect();
        for ix in &grantor.servers {
            let server = self.servers.get(*ix);
            if server.shard != grant.shard {
                continue;
            }
            let share = granted.get(ix).copied().unwrap_or(0);
            if share > 0 {
                for class in &server.classes {
                    self.classes.get_mut(*class).starved_since = None;
                }
            }
            lowered |= share < server.share;
            self.servers.set_share(*ix, share);
        }
        lowered
    }

    /// The lease has run out without a new grant: nothing more is sent under it.
    pub(super) fn lapse(&mut self, now: Time, shard: ShardId) {
        let Some(grantor) = self.grantors.get_mut(shard) else { return };
        if grantor.lapses > now {
            return;
        }
        for ix in grantor.servers.clone() {
            if self.servers.get(ix).shard == shard {
                self.servers.set_share(ix, 0);
            }
        }
    }

    /// How many requests the entry needs to have open at each server, and would like to.
    ///
    /// What is open and waiting, or was at most of late, and some more, spread over the class's
    /// servers: the near ones first, and in an order of the entry's own, so that entries with
    /// little to do don't all want the same server.
    fn plan(&self) -> Vec<Planned> {
        let mut plan = vec![Planned::default(); self.servers.end()];
        let mut by_class: Vec<Vec<ServerIx>> = Vec::new();
        for (ix, server) in self.servers.iter() {
            for class in &server.classes {
                if by_class.len() <= class.0 {
                    by_class.resize_with(class.0 + 1, Vec::new);
                }
                if server.useful(1) > 0 {
                    by_class[class.0].push(ix);
                }
            }
        }
        for (i, servers) in by_class.iter_mut().enumerate() {
            let class = self.classes.get(ClassIx(i));
            if class.service.is_none() || servers.is_empty() {
                continue;
            }
            servers.sort_by_key(|ix| self.preference(*ix, self.servers.get(*ix)));
            let waiting = u32::try_from(class.queue.len()).unwrap_or(u32::MAX);
            let offered = class.load.offered(class.latency.mean());
            let need = class.open.saturating_add(waiting).max(offered);
            spread(need, class.load.peak_need().max(offered), servers, &mut plan);
        }
        plan
    }

    fn preference(&self, ix: ServerIx, server: &Server) -> (bool, u64) {
        let mixed = (ix.0 as u64 ^ self.opts.node.0).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        (!server.near, mixed ^ (mixed >> 32))
    }
}

/// What is asked of one server.
#[derive(Clone, Copy, Debug, Default)]
struct Planned {
    need: u16,
    want: u16,
}

impl Planned {
    fn add(&mut self, need: u32, want: u32) {
        self.need = add(self.need, need);
        self.want = add(self.want, want);
    }
}

fn add(sum: u16, more: u32) -> u16 {
    (u32::from(sum) + more.min(WANT_MAX)).min(WANT_MAX) as u16
}

/// Adds what a class needs and would like to what is asked of its servers.
fn spread(need: u32, peak: u32, servers: &[ServerIx], plan: &mut [Planned]) {
    if peak == 0 {
        // Thousands of quiet classes on one server want one share between them, not one each.
        for ix in servers.iter().take(HEADROOM_LEAST as usize) {
            plan[ix.0].want = plan[ix.0].want.max(1);
        }
        return;
    }
    let want = peak.max(need).saturating_add(peak / HEADROOM_ONE_IN + HEADROOM_LEAST);
    let count = servers.len() as u32;
    let part = |sum: u32, i: usize| sum / count + u32::from((i as u32) < sum % count);
    for (i, ix) in servers.iter().enumerate() {
        plan[ix.0].add(part(need, i), part(want, i));
    }
}

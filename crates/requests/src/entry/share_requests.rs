//! Requests for shares, and the grants that answer them.

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

/// Minimum time between two checks of demand, besides the regular ticks.
const DEMAND_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// More shares are requested when fewer than this fraction (1/n) of those held are free.
const LOW_FREE_SHARE_DIVISOR: u32 = 8;

/// Headroom requested beyond the recent peak: this fraction (1/n) of it and [`MIN_HEADROOM`].
const HEADROOM_DIVISOR: u32 = 4;
const MIN_HEADROOM: u32 = 2;

/// Maximum share requested of one server.
const MAX_WANTED_SHARE: u32 = 1_024;

impl Entry {
    pub(super) fn set_owners(
        &mut self,
        now: Time,
        owners: &[ShardOwner],
        out: &mut Vec<EntryEffect>,
    ) {
        for owner in owners {
            let current = self.owners.get(&owner.shard);
            // Epochs only increase: an event with an older one was overtaken.
            if current.is_some_and(|(_, epoch)| *epoch >= owner.epoch) {
                continue;
            }
            self.owners.insert(owner.shard, (owner.node, owner.epoch));
            if let Some(grantor) = self.grantors.get_mut(owner.shard) {
                grantor.owner = Some((owner.node, owner.epoch));
                grantor.awaiting_grant = false;
                grantor.urgent = true;
            }
        }
        self.send_due_requests(now, false, out);
    }

    /// Uses the platform's list as a hint of which racks exist and which VMs are draining.
    pub(super) fn set_vms(&mut self, vms: &[VmRecord]) {
        for record in vms {
            let shard = shard_of_rack(&record.rack);
            let owner = self.owners.get(&shard).copied();
            self.grantors.find_or_add(shard).owner = owner;
            self.servers.set_listed_draining(&record.vm, record.state == VmState::Leaving);
        }
    }

    /// Whether more shares would help now.
    pub(super) fn needs_shares(&self) -> bool {
        self.has_class_without_share()
            || self.servers.total_free_capacity() * LOW_FREE_SHARE_DIVISOR
                < self.servers.total_share()
    }

    /// Whether a class has requests waiting and none of its servers can take one.
    ///
    /// Free shares of other classes' servers don't count: otherwise the class would wait for the
    /// next periodic request for shares.
    fn has_class_without_share(&self) -> bool {
        let without_candidate =
            |ix: ClassIx| !self.classes.get(ix).queue.is_empty() && !self.servers.has_candidate(ix);
        self.queued_count > 0 && self.classes.indices().any(without_candidate)
    }

    /// Requests shares when demand grows, without waiting for the next tick.
    pub(super) fn request_on_demand(&mut self, now: Time, out: &mut Vec<EntryEffect>) {
        if now < self.next_demand_check {
            return;
        }
        self.next_demand_check = now + DEMAND_CHECK_INTERVAL;
        if self.needs_shares() {
            self.send_due_requests(now, true, out);
        }
    }

    pub(super) fn handle_recall(&mut self, now: Time, shard: ShardId, out: &mut Vec<EntryEffect>) {
        if let Some(grantor) = self.grantors.get_mut(shard) {
            grantor.urgent = true;
        }
        self.send_due_requests(now, false, out);
    }

    pub(super) fn send_due_requests(
        &mut self,
        now: Time,
        needs_shares: bool,
        out: &mut Vec<EntryEffect>,
    ) {
        if self.drained {
            return;
        }
        let need = self.queued_count + self.attempts.len();
        let due = self.grantors.due(now, Demand { needs_shares, need });
        if due.is_empty() {
            return;
        }
        let planned = self.plan_demand();
        for shard in due {
            self.send_request(now, shard, &planned, out);
        }
    }

    pub(super) fn return_shares(&mut self, now: Time, out: &mut Vec<EntryEffect>) {
        for shard in self.grantors.shards() {
            let servers = self.grantors.get(shard).map(|grantor| grantor.servers.clone());
            for server in servers.unwrap_or_default() {
                self.servers.set_share(server, 0);
            }
            self.send_request(now, shard, &[], out);
        }
    }

    /// Sends a request that states what is held until its answer, and what is wanted.
    fn send_request(
        &mut self,
        now: Time,
        shard: ShardId,
        planned: &[PlannedDemand],
        out: &mut Vec<EntryEffect>,
    ) {
        let Some(grantor) = self.grantors.get_mut(shard) else { return };
        let Some((node, epoch)) = grantor.owner else { return };
        let servers = &self.servers;
        grantor.servers.retain(|ix| {
            let server = servers.get(*ix);
            server.shard == shard && (!server.classes.is_empty() || server.open > 0)
        });
        let demands = grantor.servers.iter().filter_map(|ix| {
            let server = servers.get(*ix);
            // Open requests stay held, also beyond the share: a smaller share takes effect as
            // exchanges end.
            let holding = server.share.max(server.open);
            let wanted = planned.get(ix.0).copied().unwrap_or_default();
            let want = server.max_requestable(wanted.want);
            let need = wanted.need.min(want);
            let relevant = holding > 0 || want > 0;
            relevant.then(|| ServerDemand { vm: server.vm.clone(), holding, need, want })
        });
        let servers: Vec<ServerDemand> = demands.collect();
        grantor.seq += 1;
        grantor.requested_at = Some(now);
        grantor.awaiting_grant = true;
        grantor.urgent = false;
        grantor.requested_need = self.queued_count + self.attempts.len();
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

    pub(super) fn apply_grant(&mut self, now: Time, grant: ShareGrant, out: &mut Vec<EntryEffect>) {
        let shard = grant.shard;
        let Some(grantor) = self.grantors.get_mut(shard) else { return };
        let epoch = grantor.owner.map(|(_, epoch)| epoch);
        let current =
            epoch == Some(grant.epoch) && grant.seq == grantor.seq && grantor.awaiting_grant;
        // The grantor doesn't count a grant that a later request or another grantor has superseded.
        if self.opts.protections.fence_grants && !current {
            return;
        }
        let requested_at = grantor.requested_at.unwrap_or(now);
        let old_expiry = grantor.shares_expire_at;
        grantor.shares_expire_at = if self.opts.protections.expire_shares {
            Grantor::lease_end(requested_at, grant.lease)
        } else {
            Time::from_micros(u64::MAX)
        };
        let shares_expire_at = grantor.shares_expire_at;
        let changed = grantor.known_version != grant.version;
        grantor.known_version = grant.version;
        grantor.record_grant(grant.servers.iter().map(|server| u32::from(server.max_open)).sum());
        self.timers.remove(&(old_expiry, Timer::SharesExpire(shard)));
        if changed {
            self.apply_descriptions(shard, &grant.descriptions);
        }
        let lowered = self.set_shares(&grant);
        self.timers.insert((shares_expire_at, Timer::SharesExpire(shard)));
        // A new description changes the demand, and the grantor can use revoked shares only once it
        // knows that they were given up.
        if let Some(grantor) = self.grantors.get_mut(shard) {
            grantor.urgent = changed || lowered;
        }
        self.send_due_requests(now, false, out);
    }

    /// Applies the grantor's descriptions of all its servers, and removes the others.
    fn apply_descriptions(&mut self, shard: ShardId, descriptions: &[ServerInfo]) {
        let mut described = BTreeSet::new();
        for info in descriptions {
            let classes: SmallVec<[ClassIx; 4]> =
                info.classes.iter().map(|name| self.classes.find_or_add(name)).collect();
            described.insert(self.servers.apply_description(
                info,
                shard,
                classes,
                &self.opts.data_centre,
            ));
        }
        let Some(grantor) = self.grantors.get_mut(shard) else { return };
        for removed in grantor.servers.difference(&described) {
            if self.servers.get(*removed).shard == shard {
                self.servers.remove(*removed);
            }
        }
        grantor.servers.extend(described);
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
                    self.classes.get_mut(*class).without_share_since = None;
                }
            }
            lowered |= share < server.share;
            self.servers.set_share(*ix, share);
        }
        lowered
    }

    /// The lease ended without a new grant: nothing more is sent under it.
    pub(super) fn expire_shares(&mut self, now: Time, shard: ShardId) {
        let Some(grantor) = self.grantors.get_mut(shard) else { return };
        if grantor.shares_expire_at > now {
            return;
        }
        for ix in grantor.servers.clone() {
            if self.servers.get(ix).shard == shard {
                self.servers.set_share(ix, 0);
            }
        }
    }

    /// Plans how many requests the entry needs and wants to have open at each server.
    ///
    /// The demand of each class, with headroom, is spread over its servers: local ones first, in an
    /// order that differs between entries, so that entries with little load don't all request the
    /// same server.
    fn plan_demand(&self) -> Vec<PlannedDemand> {
        let mut planned = vec![PlannedDemand::default(); self.servers.index_bound()];
        let mut by_class: Vec<Vec<ServerIx>> = Vec::new();
        for (ix, server) in self.servers.iter() {
            for class in &server.classes {
                if by_class.len() <= class.0 {
                    by_class.resize_with(class.0 + 1, Vec::new);
                }
                if server.max_requestable(1) > 0 {
                    by_class[class.0].push(ix);
                }
            }
        }
        for (i, servers) in by_class.iter_mut().enumerate() {
            let class = self.classes.get(ClassIx(i));
            if class.settings.is_none() || servers.is_empty() {
                continue;
            }
            servers.sort_by_key(|ix| self.selection_order(*ix, self.servers.get(*ix)));
            let waiting = u32::try_from(class.queue.len()).unwrap_or(u32::MAX);
            let offered_concurrency = class.load.offered_concurrency(class.latency.mean());
            let need = class.open.saturating_add(waiting).max(offered_concurrency);
            distribute(
                need,
                class.load.peak_need().max(offered_concurrency),
                servers,
                &mut planned,
            );
        }
        planned
    }

    /// Sort key: local servers first, else in an order that differs between entries.
    fn selection_order(&self, ix: ServerIx, server: &Server) -> (bool, u64) {
        let hash = (ix.0 as u64 ^ self.opts.node.0).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        (!server.local, hash ^ (hash >> 32))
    }
}

/// Demand for one server.
#[derive(Clone, Copy, Debug, Default)]
struct PlannedDemand {
    need: u16,
    want: u16,
}

impl PlannedDemand {
    fn add(&mut self, need: u32, want: u32) {
        self.need = add(self.need, need);
        self.want = add(self.want, want);
    }
}

fn add(sum: u16, more: u32) -> u16 {
    (u32::from(sum) + more.min(MAX_WANTED_SHARE)).min(MAX_WANTED_SHARE) as u16
}

/// Adds the demand of a class to that of its servers.
fn distribute(need: u32, peak: u32, servers: &[ServerIx], planned: &mut [PlannedDemand]) {
    if peak == 0 {
        // Idle classes on the same server share one slot instead of requesting one each.
        for ix in servers.iter().take(MIN_HEADROOM as usize) {
            planned[ix.0].want = planned[ix.0].want.max(1);
        }
        return;
    }
    let want = peak.max(need).saturating_add(peak / HEADROOM_DIVISOR + MIN_HEADROOM);
    let count = servers.len() as u32;
    // The part of server `i` in an equal division of `sum`.
    let part = |sum: u32, i: usize| sum / count + u32::from((i as u32) < sum % count);
    for (i, ix) in servers.iter().enumerate() {
        planned[ix.0].add(part(need, i), part(want, i));
    }
}

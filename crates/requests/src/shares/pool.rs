//! The slots of one backend server and their allocation to entries.

use {
    egretlb_types::{NodeId, Time, VmId},
    smallvec::SmallVec,
    std::time::Duration,
};

/// How often the entries without a share rotate when there are fewer slots than entries.
const ROTATION_PERIOD: Duration = Duration::from_secs(5);

/// What one entry may have open at the server.
#[derive(Clone, Copy, Debug)]
struct Charge {
    entry: NodeId,
    /// Maximum number of open requests, whichever of the grantor's answers the entry has received.
    open: u16,
    /// As in [`super::ServerDemand`].
    need: u16,
    want: u16,
    /// When the entry's lease must have expired; its need counts until then.
    expires_at: Time,
    /// When exchanges begun under the lease must have ended; the slots are free then.
    free_at: Time,
}

/// One entry's request for the slots of one server.
#[derive(Clone, Copy, Debug)]
pub(super) struct PoolRequest {
    pub(super) entry: NodeId,
    pub(super) holding: u16,
    pub(super) need: u16,
    pub(super) want: u16,
    /// When the lease must have expired.
    pub(super) expires_at: Time,
    /// When exchanges begun under the lease must have ended.
    pub(super) free_at: Time,
}

/// An entry's fair share of a pool.
#[derive(Clone, Copy, Debug)]
struct FairShare {
    entry: NodeId,
    rank: u64,
    need: u16,
    want: u16,
    share: u16,
}

/// The slots of one backend server.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    size: u16,
    charges: SmallVec<[Charge; 12]>,
}

impl Pool {
    /// Sets the number of slots. A smaller size takes effect as entries send new requests.
    pub(super) fn resize(&mut self, size: u16) {
        self.size = size;
    }

    /// Removes charges that must have ended.
    pub(super) fn expire(&mut self, now: Time) {
        self.charges.retain(|charge| charge.free_at > now);
    }

    /// Maximum number of requests that all entries together may have open.
    pub(super) fn charged(&self) -> u32 {
        self.charges.iter().map(|charge| u32::from(charge.open)).sum()
    }

    pub(super) fn charged_to(&self, entry: NodeId) -> u32 {
        let own = self.charges.iter().filter(|charge| charge.entry == entry);
        own.map(|charge| u32::from(charge.open)).sum()
    }

    /// Records what an entry holds and wants, and returns its share.
    ///
    /// With `confirm_only` a new grantor, which doesn't know yet what its predecessor granted to
    /// others, confirms what the entry holds and adds nothing.
    pub(super) fn grant(
        &mut self,
        now: Time,
        vm: &VmId,
        request: PoolRequest,
        confirm_only: bool,
    ) -> u16 {
        self.charges.retain(|charge| charge.entry != request.entry);
        if request.holding == 0 && request.want == 0 {
            return 0;
        }
        let free = u32::from(self.size).saturating_sub(self.charged());
        let available = if confirm_only { u32::from(request.holding) } else { free };
        let PoolRequest { entry, holding, need, want, expires_at, free_at } = request;
        let charge = Charge { entry, open: holding, need, want, expires_at, free_at };
        self.charges.push(charge);
        let fair_shares = self.fair_shares(now, vm);
        let fair_share = fair_shares
            .iter()
            .find(|entry_share| entry_share.entry == entry)
            .map_or(0, |entry_share| entry_share.share);
        let granted = u32::from(fair_share).min(available) as u16;
        // Until its next request the entry may act on the old answer or on this one.
        if let Some(charge) = self.charges.last_mut() {
            charge.open = holding.max(granted);
        }
        granted
    }

    /// The entries' fair shares: first of what they need now, then of what they want beyond it.
    ///
    /// Both passes are max-min fair, so an entry without load never keeps a slot that another one
    /// needs. With fewer slots than entries in need, the order rotates by server and over time.
    fn fair_shares(&self, now: Time, vm: &VmId) -> SmallVec<[FairShare; 12]> {
        let rotation = now.as_micros() / ROTATION_PERIOD.as_micros() as u64;
        let active = self.charges.iter().filter(|charge| charge.expires_at > now);
        let mut fair_shares: SmallVec<[FairShare; 12]> = active
            .map(|charge| FairShare {
                entry: charge.entry,
                rank: rank(vm, charge.entry, rotation),
                need: charge.need.min(charge.want),
                want: charge.want,
                share: 0,
            })
            .collect();
        let remaining = distribute(self.size, &mut fair_shares, |entry_share| entry_share.need);
        distribute(remaining, &mut fair_shares, |entry_share| entry_share.want - entry_share.need);
        fair_shares
    }

    /// Entries that should send a new request: those above their fair share while another is short,
    /// and those that are short while slots are free.
    pub(super) fn to_recall(&self, now: Time, vm: &VmId) -> SmallVec<[NodeId; 4]> {
        let shortage = self.charges.iter().any(|charge| charge.open < charge.need);
        if !shortage {
            return SmallVec::new();
        }
        let free = self.charged() < u32::from(self.size);
        let fair_shares = self.fair_shares(now, vm);
        let to_recall = self.charges.iter().filter(|charge| {
            let entry_share =
                fair_shares.iter().find(|entry_share| entry_share.entry == charge.entry);
            let fair_share = entry_share.map_or(0, |entry_share| entry_share.share);
            charge.open > fair_share || (free && charge.open < charge.need.min(fair_share))
        });
        to_recall.map(|charge| charge.entry).collect()
    }
}

/// Distributes `size` slots max-min fair by `demand`; returns what is left.
///
/// Slots are assigned one at a time in order of rank, so the remainder doesn't always go to the
/// entries with the largest demand.
fn distribute(size: u16, fair_shares: &mut [FairShare], demand: impl Fn(&FairShare) -> u16) -> u16 {
    fair_shares.sort_unstable_by_key(|entry_share| entry_share.rank);
    let mut remaining = size;
    let mut round = 0;
    let max_demand = fair_shares.iter().map(&demand).max().unwrap_or(0);
    while remaining > 0 && round < max_demand {
        for entry_share in fair_shares.iter_mut() {
            if remaining > 0 && demand(entry_share) > round {
                entry_share.share += 1;
                remaining -= 1;
            }
        }
        round += 1;
    }
    remaining
}

/// Order of entries, different for each server and rotation.
fn rank(vm: &VmId, entry: NodeId, rotation: u64) -> u64 {
    let seed = vm.as_str().bytes().fold(entry.0 ^ (rotation << 40), |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(29)
    });
    seed ^ (seed >> 31)
}

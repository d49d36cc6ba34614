//! One backend server's slots, and who has how many of them.

use {
    egretlb_types::{NodeId, Time, VmId},
    smallvec::SmallVec,
};

/// What one entry may have open at the server.
#[derive(Clone, Copy, Debug)]
struct Charge {
    entry: NodeId,
    /// The most that the entry may have open, whichever answer of ours it has seen.
    open: u16,
    /// How many it last wanted.
    want: u16,
    /// When its lease must have lapsed at the entry; its want counts until then.
    lapses: Time,
    /// When exchanges begun under the lease must have ended too; the slots are free then.
    free_at: Time,
}

/// The slots of one backend server.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    size: u16,
    charges: SmallVec<[Charge; 12]>,
}

impl Pool {
    /// Sets how many requests may be open. A smaller size takes effect as entries ask again.
    pub(super) fn resize(&mut self, size: u16) {
        self.size = size;
    }

    /// Forgets charges that must have ended.
    pub(super) fn expire(&mut self, now: Time) {
        self.charges.retain(|charge| charge.free_at > now);
    }

    /// What all entries may have open at most.
    pub(super) fn charged(&self) -> u32 {
        self.charges.iter().map(|charge| u32::from(charge.open)).sum()
    }

    /// Takes down what `entry` says it holds and wants, and returns what it gets.
    ///
    /// `adopt_only` is for a new grantor that doesn't know yet what its predecessor granted to
    /// others: it confirms what is held and adds nothing.
    pub(super) fn ask(&mut self, vm: &VmId, ask: PoolAsk, adopt_only: bool) -> u16 {
        self.charges.retain(|charge| charge.entry != ask.entry);
        let others = self.charged();
        let free = u32::from(self.size).saturating_sub(others);
        let most = if adopt_only { u32::from(ask.holding) } else { free };
        let fair = self.fair_share(vm, ask);
        let granted = u32::from(fair).min(most) as u16;
        // Until the entry's next ask it may act on the old answer or on this one.
        let open = ask.holding.max(granted);
        if open > 0 || ask.want > 0 {
            self.charges.push(Charge {
                entry: ask.entry,
                open,
                want: ask.want,
                lapses: ask.lapses,
                free_at: ask.free_at,
            });
        }
        granted
    }

    /// The max-min fair part of the pool for the asking entry: nobody gets more than it wants, and
    /// what one doesn't want is lent to the others.
    ///
    /// With fewer slots than entries the rest goes round by a hash of server and entry, so that at
    /// each server other entries go without.
    fn fair_share(&self, vm: &VmId, ask: PoolAsk) -> u16 {
        let mut wants: SmallVec<[(u16, u64, NodeId); 12]> = self
            .charges
            .iter()
            .filter(|charge| charge.lapses > ask.now)
            .map(|charge| (charge.want, rank(vm, charge.entry), charge.entry))
            .collect();
        wants.push((ask.want, rank(vm, ask.entry), ask.entry));
        wants.sort_unstable();
        let mut left = self.size;
        let mut waiting = wants.len() as u16;
        for (want, _, entry) in wants {
            let part = want.min(left / waiting);
            if entry == ask.entry {
                return part;
            }
            left -= part;
            waiting -= 1;
        }
        0
    }

    /// Entries that hold more than their fair part while somebody goes short of it.
    pub(super) fn holders_above_fair(&self, now: Time) -> SmallVec<[NodeId; 4]> {
        let live = self.charges.iter().filter(|charge| charge.lapses > now && charge.want > 0);
        let count = live.clone().count().max(1) as u16;
        let fair = (self.size / count).max(1);
        let above = self.charges.iter().filter(|charge| charge.open > fair);
        above.map(|charge| charge.entry).collect()
    }
}

/// One entry's ask, as a pool needs it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PoolAsk {
    pub(super) entry: NodeId,
    pub(super) holding: u16,
    pub(super) want: u16,
    pub(super) now: Time,
    pub(super) lapses: Time,
    pub(super) free_at: Time,
}

/// An order of entries that differs from server to server; the same for every grantor isn't needed.
fn rank(vm: &VmId, entry: NodeId) -> u64 {
    let seed = vm.as_str().bytes().fold(entry.0, |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(29)
    });
    seed ^ (seed >> 31)
}

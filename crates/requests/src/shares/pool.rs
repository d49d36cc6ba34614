//! One backend server's slots, and who has how many of them.

use {
    egretlb_types::{NodeId, Time, VmId},
    smallvec::SmallVec,
    std::time::Duration,
};

/// After so long another entry goes without where there are fewer slots than entries. Each turn
/// costs some messages for each server in overload.
const TURN: Duration = Duration::from_secs(5);

/// What one entry may have open at the server.
#[derive(Clone, Copy, Debug)]
struct Charge {
    entry: NodeId,
    /// The most that the entry may have open, whichever answer of ours it has seen.
    open: u16,
    need: u16,
    want: u16,
    /// When its lease must have lapsed at the entry; its need counts until then.
    lapses: Time,
    /// When exchanges begun under the lease must have ended too; the slots are free then.
    free_at: Time,
}

/// One entry's ask, as a pool needs it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PoolRequest {
    pub(super) entry: NodeId,
    pub(super) holding: u16,
    pub(super) need: u16,
    pub(super) want: u16,
    pub(super) lapses: Time,
    pub(super) free_at: Time,
}

/// An entry's fair part of a pool.
#[derive(Clone, Copy, Debug)]
struct Part {
    entry: NodeId,
    rank: u64,
    need: u16,
    want: u16,
    part: u16,
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

    pub(super) fn charged_to(&self, entry: NodeId) -> u32 {
        let own = self.charges.iter().filter(|charge| charge.entry == entry);
        own.map(|charge| u32::from(charge.open)).sum()
    }

    /// Takes down what an entry says it holds and wants, and returns what it gets.
    ///
    /// `adopt_only` is for a new grantor that doesn't know yet what its predecessor granted to
    /// others: it confirms what is held and adds nothing.
    pub(super) fn grant(
        &mut self,
        now: Time,
        vm: &VmId,
        request: PoolRequest,
        adopt_only: bool,
    ) -> u16 {
        self.charges.retain(|charge| charge.entry != request.entry);
        if request.holding == 0 && request.want == 0 {
            return 0;
        }
        let free = u32::from(self.size).saturating_sub(self.charged());
        let most = if adopt_only { u32::from(request.holding) } else { free };
        let PoolRequest { entry, holding, need, want, lapses, free_at } = request;
        let charge = Charge { entry, open: holding, need, want, lapses, free_at };
        self.charges.push(charge);
        let parts = self.parts(now, vm);
        let fair = parts.iter().find(|part| part.entry == entry).map_or(0, |part| part.part);
        let granted = u32::from(fair).min(most) as u16;
        // Until the entry's next ask it may act on the old answer or on this one.
        if let Some(charge) = self.charges.last_mut() {
            charge.open = holding.max(granted);
        }
        granted
    }

    /// The fair parts of the pool: first of what is needed now, then of what is wanted besides.
    ///
    /// Both times nobody gets more than it asks for, and what one leaves is lent to the others. So
    /// an entry without load never keeps a slot that another's callers wait for. With fewer slots
    /// than entries that need them, the rest goes round: by server and by turn, other entries go
    /// without.
    fn parts(&self, now: Time, vm: &VmId) -> SmallVec<[Part; 12]> {
        let turn = now.as_micros() / TURN.as_micros() as u64;
        let live = self.charges.iter().filter(|charge| charge.lapses > now);
        let mut parts: SmallVec<[Part; 12]> = live
            .map(|charge| Part {
                entry: charge.entry,
                rank: rank(vm, charge.entry, turn),
                need: charge.need.min(charge.want),
                want: charge.want,
                part: 0,
            })
            .collect();
        let left = share_out(self.size, &mut parts, |part| part.need);
        share_out(left, &mut parts, |part| part.want - part.need);
        parts
    }

    /// Entries that should ask again: those that hold more than their part while somebody goes
    /// short, and those that go short while something is free.
    pub(super) fn to_recall(&self, now: Time, vm: &VmId) -> SmallVec<[NodeId; 4]> {
        let short = self.charges.iter().any(|charge| charge.open < charge.need);
        if !short {
            return SmallVec::new();
        }
        let free = self.charged() < u32::from(self.size);
        let parts = self.parts(now, vm);
        let recalled = self.charges.iter().filter(|charge| {
            let part = parts.iter().find(|part| part.entry == charge.entry);
            let fair = part.map_or(0, |part| part.part);
            charge.open > fair || (free && charge.open < charge.need.min(fair))
        });
        recalled.map(|charge| charge.entry).collect()
    }
}

/// Shares `size` out, max-min fair, by what each asks for; returns what is left.
///
/// One by one, in the order of rank: with a division instead, the rest would always go to those
/// that ask for most.
fn share_out(size: u16, parts: &mut [Part], asks: impl Fn(&Part) -> u16) -> u16 {
    parts.sort_unstable_by_key(|part| part.rank);
    let mut left = size;
    let mut given = 0;
    let most = parts.iter().map(&asks).max().unwrap_or(0);
    while left > 0 && given < most {
        for part in parts.iter_mut() {
            if left > 0 && asks(part) > given {
                part.part += 1;
                left -= 1;
            }
        }
        given += 1;
    }
    left
}

/// An order of entries that differs from server to server and from turn to turn.
fn rank(vm: &VmId, entry: NodeId, turn: u64) -> u64 {
    let seed = vm.as_str().bytes().fold(entry.0 ^ (turn << 40), |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(29)
    });
    seed ^ (seed >> 31)
}

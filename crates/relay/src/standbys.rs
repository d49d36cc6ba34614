//! Which VMs of a large fleet follow the records.
//!
//! Each VM that follows them reads all that the leader writes. In a small fleet all do, and each can take over. In a large
//! one the reads would exceed what the store serves, so the leader names some VMs as standbys. The others ask those.

use {
    compact_str::CompactString,
    egretlb_types::Time,
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        time::Duration,
    },
};

/// Smallest number of VMs in a fleet with standbys, by default.
pub const MIN_FLEET_VMS: usize = 64;

/// Number of VMs per standby, which ask it a few times a second each.
const VMS_PER_STANDBY: usize = 40;

/// Minimum number of standbys, since several VMs may be lost at once.
const MIN_STANDBYS: usize = 4;

/// Number of standbys below which all VMs follow the records.
const MIN_CHOSEN: usize = 2;

/// How long a standby without a connection to the leader is kept. It may be connecting to a new leader.
const ABSENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// How long a new leader keeps the number of its predecessor's standbys: longer than the time in which all VMs have offered
/// themselves. With fewer, the others would load the records, all at once.
const SETTLING_TIME: Duration = Duration::from_secs(8);

/// A VM repeats a declined offer to be a relay within this time.
const OFFER_WINDOW: Duration = Duration::from_secs(4);

/// Number of standbys for a fleet of `vms` VMs; 0 if all follow the records, as in fleets of less than `min_fleet_vms`.
pub fn standbys_wanted(vms: usize, min_fleet_vms: usize) -> usize {
    if vms < min_fleet_vms { 0 } else { vms.div_ceil(VMS_PER_STANDBY).max(MIN_STANDBYS) }
}

/// How long the highest count of offers holds. Offers come in waves, and standbys that come and go with them would read
/// all records each time.
const PEAK_WINDOW: Duration = Duration::from_secs(12);

/// Counts the VMs whose offers to be a relay are declined. Each repeats its offer.
#[derive(Clone, Debug, Default)]
pub struct DeclinedOffers {
    times: VecDeque<Time>,
    /// The highest recent count, and when it was reached.
    peak: Option<(usize, Time)>,
}

impl DeclinedOffers {
    /// Notes a declined offer.
    pub fn note(&mut self, now: Time) {
        self.times.push_back(now);
        self.count(now);
    }

    /// The highest recent number of offers declined within the time after which they are repeated.
    pub fn count(&mut self, now: Time) -> usize {
        while self.times.front().is_some_and(|at| now.since(*at) >= OFFER_WINDOW) {
            self.times.pop_front();
        }
        let count = self.times.len();
        match self.peak {
            Some((peak, at)) if peak > count && now.since(at) < PEAK_WINDOW => peak,
            _ => {
                self.peak = Some((count, now));
                count
            }
        }
    }
}

/// A VM that is connected to the leader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Its address for other VMs.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Whether its CPU share is too low for a leader.
    pub low_cpu: bool,
}

/// Selects the standbys of one leader term.
#[derive(Clone, Debug)]
pub struct StandbyChoice {
    min_fleet_vms: usize,
    /// Start of the term, and the number of standbys taken over.
    inherited: (Time, usize),
    /// Each standby, and when it was last connected.
    chosen: Vec<(SocketAddr, Time)>,
}

impl StandbyChoice {
    /// Takes over the standbys of the last leader, at the start of a term.
    pub fn inherited(now: Time, standbys: &[SocketAddr], min_fleet_vms: usize) -> StandbyChoice {
        let chosen = standbys.iter().map(|addr| (*addr, now)).collect();
        StandbyChoice { min_fleet_vms, inherited: (now, standbys.len()), chosen }
    }

    /// Number of standbys for a fleet of `vms` VMs, as far as they have offered themselves.
    fn wanted(&self, now: Time, vms: usize) -> usize {
        let (since, inherited) = self.inherited;
        let settling = now.since(since) < SETTLING_TIME;
        standbys_wanted(vms, self.min_fleet_vms).max(if settling { inherited } else { 0 })
    }

    /// Returns the standbys for a fleet of `vms` VMs, or an empty list if every VM should follow the records. Connected
    /// standbys stay selected.
    pub fn update(&mut self, now: Time, candidates: &[Candidate], vms: usize) -> Vec<SocketAddr> {
        let wanted = self.wanted(now, vms);
        let fit: BTreeMap<SocketAddr, &Candidate> = candidates
            .iter()
            .filter(|candidate| !candidate.low_cpu)
            .map(|candidate| (candidate.addr, candidate))
            .collect();
        for (addr, seen) in &mut self.chosen {
            if fit.contains_key(addr) {
                *seen = now;
            }
        }
        // Those of the last leader are kept while nobody has connected who could replace them.
        let settling = now.since(self.inherited.0) < SETTLING_TIME;
        if !settling || fit.len() >= MIN_CHOSEN {
            self.chosen.retain(|(_, seen)| now.since(*seen) < ABSENCE_LIMIT);
        }
        self.chosen.truncate(wanted);
        while self.chosen.len() < wanted {
            let count_in = |data_centre: &CompactString| {
                let chosen = self.chosen.iter().filter_map(|(addr, _)| fit.get(addr));
                chosen.filter(|candidate| candidate.data_centre == *data_centre).count()
            };
            let unchosen = fit
                .values()
                .filter(|candidate| self.chosen.iter().all(|(addr, _)| *addr != candidate.addr));
            let next = unchosen.min_by_key(|candidate| count_in(&candidate.data_centre));
            let Some(next) = next.map(|candidate| candidate.addr) else { break };
            self.chosen.push((next, now));
        }
        if self.chosen.len() < MIN_CHOSEN {
            return Vec::new();
        }
        self.chosen.iter().map(|(addr, _)| *addr).collect()
    }
}

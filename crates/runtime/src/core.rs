//! The state of a node, between two events.

use {
    crate::platform::{BadEntry, EntryKind, OperatorChange, StoredRecord},
    compact_str::CompactString,
    egretlb_types::{Epoch, Time},
    egretlb_workflow::{
        DirectoryChange, Effect, Key, Leadership, LeadershipEffect, Ledger, LedgerChange, Limits,
        RouteTable, Scheduler, Wave, WorkerId, WorkerInfo, WorkflowId,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashSet},
        net::SocketAddr,
    },
};

/// What a step of the node asks for.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    pub(crate) leadership: Vec<LeadershipEffect>,
    pub(crate) scheduler: Vec<Effect>,
    /// Entries that can't be read.
    pub(crate) bad_entries: Vec<BadEntry>,
}

/// How far the records are read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReadProgress {
    /// All keys were read once.
    pub(crate) loaded: bool,
    /// The last read reached the partition's end.
    pub(crate) at_end: bool,
    /// When the last read was answered.
    pub(crate) answered_at: Option<Time>,
    /// When the last read that reached the end was sent: what was recorded before is known.
    pub(crate) complete_until: Option<Time>,
}

/// A term of another process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct OtherTerm {
    /// Where it takes records and offers.
    pub(crate) addr: SocketAddr,
    pub(crate) epoch: Epoch,
}

/// The state of a node.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) limits: Limits,
    pub(crate) ledger: Ledger,
    pub(crate) leadership: Leadership,
    pub(crate) scheduler: Option<Scheduler>,
    pub(crate) directory: BTreeMap<WorkerId, WorkerInfo>,
    /// Workers whose newest entry can't be read, the first of them.
    unreadable_workers: BTreeSet<WorkerId>,
    pub(crate) routes: Option<RouteTable>,
    /// Waves of upkeep, and when the operator's request was read.
    pub(crate) waves: BTreeMap<u64, (Time, Wave)>,
    pub(crate) work_progress: ReadProgress,
    /// Accepted here and not read yet.
    pub(crate) accepted: HashSet<WorkflowId>,
    pub(crate) stopping: bool,
}

impl Core {
    pub(crate) fn new(leadership: Leadership, limits: Limits) -> Core {
        Core {
            limits,
            ledger: Ledger::default(),
            leadership,
            scheduler: None,
            directory: BTreeMap::new(),
            unreadable_workers: BTreeSet::new(),
            routes: None,
            waves: BTreeMap::new(),
            work_progress: ReadProgress::default(),
            accepted: HashSet::new(),
            stopping: false,
        }
    }

    /// A record of the system's own topic was read.
    pub(crate) fn on_work(&mut self, now: Time, stored: &StoredRecord, out: &mut Effects) {
        let change = match self.ledger.apply(stored.offset, &stored.key, &stored.value) {
            Ok(change) => change,
            Err(error) => {
                if let (Ok(key), Some(scheduler)) =
                    (Key::from_bytes(&stored.key), &mut self.scheduler)
                {
                    scheduler.on_unreadable(key, &self.ledger);
                }
                let key = CompactString::from_utf8_lossy(&stored.key);
                out.bad_entries.push(BadEntry::new(EntryKind::Record, key, stored.offset.0, error));
                return;
            }
        };
        match change {
            LedgerChange::Leader => {
                if let Some(leader) = self.ledger.leader() {
                    self.leadership.on_leader_record(now, leader, &mut out.leadership);
                }
            }
            LedgerChange::Progressed(_) | LedgerChange::Roster => {
                self.leadership.on_leader_activity(now)
            }
            LedgerChange::Submitted(id) => {
                self.accepted.remove(&id);
            }
            LedgerChange::Cancelled(_) | LedgerChange::None => {}
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.on_change(now, &self.ledger, change, &mut out.scheduler);
        }
    }

    /// The operator published something. A configuration never goes back: what is read anew after the
    /// history was forgotten may be older than what is in force.
    pub(crate) fn on_operator(&mut self, now: Time, change: OperatorChange) {
        let table = match change {
            OperatorChange::Routes(table) => table,
            OperatorChange::Wave { number, wave } => return self.on_wave(now, number, wave),
            OperatorChange::Other => return,
        };
        if self.routes.as_ref().is_some_and(|current| current.version >= table.version) {
            return;
        }
        log::info!(version = table.version, routes = table.routes.len(); "configuration_in_force");
        self.routes = Some(table);
    }

    fn on_wave(&mut self, now: Time, number: u64, wave: Option<Wave>) {
        match &wave {
            Some(wave) => drop(self.waves.entry(number).or_insert_with(|| (now, wave.clone()))),
            None => drop(self.waves.remove(&number)),
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.on_wave(now, number, wave, &self.ledger);
        }
    }

    /// A worker's entry changed.
    pub(crate) fn on_directory(&mut self, now: Time, change: DirectoryChange) {
        match &change {
            DirectoryChange::Present(info) => {
                self.unreadable_workers.remove(&info.id);
                self.directory.insert(info.id.clone(), info.clone());
            }
            DirectoryChange::Absent(id) => {
                self.unreadable_workers.remove(id);
                self.directory.remove(id);
            }
            DirectoryChange::Unreadable(id) => {
                if let Some(info) = self.directory.get_mut(id) {
                    info.mark_unreadable();
                }
                if self.unreadable_workers.len() < MAX_UNREADABLE_WORKERS {
                    self.unreadable_workers.insert(id.clone());
                }
            }
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.on_directory(now, change);
        }
    }

    /// The directory was read anew: what isn't in it is absent.
    pub(crate) fn on_directory_loaded(&mut self, now: Time, found: &HashSet<WorkerId>) {
        let listed = self.directory.keys().chain(&self.unreadable_workers);
        let missing: Vec<WorkerId> = listed.filter(|id| !found.contains(*id)).cloned().collect();
        for id in missing {
            self.on_directory(now, DirectoryChange::Absent(id));
        }
    }

    /// What a scheduler that begins is told of the directory.
    pub(crate) fn directory_snapshot(&self) -> impl Iterator<Item = DirectoryChange> {
        let present = self.directory.values().cloned().map(DirectoryChange::Present);
        present.chain(self.unreadable_workers.iter().cloned().map(DirectoryChange::Unreadable))
    }

    /// Time has passed.
    pub(crate) fn tick(&mut self, now: Time, wall_ms: u64, out: &mut Effects) {
        let caught_up = self.work_progress.loaded && self.work_progress.at_end && !self.stopping;
        self.leadership.tick(now, caught_up, &mut out.leadership);
        // A process that ends begins nothing: its last append must be settled before it gives up its term.
        if self.stopping {
            return;
        }
        let lagging = self.is_lagging();
        let authority = self.leadership.authority(now);
        let Some(scheduler) = &mut self.scheduler else { return };
        if authority.is_some() {
            scheduler.set_lagging(lagging);
            scheduler.tick(now, wall_ms, &mut out.scheduler);
        } else {
            scheduler.send_heartbeat(now, &mut out.scheduler);
        }
    }

    /// Whether clients may be sent here: the configuration is known, and the records are read up to
    /// the present.
    pub(crate) fn is_ready(&self, now: Time) -> bool {
        !self.stopping && self.routes.is_some() && self.is_fresh(now)
    }

    /// Whether the records are read up to the present, so that what isn't found doesn't exist.
    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        self.work_progress.loaded
            && self.work_progress.answered_at.is_some_and(|at| now.since(at) < STALE_AFTER)
    }

    /// Whether this leader's appends reach the store while its reads lag: clients are told elsewhere that
    /// their workflows are cancelled, and this process doesn't know. While the store is away nobody is
    /// told anything, and neither gets through.
    fn is_lagging(&self) -> bool {
        self.work_progress
            .complete_until
            .is_none_or(|read| self.leadership.last_confirmed().since(read) >= LAGGING_AFTER)
    }

    /// Where another process that leads takes records.
    pub(crate) fn other_leader(&self) -> Option<SocketAddr> {
        let leader = self.ledger.leader().filter(|leader| !leader.released)?;
        if self.leadership.is_own(leader) { None } else { leader.addr }
    }

    /// Another process's term, if one leads that can be reached.
    pub(crate) fn other_term(&self) -> Option<OtherTerm> {
        let addr = self.other_leader()?;
        let epoch = self.ledger.leader()?.epoch;
        Some(OtherTerm { addr, epoch })
    }

    /// Who leads, for logs.
    pub(crate) fn leader(&self) -> CompactString {
        self.ledger.leader().map_or_else(CompactString::default, |leader| leader.node.clone())
    }
}

/// The most workers whose entries can't be read that are remembered; another writer may leave any number of
/// such entries. A worker beyond that counts as absent for a new leader until its own entry is read.
const MAX_UNREADABLE_WORKERS: usize = 4_096;

/// Reads are answered several times a second, since a leader leaves a sign of life each 250 ms. After
/// this long without one the state shown here may be too old to say that something doesn't exist.
const STALE_AFTER: std::time::Duration = std::time::Duration::from_millis(1_800);

/// A leader whose reads lag so far behind its appends starts nothing. Reads wait for 0.6 s at most, and a
/// start is sent within half a second; what was cancelled must not start after 3 s.
const LAGGING_AFTER: std::time::Duration = std::time::Duration::from_millis(1_500);

//! The state of a node.

use {
    crate::{
        configuration::Configuration,
        follow::Listed,
        platform::{BadEntry, EntryKind, OperatorChange, StoredRecord},
        standbys::Announcement,
    },
    compact_str::CompactString,
    egretlb_types::{Epoch, Time},
    egretlb_workflow::{
        DirectoryChange, Effect, Key, Leadership, LeadershipEffect, Ledger, LedgerChange, Limits,
        Scheduler, Wave, WorkerId, WorkerInfo, WorkerState, WorkflowId,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// The effects of an event.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    pub(crate) leadership: Vec<LeadershipEffect>,
    pub(crate) scheduler: Vec<Effect>,
    /// Unreadable entries, to be logged.
    pub(crate) bad_entries: Vec<BadEntry>,
}

/// Read progress of a topic.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReadProgress {
    /// Whether all keys have been read once.
    pub(crate) loaded: bool,
    /// Whether the last read reached the end of the partition.
    pub(crate) at_end: bool,
    /// When the last read was answered.
    pub(crate) answered_at: Option<Time>,
    /// Send time of the last read that reached the end. Everything appended before is known.
    pub(crate) complete_until: Option<Time>,
}

/// The term of another process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct OtherTerm {
    /// Its address for records and relay offers.
    pub(crate) addr: SocketAddr,
    pub(crate) epoch: Epoch,
}

/// The state of a node.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) limits: Limits,
    pub(crate) ledger: Ledger,
    pub(crate) leadership: Leadership,
    /// The scheduler, while this process leads.
    pub(crate) scheduler: Option<Scheduler>,
    /// The workers' entries, while this process leads or claims to lead.
    pub(crate) directory: BTreeMap<WorkerId, WorkerInfo>,
    /// Whether all entries have been read since the directory was last empty.
    directory_loaded: bool,
    /// Workers whose newest entry is unreadable, up to [`MAX_UNREADABLE_WORKERS`].
    unreadable_workers: BTreeSet<WorkerId>,
    pub(crate) configuration: Configuration,
    /// Maintenance waves by number, with the time at which the operator's request was read.
    pub(crate) waves: BTreeMap<u64, (Time, Wave)>,
    /// Evacuated data centres.
    pub(crate) evacuated: BTreeSet<CompactString>,
    pub(crate) work_progress: ReadProgress,
    /// When the estimated load was last read.
    pub(crate) load_read_at: Option<Time>,
    /// The newest announcement of a term.
    pub(crate) announcement: Option<Announcement>,
    /// Whether the announcements have been read once, or couldn't be.
    pub(crate) terms_loaded: bool,
    /// Workflows accepted here whose records haven't been read yet.
    pub(crate) accepted: HashSet<WorkflowId>,
    /// Whether the process is shutting down: it claims no term and starts no tasks.
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
            directory_loaded: false,
            unreadable_workers: BTreeSet::new(),
            configuration: Configuration::default(),
            waves: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            work_progress: ReadProgress::default(),
            load_read_at: None,
            announcement: None,
            terms_loaded: false,
            accepted: HashSet::new(),
            stopping: false,
        }
    }

    /// Applies a record of the work topic.
    pub(crate) fn on_work(&mut self, now: Time, stored: &StoredRecord, out: &mut Effects) {
        let change = match self.ledger.apply(stored.offset, &stored.key, &stored.value) {
            Ok(change) => change,
            Err(error) => {
                if let (Ok(key), Some(scheduler)) =
                    (Key::from_bytes(&stored.key), &mut self.scheduler)
                {
                    scheduler.on_unreadable(key, &self.ledger);
                }
                // A newer version may record loads that this one can't read, twice a second; only the first is logged.
                let is_load = Key::from_bytes(&stored.key) == Ok(Key::Load);
                let version = if is_load { 0 } else { stored.offset.0 };
                let key = CompactString::from_utf8_lossy(&stored.key);
                out.bad_entries.push(BadEntry::new(EntryKind::Record, key, version, error));
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
            LedgerChange::Load => self.load_read_at = Some(now),
            LedgerChange::Cancelled(_)
            | LedgerChange::EarlyCancellationDropped(_)
            | LedgerChange::None => {}
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.on_change(now, &self.ledger, change, &mut out.scheduler);
        }
    }

    /// Applies what the operator published. An older configuration version is ignored: reloading a topic may return
    /// one.
    pub(crate) fn on_operator(&mut self, now: Time, change: OperatorChange) {
        let table = match change {
            OperatorChange::Routes(table) => table,
            OperatorChange::Wave { number, wave } => return self.on_wave(now, number, wave),
            OperatorChange::Evacuation { data_centre, in_force } => {
                return self.on_evacuation(data_centre, in_force);
            }
            OperatorChange::Other => return,
        };
        let (version, routes) = (table.version, table.routes.len());
        if self.configuration.apply(table) {
            let unreadable = self.configuration.unreadable_routes().len();
            log::info!(version, routes, unreadable; "configuration_in_force");
        }
    }

    fn on_evacuation(&mut self, data_centre: CompactString, in_force: bool) {
        if in_force {
            if self.evacuated.insert(data_centre) && self.directory_loaded {
                self.log_evacuations_without_workers();
            }
        } else {
            self.evacuated.remove(&data_centre);
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.set_evacuated(&self.evacuated);
        }
    }

    /// Handles a load of the operator's entries: if it is complete, evacuations that it doesn't list have ended.
    pub(crate) fn on_operator_loaded(&mut self, listed: &Listed) {
        if listed.complete {
            self.evacuated.retain(|data_centre| listed.evacuated.contains(data_centre));
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.set_evacuated(&self.evacuated);
        }
    }

    fn log_evacuations_without_workers(&self) {
        for data_centre in &self.evacuated {
            if !self.directory.values().any(|info| info.data_centre == *data_centre) {
                log::warn!(data_centre:%; "evacuation_without_workers");
            }
        }
    }

    /// The data centre of a worker; empty if the worker isn't in the directory.
    pub(crate) fn data_centre_of(&self, worker: &WorkerId) -> CompactString {
        self.directory.get(worker).map(|info| info.data_centre.clone()).unwrap_or_default()
    }

    /// Whether the number of workers is known, from the directory or the last leader's roster.
    pub(crate) fn knows_workers(&self) -> bool {
        self.directory_loaded || self.ledger.roster_pages().next().is_some()
    }

    /// Number of workers; until the directory is loaded, of those in the roster.
    pub(crate) fn worker_count(&self) -> usize {
        let listed = || self.ledger.roster_pages().map(|(_, page)| page.entries.len()).sum();
        if self.directory_loaded { self.directory.len() } else { listed() }
    }

    /// Applies an announcement. One of an earlier term may be stored late; a leader then repeats its own.
    pub(crate) fn on_announcement(&mut self, announcement: Announcement) {
        let newest = self.announcement.as_ref().map_or(Epoch(0), |current| current.epoch);
        if announcement.epoch >= newest {
            self.announcement = Some(announcement);
        } else if self.scheduler.is_some() {
            self.announcement = None;
        }
    }

    /// Drops the records, which a process that asks standbys doesn't follow.
    pub(crate) fn drop_records(&mut self) {
        self.ledger = Ledger::default();
        self.work_progress = ReadProgress::default();
        self.load_read_at = None;
        self.accepted.clear();
    }

    /// Drops the directory, which only a leader keeps up to date.
    pub(crate) fn drop_directory(&mut self) {
        self.directory = BTreeMap::new();
        self.unreadable_workers = BTreeSet::new();
        self.directory_loaded = false;
    }

    /// Stores the first request of a wave, and passes each one on to the scheduler.
    fn on_wave(&mut self, now: Time, number: u64, wave: Option<Wave>) {
        match &wave {
            Some(wave) => drop(self.waves.entry(number).or_insert_with(|| (now, wave.clone()))),
            None => drop(self.waves.remove(&number)),
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.on_wave(now, number, wave, &self.ledger);
        }
    }

    /// Why an entry can't be the worker's own, if it can't. Another writer may have put it there.
    pub(crate) fn entry_error(&self, entry: &WorkerInfo) -> Option<&'static str> {
        if entry.state == WorkerState::Other {
            return Some("a state that isn't known");
        }
        let known = self.directory.get(&self.listed_incarnation(&entry.id)?)?;
        if known.id.is_restart_of(&entry.id) {
            log::debug!(worker:% = entry.id, known:% = known.id; "entry_of_earlier_incarnation");
            return Some(match entry.id.started_ms {
                Some(_) => "start time is earlier than the known one",
                None => "start time is missing",
            });
        }
        let named = || self.configuration.names_service(&entry.service);
        (entry.service != known.service && !named())
            .then_some("another service, which no route names")
    }

    /// The incarnation in the directory of the worker that an entry names.
    fn listed_incarnation(&self, id: &WorkerId) -> Option<WorkerId> {
        let from_name = self.directory.range(WorkerId::new(id.name.clone())..);
        let known = from_name.map(|(known, _)| known).next();
        known.filter(|known| known.name == id.name).cloned()
    }

    /// Applies a change of a worker's entry.
    pub(crate) fn on_directory(&mut self, now: Time, change: DirectoryChange) {
        let listed = self.listed_incarnation(change.worker());
        match &change {
            DirectoryChange::Present(info) => {
                self.unreadable_workers.remove(&WorkerId::new(info.id.name.clone()));
                if let Some(earlier) = listed.filter(|listed| *listed != info.id) {
                    self.directory.remove(&earlier);
                }
                self.directory.insert(info.id.clone(), info.clone());
            }
            DirectoryChange::Absent(id) => {
                self.unreadable_workers.remove(id);
                if let Some(listed) = listed {
                    self.directory.remove(&listed);
                }
            }
            DirectoryChange::Unreadable(id) => {
                if let Some(info) = listed.and_then(|listed| self.directory.get_mut(&listed)) {
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

    /// Handles a complete reload of the directory: workers whose names aren't in `listed` are absent.
    pub(crate) fn on_directory_loaded(&mut self, now: Time, listed: &HashSet<CompactString>) {
        let current = self.directory.keys().chain(&self.unreadable_workers);
        let names = current.map(|id| &id.name);
        let missing: Vec<CompactString> =
            names.filter(|name| !listed.contains(*name)).cloned().collect();
        for name in missing {
            self.on_directory(now, DirectoryChange::Absent(WorkerId::new(name)));
        }
        self.directory_loaded = true;
        self.log_evacuations_without_workers();
    }

    /// The directory as changes, for a new scheduler.
    pub(crate) fn directory_snapshot(&self) -> impl Iterator<Item = DirectoryChange> {
        let present = self.directory.values().cloned().map(DirectoryChange::Present);
        present.chain(self.unreadable_workers.iter().cloned().map(DirectoryChange::Unreadable))
    }

    /// Advances the timers of leadership and scheduler.
    pub(crate) fn tick(&mut self, now: Time, wall_ms: u64, out: &mut Effects) {
        let caught_up = self.work_progress.loaded && self.work_progress.at_end && !self.stopping;
        self.leadership.tick(now, caught_up, &mut out.leadership);
        // A stopping process starts nothing: its last append must be settled before it releases its term.
        if self.stopping {
            return;
        }
        let lagging = self.is_lagging() || self.may_miss_evacuations(now);
        let authority = self.leadership.authority(now);
        let Some(scheduler) = &mut self.scheduler else { return };
        if authority.is_some() {
            scheduler.set_lagging(lagging);
            scheduler.tick(now, wall_ms, &mut out.scheduler);
        } else {
            scheduler.send_heartbeat(now, &mut out.scheduler);
        }
    }

    /// Whether this process can serve clients: its configuration, and its records, or those of the standbys that it
    /// asks, are up to date.
    pub(crate) fn is_ready(&self, now: Time, standbys_fresh: bool) -> bool {
        !self.stopping
            && self.configuration.is_current(now)
            && (self.is_fresh(now) || standbys_fresh)
    }

    /// Whether the records are up to date, so that a workflow that isn't listed doesn't exist.
    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        self.work_progress.loaded
            && self.work_progress.answered_at.is_some_and(|at| now.since(at) < STALE_AFTER)
    }

    /// Whether all records of some seconds ago have been read: a process may lag behind although its reads are
    /// answered.
    pub(crate) fn is_current(&self, now: Time) -> bool {
        let complete_until = self.work_progress.complete_until;
        self.is_fresh(now) && complete_until.is_some_and(|read| now.since(read) < MAX_LAG)
    }

    /// Whether this leader's reads lag behind its appends. Other processes may then have acknowledged cancellations
    /// that this one hasn't read. While the store is unavailable, neither reads nor appends advance.
    fn is_lagging(&self) -> bool {
        self.work_progress.complete_until.is_none_or(|read| {
            self.leadership.last_acknowledged_sent().since(read) >= LAGGING_AFTER
        })
    }

    /// Whether there may be evacuations that this process hasn't read in time.
    fn may_miss_evacuations(&self, now: Time) -> bool {
        self.configuration.age(now).is_none_or(|age| age >= MAX_EVACUATIONS_AGE)
    }

    /// Address of the leader for records, if another process leads.
    pub(crate) fn other_leader(&self) -> Option<SocketAddr> {
        Some(self.other_term()?.addr)
    }

    /// Term of the leader, if another process leads and its address is known. A process that doesn't follow the records
    /// knows it from the announcement.
    pub(crate) fn other_term(&self) -> Option<OtherTerm> {
        let Some(leader) = self.ledger.leader() else {
            let announcement = self.announcement.as_ref()?;
            let (addr, epoch) = (announcement.leader, announcement.epoch);
            return (self.leadership.addr() != Some(addr)).then_some(OtherTerm { addr, epoch });
        };
        if leader.released || self.leadership.is_own(leader) {
            return None;
        }
        Some(OtherTerm { addr: leader.addr?, epoch: leader.epoch })
    }

    /// Name of the leader; empty if there is none.
    pub(crate) fn leader(&self) -> CompactString {
        self.ledger.leader().map_or_else(CompactString::default, |leader| leader.node.clone())
    }
}

/// Maximum number of workers with unreadable entries that are kept, since other writers may leave any number of
/// them. A new leader treats the others as absent until their entries are readable.
const MAX_UNREADABLE_WORKERS: usize = 4_096;

/// Age of the last read after which the state is too old to report that a workflow doesn't exist. Reads are
/// normally answered several times a second, since a leader appends a heartbeat every 250 ms.
const STALE_AFTER: Duration = Duration::from_millis(1_800);

/// Maximum lag of reads with which the number of pending workflows is still reported.
const MAX_LAG: Duration = Duration::from_millis(1_800);

/// Age of the last read of the operator's topic from which a leader starts nothing. Nothing may be started in a data centre
/// 5 s after its evacuation, and starts are sent within 0.5 s. While the whole store is away, a leader's authority ends by
/// then, too.
const MAX_EVACUATIONS_AGE: Duration = Duration::from_secs(4);

/// Lag of reads behind appends at which a leader starts no tasks. Reads wait for up to 0.6 s and starts are sent
/// within 0.5 s; a task must not start 3 s after its cancellation.
const LAGGING_AFTER: Duration = Duration::from_millis(1_500);

//! Leader election.
//!
//! Only the leader sends commands to workers; the other processes follow the same records and can
//! take over at once. A leader writes a heartbeat with each append, and at least every
//! [`Limits::heartbeat`]. A follower that reads no heartbeat for [`Limits::takeover_after`] appends a
//! claim under the next epoch. The store accepts one claim per epoch, since the claims' sequence
//! numbers differ. From then on it rejects appends under lower epochs (fencing), and each worker
//! rejects commands under lower epochs once it has received a command of the new leader.
//!
//! A claimant leads once it *reads* its claim: it has then read everything before the claim, and
//! nothing of the previous leader can follow. Appending on condition of the log's end would avoid
//! that read, but without a leader every process appends its clients' submissions, so that on a
//! slow store no claim would succeed.
//!
//! A leader that can't reach the store may still reach workers. So its authority to send commands
//! ends [`Limits::authority`] after it *sent* its last acknowledged append. Its successor waits for
//! the same time after reading its own claim, which is later, and then until the leases of runs have
//! expired, before it treats the runs on workers it can't reach as ended.
//!
//! A leader without authority only sends heartbeats. If one is stored, nobody has claimed, and the
//! term continues. If the store answers reads but stores no heartbeat for
//! [`Limits::takeover_after`], the leader ends its term and may claim again. Otherwise, with no other
//! process to take over, it would stay leader without sending commands and all leases would expire.

mod authority;
mod succession;

pub use self::succession::Succession;

use {
    self::succession::Heartbeat,
    crate::{EarlierTerm, Key, LeaderRecord, Limits, Record},
    compact_str::CompactString,
    egretlb_types::{Epoch, Seq, Time},
    smallvec::SmallVec,
    std::{net::SocketAddr, time::Duration},
};

/// Role of this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Role {
    /// Follows another leader.
    Follower,
    /// Has appended a claim and waits for its outcome.
    Claiming {
        /// Claimed epoch.
        epoch: Epoch,
        /// When the claim was sent.
        sent: Time,
    },
    /// Leads.
    Leader {
        /// Epoch of its term.
        epoch: Epoch,
    },
}

/// An action for the caller to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum LeadershipEffect {
    /// Append a claim.
    Claim {
        /// The epoch of the append.
        epoch: Epoch,
        /// Sequence number of the append.
        seq: Seq,
        /// Records to append.
        records: Vec<Record>,
    },
    /// This process is now the leader.
    Elected {
        /// Epoch of its term.
        epoch: Epoch,
        /// State inherited from earlier terms.
        succession: Succession,
    },
    /// This process is no longer the leader.
    Deposed,
}

/// Result of an append under an epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendResult {
    /// Stored.
    Done,
    /// Not stored: the condition didn't hold.
    Conflict,
    /// Not stored: another process has a higher epoch.
    Fenced,
    /// Not stored: rejected by the store.
    Rejected,
    /// Unknown whether it was stored.
    Unknown,
}

/// State machine that decides whether this process leads.
#[derive(Debug)]
pub struct Leadership {
    node: CompactString,
    incarnation: u64,
    /// Address that accepts records from followers.
    addr: Option<SocketAddr>,
    limits: Limits,
    /// Takeover delay of this process, in thousandths of [`Limits::takeover_spread`].
    takeover_delay: u32,
    role: Role,
    /// Start of the wait for a heartbeat that ends with a takeover. Besides heartbeats and other
    /// records of a leader, failed reads, pauses of this process and a lost term or claim restart it.
    no_heartbeat_since: Time,
    /// Earliest time of the next claim, after a rejected one.
    claim_after: Time,
    last_tick: Time,
    /// Whether the last leader was another process at this process's address. It must have ended,
    /// since this process has the address now.
    last_leader_at_own_addr: bool,
    /// Whether the last leader ended its term, so that nobody leads.
    released: bool,
    /// The newest leader's last heartbeat.
    last_heartbeat: Option<Heartbeat>,
    /// Start of this process's term, shortly before its claim was read.
    term_start: Time,
    /// State inherited at the beginning of this process's last term.
    succession: Option<Succession>,
    max_epoch: Epoch,
    /// Epoch of an abandoned claim, which may still take effect.
    abandoned_claim: Option<Epoch>,
    /// When the last read of the records was sent.
    last_read_sent: Time,
    /// When a read of the records was last answered.
    last_read_answered: Time,
    /// When the last acknowledged append of this term was sent.
    last_acknowledged_sent: Time,
    /// When this leader noticed that its authority had lapsed.
    lapsed_at: Option<Time>,
    /// Sequence number of the next append.
    seq: Seq,
    /// Whether this process may claim a term.
    claims_enabled: bool,
}

/// Interval between ticks beyond which the process counts as paused, so that it may have missed
/// heartbeats. Ticks come every 50 ms; a busy VM delays them by tenths of a second.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);

/// Upper bound of the first sequence number, which is derived from the random incarnation. The store
/// treats a second append with the same epoch and number as a retry, so equal numbers would let
/// several processes win the same epoch.
const SEQ_START_RANGE: u64 = 1 << 31;

/// Maximum takeover delay, in thousandths of [`Limits::takeover_spread`].
const MAX_TAKEOVER_DELAY: u32 = 5_000;

/// Pause after a rejected claim. Either another claim succeeded, which the next reads show, or the
/// store accepts no appends and must not be overloaded.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Maximum age of the last answered read for a claim. Without recent reads, a claim could be
/// delayed and depose a healthy leader seconds later. Without a leader, reads are answered every
/// 0.75 s, or every second by a slow store.
const MAX_READ_AGE: Duration = Duration::from_millis(1_100);

/// Time after which a claim that hasn't been read is abandoned. Exceeds the answer of a slow store
/// (300 ms), the appends queued before it (2 s) and the read that shows the claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2_500);

impl Leadership {
    /// Creates a follower. `incarnation` is a random number that identifies the process.
    /// `takeover_delay` is in thousandths of [`Limits::takeover_spread`]: up to
    /// 999 for processes that are fit to lead, up to 5,000 for others.
    pub fn new(
        now: Time,
        node: impl Into<CompactString>,
        incarnation: u64,
        takeover_delay: u32,
        limits: Limits,
    ) -> Self {
        Leadership {
            node: node.into(),
            incarnation,
            addr: None,
            limits,
            takeover_delay: takeover_delay.min(MAX_TAKEOVER_DELAY),
            role: Role::Follower,
            no_heartbeat_since: now,
            claim_after: now,
            last_tick: now,
            last_leader_at_own_addr: false,
            released: false,
            last_heartbeat: None,
            term_start: now,
            succession: None,
            max_epoch: Epoch(0),
            abandoned_claim: None,
            last_read_sent: now,
            last_read_answered: now,
            last_acknowledged_sent: Time::ZERO,
            lapsed_at: None,
            seq: Seq(incarnation % SEQ_START_RANGE),
            claims_enabled: true,
        }
    }

    /// Sets the address at which this process, as leader, accepts records from followers.
    pub fn set_addr(&mut self, addr: SocketAddr) {
        self.addr = Some(addr);
    }

    /// Returns the address at which this process accepts records.
    pub fn addr(&self) -> Option<SocketAddr> {
        self.addr
    }

    /// Returns whether this process wrote a leader record.
    pub fn is_own(&self, record: &LeaderRecord) -> bool {
        record.incarnation == self.incarnation && record.node == self.node
    }

    /// Returns the epoch of this process's term, even if its authority has lapsed.
    pub fn term(&self) -> Option<Epoch> {
        match self.role {
            Role::Leader { epoch } => Some(epoch),
            _ => None,
        }
    }

    /// Returns epoch and sequence number of the term's next append, with a heartbeat record, which
    /// ends the term if `released` is set.
    pub fn heartbeat(&mut self, now: Time, released: bool) -> Option<(Epoch, Seq, Record)> {
        let epoch = self.term()?;
        let seq = self.next_seq();
        let term_ms = u64::try_from(now.since(self.term_start).as_millis()).unwrap_or(u64::MAX);
        let earlier = self.succession.map(|succession| succession.handed_on(now, &self.limits));
        let record = self.record(epoch, seq, term_ms, earlier.unwrap_or_default());
        Some((epoch, seq, Record::new(Key::Leader, &LeaderRecord { released, ..record })))
    }

    fn record(
        &self,
        epoch: Epoch,
        seq: Seq,
        term_ms: u64,
        earlier: SmallVec<[EarlierTerm; 2]>,
    ) -> LeaderRecord {
        LeaderRecord {
            node: self.node.clone(),
            incarnation: self.incarnation,
            epoch,
            released: false,
            addr: self.addr,
            seq,
            term_ms,
            earlier,
        }
    }

    /// Returns whether an append of this process has been read, given the newest leader record.
    pub fn has_read(&self, newest: &LeaderRecord, epoch: Epoch, seq: Seq) -> bool {
        self.is_own(newest) && newest.epoch == epoch && newest.seq >= seq
    }

    fn next_seq(&mut self) -> Seq {
        let seq = self.seq;
        self.seq = seq.next();
        seq
    }

    /// Stops claiming, because the process is about to exit.
    pub fn stop_claiming(&mut self) {
        self.claims_enabled = false;
    }

    /// Ends this process's term or claim, if any.
    pub fn resign(&mut self, now: Time, out: &mut Vec<LeadershipEffect>) {
        if matches!(self.role, Role::Leader { .. }) {
            out.push(LeadershipEffect::Deposed);
        }
        self.role = Role::Follower;
        self.no_heartbeat_since = now;
    }

    /// Handles a newly read leader record: a claim or heartbeat. This process's own claim makes it
    /// the leader; one under a higher epoch ends its term.
    pub fn on_leader_record(
        &mut self,
        now: Time,
        record: &LeaderRecord,
        out: &mut Vec<LeadershipEffect>,
    ) {
        self.no_heartbeat_since = now;
        self.released = record.released;
        self.max_epoch = self.max_epoch.max(record.epoch);
        let own = self.is_own(record);
        self.last_leader_at_own_addr = !own && self.addr.is_some() && record.addr == self.addr;
        match self.role {
            Role::Claiming { epoch, sent } if own && record.epoch == epoch => {
                self.elect(now, sent, epoch, out);
            }
            // A claim that was given up took effect late and has fenced the current leader, so this
            // process takes over. Nobody else had claimed when the read was sent.
            Role::Follower
                if own && self.abandoned_claim == Some(record.epoch) && !record.released =>
            {
                self.abandoned_claim = None;
                self.elect(now, self.last_read_sent, record.epoch, out);
            }
            Role::Claiming { epoch, .. } if record.epoch >= epoch => self.role = Role::Follower,
            Role::Leader { epoch } if record.epoch > epoch => self.resign(now, out),
            _ => {}
        }
        // A term of this process, or of an earlier one at its address, is over when a new claim is
        // made.
        let ended = record.released || own || self.last_leader_at_own_addr;
        self.last_heartbeat = Some(Heartbeat::new(record, now, ended, self.last_heartbeat));
    }

    /// Handles a newly read record other than the leader record that only a leader writes.
    pub fn on_leader_activity(&mut self, now: Time) {
        self.no_heartbeat_since = now;
    }

    /// Forgets the last heartbeat, since the records are loaded anew: of each key only the newest is read, and other
    /// leaders may have come in between.
    pub fn on_records_lost(&mut self) {
        self.last_heartbeat = None;
    }

    /// Notes that a read of the records was sent.
    pub fn on_read_sent(&mut self, now: Time) {
        self.last_read_sent = now;
    }

    /// Notes that a read of the records was answered.
    pub fn on_read(&mut self, now: Time) {
        self.last_read_answered = now;
    }

    /// Handles a failed read: heartbeats may have been stored and not read, so the wait for one
    /// restarts.
    pub fn on_read_failed(&mut self, now: Time) {
        self.no_heartbeat_since = now;
    }

    /// Ends a claim or term that has lasted too long without success, and claims a term if one is due.
    /// `caught_up` tells whether the last read reached the end of the records.
    pub fn tick(&mut self, now: Time, caught_up: bool, out: &mut Vec<LeadershipEffect>) {
        if now.since(self.last_tick) > PAUSE_THRESHOLD {
            self.no_heartbeat_since = now;
        }
        self.last_tick = now;
        self.abandon_claim(now);
        self.check_authority(now, out);
        // Nothing is known of a leader yet. Otherwise the time to load the records would use up the delays that keep all
        // processes from claiming at once.
        if self.max_epoch == Epoch(0) && !caught_up {
            self.no_heartbeat_since = now;
        }
        let may_claim = caught_up
            && self.claims_enabled
            && now >= self.claim_after
            && now.since(self.last_read_answered) < MAX_READ_AGE;
        if self.role != Role::Follower || !may_claim || !self.takeover_due(now) {
            return;
        }
        let epoch = self.max_epoch.next();
        self.role = Role::Claiming { epoch, sent: now };
        let seq = self.next_seq();
        let earlier =
            self.last_heartbeat.map(|heartbeat| heartbeat.claimed_after(now, &self.limits, epoch));
        let record = self.record(epoch, seq, 0, earlier.unwrap_or_default());
        let records = vec![Record::new(Key::Leader, &record)];
        out.push(LeadershipEffect::Claim { epoch, seq, records });
    }

    fn takeover_due(&self, now: Time) -> bool {
        let silence = now.since(self.no_heartbeat_since);
        let delay = self.limits.takeover_spread * self.takeover_delay / 1_000;
        if self.last_leader_at_own_addr {
            return true;
        }
        // No process has led yet, or the last leader ended its term.
        if self.max_epoch == Epoch(0) || self.released {
            return silence >= delay / 2;
        }
        silence >= self.limits.takeover_after + delay
    }

    /// Abandons a claim that isn't read in time. The claim may still take effect, so its epoch
    /// isn't used again.
    fn abandon_claim(&mut self, now: Time) {
        if let Role::Claiming { epoch, sent } = self.role
            && now.since(sent) >= CLAIM_TIMEOUT
        {
            self.max_epoch = self.max_epoch.max(epoch);
            self.abandoned_claim = Some(epoch);
            self.role = Role::Follower;
            self.no_heartbeat_since = now;
        }
    }

    /// Handles the result of the pending claim.
    pub fn on_claim(&mut self, now: Time, result: AppendResult) {
        let Role::Claiming { epoch, .. } = self.role else { return };
        match result {
            // The next reads show the outcome.
            AppendResult::Done | AppendResult::Unknown => {}
            AppendResult::Conflict | AppendResult::Rejected => {
                self.role = Role::Follower;
                self.claim_after = now + CLAIM_RETRY_DELAY;
            }
            AppendResult::Fenced => {
                // The epoch has been used; the next claim must be higher.
                self.max_epoch = self.max_epoch.max(epoch);
                self.role = Role::Follower;
                self.no_heartbeat_since = now;
            }
        }
    }

    fn elect(&mut self, now: Time, sent: Time, epoch: Epoch, out: &mut Vec<LeadershipEffect>) {
        self.role = Role::Leader { epoch };
        self.max_epoch = epoch;
        self.last_acknowledged_sent = sent;
        self.term_start = sent;
        let succession = Succession::new(now, sent, &self.limits, self.last_heartbeat, epoch);
        self.succession = Some(succession);
        out.push(LeadershipEffect::Elected { epoch, succession });
    }

    /// Ends this process's term, since a worker has accepted a command under a higher epoch.
    pub fn on_outranked(&mut self, now: Time, out: &mut Vec<LeadershipEffect>) {
        self.resign(now, out);
    }
}

//! Which process leads.
//!
//! One process gives all orders; the others follow the same records and can take its place at once.
//! A leader leaves a sign of life with each append, and at least every [`Limits::heartbeat`]. A
//! follower that reads no sign for [`Limits::takeover_after`] appends a claim under the next epoch. The
//! store takes one claim of an epoch: their numbers differ, so others count as out of order. The epoch
//! fences the predecessor at the store; the successor's first order fences it at each worker.
//!
//! A claimant leads once it *reads* its claim: by then it has read all that came before, and nothing of
//! its predecessor comes after. A condition on the records' end would do without that read, but while
//! nobody leads each VM appends what its clients submit, and a slow store then lets no such claim pass.
//!
//! A leader that can't reach the store may still reach workers that its successor can't. It stops by
//! itself: it orders nothing once [`Limits::authority`] has passed since it *sent* the last append
//! that was acknowledged. The successor counts the same span from when it has read its claim, which is
//! later, and then a lease, before it takes such a worker's tasks as ended.
//!
//! A leader whose authority has lapsed goes on sending signs of life, and nothing else: one that is
//! stored shows that nobody has claimed, and its term goes on with all that it knows. While the store
//! answers reads and the sign still isn't stored for [`Limits::takeover_after`], it ends the term, as a
//! follower would take over from a silent leader. Were it to hold its office without orders, it would do
//! so for ever where no other VM is left, and all tasks would lapse.

mod authority;
mod succession;

pub use self::succession::Succession;

use {
    self::succession::Heartbeat,
    crate::{Key, LeaderRecord, Limits, Record},
    compact_str::CompactString,
    egretlb_types::{Epoch, Seq, Time},
    std::{net::SocketAddr, time::Duration},
};

/// What this process is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Role {
    /// It follows.
    Follower,
    /// It has appended a claim and waits for what became of it.
    Claiming {
        /// The epoch claimed.
        epoch: Epoch,
        /// When the claim was sent.
        sent: Time,
    },
    /// It leads.
    Leader {
        /// Its epoch.
        epoch: Epoch,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum LeadershipEffect {
    /// Append this claim.
    Claim {
        /// The epoch of the append.
        epoch: Epoch,
        /// Its number.
        seq: Seq,
        /// The records.
        records: Vec<Record>,
    },
    /// This process leads from now on.
    Elected {
        /// Its epoch.
        epoch: Epoch,
        /// What its predecessors may still do.
        succession: Succession,
    },
    /// This process leads no longer.
    Deposed,
}

/// What became of an append under an epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendResult {
    /// It is in the store.
    Done,
    /// It is not, and never will be: the condition didn't hold.
    Conflict,
    /// It is not: another process has a higher epoch.
    Fenced,
    /// It is not: the store rejected it.
    Rejected,
    /// Nobody can say.
    Unknown,
}

/// Decides whether this process leads.
#[derive(Debug)]
pub struct Leadership {
    node: CompactString,
    incarnation: u64,
    /// Where followers hand records in.
    addr: Option<SocketAddr>,
    limits: Limits,
    /// This process's share of the spread, in thousandths.
    place: u32,
    role: Role,
    quiet_since: Time,
    /// No claim before this time: the last one was rejected.
    claim_after: Time,
    last_tick: Time,
    /// The last leader was an earlier process at this very address: it has certainly ended.
    own_predecessor: bool,
    /// Whether the quiet is the end of a term that its holder gave up.
    released: bool,
    /// The newest leader's last sign of life.
    newest: Option<Heartbeat>,
    /// When this process's term began.
    began: Time,
    known: Epoch,
    /// The epoch of a claim that was given up; it may yet take effect.
    given_up: Option<Epoch>,
    /// When the last read was sent, and when one was last answered.
    read_sent: Time,
    read_at: Time,
    /// When the last acknowledged append of this term was sent.
    last_confirmed: Time,
    /// Since when this leader has known that its authority has lapsed.
    lapsed: Option<Time>,
    seq: Seq,
    willing: bool,
}

/// A gap between two ticks beyond this is a pause of the process, after which what it last read says
/// nothing about the present. Ticks come every 50 ms or so; a busy VM delays them some tenths.
const PAUSE: Duration = Duration::from_millis(700);

/// The numbers of a process's appends begin at a random one below this. The store takes two appends
/// with one epoch and number for one append and its repetition: were all claims numbered alike, every
/// process that claims an epoch would be told that it has it.
const SEQ_STARTS: u64 = 1 << 31;

/// The last place: twice the ordinary silence after a leader's last sign is waited at most.
const LAST_PLACE: u32 = 5_000;

/// The pause after a rejected claim. Either another one has got through, which is read by then, or the
/// store takes no appends, and claims of all VMs must not add to that.
const CLAIM_AGAIN: Duration = Duration::from_millis(400);

/// Without an answered read for this long the silence of a leader says nothing: the store may be out of
/// reach, and a claim would be held up on its way and depose a leader that is well, seconds later. While
/// nobody leads a read is answered each 0.75 s, by a slow store each second.
const READ_FRESH: Duration = Duration::from_millis(1_100);

/// A claim of which nothing is heard or read for so long is given up. Well above the answer of a slow
/// store (300 ms), the appends queued before it (2 s at most), and the read that shows the claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2_500);

impl Leadership {
    /// A follower that has read nothing yet. `place` spreads the followers' claims, in thousandths of
    /// [`Limits::takeover_spread`]: up to 999 for those that are fit to lead, up to 5,000 for those that
    /// had better not.
    pub fn new(
        now: Time,
        node: impl Into<CompactString>,
        incarnation: u64,
        place: u32,
        limits: Limits,
    ) -> Self {
        Leadership {
            node: node.into(),
            incarnation,
            addr: None,
            limits,
            place: place.min(LAST_PLACE),
            role: Role::Follower,
            quiet_since: now,
            claim_after: now,
            last_tick: now,
            own_predecessor: false,
            released: false,
            newest: None,
            began: now,
            known: Epoch(0),
            given_up: None,
            read_sent: now,
            read_at: now,
            last_confirmed: Time::ZERO,
            lapsed: None,
            seq: Seq(incarnation % SEQ_STARTS),
            willing: true,
        }
    }

    /// Tells the followers of a later term where to hand records in.
    pub fn listen_at(&mut self, addr: SocketAddr) {
        self.addr = Some(addr);
    }

    /// Whether this process wrote a leader's record.
    pub fn is_own(&self, record: &LeaderRecord) -> bool {
        record.incarnation == self.incarnation && record.node == self.node
    }

    /// The epoch of the term, whether or not orders may be given.
    pub fn term(&self) -> Option<Epoch> {
        match self.role {
            Role::Leader { epoch } => Some(epoch),
            _ => None,
        }
    }

    /// The epoch and the number of the next append of this term, and the record that goes with it: a sign
    /// of life, or the end of the term.
    pub fn heartbeat(&mut self, now: Time, released: bool) -> Option<(Epoch, Seq, Record)> {
        let epoch = self.term()?;
        let seq = self.next_seq();
        let term_ms = u64::try_from(now.since(self.began).as_millis()).unwrap_or(u64::MAX);
        Some((epoch, seq, self.record(epoch, seq, released, term_ms)))
    }

    fn record(&self, epoch: Epoch, seq: Seq, released: bool, term_ms: u64) -> Record {
        let record = LeaderRecord {
            node: self.node.clone(),
            incarnation: self.incarnation,
            epoch,
            released,
            addr: self.addr,
            seq,
            term_ms,
        };
        Record::new(Key::Leader, &record)
    }

    /// Whether an append of this term is among what was read.
    pub fn has_read(&self, newest: &LeaderRecord, epoch: Epoch, seq: Seq) -> bool {
        self.is_own(newest) && newest.epoch == epoch && newest.seq >= seq
    }

    fn next_seq(&mut self) -> Seq {
        let seq = self.seq;
        self.seq = seq.next();
        seq
    }

    /// This process is about to end, and doesn't claim any more.
    pub fn retire(&mut self) {
        self.willing = false;
    }

    /// This process gives up its term; nothing is ordered from now on.
    pub fn resign(&mut self, now: Time, out: &mut Vec<LeadershipEffect>) {
        if matches!(self.role, Role::Leader { .. }) {
            out.push(LeadershipEffect::Deposed);
        }
        self.role = Role::Follower;
        self.quiet_since = now;
    }

    /// The newest leader's record was read.
    pub fn on_leader_record(
        &mut self,
        now: Time,
        record: &LeaderRecord,
        out: &mut Vec<LeadershipEffect>,
    ) {
        self.quiet_since = now;
        self.released = record.released;
        self.known = self.known.max(record.epoch);
        let own = self.is_own(record);
        self.own_predecessor = !own && self.addr.is_some() && record.addr == self.addr;
        match self.role {
            Role::Claiming { epoch, sent } if own && record.epoch == epoch => {
                self.elect(now, sent, epoch, out);
            }
            // It was held up on its way and fences whoever leads by now, so it is made use of. When the read
            // was sent that shows it, nobody else had claimed.
            Role::Follower if own && self.given_up == Some(record.epoch) && !record.released => {
                self.given_up = None;
                self.elect(now, self.read_sent, record.epoch, out);
            }
            Role::Claiming { epoch, .. } if record.epoch >= epoch => self.role = Role::Follower,
            Role::Leader { epoch } if record.epoch > epoch => self.resign(now, out),
            _ => {}
        }
        // A term of this very process is over once it claims another, and so is that of an earlier process at
        // its address.
        let over = record.released || own || self.own_predecessor;
        self.newest = Some(Heartbeat::new(record, now, over));
    }

    /// Something else that only a leader writes was read.
    pub fn on_leader_activity(&mut self, now: Time) {
        self.quiet_since = now;
    }

    /// A read of the records is sent.
    pub fn on_read_sent(&mut self, now: Time) {
        self.read_sent = now;
    }

    /// A read of the records was answered.
    pub fn on_read(&mut self, now: Time) {
        self.read_at = now;
    }

    /// A read of the records failed or was cut off: silence since then says nothing.
    pub fn on_read_failed(&mut self, now: Time) {
        self.quiet_since = now;
    }

    /// Time has passed. `caught_up` says that the last read reached the end of the records.
    pub fn tick(&mut self, now: Time, caught_up: bool, out: &mut Vec<LeadershipEffect>) {
        if now.since(self.last_tick) > PAUSE {
            self.quiet_since = now;
        }
        self.last_tick = now;
        self.give_up_claim(now);
        self.check_authority(now, out);
        let may_claim = caught_up
            && self.willing
            && now >= self.claim_after
            && now.since(self.read_at) < READ_FRESH;
        if self.role != Role::Follower || !may_claim || !self.takeover_due(now) {
            return;
        }
        let epoch = self.known.next();
        self.role = Role::Claiming { epoch, sent: now };
        let seq = self.next_seq();
        let records = vec![self.record(epoch, seq, false, 0)];
        out.push(LeadershipEffect::Claim { epoch, seq, records });
    }

    fn takeover_due(&self, now: Time) -> bool {
        let quiet = now.since(self.quiet_since);
        let share = self.limits.takeover_spread * self.place / 1_000;
        // The address is ours now, so nobody else can be listening there.
        if self.own_predecessor {
            return true;
        }
        // Nobody has ever led, or the term was given up: there is nobody to wait for.
        if self.known == Epoch(0) || self.released {
            return quiet >= share / 2;
        }
        quiet >= self.limits.takeover_after + share
    }

    /// A claim without an answer is settled by what is read; if nothing is read of it for a while it
    /// was lost. Its epoch isn't used again by this process, since it may yet take effect.
    fn give_up_claim(&mut self, now: Time) {
        if let Role::Claiming { epoch, sent } = self.role
            && now.since(sent) >= CLAIM_TIMEOUT
        {
            self.known = self.known.max(epoch);
            self.given_up = Some(epoch);
            self.role = Role::Follower;
            self.quiet_since = now;
        }
    }

    /// What became of the claim under way.
    pub fn on_claim(&mut self, now: Time, result: AppendResult) {
        let Role::Claiming { epoch, .. } = self.role else { return };
        match result {
            // Settled by what is read.
            AppendResult::Done | AppendResult::Unknown => {}
            AppendResult::Conflict | AppendResult::Rejected => {
                self.role = Role::Follower;
                self.claim_after = now + CLAIM_AGAIN;
            }
            AppendResult::Fenced => {
                // Somebody has used this epoch; the next claim must be higher.
                self.known = self.known.max(epoch);
                self.role = Role::Follower;
                self.quiet_since = now;
            }
        }
    }

    fn elect(&mut self, now: Time, sent: Time, epoch: Epoch, out: &mut Vec<LeadershipEffect>) {
        self.role = Role::Leader { epoch };
        self.known = epoch;
        self.last_confirmed = sent;
        self.began = sent;
        let succession = Succession::new(now, sent, &self.limits, self.newest, epoch);
        out.push(LeadershipEffect::Elected { epoch, succession });
    }

    /// A worker has obeyed a higher epoch than ours.
    pub fn on_outranked(&mut self, now: Time, out: &mut Vec<LeadershipEffect>) {
        self.resign(now, out);
    }
}

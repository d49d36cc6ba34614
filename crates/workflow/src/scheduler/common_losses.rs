//! Finds workers that were lost for a common cause: with their rack, or with many others of their service.
//!
//! Whether two workers were lost together is judged by when they stopped replying. A rack has outlived a worker if
//! another worker there has replied after that one was certainly gone, even if some of its replies were lost on the way.

use {
    super::{Scheduler, Worker, lost_workers::WorkerLoss},
    crate::WorkerId,
    compact_str::CompactString,
    egretlb_types::Time,
    std::{collections::VecDeque, time::Duration},
};

/// How long a lost worker is remembered, to find workers lost together with it.
const LOSS_RETENTION: Duration = Duration::from_secs(10);

/// Minimum number of other workers of the same rack lost together for the loss of the rack.
const MIN_RACK_LOSSES: usize = 2;

/// Minimum number of other workers of the same service lost together for a common cause.
const MIN_SERVICE_LOSSES: usize = 4;

/// Number of replies in a row that may be lost on the way while the worker is alive.
const MAX_LOST_REPLIES: u32 = 2;

/// Whether a worker was lost for the same cause as others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CommonCause {
    /// Its rack has outlived it, or it belongs to none, and few others of its service were lost at the same time.
    Unlikely,
    /// Many others of its service were lost at the same time, or it isn't known whether its rack has outlived it.
    Possible,
    /// Others of its rack were lost at the same time, and none has outlived it.
    RackLost,
}

/// Polls of a worker that have failed since its last reply.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MissedPolls {
    count: u32,
    /// When the first one should have been answered.
    first_due: Option<Time>,
    /// When the worker was certainly gone, if it doesn't reply again.
    gone_by: Option<Time>,
}

impl MissedPolls {
    /// Notes a poll without an answer, which should have been answered at `due`.
    pub(super) fn note_failed(&mut self, due: Time) {
        self.count += 1;
        self.first_due.get_or_insert(due);
        if self.count > MAX_LOST_REPLIES {
            self.gone_by.get_or_insert(due);
        }
    }

    /// Whether the worker is certainly gone, if it doesn't reply again.
    pub(super) fn is_gone(&self) -> bool {
        self.gone_by.is_some()
    }

    /// Notes that the worker is gone if it doesn't reply again: its address refuses connections, another one answers there,
    /// or its leases have lapsed.
    pub(super) fn note_gone(&mut self, now: Time) {
        self.first_due.get_or_insert(now);
        self.gone_by.get_or_insert(now);
    }
}

/// When a worker was lost: after its last reply.
#[derive(Clone, Copy, Debug)]
struct LossTime {
    last_reply: Time,
    /// When it should have replied next.
    reply_due: Time,
    /// When it was certainly gone: later than `reply_due`, since replies may be lost on the way.
    gone_by: Time,
}

impl LossTime {
    /// Whether both workers may have been lost at the same time.
    fn is_together_with(self, other: LossTime) -> bool {
        self.last_reply <= other.reply_due && other.last_reply <= self.reply_due
    }

    /// Whether the worker was alive when the other one was gone.
    fn outlived(self, other: LossTime) -> bool {
        self.last_reply > other.gone_by
    }
}

/// A recently lost worker.
#[derive(Debug)]
struct LostWorker {
    id: WorkerId,
    lost_at: Time,
    time: LossTime,
    service: CompactString,
    rack: Option<CompactString>,
}

impl LostWorker {
    /// Describes a worker that is lost, or may be; none if it has never replied.
    fn new(now: Time, id: &WorkerId, worker: &Worker) -> Option<LostWorker> {
        Some(LostWorker {
            id: id.clone(),
            lost_at: now,
            time: worker.loss_time(now)?,
            service: worker.info.service.clone(),
            rack: worker.info.rack().map(CompactString::new),
        })
    }
}

/// Recently lost workers, the latest loss last.
#[derive(Debug, Default)]
pub(super) struct RecentLosses(VecDeque<LostWorker>);

impl RecentLosses {
    fn expire(&mut self, now: Time) {
        while self.0.front().is_some_and(|lost| now.since(lost.lost_at) >= LOSS_RETENTION) {
            self.0.pop_front();
        }
    }

    /// Adds the loss of a worker; of one lost repeatedly the latest loss counts.
    fn add(&mut self, lost: LostWorker) {
        self.0.retain(|other| other.id != lost.id);
        self.0.push_back(lost);
    }
}

impl Worker {
    /// When it was lost, if it doesn't reply again; none if it has never replied.
    fn loss_time(&self, now: Time) -> Option<LossTime> {
        Some(LossTime {
            last_reply: self.last_contact?,
            reply_due: self.missed_polls.first_due.unwrap_or(now),
            gone_by: self.missed_polls.gone_by.unwrap_or(now),
        })
    }
}

impl Scheduler {
    /// Returns whether a worker that is lost was probably lost for the same cause as others.
    pub(super) fn common_cause(&self, now: Time, id: &WorkerId, worker: &Worker) -> CommonCause {
        let Some(lost) = LostWorker::new(now, id, worker) else { return CommonCause::Possible };
        let known = self
            .workers
            .iter()
            .filter(|(other, worker)| *other != id && worker.info.service == lost.service);
        let known = known.filter_map(|(_, other)| {
            let is_gone = other.missed_polls.is_gone();
            Some((other.loss_time(now)?, other.info.rack(), is_gone))
        });
        let replaced =
            self.lost_workers.recent.0.iter().filter(|other| {
                other.service == lost.service && !self.workers.contains_key(&other.id)
            });
        let replaced = replaced.map(|other| (other.time, other.rack.as_deref(), true));
        let (mut service_losses, mut rack_losses) = (0, 0);
        let mut outlived = lost.rack.is_none();
        for (time, rack, is_gone) in known.chain(replaced) {
            let same_rack = rack.is_some() && rack == lost.rack.as_deref();
            let together = is_gone && time.is_together_with(lost.time);
            service_losses += usize::from(together);
            rack_losses += usize::from(together && same_rack);
            outlived |= same_rack && time.outlived(lost.time);
        }
        match outlived {
            false if rack_losses >= MIN_RACK_LOSSES => CommonCause::RackLost,
            true if service_losses < MIN_SERVICE_LOSSES => CommonCause::Unlikely,
            _ => CommonCause::Possible,
        }
    }

    /// Remembers the loss of a worker, to find workers lost together; not of one that left.
    pub(super) fn note_loss(&mut self, now: Time, id: &WorkerId, loss: WorkerLoss) {
        let recent = &mut self.lost_workers.recent;
        recent.expire(now);
        let worker = self.workers.get_mut(id).filter(|_| loss != WorkerLoss::Left);
        let Some(worker) = worker else { return };
        worker.missed_polls.note_gone(now);
        if let Some(lost) = LostWorker::new(now, id, worker) {
            recent.add(lost);
        }
    }
}

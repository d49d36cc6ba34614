//! How long a leader may give orders, and what it does once it may not.

use {
    super::{AppendResult, Leadership, LeadershipEffect, READ_FRESH, Role},
    egretlb_types::{Epoch, Time},
};

impl Leadership {
    /// The epoch under which orders may be given now. Asked again right before each order is sent: a
    /// process may have been paused since it decided.
    pub fn authority(&self, now: Time) -> Option<Epoch> {
        match self.role {
            Role::Leader { epoch } if now < self.last_confirmed + self.limits.authority => {
                Some(epoch)
            }
            _ => None,
        }
    }

    /// When the last acknowledged append of this term was sent: the store was reached after that.
    pub fn last_confirmed(&self) -> Time {
        self.last_confirmed
    }

    /// What became of an append under this term that was sent at `sent`.
    pub fn on_append(
        &mut self,
        now: Time,
        sent: Time,
        result: AppendResult,
        out: &mut Vec<LeadershipEffect>,
    ) {
        match result {
            AppendResult::Done => self.last_confirmed = self.last_confirmed.max(sent),
            AppendResult::Fenced => self.resign(now, out),
            AppendResult::Conflict | AppendResult::Rejected | AppendResult::Unknown => {}
        }
    }

    /// Ends a term whose signs of life aren't stored although the store can be read. While it can't be
    /// read nobody else can tell either, and the sign that waits may be stored once it is back.
    pub(super) fn check_authority(&mut self, now: Time, out: &mut Vec<LeadershipEffect>) {
        let Some(epoch) = self.term() else {
            self.lapsed = None;
            return;
        };
        if self.authority(now).is_some() {
            if let Some(since) = self.lapsed.take() {
                let after_ms = now.since(since).as_millis() as u64;
                log::info!(epoch:% = epoch, after_ms; "orders_resumed");
            }
            return;
        }
        let sign_ms = now.since(self.last_confirmed).as_millis() as u64;
        let since = *self.lapsed.get_or_insert_with(|| {
            log::warn!(epoch:% = epoch, sign_ms; "orders_suspended");
            now
        });
        let quiet = now.since(since.max(self.quiet_since));
        if quiet >= self.limits.takeover_after && now.since(self.read_at) < READ_FRESH {
            log::warn!(epoch:% = epoch, sign_ms; "term_ended");
            self.resign(now, out);
            // It was this process's own term, so there is nobody to wait for.
            self.released = true;
        }
    }
}

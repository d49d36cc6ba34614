//! Authority: how long a leader may send commands after its last acknowledged append.

use {
    super::{AppendResult, Leadership, LeadershipEffect, MAX_READ_AGE, Role},
    egretlb_types::{Epoch, Time},
};

impl Leadership {
    /// Returns the epoch under which commands may be sent now. Checked again right before each
    /// command is sent, since the process may have been paused in between.
    pub fn authority(&self, now: Time) -> Option<Epoch> {
        match self.role {
            Role::Leader { epoch } if now < self.last_acknowledged_sent + self.limits.authority => {
                Some(epoch)
            }
            _ => None,
        }
    }

    /// Returns when the last acknowledged append of this term was sent.
    pub fn last_acknowledged_sent(&self) -> Time {
        self.last_acknowledged_sent
    }

    /// Handles the result of an append of this term that was sent at `sent`.
    pub fn on_append(
        &mut self,
        now: Time,
        sent: Time,
        result: AppendResult,
        out: &mut Vec<LeadershipEffect>,
    ) {
        match result {
            AppendResult::Done => {
                self.last_acknowledged_sent = self.last_acknowledged_sent.max(sent)
            }
            AppendResult::Fenced => self.resign(now, out),
            AppendResult::Conflict | AppendResult::Rejected | AppendResult::Unknown => {}
        }
    }

    /// Ends the term if heartbeats aren't stored although the store can be read. While it can't be
    /// read, no follower can take over either, and a pending heartbeat may still be stored.
    pub(super) fn check_authority(&mut self, now: Time, out: &mut Vec<LeadershipEffect>) {
        let Some(epoch) = self.term() else {
            self.lapsed_at = None;
            return;
        };
        if self.authority(now).is_some() {
            if let Some(since) = self.lapsed_at.take() {
                let after_ms = now.since(since).as_millis() as u64;
                log::info!(epoch:% = epoch, after_ms; "orders_resumed");
            }
            return;
        }
        let sign_ms = now.since(self.last_acknowledged_sent).as_millis() as u64;
        let since = *self.lapsed_at.get_or_insert_with(|| {
            log::warn!(epoch:% = epoch, sign_ms; "orders_suspended");
            now
        });
        let silence = now.since(since.max(self.no_heartbeat_since));
        if silence >= self.limits.takeover_after
            && now.since(self.last_read_answered) < MAX_READ_AGE
        {
            log::warn!(epoch:% = epoch, sign_ms; "term_ended");
            self.resign(now, out);
            // This process was the leader, so it needn't wait for another one's heartbeat.
            self.released = true;
        }
    }
}

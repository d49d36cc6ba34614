//! Rewrites records that were replaced in the store by unreadable ones.
//!
//! Running processes keep the former record, but one that starts later reads only the newest record
//! of each key: it wouldn't know the workflow, or would run finished tasks again. So the leader,
//! which has read the former record, writes it again.

use {
    super::Scheduler,
    crate::{Key, Ledger, Record, WorkflowId},
};

impl Scheduler {
    /// Handles an unreadable newest record of `key`.
    pub fn on_unreadable(&mut self, key: Key, ledger: &Ledger) {
        match key {
            // The next heartbeat replaces it.
            Key::Leader => {}
            // The next estimate replaces it.
            Key::Load => {}
            Key::Roster(page) => self.roster.rewrite(page),
            Key::InterferenceModel => self.model_dirty = true,
            Key::Wave(number) => self.maintenance.record_again(number),
            Key::Submission(id) => self.records_to_rewrite.extend(submission(id, ledger)),
            Key::Cancel(id) => {
                let cancelled = ledger.get(id).is_some_and(|entry| entry.cancelled)
                    || ledger.early_cancellations().contains(&id);
                self.records_to_rewrite.extend(cancelled.then(|| Record::new(key, &true)));
            }
            // The scheduler's state may be newer than the ledger's.
            Key::Progress(id) if self.workflows.contains_key(&id) => {
                self.dirty.insert(id);
            }
            Key::Progress(id) => self.records_to_rewrite.extend(final_progress(id, ledger)),
        }
    }
}

fn submission(id: WorkflowId, ledger: &Ledger) -> Option<Record> {
    let submission = ledger.get(id)?.submission.as_deref()?;
    Some(Record::new(Key::Submission(id), submission))
}

/// Returns the progress of a workflow that has ended; it doesn't change any more.
fn final_progress(id: WorkflowId, ledger: &Ledger) -> Option<Record> {
    let progress = &ledger.get(id)?.progress;
    progress.outcome.map(|_| Record::new(Key::Progress(id), progress))
}

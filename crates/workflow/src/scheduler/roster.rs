//! The pages of the roster: each worker that may run something is an entry of one page.
//!
//! Only changed pages are recorded. As a single record the roster would be rewritten with all workers whenever one of
//! them changes, and a few thousand workers exceed the largest record that the store takes.

use {
    super::{Scheduler, Worker},
    crate::{Ledger, WorkerId},
    std::collections::{BTreeMap, BTreeSet},
};

/// Maximum number of workers on a page, some 5 KB.
const MAX_PAGE_WORKERS: usize = 64;

/// Which worker is on which page, and which pages are to be recorded.
#[derive(Debug, Default)]
pub(super) struct RosterPages {
    pages: BTreeMap<u32, BTreeSet<WorkerId>>,
    /// Pages with free entries, the lowest of which is filled first.
    open: BTreeSet<u32>,
    dirty: BTreeSet<u32>,
}

impl RosterPages {
    /// The pages of the last recorded roster. All are to be recorded, since entries of an earlier epoch don't say until
    /// when this leader's commands take effect.
    pub(super) fn inherited(ledger: &Ledger) -> RosterPages {
        let mut pages = RosterPages::default();
        for (page, _) in ledger.roster_pages() {
            pages.rewrite(page);
        }
        // Not in use until it is rewritten, see `UnreadableRoster`.
        for page in ledger.unreadable_roster_pages() {
            pages.pages.entry(page).or_default();
        }
        pages
    }

    /// Marks a page to be recorded, as an empty one if it isn't in use yet.
    pub(super) fn rewrite(&mut self, page: u32) {
        if self.pages.entry(page).or_default().len() < MAX_PAGE_WORKERS {
            self.open.insert(page);
        }
        self.dirty.insert(page);
    }

    /// Puts a worker on a page.
    pub(super) fn insert(&mut self, page: u32, id: WorkerId) {
        let members = self.pages.entry(page).or_default();
        members.insert(id);
        if members.len() >= MAX_PAGE_WORKERS {
            self.open.remove(&page);
        } else {
            self.open.insert(page);
        }
        self.dirty.insert(page);
    }

    /// Puts a worker on the first page with a free entry and returns the page.
    fn add(&mut self, id: WorkerId) -> u32 {
        // The highest number may be that of another writer's record, which no number follows.
        let is_unused = |page: &u32| !self.pages.contains_key(page);
        let new_page = || (0..=u32::MAX).find(is_unused).unwrap_or_default();
        let page = self.open.first().copied().unwrap_or_else(new_page);
        self.insert(page, id);
        page
    }

    fn remove(&mut self, page: u32, id: &WorkerId) {
        if let Some(members) = self.pages.get_mut(&page) {
            members.remove(id);
            self.open.insert(page);
            self.dirty.insert(page);
        }
    }

    /// Marks a page to be recorded, if it exists.
    pub(super) fn mark_dirty(&mut self, page: u32) {
        if self.pages.contains_key(&page) {
            self.dirty.insert(page);
        }
    }

    pub(super) fn is_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Takes the next page to be recorded, with its workers.
    pub(super) fn pop_dirty(&mut self) -> Option<(u32, Vec<WorkerId>)> {
        let page = self.dirty.pop_first()?;
        let members = self.pages.get(&page).into_iter().flatten().cloned().collect();
        Some((page, members))
    }
}

impl Scheduler {
    /// Marks a worker's entry to be recorded; gives it one if it belongs in the roster and has none.
    pub(super) fn mark_entry_dirty(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        match worker.roster_page {
            Some(page) => self.roster.mark_dirty(page),
            None if worker.belongs_in_roster() => {
                worker.roster_page = Some(self.roster.add(id.clone()));
            }
            None => {}
        }
    }

    /// Removes a worker and its entry in the roster.
    pub(super) fn remove_worker(&mut self, id: &WorkerId) -> Option<Worker> {
        let worker = self.workers.remove(id)?;
        self.unreconciled.remove(id);
        if let Some(page) = worker.roster_page {
            self.roster.remove(page, id);
        }
        Some(worker)
    }
}

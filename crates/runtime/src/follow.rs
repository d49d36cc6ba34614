//! Reading of the store's topics.

use {
    crate::{
        core::ReadProgress,
        node::Node,
        platform::{
            BadEntry, EntryError, EntryKind, NewestResult, OperatorChange, ReadFailure, ReadResult,
            StoredRecord, Topic,
        },
        read_limits::ReadLimits,
        standbys::Announcement,
    },
    bytes::Bytes,
    compact_str::{CompactString, format_compact},
    egretlb_types::Offset,
    egretlb_workflow::{DirectoryChange, Key, UnreadableRoute, WorkerId, WorkflowId},
    std::{
        collections::{BTreeSet, HashSet},
        rc::Rc,
        time::Duration,
    },
    tokio::time::sleep,
};

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// How long a read of the work topic waits for a record. A leader appends one every 250 ms, so a longer wait
/// indicates a fault.
const WORK_READ_WAIT: Duration = Duration::from_millis(600);

/// How long a read of the operator's topic waits for a record. It also bounds the detection of a dead connection;
/// a configuration must take effect within 2 s.
const OPERATOR_READ_WAIT: Duration = Duration::from_millis(1_000);

/// How long a read of the topic of terms waits for a record, which comes when the leader or a standby changes.
const TERMS_READ_WAIT: Duration = Duration::from_secs(4);

/// How long a read of the directory waits for a record.
const DIRECTORY_READ_WAIT: Duration = Duration::from_millis(1_000);

/// Pause between a leader's reads of the work topic, and every node's of the operator's topic. It delays only records that other VMs append themselves.
const LEADER_READ_GAP: Duration = Duration::from_millis(20);

/// Pause between a follower's reads. It delays the completion that clients see; a shorter one increases the cost of
/// calls to the store: with 50 ms the calls cost half as much again, and no client of six calm days was served sooner.
const FOLLOWER_READ_GAP: Duration = Duration::from_millis(150);

/// Pause between reads of the directory. Each worker writes once a second; a draining worker must
/// receive no new tasks after 2 s.
const DIRECTORY_READ_GAP: Duration = Duration::from_millis(250);

/// How far before an unreadable configuration an earlier one is searched, in records, in this order. The oldest records
/// may have been deleted.
const HISTORY_DISTANCES: [u64; 3] = [256, 16, 1];

/// What a load of a topic found.
#[derive(Debug)]
pub(crate) struct Listed {
    /// Names of the workers in the directory.
    pub(crate) workers: HashSet<CompactString>,
    /// Evacuated data centres.
    pub(crate) evacuated: BTreeSet<CompactString>,
    /// Cancelled workflows whose submission wasn't found.
    pub(crate) early_cancellations: BTreeSet<WorkflowId>,
    /// Offset of the configuration, if it is unreadable.
    pub(crate) unreadable_configuration: Option<Offset>,
    /// Whether all entries were read. If not, what isn't listed may still be in the store.
    pub(crate) complete: bool,
}

impl Default for Listed {
    fn default() -> Listed {
        Listed {
            workers: HashSet::new(),
            evacuated: BTreeSet::new(),
            early_cancellations: BTreeSet::new(),
            unreadable_configuration: None,
            complete: true,
        }
    }
}

/// Loads a topic and follows it until the process ends; the directory and the records only while the process needs them.
pub(crate) async fn follow(node: Rc<Node>, topic: Topic) {
    let mut limits = ReadLimits::default();
    loop {
        node.wait_to_follow(topic).await;
        let mut cursor = match load(&node, topic, &mut limits).await {
            Ok(next) => Cursor { next, unconfirmed: false },
            Err(cause) => {
                node.on_read_failed(topic, cause);
                sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        while tail(&node, topic, &mut cursor, &mut limits).await {
            sleep(read_gap(&node, topic)).await;
            if !node.follows(topic) {
                break;
            }
        }
        if !node.follows(topic) {
            node.drop_topic(topic);
        } else {
            log::info!(topic:% = topic; "history_forgotten");
        }
    }
}

fn read_gap(node: &Node, topic: Topic) -> Duration {
    match (topic, node.leads()) {
        (Topic::Work, true) => LEADER_READ_GAP,
        (Topic::Work, false) => FOLLOWER_READ_GAP,
        (Topic::Operator | Topic::Terms, _) => LEADER_READ_GAP,
        (Topic::Directory, _) => DIRECTORY_READ_GAP,
    }
}

fn read_wait(topic: Topic) -> Duration {
    match topic {
        Topic::Work => WORK_READ_WAIT,
        Topic::Operator => OPERATOR_READ_WAIT,
        Topic::Terms => TERMS_READ_WAIT,
        Topic::Directory => DIRECTORY_READ_WAIT,
    }
}

/// Reads the newest record of each key and returns the offset to continue from. Pages aren't a snapshot, so that is
/// the end offset of the first page.
async fn load(
    node: &Rc<Node>,
    topic: Topic,
    limits: &mut ReadLimits,
) -> Result<Offset, ReadFailure> {
    let sent = node.clock().now();
    if topic == Topic::Work {
        node.core_mut().leadership.on_records_lost();
    }
    let mut after: Option<Bytes> = None;
    let mut start = None;
    let mut listed = Listed::default();
    // Leader records are applied last: a term that starts from one must know all other records.
    let mut leader_records = Vec::new();
    loop {
        let page = node.store().newest(topic, after.clone(), limits.page_timeout).await;
        let page = node.take_decoded(page);
        let (records, unreadable, end, has_more, next_after, complete) = match page {
            NewestResult::Page { records, unreadable, end, has_more, next_after, complete } => {
                (records, unreadable, end, has_more, next_after, complete)
            }
            NewestResult::Failed(cause) => {
                limits.on_page_failed();
                return Err(cause);
            }
        };
        limits.on_page();
        let next = *start.get_or_insert(end);
        listed.complete &= complete;
        for stored in records {
            if topic == Topic::Work && Key::from_bytes(&stored.key) == Ok(Key::Leader) {
                leader_records.push(stored);
            } else {
                apply(node, topic, &stored, &mut listed);
            }
        }
        match topic {
            Topic::Directory => {
                listed.workers.extend(unreadable.iter().map(|key| mark_unreadable(node, key)));
            }
            Topic::Operator => listed.complete &= unreadable.is_empty(),
            Topic::Work | Topic::Terms => {}
        }
        // The next page can't be requested, or the store has returned this page again.
        let is_cut = has_more && (next_after.is_none() || next_after == after);
        // A record that isn't read would count as absent.
        if is_cut && matches!(topic, Topic::Work | Topic::Operator) {
            limits.on_page_failed();
            return Err(ReadFailure::Malformed);
        }
        after = next_after;
        if !has_more || is_cut {
            for stored in &leader_records {
                apply(node, topic, stored, &mut listed);
            }
            listed.complete &= !is_cut;
            let has_configuration = node.core().configuration.version().is_some();
            if let Some(offset) = listed.unreadable_configuration.filter(|_| !has_configuration) {
                recover_configuration(node, offset, limits).await;
            }
            node.on_loaded(topic, &listed);
            let complete_until = (topic == Topic::Operator).then_some(sent);
            let progress = ReadProgress { loaded: true, complete_until, ..ReadProgress::default() };
            node.on_read_done(topic, progress);
            return Ok(next);
        }
    }
}

/// Position in a topic.
struct Cursor {
    next: Offset,
    /// The last read returned a record before its wait was over, so it doesn't show how long there was no other one.
    unconfirmed: bool,
}

/// Reads once from the cursor and advances it. Returns false if the topic must be reloaded.
async fn tail(node: &Rc<Node>, topic: Topic, cursor: &mut Cursor, limits: &mut ReadLimits) -> bool {
    let sent = node.clock().now();
    if topic == Topic::Work {
        node.on_read_sent(sent);
    }
    // A read that doesn't wait shows soon that a silent store answers again, that the configuration is the newest, or that a
    // workflow isn't stored.
    let confirm = match topic {
        Topic::Operator => cursor.unconfirmed,
        Topic::Work => node.watch.is_read_awaited(),
        Topic::Directory | Topic::Terms => false,
    };
    let wait = if node.is_failing(topic) || confirm { Duration::ZERO } else { read_wait(topic) };
    let read = node.store().read(topic, cursor.next, wait, limits.max_kb).await;
    match node.take_decoded(read) {
        ReadResult::Records { records, next: resume_at, end } => {
            limits.on_read();
            for stored in &records {
                apply(node, topic, stored, &mut Listed::default());
            }
            let is_empty = resume_at == cursor.next;
            *cursor = Cursor { next: resume_at, unconfirmed: !is_empty };
            let answered = node.clock().now();
            let at_end = cursor.next >= end;
            // The store holds a read without records for `wait`.
            let held = topic == Topic::Operator && is_empty;
            let known_until = if held { answered.min(sent + wait) } else { sent };
            let progress = ReadProgress {
                loaded: true,
                at_end,
                answered_at: Some(answered),
                complete_until: at_end.then_some(known_until),
            };
            node.on_read_done(topic, progress);
            true
        }
        ReadResult::OffsetTooOld => false,
        ReadResult::Failed(cause) => {
            limits.on_read_failed();
            node.on_read_failed(topic, cause);
            sleep(RETRY_PAUSE).await;
            true
        }
    }
}

/// Applies a record and adds what it names to `listed`. An unreadable entry is logged and skipped.
fn apply(node: &Rc<Node>, topic: Topic, stored: &StoredRecord, listed: &mut Listed) {
    match topic {
        Topic::Work => {
            node.step(|core, now, out| core.on_work(now, stored, out));
            if let Ok(Key::Cancel(id)) = Key::from_bytes(&stored.key)
                && node.core().ledger.early_cancellations().contains(&id)
            {
                listed.early_cancellations.insert(id);
            }
        }
        Topic::Operator => match node.formats().operator(&stored.key, &stored.value) {
            Ok(change) => {
                log_unreadable_routes(node, stored, &change);
                if let OperatorChange::Evacuation { data_centre, in_force: true } = &change {
                    listed.evacuated.insert(data_centre.clone());
                }
                node.step(|core, now, _| core.on_operator(now, change));
            }
            // The previous entry stays in effect.
            Err(error) => {
                listed.complete = false;
                if error.kind == EntryKind::Configuration {
                    node.core_mut().configuration.set_newest_unreadable();
                    listed.unreadable_configuration = Some(stored.offset);
                }
                node.log_bad_entries(&[bad_entry(stored, &error)]);
            }
        },
        Topic::Terms => match Announcement::from_record(&stored.key, &stored.value) {
            Some(announcement) => node.core_mut().on_announcement(announcement),
            None => {
                let key = CompactString::from_utf8_lossy(&stored.key);
                let detail = "not an announcement of a term";
                node.log_bad_entries(&[BadEntry::new(
                    EntryKind::Record,
                    key,
                    stored.offset.0,
                    detail,
                )]);
            }
        },
        Topic::Directory => {
            listed.workers.insert(apply_directory(node, stored));
        }
    }
}

fn log_unreadable_routes(node: &Node, stored: &StoredRecord, change: &OperatorChange) {
    let OperatorChange::Routes(table) = change else { return };
    let entry = |route: &UnreadableRoute| {
        let key = format_compact!("{}/{}", String::from_utf8_lossy(&stored.key), route.name);
        BadEntry::new(EntryKind::Configuration, key, stored.offset.0, &route.detail)
    };
    let entries: Vec<BadEntry> = table.unreadable.iter().map(entry).collect();
    node.log_bad_entries(&entries);
}

/// Puts the last readable configuration before an unreadable one in force, if the store still has it: what replaced it can't
/// be a version, since the store accepts only valid ones.
async fn recover_configuration(node: &Rc<Node>, unreadable: Offset, limits: &ReadLimits) {
    for distance in HISTORY_DISTANCES {
        let mut next = Offset(unreadable.0.saturating_sub(distance));
        let mut last = None;
        while next < unreadable {
            let read =
                node.store().read(Topic::Operator, next, Duration::ZERO, limits.max_kb).await;
            let ReadResult::Records { records, next: resume_at, .. } = read.value else { break };
            if resume_at == next {
                break;
            }
            next = resume_at;
            let earlier = records.iter().filter(|stored| stored.offset < unreadable);
            let changes = earlier.flat_map(|s| node.formats().operator(&s.key, &s.value));
            last = changes
                .filter(|change| matches!(change, OperatorChange::Routes(_)))
                .last()
                .or(last);
        }
        if let Some(change) = last.filter(|_| next >= unreadable) {
            log::warn!(unreadable:% = unreadable; "configuration_recovered");
            return node.step(|core, now, _| {
                core.on_operator(now, change);
                core.configuration.set_newest_unreadable();
            });
        }
    }
}

/// Applies a worker's entry and returns the worker's name.
fn apply_directory(node: &Rc<Node>, stored: &StoredRecord) -> CompactString {
    match node.formats().directory(&stored.key, &stored.value) {
        Ok(change) => {
            let id = change.worker().clone();
            let error = match &change {
                DirectoryChange::Present(info) => node.core().entry_error(info),
                DirectoryChange::Absent(_) | DirectoryChange::Unreadable(_) => None,
            };
            if let Some(error) = error {
                let detail = CompactString::const_new(error);
                let error = EntryError { kind: EntryKind::Worker, detail };
                node.log_bad_entries(&[bad_entry(stored, &error)]);
                return mark_unreadable(node, &stored.key);
            }
            node.step(|core, now, _| core.on_directory(now, change));
            id.name
        }
        Err(error) => {
            node.log_bad_entries(&[bad_entry(stored, &error)]);
            mark_unreadable(node, &stored.key)
        }
    }
}

/// Marks a worker's newest entry as unreadable and returns the worker's name.
fn mark_unreadable(node: &Rc<Node>, key: &[u8]) -> CompactString {
    let name = CompactString::from_utf8_lossy(key);
    let id = WorkerId::new(name.clone());
    node.step(|core, now, _| core.on_directory(now, DirectoryChange::Unreadable(id)));
    name
}

fn bad_entry(stored: &StoredRecord, error: &EntryError) -> BadEntry {
    let key = CompactString::from_utf8_lossy(&stored.key);
    BadEntry::new(error.kind, key, stored.offset.0, error)
}

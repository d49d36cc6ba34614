//! Following the store's topics.

use {
    crate::{
        core::Reading,
        node::Node,
        platform::{
            BadEntry, EntryError, EntryKind, NewestResult, ReadResult, StoredRecord, Topic,
        },
    },
    bytes::Bytes,
    compact_str::CompactString,
    egretlb_types::{Offset, Time},
    egretlb_workflow::{DirectoryChange, Key, WorkerId, WorkerState},
    std::{collections::HashSet, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// The pause after a read that failed.
const RETRY: Duration = Duration::from_millis(150);

/// How long a read of the system's own records waits. A leader leaves a record each 250 ms, so no
/// answer for this long already means that something is wrong.
const WORK_WAIT: Duration = Duration::from_millis(600);

/// How long a read of the operator's topic waits: it changes seldom. A connection that has gone silent
/// is noticed after this, within the 2 s in which a configuration must be in force.
const OPERATOR_WAIT: Duration = Duration::from_millis(1_000);

/// How long a read of the workers' entries waits.
const DIRECTORY_WAIT: Duration = Duration::from_millis(1_000);

/// The pause between two reads of the leader. What clients submit reaches it before; what another VM
/// appended by itself is placed this much later at worst.
const LEADER_GAP: Duration = Duration::from_millis(20);

/// The pause between two reads of the others: a client sees its workflow complete this much later at
/// worst. Each read is paid for: with 50 ms the calls to the store cost half as much again as with 150 ms,
/// and no client of six calm days was served sooner.
const FOLLOWER_GAP: Duration = Duration::from_millis(150);

/// The pause between two reads of the workers' entries by the leader. Each worker writes once a second;
/// a draining one must get nothing new after 2 s.
const DIRECTORY_GAP: Duration = Duration::from_millis(250);

/// The same by the others, which only keep the list ready.
const DIRECTORY_FOLLOWER_GAP: Duration = Duration::from_millis(1_500);

/// Follows a topic for as long as the process runs.
pub(crate) async fn follow(node: Rc<Node>, topic: Topic) {
    loop {
        let Some(mut next) = load(&node, topic).await else {
            node.read_failed(topic);
            sleep(RETRY).await;
            continue;
        };
        while tail(&node, topic, &mut next).await {
            sleep(gap(&node, topic)).await;
        }
        log::info!(topic:% = topic; "history_forgotten");
    }
}

fn gap(node: &Node, topic: Topic) -> Duration {
    match (topic, node.leads()) {
        (Topic::Work, true) => LEADER_GAP,
        (Topic::Work, false) => FOLLOWER_GAP,
        (Topic::Operator, _) => LEADER_GAP,
        (Topic::Directory, true) => DIRECTORY_GAP,
        (Topic::Directory, false) => DIRECTORY_FOLLOWER_GAP,
    }
}

fn wait(topic: Topic) -> Duration {
    match topic {
        Topic::Work => WORK_WAIT,
        Topic::Operator => OPERATOR_WAIT,
        Topic::Directory => DIRECTORY_WAIT,
    }
}

/// Reads the newest record of each key; returns where to read on. Pages aren't a snapshot, so reading
/// goes on from where the first page ended.
async fn load(node: &Rc<Node>, topic: Topic) -> Option<Offset> {
    let mut after: Option<Bytes> = None;
    let mut start = None;
    let mut found = HashSet::new();
    let mut all_complete = true;
    // A term that begins with the leader's record would know nothing of the keys behind it: neither which
    // workers may still run something, nor that workflows aren't new.
    let mut leaders = Vec::new();
    loop {
        let page = node.heed(node.store().newest(topic, after.clone()).await);
        let NewestResult::Page { records, unreadable, end, next_after, complete } = page else {
            return None;
        };
        let next = *start.get_or_insert(end);
        all_complete &= complete;
        for stored in records {
            if topic == Topic::Work && Key::from_bytes(&stored.key) == Ok(Key::Leader) {
                leaders.push(stored);
            } else {
                found.extend(apply(node, topic, &stored));
            }
        }
        if topic == Topic::Directory {
            found.extend(unreadable.iter().map(|key| lose_entry(node, key)));
        }
        // The same page again would never end.
        let stuck = next_after.is_some() && next_after == after;
        after = next_after;
        if after.is_none() || stuck {
            for stored in &leaders {
                apply(node, topic, stored);
            }
            if topic == Topic::Directory && all_complete && !stuck {
                node.directory_loaded(&found);
            }
            node.read_done(topic, Reading { loaded: true, ..Reading::default() });
            return Some(next);
        }
    }
}

/// Reads once; returns whether the topic can be read on from `next`.
async fn tail(node: &Rc<Node>, topic: Topic, next: &mut Offset) -> bool {
    let sent = node.clock().now();
    if topic == Topic::Work {
        node.read_sent(sent);
    }
    let read = node.store().read(topic, *next, wait(topic)).await;
    match node.heed(read) {
        ReadResult::Records { records, next: on, end } => {
            for stored in &records {
                apply(node, topic, stored);
            }
            *next = on;
            let fresh: Option<Time> = Some(node.clock().now());
            let at_end = *next >= end;
            let known_to = at_end.then_some(sent);
            node.read_done(topic, Reading { loaded: true, at_end, fresh, known_to });
            true
        }
        ReadResult::OffsetTooOld => false,
        ReadResult::Failed => {
            node.read_failed(topic);
            sleep(RETRY).await;
            true
        }
    }
}

/// Takes a record in; returns the worker whose entry it is. An entry that can't be read costs no other.
fn apply(node: &Rc<Node>, topic: Topic, stored: &StoredRecord) -> Option<WorkerId> {
    match topic {
        Topic::Work => {
            node.step(|core, now, out| core.on_work(now, stored, out));
            None
        }
        Topic::Operator => {
            match node.formats().operator(&stored.key, &stored.value) {
                Ok(change) => node.step(|core, now, _| core.on_operator(now, change)),
                // What was published before stays in force.
                Err(error) => node.tell(&[bad_entry(stored, &error)]),
            }
            None
        }
        Topic::Directory => Some(apply_directory(node, stored)),
    }
}

fn apply_directory(node: &Rc<Node>, stored: &StoredRecord) -> WorkerId {
    match node.formats().directory(&stored.key, &stored.value) {
        Ok(change) => {
            let id = change.worker().clone();
            if matches!(&change, DirectoryChange::Present(info) if info.state == WorkerState::Other)
            {
                let detail = CompactString::const_new("a state that isn't known");
                let error = EntryError { kind: EntryKind::Worker, detail };
                node.tell(&[bad_entry(stored, &error)]);
            }
            node.step(|core, now, _| core.on_directory(now, change));
            id
        }
        Err(error) => {
            node.tell(&[bad_entry(stored, &error)]);
            lose_entry(node, &stored.key)
        }
    }
}

/// A worker's newest entry can't be read.
fn lose_entry(node: &Rc<Node>, key: &[u8]) -> WorkerId {
    let id = WorkerId(CompactString::from_utf8_lossy(key));
    node.step(|core, now, _| core.on_directory(now, DirectoryChange::Unreadable(id.clone())));
    id
}

fn bad_entry(stored: &StoredRecord, error: &EntryError) -> BadEntry {
    let key = CompactString::from_utf8_lossy(&stored.key);
    BadEntry::new(error.kind, key, stored.offset.0, error)
}

//! Following the store's topics.

use {
    crate::{
        border::{NewestResult, ReadResult, Stored, Topic},
        core::Reading,
        node::Node,
    },
    bytes::Bytes,
    egretlb_types::{Offset, Time},
    egretlb_workflow::DirectoryChange,
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
    loop {
        let page = node.store().newest(topic, after.take()).await;
        let NewestResult::Page { records, end, more } = page else { return None };
        let next = *start.get_or_insert(end);
        after = records.last().map(|stored| stored.key.clone());
        for stored in &records {
            if let Some(DirectoryChange::Present(info)) = apply(node, topic, stored) {
                found.insert(info.id);
            }
        }
        if !more || after.is_none() {
            if topic == Topic::Directory {
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
    match node.store().read(topic, *next, wait(topic)).await {
        ReadResult::Records { records, end } => {
            for stored in &records {
                apply(node, topic, stored);
                *next = stored.offset.next();
            }
            let fresh: Option<Time> = Some(node.clock().now());
            let at_end = *next >= end;
            let known_to = at_end.then_some(sent);
            node.read_done(topic, Reading { loaded: true, at_end, fresh, known_to });
            true
        }
        ReadResult::Forgotten => false,
        ReadResult::Failed => {
            node.read_failed(topic);
            sleep(RETRY).await;
            true
        }
    }
}

fn apply(node: &Rc<Node>, topic: Topic, stored: &Stored) -> Option<DirectoryChange> {
    match topic {
        Topic::Work => {
            node.step(|core, now, out| core.on_work(now, stored, out));
            None
        }
        Topic::Operator => {
            match node.formats().operator(&stored.key, &stored.value) {
                Ok(change) => node.step(|core, now, _| core.on_operator(now, change)),
                Err(error) => log::error!(error:% = error; "configuration_rejected"),
            }
            None
        }
        Topic::Directory => match node.formats().directory(&stored.key, &stored.value) {
            Ok(change) => {
                node.step(|core, now, _| core.on_directory(now, change.clone()));
                Some(change)
            }
            Err(error) => {
                log::warn!(error:% = error; "directory_entry_rejected");
                None
            }
        },
    }
}

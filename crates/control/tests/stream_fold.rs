//! Folding the control stream: races, repeated records, and an expired start of the stream.

use {
    compact_str::CompactString,
    egretlb_control::{
        ConfigVersion, ControlFold, ControlRecord, ControlState, Decision, NodeInfo, Phase,
        ProposalId, Role, ShardEpoch,
    },
    egretlb_log::{ReadOutcome, Record},
    egretlb_types::{ConfigDocument, Epoch, NodeId, Offset, ShardId},
};

fn validate(text: &str) -> Result<ConfigDocument, CompactString> {
    if text.contains("fault") { Err("a fault".into()) } else { Ok(ConfigDocument::default()) }
}

fn join(node: u64) -> ControlRecord {
    ControlRecord::Join(NodeInfo {
        node: NodeId(node),
        role: Role::Scheduler,
        data_centre: "dc-1".parse().unwrap(),
        peer_addr: "10.0.0.1:1".into(),
        http_addr: "10.0.0.1:2".into(),
    })
}

fn shard_epoch(epoch: u64) -> smallvec::SmallVec<[ShardEpoch; 4]> {
    smallvec::smallvec![ShardEpoch { shard: ShardId(5), epoch: Epoch(epoch) }]
}

fn claim(owner: u64, epoch: u64) -> ControlRecord {
    ControlRecord::Claim { owner: NodeId(owner), shards: shard_epoch(epoch) }
}

fn settled(owner: u64, epoch: u64) -> ControlRecord {
    ControlRecord::Settled { owner: NodeId(owner), shards: shard_epoch(epoch) }
}

fn release(owner: u64, epoch: u64) -> ControlRecord {
    ControlRecord::Release { owner: NodeId(owner), shards: shard_epoch(epoch) }
}

fn propose(id: u64, base: u64, document: &str) -> ControlRecord {
    ControlRecord::Propose {
        id: ProposalId(id),
        base: ConfigVersion(base),
        by: "someone".into(),
        document: document.into(),
    }
}

fn folded(records: &[ControlRecord]) -> ControlState {
    let mut state = ControlState::default();
    for (offset, record) in (0..).zip(records) {
        state.apply(Offset(offset), record, &validate);
    }
    state
}

fn page(records: &[ControlRecord], from: u64) -> ReadOutcome {
    let records: Vec<Record> = (from..)
        .zip(&records[from as usize..])
        .map(|(offset, record)| Record { offset: Offset(offset), bytes: record.encode() })
        .collect();
    ReadOutcome::Page { next: Offset(from + records.len() as u64), records, end: true }
}

/// Every reader must take the first of two concurrent claims, and ignore a repeated claim.
#[test]
fn claims_race() {
    let records = [join(1), join(2), claim(1, 1), claim(2, 1), claim(1, 1)];
    let state = folded(&records);
    assert_eq!(state.shard(ShardId(5)).owner(), Some(NodeId(1)));
    assert_eq!(state.shard(ShardId(5)).epoch(), Epoch(1));
    let stranger = folded(&[claim(1, 1)]);
    assert_eq!(stranger.shard(ShardId(5)).phase(), Phase::Unowned);
}

/// If a claimant releases a shard before it settled, its successor must wait for the last settled
/// owner and read that owner's journal.
#[test]
fn release_before_settling() {
    let start = [join(1), join(2), claim(1, 1), settled(1, 1), claim(2, 2), release(2, 2)];
    let state = folded(&start);
    let shard = state.shard(ShardId(5));
    assert!(shard.must_wait());
    assert_eq!(shard.last_settled(), Some((NodeId(1), Epoch(1))));
    let left = folded(&[join(1), claim(1, 1), settled(1, 1), release(1, 1)]);
    assert!(!left.shard(ShardId(5)).must_wait());
    assert_eq!(left.owner_of(ShardId(5)), None);
}

/// A `Settled` record that arrives after the next claim must be void, or two processes would act
/// for the shard.
#[test]
fn late_settled() {
    let records = [join(1), join(2), claim(1, 1), claim(2, 2), settled(1, 1)];
    assert_eq!(folded(&records).shard(ShardId(5)).phase(), Phase::Claimed);
    assert_eq!(folded(&records).owner_of(ShardId(5)), None);
}

/// Of two proposals on one base only the first is accepted; a repeated proposal keeps its first
/// decision.
#[test]
fn proposals_race() {
    let records = [
        propose(1, 0, "a"),
        propose(2, 0, "b"),
        propose(1, 0, "a"),
        propose(3, 1, "fault"),
        propose(4, 1, "c"),
    ];
    let state = folded(&records);
    let config = state.config();
    assert_eq!(config.current().version, ConfigVersion(5));
    assert_eq!(config.current().text, "c");
    let decision = |id| config.decision(ProposalId(id)).unwrap().clone();
    assert_eq!(decision(1), Decision::Accepted(ConfigVersion(1)));
    assert_eq!(decision(2), Decision::Outdated(ConfigVersion(1)));
    assert_eq!(decision(3), Decision::Invalid("a fault".into()));
}

/// A reader that starts at a snapshot must reach the same state as one that read everything,
/// including records appended while the snapshot was written.
#[test]
fn begins_at_snapshot() {
    let mut records = vec![join(1), join(2), claim(1, 1), propose(1, 0, "a")];
    let snapshot = ControlRecord::Snapshot { next: Offset(4), state: folded(&records).encode() };
    records.extend([settled(1, 1), propose(2, 4, "b"), snapshot, claim(2, 2)]);
    let whole = folded(&records);
    for oldest in 1..=4 {
        let mut fold = ControlFold::new();
        fold.fold(ReadOutcome::Gone { oldest: Offset(oldest) }, &validate);
        assert!(fold.state().is_none());
        let folded = fold.fold(page(&records, oldest), &validate);
        assert!(folded.reached_end && !folded.state_lost);
        assert_eq!(fold.state(), Some(&whole), "from offset {oldest}");
    }
    let mut fold = ControlFold::new();
    fold.fold(ReadOutcome::Gone { oldest: Offset(5) }, &validate);
    let folded = fold.fold(page(&records, 5), &validate);
    assert!(folded.state_lost, "the record at offset 4 is in neither part");
}

/// Records in overlapping reads must be folded only once.
#[test]
fn overlapping_reads() {
    let records = [join(1), claim(1, 1), settled(1, 1), release(1, 1)];
    let mut fold = ControlFold::new();
    fold.fold(page(&records[..2], 0), &validate);
    fold.fold(page(&records, 1), &validate);
    fold.fold(page(&records[..3], 0), &validate);
    assert_eq!(fold.next(), Offset(4));
    assert_eq!(fold.state(), Some(&folded(&records)));
}

/// A record with an unknown encoding version must be skipped and counted.
#[test]
fn unknown_layout() {
    let mut bytes = join(1).encode();
    bytes[0] = 200;
    let records = vec![Record { offset: Offset(0), bytes }];
    let outcome = ReadOutcome::Page { records, next: Offset(1), end: true };
    let folded = ControlFold::new().fold(outcome, &validate);
    assert_eq!((folded.unreadable, folded.reached_end), (1, true));
}

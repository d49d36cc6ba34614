//! Reading a predecessor's journal: duplicate, late, expired and malformed records.

use {
    egretlb_log::{
        EntryKind, JournalBatch, JournalEntry, JournalReader, ReadOutcome, ReadStep, Record,
        RecoverError, StreamName,
    },
    egretlb_types::{Epoch, NodeId, Offset, Seq, ShardId},
};

const WRITER: NodeId = NodeId(7);
const SHARD: ShardId = ShardId(3);

fn batch(seq: u64, entries: &[(EntryKind, u64, u8)]) -> Vec<u8> {
    let entries = entries
        .iter()
        .map(|(kind, epoch, body)| JournalEntry {
            shard: SHARD,
            epoch: Epoch(*epoch),
            kind: *kind,
            body: vec![*body],
        })
        .collect();
    JournalBatch { writer: WRITER, seq: Seq(seq), entries }.encode()
}

fn page(from: u64, batches: &[Vec<u8>]) -> ReadOutcome {
    let records: Vec<Record> = (from..)
        .zip(batches)
        .map(|(offset, bytes)| Record { offset: Offset(offset), bytes: bytes.clone() })
        .collect();
    ReadOutcome::Page { next: Offset(from + batches.len() as u64), records, end: true }
}

fn reader() -> JournalReader {
    JournalReader::new(WRITER, [(SHARD, Epoch(1))])
}

fn bodies(reader: &JournalReader) -> Vec<u8> {
    let recovered = reader.recovered(SHARD, Epoch(1)).unwrap();
    recovered.snapshot.iter().chain(recovered.changes.iter().flatten()).copied().collect()
}

/// A duplicate record, even one delayed past later records, must not apply a change twice.
#[test]
fn drops_duplicate_records() {
    let first = batch(1, &[(EntryKind::Snapshot, 1, 10), (EntryKind::Change, 1, 11)]);
    let second = batch(2, &[(EntryKind::Change, 1, 12)]);
    let third = batch(3, &[(EntryKind::Change, 1, 13)]);
    let stream = [first.clone(), first, second.clone(), third, second];
    let mut reader = reader();
    assert_eq!(reader.fold(page(0, &stream)), ReadStep::End);
    assert_eq!(bodies(&reader), [10, 11, 12, 13]);
}

/// The latest snapshot replaces everything before it; entries of the shard's other epochs are
/// ignored.
#[test]
fn latest_snapshot_wins() {
    let stream = [
        batch(1, &[(EntryKind::Snapshot, 0, 1), (EntryKind::Change, 0, 2)]),
        batch(2, &[(EntryKind::Snapshot, 1, 10), (EntryKind::Change, 1, 11)]),
        batch(3, &[(EntryKind::Change, 0, 3), (EntryKind::Snapshot, 1, 20)]),
        batch(4, &[(EntryKind::Change, 1, 21)]),
    ];
    let mut reader = reader();
    reader.fold(page(0, &stream));
    assert_eq!(bodies(&reader), [20, 21]);
}

/// After the beginning of the journal expired, a later snapshot still recovers the shard; without
/// one the error reports the expiry and the remedy.
#[test]
fn reads_past_expired_records() {
    let retained = [batch(9, &[(EntryKind::Snapshot, 1, 30)])];
    let mut reader = reader();
    assert_eq!(reader.fold(ReadOutcome::Gone { oldest: Offset(40) }), ReadStep::More);
    assert_eq!(reader.next(), Offset(40));
    reader.fold(page(40, &retained));
    assert_eq!(bodies(&reader), [30]);

    let only_changes = [batch(9, &[(EntryKind::Change, 1, 31)])];
    let mut reader = self::reader();
    reader.fold(ReadOutcome::Gone { oldest: Offset(40) });
    reader.fold(page(40, &only_changes));
    let err = reader.recovered(SHARD, Epoch(1)).unwrap_err();
    assert_eq!(err, RecoverError::NoSnapshot { shard: SHARD, epoch: Epoch(1), expired: true });
    assert!(err.to_string().contains("lengthen the retention"));
}

/// Malformed records and those of another writer are counted and skipped; an unavailable log is
/// retried.
#[test]
fn skips_unreadable_records() {
    let foreign = JournalBatch { writer: NodeId(8), seq: Seq(1), entries: Vec::new() }.encode();
    let stream = [vec![1, 255, 255], foreign, batch(1, &[(EntryKind::Snapshot, 1, 10)])];
    let mut reader = reader();
    assert_eq!(reader.fold(ReadOutcome::Unavailable), ReadStep::Unavailable);
    reader.fold(page(0, &stream));
    assert_eq!((bodies(&reader), reader.unreadable()), (vec![10], 2));
}

/// Stream names are those that the platform's log accepts.
#[test]
fn stream_names() {
    assert_eq!(StreamName::control().as_str(), "control");
    assert_eq!(StreamName::journal(NodeId(12)).to_string(), "journal-12");
}

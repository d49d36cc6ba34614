//! Group commit: batching under load, immediate appends when idle, backoff during outages.

use {
    egretlb_log::{
        AppendOutcome, EntryKind, JournalAppend, JournalBatch, JournalEntry, JournalWriter,
        NotAppendedReason, PushError, WriterOptions,
    },
    egretlb_types::{Epoch, NodeId, Offset, ShardId, Ticket, Time},
    std::time::Duration,
};

const OK: AppendOutcome = AppendOutcome::Appended(Offset(0));
const DOWN: AppendOutcome = AppendOutcome::NotAppended(NotAppendedReason::Unreachable);

fn options() -> WriterOptions {
    WriterOptions::new(NodeId(7), 1)
}

fn entry(kind: EntryKind, len: usize) -> JournalEntry {
    JournalEntry { shard: ShardId(3), epoch: Epoch(1), kind, body: vec![1; len] }
}

fn change(len: usize) -> JournalEntry {
    entry(EntryKind::Change, len)
}

fn entry_count(append: &JournalAppend) -> usize {
    JournalBatch::decode(&append.bytes).unwrap().entries.len()
}

/// An entry pushed to an idle journal is appended without waiting for the flush interval.
#[test]
fn appends_immediately_when_idle() {
    let mut writer = JournalWriter::new(options());
    let now = Time::from_secs(5);
    writer.push(change(10), Ticket(1)).unwrap();
    let append = writer.poll(now).unwrap();
    assert_eq!(writer.answered(now, append.seq, OK).durable.as_slice(), [Ticket(1)]);
}

/// The append rate must stay bounded however many entries are pushed, or the log is overloaded.
#[test]
fn batches_entries_under_load() {
    for (per_second, writers) in [(44, 17), (440, 17), (4_400, 17)] {
        let mut writer = JournalWriter::new(options());
        let (mut appends, mut durable) = (0, 0);
        let mut pushed = 0;
        for ms in 0..10_000_u64 {
            let now = Time::from_millis(ms);
            while pushed * 1_000 < ms * per_second {
                writer.push(change(100), Ticket(pushed)).unwrap();
                pushed += 1;
            }
            if let Some(append) = writer.poll(now) {
                appends += 1;
                durable += writer.answered(now, append.seq, OK).durable.len() as u64;
            }
        }
        let total = appends * writers / 10;
        println!("entries/s/writer={per_second} appends/s of {writers} writers={total}");
        assert!(total <= 170);
        assert!(pushed - durable <= per_second / 5);
    }
}

/// After a lost response the same record is appended retry with the same sequence number, and its
/// entries become durable only once.
#[test]
fn repeats_append_with_unknown_outcome() {
    let mut writer = JournalWriter::new(options());
    writer.push(change(10), Ticket(1)).unwrap();
    let first = writer.poll(Time::ZERO).unwrap();
    assert!(writer.answered(Time::ZERO, first.seq, AppendOutcome::Unknown).durable.is_empty());
    writer.push(change(10), Ticket(2)).unwrap();
    assert_eq!(writer.poll(Time::from_millis(10)), None);
    let retry_at = writer.wake_at().unwrap();
    let retry = writer.poll(retry_at).unwrap();
    assert_eq!(retry, first);
    assert_eq!(writer.answered(retry_at, retry.seq, OK).durable.as_slice(), [Ticket(1)]);
    assert!(writer.answered(retry_at, retry.seq, OK).durable.is_empty());
    let next = writer.poll(retry_at + Duration::from_millis(100)).unwrap();
    assert_eq!(entry_count(&next), 1);
}

/// During an outage of the log, retries back off and excess entries are rejected. Afterwards the
/// backlog is appended in bounded batches, so that the log isn't overloaded retry.
#[test]
fn backs_off_during_outage() {
    let mut writer = JournalWriter::new(options().pending_bytes(2_000_000));
    let (mut tries, mut refused) = (0, 0);
    let hour = 3_600_000;
    for ms in (0..hour).step_by(10) {
        let now = Time::from_millis(ms);
        if writer.push(change(1_000), Ticket(ms)) == Err(PushError::Full { limit: 2_000_000 }) {
            refused += 1;
        }
        if let Some(append) = writer.poll(now) {
            tries += 1;
            writer.answered(now, append.seq, DOWN);
        }
    }
    println!("tries in an hour without the log={tries} refused={refused}");
    assert!(tries < 1_500 && tries > 700);
    assert!(refused > 300_000);
    assert!(writer.held_bytes() <= 2_000_000);
    let mut last = None;
    let mut batches = 0;
    for ms in (hour..hour + 20_000).step_by(10) {
        let now = Time::from_millis(ms);
        let Some(append) = writer.poll(now) else { continue };
        assert!(append.bytes.len() <= 256 * 1024 + 64);
        assert!(last.is_none_or(|last| now >= last + Duration::from_millis(100)));
        last = Some(now);
        batches += 1;
        writer.answered(now, append.seq, OK);
    }
    println!("batches of the backlog={batches}");
    assert_eq!(writer.held_bytes(), 0);
}

/// An entry that exceeds the size limit is rejected when it is pushed.
#[test]
fn rejects_too_large_entry() {
    let mut writer = JournalWriter::new(options().entry_bytes(1_000));
    let refused = writer.push(change(1_001), Ticket(1));
    assert_eq!(refused, Err(PushError::TooLarge { limit: 1_000 }));
}

/// Snapshots are requested before the old ones expire, a few at a time, and for a shard with many
/// changes. A shard that is no longer owned isn't requested.
#[test]
fn requests_snapshots_before_expiry() {
    let retention = Duration::from_secs(3_600);
    let mut writer = JournalWriter::new(options().retention(retention));
    let snapshot = |writer: &mut JournalWriter, now: Time, shard: ShardId| {
        let entry = JournalEntry { shard, ..entry(EntryKind::Snapshot, 100) };
        writer.push(entry, Ticket(1)).unwrap();
        if let Some(append) = writer.poll(now) {
            writer.answered(now, append.seq, OK);
        }
    };
    let mut sent = [Time::ZERO; 20];
    for shard in 0..20 {
        snapshot(&mut writer, Time::from_secs(shard), ShardId(shard as u16));
    }
    writer.forget(ShardId(19));
    let mut oldest = Duration::ZERO;
    for secs in 20..20_000 {
        let now = Time::from_secs(secs);
        let due = writer.snapshots_due(now);
        assert!(due.len() <= 2 && !due.contains(&ShardId(19)));
        for shard in due {
            snapshot(&mut writer, now, shard);
            sent[usize::from(shard.0)] = now;
        }
        let age = sent[..19].iter().map(|at| now.since(*at)).max().unwrap();
        oldest = oldest.max(age);
    }
    println!("oldest snapshot {oldest:?} of a retention of {retention:?}");
    assert!(oldest <= retention / 4 + Duration::from_secs(30));
    let now = Time::from_secs(20_001);
    for ticket in 0..30 {
        let large_change = JournalEntry { shard: ShardId(4), ..change(10_000) };
        writer.push(large_change, Ticket(ticket)).unwrap();
    }
    let append = writer.poll(now).unwrap();
    writer.answered(now, append.seq, OK);
    let append = writer.poll(now + Duration::from_millis(100)).unwrap();
    writer.answered(now, append.seq, OK);
    assert!(writer.snapshots_due(now).contains(&ShardId(4)));
}

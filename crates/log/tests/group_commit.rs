//! Group commit: few appends under load, at once when idle, bounded and paced while the log is down.

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

fn entries(append: &JournalAppend) -> usize {
    JournalBatch::decode(&append.bytes).unwrap().entries.len()
}

/// An entry on an idle journal leaves at once; a submission waits for nothing but the log.
#[test]
fn idle_at_once() {
    let mut writer = JournalWriter::new(options());
    let now = Time::from_secs(5);
    writer.push(change(10), Ticket(1)).unwrap();
    let append = writer.poll(now).unwrap();
    assert_eq!(writer.answered(now, append.seq, OK).durable.as_slice(), [Ticket(1)]);
}

/// 17 owners journal 750 entries a second between them, 250 starts of three entries each. If each
/// entry were an append, the log would be past what it takes; as batches they stay under 200 a
/// second whatever the load.
#[test]
fn load_gathers() {
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

/// The answer to an append is lost. The same record with the same number goes out again, and its
/// entries count as durable only once.
#[test]
fn unknown_again() {
    let mut writer = JournalWriter::new(options());
    writer.push(change(10), Ticket(1)).unwrap();
    let first = writer.poll(Time::ZERO).unwrap();
    assert!(writer.answered(Time::ZERO, first.seq, AppendOutcome::Unknown).durable.is_empty());
    writer.push(change(10), Ticket(2)).unwrap();
    assert_eq!(writer.poll(Time::from_millis(10)), None);
    let at = writer.wake_at().unwrap();
    let again = writer.poll(at).unwrap();
    assert_eq!(again, first);
    assert_eq!(writer.answered(at, again.seq, OK).durable.as_slice(), [Ticket(1)]);
    assert!(writer.answered(at, again.seq, OK).durable.is_empty());
    let next = writer.poll(at + Duration::from_millis(100)).unwrap();
    assert_eq!(entries(&next), 1);
}

/// The log is down for an hour and comes back. Meanwhile each writer tries at most every few
/// seconds; entries beyond the bound are refused; and the backlog goes out in bounded batches, at
/// most ten a second, so that 17 writers don't knock the log over again.
#[test]
fn outage_is_paced() {
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

/// One entry that no batch can hold is refused when it is pushed, not when it is too late.
#[test]
fn too_large() {
    let mut writer = JournalWriter::new(options().entry_bytes(1_000));
    let refused = writer.push(change(1_001), Ticket(1));
    assert_eq!(refused, Err(PushError::TooLarge { limit: 1_000 }));
}

/// Snapshots are asked for well before the log forgets them, a few at a time, and for a shard
/// whose journal has grown long. A shard that was given up isn't asked for.
#[test]
fn snapshots_in_time() {
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
        let long = JournalEntry { shard: ShardId(4), ..change(10_000) };
        writer.push(long, Ticket(ticket)).unwrap();
    }
    let append = writer.poll(now).unwrap();
    writer.answered(now, append.seq, OK);
    let append = writer.poll(now + Duration::from_millis(100)).unwrap();
    writer.answered(now, append.seq, OK);
    assert!(writer.snapshots_due(now).contains(&ShardId(4)));
}

//! Which shard something belongs to, and which node a shard prefers.
//!
//! Every process must compute the same result, across versions too, so the hash is SipHash-1-3
//! with a fixed key from a library rather than the standard library's, which may change.

use {
    crate::ids::{ClassName, JobId, NodeId, Rack, RequestKey, ShardId},
    siphasher::sip::SipHasher13,
    std::hash::Hasher,
};

/// How many shards there are. Many more than schedulers, so that a lost scheduler's shards spread
/// over all the others; changing it means moving all state.
pub const SHARD_COUNT: u16 = 256;

/// Keeps a job, a rack, a class and a key of one name from always sharing a shard.
#[derive(Clone, Copy)]
enum Kind {
    Job = 1,
    Rack = 2,
    Class = 3,
    Key = 4,
    Rendezvous = 5,
}

fn hash(kind: Kind, parts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u8(kind as u8);
    for part in parts {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    hasher.finish()
}

fn shard(hash: u64) -> ShardId {
    ShardId((hash % u64::from(SHARD_COUNT)) as u16)
}

/// The shard that keeps a job and its tasks.
pub fn shard_of_job(job: &JobId) -> ShardId {
    shard(hash(Kind::Job, &[job.as_str().as_bytes()]))
}

/// The shard whose owner commits the capacity of a rack's VMs.
pub fn shard_of_rack(rack: &Rack) -> ShardId {
    shard(hash(Kind::Rack, &[rack.as_str().as_bytes()]))
}

/// The shard whose owner decides how many replicas a service class has.
pub fn shard_of_class(class: &ClassName) -> ShardId {
    shard(hash(Kind::Class, &[class.as_str().as_bytes()]))
}

/// The shard that remembers a request key.
pub fn shard_of_key(key: &RequestKey) -> ShardId {
    shard(hash(Kind::Key, &[key.member.as_str().as_bytes(), key.text.as_bytes()]))
}

/// How much `node` is preferred as owner of `shard`; the highest score wins. When a node goes,
/// only its shards move.
pub fn rendezvous_score(shard: ShardId, node: NodeId) -> u64 {
    hash(Kind::Rendezvous, &[&shard.0.to_le_bytes(), &node.0.to_le_bytes()])
}

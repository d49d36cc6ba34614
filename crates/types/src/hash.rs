//! Maps jobs, racks, classes and keys to shards, and shards to their preferred owners.
//!
//! All processes of all versions must compute the same result, so the hash is SipHash-1-3 with a
//! fixed key; the standard library's hash may change.

use {
    crate::ids::{ClassName, JobId, NodeId, Rack, RequestKey, ShardId},
    siphasher::sip::SipHasher13,
    std::hash::Hasher,
};

/// Number of shards. Far more than schedulers, so that the shards of a lost scheduler spread over
/// all others; changing it remaps all stored state.
pub const SHARD_COUNT: u16 = 256;

/// Domain separation: a job, a rack, a class and a key of the same name hash differently.
#[derive(Clone, Copy)]
enum HashDomain {
    Job = 1,
    Rack = 2,
    Class = 3,
    Key = 4,
    Rendezvous = 5,
}

fn hash(domain: HashDomain, parts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u8(domain as u8);
    for part in parts {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    hasher.finish()
}

fn shard(hash: u64) -> ShardId {
    ShardId((hash % u64::from(SHARD_COUNT)) as u16)
}

/// The shard that stores a job and its tasks.
pub fn shard_of_job(job: &JobId) -> ShardId {
    shard(hash(HashDomain::Job, &[job.as_str().as_bytes()]))
}

/// The shard whose owner allocates the capacity of a rack's VMs.
pub fn shard_of_rack(rack: &Rack) -> ShardId {
    shard(hash(HashDomain::Rack, &[rack.as_str().as_bytes()]))
}

/// The shard whose owner decides the number of replicas of a service class.
pub fn shard_of_class(class: &ClassName) -> ShardId {
    shard(hash(HashDomain::Class, &[class.as_str().as_bytes()]))
}

/// The shard that stores a request key.
pub fn shard_of_key(key: &RequestKey) -> ShardId {
    shard(hash(HashDomain::Key, &[key.member.as_str().as_bytes(), key.text.as_bytes()]))
}

/// Rendezvous-hashing score of `node` as owner of `shard`; the highest score wins. Removing a node
/// moves only its own shards.
pub fn rendezvous_score(shard: ShardId, node: NodeId) -> u64 {
    hash(HashDomain::Rendezvous, &[&shard.0.to_le_bytes(), &node.0.to_le_bytes()])
}

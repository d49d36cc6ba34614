//! Workers in racks and data centres, and the nodes that own their shards.

use {
    compact_str::format_compact,
    egretlb_types::{
        Accelerators, Authority, Epoch, Megabytes, MilliCores, NodeId, Rack, Resources,
        SHARD_COUNT, ShardId, Time, VmId, VmRecord, VmState, rendezvous_score,
    },
};

/// Workers per rack.
const WORKERS_PER_RACK: usize = 8;

/// Number of data centres.
const DATA_CENTRES: usize = 5;

/// Accelerators per worker, in thousandths: 1,700 accelerators for 1,300 workers.
const ACCELERATORS_PERMILLE: usize = 1_308;

/// Returns the resources of worker `n`; every third has accelerators.
pub fn worker_resources(n: usize) -> Resources {
    let accelerators =
        if n.is_multiple_of(3) { 3 * ACCELERATORS_PERMILLE / 1_000 + n % 2 } else { 0 };
    Resources {
        cpu: MilliCores(30_000),
        memory: Megabytes(125_000),
        accelerators: Accelerators(accelerators as u32),
    }
}

/// Returns the worker's id.
pub fn worker_id(n: usize) -> VmId {
    format_compact!("vm-{n:05}").parse().expect("a name")
}

/// Returns the worker's rack.
pub fn rack_of(n: usize) -> Rack {
    format_compact!("rack-{:04}", n / WORKERS_PER_RACK).parse().expect("a name")
}

/// Creates the platform's VM list of `workers` workers.
pub fn vm_list(workers: usize) -> Vec<VmRecord> {
    let record = |n: usize| VmRecord {
        vm: worker_id(n),
        addr: format_compact!("10.1.{}.{}:9000", n / 250, n % 250),
        data_centre: format_compact!("dc{}", n / WORKERS_PER_RACK % DATA_CENTRES)
            .parse()
            .expect("a name"),
        rack: rack_of(n),
        state: VmState::Live,
        capacity: worker_resources(n),
        slots: 8,
        connections: 64,
    };
    (0..workers).map(record).collect()
}

/// Returns the id of node `n`; ids are spread over the whole range like random ones.
pub fn node_id(n: usize) -> NodeId {
    NodeId((n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Returns the index of the preferred owner of a shard among `nodes` nodes.
pub fn owner(shard: ShardId, nodes: usize) -> usize {
    (0..nodes).max_by_key(|n| rendezvous_score(shard, node_id(*n))).unwrap_or(0)
}

/// Returns the shards of a node among `nodes` nodes.
pub fn shards_of(node: usize, nodes: usize) -> Vec<ShardId> {
    (0..SHARD_COUNT).map(ShardId).filter(|shard| owner(*shard, nodes) == node).collect()
}

/// Authority over a set of shards that never expires.
#[derive(Clone, Debug)]
pub struct Held(Vec<bool>);

impl Held {
    /// The epoch of each shard in the set.
    pub const EPOCH: Epoch = Epoch(1);

    /// Creates an authority over these shards.
    pub fn new(shards: &[ShardId]) -> Self {
        let mut held = vec![false; usize::from(SHARD_COUNT)];
        for shard in shards {
            held[usize::from(shard.0)] = true;
        }
        Held(held)
    }
}

impl Authority for Held {
    fn epoch_if_held(&self, _: Time, shard: ShardId) -> Option<Epoch> {
        self.0[usize::from(shard.0)].then_some(Held::EPOCH)
    }
}

//! Membership, shard ownership and configuration, folded from the control stream.

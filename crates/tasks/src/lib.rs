//! Jobs and tasks: leases, placement, eviction, quotas and recovery, as reducers.

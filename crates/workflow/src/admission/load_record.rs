//! The leader's estimate as recorded under the key `load`.

use {
    super::free_rooms::{FreeRooms, is_valid_count},
    crate::{Key, Record, RecordError},
    compact_str::CompactString,
    egretlb_types::Epoch,
    serde::{Deserialize, Serialize},
};

/// Version of the value's encoding. It is independent of that of the other records, which a process can't do without.
const FORMAT_VERSION: u8 = 1;

/// Maximum size of a value. Every process that follows the records reads it twice a second and may read 2 KB/s in all.
const MAX_BYTES: usize = 800;

/// Maximum number of routes in a record.
const MAX_ROUTES: usize = 32;

/// Estimated queueing delay of a route.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RouteLoad {
    /// The route.
    pub route: CompactString,
    /// Time until a new workflow's first task starts, in milliseconds, counting all work that is placed before it.
    pub delay_ms: u32,
    /// Like `delay_ms`, counting only work that is placed before a workflow that can still be in time.
    pub in_time_delay_ms: u32,
}

/// Estimated load of a service.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: CompactString,
    /// Time until all work that waits now has been started, in milliseconds.
    pub drained_ms: u32,
    /// Capacity that no task uses.
    pub free: FreeRooms,
    /// Its routes.
    pub routes: Vec<RouteLoad>,
}

/// Estimated load of all services with a backlog.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoadEstimate {
    /// Epoch of the leader that made it.
    pub epoch: Epoch,
    /// When it was made, in milliseconds since 1970.
    pub made_ms: u64,
    /// The services with a backlog.
    pub services: Vec<ServiceLoad>,
}

impl LoadEstimate {
    /// Encodes it as a record. If it is too large, only the routes with the longest delays are kept; `None` if a single one is
    /// too large.
    pub fn to_record(&self) -> Option<Record> {
        let mut kept = self.clone();
        let mut routes = MAX_ROUTES;
        loop {
            kept.keep_longest(routes);
            let mut value = vec![FORMAT_VERSION];
            // Serializing plain data into memory can't fail.
            value.extend(postcard::to_stdvec(&kept).unwrap_or_default());
            if value.len() <= MAX_BYTES {
                return Some(Record { key: Key::Load.to_bytes(), value });
            }
            routes /= 2;
            if routes == 0 {
                return None;
            }
        }
    }

    /// Keeps the routes with the longest delays.
    fn keep_longest(&mut self, routes: usize) {
        let loads = self.services.iter().flat_map(|load| &load.routes);
        let mut delays: Vec<u32> = loads.map(|load| load.delay_ms).collect();
        if delays.len() <= routes {
            return;
        }
        delays.sort_unstable_by(|left, right| right.cmp(left));
        let shortest = delays[routes - 1];
        let mut equal = delays[..routes].iter().filter(|delay| **delay == shortest).count();
        for load in &mut self.services {
            load.routes.retain(|load| {
                let fits = load.delay_ms == shortest && equal > 0;
                equal -= usize::from(fits);
                fits || load.delay_ms > shortest
            });
        }
        self.services.retain(|load| !load.routes.is_empty());
    }

    /// Decodes a record's value.
    ///
    /// # Errors
    ///
    /// The value has another format version, can't be decoded, or is beyond the limits.
    pub fn from_value(value: &[u8]) -> Result<LoadEstimate, RecordError> {
        match value.split_first() {
            Some((&FORMAT_VERSION, rest)) if value.len() <= MAX_BYTES => {
                let (estimate, rest): (LoadEstimate, &[u8]) =
                    postcard::take_from_bytes(rest).map_err(|_| RecordError::Broken)?;
                let valid_rooms = |load: &ServiceLoad| is_valid_count(load.free.len());
                let is_valid = rest.is_empty() && estimate.services.iter().all(valid_rooms);
                is_valid.then_some(estimate).ok_or(RecordError::Broken)
            }
            Some((&FORMAT_VERSION, _)) | None => Err(RecordError::Broken),
            Some((&version, _)) => Err(RecordError::UnsupportedVersion { version }),
        }
    }

    /// The longest delay of all routes, in milliseconds.
    pub fn max_delay_ms(&self) -> u32 {
        let routes = self.services.iter().flat_map(|load| &load.routes);
        routes.map(|load| load.delay_ms).max().unwrap_or(0)
    }

    /// The load of a service and of one of its routes, if it has a backlog.
    pub fn find(&self, service: &str, route: &str) -> Option<(&ServiceLoad, &RouteLoad)> {
        let service = self.services.iter().find(|load| load.service == service)?;
        Some((service, service.routes.iter().find(|load| load.route == route)?))
    }
}

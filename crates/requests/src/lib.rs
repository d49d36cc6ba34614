//! Requests under load: admission, queues, routing, retries, shares and request keys, as reducers.

//! Queues, limits, retries, quarantine and idempotency records.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

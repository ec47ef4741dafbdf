use serde::Deserialize;
use serde::Serialize;

/// Order in which queued requests start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueueOrder {
    /// Short requests have a lane of their own. Each lane runs the earliest deadline first, and the
    /// newest request first under overload.
    #[default]
    Lanes,
    /// In order of arrival.
    Fifo,
}

/// Location of the second copy of an idempotency record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordCopies {
    /// On another host of the zone. Adds about 1 ms to a request; the loss of the zone loses the
    /// record.
    #[default]
    Zone,
    /// On a host of another zone. Adds 8 to 10 ms to a request; the record survives the loss of one
    /// zone.
    Region,
}

/// Class of requests that are shed together under overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShedClass {
    /// An idempotent request that is being retried.
    Retry,
    /// An idempotent request that is expected to run long.
    LongIdempotent,
    /// An idempotent request that is expected to be short.
    ShortIdempotent,
    /// A non-idempotent request.
    NonIdempotent,
}

/// Rules for queueing, shedding, retrying and deduplicating requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RefuseRules {
    /// Maximum number of requests that are queued for one target, 1 to 10,000.
    pub queue_limit: u32,
    /// Order in which queued requests start.
    pub queue_order: QueueOrder,
    /// Deadline in milliseconds of a request whose caller sets no shorter one, 10 to
    /// [`LONGEST_DEADLINE_MS`](crate::LONGEST_DEADLINE_MS).
    pub deadline_ms: u32,
    /// Classes in the order in which they are shed; classes that are not listed are shed last.
    pub shed_order: Vec<ShedClass>,
    /// Maximum number of retries as a share of the requests of the last seconds, 0 to 1.
    pub retry_budget: f64,
    /// Number of crashed targets after which the request that crashed them is quarantined, 1 to 10.
    pub crash_limit: u8,
    /// Time in milliseconds for which an idempotency record is kept and a resent request gets the
    /// recorded response, 1,000 to 86,400,000.
    pub resend_horizon_ms: u32,
    /// Maximum number of idempotency records of the service that one host owns, 1 to 1,000,000. At
    /// the limit, new non-idempotent requests are refused.
    pub record_limit: u32,
    /// Location of the second copy of an idempotency record.
    pub record_copies: RecordCopies,
    /// Whether all requests are treated as non-idempotent, whatever their method. For services
    /// whose `GET` or `PUT` has effects that must not be repeated.
    pub all_non_idempotent: bool,
}

impl Default for RefuseRules {
    fn default() -> Self {
        Self {
            queue_limit: 64,
            queue_order: QueueOrder::Lanes,
            deadline_ms: 1_000,
            shed_order: vec![
                ShedClass::Retry,
                ShedClass::LongIdempotent,
                ShedClass::ShortIdempotent,
                ShedClass::NonIdempotent,
            ],
            retry_budget: 0.1,
            crash_limit: 2,
            resend_horizon_ms: 600_000,
            record_limit: 100_000,
            record_copies: RecordCopies::Zone,
            all_non_idempotent: false,
        }
    }
}

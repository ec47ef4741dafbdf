use std::sync::Arc;
use std::time::Duration;

use gw_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::KeyRange;
use crate::RangeHolder;

/// What a target is told to do with a range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Serve the keys for a time that counts from the arrival of the order.
    Grant {
        /// How long.
        hold: Duration,
        /// The previous holder's handover token, which spares the warm-up.
        handover: Option<Arc<str>>,
    },
    /// Stop serving the keys and answer once running work on them has ended.
    Release,
}

/// An order to a target about a range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetOrder {
    /// Names the order among those of one granter.
    pub number: u64,
    /// The run of the target that is meant.
    pub holder: RangeHolder,
    /// The service.
    pub service: ServiceName,
    /// The keys.
    pub range: KeyRange,
    /// The fencing token.
    pub fence: u64,
    /// What to do.
    pub kind: OrderKind,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The target has carried it out.
    Done {
        /// The handover token in the answer to a release.
        handover: Option<Arc<str>>,
    },
    /// The target knows a higher fencing token.
    Refused,
    /// The order may have arrived, and may be carried out later.
    Unanswered,
    /// No byte of the order was sent.
    NotSent,
}

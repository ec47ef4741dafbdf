use std::sync::Arc;
use std::time::Duration;

use gw_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::KeyRange;
use crate::RangeHolder;

/// Instruction to a target about one range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Grants or renews a lease on the keys. The lease starts when the order arrives.
    Grant {
        /// Duration of the lease.
        hold: Duration,
        /// Handover token of the previous holder, which lets the target skip its warm-up.
        handover: Option<Arc<str>>,
    },
    /// Ends the lease. The target stops serving the keys and responds once running requests for
    /// them have finished.
    Release,
}

/// An order of the leader to one target about one range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetOrder {
    /// Number of the order, unique for one granter.
    pub number: u64,
    /// Run of the target that the order is addressed to.
    pub holder: RangeHolder,
    /// Service that the keys belong to.
    pub service: ServiceName,
    /// Range that is granted or released.
    pub range: KeyRange,
    /// Fencing token of the assignment. The target refuses the order if it knows a higher one.
    pub fence: u64,
    /// Whether the lease is granted or ended.
    pub kind: OrderKind,
}

/// Outcome of an order, as the sender knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The target confirmed the order.
    Done {
        /// Handover token from the response to a release, if the target returned one.
        handover: Option<Arc<str>>,
    },
    /// The target refused the order, since it knows a higher fencing token.
    Refused,
    /// No response arrived. The order may have taken effect, or may still do so.
    Unanswered,
    /// No byte of the order was sent, so it cannot take effect.
    NotSent,
}

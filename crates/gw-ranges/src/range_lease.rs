use std::sync::Arc;

use gw_types::Timestamp;

use crate::KeyRange;
use crate::RangeHolder;

/// Progress of a range's move to another holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum MoveStage {
    /// No move is in progress, or the one in the table is being cancelled.
    Stable,
    /// The move is announced; entry hosts stop sending requests for the range.
    Announced {
        /// Time from which the release order may be sent.
        release_at: Timestamp,
    },
    /// The holder has confirmed the release.
    Released {
        /// Handover token from the holder's response, if it returned one.
        handover: Option<Arc<str>>,
    },
}

/// Lease state that the granter keeps for one assignment of the table.
#[derive(Clone, Debug)]
pub(crate) struct RangeLease {
    pub(crate) range: KeyRange,
    pub(crate) holder: RangeHolder,
    pub(crate) fence: u64,
    /// Latest time until which the holder may serve the keys, unless it has released them.
    /// Decreases only when a grant turns out not to have been sent.
    pub(crate) expires_at: Timestamp,
    /// Value of `expires_at` before the pending grant.
    pub(crate) previous_expiry: Timestamp,
    /// Time at which the granter first saw this assignment.
    pub(crate) learned_at: Timestamp,
    /// Latest time until which an unanswered grant may be in effect. Such a grant may take effect
    /// late, even after a release. It is ruled out once the holder has confirmed a grant with a
    /// higher fencing token, since it then refuses the late one.
    pub(crate) uncertain_until: Timestamp,
    /// Time at which the next order is due.
    pub(crate) next_order_at: Timestamp,
    /// Number of the order that has been sent and not completed.
    pub(crate) pending_order: Option<u64>,
    /// When the last order was sent.
    pub(crate) ordered_at: Timestamp,
    /// Whether the pending order is a release, which cannot extend the lease.
    pub(crate) is_release_pending: bool,
    /// Number of consecutive orders that were not sent or not answered.
    pub(crate) consecutive_failures: u32,
    /// Whether the holder has confirmed a grant.
    pub(crate) is_confirmed: bool,
    /// Whether the holder needs a new fencing token before the next grant: it refused the current
    /// one, a grant under it was not answered, or the assignment predates this leader. Also set to
    /// merge adjacent ranges of one holder under a common token.
    pub(crate) needs_new_fence: bool,
    pub(crate) stage: MoveStage,
    /// Whether to cancel a move that an earlier leader announced. The holder may have confirmed the
    /// release to that leader, in which case nobody serves the keys.
    pub(crate) cancels_move: bool,
    /// Handover token to send with the first grant.
    pub(crate) handover: Option<Arc<str>>,
    /// When the command that ends this lease was proposed; `None` if none is pending.
    pub(crate) proposed_at: Option<Timestamp>,
}

use std::sync::Arc;

use gw_types::Timestamp;

use crate::KeyRange;
use crate::RangeHolder;

/// How far the move of a range has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum MoveStage {
    /// No move.
    Held,
    /// Announced; hosts stop sending.
    Settling {
        /// When the release may be sent.
        until: Timestamp,
    },
    /// The holder has confirmed the release.
    Released {
        /// The handover token.
        handover: Option<Arc<str>>,
    },
}

/// What the granter knows of one assignment.
#[derive(Clone, Debug)]
pub(crate) struct RangeLease {
    pub(crate) range: KeyRange,
    pub(crate) holder: RangeHolder,
    pub(crate) fence: u64,
    /// The holder may serve the keys up to then, unless it has released them. Decreases only when a
    /// grant turns out not to have been sent.
    pub(crate) held_until: Timestamp,
    /// What `held_until` was before the grant that is under way.
    pub(crate) held_before: Timestamp,
    /// When this assignment was learnt.
    pub(crate) since: Timestamp,
    /// A grant whose answer is missing may be carried out late, even after a release, and holds up
    /// to then. Over once the holder has taken a grant with a higher fencing token, since it then
    /// refuses the late one.
    pub(crate) unanswered_until: Timestamp,
    /// When the next order is due.
    pub(crate) next_order: Timestamp,
    /// The order that is under way.
    pub(crate) order: Option<u64>,
    /// Whether that order is a release, which gives nobody any time.
    pub(crate) is_releasing: bool,
    /// Orders in a row that failed.
    pub(crate) failures: u32,
    /// Whether a grant was answered.
    pub(crate) is_granted: bool,
    /// The fencing token must not be used again: the holder knows a higher one, or a grant under
    /// it is without an answer.
    pub(crate) needs_fence: bool,
    pub(crate) stage: MoveStage,
    /// The table has a next holder that an earlier leader named. The move is taken back: its
    /// release may have been answered to that leader, and then nobody serves the keys.
    pub(crate) takes_back: bool,
    /// Handover token for the first grant.
    pub(crate) handover: Option<Arc<str>>,
    /// Whether the change that ends this lease was proposed.
    pub(crate) proposed: Option<Timestamp>,
}

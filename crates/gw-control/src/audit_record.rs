use gw_profile::ChangeId;
use gw_profile::Revision;
use gw_types::FencingToken;
use gw_types::KeyHash;
use gw_types::ProfileName;
use gw_types::ServiceName;
use gw_types::TableVersion;
use gw_types::TargetName;
use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::OperatorName;
use crate::ProfileOutcome;
use crate::WallTime;

/// One entry of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Number of the record, one more than that of the record before. Pages of a query are
    /// delimited by it.
    pub sequence: u64,
    /// Time of the event by the clock of the host that proposed it.
    pub at: WallTime,
    /// The recorded event.
    pub event: AuditEvent,
}

/// An event in the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AuditEvent {
    /// An operator's profile change was accepted or refused. A resend of the change is not recorded
    /// again.
    Profile {
        /// Name of the changed profile.
        profile: ProfileName,
        /// The operator who sent the change.
        operator: OperatorName,
        /// The revision that the change was based on.
        base: Revision,
        /// Id of the change, the same in each resend.
        change_id: ChangeId,
        /// The outcome that was returned to the operator.
        result: ProfileOutcome,
    },
    /// Slots or a key changed their owner.
    Move {
        /// The zone whose leader made the move.
        zone: ZoneName,
        /// Scope, owners and cause of the move.
        record: MoveRecord,
    },
}

/// Ownership moves that a zone leader reports together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveBatch {
    /// Time of the moves by the clock of the zone leader.
    pub at: WallTime,
    /// The zone whose leader made the moves.
    pub zone: ZoneName,
    /// Version of the zone table that contains the moves. A batch whose number is not larger than
    /// that of the last recorded batch of the same term is skipped as a resend. A zone leader must
    /// therefore not send a batch before the previous one is answered.
    pub version: TableVersion,
    /// The moves in the order of their records.
    pub moves: Vec<MoveRecord>,
}

/// One change of ownership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveRecord {
    /// The service that the slots or the key belong to.
    pub service: ServiceName,
    /// The slots or the key that moved.
    pub scope: MoveScope,
    /// Owner before the move; absent if there was none.
    pub from: Option<TargetName>,
    /// Owner after the move; absent if the ownership was only revoked.
    pub to: Option<TargetName>,
    /// Fencing token of the grant or the revocation.
    pub token: FencingToken,
    /// Reason for the move.
    pub cause: MoveCause,
}

/// The slots or the key that a move covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MoveScope {
    /// A range of slots, from the first to the last, both inclusive.
    Slots(u16, u16),
    /// One key that has an owner of its own.
    Key(KeyHash),
}

/// Why ownership changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveCause {
    /// Slots without an owner were assigned to one.
    FirstAssignment,
    /// The previous owner was lost.
    TargetLost,
    /// The previous owner drains or leaves.
    TargetDraining,
    /// A target joined and received its share of the slots.
    TargetJoined,
    /// Load was evened out between targets.
    LoadBalance,
    /// A hot key got an owner of its own, separate from its slot.
    HotKeySplit,
    /// A key that is no longer hot returned to the owner of its slot.
    HotKeyMerge,
    /// The slot was delegated to another zone.
    Delegation,
}

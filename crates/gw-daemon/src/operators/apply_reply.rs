use gw_control::ProfileOutcome;
use serde::Deserialize;
use serde::Serialize;

/// Answer to `POST /v1/profiles/{name}` with a well-formed change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ApplyReply {
    /// Status 200: the change is accepted and synced by a majority of the control group.
    Accepted {
        /// ID of the change, as the request gave it.
        change_id: String,
        /// The new revision.
        revision: u64,
        /// Index of the change in the control log. Absent if the answering host has not applied the
        /// change yet or no longer keeps it in its history.
        index: Option<u64>,
    },
    /// Status 409: another change was accepted since the base revision.
    Conflict {
        /// ID of the change, as the request gave it.
        change_id: String,
        /// The current revision of the profile, made by that change.
        winner: u64,
        /// Operator who made that revision.
        operator: String,
        /// Time of that revision in milliseconds since 1970-01-01 UTC.
        at_ms: u64,
        /// The conflict as text.
        error: String,
    },
    /// Status 422: the change is invalid, whatever its base revision.
    Refused {
        /// ID of the change, as the request gave it.
        change_id: String,
        /// Why the change is invalid.
        error: String,
    },
    /// Status 504: the outcome was not known in time. The change may still be accepted. A resend
    /// with the same change ID returns the outcome.
    Unknown {
        /// ID of the change, as the request gave it.
        change_id: String,
        /// The state of the change as text, with what the operator can do.
        error: String,
    },
}

impl ApplyReply {
    /// Creates the answer for an outcome of the control log.
    pub(super) fn of(change_id: String, outcome: ProfileOutcome, index: Option<u64>) -> Self {
        match outcome {
            ProfileOutcome::Accepted { revision } => {
                Self::Accepted { change_id, revision: revision.0, index }
            }
            ProfileOutcome::Conflict { winner, operator, at } => Self::Conflict {
                change_id,
                winner: winner.0,
                error: format!("{operator} made revision {winner} at {at}"),
                operator: operator.to_string(),
                at_ms: at.0,
            },
            ProfileOutcome::Refused(reason) => {
                Self::Refused { change_id, error: reason.to_string() }
            }
        }
    }

    /// Returns the HTTP status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            Self::Accepted { .. } => 200,
            Self::Conflict { .. } => 409,
            Self::Refused { .. } => 422,
            Self::Unknown { .. } => 504,
        }
    }
}

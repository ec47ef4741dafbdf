use gw_control::AuditEvent;
use gw_control::AuditPage;
use gw_control::AuditRecord;
use gw_control::MoveCause;
use gw_control::MoveRecord;
use gw_control::MoveScope;
use gw_control::ProfileOutcome;
use serde::Deserialize;
use serde::Serialize;

/// One page of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditReport {
    /// Records that match the query, newest first.
    pub records: Vec<AuditEntry>,
    /// Value of `before` that requests the next page; absent on the last page.
    pub next: Option<u64>,
}

/// One record of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Sequence number, one higher for each record.
    pub sequence: u64,
    /// Time of the event in milliseconds since 1970-01-01 UTC.
    pub at_ms: u64,
    /// The recorded event.
    #[serde(flatten)]
    pub event: AuditEntryEvent,
}

/// An event of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum AuditEntryEvent {
    /// A profile change was accepted or refused.
    Profile {
        /// Name of the profile.
        profile: String,
        /// Operator who made the change.
        operator: String,
        /// Revision on which the change is based.
        base: u64,
        /// ID of the change.
        change_id: String,
        /// Outcome of the change as text.
        result: String,
    },
    /// The owner of slots or of a key changed.
    Move {
        /// Zone that holds the slots.
        zone: String,
        /// Service of the slots or the key.
        service: String,
        /// `FIRST-LAST` for slots, or `key HASH`.
        scope: String,
        /// Previous owner; absent if there was none.
        from: Option<String>,
        /// New owner; absent if there is none.
        to: Option<String>,
        /// Fencing token of the grant or revocation.
        token: u64,
        /// Reason of the move.
        cause: MoveCause,
    },
}

impl From<AuditPage> for AuditReport {
    fn from(page: AuditPage) -> Self {
        let records = page.records.iter().map(AuditEntry::of).collect();
        Self { records, next: page.next }
    }
}

impl AuditEntry {
    fn of(record: &AuditRecord) -> Self {
        let event = match &record.event {
            AuditEvent::Profile { profile, operator, base, change_id, result } => {
                AuditEntryEvent::Profile {
                    profile: profile.to_string(),
                    operator: operator.to_string(),
                    base: base.0,
                    change_id: change_id.to_string(),
                    result: result_text(result),
                }
            }
            AuditEvent::Move { zone, record } => move_event(zone.to_string(), record),
        };
        Self { sequence: record.sequence, at_ms: record.at.0, event }
    }
}

fn move_event(zone: String, record: &MoveRecord) -> AuditEntryEvent {
    AuditEntryEvent::Move {
        zone,
        service: record.service.to_string(),
        scope: match record.scope {
            MoveScope::Slots(first, last) => format!("{first}-{last}"),
            MoveScope::Key(key) => format!("key {key}"),
        },
        from: record.from.as_ref().map(ToString::to_string),
        to: record.to.as_ref().map(ToString::to_string),
        token: record.token.as_u64(),
        cause: record.cause,
    }
}

fn result_text(result: &ProfileOutcome) -> String {
    match result {
        ProfileOutcome::Accepted { revision } => format!("accepted as revision {revision}"),
        ProfileOutcome::Conflict { winner, operator, .. } => {
            format!("conflict with revision {winner} of {operator}")
        }
        ProfileOutcome::Refused(reason) => format!("refused: {reason}"),
    }
}

use gw_types::KeyHash;
use gw_types::ProfileName;
use gw_types::ServiceName;
use gw_types::SlotIndex;
use gw_types::TargetName;

use crate::AuditEvent;
use crate::AuditRecord;
use crate::MoveRecord;
use crate::MoveScope;
use crate::WallTime;

/// Selects records of the audit trail. A record must pass every filter that is set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditQuery {
    /// Records at this time or later.
    pub from: Option<WallTime>,
    /// Records before this time.
    pub until: Option<WallTime>,
    /// Moves of this service.
    pub service: Option<ServiceName>,
    /// Moves of this key, on its own or together with its slot.
    pub key: Option<KeyHash>,
    /// Moves of this slot or of a key in it.
    pub slot: Option<SlotIndex>,
    /// Moves from or to this target.
    pub target: Option<TargetName>,
    /// Changes of this profile.
    pub profile: Option<ProfileName>,
    /// Records with a smaller sequence number than this. Set to [`AuditPage::next`] of the previous
    /// page to continue a query.
    pub before: Option<u64>,
    /// Maximum number of records on the page; 1 to 1,000, other values are clamped.
    pub limit: usize,
}

/// One page of the answer to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditPage {
    /// Matching records, newest first.
    pub records: Vec<AuditRecord>,
    /// [`AuditQuery::before`] of the next page; absent on the last page.
    pub next: Option<u64>,
}

impl AuditQuery {
    /// Whether `record` passes all filters that are set.
    pub fn matches(&self, record: &AuditRecord) -> bool {
        let is_in_time = self.from.is_none_or(|from| record.at >= from)
            && self.until.is_none_or(|until| record.at < until);
        let is_in_page = self.before.is_none_or(|before| record.sequence < before);
        is_in_time && is_in_page && self.matches_event(&record.event)
    }

    fn matches_event(&self, event: &AuditEvent) -> bool {
        match event {
            AuditEvent::Profile { profile, .. } => {
                let is_for_moves = self.service.is_some()
                    || self.key.is_some()
                    || self.slot.is_some()
                    || self.target.is_some();
                !is_for_moves && self.profile.as_ref().is_none_or(|wanted| wanted == profile)
            }
            AuditEvent::Move { record, .. } => self.profile.is_none() && self.matches_move(record),
        }
    }

    fn matches_move(&self, record: &MoveRecord) -> bool {
        let has_target = |wanted: &TargetName| {
            record.from.as_ref() == Some(wanted) || record.to.as_ref() == Some(wanted)
        };
        self.service.as_ref().is_none_or(|wanted| *wanted == record.service)
            && self.target.as_ref().is_none_or(has_target)
            && self.slot.is_none_or(|slot| covers_slot(record.scope, slot))
            && self.key.is_none_or(|key| covers_key(record.scope, key))
    }
}

fn covers_slot(scope: MoveScope, slot: SlotIndex) -> bool {
    match scope {
        MoveScope::Slots(first, last) => (first..=last).contains(&slot.0),
        MoveScope::Key(key) => key.slot() == slot,
    }
}

fn covers_key(scope: MoveScope, wanted: KeyHash) -> bool {
    match scope {
        MoveScope::Slots(first, last) => (first..=last).contains(&wanted.slot().0),
        MoveScope::Key(key) => key == wanted,
    }
}

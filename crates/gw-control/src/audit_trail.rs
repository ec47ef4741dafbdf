use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::AuditEvent;
use crate::AuditPage;
use crate::AuditQuery;
use crate::AuditRecord;
use crate::WallTime;

/// Maximum number of kept records. The trail is part of the control state, so it takes memory on
/// every host. Without ownership moves, 2,700 profile changes a day fill it in about 4 days.
pub const AUDIT_LIMIT: usize = 10_000;

/// Maximum number of records on one page.
const MAX_PAGE_RECORDS: usize = 1_000;

/// Log of profile changes and ownership moves. The oldest records are dropped.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AuditTrail {
    /// In ascending order of sequence numbers, at most [`AUDIT_LIMIT`].
    records: VecDeque<AuditRecord>,
    /// Sequence number of the next record; never decreases.
    next_sequence: u64,
}

impl AuditTrail {
    pub(crate) fn add(&mut self, at: WallTime, event: AuditEvent) {
        if self.records.len() == AUDIT_LIMIT {
            self.records.pop_front();
        }
        self.records.push_back(AuditRecord { sequence: self.next_sequence, at, event });
        self.next_sequence += 1;
    }

    pub(crate) fn query(&self, query: &AuditQuery) -> AuditPage {
        let limit = query.limit.clamp(1, MAX_PAGE_RECORDS);
        let mut matches = self.records.iter().rev().filter(|record| query.matches(record));
        let records: Vec<_> = matches.by_ref().take(limit).cloned().collect();
        let has_more = matches.next().is_some();
        let next = records.last().filter(|_| has_more).map(|record| record.sequence);
        AuditPage { records, next }
    }
}

use std::sync::Arc;

use gw_dispatch::ClaimRecord;
use gw_dispatch::ClaimResponse;
use gw_dispatch::RecordState;
use gw_dispatch::RequestFingerprint;
use gw_dispatch::StoredAnswer;
use gw_types::HostId;

/// Result of one round of claim requests to the holders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoundResult {
    /// A majority of each group granted the claim: the request may be written.
    Won,
    /// The request was answered before.
    Answered(Arc<StoredAnswer>),
    /// The request ran or may have run, and its answer is not known.
    MayHaveRun,
    /// The key was used for another request.
    Mismatch,
    /// Another claim was granted before, and its outcome is not known yet.
    Contended,
    /// No majority, because some holders have reached their record or memory limit.
    Full,
    /// No majority, because holders did not respond or may have lost records by a restart.
    Unavailable,
}

/// Counts the holders' responses to one claim.
///
/// Invariant: [`RoundResult::Won`] requires grants of a majority of every group. Any two majorities
/// of a group share a holder, and a holder grants one claim for a key, so at most one claim wins as
/// long as no holder loses its records.
#[derive(Clone, Debug)]
pub struct ClaimRound {
    groups: Vec<Vec<HostId>>,
    fingerprint: RequestFingerprint,
    granted: Vec<HostId>,
    refused: Vec<HostId>,
    is_contended: bool,
    is_full: bool,
}

impl ClaimRound {
    /// Creates a round among `groups`. Without groups, or with an empty group, it is never won.
    pub fn new(groups: Vec<Vec<HostId>>, fingerprint: RequestFingerprint) -> Self {
        Self {
            groups,
            fingerprint,
            granted: Vec::new(),
            refused: Vec::new(),
            is_contended: false,
            is_full: false,
        }
    }

    /// Returns the hosts of all groups, sorted and without duplicates.
    pub fn holders(&self) -> Vec<HostId> {
        let mut holders: Vec<_> = self.groups.iter().flatten().copied().collect();
        holders.sort();
        holders.dedup();
        holders
    }

    /// Records the response of one holder; only its first response counts. Returns the result as
    /// soon as the responses determine it.
    pub fn record_response(
        &mut self,
        from: HostId,
        response: ClaimResponse,
    ) -> Option<RoundResult> {
        if self.granted.contains(&from) || self.refused.contains(&from) {
            return None;
        }
        match response {
            ClaimResponse::Granted => self.granted.push(from),
            ClaimResponse::Conflict(record) => {
                if let Some(result) = self.conflict_result(&record) {
                    return Some(result);
                }
                self.is_contended = true;
                self.refused.push(from);
            }
            ClaimResponse::Incomplete => self.refused.push(from),
            ClaimResponse::Full => {
                self.is_full = true;
                self.refused.push(from);
            }
        }
        if self.has_won() {
            return Some(RoundResult::Won);
        }
        self.cannot_win().then(|| self.finish())
    }

    /// Returns the result of a round that was not won and for which no further response is awaited.
    pub fn finish(&self) -> RoundResult {
        match (self.is_contended, self.is_full) {
            (true, _) => RoundResult::Contended,
            (false, true) => RoundResult::Full,
            (false, false) => RoundResult::Unavailable,
        }
    }

    fn conflict_result(&self, record: &ClaimRecord) -> Option<RoundResult> {
        if record.fingerprint != self.fingerprint {
            return Some(RoundResult::Mismatch);
        }
        match &record.state {
            RecordState::AboutToRun | RecordState::Running => None,
            RecordState::Answered(answer) => Some(RoundResult::Answered(answer.clone())),
            RecordState::AnswerNotStored | RecordState::Unknown => Some(RoundResult::MayHaveRun),
        }
    }

    fn has_won(&self) -> bool {
        let has_majority = |group: &Vec<HostId>| {
            let grants = group.iter().filter(|host| self.granted.contains(host));
            grants.count() > group.len() / 2
        };
        !self.groups.is_empty() && self.groups.iter().all(has_majority)
    }

    /// Whether a majority of some group can no longer grant the claim.
    fn cannot_win(&self) -> bool {
        let has_no_majority = |group: &Vec<HostId>| {
            let remaining = group.iter().filter(|host| !self.refused.contains(host));
            remaining.count() <= group.len() / 2
        };
        self.groups.iter().any(has_no_majority)
    }
}

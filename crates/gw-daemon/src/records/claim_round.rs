use std::sync::Arc;

use gw_dispatch::ClaimRecord;
use gw_dispatch::ClaimResponse;
use gw_dispatch::RecordState;
use gw_dispatch::RequestFingerprint;
use gw_dispatch::StoredAnswer;
use gw_types::HostId;

/// Result of one round of asking the holders.
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
    /// Another claim is ahead and has not ended.
    Contended,
    /// Too few holders have room.
    Full,
    /// Too few holders answered with a grant.
    Unavailable,
}

/// Counts the holders' answers to one claim.
///
/// Invariant: [`RoundResult::Won`] only with grants of a majority of every group. Any two
/// majorities of a group share a holder, and a holder grants one claim for a key, so at most one
/// claim wins as long as no holder forgets.
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
    /// A round among `groups`. Without groups, or with an empty one, nothing is ever won.
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

    /// All hosts to ask, each once.
    pub fn holders(&self) -> Vec<HostId> {
        let mut holders: Vec<_> = self.groups.iter().flatten().copied().collect();
        holders.sort();
        holders.dedup();
        holders
    }

    /// Takes one holder's answer. Returns the result once the answers decide it.
    pub fn note(&mut self, from: HostId, answer: ClaimResponse) -> Option<RoundResult> {
        if self.granted.contains(&from) || self.refused.contains(&from) {
            return None;
        }
        match answer {
            ClaimResponse::Granted => self.granted.push(from),
            ClaimResponse::Conflict(record) => {
                if let Some(result) = self.result_of(&record) {
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
        self.is_lost().then(|| self.give_up())
    }

    /// The result when no further answer is waited for.
    pub fn give_up(&self) -> RoundResult {
        match (self.is_contended, self.is_full) {
            (true, _) => RoundResult::Contended,
            (false, true) => RoundResult::Full,
            (false, false) => RoundResult::Unavailable,
        }
    }

    fn result_of(&self, record: &ClaimRecord) -> Option<RoundResult> {
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
        let is_won = |group: &Vec<HostId>| {
            let grants = group.iter().filter(|host| self.granted.contains(host));
            grants.count() > group.len() / 2
        };
        !self.groups.is_empty() && self.groups.iter().all(is_won)
    }

    /// Whether some group can no longer give a majority.
    fn is_lost(&self) -> bool {
        let is_lost = |group: &Vec<HostId>| {
            let open = group.iter().filter(|host| !self.refused.contains(host));
            open.count() <= group.len() / 2
        };
        self.groups.iter().any(is_lost)
    }
}

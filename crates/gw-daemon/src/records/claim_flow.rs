use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gw_dispatch::ClaimId;
use gw_dispatch::ClaimRecord;
use gw_dispatch::RecordKey;
use gw_dispatch::RecordMessage;
use gw_dispatch::RecordState;
use gw_types::HostId;
use gw_types::ServiceName;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::ClaimRound;
use super::RecordReplicator;
use super::RoundResult;
use super::record_replicator::REPLY_QUEUE;
use crate::RecordClaim;
use crate::RecordDecision;

/// Longest time from the start of a round to its decision. A lost segment is sent again after about
/// 200 ms. A restarted holder relies on it: see [`SYNC_DELAY`](super::SYNC_DELAY).
pub const ROUND_TIMEOUT: Duration = Duration::from_millis(500);

/// Wait before a claim that another one was ahead of is made again, doubled up to the longest.
const FIRST_WAIT: Duration = Duration::from_millis(5);
const LONGEST_WAIT: Duration = Duration::from_millis(80);

/// Time before the deadline at which waiting for another claim ends, so that the answer `unknown`
/// reaches the caller in time.
const ANSWER_TIME: Duration = Duration::from_millis(20);

/// Claims of the requests that this host dispatches.
impl RecordReplicator {
    /// Claims a record: won, known, or refused by the claim's deadline.
    pub(super) async fn decide(self: Arc<Self>, claim: RecordClaim) -> RecordDecision {
        let key = RecordKey::of(&claim.service, &claim.idempotency_key);
        let latest = claim.deadline.checked_sub(ANSWER_TIME).unwrap_or(claim.deadline);
        let mut wait = FIRST_WAIT;
        let mut is_contended = false;
        loop {
            let keep = self.rules(&claim.service).keep_claimed;
            let now = self.state.now();
            let groups = {
                let inner = self.lock();
                let (scopes, service) = (&inner.scopes, &claim.service);
                scopes.groups(now, keep, &self.groups, service, key, claim.grant)
            };
            let Some(groups) = groups else { return RecordDecision::Unavailable };
            let round = ClaimRound::new(groups, claim.fingerprint);
            let holders = round.holders();
            let (id, result) = self.run_round(&claim, key, round, latest).await;
            match result {
                RoundResult::Won => {
                    return RecordDecision::Run(RecordClaim { id: Some(id), holders, ..claim });
                }
                RoundResult::Answered(answer) => return RecordDecision::Answered(answer),
                RoundResult::MayHaveRun => return RecordDecision::MayHaveRun,
                RoundResult::Mismatch => return RecordDecision::Mismatch,
                RoundResult::Contended => is_contended = true,
                RoundResult::Full if !is_contended => return RecordDecision::Full,
                RoundResult::Unavailable if !is_contended => return RecordDecision::Unavailable,
                RoundResult::Full | RoundResult::Unavailable => {}
            }
            if Instant::now() + wait >= latest {
                return RecordDecision::MayHaveRun;
            }
            // Two claims that split the holders between them must not meet again in step.
            let spread = u32::try_from(id.number % 4).unwrap_or(0) + u32::from(self.host.0 % 3);
            tokio::time::sleep(wait + wait * spread / 6).await;
            wait = (wait * 2).min(LONGEST_WAIT);
        }
    }

    /// Asks all holders once. The claim is released unless it is won.
    async fn run_round(
        self: &Arc<Self>,
        claim: &RecordClaim,
        key: RecordKey,
        mut round: ClaimRound,
        latest: Instant,
    ) -> (ClaimId, RoundResult) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let id = ClaimId { host: self.host, boot: self.boot, number };
        let (sender, mut answers) = mpsc::channel(REPLY_QUEUE);
        self.lock().waiting.insert(id, sender);
        let mut open = OpenRound {
            keeper: self,
            service: &claim.service,
            key,
            id,
            holders: round.holders(),
            is_won: false,
        };
        let (started, limit) = (self.state.now(), Instant::now() + ROUND_TIMEOUT);
        let state = RecordState::AboutToRun;
        let record = ClaimRecord { key, claim: id, fingerprint: claim.fingerprint, state };
        for holder in open.holders.clone() {
            let (service, record) = (claim.service.clone(), record.clone());
            self.send(holder, RecordMessage::Claim { service, record });
        }
        let result = loop {
            match tokio::time::timeout_at(limit.min(latest), answers.recv()).await {
                Ok(Some((from, answer))) => {
                    if let Some(result) = round.note(from, answer) {
                        break result;
                    }
                }
                Ok(None) | Err(_) => break round.give_up(),
            }
        };
        // The host's clock goes on while the process is suspended, the timer's does not.
        let is_late = self.state.now().since(started) >= ROUND_TIMEOUT;
        if result == RoundResult::Won && is_late {
            return (id, RoundResult::Unavailable);
        }
        open.is_won = result == RoundResult::Won;
        (id, result)
    }
}

/// Releases a claim that was not won, also when the waiting request is given up.
struct OpenRound<'a> {
    keeper: &'a RecordReplicator,
    service: &'a ServiceName,
    key: RecordKey,
    id: ClaimId,
    holders: Vec<HostId>,
    is_won: bool,
}

impl Drop for OpenRound<'_> {
    fn drop(&mut self) {
        self.keeper.lock().waiting.remove(&self.id);
        if self.is_won {
            return;
        }
        for holder in &self.holders {
            let (service, key, claim) = (self.service.clone(), self.key, self.id);
            self.keeper.send(*holder, RecordMessage::Release { service, key, claim });
        }
    }
}

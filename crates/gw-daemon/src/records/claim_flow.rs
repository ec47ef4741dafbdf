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
use super::record_replicator::RESPONSE_QUEUE_LEN;
use crate::RecordClaim;
use crate::RecordDecision;

/// Longest time from the start of a round to its decision. Leaves time for TCP to retransmit a lost
/// segment, which takes about 200 ms. [`SYNC_DELAY`](super::SYNC_DELAY) depends on this bound.
pub const ROUND_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before a claim that met another open claim is retried. Doubled with each retry up to
/// `MAX_RETRY_DELAY`.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(5);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(80);

/// How long before its deadline a claim stops waiting for another claim, so that the answer
/// `unknown` reaches the caller in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// Claims records for the requests that this host dispatches.
impl RecordReplicator {
    /// Claims a record, in as many rounds as the claim's deadline allows.
    pub(super) async fn claim(self: Arc<Self>, claim: RecordClaim) -> RecordDecision {
        let key = RecordKey::of(&claim.service, &claim.idempotency_key);
        let latest_decision = claim.deadline.checked_sub(ANSWER_MARGIN).unwrap_or(claim.deadline);
        let mut delay = MIN_RETRY_DELAY;
        let mut is_contended = false;
        loop {
            let retention = self.limits(&claim.service).claimed_retention;
            let now = self.state.now();
            let groups = {
                let inner = self.lock();
                let (scopes, service) = (&inner.scopes, &claim.service);
                scopes.groups(now, retention, &self.groups, service, key, claim.grant)
            };
            let Some(groups) = groups else { return RecordDecision::Unavailable };
            let round = ClaimRound::new(groups, claim.fingerprint);
            let holders = round.holders();
            let (id, result) = self.run_round(&claim, key, round, latest_decision).await;
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
            if Instant::now() + delay >= latest_decision {
                return RecordDecision::MayHaveRun;
            }
            // Different delays keep two claims that each won some of the holders from retrying at
            // the same time.
            let jitter = u32::try_from(id.number % 4).unwrap_or(0) + u32::from(self.host.0 % 3);
            tokio::time::sleep(delay + delay * jitter / 6).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Sends the claim to all holders once and collects their responses. Releases the claim unless
    /// it is won.
    async fn run_round(
        self: &Arc<Self>,
        claim: &RecordClaim,
        key: RecordKey,
        mut round: ClaimRound,
        latest_decision: Instant,
    ) -> (ClaimId, RoundResult) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let id = ClaimId { host: self.host, boot: self.boot, number };
        let (sender, mut responses) = mpsc::channel(RESPONSE_QUEUE_LEN);
        self.lock().open_rounds.insert(id, sender);
        let mut guard = RoundGuard {
            replicator: self,
            service: &claim.service,
            key,
            id,
            holders: round.holders(),
            is_won: false,
        };
        let (started, limit) = (self.state.now(), Instant::now() + ROUND_TIMEOUT);
        let state = RecordState::AboutToRun;
        let record = ClaimRecord { key, claim: id, fingerprint: claim.fingerprint, state };
        for holder in guard.holders.clone() {
            let (service, record) = (claim.service.clone(), record.clone());
            self.send(holder, RecordMessage::Claim { service, record });
        }
        let result = loop {
            match tokio::time::timeout_at(limit.min(latest_decision), responses.recv()).await {
                Ok(Some((from, response))) => {
                    if let Some(result) = round.record_response(from, response) {
                        break result;
                    }
                }
                Ok(None) | Err(_) => break round.finish(),
            }
        };
        // The host clock advances while the machine is suspended; the clock of the timer does not.
        let is_late = self.state.now().since(started) >= ROUND_TIMEOUT;
        if result == RoundResult::Won && is_late {
            return (id, RoundResult::Unavailable);
        }
        guard.is_won = result == RoundResult::Won;
        (id, result)
    }
}

/// Releases a claim that was not won when dropped, also if the request is cancelled.
struct RoundGuard<'a> {
    replicator: &'a RecordReplicator,
    service: &'a ServiceName,
    key: RecordKey,
    id: ClaimId,
    holders: Vec<HostId>,
    is_won: bool,
}

impl Drop for RoundGuard<'_> {
    fn drop(&mut self) {
        self.replicator.lock().open_rounds.remove(&self.id);
        if self.is_won {
            return;
        }
        for holder in &self.holders {
            let (service, key, claim) = (self.service.clone(), self.key, self.id);
            self.replicator.send(*holder, RecordMessage::Release { service, key, claim });
        }
    }
}

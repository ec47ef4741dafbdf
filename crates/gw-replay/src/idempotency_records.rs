use gw_dispatch::NotRunReason;
use gw_dispatch::RecordDecision;
use gw_dispatch::RecordKey;
use gw_dispatch::RecordOptions;
use gw_dispatch::RecordOutcome;
use gw_dispatch::RecordTable;
use gw_dispatch::RequestFingerprint;
use gw_dispatch::RequestOutcome;
use gw_dispatch::StoredAnswer;
use gw_dispatch::UnknownReason;
use gw_profile::RefuseRules;
use gw_types::Timestamp;

use crate::Scenario;
use crate::request_state::RequestState;

/// Memory limit for the records of one service, in bytes.
const RECORD_BYTES: usize = 256 << 20;

/// Idempotency records of non-idempotent requests.
///
/// Each service has one table of records and one table of their copies on another host. Hosts do
/// not fail in a replay, so one table stands for all owners of records.
pub(crate) struct IdempotencyRecords {
    /// Records of each service.
    owners: Vec<RecordTable>,
    /// Copies of the records of each service.
    holders: Vec<RecordTable>,
}

impl IdempotencyRecords {
    pub(crate) fn new(scenario: &Scenario, rules: &RefuseRules) -> Self {
        let options = RecordOptions::from_rules(rules, RECORD_BYTES);
        let tables = vec![RecordTable::new(options, 0); scenario.services.len()];
        Self { owners: tables.clone(), holders: tables }
    }

    /// Creates the record of a request and its copy.
    ///
    /// Returns the request's outcome as `Err` if it must not run, because of an earlier record or
    /// because no record can be made.
    pub(crate) fn begin(
        &mut self,
        now: Timestamp,
        request: usize,
        state: &RequestState,
    ) -> Result<(), RequestOutcome> {
        let (key, fingerprint) = (record_key(request), RequestFingerprint(request as u128));
        let owner = &mut self.owners[state.service];
        let copy = match owner.begin(now, key, state.key.slot(), fingerprint) {
            RecordDecision::Run(copy) => copy,
            RecordDecision::Answered(_) => return Err(RequestOutcome::Answered),
            RecordDecision::InProgress => {
                return Err(RequestOutcome::Unknown(UnknownReason::StillRunning));
            }
            RecordDecision::Unknown => {
                return Err(RequestOutcome::Unknown(UnknownReason::EarlierUnknown));
            }
            RecordDecision::AnswerNotStored => {
                return Err(RequestOutcome::Unknown(UnknownReason::AnswerNotStored));
            }
            RecordDecision::Refused(refusal) => {
                return Err(RequestOutcome::NotRun(refusal.into()));
            }
        };
        let ack = self.holders[state.service].store_copy(now, &copy);
        match ack.filter(|&ack| owner.confirm_copy(ack)) {
            Some(_) => Ok(()),
            None => {
                owner.abandon(now, key);
                Err(RequestOutcome::NotRun(NotRunReason::RecordUnavailable))
            }
        }
    }

    /// Marks a request as started, right before it is sent to a target.
    pub(crate) fn start(&mut self, now: Timestamp, request: usize, state: &RequestState) {
        let started = self.owners[state.service].start(now, record_key(request));
        started.expect("a queued write has a record with a confirmed copy");
    }

    /// Stores the result of a request that was started.
    pub(crate) fn finish(
        &mut self,
        now: Timestamp,
        request: usize,
        state: &RequestState,
        is_answered: bool,
    ) {
        let answer = StoredAnswer { status: 200, headers: Vec::new(), body: Vec::new().into() };
        let end =
            if is_answered { RecordOutcome::Answered(answer) } else { RecordOutcome::Unknown };
        let owner = &mut self.owners[state.service];
        if let Some(copy) = owner.finish(now, record_key(request), end) {
            self.holders[state.service].store_copy(now, &copy);
        }
    }

    /// Removes the record of a request that was not started, so that it may run when resent.
    pub(crate) fn abandon(&mut self, now: Timestamp, request: usize, state: &RequestState) {
        if let Some(copy) = self.owners[state.service].abandon(now, record_key(request)) {
            self.holders[state.service].store_copy(now, &copy);
        }
    }
}

fn record_key(request: usize) -> RecordKey {
    RecordKey(request as u128)
}

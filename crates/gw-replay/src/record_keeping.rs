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

/// Memory for the records of one service.
const RECORD_BYTES: usize = 256 << 20;

/// Idempotency records: one owner and one holder of copies for each service. Hosts are not lost in
/// a replay, so the slots' owners need not be told apart.
pub(crate) struct RecordKeeping {
    owners: Vec<RecordTable>,
    holders: Vec<RecordTable>,
}

impl RecordKeeping {
    pub(crate) fn new(scenario: &Scenario, rules: &RefuseRules) -> Self {
        let options = RecordOptions::from_rules(rules, RECORD_BYTES);
        let tables = vec![RecordTable::new(options, 0); scenario.services.len()];
        Self { owners: tables.clone(), holders: tables }
    }

    /// Makes the record of a request and its copy, or tells how the request ends.
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
        let held = self.holders[state.service].store_copy(now, &copy);
        match held.filter(|&held| owner.confirm_copy(held)) {
            Some(_) => Ok(()),
            None => {
                owner.abandon(now, key);
                Err(RequestOutcome::NotRun(NotRunReason::RecordUnavailable))
            }
        }
    }

    pub(crate) fn start(&mut self, now: Timestamp, request: usize, state: &RequestState) {
        let started = self.owners[state.service].start(now, record_key(request));
        started.expect("a queued write has a record with a copy");
    }

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

    pub(crate) fn abandon(&mut self, now: Timestamp, request: usize, state: &RequestState) {
        if let Some(copy) = self.owners[state.service].abandon(now, record_key(request)) {
            self.holders[state.service].store_copy(now, &copy);
        }
    }
}

fn record_key(request: usize) -> RecordKey {
    RecordKey(request as u128)
}

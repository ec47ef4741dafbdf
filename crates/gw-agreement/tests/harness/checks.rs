use std::collections::BTreeMap;
use std::collections::HashMap;

use gw_agreement::EntryPayload;
use gw_agreement::LogEntry;
use gw_agreement::LogIndex;
use gw_agreement::Term;
use gw_types::HostId;
use gw_types::Timestamp;

/// Property that does not hold in a schedule.
#[derive(Clone, Debug)]
pub(crate) enum Violation {
    /// A safety invariant is violated.
    Safety(String),
    /// The group does not recover after the faults have ended.
    Progress(String),
}

pub(crate) type CheckResult = Result<(), Violation>;

fn ensure(holds: bool, message: impl FnOnce() -> String) -> CheckResult {
    if holds { Ok(()) } else { Err(Violation::Safety(message())) }
}

/// Returns a hash of an entry's content.
pub(crate) fn entry_digest(entry: &LogEntry) -> u64 {
    hash_bytes(entry.term.0, &entry.encode())
}

fn hash_bytes(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3)
    })
}

/// Events that the schedules must exercise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CoveredEvent {
    Acknowledgement,
    Conflict,
    FailedWrite,
    InstalledSnapshot,
    Leader,
    MembershipApplied,
    Restart,
}

pub(crate) type Coverage = BTreeMap<CoveredEvent, u64>;

/// Safety invariants, checked against the observed behaviour of all replicas of a schedule.
#[derive(Default)]
pub(crate) struct InvariantChecks {
    /// Host and process run that led each term.
    leaders: HashMap<Term, (HostId, u32)>,
    /// Content hash and predecessor's term of each written entry.
    written: HashMap<(LogIndex, Term), (u64, Term)>,
    /// Hash chain of the applied entries up to each index.
    applied: BTreeMap<LogIndex, u64>,
    pub(crate) coverage: Coverage,
    /// Send time of the last round that a majority responded to, by the leader's term.
    confirmed: BTreeMap<Term, Timestamp>,
    /// Content hash of each entry whose commit was reported to its proposer.
    pub(crate) acknowledged: BTreeMap<LogIndex, u64>,
}

impl InvariantChecks {
    /// Checks that each term has at most one leader. A replica counts as another leader after a
    /// restart.
    pub(crate) fn check_leader(&mut self, term: Term, host: HostId, run: u32) -> CheckResult {
        if !self.leaders.contains_key(&term) {
            self.record_event(CoveredEvent::Leader);
        }
        let first = *self.leaders.entry(term).or_insert((host, run));
        ensure(first == (host, run), || format!("term {term} is led by both {first:?} and {host}"))
    }

    /// Checks log matching: entries of the same index and term have the same content and the same
    /// predecessor.
    pub(crate) fn check_write(&mut self, entry: &LogEntry, previous: Term) -> CheckResult {
        let found = (entry_digest(entry), previous);
        let first = *self.written.entry((entry.index, entry.term)).or_insert(found);
        ensure(first == found, || format!("entry {} of term {} differs", entry.index, entry.term))
    }

    /// Checks that all replicas apply the same entries in the same order, so that committed entries
    /// never change.
    pub(crate) fn check_applied(
        &mut self,
        host: HostId,
        index: LogIndex,
        hash_chain: u64,
    ) -> CheckResult {
        let first = *self.applied.entry(index).or_insert(hash_chain);
        ensure(first == hash_chain, || format!("{host} applies different entries up to {index}"))
    }

    pub(crate) fn record_event(&mut self, event: CoveredEvent) {
        *self.coverage.entry(event).or_default() += 1;
    }

    pub(crate) fn record_acknowledgement(&mut self, entry: &LogEntry) -> CheckResult {
        let is_command = matches!(entry.payload, EntryPayload::Command(_));
        ensure(is_command, || format!("acknowledged entry {} is not a command", entry.index))?;
        self.record_event(CoveredEvent::Acknowledgement);
        self.acknowledged.insert(entry.index, entry_digest(entry));
        Ok(())
    }

    /// Checks that `host`, which has applied the entries up to `index`, has applied all
    /// acknowledged proposals.
    pub(crate) fn check_acknowledged(&self, host: HostId, index: LogIndex) -> CheckResult {
        let last = self.acknowledged.last_key_value().map_or(LogIndex::ZERO, |(index, _)| *index);
        let message = || format!("{host} has applied up to {index}, but {last} is acknowledged");
        if index >= last { Ok(()) } else { Err(Violation::Progress(message())) }
    }

    /// Records that a majority responded to a round that the leader of `term` sent at `sent_at`.
    pub(crate) fn record_confirmation(&mut self, term: Term, sent_at: Timestamp) {
        let latest = self.confirmed.entry(term).or_insert(sent_at);
        *latest = sent_at.max(*latest);
    }

    /// Checks that no leader of an earlier term than `term` sent a round after `leaderless_since`
    /// that a majority responded to.
    pub(crate) fn check_leaderless_since(
        &self,
        term: Term,
        leaderless_since: Timestamp,
    ) -> CheckResult {
        let later = self.confirmed.range(..term).find(|(_, sent_at)| **sent_at > leaderless_since);
        ensure(later.is_none(), || {
            format!("{later:?} was confirmed, but {term} is leaderless since {leaderless_since:?}")
        })
    }

    /// Checks that no replica leads a later term while another leader claims a quorum.
    pub(crate) fn check_sole_quorum(&self, leaders: &[(HostId, Term, bool)]) -> CheckResult {
        for (host, term, _) in leaders.iter().filter(|(_, _, has_quorum)| *has_quorum) {
            let later = leaders.iter().find(|(_, other, _)| other > term);
            ensure(later.is_none(), || {
                format!("{host} claims a quorum in term {term}, but {later:?} leads")
            })?;
        }
        Ok(())
    }
}

/// Returns the hash chain of the applied entries extended by `entry`.
pub(crate) fn extend_hash_chain(hash_chain: u64, entry: &LogEntry) -> u64 {
    hash_bytes(hash_chain.rotate_left(7), &entry_digest(entry).to_le_bytes())
}

use std::collections::BTreeMap;
use std::collections::HashMap;

use gw_agreement::EntryPayload;
use gw_agreement::LogEntry;
use gw_agreement::LogIndex;
use gw_agreement::Term;
use gw_types::HostId;
use gw_types::Timestamp;

/// What a schedule has shown to be wrong.
#[derive(Clone, Debug)]
pub(crate) enum Violation {
    /// An invariant does not hold.
    Safety(String),
    /// The group does not recover after the faults.
    Progress(String),
}

pub(crate) type Checked = Result<(), Violation>;

fn ensure(holds: bool, message: impl FnOnce() -> String) -> Checked {
    if holds { Ok(()) } else { Err(Violation::Safety(message())) }
}

/// Hash of an entry's content.
pub(crate) fn digest(entry: &LogEntry) -> u64 {
    fold(entry.term.0, &entry.encode())
}

fn fold(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3)
    })
}

/// What schedules are meant to exercise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Covered {
    Acknowledgement,
    Conflict,
    FailedWrite,
    InstalledSnapshot,
    Leader,
    MembershipApplied,
    Restart,
}

pub(crate) type Coverage = BTreeMap<Covered, u64>;

/// What all replicas of one schedule have shown so far.
#[derive(Default)]
pub(crate) struct Checks {
    /// Host and run that led each term.
    leaders: HashMap<Term, (HostId, u32)>,
    /// Content and predecessor's term of each written entry.
    written: HashMap<(LogIndex, Term), (u64, Term)>,
    /// Hash of the applied entries up to each index.
    applied: BTreeMap<LogIndex, u64>,
    pub(crate) coverage: Coverage,
    /// When the last round that a majority answered was sent, by the term of its leader.
    confirmed: BTreeMap<Term, Timestamp>,
    /// Content of the proposals whose commit was reported to the proposer.
    pub(crate) acknowledged: BTreeMap<LogIndex, u64>,
}

impl Checks {
    /// At most one leader a term; a run after a restart counts as another.
    pub(crate) fn leads(&mut self, term: Term, host: HostId, run: u32) -> Checked {
        if !self.leaders.contains_key(&term) {
            self.cover(Covered::Leader);
        }
        let first = *self.leaders.entry(term).or_insert((host, run));
        ensure(first == (host, run), || format!("term {term} is led by {first:?} and {host}"))
    }

    /// Log matching: the same index and term mean the same entry and the same predecessor.
    pub(crate) fn writes(&mut self, entry: &LogEntry, previous: Term) -> Checked {
        let found = (digest(entry), previous);
        let first = *self.written.entry((entry.index, entry.term)).or_insert(found);
        ensure(first == found, || format!("entry {} of term {} differs", entry.index, entry.term))
    }

    /// Applied sequences are prefixes of each other, so committed entries never change.
    pub(crate) fn applies(&mut self, host: HostId, index: LogIndex, chain: u64) -> Checked {
        let first = *self.applied.entry(index).or_insert(chain);
        ensure(first == chain, || format!("{host} applies another history at {index}"))
    }

    pub(crate) fn cover(&mut self, what: Covered) {
        *self.coverage.entry(what).or_default() += 1;
    }

    pub(crate) fn acknowledge(&mut self, entry: &LogEntry) -> Checked {
        let is_command = matches!(entry.payload, EntryPayload::Command(_));
        ensure(is_command, || format!("acknowledged {} is no command", entry.index))?;
        self.cover(Covered::Acknowledgement);
        self.acknowledged.insert(entry.index, digest(entry));
        Ok(())
    }

    /// Acknowledged proposals are part of what `host` applied up to `index`.
    pub(crate) fn covers(&self, host: HostId, index: LogIndex) -> Checked {
        let last = self.acknowledged.last_key_value().map_or(LogIndex::ZERO, |(index, _)| *index);
        let message = || format!("{host} is at {index}, acknowledged is {last}");
        if index >= last { Ok(()) } else { Err(Violation::Progress(message())) }
    }

    /// Notes that a majority answered a round that the leader of `term` sent at `sent`.
    pub(crate) fn confirms(&mut self, term: Term, sent_at: Timestamp) {
        let latest = self.confirmed.entry(term).or_insert(sent_at);
        *latest = sent_at.max(*latest);
    }

    /// No leader of an earlier term sent a round after `quiet_since` that a majority answered.
    pub(crate) fn takes_over(&self, term: Term, quiet_since: Timestamp) -> Checked {
        let later = self.confirmed.range(..term).find(|(_, sent_at)| **sent_at > quiet_since);
        ensure(later.is_none(), || {
            format!("{later:?} was confirmed, but {term} counts as quiet since {quiet_since:?}")
        })
    }

    /// While one leader claims a quorum, no other replica leads a later term.
    pub(crate) fn sole_quorum(&self, leaders: &[(HostId, Term, bool)]) -> Checked {
        for (host, term, _) in leaders.iter().filter(|(_, _, has_quorum)| *has_quorum) {
            let later = leaders.iter().find(|(_, other, _)| other > term);
            ensure(later.is_none(), || {
                format!("{host} claims a quorum in term {term}, but {later:?} leads")
            })?;
        }
        Ok(())
    }
}

/// Hash chain over applied entries.
pub(crate) fn extend(chain: u64, entry: &LogEntry) -> u64 {
    fold(chain.rotate_left(7), &digest(entry).to_le_bytes())
}

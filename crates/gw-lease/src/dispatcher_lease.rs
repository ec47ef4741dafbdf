use std::collections::BTreeMap;

use gw_types::BootId;
use gw_types::HostId;
use gw_types::TableVersion;
use gw_types::TargetName;
use gw_types::TermNumber;
use gw_types::Timestamp;

use crate::DispatcherAnswer;
use crate::DispatcherGrant;
use crate::LeaseOptions;
use crate::sent_requests::SentRequests;

/// Leases of one dispatcher: the targets that a host may send requests to, and until when.
#[derive(Clone, Debug)]
pub struct DispatcherLease {
    host: HostId,
    boot: BootId,
    options: LeaseOptions,
    started: Timestamp,
    term: TermNumber,
    sequence: u64,
    answers: SentRequests,
    /// Lease ends of each target, with the lowest zone table version that each requires.
    leases: BTreeMap<TargetName, Vec<(TableVersion, Timestamp)>>,
    /// Set on shutdown. The host accepts no grant afterwards.
    closing: bool,
}

impl DispatcherLease {
    /// Creates the state of a host whose process started at `started`, without any lease.
    pub fn new(host: HostId, boot: BootId, options: LeaseOptions, started: Timestamp) -> Self {
        let answers = SentRequests::default();
        let leases = BTreeMap::new();
        let term = TermNumber(0);
        Self { host, boot, options, started, term, sequence: 0, answers, leases, closing: false }
    }

    /// Applies a grant and returns the answer. `idle` reports whether a target has no requests in
    /// flight.
    ///
    /// Returns `None` if the grant is outdated or addressed to another boot of the host.
    pub fn handle(
        &mut self,
        now: Timestamp,
        grant: &DispatcherGrant,
        idle: impl Fn(&TargetName) -> bool,
    ) -> Option<DispatcherAnswer> {
        if grant.boot != self.boot || (grant.term, grant.sequence) <= (self.term, self.sequence) {
            return None;
        }
        self.term = grant.term;
        self.sequence = grant.sequence;
        if !self.closing {
            self.revoke_omitted(&grant.targets, idle);
            self.extend_leases(now, grant);
        }
        Some(self.answer(now, &grant.targets))
    }

    fn revoke_omitted(&mut self, targets: &[TargetName], idle: impl Fn(&TargetName) -> bool) {
        self.leases.retain(|target, leases| {
            if targets.binary_search(target).is_ok() {
                return true;
            }
            leases.clear();
            !idle(target)
        });
    }

    fn extend_leases(&mut self, now: Timestamp, grant: &DispatcherGrant) {
        let Some(sent_at) = self.answers.sent_at(grant.echo) else { return };
        let start = if self.options.faults.count_from_receipt { now } else { sent_at };
        let end = start + grant.duration.min(self.options.lease);
        for target in &grant.targets {
            let leases = self.leases.entry(target.clone()).or_default();
            leases.retain(|(version, until)| now < *until && *version < grant.version);
            leases.push((grant.version, end));
        }
    }

    fn answer(&mut self, now: Timestamp, granted: &[TargetName]) -> DispatcherAnswer {
        let is_draining = |target: &&TargetName| granted.binary_search(target).is_err();
        DispatcherAnswer {
            host: self.host,
            boot: self.boot,
            term: self.term,
            sequence: self.sequence,
            number: self.answers.send(now),
            age: now.since(self.started),
            draining: self.leases.keys().filter(is_draining).cloned().collect(),
            closing: self.closing,
        }
    }

    /// Returns whether the host may send a request to `target` at `now` while it holds version
    /// `held` of the zone table.
    pub fn may_send(&self, now: Timestamp, target: &TargetName, held: TableVersion) -> bool {
        self.until(target, held).is_some_and(|until| now < until)
    }

    /// Returns when the lease of `target` ends for a host that holds version `held` of the zone
    /// table.
    pub fn until(&self, target: &TargetName, held: TableVersion) -> Option<Timestamp> {
        let usable = self.leases.get(target)?.iter().filter(|(version, _)| *version <= held);
        usable.map(|(_, until)| *until).max()
    }

    /// Releases all targets on shutdown. The host must have no requests in flight to them.
    ///
    /// Later grants are answered in the same way, so that a lost answer is repeated.
    pub fn release_all(&mut self, now: Timestamp) -> DispatcherAnswer {
        self.leases.clear();
        self.closing = true;
        self.answer(now, &[])
    }
}

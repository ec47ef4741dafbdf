use std::collections::BTreeMap;
use std::time::Duration;

use gw_types::BootId;
use gw_types::HostId;
use gw_types::TableVersion;
use gw_types::TargetName;
use gw_types::TermNumber;
use gw_types::Timestamp;

use crate::DispatcherAnswer;
use crate::DispatcherGrant;
use crate::LeaseOptions;

/// Why a target was not assigned to a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssignError {
    /// Another dispatcher may still send, or a request that it sent may still run.
    #[error("another dispatcher may send to the target until {0}")]
    Busy(Timestamp),
}

/// Dispatchers of a zone's targets as the zone leader tracks them.
#[derive(Clone, Debug)]
pub struct DispatcherGrantor {
    options: LeaseOptions,
    term: TermNumber,
    sequence: u64,
    version: TableVersion,
    /// Longest deadline that a request to a target may have; an old dispatcher that cannot be
    /// reached may have sent one at the end of its lease.
    longest_deadline: Duration,
    targets: BTreeMap<TargetName, TargetLease>,
    peers: BTreeMap<HostId, DispatcherPeer>,
}

#[derive(Clone, Copy, Debug)]
struct TargetLease {
    /// Absent when the target was between dispatchers in the table that this leader adopted: any
    /// host may be the one whose release an earlier leader waited for.
    host: Option<HostId>,
    /// Absent when the lease was inherited: the run of the host is not known.
    boot: Option<BootId>,
    /// Whether an earlier leader assigned the target, perhaps to an earlier run of the host.
    inherited: bool,
    /// The host may send before this time. Never decreases while the host keeps the target.
    until: Timestamp,
    /// Sequence of the first grant that leaves the target out.
    revoked: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct DispatcherPeer {
    boot: BootId,
    /// Number of the latest answer of this run.
    echo: u64,
    /// When that answer arrived. The dispatcher counts from when it sent it, which was earlier, so
    /// the lease of a dispatcher that answers no more ends although grants are still sent.
    heard: Timestamp,
    next: Timestamp,
}

impl DispatcherGrantor {
    /// The leases of a zone leader that starts now.
    ///
    /// `inherited` lists every target of the adopted table with the dispatcher that the table
    /// names. Each target may be in use for one lease from now; only the host that the table names
    /// may be assigned sooner.
    pub fn new(
        options: LeaseOptions,
        term: TermNumber,
        longest_deadline: Duration,
        now: Timestamp,
        inherited: impl IntoIterator<Item = (TargetName, Option<HostId>)>,
    ) -> Self {
        let until = now + options.with_margin(options.lease);
        let lease = |host| TargetLease { host, boot: None, inherited: true, until, revoked: None };
        let targets = inherited.into_iter().map(|(target, host)| (target, lease(host))).collect();
        let version = TableVersion { term, number: 0 };
        let peers = BTreeMap::new();
        Self { options, term, sequence: 0, version, longest_deadline, targets, peers }
    }

    /// Sets the version of the zone table that later grants require. Must be set before the first
    /// grant after each publication.
    pub fn set_version(&mut self, version: TableVersion) {
        self.version = self.version.max(version);
    }

    /// Sets the lengths of leases granted from now on. A new zone leader that knows the leases of
    /// the earlier term to have passed creates the table with a length of zero first.
    pub fn set_options(&mut self, options: LeaseOptions) {
        self.options = options;
    }

    /// The run of the host that a target is leased to; absent for an inherited lease.
    pub fn boot_of(&self, target: &TargetName) -> Option<BootId> {
        self.targets.get(target).and_then(|lease| lease.boot)
    }

    /// Assigns `target` to a run of a host, when no other host or run can send to it.
    pub fn assign(
        &mut self,
        now: Timestamp,
        target: &TargetName,
        host: HostId,
        boot: BootId,
    ) -> Result<(), AssignError> {
        if let Some(lease) = self.targets.get_mut(target) {
            let same_run = lease.host == Some(host) && lease.boot.is_none_or(|known| known == boot);
            let free_at = lease.until + self.options.with_margin(self.longest_deadline);
            if !same_run && now < free_at {
                return Err(AssignError::Busy(free_at));
            }
            if same_run {
                lease.boot = Some(boot);
                lease.revoked = None;
                self.ask(now, host, boot);
                return Ok(());
            }
        }
        let lease = TargetLease {
            host: Some(host),
            boot: Some(boot),
            inherited: false,
            until: now,
            revoked: None,
        };
        self.targets.insert(target.clone(), lease);
        self.ask(now, host, boot);
        Ok(())
    }

    fn ask(&mut self, now: Timestamp, host: HostId, boot: BootId) {
        let fresh = DispatcherPeer { boot, echo: 0, heard: now, next: now };
        let peer = self.peers.entry(host).or_insert(fresh);
        if peer.boot != boot {
            *peer = fresh;
        }
        peer.next = now;
    }

    /// Leaves `target` out of the next grants, so that its dispatcher confirms.
    pub fn revoke(&mut self, now: Timestamp, target: &TargetName) {
        let next = self.sequence + 1;
        let Some(lease) = self.targets.get_mut(target) else { return };
        lease.revoked.get_or_insert(next);
        if let Some(peer) = lease.host.and_then(|host| self.peers.get_mut(&host)) {
            peer.next = now;
        }
    }

    /// The dispatcher of a target that is not revoked.
    pub fn dispatcher(&self, target: &TargetName) -> Option<HostId> {
        self.targets
            .get(target)
            .filter(|lease| lease.revoked.is_none())
            .and_then(|lease| lease.host)
    }

    /// When the lease that was granted last for `target` ends on this clock, margin included.
    pub fn lease_end(&self, target: &TargetName) -> Option<Timestamp> {
        self.targets.get(target).map(|lease| lease.until)
    }

    /// The grants that are due. The zone leader must hold the zone's lease at this instant.
    pub fn tick(&mut self, now: Timestamp) -> Vec<(HostId, DispatcherGrant)> {
        let due: Vec<_> =
            self.peers.iter().filter(|(_, peer)| now >= peer.next).map(|(host, _)| *host).collect();
        due.into_iter().map(|host| (host, self.grant(now, host))).collect()
    }

    /// When [`tick`](Self::tick) has something to do.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.peers.values().map(|peer| peer.next).min()
    }

    fn grant(&mut self, now: Timestamp, host: HostId) -> DispatcherGrant {
        self.sequence += 1;
        let peer = self.peers.get_mut(&host).expect("due peers are known");
        peer.next = now + self.options.renewal;
        let peer = *peer;
        let until = peer.heard + self.options.with_margin(self.options.lease);
        let mut targets = Vec::new();
        for (target, lease) in &mut self.targets {
            let is_granted = lease.host == Some(host) && lease.boot == Some(peer.boot);
            if !is_granted || lease.revoked.is_some() {
                continue;
            }
            if peer.echo > 0 {
                lease.until = lease.until.max(until);
            }
            targets.push(target.clone());
        }
        DispatcherGrant {
            term: self.term,
            sequence: self.sequence,
            boot: peer.boot,
            echo: peer.echo,
            version: self.version,
            duration: self.options.lease,
            targets,
        }
    }

    /// Takes an answer. Returns the targets that the dispatcher confirmed to have given up.
    pub fn handle(&mut self, now: Timestamp, answer: &DispatcherAnswer) -> Vec<TargetName> {
        let Some(peer) = self.peers.get_mut(&answer.host) else { return Vec::new() };
        if answer.term != self.term || answer.boot != peer.boot || answer.number <= peer.echo {
            return Vec::new();
        }
        if peer.echo == 0 {
            peer.next = now;
        }
        peer.echo = answer.number;
        peer.heard = now;
        self.confirm(answer)
    }

    fn confirm(&mut self, answer: &DispatcherAnswer) -> Vec<TargetName> {
        let settled = self.options.with_margin(self.longest_deadline);
        // A confirmation counts only for a grant that left the target out: an earlier answer may
        // have been sent before the target was granted again.
        let is_confirmed = |target: &TargetName, lease: &TargetLease| {
            let own = lease.host == Some(answer.host) && lease.boot == Some(answer.boot);
            let after = lease.revoked.is_some_and(|sequence| answer.sequence >= sequence);
            // Requests of an earlier run, which this run does not know, have passed their deadline.
            let alone = !lease.inherited || answer.age >= settled;
            let idle = answer.draining.binary_search(target).is_err();
            own && alone && (answer.closing || (after && idle))
        };
        let mut confirmed = Vec::new();
        self.targets.retain(|target, lease| {
            let gone = is_confirmed(target, lease);
            if gone {
                confirmed.push(target.clone());
            }
            !gone
        });
        confirmed
    }
}

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

/// Error of [`DispatcherGrantor::assign`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssignError {
    /// Another dispatcher may still send to the target, or one of its requests may still be
    /// running. Holds the time at which neither is possible any more.
    #[error("another dispatcher may send to the target until {0}")]
    Busy(Timestamp),
}

/// Dispatcher leases of the targets of a zone, as the zone leader grants them.
#[derive(Clone, Debug)]
pub struct DispatcherGrantor {
    options: LeaseOptions,
    term: TermNumber,
    sequence: u64,
    version: TableVersion,
    /// Longest deadline of a request to a target. A dispatcher that cannot be reached may have sent
    /// one at the end of its lease.
    longest_deadline: Duration,
    targets: BTreeMap<TargetName, TargetLease>,
    peers: BTreeMap<HostId, DispatcherPeer>,
}

#[derive(Clone, Copy, Debug)]
struct TargetLease {
    /// `None` if the adopted table named no dispatcher. Any host may then hold the lease whose
    /// release an earlier leader was waiting for.
    host: Option<HostId>,
    /// `None` for an inherited lease, because the table does not record the boot ID of the host.
    boot: Option<BootId>,
    /// Whether an earlier leader assigned the target, possibly to an earlier boot of the host.
    inherited: bool,
    /// Time before which the host may send. Never decreases while the host keeps the target.
    until: Timestamp,
    /// Sequence number of the first grant that omits the target.
    revoked: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct DispatcherPeer {
    boot: BootId,
    /// Number of the latest answer of this boot.
    echo: u64,
    /// When that answer arrived. The dispatcher measures from the earlier time at which it sent the
    /// answer. The lease of a dispatcher that stopped answering therefore expires although grants
    /// are still sent.
    answered_at: Timestamp,
    next_grant: Timestamp,
}

impl DispatcherGrantor {
    /// Creates the grantor of a zone leader that starts at `now`.
    ///
    /// `inherited` lists every target of the adopted table with the dispatcher that the table
    /// names. Each target may be in use for one lease from `now`; until then it can be assigned
    /// only to the host that the table names.
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

    /// Raises the zone table version that later grants require. Must be called before the first
    /// grant after each publication.
    pub fn set_version(&mut self, version: TableVersion) {
        self.version = self.version.max(version);
    }

    /// Sets the lease lengths of later grants.
    ///
    /// A new zone leader that knows that the leases of the earlier term have expired creates the
    /// grantor with a lease length of zero and then sets the regular one.
    pub fn set_options(&mut self, options: LeaseOptions) {
        self.options = options;
    }

    /// Returns the boot ID of the host to which `target` is leased, or `None` for an inherited
    /// lease.
    pub fn boot_of(&self, target: &TargetName) -> Option<BootId> {
        self.targets.get(target).and_then(|lease| lease.boot)
    }

    /// Assigns `target` to one boot of a host.
    ///
    /// # Errors
    ///
    /// Returns [`AssignError::Busy`] while another host, or another boot of this host, may send to
    /// the target or may have a request running there.
    pub fn assign(
        &mut self,
        now: Timestamp,
        target: &TargetName,
        host: HostId,
        boot: BootId,
    ) -> Result<(), AssignError> {
        if let Some(lease) = self.targets.get_mut(target) {
            let is_same_boot =
                lease.host == Some(host) && lease.boot.is_none_or(|current| current == boot);
            let free_at = lease.until + self.options.with_margin(self.longest_deadline);
            if !is_same_boot && now < free_at {
                return Err(AssignError::Busy(free_at));
            }
            if is_same_boot {
                lease.boot = Some(boot);
                lease.revoked = None;
                self.schedule_grant(now, host, boot);
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
        self.schedule_grant(now, host, boot);
        Ok(())
    }

    fn schedule_grant(&mut self, now: Timestamp, host: HostId, boot: BootId) {
        let new_peer = DispatcherPeer { boot, echo: 0, answered_at: now, next_grant: now };
        let peer = self.peers.entry(host).or_insert(new_peer);
        if peer.boot != boot {
            *peer = new_peer;
        }
        peer.next_grant = now;
    }

    /// Omits `target` from later grants, so that its dispatcher confirms the revocation.
    pub fn revoke(&mut self, now: Timestamp, target: &TargetName) {
        let next = self.sequence + 1;
        let Some(lease) = self.targets.get_mut(target) else { return };
        lease.revoked.get_or_insert(next);
        if let Some(peer) = lease.host.and_then(|host| self.peers.get_mut(&host)) {
            peer.next_grant = now;
        }
    }

    /// Returns the host to which `target` is assigned, unless the assignment is revoked.
    pub fn dispatcher(&self, target: &TargetName) -> Option<HostId> {
        self.targets
            .get(target)
            .filter(|lease| lease.revoked.is_none())
            .and_then(|lease| lease.host)
    }

    /// Returns when the latest lease of `target` ends on this clock, including the drift margin.
    pub fn lease_end(&self, target: &TargetName) -> Option<Timestamp> {
        self.targets.get(target).map(|lease| lease.until)
    }

    /// Returns the grants that are due. The zone leader must hold the zone lease at `now`.
    pub fn tick(&mut self, now: Timestamp) -> Vec<(HostId, DispatcherGrant)> {
        let due: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| now >= peer.next_grant)
            .map(|(host, _)| *host)
            .collect();
        due.into_iter().map(|host| (host, self.grant(now, host))).collect()
    }

    /// Returns when [`tick`](Self::tick) has a grant to send.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.peers.values().map(|peer| peer.next_grant).min()
    }

    fn grant(&mut self, now: Timestamp, host: HostId) -> DispatcherGrant {
        self.sequence += 1;
        let peer = self.peers.get_mut(&host).expect("due peers are in the map");
        peer.next_grant = now + self.options.renewal;
        let peer = *peer;
        let until = peer.answered_at + self.options.with_margin(self.options.lease);
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

    /// Handles an answer and returns the targets that the dispatcher has confirmed to have
    /// released.
    pub fn handle(&mut self, now: Timestamp, answer: &DispatcherAnswer) -> Vec<TargetName> {
        let Some(peer) = self.peers.get_mut(&answer.host) else { return Vec::new() };
        if answer.term != self.term || answer.boot != peer.boot || answer.number <= peer.echo {
            return Vec::new();
        }
        if peer.echo == 0 {
            peer.next_grant = now;
        }
        peer.echo = answer.number;
        peer.answered_at = now;
        self.confirm(answer)
    }

    fn confirm(&mut self, answer: &DispatcherAnswer) -> Vec<TargetName> {
        let longest_deadline = self.options.with_margin(self.longest_deadline);
        // Only an answer to a grant that omits the target confirms its revocation: an earlier
        // answer may have been sent before the target was granted again.
        let is_confirmed = |target: &TargetName, lease: &TargetLease| {
            let is_holder = lease.host == Some(answer.host) && lease.boot == Some(answer.boot);
            let is_omitted = lease.revoked.is_some_and(|sequence| answer.sequence >= sequence);
            // Requests of an earlier boot, which the answering process does not know, have reached
            // their deadline by then.
            let is_only_boot = !lease.inherited || answer.age >= longest_deadline;
            let is_idle = answer.draining.binary_search(target).is_err();
            is_holder && is_only_boot && (answer.closing || (is_omitted && is_idle))
        };
        let mut confirmed = Vec::new();
        self.targets.retain(|target, lease| {
            let is_released = is_confirmed(target, lease);
            if is_released {
                confirmed.push(target.clone());
            }
            !is_released
        });
        confirmed
    }
}

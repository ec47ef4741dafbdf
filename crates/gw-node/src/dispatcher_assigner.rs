use std::time::Duration;

use gw_lease::DispatcherAnswer;
use gw_lease::DispatcherGrant;
use gw_lease::DispatcherLeases;
use gw_lease::LeaseOptions;
use gw_lease::drift_margin;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::TableVersion;
use gw_types::TargetEntry;
use gw_types::TargetName;
use gw_types::TargetState;
use gw_types::TermNumber;
use gw_types::Timestamp;
use gw_types::ZoneTable;

use crate::zone_leader::ZoneMember;

/// Time between two looks at whether the dispatchers have equal shares of the targets.
const BALANCE_INTERVAL: Duration = Duration::from_secs(1);
/// One target in this many changes its dispatcher in one such step. A single one would take minutes
/// in a zone of hundreds of targets, with a version of the table each second.
const BALANCE_FRACTION: usize = 16;
/// Time for which a new zone leader leaves its own share open for peers that it has not heard yet.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(600);

/// Which host of the zone sends to each target.
#[derive(Debug)]
pub(crate) struct DispatcherAssigner {
    leases: DispatcherLeases,
    next_balance: Timestamp,
    started: Timestamp,
    /// Targets that were taken from a dispatcher which may still send.
    revoked: Vec<TargetName>,
    /// Targets whose dispatcher has confirmed that it sends nothing more.
    released: Vec<TargetName>,
}

impl DispatcherAssigner {
    pub(crate) fn new(
        term: TermNumber,
        inherited_lease: Duration,
        now: Timestamp,
        table: &ZoneTable,
    ) -> Self {
        let inherited = table.targets.iter().map(|entry| (entry.name.clone(), entry.dispatcher));
        let options = LeaseOptions { lease: inherited_lease, ..LeaseOptions::dispatcher() };
        // A target keeps its owner's state whoever sends to it, so only the lease of the old
        // dispatcher has to pass. Handovers of slots wait for its requests by themselves.
        let mut leases = DispatcherLeases::new(options, term, Duration::ZERO, now, inherited);
        leases.set_options(LeaseOptions::dispatcher());
        Self {
            leases,
            next_balance: now + BALANCE_INTERVAL,
            started: now,
            revoked: Vec::new(),
            released: Vec::new(),
        }
    }

    /// Notes that a version of the zone table was made. Later grants require it.
    pub(crate) fn set_version(&mut self, version: TableVersion) {
        self.leases.set_version(version);
    }

    pub(crate) fn handle_answer(&mut self, now: Timestamp, answer: &DispatcherAnswer) {
        self.released.extend(self.leases.handle(now, answer));
    }

    /// The grants that are due, each with the time up to which the dispatcher may send. None lasts
    /// longer than the zone's lease. A dispatcher that does not answer counts from its last answer,
    /// however often it is sent a grant.
    pub(crate) fn grants(
        &mut self,
        now: Timestamp,
        lease_end: Timestamp,
    ) -> Vec<(HostId, DispatcherGrant, Timestamp)> {
        let due = self.leases.tick(now);
        let grants = due.into_iter();
        let grants = grants.map(|(host, mut grant)| {
            grant.duration = grant.duration.min(lease_end.since(now));
            let ends = grant.targets.iter().filter_map(|target| self.leases.lease_end(target));
            let limit = now + grant.duration + drift_margin(grant.duration);
            let until = ends.max().map_or(limit, |end| end.min(limit));
            (host, grant, until)
        });
        grants.collect()
    }

    /// Assigns targets that need a dispatcher. Returns the changes for the zone table.
    pub(crate) fn tick(
        &mut self,
        now: Timestamp,
        members: &[ZoneMember],
        table: &ZoneTable,
    ) -> Vec<(TargetName, Option<HostId>)> {
        let mut changes = Vec::new();
        for target in self.released.drain(..) {
            self.revoked.retain(|revoked| *revoked != target);
            changes.push((target, None));
        }
        self.revoke_lost(now, members, table, &mut changes);
        self.assign_free(now, members, table, &mut changes);
        self.balance(now, members, table);
        changes
    }

    /// Takes targets from hosts that do not answer or run anew.
    fn revoke_lost(
        &mut self,
        now: Timestamp,
        members: &[ZoneMember],
        table: &ZoneTable,
        changes: &mut Vec<(TargetName, Option<HostId>)>,
    ) {
        for entry in &table.targets {
            // A target that was released in this step still has its old dispatcher in the table.
            let is_released = changes.iter().any(|(target, _)| *target == entry.name);
            let Some(host) = entry.dispatcher.filter(|_| !is_released) else { continue };
            // A live dispatcher that is not ready is about to stop, and drains first.
            let is_live = members
                .iter()
                .any(|member| member.host == host && member.is_live && member.is_ready);
            let is_same_run = self.leases.boot_of(&entry.name).is_none_or(|boot| {
                members.iter().any(|member| member.host == host && member.boot == boot)
            });
            if is_live && is_same_run {
                self.keep(now, members, entry, host);
                continue;
            }
            let is_lost = members.iter().any(|member| member.host == host && member.is_lost);
            let may_be_late = now < self.started + PEER_DISCOVERY_TIME && is_same_run && !is_lost;
            if may_be_late {
                continue;
            }
            if !self.revoked.contains(&entry.name) {
                self.leases.revoke(now, &entry.name);
                self.revoked.push(entry.name.clone());
            }
            // A dispatcher that was lost while it was asked to confirm confirms nothing more, so
            // the table must not go on naming it.
            changes.push((entry.name.clone(), None));
        }
    }

    /// Renews an inherited dispatcher under this term.
    fn keep(&mut self, now: Timestamp, members: &[ZoneMember], entry: &TargetEntry, host: HostId) {
        let is_new = self.leases.boot_of(&entry.name).is_none();
        let member = members.iter().find(|member| member.host == host);
        if is_new && let Some(member) = member {
            // The same host keeps the target, so nothing has to be waited for.
            let _ = self.leases.assign(now, &entry.name, host, member.boot);
        }
    }

    fn assign_free(
        &mut self,
        now: Timestamp,
        members: &[ZoneMember],
        table: &ZoneTable,
        changes: &mut Vec<(TargetName, Option<HostId>)>,
    ) {
        let mut loads = self.loads(members, table);
        let free = table
            .targets
            .iter()
            .filter(|entry| entry.dispatcher.is_none() && entry.state != TargetState::Lost);
        for entry in free {
            let Some(best) = loads.iter_mut().min_by_key(|load| (load.count, load.host)) else {
                return;
            };
            if self.leases.assign(now, &entry.name, best.host, best.boot).is_ok() {
                best.count += 1;
                self.revoked.retain(|revoked| *revoked != entry.name);
                changes.retain(|(target, _)| *target != entry.name);
                changes.push((entry.name.clone(), Some(best.host)));
            }
        }
    }

    /// Takes targets from the hosts with the most while another has at least two fewer.
    fn balance(&mut self, now: Timestamp, members: &[ZoneMember], table: &ZoneTable) {
        if now < self.next_balance || !self.revoked.is_empty() {
            return;
        }
        self.next_balance = now + BALANCE_INTERVAL;
        let mut loads = self.loads(members, table);
        for _ in 0..(table.targets.len() / BALANCE_FRACTION).max(1) {
            let Some(fewest) = (0..loads.len()).min_by_key(|position| loads[*position].count)
            else {
                return;
            };
            let Some(most) = (0..loads.len()).max_by_key(|position| loads[*position].count) else {
                return;
            };
            if loads[most].count < loads[fewest].count + 2 {
                return;
            }
            let mut targets = table.targets.iter();
            let host = loads[most].host;
            let taken = targets.find(|entry| {
                entry.dispatcher == Some(host) && !self.revoked.contains(&entry.name)
            });
            let Some(entry) = taken else { return };
            self.leases.revoke(now, &entry.name);
            self.revoked.push(entry.name.clone());
            loads[most].count -= 1;
            loads[fewest].count += 1;
        }
    }

    fn loads(&self, members: &[ZoneMember], table: &ZoneTable) -> Vec<DispatcherLoad> {
        let live = members.iter().filter(|member| member.is_live && member.is_ready);
        let loads = live.map(|member| DispatcherLoad {
            host: member.host,
            boot: member.boot,
            count: table
                .targets
                .iter()
                .filter(|entry| entry.dispatcher == Some(member.host))
                .count(),
        });
        loads.collect()
    }
}

#[derive(Clone, Copy, Debug)]
struct DispatcherLoad {
    host: HostId,
    boot: BootId,
    count: usize,
}

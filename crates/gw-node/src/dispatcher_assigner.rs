use std::time::Duration;

use gw_lease::DispatcherAnswer;
use gw_lease::DispatcherGrant;
use gw_lease::DispatcherGrantor;
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

/// Interval of the steps that even out the number of targets per dispatcher.
const BALANCE_INTERVAL: Duration = Duration::from_secs(1);
/// One in this many targets, but at least one target, may change its dispatcher in one such step.
/// One target per step would take minutes in a zone with hundreds of targets and publish a new
/// table version each second.
const BALANCE_FRACTION: usize = 16;
/// Time for which a new zone leader leaves targets with their dispatchers although it has not heard
/// from these hosts yet.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(600);

/// Assigns each target of the zone to the host that sends requests to it. Runs on the zone leader.
#[derive(Debug)]
pub(crate) struct DispatcherAssigner {
    grantor: DispatcherGrantor,
    next_balance_step: Timestamp,
    started: Timestamp,
    /// Targets that were revoked from a dispatcher which may still send to them.
    revoked: Vec<TargetName>,
    /// Targets whose dispatcher has confirmed since the last tick that it no longer sends to them.
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
        // A change of dispatcher does not change the owner of any key, so only the lease of the old
        // dispatcher has to end first, not the requests that it sent. Handovers of slots wait for
        // those requests on their own.
        let mut grantor = DispatcherGrantor::new(options, term, Duration::ZERO, now, inherited);
        grantor.set_options(LeaseOptions::dispatcher());
        Self {
            grantor,
            next_balance_step: now + BALANCE_INTERVAL,
            started: now,
            revoked: Vec::new(),
            released: Vec::new(),
        }
    }

    /// Sets the latest version of the zone table, which later grants require dispatchers to have.
    pub(crate) fn set_version(&mut self, version: TableVersion) {
        self.grantor.set_version(version);
    }

    pub(crate) fn handle_answer(&mut self, now: Timestamp, answer: &DispatcherAnswer) {
        self.released.extend(self.grantor.handle(now, answer));
    }

    /// The grants that are due, each with the time up to which the dispatcher may send. No grant
    /// lasts longer than the zone's lease. The lease of a dispatcher that does not answer runs from
    /// its last answer, no matter how many grants are sent to it.
    pub(crate) fn grants(
        &mut self,
        now: Timestamp,
        lease_end: Timestamp,
    ) -> Vec<(HostId, DispatcherGrant, Timestamp)> {
        let due = self.grantor.tick(now);
        let grants = due.into_iter();
        let grants = grants.map(|(host, mut grant)| {
            grant.duration = grant.duration.min(lease_end.since(now));
            let ends = grant.targets.iter().filter_map(|target| self.grantor.lease_end(target));
            let limit = now + grant.duration + drift_margin(grant.duration);
            let until = ends.max().map_or(limit, |end| end.min(limit));
            (host, grant, until)
        });
        grants.collect()
    }

    /// Revokes, assigns and balances targets. Returns the changes for the zone table: each target
    /// with its new dispatcher, or none.
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
        self.assign_unassigned(now, members, table, &mut changes);
        self.balance(now, members, table);
        changes
    }

    /// Revokes targets from hosts that are unreachable, not ready, or have restarted.
    fn revoke_lost(
        &mut self,
        now: Timestamp,
        members: &[ZoneMember],
        table: &ZoneTable,
        changes: &mut Vec<(TargetName, Option<HostId>)>,
    ) {
        for entry in &table.targets {
            // The table still names the old dispatcher of a target that was released in this step.
            let is_released = changes.iter().any(|(target, _)| *target == entry.name);
            let Some(host) = entry.dispatcher.filter(|_| !is_released) else { continue };
            // A dispatcher that is reachable but not ready is shutting down. Its targets are
            // revoked so that it drains them before it stops.
            let is_live = members
                .iter()
                .any(|member| member.host == host && member.is_live && member.is_ready);
            let is_same_boot = self.grantor.boot_of(&entry.name).is_none_or(|boot| {
                members.iter().any(|member| member.host == host && member.boot == boot)
            });
            if is_live && is_same_boot {
                self.renew_inherited(now, members, entry, host);
                continue;
            }
            let is_lost = members.iter().any(|member| member.host == host && member.is_lost);
            let may_be_late = now < self.started + PEER_DISCOVERY_TIME && is_same_boot && !is_lost;
            if may_be_late {
                continue;
            }
            if !self.revoked.contains(&entry.name) {
                self.grantor.revoke(now, &entry.name);
                self.revoked.push(entry.name.clone());
            }
            // A dispatcher that is lost after the revocation will never confirm it, so the table
            // must stop naming it without the confirmation.
            changes.push((entry.name.clone(), None));
        }
    }

    /// Assigns a target that the table inherited from the previous term to its current dispatcher
    /// under this term.
    fn renew_inherited(
        &mut self,
        now: Timestamp,
        members: &[ZoneMember],
        entry: &TargetEntry,
        host: HostId,
    ) {
        let is_new = self.grantor.boot_of(&entry.name).is_none();
        let member = members.iter().find(|member| member.host == host);
        if is_new && let Some(member) = member {
            // The host stays the same, so no earlier lease has to end first.
            let _ = self.grantor.assign(now, &entry.name, host, member.boot);
        }
    }

    fn assign_unassigned(
        &mut self,
        now: Timestamp,
        members: &[ZoneMember],
        table: &ZoneTable,
        changes: &mut Vec<(TargetName, Option<HostId>)>,
    ) {
        let mut loads = self.loads(members, table);
        let unassigned = table
            .targets
            .iter()
            .filter(|entry| entry.dispatcher.is_none() && entry.state != TargetState::Lost);
        for entry in unassigned {
            let Some(best) = loads.iter_mut().min_by_key(|load| (load.count, load.host)) else {
                return;
            };
            if self.grantor.assign(now, &entry.name, best.host, best.boot).is_ok() {
                best.count += 1;
                self.revoked.retain(|revoked| *revoked != entry.name);
                changes.retain(|(target, _)| *target != entry.name);
                changes.push((entry.name.clone(), Some(best.host)));
            }
        }
    }

    /// Revokes targets from the hosts with the most targets while another host has at least two
    /// fewer. They are assigned to other hosts once released.
    fn balance(&mut self, now: Timestamp, members: &[ZoneMember], table: &ZoneTable) {
        if now < self.next_balance_step || !self.revoked.is_empty() {
            return;
        }
        self.next_balance_step = now + BALANCE_INTERVAL;
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
            self.grantor.revoke(now, &entry.name);
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

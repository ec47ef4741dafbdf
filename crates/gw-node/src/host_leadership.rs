use std::sync::Arc;
use std::time::Duration;

use gw_control::ControlCommand;
use gw_control::WallTime;
use gw_lease::DISPATCHER_LEASE;
use gw_lease::LeaseState;
use gw_types::HostId;
use gw_types::Timestamp;
use gw_types::ZoneTable;

use crate::HostNode;
use crate::NodeAction;
use crate::PeerMessage;
use crate::StatusChange;
use crate::TableContent;
use crate::lease_manager::LeaseContext;
use crate::move_audit::move_batch;
use crate::outbox::Outbox;
use crate::table_replication::AcknowledgedTable;
use crate::zone_leader::LeaderContext;
use crate::zone_leader::LeaderOptions;
use crate::zone_leader::ZoneLeader;
use crate::zone_leader::ZoneMember;

/// Time without contact after which a zone leader counts as gone. The lease, not this timeout,
/// rules out two leaders at a time, so a timeout longer than the lease would only delay candidates.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Minimum time between the end of a zone lease that was not released and the next grant of it: the
/// fixed part of the drift margin. The part of the margin that grows with the lease is not counted,
/// because it covers different clock rates.
const FIXED_DRIFT_MARGIN: Duration = Duration::from_millis(100);

/// Zone leadership and control leadership.
impl HostNode {
    pub(crate) fn lease_context(&self, now: Timestamp) -> LeaseContext {
        let grant = self.control.view().grant(self.zone.as_str());
        let is_heard = |host: HostId| {
            let claim = self.claims.iter().find(|claim| claim.host == host);
            claim.is_some_and(|claim| now.since(claim.last_contact) < LEADER_TIMEOUT)
        };
        let peers = self.zone_peers();
        let is_leader_alive = peers.iter().any(|peer| is_heard(*peer))
            && grant.is_none_or(|grant| grant.host != self.host || grant.boot != self.boot);
        let rank =
            peers.iter().filter(|peer| **peer < self.host && self.directory.is_reachable(**peer));
        LeaseContext {
            is_leader_alive,
            rank: rank.count() as u32,
            version: self.tables.held_version(),
        }
    }

    /// All other entry hosts of this host's zone.
    pub(crate) fn zone_peers(&self) -> Vec<HostId> {
        self.zone_peers.clone()
    }

    /// The host that leads this host's zone: this host, or the reachable host of the zone that
    /// claims the highest term. Absent if there is none.
    pub(crate) fn zone_leader_host(&self) -> Option<HostId> {
        if self.leader.is_some() {
            return Some(self.host);
        }
        let peers = self.zone_peers();
        let claims = self
            .claims
            .iter()
            .filter(|claim| peers.contains(&claim.host) && self.directory.is_reachable(claim.host));
        let claim = claims.max_by_key(|claim| claim.term)?;
        Some(claim.host)
    }

    fn leader_context(&self, now: Timestamp) -> LeaderContext {
        let mut members = vec![ZoneMember {
            host: self.host,
            boot: self.boot,
            is_live: !self.is_closing,
            is_lost: false,
            is_ready: true,
        }];
        for peer in self.zone_peers() {
            let Some(status) = self.directory.status(peer) else { continue };
            members.push(ZoneMember {
                host: peer,
                boot: status.boot.unwrap_or_default(),
                is_lost: status.unreachable_since.is_some(),
                is_live: self.directory.is_reachable(peer),
                is_ready: status.is_ready,
            });
        }
        members.sort_by_key(|member| member.host);
        let lease = self.leases.lease();
        LeaderContext {
            members,
            is_connected: lease.state(now) == LeaseState::HolderByControl,
            lease_end: lease.held_until(),
        }
    }

    /// Starts, continues or ends the host's leadership of its zone, depending on the zone lease.
    pub(crate) fn update_zone_leadership(&mut self, now: Timestamp, out: &mut Outbox) {
        let holds = self.leases.lease().holds(now) && !self.is_closing;
        let term = self.leases.lease().term();
        if self.leader.is_some() && self.leader.as_ref().map(ZoneLeader::term) != term {
            self.leader = None;
            out.push(NodeAction::StatusChanged(StatusChange::ZoneLeadershipLost));
        }
        if !holds {
            return;
        }
        if self.leader.is_none() && !self.start_term(now, out) {
            return;
        }
        let context = self.leader_context(now);
        let Some(leader) = &mut self.leader else { return };
        let acknowledged = leader.tick(now, &context, &mut self.control, out);
        if let Some(latest) = leader.latest().cloned() {
            self.tables.insert_held(latest);
        }
        if let Some(acknowledged) = acknowledged {
            self.publish_table(acknowledged, out);
        }
        self.record_moves(now, out);
    }

    /// Starts a term as zone leader with the highest table version among this host, the peers that
    /// promised their support, and the control log. Returns whether the term has started; as long
    /// as this host lacks that version, it is fetched instead.
    fn start_term(&mut self, now: Timestamp, out: &mut Outbox) -> bool {
        let Some(term) = self.leases.lease().term() else { return false };
        if let Some((peer, version)) = self.leases.lease().highest_version()
            && version > self.tables.held_version()
        {
            let zone = self.zone.clone();
            out.stream(peer, PeerMessage::TableFetch { zone, held: true });
            return false;
        }
        let table = self.tables.held().map(|table| ZoneTable::clone(table));
        let table = table.unwrap_or_else(|| ZoneTable::empty(self.zone.clone()));
        self.initial_table = Some(Arc::new(table.clone()));
        let (inherited_lease, expired_for) = match self.leases.lease().after_release() {
            true => (DISPATCHER_LEASE, Duration::ZERO),
            false => (Duration::ZERO, FIXED_DRIFT_MARGIN),
        };
        let longest_deadline = self.longest_deadline;
        let options = LeaderOptions { inherited_lease, expired_for, longest_deadline };
        self.leader = Some(ZoneLeader::new(self.host, term, table, options, now));
        self.relay.resend_all();
        // A heartbeat at once announces the new leader to the zone's hosts, which then relay
        // everything that they know of targets to it.
        self.next_heartbeat = now;
        out.push(NodeAction::StatusChanged(StatusChange::ZoneLeadershipGained(term.0)));
        true
    }

    /// Puts an acknowledged table of the own zone in force: queues its ownership moves for the
    /// audit trail and sends it to the zone's hosts and to the leaders of the other zones.
    fn publish_table(&mut self, acknowledged: AcknowledgedTable, out: &mut Outbox) {
        let AcknowledgedTable { previous, table, delta } = acknowledged;
        // The first table of a term repeats what the previous term granted, which is not a move. It
        // is compared with the initial table rather than with the stored one, because `table` may
        // already have been stored from the control log.
        let previous = previous.or_else(|| self.initial_table.take());
        let previous = previous.unwrap_or_else(|| Arc::new(ZoneTable::empty(self.zone.clone())));
        self.unrecorded_moves.extend(move_batch(&previous, &table, WallTime(self.wall_ms)));
        let version = table.version;
        self.tables.insert_acknowledged(table);
        for peer in self.zone_peers() {
            let zone = self.zone.clone();
            out.datagram(peer, PeerMessage::TableCommit { zone, version });
        }
        for leader in self.other_leaders() {
            let content = TableContent::Delta(delta.clone());
            out.datagram(leader, PeerMessage::TableUpdate(content));
        }
    }

    /// Leaders of the other zones according to the latest grants in the control log.
    fn other_leaders(&self) -> Vec<HostId> {
        let view = self.control.view();
        let others = view.grants().filter(|grant| grant.zone != self.zone);
        others.map(|grant| grant.host).collect()
    }

    /// Proposes the next batch of moves for the audit trail. Only one batch is proposed at a time,
    /// because a batch that commits after a later one of the same term is skipped as a resend.
    fn record_moves(&mut self, now: Timestamp, out: &mut Outbox) {
        if self.control.is_proposing(|command| matches!(command, ControlCommand::RecordMoves(_))) {
            return;
        }
        if !self.unrecorded_moves.is_empty() {
            let batch = self.unrecorded_moves.remove(0);
            self.control.propose(now, ControlCommand::RecordMoves(batch), out);
        }
    }

    /// Reports changes of control leadership, and plans delegations while this host is the control
    /// leader.
    pub(crate) fn update_control_leadership(&mut self, now: Timestamp, out: &mut Outbox) {
        let leads = self.control.leads(now);
        if leads != self.leads_control {
            self.leads_control = leads;
            let change = if leads {
                StatusChange::ControlLeadershipGained
            } else {
                StatusChange::ControlLeadershipLost
            };
            out.push(NodeAction::StatusChanged(change));
        }
        if let Some(grantor) = self.leases.grantor_mut() {
            self.delegation_planner.tick(now, &self.zones, grantor, &mut self.control, out);
        }
    }

    /// Marks the host ready once its state is at least as new as what was in force when it started:
    /// if its zone has a leader, once it has a table of that leader's term, otherwise once it has
    /// caught up on the control log.
    pub(crate) fn update_ready(&mut self, now: Timestamp) {
        if self.is_ready {
            return;
        }
        let peers = self.zone_peers();
        let claim = self.claims.iter().find(|claim| {
            peers.contains(&claim.host) && now.since(claim.last_contact) < LEADER_TIMEOUT
        });
        let is_current = match claim {
            Some(claim) => self.table_term >= claim.term,
            None => self.has_caught_up(now) && self.has_no_leader(now),
        };
        if is_current {
            self.leases.mark_promises_recovered();
            self.is_ready = true;
        }
    }

    /// Whether the zone counts as having no leader. In a large zone, a leader named by the control
    /// log first gets [`LEADER_TIMEOUT`] to answer the host's heartbeats.
    fn has_no_leader(&mut self, now: Timestamp) -> bool {
        let since = *self.leaderless_since.get_or_insert(now);
        let grant = self.control.view().grant(self.zone.as_str());
        let is_named = grant.is_some_and(|grant| grant.host != self.host);
        self.heartbeat_plan.is_full_mesh() || !is_named || now.since(since) >= LEADER_TIMEOUT
    }

    /// Whether the host has applied the control log up to the index that was in force when it
    /// started.
    ///
    /// The control leader has caught up once it has applied an entry of its own term. Any other
    /// host has caught up once it has applied an index that a caught-up host reported to it since
    /// its start.
    pub fn has_caught_up(&self, now: Timestamp) -> bool {
        let applied = self.control.applied();
        let is_caught_up = self.catch_up_index.is_some_and(|index| applied >= index);
        self.control.leads(now) || is_caught_up
    }
}

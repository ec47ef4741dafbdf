use std::time::Duration;

use gw_membership::FetchItem;
use gw_membership::HEARTBEAT_INTERVAL;
use gw_membership::Heartbeat;
use gw_membership::HostChange;
use gw_membership::LoadSummary;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::TermNumber;
use gw_types::Timestamp;
use gw_types::ZoneName;

use crate::HostHeartbeat;
use crate::HostNode;
use crate::NodeAction;
use crate::PeerMessage;
use crate::StatusChange;
use crate::host_node::LeaderClaim;
use crate::outbox::Outbox;

/// Interval at which a host that knows no zone leader asks a replica for control log entries.
const CONTROL_FETCH_INTERVAL: Duration = Duration::from_millis(250);

/// Heartbeats, digests and the fetching of missing state.
impl HostNode {
    /// The zone leaders according to the latest grants in the control log.
    fn known_leaders(&self) -> Vec<(ZoneName, HostId)> {
        let view = self.control.view();
        view.grants().map(|grant| (grant.zone.clone(), grant.host)).collect()
    }

    pub(crate) fn send_heartbeats(&mut self, now: Timestamp, out: &mut Outbox) {
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        self.heartbeat_sequence += 1;
        let leaders = self.known_leaders();
        self.directory.set_expected_senders(now, &self.heartbeat_plan.expected_senders(&leaders));
        let heartbeat = self.heartbeat(now);
        for receiver in self.heartbeat_receivers(&leaders) {
            out.datagram(receiver, PeerMessage::Heartbeat(heartbeat.clone()));
        }
    }

    fn heartbeat(&self, now: Timestamp) -> HostHeartbeat {
        let mut digest = self.digests.own().clone();
        if !self.heartbeat_plan.carries_tables(self.heartbeat_sequence) {
            digest.tables.clear();
        }
        HostHeartbeat {
            heartbeat: Heartbeat {
                sequence: self.heartbeat_sequence,
                is_ready: self.is_ready(),
                digest,
                load: LoadSummary::default(),
            },
            zone_term: self.leader.is_some().then(|| self.zone_term(now)).flatten(),
            control_leader: self.control.leader(),
            has_caught_up: self.has_caught_up(now),
        }
    }

    fn heartbeat_receivers(&mut self, leaders: &[(ZoneName, HostId)]) -> Vec<HostId> {
        let mut receivers = self.heartbeat_plan.receivers(self.heartbeat_sequence, leaders);
        // A host that is not ready needs a control replica's heartbeat. Where the zone has no
        // replica, or is too large for a full mesh, it sends to one replica at a time and gets a
        // heartbeat in reply.
        if self.is_entry && !self.is_ready && self.catch_up_index.is_none() {
            let replicas = self.control.other_replicas();
            receivers
                .extend(replicas.get(self.heartbeat_sequence as usize % replicas.len().max(1)));
        }
        // In a large zone the leader's regular heartbeats reach each member too rarely for a
        // profile change to take effect in time, so a new index is announced to all members at
        // once.
        let control_index = self.digests.own().control_index;
        let has_new_index = control_index > self.announced_index;
        if self.leader.is_some() && has_new_index && !self.heartbeat_plan.is_full_mesh() {
            self.announced_index = control_index;
            receivers.extend(self.zone_peers());
        }
        receivers.sort_unstable();
        receivers.dedup();
        receivers
    }

    /// Answers a heartbeat of a host that is not ready. Such a host may otherwise rarely or never
    /// receive heartbeats of control replicas and of the leader of a large zone.
    fn answer_unready(
        &self,
        now: Timestamp,
        from: HostId,
        heartbeat: &Heartbeat,
        out: &mut Outbox,
    ) {
        // Control hosts get no answer: two of them that are not ready would answer each other
        // forever.
        if heartbeat.is_ready || self.is_control_host(from) {
            return;
        }
        let is_member = self.zone_peers().contains(&from);
        let leads = self.leader.is_some() && is_member && !self.heartbeat_plan.is_full_mesh();
        if leads || self.control.replica().is_some() {
            out.datagram(from, PeerMessage::Heartbeat(self.heartbeat(now)));
        }
    }

    /// Counts a promise request of a known zone leader as contact with it. In a large zone its
    /// heartbeats reach each member less often than `LEADER_TIMEOUT`, so heartbeats alone would let
    /// a live leader time out.
    pub(crate) fn refresh_claim(&mut self, now: Timestamp, from: HostId, term: TermNumber) {
        let known = self.claims.iter_mut().find(|claim| claim.host == from && claim.term == term);
        // In a full mesh heartbeats suffice, and the later contact would only delay the next
        // candidate.
        if let Some(claim) = known.filter(|_| !self.heartbeat_plan.is_full_mesh()) {
            claim.last_contact = now;
        }
    }

    pub(crate) fn handle_heartbeat(
        &mut self,
        now: Timestamp,
        from: HostId,
        boot: BootId,
        heartbeat: &HostHeartbeat,
        out: &mut Outbox,
    ) {
        let base = &heartbeat.heartbeat;
        for change in self.directory.record_heartbeat(now, from, boot, base) {
            self.handle_host_change(change, out);
        }
        self.digests.record_digest(from, boot, base.sequence, &base.digest);
        // Control hosts and zone leaders are in direct contact with the control group. Other hosts
        // only repeat what they were told, which may be older than what this host knows.
        if self.is_control_host(from) || heartbeat.zone_term.is_some() {
            self.control.set_leader(heartbeat.control_leader);
        }
        self.update_claim(now, from, heartbeat);
        // A sender that has not caught up may have restarted together with this host, so its index
        // does not show what was in force before.
        if heartbeat.has_caught_up {
            self.catch_up_index = self.catch_up_index.max(Some(base.digest.control_index));
        }
        self.answer_unready(now, from, base, out);
    }

    fn update_claim(&mut self, now: Timestamp, from: HostId, heartbeat: &HostHeartbeat) {
        let known = self.claims.iter().find(|claim| claim.host == from).map(|claim| claim.term);
        self.claims.retain(|claim| claim.host != from);
        if heartbeat.zone_term > known && self.zone_peers().contains(&from) {
            self.relay.resend_all();
        }
        if let Some(term) = heartbeat.zone_term {
            self.claims.push(LeaderClaim { host: from, term, last_contact: now });
        }
    }

    fn is_control_host(&self, host: HostId) -> bool {
        let position = self.hosts.binary_search_by_key(&host, |entry| entry.id);
        position.is_ok_and(|position| self.hosts[position].control)
    }

    pub(crate) fn handle_host_change(&mut self, change: HostChange, out: &mut Outbox) {
        match change {
            HostChange::Reachable { host } => {
                out.push(NodeAction::StatusChanged(StatusChange::HostReachable(host)));
            }
            HostChange::Unreachable { host, .. } => {
                self.digests.remove(host);
                out.push(NodeAction::StatusChanged(StatusChange::HostUnreachable(host)));
            }
            HostChange::Restarted { host, .. } => {
                if let Some(leader) = &mut self.leader {
                    leader.remove_copies(host);
                }
            }
            HostChange::ReadinessChanged { .. } => {}
        }
    }

    /// Requests control log entries and tables that other hosts have and this host lacks.
    pub(crate) fn fetch_missing(&mut self, now: Timestamp, out: &mut Outbox) {
        let lacks_entry_source = !self.control.has_replica() && self.zone_leader_host().is_none();
        if lacks_entry_source && now >= self.next_control_fetch {
            self.next_control_fetch = now + CONTROL_FETCH_INTERVAL;
            self.control.fetch_from_replica(out);
        }
        for order in self.digests.fetches(now) {
            let message = match order.item {
                FetchItem::Control if self.control.has_replica() => continue,
                FetchItem::Control => PeerMessage::ControlFetch { applied: self.control.applied() },
                FetchItem::Table(zone) => PeerMessage::TableFetch { zone, held: false },
                FetchItem::Quarantine => continue,
            };
            out.stream(order.from, message);
        }
    }
}

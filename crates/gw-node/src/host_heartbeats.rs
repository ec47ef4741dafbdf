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
use crate::host_node::ZoneClaim;
use crate::outbox::Outbox;

/// Time between two tries of a host without zone leader to get control entries from a replica.
const CONTROL_FETCH_INTERVAL: Duration = Duration::from_millis(250);

/// Heartbeats, digests and repair.
impl HostNode {
    /// Zone leaders as the control log and their own claims name them.
    fn known_leaders(&self) -> Vec<(ZoneName, HostId)> {
        let view = self.control.view();
        view.grants().map(|grant| (grant.zone.clone(), grant.host)).collect()
    }

    pub(crate) fn send_heartbeats(&mut self, now: Timestamp, out: &mut Outbox) {
        if now < self.next_beat {
            return;
        }
        self.next_beat = now + HEARTBEAT_INTERVAL;
        self.beat += 1;
        let leaders = self.known_leaders();
        self.directory.set_expected_senders(now, &self.plan.expected_senders(&leaders));
        let heartbeat = self.heartbeat(now);
        for receiver in self.beat_receivers(&leaders) {
            out.datagram(receiver, PeerMessage::Heartbeat(heartbeat.clone()));
        }
    }

    fn heartbeat(&self, now: Timestamp) -> HostHeartbeat {
        let mut digest = self.digests.own().clone();
        if !self.plan.carries_tables(self.beat) {
            digest.tables.clear();
        }
        HostHeartbeat {
            heartbeat: Heartbeat {
                sequence: self.beat,
                is_ready: self.is_ready(),
                digest,
                load: LoadSummary::default(),
            },
            leads: self.leader.is_some().then(|| self.zone_term(now)).flatten(),
            control_leader: self.control.leader(),
            has_caught_up: self.has_caught_up(now),
        }
    }

    fn beat_receivers(&mut self, leaders: &[(ZoneName, HostId)]) -> Vec<HostId> {
        let mut receivers = self.plan.receivers(self.beat, leaders);
        // Where the zone has no control replica, or is so large that only neighbours hear it, a
        // host that is not ready asks one in turn, which answers.
        if self.is_entry && !self.is_ready && self.heard_index.is_none() {
            let replicas = self.control.other_replicas();
            receivers.extend(replicas.get(self.beat as usize % replicas.len().max(1)));
        }
        // Members of a large zone hear the leader too seldom to learn a change of profile in time.
        let control_index = self.digests.own().control_index;
        let is_news = control_index > self.announced_control;
        if self.leader.is_some() && is_news && !self.plan.is_full_mesh() {
            self.announced_control = control_index;
            receivers.extend(self.zone_peers());
        }
        receivers.sort_unstable();
        receivers.dedup();
        receivers
    }

    /// Answers a heartbeat of a host that is not ready, which may hear control replicas and the
    /// leader of a large zone seldom or never otherwise.
    fn answer_unready(
        &self,
        now: Timestamp,
        from: HostId,
        heartbeat: &Heartbeat,
        out: &mut Outbox,
    ) {
        // Two hosts that are not ready must not answer each other without end.
        if heartbeat.is_ready || self.is_control_host(from) {
            return;
        }
        let is_member = self.zone_peers().contains(&from);
        let leads = self.leader.is_some() && is_member && !self.plan.is_full_mesh();
        if leads || self.control.replica().is_some() {
            out.datagram(from, PeerMessage::Heartbeat(self.heartbeat(now)));
        }
    }

    /// Takes a promise request of a leader that was heard to lead as a sign of its life. Members of
    /// a large zone hear its heartbeats less often than a silent leader is taken for gone.
    pub(crate) fn refresh_claim(&mut self, now: Timestamp, from: HostId, term: TermNumber) {
        let known = self.claims.iter_mut().find(|claim| claim.host == from && claim.term == term);
        // In a small zone it would only delay the next candidate.
        if let Some(claim) = known.filter(|_| !self.plan.is_full_mesh()) {
            claim.heard = now;
        }
    }

    pub(crate) fn hear_heartbeat(
        &mut self,
        now: Timestamp,
        from: HostId,
        boot: BootId,
        heartbeat: &HostHeartbeat,
        out: &mut Outbox,
    ) {
        let beat = &heartbeat.heartbeat;
        for change in self.directory.record_heartbeat(now, from, boot, beat) {
            self.note_host_change(change, out);
        }
        self.digests.record_digest(from, boot, beat.sequence, &beat.digest);
        // Other hosts know the leader only from hearsay, which may be older than what is known here.
        if self.is_control_host(from) || heartbeat.leads.is_some() {
            self.control.set_leader(heartbeat.control_leader);
        }
        self.note_claim(now, from, heartbeat);
        // Other hosts may have restarted together with this one and know as little.
        if heartbeat.has_caught_up {
            self.heard_index = self.heard_index.max(Some(beat.digest.control_index));
        }
        self.answer_unready(now, from, beat, out);
    }

    fn note_claim(&mut self, now: Timestamp, from: HostId, heartbeat: &HostHeartbeat) {
        let known = self.claims.iter().find(|claim| claim.host == from).map(|claim| claim.term);
        self.claims.retain(|claim| claim.host != from);
        if heartbeat.leads > known && self.zone_peers().contains(&from) {
            self.relay.resend_all();
        }
        if let Some(term) = heartbeat.leads {
            self.claims.push(ZoneClaim { host: from, term, heard: now });
        }
    }

    fn is_control_host(&self, host: HostId) -> bool {
        let place = self.hosts.binary_search_by_key(&host, |entry| entry.id);
        place.is_ok_and(|place| self.hosts[place].control)
    }

    pub(crate) fn note_host_change(&mut self, change: HostChange, out: &mut Outbox) {
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
                    leader.forget_copies(host);
                }
            }
            HostChange::ReadinessChanged { .. } => {}
        }
    }

    /// Asks others for what they hold and this host lacks.
    pub(crate) fn fetch_missing(&mut self, now: Timestamp, out: &mut Outbox) {
        let is_cut_off = !self.control.has_replica() && self.zone_leader_host().is_none();
        if is_cut_off && now >= self.next_control_fetch {
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

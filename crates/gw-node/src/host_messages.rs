use gw_lease::LeaseOutcome;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::Timestamp;

use crate::HostNode;
use crate::PeerMessage;
use crate::TableContent;
use crate::outbox::Outbox;

/// Handling of messages from other hosts, and of messages that the host sends to itself.
impl HostNode {
    pub(crate) fn handle_message(
        &mut self,
        now: Timestamp,
        from: HostId,
        boot: BootId,
        message: PeerMessage,
        out: &mut Outbox,
    ) {
        // The zone leader acts on these messages at once instead of at the next tick. A recovery
        // takes several such round trips in a row, so waiting for ticks would prolong it.
        self.leadership_due |= matches!(
            message,
            PeerMessage::LeaseAnswer(_)
                | PeerMessage::PromiseAnswer(_)
                | PeerMessage::DispatcherAnswer(_)
                | PeerMessage::DrainDone(_)
                | PeerMessage::TableHeld { .. }
                | PeerMessage::TableOffer { .. }
                | PeerMessage::ProposeAnswer { .. }
        );
        match message {
            PeerMessage::Agreement(message) => {
                self.control.handle_agreement(now, from, message, out);
            }
            PeerMessage::Propose { request, command } => {
                self.control.handle_proposal(now, from, request, &command, out);
            }
            PeerMessage::ProposeAnswer { request, answer } => {
                self.control.handle_answer(now, request, answer, out);
            }
            PeerMessage::ControlFetch { applied } => self.control.answer_fetch(from, applied, out),
            PeerMessage::ControlEntries(batch) => self.control.apply_entries(&batch),
            PeerMessage::ControlSnapshot(data) => self.control.install_snapshot(&data),
            PeerMessage::LeaseRequest(request) => {
                self.leases.handle_request(now, from, &request, &mut self.control, out);
            }
            PeerMessage::LeaseAnswer(answer) => {
                // Fetch the missing entries now. Waiting for the next digest would prolong the time
                // without a zone leader.
                if matches!(answer.outcome, LeaseOutcome::Behind(_)) && !self.control.has_replica()
                {
                    let applied = self.control.applied();
                    out.stream(from, PeerMessage::ControlFetch { applied });
                }
                // Only the control leader renews leases, so the sender is the control leader.
                if matches!(answer.outcome, LeaseOutcome::Renewed { .. }) {
                    self.control.set_leader(Some(from));
                }
                let version = self.tables.held_version();
                self.leases.handle_answer(now, &answer, version, &mut self.control, out);
            }
            PeerMessage::PromiseRequest(request) => {
                self.refresh_claim(now, from, request.holder.term);
                let version = self.tables.held_version();
                self.leases.handle_promise_request(now, from, &request, version, out);
            }
            PeerMessage::PromiseAnswer(answer) => self.leases.handle_promise(now, &answer),
            PeerMessage::DispatcherGrant(grant) => {
                self.dispatcher.handle_grant(now, from, &grant, out);
            }
            PeerMessage::DispatcherAnswer(answer) => {
                if let Some(leader) = &mut self.leader {
                    leader.handle_answer(now, &answer);
                }
            }
            PeerMessage::Heartbeat(heartbeat) => {
                self.handle_heartbeat(now, from, boot, &heartbeat, out);
            }
            PeerMessage::TableOffer { content, acknowledged } => {
                self.handle_table_offer(from, &content, acknowledged, out);
            }
            PeerMessage::TableHeld { zone, version } => {
                if let Some(leader) = self.leader.as_mut().filter(|_| zone == self.zone) {
                    leader.record_held(from, boot, version);
                }
            }
            PeerMessage::TableCommit { zone, version } => {
                if !self.tables.acknowledge(&zone, version)
                    && version > self.acknowledged_version(&zone)
                {
                    out.stream(from, PeerMessage::TableFetch { zone, held: false });
                }
            }
            PeerMessage::TableUpdate(content) => self.handle_table_update(now, from, content, out),
            PeerMessage::TableFetch { zone, held } => self.send_table(from, &zone, held, out),
            PeerMessage::Relay(batch) => {
                if let Some(leader) = &mut self.leader {
                    leader.handle_relay(now, from, &batch);
                }
            }
            PeerMessage::DrainRequest(request) => {
                let routes = self.routes.clone();
                let routes = routes.service(request.service.as_str());
                self.dispatcher.handle_drain(now, from, &request, routes, out);
            }
            PeerMessage::DrainDone(done) => {
                if let Some(leader) = self.leader.as_mut().filter(|_| done.dispatcher == from) {
                    leader.drained(&done);
                }
            }
            PeerMessage::Load(report) => {
                if let Some(leader) = &mut self.leader {
                    leader.observe_load(now, &report, &self.control);
                }
            }
            // The daemon handles these messages itself and does not pass them on.
            PeerMessage::Records(_) | PeerMessage::Quarantine(_) => {}
        }
    }

    fn handle_table_offer(
        &mut self,
        from: HostId,
        content: &TableContent,
        acknowledged: bool,
        out: &mut Outbox,
    ) {
        let zone = content.zone().clone();
        match self.tables.apply_held(content) {
            Ok(version) => {
                self.table_term = self.table_term.max(version.term);
                if acknowledged {
                    self.tables.acknowledge(&zone, version);
                }
                out.datagram(from, PeerMessage::TableHeld { zone, version });
            }
            Err(_) => out.stream(from, PeerMessage::TableFetch { zone, held: true }),
        }
    }

    fn handle_table_update(
        &mut self,
        now: Timestamp,
        from: HostId,
        content: TableContent,
        out: &mut Outbox,
    ) {
        match self.tables.apply_acknowledged(&content) {
            Ok(Some(_)) => self.forward_to_zone(now, content, out),
            Ok(None) => {}
            Err(_) => {
                let zone = content.zone().clone();
                out.stream(from, PeerMessage::TableFetch { zone, held: false });
            }
        }
    }

    /// Forwards another zone's table to the hosts of this zone if this host leads it. A zone leader
    /// therefore sends each of its tables to only one host of every other zone.
    fn forward_to_zone(&mut self, now: Timestamp, content: TableContent, out: &mut Outbox) {
        if !self.leases.lease().holds(now) || *content.zone() == self.zone {
            return;
        }
        for peer in self.zone_peers() {
            out.datagram(peer, PeerMessage::TableUpdate(content.clone()));
        }
    }

    fn send_table(&self, from: HostId, zone: &gw_types::ZoneName, held: bool, out: &mut Outbox) {
        let own_held = self.tables.held().filter(|table| held && table.zone == *zone);
        let acknowledged_table = self.tables.acknowledged(zone.as_str());
        if let Some(table) = own_held {
            let acknowledged =
                acknowledged_table.is_some_and(|known| known.version >= table.version);
            let content = TableContent::Full(gw_types::ZoneTable::clone(table));
            out.stream(from, PeerMessage::TableOffer { content, acknowledged });
        } else if let Some(table) = acknowledged_table {
            let content = TableContent::Full(gw_types::ZoneTable::clone(table));
            out.stream(from, PeerMessage::TableUpdate(content));
        }
    }

    fn acknowledged_version(&self, zone: &gw_types::ZoneName) -> gw_types::TableVersion {
        self.tables.acknowledged(zone.as_str()).map(|table| table.version).unwrap_or_default()
    }
}

use gw_membership::AnnouncementReply;
use gw_membership::OwnedKey;
use gw_membership::OwnedSlots;
use gw_membership::RelayBatch;
use gw_membership::RelayEvent;
use gw_membership::TargetAnnouncement;
use gw_membership::TargetReport;
use gw_types::HostId;
use gw_types::TargetEntry;
use gw_types::TargetState;
use gw_types::Timestamp;
use gw_types::ZoneName;
use gw_types::ZoneTable;

use crate::CallId;
use crate::CallRefusal;
use crate::HostNode;
use crate::LoadReport;
use crate::NodeAction;
use crate::PeerMessage;
use crate::outbox::Outbox;

/// Interval at which targets are to renew their announcements, in milliseconds.
const RENEW_AFTER_MS: u32 = 500;
/// One in this many renewals is relayed as a full announcement even if it equals what is published:
/// the zone leader may still hold another definition that the same target process announced before.
const FULL_RELAY_EVERY: u64 = 16;
/// Time for which a target may rely on the ownership listed in a reply, in milliseconds. Equals the
/// dispatcher lease: after it, a target without a dispatcher is sent no requests.
const VALID_FOR_MS: u32 = 1_000;

/// Announcements, reports and load of targets.
impl HostNode {
    pub(crate) fn announce(
        &mut self,
        now: Timestamp,
        call: CallId,
        announcement: &TargetAnnouncement,
        out: &mut Outbox,
    ) {
        if self.zones.binary_search(&announcement.zone).is_err() {
            let reason = CallRefusal::UnknownZone(announcement.zone.to_string());
            out.push(NodeAction::Refused { call, reason });
            return;
        }
        let taken = match self.is_published(announcement) {
            true => self.relay.announce_published(now, announcement),
            false => self.relay.announce(now, announcement),
        };
        if let Err(error) = taken {
            out.push(NodeAction::Refused { call, reason: error.into() });
            return;
        }
        let reply = self.describe_target(announcement);
        out.push(NodeAction::Announced { call, reply });
    }

    /// Whether the zone table and the control log already contain everything in the announcement,
    /// so that relaying its renewal suffices.
    fn is_published(&self, announcement: &TargetAnnouncement) -> bool {
        let table = self.tables.acknowledged(announcement.zone.as_str());
        let Some(entry) = table.and_then(|table| table.target(announcement.target.as_str())) else {
            return false;
        };
        let definition = self.control.view().definition(announcement.service.as_str());
        entry.state != TargetState::Lost
            && entry.service == announcement.service
            && entry.boot == announcement.boot_id
            && !announcement.sequence.is_multiple_of(FULL_RELAY_EVERY)
            && entry.address == announcement.address
            && entry.work_slots == announcement.work_slots.max(1)
            && entry.checks_tokens == announcement.checks_tokens
            && definition.is_some_and(|known| **known == announcement.definition())
    }

    /// The target's state and ownership according to the acknowledged table of its zone.
    fn describe_target(&self, announcement: &TargetAnnouncement) -> AnnouncementReply {
        let table = self.tables.acknowledged(announcement.zone.as_str());
        let entry = table.and_then(|table| table.target(announcement.target.as_str()));
        let entry = entry.filter(|entry| entry.boot == announcement.boot_id);
        let (owned, owned_keys) = match (table, entry) {
            (Some(table), Some(entry)) => (owned_slots(table, entry), owned_keys(table, entry)),
            _ => (Vec::new(), Vec::new()),
        };
        AnnouncementReply {
            state: entry.map(|entry| entry.state),
            owned,
            owned_keys,
            renew_after_ms: RENEW_AFTER_MS,
            valid_for_ms: VALID_FOR_MS,
        }
    }

    pub(crate) fn report(
        &mut self,
        now: Timestamp,
        call: CallId,
        report: &TargetReport,
        out: &mut Outbox,
    ) {
        if self.target_zone(report.target.as_str()).is_none() {
            let reason = CallRefusal::UnknownTarget(report.target.to_string());
            out.push(NodeAction::Refused { call, reason });
            return;
        }
        match self.relay.report(now, report) {
            Ok(()) => {
                self.relay_targets(now, out);
                out.push(NodeAction::Reported { call });
            }
            Err(error) => out.push(NodeAction::Refused { call, reason: error.into() }),
        }
    }

    /// The zone whose acknowledged table lists the target.
    fn target_zone(&self, target: &str) -> Option<ZoneName> {
        let table = self.tables.all().iter().find(|table| table.target(target).is_some())?;
        Some(table.zone.clone())
    }

    /// Sends the collected events of targets to the leaders of their zones.
    pub(crate) fn relay_targets(&mut self, now: Timestamp, out: &mut Outbox) {
        let batches = self.relay.take_batches(now);
        if batches.is_empty() {
            return;
        }
        for (zone, leader) in self.relay_receivers() {
            for batch in &batches {
                let items = batch.items.iter().filter(|item| self.is_for_zone(&item.event, &zone));
                let items: Vec<_> = items.cloned().collect();
                if !items.is_empty() {
                    let batch = RelayBatch { items, ..*batch };
                    out.datagram(leader, PeerMessage::Relay(batch));
                }
            }
        }
    }

    /// Each zone with its leader. While the leader of the own zone changes, that zone is listed
    /// with both hosts.
    fn relay_receivers(&self) -> Vec<(ZoneName, HostId)> {
        let grants = self.control.view().grants();
        let mut receivers: Vec<_> = grants.map(|grant| (grant.zone.clone(), grant.host)).collect();
        receivers.extend(self.zone_leader_host().map(|host| (self.zone.clone(), host)));
        receivers.sort_unstable();
        receivers.dedup();
        receivers
    }

    /// Whether the event is to be relayed to the leader of `zone`: its target is listed in the
    /// zone's table or announces itself there. An event other than an announcement whose target is
    /// in no table yet goes to the leaders of all zones.
    fn is_for_zone(&self, event: &RelayEvent, zone: &ZoneName) -> bool {
        if let RelayEvent::Announced(announcement) = event
            && announcement.zone == *zone
        {
            return true;
        }
        let target = event.target().as_str();
        let table = self.tables.acknowledged(zone.as_str());
        if table.is_some_and(|table| table.target(target).is_some()) {
            return true;
        }
        let is_announced = matches!(event, RelayEvent::Announced(_));
        !is_announced && self.target_zone(target).is_none()
    }

    pub(crate) fn send_load(&mut self, report: LoadReport, out: &mut Outbox) {
        if let Some(leader) = self.zone_leader_host() {
            out.datagram(leader, PeerMessage::Load(report));
        }
    }
}

fn owned_keys(table: &ZoneTable, entry: &TargetEntry) -> Vec<OwnedKey> {
    let overrides = table.service(entry.service.as_str()).map_or(&[][..], |known| &known.overrides);
    let owned = overrides.iter().filter(|known| known.owner.as_ref() == Some(&entry.name));
    let owned =
        owned.map(|known| OwnedKey { key: known.key.to_string(), token: known.token.as_u64() });
    owned.collect()
}

fn owned_slots(table: &ZoneTable, entry: &TargetEntry) -> Vec<OwnedSlots> {
    let Some(service) = table.service(entry.service.as_str()) else { return Vec::new() };
    let owned = service.ranges.iter().filter(|range| range.owner.as_ref() == Some(&entry.name));
    let owned = owned.map(|range| OwnedSlots {
        first: range.first,
        last: range.last,
        token: range.token.as_u64(),
    });
    owned.collect()
}

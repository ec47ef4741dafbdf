use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use gw_balance::RelayHost;
use gw_balance::RelayTable;
use gw_fleet::FleetState;
use gw_ranges::HolderShare;
use gw_ranges::RangeHolder;
use gw_routing::ConfigVersion;
use gw_types::HostId;
use gw_types::HostName;
use gw_types::Timestamp;
use gw_types::ZoneName;
use tokio::sync::mpsc;

use crate::control::control_host::ControlHost;
use crate::control::control_host::ReplySink;
use crate::link::DialedPeers;
use crate::link::EntryReport;
use crate::link::HeadDetails;
use crate::link::HeadMessage;
use crate::link::HostKind;
use crate::link::LimitReport;
use crate::link::LinkEvent;
use crate::link::LinkHandle;
use crate::link::LinkMessage;
use crate::link::RelayReport;
use crate::link::ShareReport;
use crate::link::log_limit;
use crate::ports::TargetDialer;

/// A connection to another host.
pub(crate) struct PeerLink {
    pub(crate) link: LinkHandle,
    pub(crate) peer: SocketAddr,
    /// Whether this host opened the connection.
    pub(crate) is_outbound: bool,
    /// Name, zone and kind of the other host; `None` until it has sent them.
    pub(crate) hello: Option<(HostName, ZoneName, HostKind)>,
    /// The replica of the other host, if it has sent consensus messages over this connection.
    pub(crate) replica: Option<HostId>,
    /// Whether the other host receives every change as it is applied.
    pub(crate) is_streaming: bool,
    /// Log index up to which changes were sent to the other host.
    pub(crate) sent_through: u64,
    /// Last reported clock of the other host in nanoseconds, and when the report arrived.
    pub(crate) clock: Option<(u64, Timestamp)>,
    /// Details that were last sent to the other host.
    pub(crate) sent_details: Option<HeadDetails>,
    /// Where the other host accepts requests of other entry hosts.
    pub(crate) relay: Option<SocketAddr>,
    /// Whether the other host can forward requests of others, as it last reported.
    pub(crate) takes_relays: bool,
    /// Whether the other host is an entry host that has connected and received no head yet.
    pub(crate) awaits_head: bool,
    /// Version of the configuration whose limits for cold targets were last sent to the other host;
    /// `None` if it got none.
    pub(crate) sent_limits: Option<ConfigVersion>,
}

impl PeerLink {
    pub(crate) fn is_entry(&self) -> bool {
        matches!(self.hello, Some((_, _, HostKind::Entry)))
    }

    pub(crate) fn is_control(&self) -> bool {
        self.is_outbound || matches!(self.hello, Some((_, _, HostKind::Control)))
    }
}

/// Opens connections to other control hosts and handles the events of all connections between
/// hosts.
pub(crate) struct PeerLinks {
    host: Rc<ControlHost>,
    dialed: DialedPeers,
}

impl PeerLinks {
    pub(crate) fn new(
        host: Rc<ControlHost>,
        events: mpsc::Sender<LinkEvent>,
        dialer: Rc<dyn TargetDialer>,
    ) -> Self {
        let dialed = DialedPeers::new(events, host.bounds, dialer);
        Self { host, dialed }
    }

    /// Maintains connections to all known control hosts and closes all others.
    pub(crate) fn dial(&mut self) {
        let (seeds, port) = {
            let settings = self.host.settings.borrow();
            (settings.seeds.clone(), settings.peer_port)
        };
        let own = self.host.own_peer_address();
        let log = self.host.log.borrow();
        let seeds = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port));
        let known = log.state().replicas().iter().map(|replica| replica.peers);
        let identity = self.host.identity.borrow();
        let saved = identity.as_ref().map_or(&[][..], |identity| &identity.peers);
        let saved = saved.iter().map(|(_, peers)| *peers);
        let wanted: Vec<SocketAddr> =
            seeds.chain(known).chain(saved).filter(|peer| *peer != own).collect();
        self.dialed.set_peers(wanted);
        let dialed = &self.dialed;
        let mut links = self.host.links.borrow_mut();
        links.retain(|link| !link.is_outbound || dialed.contains(&link.peer));
    }

    /// Handles an event of a connection.
    pub(crate) fn handle_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Opened { link, peer, is_outbound } => {
                let settings = self.host.settings.borrow();
                let (host, zone) = (settings.host.clone(), settings.zone.clone());
                link.send(&LinkMessage::Hello { host, zone, kind: HostKind::Control, relay: None });
                self.host.links.borrow_mut().push(PeerLink {
                    link,
                    peer,
                    is_outbound,
                    hello: None,
                    replica: None,
                    is_streaming: false,
                    sent_through: 0,
                    clock: None,
                    sent_details: None,
                    relay: None,
                    takes_relays: false,
                    awaits_head: false,
                    sent_limits: None,
                });
            }
            LinkEvent::Closed { id } => {
                self.host.record_lost_link(id);
                self.host.links.borrow_mut().retain(|link| link.link.id != id);
            }
            LinkEvent::Message { link, message } => self.handle_message(link, message),
        }
    }

    fn handle_message(&mut self, link: LinkHandle, message: LinkMessage) {
        let host = &self.host;
        match message {
            LinkMessage::Hello { host: name, zone, kind, relay } => {
                log::info!("event=host_connected host={name} zone={zone} kind={kind:?}");
                let mut zones = host.control_zones.borrow_mut();
                update_link(host, &link, |known| {
                    if known.is_outbound {
                        zones.insert(known.peer, zone.clone());
                    }
                    known.hello = Some((name, zone, kind));
                    known.relay = relay;
                    known.awaits_head = kind == HostKind::Entry;
                });
            }
            LinkMessage::Agreement { from, to, message } => {
                if host.knows_as_removed(from) {
                    link.send(&LinkMessage::Removed { id: from });
                    return;
                }
                let own = host.identity.borrow().as_ref().and_then(|identity| identity.id);
                if own != Some(to) {
                    return;
                }
                update_link(host, &link, |known| known.replica = Some(from));
                host.handle_agreement(from, message);
            }
            LinkMessage::Join { folder, peers, calls } => {
                host.handle_join(link, folder, peers, calls);
            }
            LinkMessage::Welcome { id, replicas } => host.handle_welcome(id, replicas),
            LinkMessage::Removed { id } => host.handle_removal(id),
            LinkMessage::Leaving { id } => host.handle_leaving(id),
            LinkMessage::Propose { call, command } => {
                host.propose_as_leader(&command, ReplySink::Remote { link, call });
            }
            LinkMessage::ReadFence { call } => {
                host.read_as_leader(ReplySink::Remote { link, call })
            }
            LinkMessage::Answer { call, result } => {
                let waiting = host.pending_calls.borrow_mut().remove(&call);
                if let Some(waiting) = waiting {
                    // The receiver is gone if the call timed out.
                    waiting.send(result).ok();
                }
            }
            LinkMessage::Heard { targets } => {
                let now = host.now();
                let mut monitor = host.monitor.borrow_mut();
                targets.iter().for_each(|target| monitor.record_contact(now, target));
            }
            LinkMessage::Fetch { after, stream } => {
                let mut log = host.log.borrow_mut();
                let frame = log.frame_since(after, link.version(), &host.shared_frames);
                let is_sent = frame.is_some_and(|frame| link.send_frame(frame));
                let sent_through = if is_sent { log.applied() } else { after };
                update_link(host, &link, |known| {
                    known.is_streaming = stream;
                    known.sent_through = sent_through;
                });
            }
            LinkMessage::Report(report) => handle_report(host, &link, &report),
            LinkMessage::TargetPaces { percents } => {
                let (now, mut monitor) = (host.now(), host.monitor.borrow_mut());
                for (holder, percent) in percents {
                    monitor.record_pace(now, host.log.borrow().state(), &holder, percent);
                }
            }
            LinkMessage::Warmth { reports } => reports
                .iter()
                .for_each(|report| host.record_warmth(&report.holder, report.left(), report.age())),
            other => log::warn!("event=unexpected_message message={other:?}"),
        }
    }
}

fn update_link(host: &ControlHost, link: &LinkHandle, change: impl FnOnce(&mut PeerLink)) {
    let mut links = host.links.borrow_mut();
    if let Some(known) = links.iter_mut().find(|known| known.link.id == link.id) {
        change(known);
    }
}

fn handle_report(host: &ControlHost, link: &LinkHandle, report: &EntryReport) {
    let now = host.now();
    update_link(host, link, |known| {
        known.clock = Some((report.clock, now));
        known.takes_relays = report.takes_relays;
    });
    let mut monitor = host.monitor.borrow_mut();
    let log = host.log.borrow();
    for answered in &report.runs {
        if answered.rests > 0 {
            let host_count = host.links.borrow().iter().filter(|link| link.is_entry()).count();
            monitor.record_turned_away(now, log.state(), answered, host_count);
        }
        monitor.record_answered(now, log.state(), answered);
    }
    for limit in &report.limits {
        if monitor.record_limit(limit.received(now)) {
            log_limit(&limit.holder, limit.per_second);
        }
    }
    let mut granters = host.granters.borrow_mut();
    report.heat.iter().for_each(|counts| granters.record_requests(now, counts));
    let mut quarantine = host.quarantine.borrow_mut();
    report.crashes.iter().for_each(|entry| quarantine.merge(now, entry));
    drop((monitor, log, granters, quarantine));
    let sender = host
        .links
        .borrow()
        .iter()
        .find_map(|known| known.hello.clone().filter(|_| known.link.id == link.id));
    if let Some((name, _, _)) = sender.filter(|_| host.is_confirmed_leader()) {
        host.record_cold_demand(&name, &report.heat);
    }
    host.record_leaving(&report.leaving, "report");
}

/// Sends heads at once if this host has come into contact with a majority since the last ones. Entry
/// hosts that have just started wait for that.
pub(crate) fn announce_contact(host: &ControlHost) {
    if host.is_current() && !host.announced_contact.get() {
        send_heads(host, |_| true);
    }
}

/// Sends a head to the entry hosts that have connected since the last tick. After a change of the
/// leader, hundreds of them connect at once, so that what a head says is worked out once for all.
pub(crate) fn greet_entry_hosts(host: &ControlHost) {
    if host.links.borrow().iter().any(|link| link.awaits_head) {
        send_heads(host, |link| link.awaits_head);
    }
}

/// Sends this host's log index and leadership state to the entry hosts for which `is_recipient`
/// holds.
pub(crate) fn send_heads(host: &ControlHost, is_recipient: impl Fn(&PeerLink) -> bool) {
    let now = host.now();
    let (is_current, is_leader) = (host.is_current(), host.is_confirmed_leader());
    host.announced_contact.set(is_current);
    let log = host.log.borrow();
    let replicas = log.state().replicas();
    let crashes = host.quarantine.borrow().repeated_entries(now);
    let shares = if is_leader { share_reports(host, now, log.state()) } else { Vec::new() };
    let leader = match is_leader {
        true => Some(host.own_peer_address()),
        false => host.leader_address(),
    };
    let limits = match is_leader {
        true => LimitReport::of(now, host.monitor.borrow().limits()),
        false => Vec::new(),
    };
    let mut links = host.links.borrow_mut();
    let control_zones = connected_control_hosts(host, &links);
    let entry_hosts = connected_entry_hosts(&links);
    let relays = if is_leader { relay_table(&links) } else { RelayTable::default() };
    let mut by_zone: BTreeMap<ZoneName, Vec<HostName>> = BTreeMap::new();
    for (name, zone) in &entry_hosts {
        by_zone.entry(zone.clone()).or_default().push(name.clone());
    }
    for link in links.iter_mut().filter(|link| link.is_entry() && is_recipient(link)) {
        link.awaits_head = false;
        let Some((name, zone, _)) = &link.hello else { continue };
        let zone_hosts = by_zone.get(zone);
        let details = HeadDetails {
            replicas: replicas.to_vec(),
            zone_hosts: zone_hosts.cloned().unwrap_or_default(),
            crashes: crashes.clone(),
            control_zones: control_zones.clone(),
            leader,
            relays: relay_reports(&relays, name, zone),
        };
        let is_new = link
            .sent_details
            .as_ref()
            .is_none_or(|sent_details| !is_equivalent(sent_details, &details));
        let head = HeadMessage {
            index: log.applied(),
            is_current,
            is_leader,
            host_count: u32::try_from(entry_hosts.len()).unwrap_or(u32::MAX),
            shares: shares.clone(),
            limits: limits.clone(),
            details: is_new.then(|| details.clone()),
        };
        if link.link.send(&LinkMessage::Head(head)) && is_new {
            link.sent_details = Some(details);
        }
    }
}

fn share_reports(host: &ControlHost, now: Timestamp, state: &FleetState) -> Vec<ShareReport> {
    let shares = host.granters.borrow().overloaded(now, state, &host.monitor.borrow());
    log_overload(&host.overloaded.borrow(), &shares);
    *host.overloaded.borrow_mut() = shares.iter().map(|share| share.holder.clone()).collect();
    let report = |share: HolderShare| ShareReport {
        holder: share.holder,
        permille: (share.share * 1_000.0) as u16,
    };
    shares.into_iter().map(report).collect()
}

/// Logs holders that became overloaded and holders that are no longer overloaded.
fn log_overload(before: &[RangeHolder], shares: &[HolderShare]) {
    for share in shares.iter().filter(|share| !before.contains(&share.holder)) {
        log::info!("event=holder_overloaded target={} share={:.2}", share.holder, share.share);
    }
    let is_named = |holder: &RangeHolder| shares.iter().any(|share| share.holder == *holder);
    for holder in before.iter().filter(|holder| !is_named(holder)) {
        log::info!("event=holder_relieved target={holder}");
    }
}

/// Whether `details` contains nothing new for a host that has received `sent_details`. The ages of
/// crashes are ignored.
fn is_equivalent(sent_details: &HeadDetails, details: &HeadDetails) -> bool {
    let has_same_crashes = sent_details.crashes.len() == details.crashes.len()
        && sent_details.crashes.iter().zip(&details.crashes).all(|(sent, entry)| {
            sent.fingerprint == entry.fingerprint && sent.evidence == entry.evidence
        });
    sent_details.replicas == details.replicas
        && sent_details.zone_hosts == details.zone_hosts
        && sent_details.control_zones == details.control_zones
        && sent_details.leader == details.leader
        && sent_details.relays == details.relays
        && has_same_crashes
}

/// Returns the zones of the control hosts to which this host has opened connections, and its own.
fn connected_control_hosts(host: &ControlHost, links: &[PeerLink]) -> Vec<(SocketAddr, ZoneName)> {
    let zone = |link: &PeerLink| match &link.hello {
        Some((_, zone, HostKind::Control)) if link.is_outbound => Some((link.peer, zone.clone())),
        _ => None,
    };
    let mut hosts: Vec<(SocketAddr, ZoneName)> = links.iter().filter_map(zone).collect();
    hosts.push((host.own_peer_address(), host.settings.borrow().zone.clone()));
    hosts.sort();
    hosts.dedup();
    hosts
}

/// Returns the entry hosts that can forward requests of others.
fn relay_table(links: &[PeerLink]) -> RelayTable {
    let relay = |link: &PeerLink| {
        let (host, zone, _) = link.hello.clone().filter(|_| link.takes_relays)?;
        Some(RelayHost { zone, host, address: link.relay? })
    };
    RelayTable::new(links.iter().filter_map(relay).collect())
}

fn relay_reports(relays: &RelayTable, host: &HostName, zone: &ZoneName) -> Vec<RelayReport> {
    let report = |relay: RelayHost| RelayReport {
        address: relay.address,
        is_same_zone: relay.zone == *zone,
    };
    relays.choose(host, zone).into_iter().map(report).collect()
}

fn connected_entry_hosts(links: &[PeerLink]) -> Vec<(HostName, ZoneName)> {
    let entries = links.iter().filter(|link| link.is_entry());
    let mut hosts: Vec<(HostName, ZoneName)> = entries
        .filter_map(|link| link.hello.as_ref().map(|(name, zone, _)| (name.clone(), zone.clone())))
        .collect();
    hosts.sort();
    hosts.dedup();
    hosts
}

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gw_balance::PreferredTargets;
use gw_balance::RelayPeer;
use gw_fleet::ControlChoice;
use gw_fleet::FleetState;
use gw_fleet::FormatVersion;
use gw_fleet::LinkProgress;
use gw_fleet::ReplicaRecord;
use gw_fleet::StateFetch;
use gw_ranges::HolderShare;
use gw_types::Timestamp;
use gw_types::ZoneName;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::entry::entry_host::EntryHost;
use crate::entry::relayed_order::relay_order;
use crate::link::DialedPeers;
use crate::link::HeadDetails;
use crate::link::HeadMessage;
use crate::link::HostKind;
use crate::link::LinkEvent;
use crate::link::LinkHandle;
use crate::link::LinkId;
use crate::link::LinkMessage;
use crate::link::RelayReport;
use crate::link::ShareReport;
use crate::memory_bounds::MemoryBounds;
use crate::ports::TargetDialer;

/// Interval between reports to control hosts.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Age of a control host's last message after which its state updates are not relied on.
const MAX_HEAD_AGE: Duration = Duration::from_millis(1_000);
/// Age after which the leader's list of overloaded holders is discarded: keys move off an
/// overloaded holder within a second.
const MAX_SHARES_AGE: Duration = Duration::from_millis(1_500);
/// How long another control host may be ahead of this host's state before the missing entries are
/// requested from it.
const MAX_LAG: Duration = Duration::from_millis(120);
/// Capacity of the queue of connection events.
const EVENT_QUEUE_LEN: usize = 1024;

pub(super) struct ControlLink {
    pub(super) link: LinkHandle,
    pub(super) peer: SocketAddr,
    zone: Option<ZoneName>,
    /// The newest head, without its details.
    pub(super) head: Option<HeadMessage>,
    /// Details that are not taken over yet: those of a control host that is not in contact with a
    /// majority are kept until it is, since it sends them again only when they change.
    details: Option<HeadDetails>,
    /// Whether the control host has been asked to stream changes and not to end that.
    is_streaming: bool,
    pub(super) last_received: Timestamp,
}

/// Follows the control log over connections to control hosts, and sends them reports.
///
/// One control host, in this host's availability zone if possible, streams every change. The others
/// only announce their log index; entries are requested from one of them when the stream falls
/// behind.
pub(crate) struct ControlLinks {
    pub(super) host: Rc<EntryHost>,
    /// Connections to control hosts, by address.
    dialed: DialedPeers,
    pub(super) links: Vec<ControlLink>,
    /// What is known about the control hosts.
    pub(super) group: ControlChoice,
    /// Whether no control host was usable at the last tick.
    is_cut_off: bool,
    /// Number of ticks so far.
    pub(super) ticks: u32,
    /// Connection over which changes are streamed.
    stream: Option<LinkId>,
    fetch: StateFetch<LinkId>,
    /// Since when another control host has been known to be ahead of this host's state.
    behind_since: Option<Timestamp>,
    /// Connection to the leader over which evidence of crashes was last reported, and the revision of
    /// the quarantine that was.
    pub(super) reported_crashes: Option<(LinkId, u64)>,
    /// When the leader last reported the overloaded holders.
    shares_received_at: Timestamp,
    /// When the host last logged that its state may be outdated, or started.
    pub(super) outdated_logged_at: Timestamp,
}

impl ControlLinks {
    /// Runs until the process ends. Connections are opened by `dialer`.
    pub(crate) async fn run(host: Rc<EntryHost>, dialer: Rc<dyn TargetDialer>) {
        let (events, mut queue) = mpsc::channel(EVENT_QUEUE_LEN);
        let bounds = MemoryBounds::of(host.settings.borrow().memory_bytes);
        let started_at = host.now();
        let mut links = Self {
            host,
            dialed: DialedPeers::new(events, bounds, dialer),
            links: Vec::new(),
            group: ControlChoice::default(),
            is_cut_off: true,
            ticks: 0,
            stream: None,
            fetch: StateFetch::default(),
            behind_since: None,
            reported_crashes: None,
            shares_received_at: Timestamp::ZERO,
            outdated_logged_at: started_at,
        };
        links.dial();
        let mut reports = tokio::time::interval(REPORT_INTERVAL);
        reports.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = queue.recv() => match event {
                    Some(event) => links.handle_event(event),
                    None => return,
                },
                _ = reports.tick() => links.tick(),
                () = until(links.host.pool_due_at()) => links.host.update_pool(),
            }
        }
    }

    /// Stores what a control host says about the group.
    fn learn_control_hosts(&mut self, details: &HeadDetails) {
        if details.replicas.is_empty() {
            return;
        }
        let zone = |replica: &ReplicaRecord| {
            let found = details.control_zones.iter().find(|(peers, _)| *peers == replica.peers);
            (replica.peers, found.map(|(_, zone)| zone.clone()))
        };
        self.group.hosts = details.replicas.iter().map(zone).collect();
        self.group.leader = details.leader.or(self.group.leader);
        self.dial();
    }

    /// Returns the control hosts that this host knows as members, or that control hosts name which
    /// are not in contact with a majority.
    fn named_hosts(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let details = self.links.iter().filter_map(|link| link.details.as_ref());
        let named = details.flat_map(|details| &details.replicas).map(|replica| replica.peers);
        self.group.hosts.iter().map(|(address, _)| *address).chain(named)
    }

    /// Whether this host is connected to most of the control hosts that it knows. The operating system
    /// of a frozen one still accepts connections, so only those that have introduced themselves count.
    fn reaches_majority(&self) -> bool {
        let mut named: Vec<SocketAddr> = self.named_hosts().collect();
        named.sort();
        named.dedup();
        let introduced = || self.links.iter().filter(|link| link.zone.is_some());
        let is_connected = |peer: &&SocketAddr| introduced().any(|link| link.peer == **peer);
        2 * named.iter().filter(is_connected).count() > named.len()
    }

    /// Maintains connections to the chosen control hosts, and closes all others. Connects to all
    /// known ones while none is usable.
    fn dial(&mut self) {
        let settings = self.host.settings.borrow();
        let (zone, port) = (settings.zone.clone(), settings.peer_port);
        let seeds = settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port));
        let mut wanted = self.group.choose(&settings.host, &zone);
        if self.is_cut_off || self.group.hosts.len() <= wanted.len() {
            wanted.extend(seeds);
            wanted.extend(self.named_hosts());
        }
        drop(settings);
        self.dialed.set_peers(wanted);
        let dialed = &self.dialed;
        self.links.retain(|link| dialed.contains(&link.peer));
    }

    fn handle_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Opened { link, peer, .. } => {
                log::info!("event=control_connected peer={peer}");
                let settings = self.host.settings.borrow();
                let (host, zone) = (settings.host.clone(), settings.zone.clone());
                let relay = Some(SocketAddr::new(settings.address, settings.peer_port));
                link.send(&LinkMessage::Hello { host, zone, kind: HostKind::Entry, relay });
                let last_received = self.host.now();
                let (zone, head, details) = (None, None, None);
                let is_streaming = false;
                self.links.push(ControlLink {
                    link,
                    peer,
                    zone,
                    head,
                    details,
                    is_streaming,
                    last_received,
                });
            }
            LinkEvent::Closed { id } => {
                self.links.retain(|link| link.link.id != id);
                self.fetch.finish(id);
                if self.stream == Some(id) {
                    self.stream = None;
                    self.select_stream();
                }
            }
            LinkEvent::Message { link, message } => self.handle_message(&link, message),
        }
    }

    fn handle_message(&mut self, link: &LinkHandle, message: LinkMessage) {
        let now = self.host.now();
        let Some(known) = self.links.iter_mut().find(|known| known.link.id == link.id) else {
            return;
        };
        known.last_received = now;
        match message {
            LinkMessage::Hello { zone, .. } => known.zone = Some(zone),
            LinkMessage::Head(mut head) => {
                let details = head.details.take();
                known.head = Some(head);
                if let Some(details) = details {
                    let mut quarantine = self.host.quarantine.borrow_mut();
                    details.crashes.iter().for_each(|entry| quarantine.merge(now, entry));
                    known.details = Some(details);
                }
                self.handle_head(link.id);
            }
            LinkMessage::Updates { after, through, commands } => {
                self.fetch.finish(link.id);
                if !self.host.apply_updates(after, through, &commands) {
                    self.request_entries(link);
                }
                self.end_earlier_streams();
                self.check_progress();
            }
            LinkMessage::Snapshot { index, state } => {
                self.fetch.finish(link.id);
                self.host.install_snapshot(index, *state);
                self.end_earlier_streams();
                self.check_progress();
            }
            LinkMessage::EncodedState { index, state } => {
                self.fetch.finish(link.id);
                match FleetState::restore(&state) {
                    Ok(state) => self.host.install_snapshot(index, state),
                    Err(error) => {
                        log::error!("event=state_not_read index={index} cause=\"{error}\"")
                    }
                }
                self.end_earlier_streams();
                self.check_progress();
            }
            LinkMessage::ColdTargets(message) => {
                if message.is_leader || !self.has_earlier_leader() {
                    self.host.apply_cold_message(message);
                }
            }
            LinkMessage::RunOrder { call, order, address, send_before } => {
                let send_before = Timestamp::from_nanos(send_before);
                let host = self.host.clone();
                spawn_local(relay_order(host, link.clone(), call, order, address, send_before));
            }
            other => log::warn!("event=unexpected_message message={other:?}"),
        }
    }

    fn handle_head(&mut self, id: LinkId) {
        let Some(link) = self.links.iter_mut().find(|link| link.link.id == id) else { return };
        let Some(head) = link.head.clone() else { return };
        let details = if head.is_current { link.details.take() } else { None };
        let own_zone = self.host.settings.borrow().zone.clone();
        let knows_zone = head.is_leader || link.zone.as_ref() == Some(&own_zone);
        if head.is_current {
            self.host.last_contact.set(self.host.now());
            if self.host.learned.borrow().contains(head.index) {
                self.host.current_at.set(Some(self.host.now()));
            }
        }
        if self.has_earlier_leader() {
            self.host.ignore_cold_targets();
        }
        if head.is_leader {
            let host_count = usize::try_from(head.host_count).unwrap_or(usize::MAX);
            self.host.record_host_count(host_count);
            let now = self.host.now();
            self.host.record_limits(head.limits.iter().map(|limit| limit.received(now)));
        }
        if head.is_leader {
            let share = |report: &ShareReport| HolderShare {
                holder: report.holder.clone(),
                share: f64::from(report.permille) / 1_000.0,
            };
            let shares = head.shares.iter().map(share).collect();
            self.host.throttle.borrow_mut().update(shares, rand::random());
            self.shares_received_at = self.host.now();
        }
        if let Some(details) = details {
            if head.is_leader {
                let peer = |report: &RelayReport| RelayPeer {
                    address: report.address,
                    is_same_zone: report.is_same_zone,
                };
                self.host.relays.update(details.relays.iter().map(peer));
            }
            if knows_zone {
                let preferred = PreferredTargets::new(details.zone_hosts.clone());
                self.host.set_preferred_targets(preferred);
            }
            self.learn_control_hosts(&details);
        } else if self.is_cut_off && !head.is_current {
            self.dial();
        }
        self.select_stream();
        self.check_progress();
    }

    /// Whether the leader is of a build that knows no cold targets and gives no leases for them.
    fn has_earlier_leader(&self) -> bool {
        let leads = |link: &ControlLink| link.head.as_ref().is_some_and(|head| head.is_leader);
        let leader = self.links.iter().filter(|link| leads(link));
        let leader = leader.max_by_key(|link| link.last_received);
        leader.is_some_and(|link| !link.link.supports(FormatVersion::EVACUATIONS))
    }

    /// Whether a control host is in contact with a majority and was heard recently.
    pub(super) fn is_usable(link: &ControlLink, now: Timestamp) -> bool {
        let is_current = link.head.as_ref().is_some_and(|head| head.is_current);
        is_current && now.since(link.last_received) < MAX_HEAD_AGE
    }

    /// Selects the control host to stream changes from: one in contact with a majority, preferably
    /// in this host's zone, preferably the present one.
    fn select_stream(&mut self) {
        let now = self.host.now();
        let own_zone = self.host.settings.borrow().zone.clone();
        let usable = self.links.iter().filter(|link| Self::is_usable(link, now));
        let best = usable.max_by_key(|link| {
            let id = link.link.id;
            let is_same_zone = link.zone.as_ref() == Some(&own_zone);
            (!self.fetch.is_unanswered(id), is_same_zone, self.stream == Some(id))
        });
        let Some(best) = best.map(|link| link.link.clone()) else { return };
        if self.stream == Some(best.id) {
            return;
        }
        if !self.may_fetch() {
            return;
        }
        self.stream = Some(best.id);
        self.end_earlier_streams();
        self.request_entries(&best);
    }

    /// Ends the streams of other control hosts than the selected one. Each replies with the entries that
    /// this host lacks. One that has not answered yet may still send the complete state, which would
    /// follow once more, so its stream ends once it has answered.
    fn end_earlier_streams(&mut self) {
        let after = self.host.learned.borrow().fetch_index();
        for link in self.links.iter_mut().filter(|link| link.is_streaming) {
            let id = link.link.id;
            if self.stream != Some(id) && !self.fetch.is_unanswered(id) {
                link.is_streaming = !link.link.send(&LinkMessage::Fetch { after, stream: false });
            }
        }
    }

    /// Whether no reply with missing entries is on its way.
    pub(super) fn may_fetch(&self) -> bool {
        let progress = |id: LinkId| {
            let link = &self.links.iter().find(|link| link.link.id == id)?.link;
            let (last_byte, last_part) = (link.last_byte.get(), link.last_part.get());
            Some(LinkProgress { last_byte, last_part })
        };
        self.fetch.may_start(self.host.now(), progress)
    }

    /// Requests the entries after this host's state, unless a reply is already on its way.
    fn request_entries(&mut self, link: &LinkHandle) {
        if !self.may_fetch() {
            return;
        }
        let after = self.host.learned.borrow().fetch_index();
        let stream = self.stream == Some(link.id);
        if link.send(&LinkMessage::Fetch { after, stream }) {
            self.fetch.start(self.host.now(), link.id);
            let known = self.links.iter_mut().find(|known| known.link.id == link.id);
            known.into_iter().for_each(|known| known.is_streaming = stream);
        }
    }

    /// Compares this host's state with the log indices that control hosts announced, and requests
    /// missing entries if it lags for too long.
    fn check_progress(&mut self) {
        let now = self.host.now();
        let learned = self.host.learned.borrow();
        let heads = self.links.iter().filter_map(|link| Some((link, link.head.as_ref()?)));
        let newest = heads.clone().max_by_key(|(_, head)| head.index);
        let has_usable = heads.clone().any(|(link, _)| Self::is_usable(link, now));
        let is_caught_up = newest.is_some_and(|(_, head)| learned.contains(head.index));
        if has_usable && is_caught_up {
            self.host.record_caught_up();
        }
        let Some((_, head)) = newest else { return };
        if learned.contains(head.index) {
            self.behind_since = None;
            return;
        }
        let applied = learned.applied();
        let ahead = heads.filter(|(_, head)| !learned.contains(head.index));
        let source =
            ahead.max_by_key(|(link, head)| (!self.fetch.is_unanswered(link.link.id), head.index));
        let Some((link, _)) = source else { return };
        let since = *self.behind_since.get_or_insert(now);
        if now.since(since) > MAX_LAG && self.may_fetch() {
            log::info!("event=state_behind applied={applied} known={}", head.index);
            let link = link.link.clone();
            drop(learned);
            self.behind_since = Some(now);
            self.request_entries(&link);
        }
    }

    fn tick(&mut self) {
        let now = self.host.now();
        let is_cut_off = !self.links.iter().any(|link| Self::is_usable(link, now));
        self.host.reaches_majority.set(!is_cut_off || self.reaches_majority());
        if is_cut_off || self.is_cut_off {
            self.is_cut_off = is_cut_off;
            // The settings may name other control hosts since: those that were known may all have
            // been replaced meanwhile.
            self.dial();
        }
        self.select_stream();
        self.check_progress();
        self.log_outdated_state(now);
        self.host.log_stopped_zones();
        self.report();
        self.host.log_cold_targets();
        self.host.probe_cold_targets();
        if self.host.now().since(self.shares_received_at) > MAX_SHARES_AGE {
            self.host.throttle.borrow_mut().update(Vec::new(), 0.0);
        }
    }
}

/// Waits until a time; forever if there is none.
async fn until(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}

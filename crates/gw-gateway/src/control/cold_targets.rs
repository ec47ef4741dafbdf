use std::collections::BTreeMap;
use std::time::Duration;

use gw_balance::COLD_LEASE_TIME;
use gw_balance::COLD_PERMIT_TIME;
use gw_balance::ColdAllocator;
use gw_balance::ColdBound;
use gw_fleet::FleetState;
use gw_fleet::FormatVersion;
use gw_fleet::TargetRecord;
use gw_ranges::RangeHolder;
use gw_routing::ConfigVersion;
use gw_types::HostName;
use gw_types::ServiceName;
use gw_types::Timestamp;
use gw_types::ZoneName;

use crate::GatewaySettings;
use crate::control::control_host::ControlHost;
use crate::control::peer_links::PeerLink;
use crate::link::ColdMessage;
use crate::link::GrantReport;
use crate::link::LeaseReport;
use crate::link::LinkMessage;
use crate::link::ServiceHeat;
use crate::link::WarmthReport;

/// Age of an entry host's last reported clock after which the host is no sponsor: it reports every
/// 0.3 s.
const MAX_CLOCK_AGE: Duration = Duration::from_secs(2);

/// What a control host does about cold targets besides knowing them.
pub(crate) struct ColdDuty {
    /// Version of the configuration that the limits were read from.
    config: Option<ConfigVersion>,
    /// As leader: the leases of entry hosts.
    allocator: ColdAllocator,
    /// Whether a run has become cold since the last message to entry hosts.
    is_urgent: bool,
    /// As follower: statements of targets that were not forwarded to the leader yet, with their
    /// times.
    unsent: Vec<(RangeHolder, Duration, Timestamp)>,
}

impl ColdDuty {
    /// Creates the state of a host that does not lead, or has just become the leader.
    pub(crate) fn new(now: Timestamp, settings: &GatewaySettings) -> Self {
        let bound =
            ColdBound { factor: settings.cold_rate_factor, extra: settings.cold_extra_requests };
        let allocator = ColdAllocator::new(now, bound);
        Self { config: None, allocator, is_urgent: false, unsent: Vec::new() }
    }
}

/// A lease for one host, in the form of the message but for its end.
type HostLease = (RangeHolder, GrantReport, Duration);

impl ControlHost {
    /// Restarts the allocation when this host has gained or lost the leadership.
    pub(crate) fn restart_cold_duty(&self) {
        *self.cold.borrow_mut() = ColdDuty::new(self.now(), &self.settings.borrow());
    }

    /// Reads the limits for cold targets from the configuration in force if it has changed. Returns
    /// whether the limits have changed.
    pub(crate) fn update_warm_up_limits(&self) -> bool {
        let log = self.log.borrow();
        let version = log.state().config_version();
        let mut duty = self.cold.borrow_mut();
        if duty.config == Some(version) {
            return false;
        }
        duty.config = Some(version);
        let document = log.state().stored_config().map(|config| &config.document[..]);
        let limits = document.map(|document| self.adapter.read_warm_up_limits(document));
        let limits = limits.unwrap_or_default();
        let warmth = &mut self.monitor.borrow_mut().warmth;
        let is_changed = warmth.limits() != limits;
        warmth.set_limits(limits);
        // The leader does not know what was heard here before there were limits.
        duty.unsent = warmth.statements();
        is_changed
    }

    /// Tells entry hosts at once if the limits for cold targets have changed. They receive the limits
    /// before the configuration, so that none refuses requests by limits that it has replaced.
    pub(crate) fn push_warm_up_limits(&self) {
        if self.update_warm_up_limits() {
            self.cold.borrow_mut().is_urgent = true;
            send_cold_targets(self, false);
        }
    }

    /// Records for how long a run said, `age` ago, that it stays cold. Forwards it to the leader if
    /// the run announced itself here.
    pub(crate) fn record_warmth(&self, holder: &RangeHolder, left: Duration, age: Duration) {
        let now = self.now();
        let (is_news, was_cold, is_cold, is_limited) = {
            let warmth = &mut self.monitor.borrow_mut().warmth;
            let was_cold = warmth.remaining(now, holder).is_some();
            let is_news = warmth.record(now, holder, left, age);
            let is_cold = warmth.remaining(now, holder).is_some();
            (is_news, was_cold, is_cold, !warmth.limits().is_empty())
        };
        if !is_limited {
            return;
        }
        if is_cold && !was_cold {
            log::info!("event=target_cold target={holder} left_ms={}", left.as_millis());
            self.cold.borrow_mut().is_urgent = true;
        } else if was_cold && !is_cold {
            log::info!("event=target_warm target={holder}");
        }
        if !self.is_leader() {
            self.cold.borrow_mut().unsent.push((holder.clone(), left, now - age));
            if is_news {
                self.forward_warmth();
            }
        }
    }

    /// Forwards to the leader what targets have said about themselves.
    pub(crate) fn forward_warmth(&self) {
        let now = self.now();
        let unsent = std::mem::take(&mut self.cold.borrow_mut().unsent);
        let link = self.leader_link().filter(|link| link.supports(FormatVersion::EVACUATIONS));
        let Some(link) = link.filter(|_| !unsent.is_empty()) else { return };
        let report = |(holder, left, at)| WarmthReport::new(holder, left, now.since(at));
        let reports = unsent.into_iter().map(report).collect();
        link.send(&LinkMessage::Warmth { reports });
    }

    /// Records that the targets of a zone whose evacuation has ended may be cold.
    pub(crate) fn record_evacuation_end(&self, zone: &ZoneName) {
        let now = self.now();
        let log = self.log.borrow();
        let warmth = &mut self.monitor.borrow_mut().warmth;
        let targets = log.state().targets().iter().filter(|target| target.zone == *zone);
        targets.for_each(|target| warmth.record_doubt(now, &target.holder()));
        self.cold.borrow_mut().is_urgent = true;
    }

    /// Records the demand of an entry host for keys of cold holders, from its report.
    pub(crate) fn record_cold_demand(&self, host: &HostName, heat: &[ServiceHeat]) {
        let now = self.now();
        let log = self.log.borrow();
        let state = log.state();
        let warmth = &self.monitor.borrow().warmth;
        let is_cold = |holder: &RangeHolder| {
            let target = state.live_target(holder);
            target.is_some_and(|target| warmth.cold_rate(now, target).is_some())
        };
        let mut wanted: BTreeMap<RangeHolder, u32> = BTreeMap::new();
        let limited = heat.iter().filter(|report| warmth.is_limited(&report.service));
        for report in limited.filter(|report| is_keyed(state, &report.service)) {
            let Some(table) = state.table(&report.service) else { continue };
            for (key, count) in &report.counts {
                let holder = table.find(*key).holder.as_ref();
                if let Some(holder) = holder.filter(|holder| is_cold(holder)) {
                    let sum = wanted.entry(holder.clone()).or_default();
                    *sum = sum.saturating_add(*count);
                }
            }
        }
        let wanted: Vec<(RangeHolder, u32)> = wanted.into_iter().collect();
        self.cold.borrow_mut().allocator.record_demand(now, host, &wanted);
    }
}

/// Tells entry hosts which targets are cold and what they may send to them: in each round of
/// messages, and at once to all if a run has become cold, or to those that have just connected.
pub(crate) fn send_cold_targets(host: &ControlHost, is_round: bool) {
    host.update_warm_up_limits();
    let now = host.now();
    if is_round {
        let log = host.log.borrow();
        let is_live = |holder: &RangeHolder| log.state().live_target(holder).is_some();
        host.monitor.borrow_mut().warmth.retain(now, is_live);
    }
    let monitor = host.monitor.borrow();
    let limits = ColdMessage::limits_of(monitor.warmth.limits());
    let mut duty = host.cold.borrow_mut();
    let mut links = host.links.borrow_mut();
    let is_leader = host.is_confirmed_leader();
    let version = duty.config;
    if !is_leader || limits.is_empty() {
        let is_recipient = |link: &&mut PeerLink| {
            link.is_entry()
                && link.link.supports(FormatVersion::EVACUATIONS)
                && link.sent_limits != version
                && (!limits.is_empty() || link.sent_limits.is_some())
        };
        for link in links.iter_mut().filter(is_recipient) {
            let limits = limits.clone();
            let message = ColdMessage { is_leader, limits, ..ColdMessage::default() };
            if link.link.send(&LinkMessage::ColdTargets(message)) {
                link.sent_limits = version;
            }
        }
        return;
    }
    let is_for_all = std::mem::take(&mut duty.is_urgent) || is_round;
    if !is_for_all && !links.iter().any(|link| link.awaits_head) {
        return;
    }
    let log = host.log.borrow();
    let state = log.state();
    let cold = cold_targets(state, |target| monitor.warmth.cold_rate(now, target));
    host.metrics.cold_targets.set(cold.len() as i64);
    // Permits that are not sent to a host would be lost, so they are given out only to all. A host
    // that stops hands the leadership over, and leases of the next leader may follow at once.
    let leases = match is_for_all && !host.is_stopping.get() {
        true => allocate(now, state, &cold, &mut duty.allocator, &links),
        false => BTreeMap::new(),
    };
    let unsure = monitor.warmth.unsure(now, state.targets());
    let remaining = |(target, _): &(&TargetRecord, f64)| {
        let holder = target.holder();
        let left = monitor.warmth.remaining(now, &holder).unwrap_or_default();
        (holder, u32::try_from(left.as_millis()).unwrap_or(u32::MAX))
    };
    let base = ColdMessage {
        is_leader: true,
        limits,
        through: unsure.is_some().then(|| log.applied()),
        sent_after: None,
        cold: cold.iter().map(remaining).collect(),
        unsure: unsure.unwrap_or_default(),
        leases: Vec::new(),
    };
    for index in 0..links.len() {
        let link = &links[index];
        let is_recipient = link.is_entry() && (is_for_all || link.awaits_head);
        if !is_recipient || !link.link.supports(FormatVersion::EVACUATIONS) {
            continue;
        }
        let clock = receiver_clock(link, now);
        let own = newest_link_host(&links, index).and_then(|name| leases.get(name));
        let own = own.map_or(&[][..], |own| own);
        let lease = |(holder, grant, validity): &HostLease| {
            let (holder, grant) = (holder.clone(), *grant);
            clock.map(|clock| LeaseReport { holder, until: (clock + *validity).as_nanos(), grant })
        };
        let message = ColdMessage {
            sent_after: clock.map(Timestamp::as_nanos),
            leases: own.iter().filter_map(lease).collect(),
            ..base.clone()
        };
        let is_sent = links[index].link.send(&LinkMessage::ColdTargets(message));
        if is_sent {
            links[index].sent_limits = version;
        }
    }
}

/// Returns the targets that are cold with the rates that they sustain, sorted by name.
fn cold_targets(
    state: &FleetState,
    cold_rate: impl Fn(&TargetRecord) -> Option<f64>,
) -> Vec<(&TargetRecord, f64)> {
    state.targets().iter().filter_map(|target| Some((target, cold_rate(target)?))).collect()
}

fn is_keyed(state: &FleetState, service: &ServiceName) -> bool {
    let services = state.config().map_or(&[][..], |config| &config.services);
    services.iter().any(|spec| spec.name == *service && spec.is_keyed)
}

/// Returns a time that the receiver's clock has certainly reached: that of its last report, and the
/// time since the report arrived.
fn receiver_clock(link: &PeerLink, now: Timestamp) -> Option<Timestamp> {
    let (clock, reported_at) = link.clock?;
    let age = now.since(reported_at);
    (age < MAX_CLOCK_AGE).then(|| Timestamp::from_nanos(clock) + age)
}

/// Returns the name of the entry host at the other end of a connection, unless the host has opened a
/// later one.
fn newest_link_host(links: &[PeerLink], index: usize) -> Option<&HostName> {
    let (name, _, _) = links[index].hello.as_ref()?;
    let is_same = |link: &PeerLink| matches!(&link.hello, Some((other, _, _)) if other == name);
    let has_later = links[index + 1..].iter().any(is_same);
    (!has_later).then_some(name)
}

/// Returns the leases of the entry hosts for the present round.
fn allocate(
    now: Timestamp,
    state: &FleetState,
    cold: &[(&TargetRecord, f64)],
    allocator: &mut ColdAllocator,
    links: &[PeerLink],
) -> BTreeMap<HostName, Vec<HostLease>> {
    let eligible = links.iter().filter(|link| {
        link.is_entry()
            && link.takes_relays
            && link.link.supports(FormatVersion::EVACUATIONS)
            && receiver_clock(link, now).is_some()
    });
    let mut hosts: Vec<(HostName, ZoneName)> = eligible
        .filter_map(|link| link.hello.as_ref().map(|(name, zone, _)| (name.clone(), zone.clone())))
        .collect();
    hosts.sort();
    let is_cold = |holder: &RangeHolder| {
        let found = cold.binary_search_by(|(target, _)| target.name.cmp(&holder.target));
        found.is_ok_and(|index| cold[index].0.run == holder.run)
    };
    let is_connected = |host: &HostName| hosts.binary_search_by(|(name, _)| name.cmp(host)).is_ok();
    allocator.retain(now, is_cold, is_connected);
    let mut leases: BTreeMap<HostName, Vec<HostLease>> = BTreeMap::new();
    for (target, per_second) in cold {
        let holder = target.holder();
        if is_keyed(state, &target.service) {
            for (host, count) in allocator.permits(now, &holder, *per_second) {
                let lease = (holder.clone(), GrantReport::Requests(count), COLD_PERMIT_TIME);
                leases.entry(host).or_default().push(lease);
            }
        } else if let Some((host, rate)) =
            allocator.sponsor(now, &holder, &target.zone, *per_second, &hosts)
        {
            let lease = (holder, GrantReport::PerSecond(rate), COLD_LEASE_TIME);
            leases.entry(host).or_default().push(lease);
        }
    }
    leases
}

//! Several hosts and targets around one message queue, in simulated time.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gw_agreement::PersistBatch;
use gw_agreement::RecoveredState;
use gw_membership::TargetAnnouncement;
use gw_node::CallId;
use gw_node::DispatchPlan;
use gw_node::DrainOrder;
use gw_node::DrainScope;
use gw_node::HostNode;
use gw_node::NodeAction;
use gw_node::NodeEvent;
use gw_node::NodeOptions;
use gw_node::PeerMessage;
use gw_types::BootId;
use gw_types::HostEntry;
use gw_types::HostId;
use gw_types::KeyHash;
use gw_types::KeySource;
use gw_types::RouteMatch;
use gw_types::RoutingTable;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneName;

/// Upper bound of the deadlines of requests in these tests.
pub(crate) const LONGEST_DEADLINE: Duration = Duration::from_millis(1_000);
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Deterministic random number generator (SplitMix64).
pub(crate) struct Generator(pub(crate) u64);

impl Generator {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }

    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// A host with its clock, disk and latest published state.
pub(crate) struct SimulatedHost {
    pub(crate) entry: HostEntry,
    pub(crate) node: Option<HostNode>,
    pub(crate) boot: u64,
    /// Rate error of the host's clock in parts per million.
    pub(crate) clock_ppm: i64,
    /// Offset of the host's clock in nanoseconds, so that timestamps of hosts are not comparable.
    pub(crate) clock_offset: u64,
    pub(crate) paused_until: Option<Timestamp>,
    /// Synced journal of the control replica.
    pub(crate) disk: RecoveredState,
    /// Until when writes of the journal fail.
    pub(crate) full_until: Timestamp,
    /// Whether a write has failed and the journal was not opened again yet.
    has_failed_journal: bool,
    pub(crate) routes: Arc<RoutingTable>,
    pub(crate) plan: Arc<DispatchPlan>,
    next_tick: Timestamp,
}

/// A target that only announces itself.
#[derive(Clone)]
pub(crate) struct SimulatedTarget {
    pub(crate) announcement: TargetAnnouncement,
    pub(crate) is_alive: bool,
    next_announcement: Timestamp,
}

struct Delivery {
    from: HostId,
    boot: BootId,
    to: HostId,
    message: PeerMessage,
}

/// A request that was sent to a target and has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) host: usize,
    pub(crate) service: String,
    pub(crate) key: KeyHash,
    pub(crate) target: TargetName,
    /// Simulated time at which the target responds.
    pub(crate) ends: Timestamp,
}

/// A drain order that waits for requests to end.
struct PendingDrain {
    host: usize,
    boot: u64,
    order: DrainOrder,
    /// Simulated time at which the remaining requests are cancelled.
    cancel_at: Timestamp,
}

/// One-way delays, losses and duplication of the network.
#[derive(Clone, Copy)]
pub(crate) struct LinkOptions {
    pub(crate) same_zone: Duration,
    pub(crate) other_zone: Duration,
    pub(crate) loss_percent: u64,
    pub(crate) duplicate_percent: u64,
    pub(crate) jitter: Duration,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            same_zone: Duration::from_micros(300),
            other_zone: Duration::from_millis(5),
            loss_percent: 0,
            duplicate_percent: 0,
            jitter: Duration::from_micros(200),
        }
    }
}

/// Several hosts and targets around one message queue, in simulated time.
pub(crate) struct SimulatedCluster {
    pub(crate) now: Timestamp,
    pub(crate) hosts: Vec<SimulatedHost>,
    pub(crate) targets: Vec<SimulatedTarget>,
    pub(crate) links: LinkOptions,
    /// Pairs of sender and receiver whose messages are lost.
    pub(crate) blocked_links: Vec<(HostId, HostId)>,
    pub(crate) random: Generator,
    queue: BTreeMap<(Timestamp, u64), Delivery>,
    sequence: u64,
    call: u64,
    pub(crate) requests: Vec<Request>,
    drains: Vec<PendingDrain>,
    /// Whether routes, plans or running hosts may have changed since this was reset.
    pub(crate) changed: bool,
    /// Number of messages and of encoded bytes sent.
    pub(crate) sent: (u64, u64),
}

impl SimulatedCluster {
    /// Starts `sizes[i]` hosts in zone `z<i>`. `control` lists the ids of the hosts with a replica.
    pub(crate) fn new(sizes: &[usize], control: &[usize], seed: u64) -> Self {
        let mut entries = Vec::new();
        for (zone, size) in sizes.iter().enumerate() {
            for _ in 0..*size {
                let id = entries.len() as u16;
                entries.push(HostEntry {
                    id: HostId(id),
                    name: format!("h{id}").parse().unwrap(),
                    zone: format!("z{zone}").parse().unwrap(),
                    peers: ([127, 0, 0, 1], 10_000 + id).into(),
                    forwards: Some(([127, 0, 0, 1], 20_000 + id).into()),
                    control: control.contains(&usize::from(id)),
                });
            }
        }
        let mut random = Generator(seed);
        let hosts = entries.iter().map(|entry| SimulatedHost {
            entry: entry.clone(),
            node: None,
            boot: 0,
            clock_ppm: random.below(10_000) as i64 - 5_000,
            clock_offset: random.below(1 << 40),
            paused_until: None,
            disk: RecoveredState::default(),
            full_until: Timestamp::ZERO,
            has_failed_journal: false,
            routes: Arc::default(),
            plan: Arc::default(),
            next_tick: Timestamp::ZERO,
        });
        let mut cluster = Self {
            now: Timestamp::from_millis(1),
            hosts: hosts.collect(),
            targets: Vec::new(),
            links: LinkOptions::default(),
            blocked_links: Vec::new(),
            random,
            queue: BTreeMap::new(),
            sequence: 0,
            call: 0,
            requests: Vec::new(),
            drains: Vec::new(),
            changed: true,
            sent: (0, 0),
        };
        for host in 0..entries.len() {
            cluster.start(host);
        }
        cluster
    }

    /// The current time on a host's own clock.
    pub(crate) fn clock(&self, host: usize) -> Timestamp {
        let host = &self.hosts[host];
        let real = self.now.as_nanos() as i128;
        let local = real + real * i128::from(host.clock_ppm) / 1_000_000;
        Timestamp::from_nanos(local as u64 + host.clock_offset)
    }

    pub(crate) fn start(&mut self, host: usize) {
        let now = self.clock(host);
        let seed = self.random.next();
        let entries: Vec<_> = self.hosts.iter().map(|host| host.entry.clone()).collect();
        let state = &mut self.hosts[host];
        state.boot += 1;
        let options = NodeOptions {
            host: state.entry.id,
            boot: BootId(state.boot),
            hosts: entries,
            recovered: state.entry.control.then(|| state.disk.clone()),
            seed,
            longest_deadline: LONGEST_DEADLINE,
        };
        state.node = Some(HostNode::new(options, now));
        state.next_tick = self.now;
        state.paused_until = None;
        state.has_failed_journal = false;
    }

    /// Kills a host's process. Its synced journal stays.
    pub(crate) fn kill(&mut self, host: usize) {
        let state = &mut self.hosts[host];
        self.changed = true;
        state.node = None;
        state.plan = Arc::default();
        state.routes = Arc::default();
    }

    fn is_journal_failing(&self, host: usize) -> bool {
        let state = &self.hosts[host];
        state.has_failed_journal || state.full_until > self.now
    }

    pub(crate) fn pause(&mut self, host: usize, duration: Duration) {
        self.hosts[host].paused_until = Some(self.now + duration);
    }

    /// Blocks messages in both directions between two groups of hosts.
    pub(crate) fn block(&mut self, left: &[usize], right: &[usize]) {
        for a in left {
            for b in right {
                self.blocked_links.push((HostId(*a as u16), HostId(*b as u16)));
                self.blocked_links.push((HostId(*b as u16), HostId(*a as u16)));
            }
        }
    }

    pub(crate) fn heal(&mut self) {
        self.blocked_links.clear();
    }

    pub(crate) fn add_target(
        &mut self,
        service: &str,
        name: &str,
        zone: &str,
        checks_tokens: bool,
    ) {
        let keyed = !service.starts_with("plain");
        let announcement = TargetAnnouncement {
            service: service.parse().unwrap(),
            route: RouteMatch { host: None, path_prefix: Some(format!("/{service}")) },
            key: keyed.then_some(KeySource::PathSegment(1)),
            profile: "default".parse().unwrap(),
            target: name.parse().unwrap(),
            address: ([127, 0, 0, 1], 30_000 + self.targets.len() as u16).into(),
            zone: zone.parse().unwrap(),
            boot_id: BootId(1),
            checks_tokens,
            work_slots: 2,
            sequence: 0,
        };
        let next_announcement = self.now;
        self.targets.push(SimulatedTarget { announcement, is_alive: true, next_announcement });
    }

    pub(crate) fn target_mut(&mut self, name: &str) -> &mut SimulatedTarget {
        let found =
            self.targets.iter_mut().find(|target| target.announcement.target.as_str() == name);
        found.expect("the test added the target")
    }

    /// Runs for `duration` and calls `check` after each event.
    pub(crate) fn run_checked(
        &mut self,
        duration: Duration,
        mut check: impl FnMut(&SimulatedCluster),
    ) {
        let end = self.now + duration;
        while self.step_once(end) {
            check(self);
        }
        self.now = end;
    }

    pub(crate) fn run(&mut self, duration: Duration) {
        self.run_checked(duration, |_| {});
    }

    pub(crate) fn step_once(&mut self, end: Timestamp) -> bool {
        let tick = self.hosts.iter().filter(|host| host.node.is_some()).map(|host| {
            host.paused_until.map_or(host.next_tick, |until| host.next_tick.max(until))
        });
        let tick = tick.min();
        let renewal = self.targets.iter().filter(|target| target.is_alive);
        let renewal = renewal.map(|target| target.next_announcement).min();
        let delivery = self.queue.keys().next().map(|key| key.0);
        let next = [tick, renewal, delivery].into_iter().flatten().min();
        let Some(next) = next.filter(|next| *next <= end) else { return false };
        self.now = self.now.max(next);
        if delivery == Some(next) {
            self.deliver();
        } else if renewal == Some(next) {
            self.renew_target();
        } else {
            self.tick_hosts();
        }
        self.end_requests();
        true
    }

    fn deliver(&mut self) {
        let Some((_, delivery)) = self.queue.pop_first() else { return };
        let to = usize::from(delivery.to.0);
        if let Some(until) = self.hosts[to].paused_until.filter(|until| *until > self.now) {
            // A paused host receives its messages when it resumes.
            self.sequence += 1;
            self.queue.insert((until, self.sequence), delivery);
            return;
        }
        let Delivery { from, boot, message, .. } = delivery;
        self.event(to, NodeEvent::Message { from, boot, message });
    }

    fn renew_target(&mut self) {
        let now = self.now;
        let position = self
            .targets
            .iter()
            .position(|target| target.is_alive && target.next_announcement <= now);
        let Some(position) = position else { return };
        let target = &mut self.targets[position];
        target.next_announcement = now + RENEWAL_INTERVAL;
        target.announcement.sequence += 1;
        let announcement = target.announcement.clone();
        let zone = announcement.zone.clone();
        // Takes the place of the zone's load balancer, which picks a running host.
        let live: Vec<_> = (0..self.hosts.len())
            .filter(|host| self.hosts[*host].entry.zone == zone)
            .filter(|host| self.hosts[*host].node.is_some())
            .filter(|host| self.hosts[*host].paused_until.is_none_or(|until| until <= now))
            .collect();
        if live.is_empty() {
            return;
        }
        let host = live[self.random.below(live.len() as u64) as usize];
        self.call += 1;
        self.event(host, NodeEvent::Announce { call: CallId(self.call), announcement });
    }

    fn tick_hosts(&mut self) {
        for host in 0..self.hosts.len() {
            let state = &mut self.hosts[host];
            if state.paused_until.is_some_and(|until| until <= self.now) {
                state.paused_until = None;
            }
            let is_due = state.next_tick <= self.now && state.paused_until.is_none();
            if is_due && state.node.is_some() {
                state.next_tick = self.now + TICK_INTERVAL;
                if state.has_failed_journal && state.full_until <= self.now {
                    state.has_failed_journal = false;
                    let recovered = state.disk.clone();
                    self.event(host, NodeEvent::JournalReopened { recovered });
                }
                self.event(host, NodeEvent::Tick);
            }
        }
    }

    /// Passes an event to a host and carries out the actions. Returns those that the simulation
    /// does not handle, such as replies to calls.
    pub(crate) fn event(&mut self, host: usize, event: NodeEvent) -> Vec<NodeAction> {
        let now = self.clock(host);
        let Some(node) = &mut self.hosts[host].node else { return Vec::new() };
        let actions = node.step(now, event);
        let mut replies = Vec::new();
        for action in actions {
            match action {
                NodeAction::Send { to, message, .. } => self.send(host, to, message),
                NodeAction::Persist { .. } if self.is_journal_failing(host) => {
                    self.hosts[host].has_failed_journal = true;
                    replies.extend(self.event(host, NodeEvent::JournalFailed));
                }
                NodeAction::Persist { token, batch } => {
                    persist(&mut self.hosts[host].disk, batch);
                    replies.extend(self.event(host, NodeEvent::Persisted { token }));
                }
                NodeAction::PublishRoutes(routes) => {
                    self.hosts[host].routes = routes;
                    self.changed = true;
                }
                NodeAction::PublishPlan(plan) => {
                    self.hosts[host].plan = plan;
                    self.changed = true;
                }
                NodeAction::Drain(order) => {
                    let cancel_at = self.now + order.cancel_at.since(now);
                    let boot = self.hosts[host].boot;
                    self.drains.push(PendingDrain { host, boot, order, cancel_at });
                }
                other => replies.push(other),
            }
        }
        replies
    }

    /// Ends requests that are due, cancels the requests of overdue drains, and reports drains
    /// without requests to their hosts.
    fn end_requests(&mut self) {
        let now = self.now;
        self.requests.retain(|request| request.ends > now);
        for position in (0..self.drains.len()).rev() {
            let host = self.drains[position].host;
            if self.is_paused(host) {
                continue;
            }
            let drain = &self.drains[position];
            let is_over = drain.boot != self.hosts[host].boot || self.hosts[host].node.is_none();
            if now >= drain.cancel_at {
                let (host, order) = (drain.host, drain.order.clone());
                self.requests.retain(|request| !is_covered(request, host, &order));
            }
            let drain = &self.drains[position];
            let has_open_requests =
                self.requests.iter().any(|open| is_covered(open, drain.host, &drain.order));
            if is_over || !has_open_requests {
                let drain = self.drains.swap_remove(position);
                if !is_over {
                    self.event(host, NodeEvent::Drained { drain_id: drain.order.drain_id });
                }
            }
        }
    }

    pub(crate) fn is_paused(&self, host: usize) -> bool {
        self.hosts[host].paused_until.is_some_and(|until| until > self.now)
    }

    /// Starts a request for `key` on each host that would send it to a target, for `duration` or
    /// until [`LONGEST_DEADLINE`].
    pub(crate) fn send_request(&mut self, service: &str, key: KeyHash, duration: Duration) {
        for (host, target) in self.servers(service, key) {
            let ends = self.now + duration.min(LONGEST_DEADLINE);
            let service = service.to_owned();
            self.requests.push(Request { host, service, key, target, ends });
        }
    }

    fn send(&mut self, from: usize, to: HostId, message: PeerMessage) {
        self.sent.0 += 1;
        self.sent.1 += postcard::to_stdvec(&message).unwrap().len() as u64;
        let sender = &self.hosts[from].entry;
        if self.blocked_links.contains(&(sender.id, to))
            || self.random.chance(self.links.loss_percent)
        {
            return;
        }
        let same_zone = self.hosts[usize::from(to.0)].entry.zone == sender.zone;
        let base = if same_zone { self.links.same_zone } else { self.links.other_zone };
        let copies = 1 + usize::from(self.random.chance(self.links.duplicate_percent));
        for _ in 0..copies {
            let jitter = self.random.below(self.links.jitter.as_nanos() as u64 + 1);
            let at = self.now + base + Duration::from_nanos(jitter);
            self.sequence += 1;
            let (from, boot) = (sender.id, BootId(self.hosts[from].boot));
            let delivery = Delivery { from, boot, to, message: message.clone() };
            self.queue.insert((at, self.sequence), delivery);
        }
    }

    /// The target to which `host`, as its dispatcher, would send a request for `key` now.
    pub(crate) fn serves(&self, host: usize, service: &str, key: KeyHash) -> Option<TargetName> {
        let state = &self.hosts[host];
        let node = state.node.as_ref()?;
        if state.paused_until.is_some_and(|until| until > self.now) {
            return None;
        }
        let route = state.routes.service(service)?.key_route(key);
        let (_, owner) = route.owner?;
        let is_dispatcher = owner.dispatcher == Some(state.entry.id) && owner.state.accepts_work();
        let assignment = state.plan.assignment(owner.name.as_str())?;
        let now = self.clock(host);
        let may_send = now < assignment.lease_end && node.may_dispatch(now, &owner.name);
        (is_dispatcher && may_send).then(|| owner.name.clone())
    }

    /// All pairs of dispatcher and target that would serve `key` now.
    pub(crate) fn servers(&self, service: &str, key: KeyHash) -> Vec<(usize, TargetName)> {
        let hosts = 0..self.hosts.len();
        hosts.filter_map(|host| Some((host, self.serves(host, service, key)?))).collect()
    }

    /// Hosts that hold the lease of `zone` according to their own clocks.
    pub(crate) fn zone_holders(&self, zone: &ZoneName) -> Vec<usize> {
        let holds = |host: &usize| {
            let state = &self.hosts[*host];
            let now = self.clock(*host);
            state.entry.zone == *zone
                && state.paused_until.is_none_or(|until| until <= self.now)
                && state.node.as_ref().is_some_and(|node| node.zone_term(now).is_some())
        };
        (0..self.hosts.len()).filter(holds).collect()
    }
}

fn is_covered(request: &Request, host: usize, order: &DrainOrder) -> bool {
    let in_scope = match order.scope {
        DrainScope::Target => true,
        DrainScope::Key(key) => request.key == key,
        DrainScope::Slots(first, last) => {
            let slot = request.key.slot();
            first <= slot && slot <= last
        }
    };
    in_scope
        && request.host == host
        && request.target == order.target
        && request.service == order.service.as_str()
}

/// Applies a journal write that is synced immediately.
fn persist(disk: &mut RecoveredState, batch: PersistBatch) {
    if let Some(index) = batch.truncate_from {
        disk.entries.retain(|entry| entry.index < index);
    }
    if let Some(snapshot) = batch.snapshot {
        disk.entries.retain(|entry| entry.index > snapshot.meta.index);
        disk.snapshot = Some(snapshot);
    }
    disk.entries.extend(batch.entries);
    if let Some(state) = batch.hard_state {
        disk.hard_state = state;
    }
}

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use gw_control::ControlCommand;
use gw_control::ControlOutcome;
use gw_membership::TargetAnnouncement;
use gw_membership::TargetReport;
use gw_node::CallId;
use gw_node::NodeAction;
use gw_node::NodeEvent;
use gw_node::PeerMessage;
use gw_node::Transport;
use gw_types::HostId;
use gw_types::Timestamp;
use gw_wire::FrameError;
use gw_wire::FrameHeader;
use gw_wire::FrameKey;
use gw_wire::FrameLimit;
use gw_wire::KeyId;
use gw_wire::KeyRing;
use gw_wire::decode_frame;
use gw_wire::encode_frame;

use crate::ClusterLayout;
use crate::HostCounters;
use crate::HostRole;
use crate::SeededRandom;
use crate::SimulatedHost;
use crate::ThreadClock;
use crate::message_kind;

/// Interval between two ticks of a host, as in the daemon.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two announcements of a target, as hosts request it in their answers.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// One-way delay between hosts of the same zone.
const SAME_ZONE_DELAY: Duration = Duration::from_micros(300);
/// One-way delay between hosts of different zones.
const CROSS_ZONE_DELAY: Duration = Duration::from_millis(5);
/// Upper bound of the random delay that is added to each frame, in nanoseconds.
const MAX_JITTER_NANOS: u64 = 200_000;
/// Key that authenticates all frames. Its value has no effect on their length.
const FRAME_KEY: [u8; 32] = [7; 32];

/// Discrete-event simulation of a cluster: the state machines of all hosts, connected by one event
/// queue in virtual time.
pub struct Cluster {
    /// Hosts, targets, zones and services of the cluster.
    pub layout: ClusterLayout,
    /// Share of frames between hosts that is lost, in percent. Frames on streams are delayed
    /// instead, since TCP retransmits them.
    pub loss_percent: u64,
    /// Whether all regions are partitioned from each other.
    pub regions_partitioned: bool,
    hosts: Vec<SimulatedHost>,
    targets: Vec<SimulatedTarget>,
    now: Timestamp,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    sequence: u64,
    random: SeededRandom,
    key_ring: KeyRing,
    clock: ThreadClock,
    outcomes: Vec<(CallId, ControlOutcome)>,
}

struct SimulatedTarget {
    announcement: TargetAnnouncement,
    is_alive: bool,
}

/// An entry of the event queue, ordered by time and then by its unique number.
struct QueuedEvent {
    at: Timestamp,
    number: u64,
    kind: EventKind,
}

enum EventKind {
    /// Timer tick of a host.
    Tick(usize),
    /// Announcement of a target.
    Renewal(usize),
    /// Arrival of a frame at the process of a host that has the boot id `boot`.
    Frame { to: usize, boot: u64, bytes: Vec<u8>, limit: FrameLimit },
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

impl Cluster {
    /// Starts all hosts and targets of `layout`. The same `seed` gives the same messages.
    pub fn new(layout: ClusterLayout, seed: u64) -> Self {
        let entries = layout.entries();
        let mut random = SeededRandom::new(seed);
        let now = Timestamp::from_millis(1);
        let start = |entry| SimulatedHost::new(entry, &entries, random.next_u64(), now);
        let hosts = entries.iter().map(start).collect();
        let announcements = layout.announcements().into_iter();
        let targets =
            announcements.map(|announcement| SimulatedTarget { announcement, is_alive: true });
        let keys = vec![FrameKey::new(KeyId(1), FRAME_KEY)];
        let mut cluster = Self {
            layout,
            loss_percent: 0,
            regions_partitioned: false,
            hosts,
            targets: targets.collect(),
            now,
            queue: BinaryHeap::new(),
            sequence: 0,
            random,
            key_ring: KeyRing::new(keys).expect("one key makes a ring"),
            clock: ThreadClock::calibrated(),
            outcomes: Vec::new(),
        };
        cluster.schedule_initial();
        cluster
    }

    /// Schedules the first tick of each host and the first announcement of each target at random
    /// offsets, so that their messages do not coincide.
    fn schedule_initial(&mut self) {
        for host in 0..self.hosts.len() {
            let phase = self.random.below(TICK_INTERVAL.as_nanos() as u64);
            self.schedule(self.now + Duration::from_nanos(phase), EventKind::Tick(host));
        }
        for target in 0..self.targets.len() {
            let phase = self.random.below(ANNOUNCE_INTERVAL.as_nanos() as u64);
            self.schedule(self.now + Duration::from_nanos(phase), EventKind::Renewal(target));
        }
    }

    fn schedule(&mut self, at: Timestamp, kind: EventKind) {
        self.sequence += 1;
        self.queue.push(Reverse(QueuedEvent { at, number: self.sequence, kind }));
    }

    /// Returns all hosts, entry hosts first. Index and host id are equal.
    pub fn hosts(&self) -> &[SimulatedHost] {
        &self.hosts
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Returns the counters of all hosts.
    pub fn counters(&self) -> Vec<HostCounters> {
        self.hosts.iter().map(|host| host.counters).collect()
    }

    /// Returns the current role of each host.
    pub fn roles(&self) -> Vec<HostRole> {
        self.hosts.iter().map(|host| host.role(self.now)).collect()
    }

    /// Returns the outcomes of all answered proposals, in order of time.
    pub fn outcomes(&self) -> &[(CallId, ControlOutcome)] {
        &self.outcomes
    }

    /// Runs the cluster for `duration` of virtual time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.queue.peek().is_some_and(|next| next.0.at <= end) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = self.now.max(next.at);
            self.handle(next.kind);
        }
        self.now = end;
    }

    /// Runs the cluster until `is_done` has held for each host at least once, and returns the
    /// virtual time that this took; `None` if it takes `limit` or longer.
    ///
    /// Hosts are checked once per millisecond, and no longer after `is_done` held or the host is
    /// stopped.
    pub fn run_until(
        &mut self,
        limit: Duration,
        is_done: impl Fn(&SimulatedHost) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        let mut waiting: Vec<_> = (0..self.hosts.len()).collect();
        while self.now.since(start) < limit {
            self.run(Duration::from_millis(1));
            let hosts = &self.hosts;
            waiting.retain(|host| hosts[*host].node.is_some() && !is_done(&hosts[*host]));
            if waiting.is_empty() {
                return Some(self.now.since(start));
            }
        }
        None
    }

    fn handle(&mut self, kind: EventKind) {
        match kind {
            EventKind::Tick(host) => {
                self.schedule(self.now + TICK_INTERVAL, EventKind::Tick(host));
                self.step_host(host, NodeEvent::Tick);
            }
            EventKind::Renewal(target) => {
                self.schedule(self.now + ANNOUNCE_INTERVAL, EventKind::Renewal(target));
                self.announce_target(target);
            }
            EventKind::Frame { to, boot, bytes, limit } => self.deliver(to, boot, &bytes, limit),
        }
    }

    /// Announces a target to a random entry host of its zone, as the platform's load balancer does.
    fn announce_target(&mut self, target: usize) {
        let target = &mut self.targets[target];
        if !target.is_alive {
            return;
        }
        target.announcement.sequence += 1;
        let announcement = target.announcement.clone();
        if let Some(host) = self.pick_host(&announcement) {
            self.step_host(host, NodeEvent::Announce { call: CallId(0), announcement });
        }
    }

    /// Picks a random running entry host of the zone in `announcement`.
    fn pick_host(&mut self, announcement: &TargetAnnouncement) -> Option<usize> {
        let is_candidate = |host: &&SimulatedHost| {
            host.entry.is_entry() && host.node.is_some() && host.entry.zone == announcement.zone
        };
        let count = self.hosts.iter().filter(is_candidate).count() as u64;
        let index = self.random.below(count) as usize;
        let host = self.hosts.iter().filter(is_candidate).nth(index)?;
        Some(usize::from(host.entry.id.0))
    }

    /// Decodes a frame and passes its message to the host, unless the process it was sent to has
    /// stopped.
    fn deliver(&mut self, to: usize, boot: u64, bytes: &[u8], limit: FrameLimit) {
        let host = &mut self.hosts[to];
        if host.node.is_none() || host.boot != boot {
            return;
        }
        let start = self.clock.now();
        let frame = decode_frame::<PeerMessage>(&self.key_ring, limit, bytes);
        host.counters.codec_nanos += self.clock.elapsed(start);
        host.counters.received_frames += 1;
        host.counters.received_bytes += bytes.len() as u64;
        let frame = frame.expect("frames of the cluster's own hosts are valid");
        let (from, boot) = (frame.header.sender, frame.header.boot);
        self.step_host(to, NodeEvent::Message { from, boot, message: frame.body });
    }

    /// Passes an event to a host's state machine and executes the resulting actions. Events for a
    /// stopped host are dropped.
    pub fn step_host(&mut self, host: usize, event: NodeEvent) {
        let state = &mut self.hosts[host];
        let Some(node) = &mut state.node else { return };
        let start = self.clock.now();
        let actions = node.step(self.now, event);
        state.counters.step_nanos += self.clock.elapsed(start);
        for action in actions {
            match action {
                NodeAction::Send { to, transport, message } => {
                    self.send(host, to, transport, &message);
                }
                NodeAction::Persist { token, batch } => {
                    self.hosts[host].persist(batch);
                    self.step_host(host, NodeEvent::Persisted { token });
                }
                NodeAction::Drain(order) => {
                    // The cluster serves no requests, so a drain completes immediately.
                    self.step_host(host, NodeEvent::Drained { drain_id: order.drain_id });
                }
                NodeAction::Proposed { call, outcome } => self.outcomes.push((call, outcome)),
                NodeAction::PublishPlan(plan) => self.hosts[host].plan = plan,
                _ => {}
            }
        }
    }

    /// Sends a message with a random delay, and drops or delays it according to the faults in
    /// effect.
    fn send(&mut self, from: usize, to: HostId, transport: Transport, message: &PeerMessage) {
        let (bytes, limit) = self.encode(from, transport, message);
        let to = usize::from(to.0);
        if self.is_partitioned(from, to) {
            return;
        }
        let is_lost = self.random.below(100) < self.loss_percent;
        if is_lost && limit == FrameLimit::Datagram {
            return;
        }
        // On Linux, TCP retransmits a lost segment after a timeout of at least 200 ms.
        let retransmission = if is_lost { Duration::from_millis(200) } else { Duration::ZERO };
        let is_same_zone = self.hosts[from].entry.zone == self.hosts[to].entry.zone;
        let delay = if is_same_zone { SAME_ZONE_DELAY } else { CROSS_ZONE_DELAY };
        let jitter = Duration::from_nanos(self.random.below(MAX_JITTER_NANOS));
        let boot = self.hosts[to].boot;
        self.schedule(
            self.now + delay + jitter + retransmission,
            EventKind::Frame { to, boot, bytes, limit },
        );
    }

    /// Encodes a message and counts it. As in the daemon, a message that exceeds a datagram is sent
    /// over a stream.
    fn encode(
        &mut self,
        from: usize,
        transport: Transport,
        message: &PeerMessage,
    ) -> (Vec<u8>, FrameLimit) {
        let host = &mut self.hosts[from];
        let boot = gw_types::BootId(host.boot);
        let header = FrameHeader { sender: host.entry.id, boot, sequence: self.sequence };
        let transport_limit = match transport {
            Transport::Datagram => FrameLimit::Datagram,
            Transport::Stream => FrameLimit::Stream,
        };
        let start = self.clock.now();
        let encoded = encode_frame(&self.key_ring, transport_limit, &header, message)
            .map(|bytes| (bytes, transport_limit));
        let encoded = match encoded {
            Err(FrameError::Oversized { .. }) if transport_limit == FrameLimit::Datagram => {
                let bytes = encode_frame(&self.key_ring, FrameLimit::Stream, &header, message);
                bytes.map(|bytes| (bytes, FrameLimit::Stream))
            }
            other => other,
        };
        host.counters.codec_nanos += self.clock.elapsed(start);
        let (bytes, limit) = encoded.expect("messages fit into a stream frame");
        let kind = message_kind(message);
        host.counters.kind_frames[kind] += 1;
        host.counters.kind_bytes[kind] += bytes.len() as u64;
        host.counters.stream_frames += u64::from(limit == FrameLimit::Stream);
        (bytes, limit)
    }

    /// Whether two hosts are in regions that are partitioned from each other.
    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let region = |host: usize| self.layout.region(host_zone(&self.hosts[host]));
        self.regions_partitioned && region(from) != region(to)
    }

    /// Stops a target: it no longer announces itself.
    pub fn stop_target(&mut self, target: usize) {
        self.targets[target].is_alive = false;
    }

    /// Lets a target report `trouble` to a random entry host of its zone.
    pub fn report_target(&mut self, target: usize, trouble: gw_membership::TroubleKind) {
        let announcement = self.targets[target].announcement.clone();
        let report = TargetReport {
            target: announcement.target.clone(),
            boot_id: announcement.boot_id,
            trouble,
        };
        if let Some(host) = self.pick_host(&announcement) {
            self.step_host(host, NodeEvent::Report { call: CallId(0), report });
        }
    }

    /// Stops the process of a host. The content of its journal is kept.
    pub fn stop_host(&mut self, host: usize) {
        self.hosts[host].stop();
    }

    /// Restarts the process of a host with a new boot id.
    pub fn start_host(&mut self, host: usize) {
        let seed = self.random.next_u64();
        let entries: Vec<_> = self.hosts.iter().map(|host| host.entry.clone()).collect();
        self.hosts[host].start(&entries, seed, self.now);
    }

    /// Proposes a control command at a host. Its outcome appears in [`outcomes`](Self::outcomes)
    /// under `call`.
    pub fn propose(&mut self, host: usize, call: CallId, command: ControlCommand) {
        self.step_host(host, NodeEvent::Propose { call, command });
    }
}

fn host_zone(host: &SimulatedHost) -> usize {
    host.entry.zone.as_str()[1..].parse().unwrap_or_default()
}

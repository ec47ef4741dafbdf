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
use crate::HostRole;
use crate::HostTally;
use crate::SeededRandom;
use crate::SimulatedHost;
use crate::ThreadClock;
use crate::message_kind;

/// Time between two ticks of a host, as in the daemon.
const TICK: Duration = Duration::from_millis(20);
/// Time between two announcements of a target, as the hosts' answers ask for.
const RENEWAL: Duration = Duration::from_millis(500);
/// Delays of links, one way.
const SAME_ZONE: Duration = Duration::from_micros(300);
const OTHER_ZONE: Duration = Duration::from_millis(5);
const JITTER_NANOS: u64 = 200_000;
/// Real frames need a key; which one does not change any length.
const FRAME_KEY: [u8; 32] = [7; 32];

/// Real hosts around one message queue, in virtual time.
pub struct Cluster {
    /// Size and shape.
    pub layout: ClusterLayout,
    /// Share of frames between hosts that is lost, in percent. Frames on streams are sent again by
    /// TCP, so these are late instead.
    pub loss_percent: u64,
    /// Whether regions are cut off from each other.
    pub regions_cut: bool,
    hosts: Vec<SimulatedHost>,
    targets: Vec<SimulatedTarget>,
    now: Timestamp,
    queue: BinaryHeap<Reverse<Queued>>,
    sequence: u64,
    random: SeededRandom,
    ring: KeyRing,
    clock: ThreadClock,
    outcomes: Vec<(CallId, ControlOutcome)>,
}

struct SimulatedTarget {
    announcement: TargetAnnouncement,
    is_alive: bool,
}

/// Ordered by time, then by number, which is unique.
struct Queued {
    at: Timestamp,
    number: u64,
    what: Happening,
}

enum Happening {
    Tick(usize),
    Renewal(usize),
    Frame { to: usize, boot: u64, bytes: Vec<u8>, limit: FrameLimit },
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

impl Cluster {
    /// Starts all hosts and targets.
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
            regions_cut: false,
            hosts,
            targets: targets.collect(),
            now,
            queue: BinaryHeap::new(),
            sequence: 0,
            random,
            ring: KeyRing::new(keys).expect("one key makes a ring"),
            clock: ThreadClock::calibrated(),
            outcomes: Vec::new(),
        };
        cluster.schedule_first();
        cluster
    }

    /// Hosts and targets begin at different times, so that their messages do not coincide.
    fn schedule_first(&mut self) {
        for host in 0..self.hosts.len() {
            let phase = self.random.below(TICK.as_nanos() as u64);
            self.schedule(self.now + Duration::from_nanos(phase), Happening::Tick(host));
        }
        for target in 0..self.targets.len() {
            let phase = self.random.below(RENEWAL.as_nanos() as u64);
            self.schedule(self.now + Duration::from_nanos(phase), Happening::Renewal(target));
        }
    }

    fn schedule(&mut self, at: Timestamp, what: Happening) {
        self.sequence += 1;
        self.queue.push(Reverse(Queued { at, number: self.sequence, what }));
    }

    /// All hosts, entry hosts first.
    pub fn hosts(&self) -> &[SimulatedHost] {
        &self.hosts
    }

    /// The virtual time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Tallies of all hosts.
    pub fn tallies(&self) -> Vec<HostTally> {
        self.hosts.iter().map(|host| host.tally).collect()
    }

    /// The role of each host now.
    pub fn roles(&self) -> Vec<HostRole> {
        self.hosts.iter().map(|host| host.role(self.now)).collect()
    }

    /// Outcomes of proposals that were answered.
    pub fn outcomes(&self) -> &[(CallId, ControlOutcome)] {
        &self.outcomes
    }

    /// Runs for `duration`.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.queue.peek().is_some_and(|next| next.0.at <= end) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = self.now.max(next.at);
            self.happen(next.what);
        }
        self.now = end;
    }

    /// Runs until `is_done` holds for all hosts that run, for `limit` at most, and returns how long
    /// that took. Looks once a millisecond. A host for which it held once is not asked again.
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

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Tick(host) => {
                self.schedule(self.now + TICK, Happening::Tick(host));
                self.event(host, NodeEvent::Tick);
            }
            Happening::Renewal(target) => {
                self.schedule(self.now + RENEWAL, Happening::Renewal(target));
                self.renew(target);
            }
            Happening::Frame { to, boot, bytes, limit } => self.deliver(to, boot, &bytes, limit),
        }
    }

    /// A target announces itself to a host of its zone, as the platform's balancer picks it.
    fn renew(&mut self, target: usize) {
        let target = &mut self.targets[target];
        if !target.is_alive {
            return;
        }
        target.announcement.sequence += 1;
        let announcement = target.announcement.clone();
        if let Some(host) = self.pick_host(&announcement) {
            self.event(host, NodeEvent::Announce { call: CallId(0), announcement });
        }
    }

    fn pick_host(&mut self, announcement: &TargetAnnouncement) -> Option<usize> {
        let is_open = |host: &&SimulatedHost| {
            host.entry.is_entry() && host.node.is_some() && host.entry.zone == announcement.zone
        };
        let count = self.hosts.iter().filter(is_open).count() as u64;
        let pick = self.random.below(count) as usize;
        let host = self.hosts.iter().filter(is_open).nth(pick)?;
        Some(usize::from(host.entry.id.0))
    }

    fn deliver(&mut self, to: usize, boot: u64, bytes: &[u8], limit: FrameLimit) {
        let host = &mut self.hosts[to];
        if host.node.is_none() || host.boot != boot {
            return;
        }
        let start = self.clock.now();
        let frame = decode_frame::<PeerMessage>(&self.ring, limit, bytes);
        host.tally.codec_nanos += self.clock.elapsed(start);
        host.tally.received_frames += 1;
        host.tally.received_bytes += bytes.len() as u64;
        let frame = frame.expect("a frame that was just sealed opens");
        let (from, boot) = (frame.header.sender, frame.header.boot);
        self.event(to, NodeEvent::Message { from, boot, message: frame.body });
    }

    /// Gives a host an event and carries out what follows.
    pub fn event(&mut self, host: usize, event: NodeEvent) {
        let state = &mut self.hosts[host];
        let Some(node) = &mut state.node else { return };
        let start = self.clock.now();
        let actions = node.step(self.now, event);
        state.tally.step_nanos += self.clock.elapsed(start);
        for action in actions {
            match action {
                NodeAction::Send { to, transport, message } => {
                    self.send(host, to, transport, &message);
                }
                NodeAction::Persist { token, batch } => {
                    self.hosts[host].persist(batch);
                    self.event(host, NodeEvent::Persisted { token });
                }
                NodeAction::Drain(order) => {
                    // No requests run here, so nothing is in flight.
                    self.event(host, NodeEvent::Drained { drain_id: order.drain_id });
                }
                NodeAction::Proposed { call, outcome } => self.outcomes.push((call, outcome)),
                NodeAction::PublishPlan(plan) => self.hosts[host].plan = plan,
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: HostId, transport: Transport, message: &PeerMessage) {
        let (bytes, limit) = self.seal(from, transport, message);
        let to = usize::from(to.0);
        if self.is_cut(from, to) {
            return;
        }
        let is_lost = self.random.below(100) < self.loss_percent;
        if is_lost && limit == FrameLimit::Datagram {
            return;
        }
        // TCP sends a lost segment again after a timeout of at least 200 ms (Linux).
        let resend = if is_lost { Duration::from_millis(200) } else { Duration::ZERO };
        let is_near = self.hosts[from].entry.zone == self.hosts[to].entry.zone;
        let base = if is_near { SAME_ZONE } else { OTHER_ZONE };
        let jitter = Duration::from_nanos(self.random.below(JITTER_NANOS));
        let boot = self.hosts[to].boot;
        self.schedule(
            self.now + base + jitter + resend,
            Happening::Frame { to, boot, bytes, limit },
        );
    }

    /// Seals a message as the daemon does: what does not fit into a datagram goes over a stream.
    fn seal(
        &mut self,
        from: usize,
        transport: Transport,
        message: &PeerMessage,
    ) -> (Vec<u8>, FrameLimit) {
        let host = &mut self.hosts[from];
        let boot = gw_types::BootId(host.boot);
        let head = FrameHeader { sender: host.entry.id, boot, sequence: self.sequence };
        let wanted = match transport {
            Transport::Datagram => FrameLimit::Datagram,
            Transport::Stream => FrameLimit::Stream,
        };
        let start = self.clock.now();
        let sealed = encode_frame(&self.ring, wanted, &head, message).map(|bytes| (bytes, wanted));
        let sealed = match sealed {
            Err(FrameError::Oversized { .. }) if wanted == FrameLimit::Datagram => {
                let bytes = encode_frame(&self.ring, FrameLimit::Stream, &head, message);
                bytes.map(|bytes| (bytes, FrameLimit::Stream))
            }
            sealed => sealed,
        };
        host.tally.codec_nanos += self.clock.elapsed(start);
        let (bytes, limit) = sealed.expect("messages fit into a stream frame");
        let kind = message_kind(message);
        host.tally.kind_frames[kind] += 1;
        host.tally.kind_bytes[kind] += bytes.len() as u64;
        host.tally.stream_frames += u64::from(limit == FrameLimit::Stream);
        (bytes, limit)
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let region = |host: usize| self.layout.region(host_zone(&self.hosts[host]));
        self.regions_cut && region(from) != region(to)
    }

    /// Ends a target: it announces itself no more.
    pub fn stop_target(&mut self, target: usize) {
        self.targets[target].is_alive = false;
    }

    /// A target reports trouble to a host of its zone.
    pub fn report_target(&mut self, target: usize, trouble: gw_membership::TroubleKind) {
        let announcement = self.targets[target].announcement.clone();
        let report = TargetReport {
            target: announcement.target.clone(),
            boot_id: announcement.boot_id,
            trouble,
        };
        if let Some(host) = self.pick_host(&announcement) {
            self.event(host, NodeEvent::Report { call: CallId(0), report });
        }
    }

    /// Ends a host's process. What its journal holds stays.
    pub fn stop_host(&mut self, host: usize) {
        self.hosts[host].stop();
    }

    /// Starts a host's process again.
    pub fn start_host(&mut self, host: usize) {
        let seed = self.random.next_u64();
        let entries: Vec<_> = self.hosts.iter().map(|host| host.entry.clone()).collect();
        self.hosts[host].start(&entries, seed, self.now);
    }

    /// Proposes a command at a host.
    pub fn propose(&mut self, host: usize, call: CallId, command: ControlCommand) {
        self.event(host, NodeEvent::Propose { call, command });
    }
}

fn host_zone(host: &SimulatedHost) -> usize {
    host.entry.zone.as_str()[1..].parse().unwrap_or_default()
}

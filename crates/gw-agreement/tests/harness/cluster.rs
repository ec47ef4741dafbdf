use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use gw_agreement::Envelope;
use gw_agreement::LogIndex;
use gw_agreement::Membership;
use gw_agreement::Message;
use gw_agreement::MessageBody;
use gw_agreement::Term;
use gw_types::HostId;
use gw_types::Timestamp;

use super::checks::CheckResult;
use super::checks::CoveredEvent;
use super::checks::InvariantChecks;
use super::checks::Violation;
use super::replica::ClusterOptions;
use super::replica::Replica;
use super::replica::RunningReplica;
use super::rng::Rng;

/// Chances in percent that the network loses, duplicates or delays a message.
#[derive(Clone, Copy, Default)]
pub(crate) struct Network {
    pub(crate) loss_chance: u64,
    pub(crate) duplication_chance: u64,
    pub(crate) long_delay_chance: u64,
}

/// Directed link that transmits large messages one after the other.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowLink {
    pub(crate) bytes_per_ms: u64,
    /// When the last large message will have arrived.
    pub(crate) busy_until: Timestamp,
    /// Arrival and size of the large messages on their way.
    pub(crate) on_the_way: VecDeque<(Timestamp, u64)>,
    /// Largest number of bytes that were on their way at a time.
    pub(crate) peak_bytes: u64,
    /// Bytes of large messages that were sent.
    pub(crate) sent_bytes: u64,
    /// Number of times that the connection was lost, with all messages on their way.
    pub(crate) run: u32,
}

impl SlowLink {
    /// Returns when a message of `bytes` bytes that is sent at `now` arrives.
    fn transmit(&mut self, now: Timestamp, bytes: u64) -> Timestamp {
        self.on_the_way.retain(|(arrival, _)| *arrival > now);
        let millis = bytes / self.bytes_per_ms;
        self.busy_until = self.busy_until.max(now) + Duration::from_millis(millis);
        self.on_the_way.push_back((self.busy_until, bytes));
        self.sent_bytes += bytes;
        let on_the_way = self.on_the_way.iter().map(|(_, bytes)| bytes).sum();
        self.peak_bytes = self.peak_bytes.max(on_the_way);
        self.busy_until
    }
}

enum Event {
    Deliver { from: HostId, to: HostId, message: Message, link_run: u32 },
    Wake { host: HostId, at: Timestamp },
    Synced { host: HostId, run: u32 },
    Restart { host: HostId, run: u32 },
}

/// Simulated cluster: replicas, the messages between them and virtual time.
pub(crate) struct Cluster {
    pub(crate) now: Timestamp,
    pub(crate) rng: Rng,
    pub(crate) network: Network,
    pub(crate) replicas: Vec<Replica>,
    pub(crate) checks: InvariantChecks,
    /// Links of limited speed. Large messages wait for each other; small ones pass them, like frames
    /// that are sent between the fragments of a large one.
    pub(crate) slow_links: BTreeMap<(HostId, HostId), SlowLink>,
    /// Directed links, from sender to receiver, that lose all messages.
    pub(crate) cut_links: HashSet<(HostId, HostId)>,
    /// Drops batches with entries of later terms, but not heartbeats: a new leader stays leader,
    /// but only entries of earlier terms are replicated.
    pub(crate) drop_entries_above: Option<Term>,
    pub(crate) options: ClusterOptions,
    /// Encoded size of the largest batch of several entries that was sent, in bytes.
    pub(crate) largest_batch_bytes: usize,
    /// Size of the largest snapshot chunk that was sent, in bytes.
    pub(crate) largest_chunk_bytes: usize,
    pub(crate) commands: u64,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
}

impl Cluster {
    /// Starts `voters` initial members and `spares` hosts that are not yet members of the group.
    pub(crate) fn new(
        seed: u64,
        voters: u16,
        spares: u16,
        options: ClusterOptions,
    ) -> Result<Self, Violation> {
        let members = Membership::of_voters((1..=voters).map(HostId));
        let initial = |id| if id <= voters { members.clone() } else { Membership::default() };
        let ids = 1..=voters + spares;
        let replicas =
            ids.map(|id| Replica::new(HostId(id), initial(id), options.clone())).collect();
        let mut cluster = Self {
            now: Timestamp::from_millis(1),
            rng: Rng(seed),
            network: Network::default(),
            replicas,
            checks: InvariantChecks::default(),
            slow_links: BTreeMap::new(),
            cut_links: HashSet::new(),
            drop_entries_above: None,
            options,
            largest_batch_bytes: 0,
            largest_chunk_bytes: 0,
            commands: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
        };
        cluster.hosts().into_iter().try_for_each(|host| cluster.start(host))?;
        Ok(cluster)
    }

    pub(crate) fn hosts(&self) -> Vec<HostId> {
        self.replicas.iter().map(|replica| replica.id).collect()
    }

    pub(crate) fn replica(&mut self, host: HostId) -> &mut Replica {
        &mut self.replicas[usize::from(host.0) - 1]
    }

    pub(crate) fn running(&mut self, host: HostId) -> Option<&mut RunningReplica> {
        self.replica(host).running.as_mut()
    }

    /// Returns the running leader of the highest term.
    pub(crate) fn leader(&self) -> Option<HostId> {
        let running = self.replicas.iter().filter_map(|replica| replica.running.as_ref());
        let leaders = running.filter(|running| running.node.is_leader());
        leaders.max_by_key(|running| running.node.term()).map(|running| running.node.id())
    }

    fn after(&self, millis: u64) -> Timestamp {
        self.now + Duration::from_millis(millis)
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at, self.next_event)));
    }

    pub(crate) fn start(&mut self, host: HostId) -> CheckResult {
        let (now, seed) = (self.now, self.rng.next());
        if self.replica(host).start(now, seed)? {
            self.checks.record_event(CoveredEvent::Restart);
            return self.process_ready(host);
        }
        self.restart_after(host, 50);
        Ok(())
    }

    pub(crate) fn crash(&mut self, host: HostId, down_millis: u64) {
        let mut rng = Rng(self.rng.next());
        self.replica(host).crash(&mut rng);
        self.replica(host).paused_until = Timestamp::ZERO;
        self.restart_after(host, down_millis);
    }

    fn restart_after(&mut self, host: HostId, millis: u64) {
        let (at, run) = (self.after(millis), self.replica(host).run);
        self.schedule(at, Event::Restart { host, run });
    }

    pub(crate) fn pause(&mut self, host: HostId, millis: u64) {
        let until = self.after(millis);
        let replica = self.replica(host);
        replica.paused_until = replica.paused_until.max(until);
    }

    /// Lets no sync of the host's disk end for some time.
    pub(crate) fn hang_disk(&mut self, host: HostId, millis: u64) {
        let until = self.after(millis);
        let replica = self.replica(host);
        replica.disk_hangs_until = replica.disk_hangs_until.max(until);
    }

    /// Cuts the links between `minority` and the other hosts in both directions.
    pub(crate) fn partition(&mut self, minority: &[HostId]) {
        for from in self.hosts() {
            for to in self.hosts() {
                if minority.contains(&from) != minority.contains(&to) {
                    self.cut_links.insert((from, to));
                }
            }
        }
    }

    /// Calls `action` on a replica and processes its output. Does nothing while the replica is
    /// paused, syncing or stopped.
    pub(crate) fn with_replica(
        &mut self,
        host: HostId,
        action: impl FnOnce(&mut RunningReplica, Timestamp),
    ) -> CheckResult {
        let now = self.now;
        let replica = self.replica(host);
        if replica.paused_until > now
            || replica.running.as_ref().is_none_or(|r| r.syncing.is_some())
        {
            return Ok(());
        }
        if let Some(running) = &mut replica.running {
            action(running, now);
        }
        self.process_ready(host)
    }

    pub(crate) fn propose(&mut self, host: HostId) -> CheckResult {
        self.commands += 1;
        let command = self.commands.to_le_bytes().to_vec();
        self.with_replica(host, |running, now| running.propose(now, command))
    }

    /// Proposes a command of `bytes` bytes.
    pub(crate) fn propose_large(&mut self, host: HostId, bytes: usize) -> CheckResult {
        self.commands += 1;
        let mut command = self.commands.to_le_bytes().to_vec();
        command.resize(bytes, 0);
        self.with_replica(host, |running, now| running.propose(now, command))
    }

    /// Processes the events of the next `millis` milliseconds.
    pub(crate) fn run(&mut self, millis: u64) -> CheckResult {
        let end = self.after(millis);
        while let Some(&Reverse((at, id))) = self.queue.peek()
            && at <= end
        {
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.events.remove(&id) {
                self.dispatch(event)?;
                self.check_quorums()?;
            }
        }
        self.now = end;
        Ok(())
    }

    fn dispatch(&mut self, event: Event) -> CheckResult {
        let host = match &event {
            Event::Deliver { to: host, .. }
            | Event::Wake { host, .. }
            | Event::Synced { host, .. }
            | Event::Restart { host, .. } => *host,
        };
        let paused_until = self.replica(host).paused_until;
        if paused_until > self.now {
            self.schedule(paused_until, event);
            return Ok(());
        }
        let run = self.replica(host).run;
        match event {
            Event::Deliver { from, link_run, .. } if link_run != self.link_run(from, host) => {
                Ok(())
            }
            Event::Deliver { from, message, link_run, .. } if self.is_syncing(host) => {
                let at = self.after(1);
                self.schedule(at, Event::Deliver { from, to: host, message, link_run });
                Ok(())
            }
            Event::Deliver { from, message, .. } => {
                self.with_replica(host, |running, now| running.node.handle(now, from, message))
            }
            Event::Wake { at, .. } if at == self.replica(host).wake_at => {
                self.replica(host).wake_at = Timestamp::MAX;
                self.with_replica(host, |running, now| running.node.tick(now))
            }
            Event::Synced { run: started, .. } if started == run => self.synced(host),
            Event::Restart { run: stopped, .. }
                if stopped == run && self.running(host).is_none() =>
            {
                self.start(host)
            }
            _ => Ok(()),
        }
    }

    fn link_run(&self, from: HostId, to: HostId) -> u32 {
        self.slow_links.get(&(from, to)).map_or(0, |link| link.run)
    }

    /// Loses everything that is on its way over a slow link.
    pub(crate) fn break_link(&mut self, from: HostId, to: HostId) {
        if let Some(link) = self.slow_links.get_mut(&(from, to)) {
            link.run += 1;
            link.busy_until = Timestamp::ZERO;
            link.on_the_way.clear();
        }
    }

    fn is_syncing(&mut self, host: HostId) -> bool {
        self.running(host).is_some_and(|running| running.syncing.is_some())
    }

    fn synced(&mut self, host: HostId) -> CheckResult {
        let (now, options) = (self.now, self.options.clone());
        let replica = &mut self.replicas[usize::from(host.0) - 1];
        if replica.disk_hangs_until > now {
            let (at, run) = (replica.disk_hangs_until, replica.run);
            self.schedule(at, Event::Synced { host, run });
            return Ok(());
        }
        let Some(running) = &mut replica.running else { return Ok(()) };
        let finished = match options.overlaps_syncs {
            true => {
                // The disk writes one batch at a time, or several with one sync.
                let count = self.rng.between(1, running.writes.len() as u64) as usize;
                running.finish_writes(now, count)
            }
            false => running.finish_sync(now, &options, &mut self.checks)?,
        };
        match finished {
            Some(messages) => {
                if !running.writes.is_empty() {
                    self.schedule_sync(host);
                }
                self.send_all(host, messages);
                self.process_ready(host)
            }
            None => {
                self.checks.record_event(CoveredEvent::FailedWrite);
                // The process exits after a failed write; the host keeps running.
                replica.running = None;
                self.restart_after(host, 50);
                Ok(())
            }
        }
    }

    /// Processes the replica's output until there is none or a sync is in progress.
    fn process_ready(&mut self, host: HostId) -> CheckResult {
        let now = self.now;
        let replica = &mut self.replicas[usize::from(host.0) - 1];
        let run = replica.run;
        let Some(running) = &mut replica.running else { return Ok(()) };
        if running.node.is_leader() {
            self.checks.check_leader(running.node.term(), host, run)?;
        }
        if self.options.overlaps_syncs {
            let was_idle = running.writes.is_empty();
            let messages = running.take_overlapping(now, &self.options, &mut self.checks)?;
            let wake = running.node.next_wakeup();
            if was_idle && !running.writes.is_empty() {
                self.schedule_sync(host);
            }
            self.send_all(host, messages);
            self.schedule_wake(host, wake);
            return Ok(());
        }
        let mut ready = running.node.take_ready(now);
        let wake = running.node.next_wakeup();
        running.check_writes(&ready.persist, &mut self.checks)?;
        let messages = std::mem::take(&mut ready.messages);
        let has_output = !ready.is_empty();
        let needs_sync = !ready.persist.is_empty();
        running.syncing = has_output.then_some(ready);
        self.send_all(host, messages);
        if needs_sync {
            self.schedule_sync(host);
        } else if has_output {
            return self.synced(host);
        }
        self.schedule_wake(host, wake);
        Ok(())
    }

    fn schedule_sync(&mut self, host: HostId) {
        let run = self.replica(host).run;
        let at = self.now + Duration::from_micros(self.rng.between(200, 4000));
        self.schedule(at, Event::Synced { host, run });
    }

    /// Schedules a wake-up unless an earlier one is scheduled for the replica.
    fn schedule_wake(&mut self, host: HostId, wake: Timestamp) {
        let at = wake.max(self.after(1));
        if wake < Timestamp::MAX && at < self.replica(host).wake_at {
            self.replica(host).wake_at = at;
            self.schedule(at, Event::Wake { host, at });
        }
    }

    fn send_all(&mut self, from: HostId, messages: Vec<Envelope>) {
        for Envelope { to, message } in messages {
            self.record_message_size(&message.body);
            let copies = 1 + u64::from(self.rng.percent(self.network.duplication_chance));
            for _ in 0..copies {
                let is_lost = self.cut_links.contains(&(from, to)) || self.drops_entries(&message);
                if !is_lost && !self.rng.percent(self.network.loss_chance) {
                    let is_long = self.rng.percent(self.network.long_delay_chance);
                    let delay = if is_long { self.rng.between(10, 1200) } else { 4 };
                    let at = self.after(self.rng.clone().between(1, delay.max(4)));
                    self.rng.next();
                    let at = at.max(self.transmit(from, to, &message.body));
                    let (message, link_run) = (message.clone(), self.link_run(from, to));
                    self.schedule(at, Event::Deliver { from, to, message, link_run });
                }
            }
        }
    }

    /// Returns when a message arrives over a slow link, or zero if the link is fast or the message
    /// is small.
    fn transmit(&mut self, from: HostId, to: HostId, body: &MessageBody) -> Timestamp {
        let bytes = match body {
            MessageBody::Append { entries, .. } => {
                entries.iter().map(|entry| entry.encode().len()).sum()
            }
            MessageBody::SnapshotChunk { bytes, .. } => bytes.len(),
            _ => 0,
        };
        match self.slow_links.get_mut(&(from, to)) {
            Some(link) if bytes > 0 => link.transmit(self.now, bytes as u64),
            _ => Timestamp::ZERO,
        }
    }

    fn record_message_size(&mut self, body: &MessageBody) {
        match body {
            MessageBody::Append { entries, .. } if entries.len() > 1 => {
                let bytes = entries.iter().map(|entry| entry.encode().len()).sum();
                self.largest_batch_bytes = self.largest_batch_bytes.max(bytes);
            }
            MessageBody::SnapshotChunk { bytes, .. } => {
                self.largest_chunk_bytes = self.largest_chunk_bytes.max(bytes.len());
            }
            _ => {}
        }
    }

    fn drops_entries(&self, message: &Message) -> bool {
        let MessageBody::Append { entries, .. } = &message.body else { return false };
        let limit = self.drop_entries_above;
        limit.is_some_and(|limit| entries.iter().any(|entry| entry.term > limit))
    }

    /// Returns the highest term among the running replicas.
    pub(crate) fn highest_term(&self) -> Term {
        let running = self.replicas.iter().filter_map(|replica| replica.running.as_ref());
        running.map(|running| running.node.term()).max().unwrap_or_default()
    }

    fn check_quorums(&mut self) -> CheckResult {
        let now = self.now;
        let running = self.replicas.iter().filter_map(|replica| replica.running.as_ref());
        let leaders = running.filter(|running| running.node.is_leader());
        let leaders: Vec<_> = leaders.collect();
        for running in &leaders {
            let node = &running.node;
            if let Some(confirmed) = node.leadership_confirmed_at(now) {
                self.checks.record_confirmation(node.term(), confirmed);
            }
            if let Some(since) = node.leader_since() {
                self.checks.check_leaderless_since(node.term(), since - node.leaderless_time())?;
            }
        }
        let leaders: Vec<_> = leaders
            .iter()
            .map(|running| (running.node.id(), running.node.term(), running.node.has_quorum(now)))
            .collect();
        if leaders.len() < 2 { Ok(()) } else { self.checks.check_sole_quorum(&leaders) }
    }

    /// Runs until `done` holds, for at most `millis` milliseconds. Returns whether it holds.
    pub(crate) fn run_until(
        &mut self,
        millis: u64,
        done: impl Fn(&Self) -> bool,
    ) -> Result<bool, Violation> {
        for _ in 0..millis / 10 {
            if done(self) {
                return Ok(true);
            }
            self.run(10)?;
        }
        Ok(done(self))
    }

    /// Returns the last applied index of a replica, or zero if it is stopped.
    pub(crate) fn applied(&self, host: HostId) -> LogIndex {
        let running = self.replicas[usize::from(host.0) - 1].running.as_ref();
        running.map_or(LogIndex::ZERO, |running| running.applied)
    }
}

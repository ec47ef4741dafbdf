use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use gw_agreement::Envelope;
use gw_agreement::LogIndex;
use gw_agreement::Membership;
use gw_agreement::Message;
use gw_agreement::MessageBody;
use gw_agreement::Term;
use gw_types::HostId;
use gw_types::Timestamp;

use super::checks::Checked;
use super::checks::Checks;
use super::checks::Covered;
use super::checks::Violation;
use super::replica::Plan;
use super::replica::Replica;
use super::replica::Running;
use super::rng::Rng;

/// Chances in percent and delays of the network.
#[derive(Clone, Copy, Default)]
pub(crate) struct Network {
    pub(crate) loss: u64,
    pub(crate) duplication: u64,
    pub(crate) long_delay: u64,
}

enum Event {
    Deliver { from: HostId, to: HostId, message: Message },
    Wake { host: HostId, at: Timestamp },
    Synced { host: HostId, run: u32 },
    Restart { host: HostId, run: u32 },
}

/// Replicas, the messages between them and virtual time.
pub(crate) struct Cluster {
    pub(crate) now: Timestamp,
    pub(crate) rng: Rng,
    pub(crate) network: Network,
    pub(crate) replicas: Vec<Replica>,
    pub(crate) checks: Checks,
    /// Links that lose everything, one way.
    pub(crate) cut: HashSet<(HostId, HostId)>,
    /// Loses batches with entries of later terms, heartbeats excepted: a new leader stays leader,
    /// but only entries of earlier terms spread.
    pub(crate) lose_entries_above: Option<Term>,
    pub(crate) plan: Plan,
    /// Largest command bytes of a batch and largest part of a snapshot that were sent.
    pub(crate) largest_batch_bytes: usize,
    pub(crate) largest_chunk_bytes: usize,
    pub(crate) commands: u64,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
}

impl Cluster {
    /// `voters` first members and `spares` hosts that do not belong to the group yet.
    pub(crate) fn new(seed: u64, voters: u16, spares: u16, plan: Plan) -> Result<Self, Violation> {
        let members = Membership::of_voters((1..=voters).map(HostId));
        let initial = |id| if id <= voters { members.clone() } else { Membership::default() };
        let ids = 1..=voters + spares;
        let replicas = ids.map(|id| Replica::new(HostId(id), initial(id), plan.clone())).collect();
        let mut cluster = Self {
            now: Timestamp::from_millis(1),
            rng: Rng(seed),
            network: Network::default(),
            replicas,
            checks: Checks::default(),
            cut: HashSet::new(),
            lose_entries_above: None,
            plan,
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

    pub(crate) fn running(&mut self, host: HostId) -> Option<&mut Running> {
        self.replica(host).running.as_mut()
    }

    /// The running leader of the highest term.
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

    pub(crate) fn start(&mut self, host: HostId) -> Checked {
        let (now, seed) = (self.now, self.rng.next());
        if self.replica(host).start(now, seed)? {
            self.checks.cover(Covered::Restart);
            return self.pump(host);
        }
        self.restart_after(host, 50);
        Ok(())
    }

    pub(crate) fn crash(&mut self, host: HostId, down_millis: u64) {
        let mut rng = Rng(self.rng.next());
        self.replica(host).crash(&mut rng);
        self.replica(host).busy_until = Timestamp::ZERO;
        self.restart_after(host, down_millis);
    }

    fn restart_after(&mut self, host: HostId, millis: u64) {
        let (at, run) = (self.after(millis), self.replica(host).run);
        self.schedule(at, Event::Restart { host, run });
    }

    pub(crate) fn pause(&mut self, host: HostId, millis: u64) {
        let until = self.after(millis);
        let replica = self.replica(host);
        replica.busy_until = replica.busy_until.max(until);
    }

    /// Separates `minority` from the other hosts in both directions.
    pub(crate) fn partition(&mut self, minority: &[HostId]) {
        for from in self.hosts() {
            for to in self.hosts() {
                if minority.contains(&from) != minority.contains(&to) {
                    self.cut.insert((from, to));
                }
            }
        }
    }

    /// Calls `action` on a replica that is not busy, and handles its output.
    pub(crate) fn with(
        &mut self,
        host: HostId,
        action: impl FnOnce(&mut Running, Timestamp),
    ) -> Checked {
        let now = self.now;
        let replica = self.replica(host);
        if replica.busy_until > now || replica.running.as_ref().is_none_or(|r| r.syncing.is_some())
        {
            return Ok(());
        }
        if let Some(running) = &mut replica.running {
            action(running, now);
        }
        self.pump(host)
    }

    pub(crate) fn propose(&mut self, host: HostId) -> Checked {
        self.commands += 1;
        let command = self.commands.to_le_bytes().to_vec();
        self.with(host, |running, now| running.propose(now, command))
    }

    /// Runs all events for `millis`.
    pub(crate) fn run(&mut self, millis: u64) -> Checked {
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

    fn dispatch(&mut self, event: Event) -> Checked {
        let host = match &event {
            Event::Deliver { to: host, .. }
            | Event::Wake { host, .. }
            | Event::Synced { host, .. }
            | Event::Restart { host, .. } => *host,
        };
        let busy_until = self.replica(host).busy_until;
        if busy_until > self.now {
            self.schedule(busy_until, event);
            return Ok(());
        }
        let run = self.replica(host).run;
        match event {
            Event::Deliver { from, message, .. } if self.is_syncing(host) => {
                let at = self.after(1);
                self.schedule(at, Event::Deliver { from, to: host, message });
                Ok(())
            }
            Event::Deliver { from, message, .. } => {
                self.with(host, |running, now| running.node.handle(now, from, message))
            }
            Event::Wake { at, .. } if at == self.replica(host).wake_at => {
                self.replica(host).wake_at = Timestamp::MAX;
                self.with(host, |running, now| running.node.tick(now))
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

    fn is_syncing(&mut self, host: HostId) -> bool {
        self.running(host).is_some_and(|running| running.syncing.is_some())
    }

    fn synced(&mut self, host: HostId) -> Checked {
        let (now, plan) = (self.now, self.plan.clone());
        let replica = &mut self.replicas[usize::from(host.0) - 1];
        let Some(running) = &mut replica.running else { return Ok(()) };
        match running.finish_sync(now, &plan, &mut self.checks)? {
            Some(messages) => {
                self.send_all(host, messages);
                self.pump(host)
            }
            None => {
                // The process ends after a failed write; the machine goes on.
                replica.running = None;
                self.restart_after(host, 50);
                Ok(())
            }
        }
    }

    /// Takes the replica's output until it has none or waits for the disk.
    fn pump(&mut self, host: HostId) -> Checked {
        let now = self.now;
        let replica = &mut self.replicas[usize::from(host.0) - 1];
        let run = replica.run;
        let Some(running) = &mut replica.running else { return Ok(()) };
        if running.node.is_leader() {
            self.checks.leads(running.node.term(), host, run)?;
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
            let at = self.now + Duration::from_micros(self.rng.between(200, 4000));
            self.schedule(at, Event::Synced { host, run });
        } else if has_output {
            return self.synced(host);
        }
        self.schedule_wake(host, wake);
        Ok(())
    }

    /// Keeps one wake-up for each replica: the earliest.
    fn schedule_wake(&mut self, host: HostId, wake: Timestamp) {
        let at = wake.max(self.after(1));
        if wake < Timestamp::MAX && at < self.replica(host).wake_at {
            self.replica(host).wake_at = at;
            self.schedule(at, Event::Wake { host, at });
        }
    }

    fn send_all(&mut self, from: HostId, messages: Vec<Envelope>) {
        for Envelope { to, message } in messages {
            self.note_size(&message.body);
            let copies = 1 + u64::from(self.rng.percent(self.network.duplication));
            for _ in 0..copies {
                let is_lost = self.cut.contains(&(from, to)) || self.loses_entries(&message);
                if !is_lost && !self.rng.percent(self.network.loss) {
                    let is_long = self.rng.percent(self.network.long_delay);
                    let delay = if is_long { self.rng.between(10, 1200) } else { 4 };
                    let at = self.after(self.rng.clone().between(1, delay.max(4)));
                    self.rng.next();
                    self.schedule(at, Event::Deliver { from, to, message: message.clone() });
                }
            }
        }
    }

    fn note_size(&mut self, body: &MessageBody) {
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

    fn loses_entries(&self, message: &Message) -> bool {
        let MessageBody::Append { entries, .. } = &message.body else { return false };
        let limit = self.lose_entries_above;
        limit.is_some_and(|limit| entries.iter().any(|entry| entry.term > limit))
    }

    /// The highest term of a running replica.
    pub(crate) fn highest_term(&self) -> Term {
        let running = self.replicas.iter().filter_map(|replica| replica.running.as_ref());
        running.map(|running| running.node.term()).max().unwrap_or_default()
    }

    fn check_quorums(&mut self) -> Checked {
        let now = self.now;
        let running = self.replicas.iter().filter_map(|replica| replica.running.as_ref());
        let leaders = running.filter(|running| running.node.is_leader());
        let leaders: Vec<_> = leaders.collect();
        for running in &leaders {
            let node = &running.node;
            if let Some(confirmed) = node.leadership_confirmed_at(now) {
                self.checks.confirms(node.term(), confirmed);
            }
            if let Some(since) = node.leader_since() {
                self.checks.takes_over(node.term(), since - node.leaderless_time())?;
            }
        }
        let leaders: Vec<_> = leaders
            .iter()
            .map(|running| (running.node.id(), running.node.term(), running.node.has_quorum(now)))
            .collect();
        if leaders.len() < 2 { Ok(()) } else { self.checks.sole_quorum(&leaders) }
    }

    /// Runs until `done`, at most `millis`.
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

    /// Applied index of a running replica.
    pub(crate) fn applied(&self, host: HostId) -> LogIndex {
        let running = self.replicas[usize::from(host.0) - 1].running.as_ref();
        running.map_or(LogIndex::ZERO, |running| running.applied)
    }
}

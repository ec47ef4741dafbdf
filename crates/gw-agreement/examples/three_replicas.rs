//! Runs three replicas in one process and in virtual time. They elect a leader, commit commands,
//! lose the leader and commit another command under its successor.
//!
//! Messages arrive after a fixed delay, none are lost, and syncs take no time. A real caller writes
//! each batch to a disk, sends messages over a network and passes in the time of a clock.

use std::collections::VecDeque;
use std::time::Duration;

use gw_agreement::EntryPayload;
use gw_agreement::Envelope;
use gw_agreement::Membership;
use gw_agreement::Message;
use gw_agreement::ProposeError;
use gw_agreement::RecoveredState;
use gw_agreement::ReplicaNode;
use gw_agreement::ReplicaOptions;
use gw_types::HostId;
use gw_types::Timestamp;

/// One-way delay between two replicas.
const DELAY: Duration = Duration::from_millis(4);
/// Virtual time within which each step of the example must complete. Equals the design's limit on
/// the time that a key may be without an owner after the loss of a control leader.
const STEP_LIMIT: Duration = Duration::from_secs(3);

struct Replica {
    node: ReplicaNode,
    /// Commands that this replica has applied, in log order.
    applied: Vec<String>,
}

struct Delivery {
    at: Timestamp,
    from: HostId,
    to: HostId,
    message: Message,
}

/// The running replicas and the messages in transit between them.
struct Group {
    now: Timestamp,
    replicas: Vec<Replica>,
    /// Messages in transit. Sorted by arrival time, because all messages have the same delay.
    network: VecDeque<Delivery>,
}

impl Group {
    fn new(hosts: [HostId; 3]) -> Self {
        let now = Timestamp::ZERO;
        let start = |id: HostId| {
            // Seeds differ, so that the replicas do not all campaign at the same time.
            let options = ReplicaOptions::new(id, Membership::of_voters(hosts), u64::from(id.0));
            let node = ReplicaNode::new(options, RecoveredState::default(), now);
            Replica { node, applied: Vec::new() }
        };
        Self { now, replicas: hosts.into_iter().map(start).collect(), network: VecDeque::new() }
    }

    fn leader(&mut self) -> Option<&mut Replica> {
        self.replicas.iter_mut().find(|replica| replica.node.is_leader())
    }

    /// Advances time until `is_done` holds. Returns whether it does within the limit.
    fn run_until(&mut self, is_done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + STEP_LIMIT;
        while !is_done(self) {
            let wakeup = self.replicas.iter().map(|replica| replica.node.next_wakeup()).min();
            let arrival = self.network.front().map(|delivery| delivery.at);
            self.now = self.now.max(wakeup.into_iter().chain(arrival).min().unwrap_or(end));
            if self.now >= end {
                return false;
            }
            self.step();
        }
        true
    }

    /// Handles the messages and timeouts that are due.
    fn step(&mut self) {
        while let Some(delivery) = self.network.pop_front_if(|delivery| delivery.at <= self.now) {
            let receiver = self.replicas.iter_mut().find(|item| item.node.id() == delivery.to);
            if let Some(receiver) = receiver {
                receiver.node.handle(self.now, delivery.from, delivery.message);
            }
        }
        for replica in &mut self.replicas {
            replica.node.tick(self.now);
            for envelope in replica.drain(self.now) {
                let (at, from) = (self.now + DELAY, replica.node.id());
                self.network.push_back(Delivery {
                    at,
                    from,
                    to: envelope.to,
                    message: envelope.message,
                });
            }
        }
    }

    fn propose(&mut self, command: &str) -> Result<(), ProposeError> {
        let now = self.now;
        let leader = self.leader().ok_or(ProposeError::NotLeader { hint: None })?;
        leader.node.propose(now, command.as_bytes().to_vec())?;
        Ok(())
    }

    fn all_applied(&self, count: usize) -> bool {
        self.replicas.iter().all(|replica| replica.applied.len() == count)
    }
}

impl Replica {
    /// Processes the pending work of the state machine and returns the messages to send.
    fn drain(&mut self, now: Timestamp) -> Vec<Envelope> {
        let mut messages = Vec::new();
        loop {
            let ready = self.node.take_ready(now);
            if ready.is_empty() {
                return messages;
            }
            messages.extend(ready.messages);
            // A real caller writes and syncs `ready.persist` here.
            self.node.persisted(now, ready.token);
            messages.extend(ready.messages_after_sync);
            for entry in ready.committed {
                if let EntryPayload::Command(command) = entry.payload {
                    self.applied.push(String::from_utf8_lossy(&command).into_owned());
                }
            }
        }
    }
}

/// Runs the example. Fails if a step does not complete within the limit.
pub(crate) fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut group = Group::new([HostId(1), HostId(2), HostId(3)]);
    let has_leader = |group: &Group| group.replicas.iter().any(|item| item.node.is_leader());
    if !group.run_until(has_leader) {
        return Err("no leader was elected".into());
    }
    let first = group.leader().map(|leader| leader.node.id()).ok_or("the leader is gone")?;
    println!("{}: replica {first} leads", group.now);

    group.propose("first command")?;
    group.propose("second command")?;
    if !group.run_until(|group| group.all_applied(2)) {
        return Err("two commands were not applied by all replicas".into());
    }
    println!("{}: all three replicas have applied two commands", group.now);

    group.replicas.retain(|replica| replica.node.id() != first);
    if !group.run_until(has_leader) {
        return Err("the lost leader was not replaced".into());
    }
    let second = group.leader().map(|leader| leader.node.id()).ok_or("the leader is gone")?;
    println!("{}: replica {first} is lost, replica {second} leads", group.now);

    group.propose("third command")?;
    if !group.run_until(|group| group.all_applied(3)) {
        return Err("the third command was not applied by both replicas".into());
    }
    for replica in &group.replicas {
        println!("{}: replica {} holds {:?}", group.now, replica.node.id(), replica.applied);
    }
    let expected = ["first command", "second command", "third command"];
    if group.replicas.iter().any(|replica| replica.applied != expected) {
        return Err("the replicas' logs differ from what was proposed".into());
    }
    Ok(())
}

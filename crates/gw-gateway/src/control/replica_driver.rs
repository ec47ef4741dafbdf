use gw_agreement::EntryPayload;
use gw_agreement::Envelope;
use gw_agreement::LogEntry;
use gw_agreement::Message;
use gw_fleet::FleetCommand;
use gw_fleet::FleetOutcome;
use gw_fleet::FleetState;
use gw_types::HostId;

use crate::control::control_host::Asker;
use crate::control::control_host::ControlHost;
use crate::control::control_host::Replica;
use crate::control::control_host::WaitingCommand;
use crate::control::control_host::WaitingRead;
use crate::link::CallFailure;
use crate::link::CallResult;
use crate::link::LinkMessage;

/// Entries after which the log is replaced by a snapshot.
const SNAPSHOT_ENTRIES: u64 = 256;

impl ControlHost {
    /// Takes a message of another replica.
    pub(crate) fn take_agreement(&self, from: HostId, message: Message) {
        let now = self.now();
        if let Some(replica) = self.replica.borrow_mut().as_mut() {
            replica.node.handle(now, from, message);
        }
        self.drive();
    }

    /// Lets the replica do what is due.
    pub(crate) fn tick_replica(&self) {
        let now = self.now();
        if let Some(replica) = self.replica.borrow_mut().as_mut() {
            replica.node.tick(now);
        }
        self.drive();
    }

    /// Carries out what the replica asks for until it asks for nothing more.
    pub(crate) fn drive(&self) {
        loop {
            let now = self.now();
            let mut slot = self.replica.borrow_mut();
            let Some(replica) = slot.as_mut() else { return };
            let ready = replica.node.take_ready(now);
            if ready.is_empty() {
                break;
            }
            self.send_all(replica.node.id(), ready.messages);
            if !ready.persist.is_empty() {
                if let Err(error) = replica.journal.write(&ready.persist) {
                    drop(slot);
                    self.stop_replica(&error.to_string());
                    return;
                }
                replica.node.persisted(self.now(), ready.token);
            }
            self.send_all(replica.node.id(), ready.messages_after_sync);
            if let Some(snapshot) = ready.install {
                match FleetState::restore(&snapshot.data) {
                    Ok(state) => self.log.borrow_mut().install(snapshot.meta.index.0, state),
                    Err(error) => {
                        drop(slot);
                        self.stop_replica(&error.to_string());
                        return;
                    }
                }
            }
            for entry in ready.committed {
                self.apply(replica, &entry);
            }
            self.save_snapshot(replica);
        }
        self.follow_leadership();
        self.answer_reads();
        self.push_updates();
    }

    fn send_all(&self, from: HostId, messages: Vec<Envelope>) {
        for Envelope { to, message } in messages {
            if let Some(link) = self.link_to(to) {
                link.send(&LinkMessage::Agreement { from, to, message });
            }
        }
    }

    fn apply(&self, replica: &mut Replica, entry: &LogEntry) {
        let index = entry.index.0;
        if replica.node.is_leader()
            && entry.term == replica.node.term()
            && replica.leads_since.is_none()
        {
            replica.leads_since = Some(index);
        }
        let command = match &entry.payload {
            EntryPayload::Command(bytes) => match postcard::from_bytes::<FleetCommand>(bytes) {
                Ok(command) => Some(command),
                Err(error) => {
                    // All replicas skip it alike.
                    log::error!("event=command_not_read index={index} cause=\"{error}\"");
                    None
                }
            },
            EntryPayload::Noop => None,
            EntryPayload::Membership(members) => {
                log::info!("event=members_changed index={index} members={members:?}");
                None
            }
        };
        let outcome = self.log.borrow_mut().apply(index, command.as_ref());
        if let (Some(command), Some(outcome)) = (&command, outcome) {
            if let FleetCommand::PutTarget(record) = command {
                // It announced itself a moment ago, maybe to another replica.
                self.watch.borrow_mut().note_heard(self.now(), &record.name);
            }
            log_applied(index, command, outcome);
        }
        let mut waiting = self.waiting.borrow_mut();
        let due = waiting.extract_if(.., |waiting| waiting.index <= index);
        for waiting in due.collect::<Vec<_>>() {
            let is_own = waiting.index == index && waiting.term == entry.term.0;
            let result = match outcome.filter(|_| is_own) {
                Some(outcome) => CallResult::Committed(outcome),
                None => CallResult::Failed(CallFailure::Unavailable),
            };
            waiting.asker.answer(result);
        }
    }

    fn save_snapshot(&self, replica: &mut Replica) {
        let log = self.log.borrow();
        if log.applied() < replica.last_snapshot + SNAPSHOT_ENTRIES {
            return;
        }
        match log.state().snapshot() {
            Ok(data) => {
                replica.node.save_snapshot(gw_agreement::LogIndex(log.applied()), data);
                replica.last_snapshot = log.applied();
            }
            Err(error) => log::error!("event=snapshot_failed cause=\"{error}\""),
        }
    }

    fn follow_leadership(&self) {
        let (is_leader, term) = {
            let mut slot = self.replica.borrow_mut();
            let Some(replica) = slot.as_mut() else { return };
            if !replica.node.is_leader() {
                replica.leads_since = None;
            }
            (replica.node.is_leader(), replica.node.term().0)
        };
        if is_leader == self.was_leader.get() {
            return;
        }
        self.was_leader.set(is_leader);
        self.metrics.is_leader.set(i64::from(is_leader));
        let event = if is_leader { "leads_control" } else { "left_control" };
        log::info!("event={event} term={term}");
        self.ranges.borrow_mut().restart();
        self.watch.borrow_mut().restart(self.now());
        self.noticed.borrow_mut().clear();
        if !is_leader {
            self.fail_waiting(CallFailure::NotLeader);
        }
    }

    pub(crate) fn fail_waiting(&self, failure: CallFailure) {
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        let reads = std::mem::take(&mut *self.reads.borrow_mut());
        let askers = waiting.into_iter().map(|waiting| waiting.asker);
        askers
            .chain(reads.into_iter().map(|read| read.asker))
            .for_each(|asker| asker.answer(CallResult::Failed(failure)));
    }

    /// Puts a command into the log as leader.
    pub(crate) fn propose_as_leader(&self, command: &FleetCommand, asker: Asker) {
        let now = self.now();
        let proposed = {
            let mut slot = self.replica.borrow_mut();
            let replica = slot.as_mut().filter(|replica| replica.node.is_leader());
            replica.map(|replica| {
                let bytes = postcard::to_stdvec(command).map_err(|error| error.to_string())?;
                let index = replica.node.propose(now, bytes).map_err(|error| error.to_string())?;
                Ok::<_, String>((index.0, replica.node.term().0))
            })
        };
        match proposed {
            Some(Ok((index, term))) => {
                self.waiting.borrow_mut().push(WaitingCommand { index, term, asker });
                self.drive();
            }
            Some(Err(cause)) => {
                log::warn!("event=proposal_refused cause=\"{cause}\"");
                asker.answer(CallResult::Failed(CallFailure::Unavailable));
            }
            None => asker.answer(CallResult::Failed(CallFailure::NotLeader)),
        }
    }

    /// Waits as leader until a majority has confirmed that no later leader exists.
    pub(crate) fn read_as_leader(&self, asker: Asker) {
        if !self.leads() {
            asker.answer(CallResult::Failed(CallFailure::NotLeader));
            return;
        }
        let asked = self.now();
        self.reads.borrow_mut().push(WaitingRead { asked, asker });
    }

    fn answer_reads(&self) {
        if self.reads.borrow().is_empty() {
            return;
        }
        let now = self.now();
        let confirmed = {
            let replica = self.replica.borrow();
            let leading = replica.as_ref().filter(|replica| replica.leads_since.is_some());
            leading.and_then(|replica| replica.node.leadership_confirmed_at(now))
        };
        let Some(confirmed) = confirmed else { return };
        let index = self.log.borrow().applied();
        let mut reads = self.reads.borrow_mut();
        let due: Vec<_> = reads.extract_if(.., |read| read.asked <= confirmed).collect();
        drop(reads);
        due.into_iter().for_each(|read| read.asker.answer(CallResult::ReadIndex(index)));
    }
}

fn log_applied(index: u64, command: &FleetCommand, outcome: FleetOutcome) {
    match command {
        FleetCommand::SetFirstReplicas(first) => {
            log::info!("event=first_replicas index={index} count={}", first.len());
        }
        FleetCommand::AddReplica { folder, peers, .. } => log::info!(
            "event=replica_added index={index} folder={folder:x} peers={peers} outcome={outcome:?}"
        ),
        FleetCommand::RemoveReplica { id } => {
            log::info!("event=replica_removed index={index} id={}", id.0);
        }
        FleetCommand::SetConfig(config) => log::info!(
            "event=config_committed index={index} version={} outcome={outcome:?}",
            config.routing.version
        ),
        FleetCommand::PatchConfig(patch) => log::warn!(
            "event=unexpected_command index={index} command=patch_config version={}",
            patch.version
        ),
        FleetCommand::PutTarget(record) => log::info!(
            "event=target_committed index={index} target={} run={} service={} phase={:?} \
             outcome={outcome:?}",
            record.name,
            record.run,
            record.service,
            record.phase,
        ),
        FleetCommand::RemoveTarget { name, run, cause } => log::info!(
            "event=target_removed index={index} target={name} run={run:?} cause={cause:?} \
             outcome={outcome:?}"
        ),
        FleetCommand::ChangeRanges(change) => {
            log::info!("event=ranges_changed index={index} outcome={outcome:?} change={change:?}");
        }
    }
}

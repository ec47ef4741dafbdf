use std::time::Duration;

use gw_agreement::EntryPayload;
use gw_agreement::Envelope;
use gw_agreement::LogEntry;
use gw_agreement::Message;
use gw_agreement::ReplicaNode;
use gw_fleet::DepartureCause;
use gw_fleet::FleetCommand;
use gw_fleet::FleetOutcome;
use gw_fleet::FleetState;
use gw_fleet::ZoneEvacuation;
use gw_ranges::RangeHolder;
use gw_types::HostId;

use crate::control::control_host::ControlHost;
use crate::control::control_host::PendingCommand;
use crate::control::control_host::PendingRead;
use crate::control::control_host::Replica;
use crate::control::control_host::ReplySink;
use crate::control::replica_journal::SLOW_SYNC;
use crate::link::CallFailure;
use crate::link::CallResult;
use crate::link::LinkMessage;
use crate::wall_clock::unix_millis;

/// Wait for a sync of a disk that has nothing else to write: five times that of the platform's disks. A
/// host with much to do, as after a common restart, would handle the report of the journal's thread so
/// late that elections fail.
const FAST_SYNC: Duration = Duration::from_millis(10);
/// Number of applied entries after which the log is compacted into a snapshot, if their size has not
/// led to one before.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 256;

impl ControlHost {
    /// Handles a consensus message of another replica.
    pub(crate) fn handle_agreement(&self, from: HostId, message: Message) {
        let now = self.now();
        if message.is_from_leader() {
            // Precedes the response, so that a new leader does not give this replica a vote again.
            self.announce_leaving_to(from);
        }
        let has_same_role = {
            let mut slot = self.replica.borrow_mut();
            let Some(replica) = slot.as_mut() else { return };
            let node = &mut replica.node;
            let before = (node.term(), node.is_leader());
            node.handle(now, from, message);
            before == (node.term(), node.is_leader())
        };
        if has_same_role {
            self.request_drive();
        } else {
            // The leader's tasks follow the role before they handle anything else.
            self.drive();
        }
    }

    /// Performs the replica's pending I/O once the events that have already arrived are handled, so
    /// that one sync serves them all.
    fn request_drive(&self) {
        self.is_drive_due.set(true);
        self.drive_wakeup.notify_one();
    }

    /// Performs the I/O that was requested since the last time, if any.
    pub(crate) fn drive_if_due(&self) {
        if self.is_drive_due.get() {
            self.drive();
        }
    }

    /// Advances the replica's timers.
    pub(crate) fn tick_replica(&self) {
        let now = self.now();
        if let Some(replica) = self.replica.borrow_mut().as_mut() {
            replica.node.tick(now);
        }
        self.drive();
    }

    /// Performs the replica's pending I/O until it has none left: sends messages, hands entries over
    /// to the journal's thread, installs snapshots and applies committed entries. Messages that
    /// depend on persisted entries are sent after the sync.
    pub(crate) fn drive(&self) {
        self.is_drive_due.set(false);
        loop {
            let now = self.now();
            let mut slot = self.replica.borrow_mut();
            let Some(replica) = slot.as_mut() else { return };
            let mut ready = replica.node.take_ready(now);
            if ready.is_empty() {
                break;
            }
            let is_disk_idle = replica.unsynced.unsynced_since().is_none();
            let mut messages = std::mem::take(&mut ready.messages);
            messages.extend(replica.unsynced.push(now, &mut ready));
            self.send_all(&mut replica.node, messages);
            if !ready.persist.is_empty() {
                self.metrics.journal_batches.inc();
                replica.journal.write(ready.token, ready.persist);
                let wait = if is_disk_idle { FAST_SYNC } else { Duration::ZERO };
                if let Some(token) = replica.journal.wait_synced(ready.token, wait) {
                    replica.node.persisted(self.now(), token);
                    let messages = replica.unsynced.complete(token);
                    self.send_all(&mut replica.node, messages);
                }
            }
            if let Some(snapshot) = ready.install {
                match FleetState::restore(&snapshot.data) {
                    Ok(state) => {
                        replica.last_snapshot = snapshot.meta.index.0;
                        let mut log = self.log.borrow_mut();
                        let mut replacements = self.run_replacements.borrow_mut();
                        replacements.record_learned(self.now(), log.state(), &state);
                        log.install(snapshot.meta.index.0, state);
                    }
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
        self.update_leadership();
        self.complete_reads();
        // Entry hosts must not apply limits before the configuration that begins them, nor after the
        // one that ends them.
        let is_limited = !self.monitor.borrow().warmth.limits().is_empty();
        if !is_limited {
            self.push_updates();
        }
        self.push_warm_up_limits();
        self.push_updates();
    }

    pub(crate) fn send_all(&self, node: &mut ReplicaNode, messages: Vec<Envelope>) {
        let from = node.id();
        for Envelope { to, message } in messages {
            let message = LinkMessage::Agreement { from, to, message };
            if !self.link_to(to).is_some_and(|link| link.send(&message)) {
                node.connection_lost(to);
            }
        }
    }

    /// Applies a committed entry and completes the proposals up to its index.
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
                    // All replicas skip the entry alike, so their states stay equal.
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
        let previous_run = match &command {
            Some(FleetCommand::PutTarget(record)) => {
                self.log.borrow().state().latest_run(&record.name)
            }
            _ => None,
        };
        let outcome = self.log.borrow_mut().apply(index, command.as_ref());
        if let (Some(command), Some(outcome)) = (&command, outcome) {
            if let FleetCommand::PutTarget(record) = command {
                // The target announced itself a moment ago, possibly to another replica.
                self.monitor.borrow_mut().record_contact(self.now(), &record.name);
                if outcome == FleetOutcome::Applied
                    && previous_run.is_some_and(|run| run < record.run)
                {
                    self.run_replacements.borrow_mut().record(self.now(), record.holder());
                }
            }
            if let FleetCommand::RemoveTarget { name, run: Some(run), cause } = command
                && (*cause, outcome) == (DepartureCause::Silent, FleetOutcome::Applied)
            {
                let holder = RangeHolder { target: name.clone(), run: *run };
                self.run_replacements.borrow_mut().record_silence(self.now(), &holder);
            }
            if let FleetCommand::EndEvacuation { zone } = command {
                self.record_evacuation_end(zone);
            }
            log_applied(index, command, outcome);
        }
        let mut commands = self.pending_commands.borrow_mut();
        let completed = commands.extract_if(.., |pending| pending.index <= index);
        for pending in completed.collect::<Vec<_>>() {
            let is_same_proposal = pending.index == index && pending.term == entry.term.0;
            let result = match outcome.filter(|_| is_same_proposal) {
                Some(outcome) => CallResult::Committed(outcome),
                None => CallResult::Failed(CallFailure::Unavailable),
            };
            pending.reply_to.send(result);
        }
    }

    fn save_snapshot(&self, replica: &mut Replica) {
        let log = self.log.borrow();
        let is_due = log.applied() >= replica.last_snapshot + SNAPSHOT_INTERVAL_ENTRIES
            || replica.node.bytes_since_snapshot() >= self.bounds.since_snapshot;
        if !is_due || log.applied() == replica.last_snapshot {
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

    /// Hands the leadership over if the others have committed entries that this leader cannot apply
    /// since its disk hangs. While later entries wait for them, their disks may hang as well: the
    /// leader stays, since a transfer would have to wait too.
    pub(crate) fn relieve_leader(&self) {
        let now = self.now();
        let transferred = {
            let mut slot = self.replica.borrow_mut();
            let Some(replica) = slot.as_mut().filter(|replica| replica.node.is_leader()) else {
                return;
            };
            let since = replica.unsynced.unsynced_since();
            let is_slow = since.is_some_and(|since| now.since(since) >= SLOW_SYNC);
            let node = &mut replica.node;
            let can_others_commit = node.commit_index() > node.last_applied()
                && node.commit_index() == node.last_index();
            if !is_slow || !can_others_commit {
                return;
            }
            node.transfer_leadership(now)
        };
        // An error says that a transfer is under way or that the leadership is being lost.
        if let Ok(to) = transferred {
            log::warn!("event=leader_relieved to={} cause=slow_sync", to.0);
            self.drive();
        }
    }

    /// Resets the state of the leader's tasks when this host has gained or lost the leadership.
    fn update_leadership(&self) {
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
        self.granters.borrow_mut().restart();
        self.restart_cold_duty();
        self.monitor.borrow_mut().restart(self.now());
        self.first_seen.borrow_mut().clear();
        if !is_leader {
            self.fail_pending(CallFailure::NotLeader);
        }
    }

    /// Fails all pending commands and reads.
    pub(crate) fn fail_pending(&self, failure: CallFailure) {
        let commands = std::mem::take(&mut *self.pending_commands.borrow_mut());
        let reads = std::mem::take(&mut *self.pending_reads.borrow_mut());
        let sinks = commands.into_iter().map(|pending| pending.reply_to);
        sinks
            .chain(reads.into_iter().map(|read| read.reply_to))
            .for_each(|reply_to| reply_to.send(CallResult::Failed(failure)));
    }

    /// Whether all connected hosts can read a command. A replica that cannot would skip it.
    fn is_readable_by_all(&self, command: &FleetCommand) -> bool {
        let links = self.links.borrow();
        links.iter().all(|link| link.hello.is_none() || link.link.supports(command.format()))
    }

    /// Appends a command to the log as leader, an evacuation with the present time. The outcome goes
    /// to `reply_to` once it is committed.
    pub(crate) fn propose_as_leader(&self, command: &FleetCommand, reply_to: ReplySink) {
        if !self.is_readable_by_all(command) {
            log::warn!("event=proposal_refused cause=\"a host of an earlier build is connected\"");
            reply_to.send(CallResult::Failed(CallFailure::Unavailable));
            return;
        }
        let now = self.now();
        let stamped;
        let command = match command {
            FleetCommand::StartEvacuation(ZoneEvacuation { zone, .. }) => {
                let (zone, since_unix_ms) = (zone.clone(), unix_millis());
                stamped = FleetCommand::StartEvacuation(ZoneEvacuation { zone, since_unix_ms });
                &stamped
            }
            command => command,
        };
        let proposed = {
            let mut slot = self.replica.borrow_mut();
            let replica = slot.as_mut().filter(|replica| replica.node.is_leader());
            replica.map(|replica| {
                if replica.unsynced.unsynced_bytes() > self.bounds.uncommitted {
                    return Err("too many bytes wait for the disk".to_owned());
                }
                let bytes = postcard::to_stdvec(command).map_err(|error| error.to_string())?;
                let index = replica.node.propose(now, bytes).map_err(|error| error.to_string())?;
                Ok::<_, String>((index.0, replica.node.term().0))
            })
        };
        match proposed {
            Some(Ok((index, term))) => {
                self.pending_commands.borrow_mut().push(PendingCommand { index, term, reply_to });
                self.request_drive();
            }
            Some(Err(cause)) => {
                log::warn!("event=proposal_refused cause=\"{cause}\"");
                reply_to.send(CallResult::Failed(CallFailure::Unavailable));
            }
            None => reply_to.send(CallResult::Failed(CallFailure::NotLeader)),
        }
    }

    /// Registers a linearizable read as leader. It is answered with the read index once a majority
    /// has confirmed that no later leader exists.
    pub(crate) fn read_as_leader(&self, reply_to: ReplySink) {
        if !self.is_confirmed_leader() {
            reply_to.send(CallResult::Failed(CallFailure::NotLeader));
            return;
        }
        let requested_at = self.now();
        self.pending_reads.borrow_mut().push(PendingRead { requested_at, reply_to });
    }

    /// Completes the reads that were requested before leadership was last confirmed. What other
    /// replicas may have applied is at most what is committed, which this replica applies only once
    /// its own disk has it.
    fn complete_reads(&self) {
        if self.pending_reads.borrow().is_empty() {
            return;
        }
        let now = self.now();
        let confirmed = {
            let replica = self.replica.borrow();
            let leading = replica.as_ref().filter(|replica| replica.leads_since.is_some());
            leading.and_then(|replica| {
                let confirmed = replica.node.leadership_confirmed_at(now)?;
                Some((confirmed, replica.node.commit_index().0))
            })
        };
        let Some((confirmed, index)) = confirmed else { return };
        let mut reads = self.pending_reads.borrow_mut();
        let completed: Vec<_> =
            reads.extract_if(.., |read| read.requested_at <= confirmed).collect();
        drop(reads);
        completed.into_iter().for_each(|read| read.reply_to.send(CallResult::ReadIndex(index)));
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
        FleetCommand::StartEvacuation(evacuation) => log::info!(
            "event=evacuation_started index={index} zone={} since_unix_ms={} outcome={outcome:?}",
            evacuation.zone,
            evacuation.since_unix_ms,
        ),
        FleetCommand::EndEvacuation { zone } => {
            log::info!("event=evacuation_ended index={index} zone={zone} outcome={outcome:?}");
        }
    }
}

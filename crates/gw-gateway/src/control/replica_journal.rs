use std::time::Duration;

use gw_agreement::Membership;
use gw_agreement::PersistToken;
use gw_agreement::RecoveredState;
use gw_agreement::ReplicaNode;
use gw_agreement::ReplicaOptions;
use gw_agreement::SyncQueue;
use gw_daemon::control::JournalReport;
use gw_types::HostId;

use crate::control::control_host::ControlHost;
use crate::control::control_host::Replica;
use crate::control::fleet_log::FleetLog;
use crate::control::replica_identity::JOURNAL_FOLDER;
use crate::control::replica_identity::ReplicaIdentity;

/// Wait of a batch for its sync that is logged, and after which a leader hands over if the others
/// commit without it. The shortest election timeout: a leader that was silent for as long would be
/// replaced.
pub(crate) const SLOW_SYNC: Duration = Duration::from_millis(500);

impl ControlHost {
    /// Starts to open the journal in the data directory, unless an earlier thread still uses it. The
    /// replica runs once it is open.
    pub(crate) fn open_journal(&self, identity: &ReplicaIdentity) -> Result<(), String> {
        if self.journal.borrow().is_open() {
            return Ok(());
        }
        let data = self.settings.borrow().data_dir.clone().ok_or("no data directory configured")?;
        let (folder, bounds) = (data.join(JOURNAL_FOLDER), self.bounds.recovery);
        let opened = self.journal.borrow_mut().open(folder, bounds, first_membership(identity));
        *self.opening.borrow_mut() = Some(opened.map_err(|error| error.to_string())?);
        Ok(())
    }

    /// Handles a report of a journal thread.
    pub(crate) fn handle_journal(&self, report: JournalReport) {
        match report {
            JournalReport::Opened { run, recovered } => self.start_replica(run, recovered),
            JournalReport::Synced { run, token } => self.complete_sync(run, token),
            JournalReport::Closed { run, cause } => {
                let cause =
                    cause.map_or_else(|| "thread ended".to_owned(), |error| error.to_string());
                self.handle_closed_journal(run, &cause);
            }
        }
    }

    /// Starts the replica from the content of its journal.
    fn start_replica(&self, run: u64, recovered: RecoveredState) {
        let mut opening = self.opening.borrow_mut();
        let Some(journal) = opening.take_if(|journal| journal.run() == run) else { return };
        let identity = self.identity.borrow().clone();
        let Some((identity, id)) = identity.and_then(|known| known.id.map(|id| (known, id))) else {
            return;
        };
        let options = self.replica_options(id, first_membership(&identity));
        let node = ReplicaNode::new(options, recovered, self.now());
        *self.log.borrow_mut() = FleetLog::new(self.bounds.recent_commands);
        *self.replica.borrow_mut() = Some(Replica {
            node,
            journal,
            unsynced: SyncQueue::default(),
            last_snapshot: 0,
            leads_since: None,
        });
        log::info!("event=replica_started id={}", id.0);
    }

    fn replica_options(&self, id: HostId, members: Membership) -> ReplicaOptions {
        ReplicaOptions {
            max_command_bytes: self.bounds.command,
            max_batch_bytes: self.bounds.batch,
            max_in_flight_bytes: self.bounds.in_flight,
            max_uncommitted_bytes: self.bounds.uncommitted,
            snapshot_chunk_bytes: self.bounds.snapshot_chunk,
            retained_bytes: self.bounds.retained,
            promotes_learners: false,
            ..ReplicaOptions::new(id, members, rand::random())
        }
    }

    /// Sends the messages that waited for a sync, and goes on with what it has committed.
    fn complete_sync(&self, run: u64, token: PersistToken) {
        let now = self.now();
        if let Some(replica) = self.replica.borrow_mut().as_mut()
            && replica.journal.run() == run
        {
            let since = replica.unsynced.unsynced_since();
            if let Some(wait) = since.map(|since| now.since(since)).filter(|at| *at >= SLOW_SYNC) {
                log::warn!("event=slow_sync millis={}", wait.as_millis());
            }
            replica.node.persisted(now, token);
            let messages = replica.unsynced.complete(token);
            self.send_all(&mut replica.node, messages);
        }
        self.drive();
    }

    /// Stops the replica whose journal was closed, or goes on with what waited for that.
    fn handle_closed_journal(&self, run: u64, cause: &str) {
        self.journal.borrow_mut().record_closed(run);
        if self.opening.borrow_mut().take_if(|journal| journal.run() == run).is_some() {
            log::error!("event=replica_not_started cause=\"{cause}\"");
        }
        let is_running = {
            let replica = self.replica.borrow();
            replica.as_ref().is_some_and(|replica| replica.journal.run() == run)
        };
        if is_running {
            self.stop_replica(cause);
        }
        self.finish_removal();
    }
}

/// Returns the membership of a group without a snapshot.
fn first_membership(identity: &ReplicaIdentity) -> Membership {
    Membership::of_voters(identity.first_members.iter().copied())
}

use std::sync::Arc;
use std::time::Duration;

use gw_agreement::EntryPayload;
use gw_agreement::PersistBatch;
use gw_agreement::RecoveredState;
use gw_node::DispatchPlan;
use gw_node::HostNode;
use gw_node::NodeOptions;
use gw_types::BootId;
use gw_types::HostEntry;
use gw_types::Timestamp;

use crate::HostRole;
use crate::HostTally;

/// Longest deadline of requests, as in the daemon.
const LONGEST_DEADLINE: Duration = Duration::from_millis(1_000);

/// One host of a cluster.
pub struct SimulatedHost {
    /// The host as the settings list it.
    pub entry: HostEntry,
    /// The state machines; absent while the process does not run.
    pub node: Option<HostNode>,
    /// What it has done since the cluster began.
    pub tally: HostTally,
    /// Targets that it dispatches.
    pub plan: Arc<DispatchPlan>,
    pub(crate) boot: u64,
    disk: RecoveredState,
}

impl SimulatedHost {
    pub(crate) fn new(entry: &HostEntry, all: &[HostEntry], seed: u64, now: Timestamp) -> Self {
        let mut host = Self {
            entry: entry.clone(),
            node: None,
            tally: HostTally::default(),
            plan: Arc::default(),
            boot: 0,
            disk: RecoveredState::default(),
        };
        host.start(all, seed, now);
        host
    }

    pub(crate) fn start(&mut self, all: &[HostEntry], seed: u64, now: Timestamp) {
        self.boot += 1;
        let options = NodeOptions {
            host: self.entry.id,
            boot: BootId(self.boot),
            hosts: all.to_vec(),
            recovered: self.entry.control.then(|| self.disk.clone()),
            seed,
            longest_deadline: LONGEST_DEADLINE,
        };
        self.node = Some(HostNode::new(options, now));
    }

    pub(crate) fn stop(&mut self) {
        self.node = None;
        self.plan = Arc::default();
    }

    /// What the host does at `now`.
    pub fn role(&self, now: Timestamp) -> HostRole {
        let node = self.node.as_ref();
        if node.is_some_and(|node| node.leads_control(now)) {
            HostRole::ControlLeader
        } else if self.entry.control {
            HostRole::ControlReplica
        } else if node.is_some_and(|node| node.zone_term(now).is_some()) {
            HostRole::ZoneLeader
        } else if !self.plan.assignments.is_empty() {
            HostRole::Dispatcher
        } else {
            HostRole::EntryHost
        }
    }

    /// Bytes of the encoded control state and zone tables that the host holds.
    pub fn state_bytes(&self) -> usize {
        let Some(node) = &self.node else { return 0 };
        let tables = node.zone_tables().iter();
        let tables =
            tables.map(|table| postcard::to_stdvec(&**table).map_or(0, |bytes| bytes.len()));
        node.control_state().snapshot().len() + tables.sum::<usize>()
    }

    /// Applies a journal write as if it were synced at once.
    pub(crate) fn persist(&mut self, batch: PersistBatch) {
        for entry in &batch.entries {
            self.tally.journal_entries += 1;
            if let EntryPayload::Command(bytes) = &entry.payload {
                self.tally.journal_bytes += bytes.len() as u64;
            }
        }
        let disk = &mut self.disk;
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
}

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

use crate::HostCounters;
use crate::HostRole;

/// Maximum deadline of requests, as in the daemon.
const MAX_DEADLINE: Duration = Duration::from_millis(1_000);

/// A host of a simulated cluster.
pub struct SimulatedHost {
    /// Entry of the host in the settings.
    pub entry: HostEntry,
    /// State machine of the host's process; absent while the process is stopped.
    pub node: Option<HostNode>,
    /// Counters since the start of the cluster. They survive restarts of the host.
    pub counters: HostCounters,
    /// Targets that the host dispatches to.
    pub plan: Arc<DispatchPlan>,
    /// Number of starts of the process, used as its boot id.
    pub(crate) boot: u64,
    /// Content of the control replica's journal, which survives restarts.
    durable_state: RecoveredState,
}

impl SimulatedHost {
    pub(crate) fn new(entry: &HostEntry, all: &[HostEntry], seed: u64, now: Timestamp) -> Self {
        let mut host = Self {
            entry: entry.clone(),
            node: None,
            counters: HostCounters::default(),
            plan: Arc::default(),
            boot: 0,
            durable_state: RecoveredState::default(),
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
            recovered: self.entry.control.then(|| self.durable_state.clone()),
            seed,
            longest_deadline: MAX_DEADLINE,
        };
        self.node = Some(HostNode::new(options, now));
    }

    pub(crate) fn stop(&mut self) {
        self.node = None;
        self.plan = Arc::default();
    }

    /// Returns the role of the host at `now`.
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

    /// Returns the encoded size of the control state and zone tables that the host holds, in bytes.
    pub fn state_bytes(&self) -> usize {
        let Some(node) = &self.node else { return 0 };
        let tables = node.zone_tables().iter();
        let tables =
            tables.map(|table| postcard::to_stdvec(&**table).map_or(0, |bytes| bytes.len()));
        node.control_state().snapshot().len() + tables.sum::<usize>()
    }

    /// Applies a journal write, which counts as synced immediately.
    pub(crate) fn persist(&mut self, batch: PersistBatch) {
        for entry in &batch.entries {
            self.counters.journal_entries += 1;
            if let EntryPayload::Command(bytes) = &entry.payload {
                self.counters.journal_bytes += bytes.len() as u64;
            }
        }
        let durable_state = &mut self.durable_state;
        if let Some(index) = batch.truncate_from {
            durable_state.entries.retain(|entry| entry.index < index);
        }
        if let Some(snapshot) = batch.snapshot {
            durable_state.entries.retain(|entry| entry.index > snapshot.meta.index);
            durable_state.snapshot = Some(snapshot);
        }
        durable_state.entries.extend(batch.entries);
        if let Some(state) = batch.hard_state {
            durable_state.hard_state = state;
        }
    }
}

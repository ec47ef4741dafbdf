use std::time::Duration;

use gw_types::BootId;
use gw_types::HostId;
use gw_types::Timestamp;

use crate::Heartbeat;
use crate::LoadSummary;

/// Time without a heartbeat after which a host is unreachable: four heartbeat intervals.
pub const UNREACHABLE_AFTER: Duration = Duration::from_secs(1);

/// State of another host as its heartbeats show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostStatus {
    /// Identifies the host.
    pub id: HostId,
    /// Latest run of the host's process; absent until the first heartbeat. Never decreases.
    pub boot: Option<BootId>,
    /// Whether the host is ready, by the latest heartbeat of the run.
    pub is_ready: bool,
    /// Load by the latest heartbeat of the run.
    pub load: LoadSummary,
    /// Time of the latest heartbeat. Before the first one, the time when the directory was created
    /// or heartbeats became expected.
    pub last_heartbeat_at: Timestamp,
    /// Value of `last_heartbeat_at` if the host is unreachable; absent otherwise.
    pub unreachable_since: Option<Timestamp>,
    /// Whether the host is expected to send heartbeats to this one.
    is_expected_sender: bool,
    /// Highest sequence of a heartbeat of the run.
    sequence: u64,
}

/// A change in the state of another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostChange {
    /// The first heartbeat arrived, or the first one after the host was unreachable.
    Reachable {
        /// The host that is reachable.
        host: HostId,
    },
    /// No heartbeat arrived for [`UNREACHABLE_AFTER`].
    Unreachable {
        /// The host that is unreachable.
        host: HostId,
        /// Time of its last heartbeat or, if there was none, from when one was expected.
        since: Timestamp,
    },
    /// The host restarted, and lost its lease promises and its copies of records.
    Restarted {
        /// The host that restarted.
        host: HostId,
        /// The run before the restart.
        previous: BootId,
        /// The run after the restart.
        boot: BootId,
    },
    /// The host became ready or is no longer ready.
    ReadinessChanged {
        /// The host whose readiness changed.
        host: HostId,
        /// Whether the host is ready now.
        is_ready: bool,
    },
}

/// Failure detector for the other hosts, based on their heartbeats.
#[derive(Clone, Debug)]
pub struct HostDirectory {
    /// Sorted by id.
    hosts: Vec<HostStatus>,
}

impl HostDirectory {
    /// Creates a directory of `hosts`, none of which has sent a heartbeat yet.
    pub fn new(hosts: impl IntoIterator<Item = HostId>, now: Timestamp) -> Self {
        let mut hosts: Vec<_> =
            hosts.into_iter().map(|id| HostStatus::without_heartbeat(id, now)).collect();
        hosts.sort_by_key(|status| status.id);
        hosts.dedup_by_key(|status| status.id);
        Self { hosts }
    }

    /// Sets the hosts that are expected to send heartbeats. Other hosts never become unreachable.
    ///
    /// A host that was not expected before has [`UNREACHABLE_AFTER`] to send its first heartbeat.
    pub fn set_expected_senders(&mut self, now: Timestamp, ids: &[HostId]) {
        for status in &mut self.hosts {
            let is_expected_sender = ids.contains(&status.id);
            if is_expected_sender && !status.is_expected_sender {
                status.last_heartbeat_at = status.last_heartbeat_at.max(now);
            }
            if !is_expected_sender {
                status.unreachable_since = None;
            }
            status.is_expected_sender = is_expected_sender;
        }
    }

    /// Records a heartbeat and returns the changes that follow from it.
    ///
    /// A heartbeat of an unknown host or an earlier run is ignored. One that arrives after a later
    /// heartbeat of the same run only shows that the host is reachable.
    pub fn record_heartbeat(
        &mut self,
        now: Timestamp,
        from: HostId,
        boot: BootId,
        heartbeat: &Heartbeat,
    ) -> Vec<HostChange> {
        let Some(status) = self.status_mut(from) else { return Vec::new() };
        if status.boot.is_some_and(|known| boot < known) {
            return Vec::new();
        }
        let is_first = status.boot.is_none();
        let mut changes = status.record_run(boot);
        changes.extend(status.record_arrival(now, is_first));
        changes.extend(status.record_content(heartbeat));
        changes
    }

    /// Marks the hosts whose heartbeats are missing as unreachable and returns the changes.
    pub fn tick(&mut self, now: Timestamp) -> Vec<HostChange> {
        let late = self.hosts.iter_mut().filter(|status| status.is_late(now));
        late.map(|status| {
            status.unreachable_since = Some(status.last_heartbeat_at);
            HostChange::Unreachable { host: status.id, since: status.last_heartbeat_at }
        })
        .collect()
    }

    /// Returns when to call [`tick`](Self::tick) next; `None` if no heartbeat is expected.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let expected = self.hosts.iter().filter(|status| status.awaits_heartbeat());
        expected.map(|status| status.last_heartbeat_at + UNREACHABLE_AFTER).min()
    }

    /// Returns the state of `host`, if it is in the directory.
    pub fn status(&self, host: HostId) -> Option<&HostStatus> {
        let index = self.hosts.binary_search_by_key(&host, |status| status.id).ok()?;
        self.hosts.get(index)
    }

    /// Returns the state of all hosts, sorted by id.
    pub fn statuses(&self) -> &[HostStatus] {
        &self.hosts
    }

    /// Whether `host` has sent a heartbeat and is not unreachable.
    pub fn is_reachable(&self, host: HostId) -> bool {
        let status = self.status(host);
        status.is_some_and(|status| status.boot.is_some() && status.unreachable_since.is_none())
    }

    fn status_mut(&mut self, host: HostId) -> Option<&mut HostStatus> {
        let index = self.hosts.binary_search_by_key(&host, |status| status.id).ok()?;
        self.hosts.get_mut(index)
    }
}

impl HostStatus {
    fn without_heartbeat(id: HostId, now: Timestamp) -> Self {
        Self {
            id,
            boot: None,
            is_ready: false,
            load: LoadSummary::default(),
            last_heartbeat_at: now,
            unreachable_since: None,
            is_expected_sender: false,
            sequence: 0,
        }
    }

    fn record_run(&mut self, boot: BootId) -> Vec<HostChange> {
        let previous = self.boot.replace(boot).filter(|previous| *previous != boot);
        let Some(previous) = previous else { return Vec::new() };
        let host = self.id;
        let mut changes = vec![HostChange::Restarted { host, previous, boot }];
        self.sequence = 0;
        if std::mem::take(&mut self.is_ready) {
            changes.push(HostChange::ReadinessChanged { host, is_ready: false });
        }
        changes
    }

    fn record_arrival(&mut self, now: Timestamp, is_first: bool) -> Option<HostChange> {
        self.last_heartbeat_at = self.last_heartbeat_at.max(now);
        let was_unreachable = self.unreachable_since.take().is_some();
        (was_unreachable || is_first).then_some(HostChange::Reachable { host: self.id })
    }

    fn record_content(&mut self, heartbeat: &Heartbeat) -> Option<HostChange> {
        if heartbeat.sequence < self.sequence {
            return None;
        }
        self.sequence = heartbeat.sequence;
        self.load = heartbeat.load;
        let was_ready = std::mem::replace(&mut self.is_ready, heartbeat.is_ready);
        let (host, is_ready) = (self.id, self.is_ready);
        (was_ready != is_ready).then_some(HostChange::ReadinessChanged { host, is_ready })
    }

    fn awaits_heartbeat(&self) -> bool {
        self.is_expected_sender && self.unreachable_since.is_none()
    }

    fn is_late(&self, now: Timestamp) -> bool {
        self.awaits_heartbeat() && now.since(self.last_heartbeat_at) >= UNREACHABLE_AFTER
    }
}

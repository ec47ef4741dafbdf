use std::time::Duration;

use gw_types::BootId;
use gw_types::HostId;
use gw_types::Timestamp;

use crate::Heartbeat;
use crate::LoadSummary;

/// A host from which no heartbeat came for this long counts as unreachable: four heartbeats.
pub const UNREACHABLE_AFTER: Duration = Duration::from_secs(1);

/// What is known of another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostStatus {
    /// The host.
    pub id: HostId,
    /// Its latest run; absent until the first heartbeat. Never goes back.
    pub boot: Option<BootId>,
    /// Whether the run is ready.
    pub is_ready: bool,
    /// Load in the latest heartbeat.
    pub load: LoadSummary,
    /// When the latest heartbeat came; at first, when the directory was made.
    pub last_heartbeat_at: Timestamp,
    /// Time of the last heartbeat before the host became unreachable; absent while it is reachable.
    pub unreachable_since: Option<Timestamp>,
    /// Whether the host is expected to send heartbeats to this one.
    is_expected_sender: bool,
    /// Latest heartbeat of the run.
    sequence: u64,
}

/// A change of another host that others act upon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostChange {
    /// Heartbeats come again, or for the first time.
    Reachable {
        /// The host.
        host: HostId,
    },
    /// Heartbeats are missing.
    Unreachable {
        /// The host.
        host: HostId,
        /// Time of the last heartbeat.
        since: Timestamp,
    },
    /// The host runs anew and has forgotten promises and copies.
    Restarted {
        /// The host.
        host: HostId,
        /// The run before.
        previous: BootId,
        /// The run now.
        boot: BootId,
    },
    /// The host became ready, or is no longer.
    ReadinessChanged {
        /// The host.
        host: HostId,
        /// Whether it is ready.
        is_ready: bool,
    },
}

/// Liveness of other hosts by their heartbeats.
#[derive(Clone, Debug)]
pub struct HostDirectory {
    /// Sorted by id.
    hosts: Vec<HostStatus>,
}

impl HostDirectory {
    /// A directory of `hosts` that has heard of none of them.
    pub fn new(hosts: impl IntoIterator<Item = HostId>, now: Timestamp) -> Self {
        let mut hosts: Vec<_> = hosts.into_iter().map(|id| HostStatus::unheard(id, now)).collect();
        hosts.sort_by_key(|status| status.id);
        hosts.dedup_by_key(|status| status.id);
        Self { hosts }
    }

    /// Sets which hosts are expected to send heartbeats; others never become unreachable. A host
    /// that is expected from now on has until [`UNREACHABLE_AFTER`].
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

    /// Takes a heartbeat. One of an earlier run, or an unknown host, changes nothing; one that was
    /// overtaken by a later one of its run only shows that the host was there.
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
        let mut changes = status.note_run(boot);
        changes.extend(status.note_heard(now, is_first));
        changes.extend(status.note_content(heartbeat));
        changes
    }

    /// Finds hosts whose heartbeats are missing.
    pub fn tick(&mut self, now: Timestamp) -> Vec<HostChange> {
        let late = self.hosts.iter_mut().filter(|status| status.is_late(now));
        late.map(|status| {
            status.unreachable_since = Some(status.last_heartbeat_at);
            HostChange::Unreachable { host: status.id, since: status.last_heartbeat_at }
        })
        .collect()
    }

    /// When [`tick`](Self::tick) next has something to do.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let waiting = self.hosts.iter().filter(|status| status.is_expected());
        waiting.map(|status| status.last_heartbeat_at + UNREACHABLE_AFTER).min()
    }

    /// What is known of `host`.
    pub fn status(&self, host: HostId) -> Option<&HostStatus> {
        let place = self.hosts.binary_search_by_key(&host, |status| status.id).ok()?;
        self.hosts.get(place)
    }

    /// All hosts, sorted by id.
    pub fn statuses(&self) -> &[HostStatus] {
        &self.hosts
    }

    /// Whether `host` was heard and is not known to be unreachable.
    pub fn is_reachable(&self, host: HostId) -> bool {
        let status = self.status(host);
        status.is_some_and(|status| status.boot.is_some() && status.unreachable_since.is_none())
    }

    fn status_mut(&mut self, host: HostId) -> Option<&mut HostStatus> {
        let place = self.hosts.binary_search_by_key(&host, |status| status.id).ok()?;
        self.hosts.get_mut(place)
    }
}

impl HostStatus {
    fn unheard(id: HostId, now: Timestamp) -> Self {
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

    fn note_run(&mut self, boot: BootId) -> Vec<HostChange> {
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

    fn note_heard(&mut self, now: Timestamp, is_first: bool) -> Option<HostChange> {
        self.last_heartbeat_at = self.last_heartbeat_at.max(now);
        let was_unreachable = self.unreachable_since.take().is_some();
        (was_unreachable || is_first).then_some(HostChange::Reachable { host: self.id })
    }

    fn note_content(&mut self, heartbeat: &Heartbeat) -> Option<HostChange> {
        if heartbeat.sequence < self.sequence {
            return None;
        }
        self.sequence = heartbeat.sequence;
        self.load = heartbeat.load;
        let was_ready = std::mem::replace(&mut self.is_ready, heartbeat.is_ready);
        let (host, is_ready) = (self.id, self.is_ready);
        (was_ready != is_ready).then_some(HostChange::ReadinessChanged { host, is_ready })
    }

    fn is_expected(&self) -> bool {
        self.is_expected_sender && self.unreachable_since.is_none()
    }

    fn is_late(&self, now: Timestamp) -> bool {
        self.is_expected() && now.since(self.last_heartbeat_at) >= UNREACHABLE_AFTER
    }
}

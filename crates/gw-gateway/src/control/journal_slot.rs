use std::path::PathBuf;

use gw_agreement::Membership;
use gw_daemon::control::JournalReport;
use gw_daemon::control::JournalThread;
use gw_daemon::control::JournalWriter;
use gw_daemon::control::RecoveryBounds;
use tokio::sync::mpsc::UnboundedSender;

use crate::control::recovered_fleet::RecoveredFleet;

/// Starts the threads that write the journal of a control host, one after the other.
pub(crate) struct JournalSlot {
    reports: UnboundedSender<JournalReport>,
    /// Number of the last thread.
    last_run: u64,
    /// Whether that thread has not closed the journal yet. Until then its folder must be neither
    /// opened nor removed.
    is_open: bool,
}

impl JournalSlot {
    pub(crate) fn new(reports: UnboundedSender<JournalReport>) -> Self {
        Self { reports, last_run: 0, is_open: false }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.is_open
    }

    /// Starts a thread that opens the journal in `folder`. `members` is the membership of a group
    /// without a snapshot.
    pub(crate) fn open(
        &mut self,
        folder: PathBuf,
        bounds: RecoveryBounds,
        members: Membership,
    ) -> std::io::Result<JournalThread> {
        debug_assert!(!self.is_open);
        let open = move || {
            JournalWriter::open_bounded(&folder, bounds, members, &mut RecoveredFleet::default())
        };
        self.last_run += 1;
        let thread = JournalThread::start(self.last_run, open, self.reports.clone())?;
        self.is_open = true;
        Ok(thread)
    }

    /// Records that a thread has closed the journal.
    pub(crate) fn record_closed(&mut self, run: u64) {
        self.is_open &= run != self.last_run;
    }
}

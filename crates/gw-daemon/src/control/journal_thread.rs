use std::io;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use gw_agreement::PersistBatch;
use gw_agreement::PersistToken;
use gw_agreement::RecoveredState;
use tokio::sync::mpsc::UnboundedSender;

use crate::control::JournalError;
use crate::control::JournalWriter;

/// Size of the entries of batches that are written together, in bytes, beyond which they are synced.
/// Bounds by how much a segment exceeds its size.
const MAX_MERGED_BYTES: usize = 1024 * 1024;

/// What a journal thread reports. Each report names the thread by its number, so that those of an
/// earlier thread are not taken for those of a later one.
#[derive(Debug)]
pub enum JournalReport {
    /// The journal is open.
    Opened {
        /// Number of the thread.
        run: u64,
        /// What the journal contains.
        recovered: RecoveredState,
    },
    /// The batch of `token` and all earlier ones are synced.
    Synced {
        /// Number of the thread.
        run: u64,
        /// Token of the batch.
        token: PersistToken,
    },
    /// The journal is closed, and its folder is no longer in use. Always the last report.
    Closed {
        /// Number of the thread.
        run: u64,
        /// Why opening, writing or syncing failed; `None` if the handle was dropped.
        cause: Option<JournalError>,
    },
}

/// Handle of the thread that opens, writes and syncs the journal of one replica.
///
/// Batches are written in the order in which they are handed over, those that wait with one sync.
/// Once the handle is dropped, the thread writes what it has been given and closes the journal.
pub struct JournalThread {
    run: u64,
    batches: mpsc::Sender<(PersistToken, PersistBatch)>,
    /// Tokens of synced batches, for those that wait for them.
    synced: mpsc::Receiver<PersistToken>,
}

impl JournalThread {
    /// Starts thread number `run`, which calls `open` first.
    ///
    /// # Errors
    ///
    /// Fails if the operating system starts no thread. Nothing is reported then.
    pub fn start<F>(run: u64, open: F, reports: UnboundedSender<JournalReport>) -> io::Result<Self>
    where
        F: FnOnce() -> Result<(JournalWriter, RecoveredState), JournalError> + Send + 'static,
    {
        let (batches, queue) = mpsc::channel();
        let (sender, synced) = mpsc::channel();
        let thread = thread::Builder::new().name("journal".to_owned());
        thread.spawn(move || {
            let mut work = JournalWork { run, reports, synced: sender, cause: None };
            work.cause = work.write_all(open, &queue).err();
        })?;
        Ok(Self { run, batches, synced })
    }

    /// Returns the number of the thread.
    pub fn run(&self) -> u64 {
        self.run
    }

    /// Hands over a batch. Does not block. A thread that has failed ignores it; its last report says
    /// so.
    pub fn write(&self, token: PersistToken, batch: PersistBatch) {
        self.batches.send((token, batch)).ok();
    }
}

impl JournalThread {
    /// Waits for at most `limit` until the batch of `token` is synced. Returns the last token that is
    /// known to be synced, `None` if there is none. A report follows in any case.
    ///
    /// A thread with much to do would handle the report long after a fast disk has synced.
    pub fn wait_synced(&self, token: PersistToken, limit: Duration) -> Option<PersistToken> {
        let end = Instant::now() + limit;
        let mut last = None;
        while last < Some(token) {
            let left = end.saturating_duration_since(Instant::now());
            match self.synced.recv_timeout(left) {
                Ok(synced) => last = Some(synced),
                Err(_) => break,
            }
        }
        last
    }
}

/// Work of one thread. Reports that the journal is closed when dropped, also after a panic.
struct JournalWork {
    run: u64,
    reports: UnboundedSender<JournalReport>,
    synced: mpsc::Sender<PersistToken>,
    cause: Option<JournalError>,
}

impl JournalWork {
    /// Writes all batches until the handle is dropped. The journal is closed when this returns.
    fn write_all(
        &self,
        open: impl FnOnce() -> Result<(JournalWriter, RecoveredState), JournalError>,
        queue: &mpsc::Receiver<(PersistToken, PersistBatch)>,
    ) -> Result<(), JournalError> {
        let (mut writer, recovered) = open()?;
        self.report(JournalReport::Opened { run: self.run, recovered });
        while let Ok((mut token, batch)) = queue.recv() {
            writer.append(&batch)?;
            let mut bytes = batch.entry_bytes();
            while bytes < MAX_MERGED_BYTES
                && let Ok((next, batch)) = queue.try_recv()
            {
                writer.append(&batch)?;
                bytes += batch.entry_bytes();
                token = next;
            }
            writer.sync()?;
            // The receiver is gone if the handle was dropped.
            self.synced.send(token).ok();
            self.report(JournalReport::Synced { run: self.run, token });
        }
        Ok(())
    }

    /// Sends a report. The receiver is gone if the host is stopping.
    fn report(&self, report: JournalReport) {
        self.reports.send(report).ok();
    }
}

impl Drop for JournalWork {
    fn drop(&mut self) {
        let cause = self.cause.take();
        self.report(JournalReport::Closed { run: self.run, cause });
    }
}

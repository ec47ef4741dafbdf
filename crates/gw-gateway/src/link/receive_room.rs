use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout;

/// Largest frame, in bytes, that needs no room: a fragment of a large one, with its head.
pub(super) const SMALL_FRAME_BYTES: usize = 20 * 1024;
/// Longest wait for room; the other host takes a connection that does not respond for longer as
/// broken.
const MAX_WAIT: Duration = Duration::from_millis(1_200);
/// Bytes that count as progress of a frame, and the time for them. The slowest links carry three
/// times as much (1.6 Mbit/s).
const PROGRESS_BYTES: usize = 64 * 1024;
const PROGRESS_TIME: Duration = Duration::from_secs(1);

/// Memory for the large frames that arrive on all connections that other hosts have opened. A single
/// frame always has room.
#[derive(Debug)]
pub(crate) struct ReceiveRoom {
    /// Bytes of frames that may be on their way together.
    limit: usize,
    used: Cell<usize>,
    /// Number of connections that wait for room.
    waiting: Cell<usize>,
    freed: Notify,
}

impl ReceiveRoom {
    pub(crate) fn new(limit: usize) -> Rc<Self> {
        let (used, waiting) = (Cell::default(), Cell::default());
        Rc::new(Self { limit, used, waiting, freed: Notify::new() })
    }

    /// Waits for room for `bytes` of a connection. Fails if there is none in time.
    pub(super) async fn claim(self: &Rc<Self>, bytes: usize) -> io::Result<RoomClaim> {
        let _waiting = WaitingGuard::new(&self.waiting);
        let free = async {
            loop {
                let freed = self.freed.notified();
                if self.used.get() == 0 || self.used.get() + bytes <= self.limit {
                    return;
                }
                freed.await;
            }
        };
        let no_room = |_| io::Error::new(io::ErrorKind::OutOfMemory, "no room for a frame");
        timeout(MAX_WAIT, free).await.map_err(no_room)?;
        self.used.set(self.used.get() + bytes);
        Ok(RoomClaim { room: self.clone(), bytes, moved: 0, active_at: Instant::now() })
    }
}

/// Counts a connection as waiting until dropped.
struct WaitingGuard<'a>(&'a Cell<usize>);

impl<'a> WaitingGuard<'a> {
    fn new(waiting: &'a Cell<usize>) -> Self {
        waiting.set(waiting.get() + 1);
        Self(waiting)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Room that a connection has until dropped.
#[derive(Debug)]
pub(super) struct RoomClaim {
    room: Rc<ReceiveRoom>,
    bytes: usize,
    /// Bytes received since `active_at`.
    moved: usize,
    /// When the connection last made progress.
    active_at: Instant,
}

impl RoomClaim {
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Records received bytes.
    pub(super) fn record_progress(&mut self, bytes: usize) {
        self.moved += bytes;
        if self.moved >= PROGRESS_BYTES {
            (self.moved, self.active_at) = (0, Instant::now());
        }
    }

    /// Whether others need the room of a connection that makes no progress.
    pub(super) fn is_stalled(&self) -> bool {
        self.room.waiting.get() > 0 && self.active_at.elapsed() >= PROGRESS_TIME
    }
}

impl Drop for RoomClaim {
    fn drop(&mut self) {
        self.room.used.set(self.room.used.get() - self.bytes);
        self.room.freed.notify_waiters();
    }
}

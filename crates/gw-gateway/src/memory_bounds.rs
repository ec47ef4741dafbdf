use gw_daemon::control::MAX_UNCOMMITTED_BYTES;
use gw_daemon::control::RecoveryBounds;

/// Bounds in bytes of what a host holds for the control log and for its links, as shares of the
/// memory that its process may use.
///
/// At the default of 256 MiB they add up to five sixteenths of it; decoded commands, the state and its
/// encoded form come on top, each of about the size of a configuration. The rest is for callers and
/// targets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemoryBounds {
    /// Largest command of the control log. A command exists several times for a moment: as received,
    /// decoded, as an entry, and in frames.
    pub(crate) command: usize,
    /// Entries that the leader has appended and that are not committed; at least one command.
    pub(crate) uncommitted: usize,
    /// Applied entries after which a snapshot replaces them. A state as large as this is written
    /// again for each, so that it must not be smaller than a large state.
    pub(crate) since_snapshot: usize,
    /// Entries kept beyond the snapshot for members that lag slightly. Others get the snapshot.
    pub(crate) retained: usize,
    /// Entries in memory while the journal is read. What was written within these bounds is never
    /// applied or refused; journals of earlier builds may be larger.
    pub(crate) recovery: RecoveryBounds,
    /// Entries in one message. Small, since a member acknowledges a message as a whole.
    pub(crate) batch: usize,
    /// Batches on their way to one member. Exceeds what a link of 1,000 Mbit/s transmits in a round
    /// trip of 15 ms, and fits fourteen members at a time.
    pub(crate) in_flight: usize,
    /// Chunk of a snapshot. One is on its way at a time, so that it must not be much smaller than
    /// what a link transmits in a round trip.
    pub(crate) snapshot_chunk: usize,
    /// Encoded recent commands for entry hosts that lag slightly; decoded, they take several times
    /// as much. Others get the complete state.
    pub(crate) recent_commands: usize,
    /// Large frames that wait for one connection, beyond a single one. Twice what is in flight to a
    /// member, so that batches sent again fit beside the first ones.
    pub(crate) large_frames: usize,
    /// Small frames that wait for one connection: some seconds of heartbeats, heads and reports.
    pub(crate) small_frames: usize,
    /// States and updates that wait for all connections to entry hosts together, each counted once.
    /// Fits some versions of a large configuration that are on their way over slow links.
    pub(crate) shared_frames: usize,
    /// Large frames that arrive together on the connections that other hosts have opened, beyond a
    /// single one; fits the largest command.
    pub(crate) received_frames: usize,
}

impl MemoryBounds {
    /// Largest command in any case, so that its frame is accepted by hosts of all builds.
    const MAX_COMMAND: usize = 16 * 1024 * 1024;

    /// Least memory that the bounds are shares of. With less, a process does not run.
    const MIN_MEMORY: usize = 16 * 1024 * 1024;

    /// Returns the bounds of a process that may use `memory_bytes`.
    pub(crate) fn of(memory_bytes: u64) -> Self {
        let memory = usize::try_from(memory_bytes).unwrap_or(usize::MAX).max(Self::MIN_MEMORY);
        Self {
            command: (memory / 16).min(Self::MAX_COMMAND),
            uncommitted: (memory / 16).min(MAX_UNCOMMITTED_BYTES),
            since_snapshot: memory / 32,
            retained: memory / 64,
            recovery: RecoveryBounds { applied_above: memory / 8, refused_above: memory / 2 },
            batch: memory / 256,
            in_flight: memory / 128,
            snapshot_chunk: memory / 1_024,
            recent_commands: memory / 256,
            large_frames: memory / 64,
            small_frames: memory / 512,
            shared_frames: memory / 16,
            received_frames: memory / 16,
        }
    }
}

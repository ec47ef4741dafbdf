use std::ops::AddAssign;
use std::ops::Sub;

use crate::MESSAGE_KINDS;

/// Monotonic counters of the network traffic, journal writes and CPU time of one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostCounters {
    /// Frames sent by message kind, indexed as [`MESSAGE_KINDS`].
    pub kind_frames: [u64; MESSAGE_KINDS.len()],
    /// Bytes of the frames sent by message kind, without IP, UDP and TCP headers.
    pub kind_bytes: [u64; MESSAGE_KINDS.len()],
    /// Frames sent over streams, either by choice or because they exceed a datagram.
    pub stream_frames: u64,
    /// Number of frames received.
    pub received_frames: u64,
    /// Bytes of the frames received.
    pub received_bytes: u64,
    /// Number of control log entries written to the journal.
    pub journal_entries: u64,
    /// Bytes of the payloads of these entries.
    pub journal_bytes: u64,
    /// CPU time of the state machine in nanoseconds.
    pub step_nanos: u64,
    /// CPU time of encoding and decoding frames in nanoseconds.
    pub codec_nanos: u64,
}

impl HostCounters {
    /// Returns the number of frames sent.
    pub fn sent_frames(&self) -> u64 {
        self.kind_frames.iter().sum()
    }

    /// Returns the bytes of the frames sent.
    pub fn sent_bytes(&self) -> u64 {
        self.kind_bytes.iter().sum()
    }

    /// Returns the counters with CPU times set to 0, since these differ between runs.
    pub fn without_times(&self) -> Self {
        Self { step_nanos: 0, codec_nanos: 0, ..*self }
    }
}

impl AddAssign for HostCounters {
    fn add_assign(&mut self, other: Self) {
        let kinds = other.kind_frames.iter().zip(&other.kind_bytes).enumerate();
        for (kind, (frames, bytes)) in kinds {
            self.kind_frames[kind] += frames;
            self.kind_bytes[kind] += bytes;
        }
        self.stream_frames += other.stream_frames;
        self.received_frames += other.received_frames;
        self.received_bytes += other.received_bytes;
        self.journal_entries += other.journal_entries;
        self.journal_bytes += other.journal_bytes;
        self.step_nanos += other.step_nanos;
        self.codec_nanos += other.codec_nanos;
    }
}

impl Sub for HostCounters {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        let mut rest = self;
        for kind in 0..MESSAGE_KINDS.len() {
            rest.kind_frames[kind] -= earlier.kind_frames[kind];
            rest.kind_bytes[kind] -= earlier.kind_bytes[kind];
        }
        rest.stream_frames -= earlier.stream_frames;
        rest.received_frames -= earlier.received_frames;
        rest.received_bytes -= earlier.received_bytes;
        rest.journal_entries -= earlier.journal_entries;
        rest.journal_bytes -= earlier.journal_bytes;
        rest.step_nanos -= earlier.step_nanos;
        rest.codec_nanos -= earlier.codec_nanos;
        rest
    }
}

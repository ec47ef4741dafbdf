use std::rc::Rc;

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use gw_agreement::MessageBody;
use gw_fleet::FormatVersion;

use crate::link::FrameBudget;
use crate::link::LinkMessage;
use crate::link::frame_budget::FrameCharge;

/// Length of the prefix of a frame, in bytes.
pub(super) const PREFIX_BYTES: usize = 4;

/// An encoded message: its length in 4 bytes, little-endian, followed by the message in postcard.
/// Clones share the bytes.
#[derive(Clone, Debug)]
pub(crate) struct LinkFrame {
    pub(super) bytes: Bytes,
    /// Whether the message may be large and has to arrive in the order of the other large ones. All
    /// others pass it.
    pub(super) is_large: bool,
    /// Set for a frame that waits for several connections.
    _charge: Option<Rc<FrameCharge>>,
}

impl LinkFrame {
    /// Encodes a message. The first message of a connection is followed by the version of this
    /// build, which builds that state none ignore.
    pub(crate) fn encode(message: &LinkMessage) -> Result<Self, postcard::Error> {
        let mut frame = BytesMut::with_capacity(PREFIX_BYTES).writer();
        frame.get_mut().put_u32_le(0);
        postcard::to_io(message, &mut frame)?;
        if matches!(message, LinkMessage::Hello { .. }) {
            postcard::to_io(&FormatVersion::CURRENT, &mut frame)?;
        }
        let mut frame = frame.into_inner();
        let len = (frame.len() - PREFIX_BYTES) as u32;
        frame[..PREFIX_BYTES].copy_from_slice(&len.to_le_bytes());
        Ok(Self { bytes: frame.freeze(), is_large: is_large(message), _charge: None })
    }

    /// Takes the frame's bytes from `budget` until no connection needs them any more.
    pub(crate) fn charged(self, budget: &FrameBudget) -> Self {
        Self { _charge: Some(budget.charge(self.bytes.len())), ..self }
    }

    /// Returns the number of bytes that the frame occupies.
    pub(super) fn cost(&self) -> usize {
        /// Size of a queue's entry for a frame and of its allocation's header.
        const FRAME_OVERHEAD: usize = 64;
        FRAME_OVERHEAD + self.bytes.len()
    }
}

/// Whether a message belongs to the sequence of large messages. The messages that build on each
/// other are all in it, whatever their size: entries of the log, and states with their updates.
fn is_large(message: &LinkMessage) -> bool {
    match message {
        LinkMessage::Agreement { message, .. } => match &message.body {
            MessageBody::Append { entries, .. } => !entries.is_empty(),
            body => matches!(body, MessageBody::SnapshotChunk { .. }),
        },
        LinkMessage::Propose { .. }
        | LinkMessage::Updates { .. }
        | LinkMessage::Snapshot { .. }
        | LinkMessage::EncodedState { .. } => true,
        _ => false,
    }
}

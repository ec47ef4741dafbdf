use std::future::Future;
use std::pin::Pin;

use bytes::Bytes;
use tokio::time::Instant;

/// Source of the pieces of a response that is forwarded as it arrives.
pub(crate) trait PieceSource {
    /// Returns the next piece, `None` at the end of a complete response, and an error if the
    /// response broke off.
    fn next_piece(&mut self) -> Pin<Box<dyn Future<Output = Result<Option<Bytes>, String>> + '_>>;
}

/// Body of a response to a caller.
pub(crate) enum ResponseBody {
    /// The complete body.
    Whole(Bytes),
    /// A body that is still arriving.
    Streamed {
        /// Length of the body, if it is known.
        len: Option<u64>,
        pieces: Box<dyn PieceSource>,
        /// When the transfer is cut off, so that a caller that reads slowly does not occupy a target.
        deadline: Instant,
    },
}

impl ResponseBody {
    /// Returns the length of the body, if it is known.
    pub(crate) fn len(&self) -> Option<u64> {
        match self {
            Self::Whole(body) => Some(body.len() as u64),
            Self::Streamed { len, .. } => *len,
        }
    }
}

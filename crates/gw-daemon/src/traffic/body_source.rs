use bytes::Bytes;
use hyper::body::Body;

use crate::http::BodyFailure;
use crate::http::CallerBody;
use crate::http::RequestBody;

/// Largest announced length in bytes of a body that is buffered before the request is queued.
/// Buffering keeps a slow caller from occupying a work slot and allows the request to be sent
/// again.
const MAX_BUFFERED_BODY_BYTES: u64 = 64 * 1_024;

/// Body of a request between attempts.
pub(crate) enum BodySource {
    /// Nothing has been read. A caller that expects `100 Continue` has not received it yet.
    Unread(CallerBody),
    /// The whole body, for any number of attempts.
    Buffered(Bytes),
    /// The part that was read and the rest, for one attempt.
    Partial(Bytes, CallerBody),
    /// Passed to an attempt that did not return it.
    Consumed,
}

impl BodySource {
    pub(crate) fn new(body: CallerBody) -> Self {
        if body.is_end_stream() { Self::Buffered(Bytes::new()) } else { Self::Unread(body) }
    }

    /// Reads the whole of a small body or the first part of a larger one, unless already done.
    pub(crate) async fn prepare(&mut self) -> Result<(), BodyFailure> {
        if !matches!(self, Self::Unread(_)) {
            return Ok(());
        }
        let Self::Unread(mut body) = std::mem::replace(self, Self::Consumed) else { return Ok(()) };
        let prefix = body.read_prefix(MAX_BUFFERED_BODY_BYTES).await?;
        let is_buffered = body.is_end_stream();
        *self = if is_buffered { Self::Buffered(prefix) } else { Self::Partial(prefix, body) };
        Ok(())
    }

    /// Returns whether the body can be sent again.
    pub(crate) fn is_available(&self) -> bool {
        !matches!(self, Self::Consumed)
    }

    /// Returns the body for one attempt, or `None` if it is consumed.
    pub(crate) fn take(&mut self) -> Option<RequestBody> {
        match std::mem::replace(self, Self::Consumed) {
            Self::Buffered(bytes) => {
                *self = Self::Buffered(bytes.clone());
                Some(RequestBody::new(bytes, None))
            }
            Self::Partial(prefix, rest) => Some(RequestBody::new(prefix, Some(rest))),
            Self::Unread(rest) => Some(RequestBody::new(Bytes::new(), Some(rest))),
            Self::Consumed => None,
        }
    }

    /// Restores the body of an attempt that sent nothing of it.
    pub(crate) fn restore(&mut self, body: RequestBody) {
        if let (Self::Consumed, (prefix, Some(rest))) = (&*self, body.into_parts()) {
            *self = Self::Partial(prefix, rest);
        }
    }
}

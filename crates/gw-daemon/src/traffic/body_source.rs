use bytes::Bytes;
use hyper::body::Body;

use crate::http::BodyFailure;
use crate::http::CallerBody;
use crate::http::RequestBody;

/// Bodies announced with at most this many bytes are read before the request is queued, so that a
/// slow caller holds no work slot and the request can be sent again.
const MAX_BUFFERED_BODY_BYTES: u64 = 64 * 1_024;

/// The body of a request between attempts.
pub(crate) enum BodySource {
    /// Nothing was read. A caller that expects `100 Continue` has not been told to go on.
    Unread(CallerBody),
    /// In memory, for any number of attempts.
    Whole(Bytes),
    /// The start and the rest, for one attempt.
    Partial(Bytes, CallerBody),
    /// Handed to an attempt that did not give it back.
    Gone,
}

impl BodySource {
    pub(crate) fn new(body: CallerBody) -> Self {
        if body.is_end_stream() { Self::Whole(Bytes::new()) } else { Self::Unread(body) }
    }

    /// Reads what is read ahead of an attempt: all of a small body, else its first part.
    pub(crate) async fn prepare(&mut self) -> Result<(), BodyFailure> {
        if !matches!(self, Self::Unread(_)) {
            return Ok(());
        }
        let Self::Unread(mut body) = std::mem::replace(self, Self::Gone) else { return Ok(()) };
        let prefix = body.read_prefix(MAX_BUFFERED_BODY_BYTES).await?;
        let is_whole = body.is_end_stream();
        *self = if is_whole { Self::Whole(prefix) } else { Self::Partial(prefix, body) };
        Ok(())
    }

    /// Whether the body can be sent once more.
    pub(crate) fn is_available(&self) -> bool {
        !matches!(self, Self::Gone)
    }

    /// The body for one attempt.
    pub(crate) fn take(&mut self) -> Option<RequestBody> {
        match std::mem::replace(self, Self::Gone) {
            Self::Whole(bytes) => {
                *self = Self::Whole(bytes.clone());
                Some(RequestBody::new(bytes, None))
            }
            Self::Partial(prefix, rest) => Some(RequestBody::new(prefix, Some(rest))),
            Self::Unread(rest) => Some(RequestBody::new(Bytes::new(), Some(rest))),
            Self::Gone => None,
        }
    }

    /// Takes back the body of an attempt of which nothing was sent.
    pub(crate) fn put_back(&mut self, body: RequestBody) {
        if let (Self::Gone, (prefix, Some(rest))) = (&*self, body.into_parts()) {
            *self = Self::Partial(prefix, rest);
        }
    }
}

use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::BodyFailure;
use super::CallerBody;

/// Progress of sending the body of one request.
#[derive(Debug, Default)]
pub(crate) struct BodyProgress {
    state: Mutex<(bool, Option<BodyFailure>)>,
}

impl BodyProgress {
    fn set(&self, is_complete: bool, failure: Option<BodyFailure>) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = (is_complete, failure);
    }

    /// Returns whether the whole body was passed to the connection. A connection whose request is
    /// incomplete cannot be reused.
    pub(crate) fn is_complete(&self) -> bool {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).0
    }

    /// Returns the error of the caller's body that ended the request body early.
    pub(crate) fn failure(&self) -> Option<BodyFailure> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).1
    }
}

/// Request body of one attempt, sent to a target or another host: the bytes that are already read,
/// followed by the rest of the caller's body.
pub(crate) struct RequestBody {
    prefix: Option<Bytes>,
    rest: Option<CallerBody>,
    progress: Arc<BodyProgress>,
}

impl RequestBody {
    pub(crate) fn new(prefix: Bytes, rest: Option<CallerBody>) -> Self {
        let prefix = Some(prefix).filter(|prefix| !prefix.is_empty());
        let body = Self { prefix, rest, progress: Arc::default() };
        if body.is_end_stream() {
            body.progress.set(true, None);
        }
        body
    }

    pub(crate) fn progress(&self) -> Arc<BodyProgress> {
        self.progress.clone()
    }

    /// Returns the parts, for another attempt if nothing was sent.
    pub(crate) fn into_parts(self) -> (Bytes, Option<CallerBody>) {
        (self.prefix.unwrap_or_default(), self.rest)
    }

    fn update_progress(&self, frame: &Option<Result<Frame<Bytes>, BodyFailure>>) {
        match frame {
            Some(Err(failure)) => self.progress.set(false, Some(*failure)),
            _ if self.is_end_stream() || frame.is_none() => self.progress.set(true, None),
            _ => {}
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyFailure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFailure>>> {
        let frame = match (self.prefix.take(), &mut self.rest) {
            (Some(prefix), _) => Some(Ok(Frame::data(prefix))),
            (None, None) => None,
            (None, Some(rest)) => match Pin::new(rest).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) if frame.is_trailers() => None,
                Poll::Ready(frame) => frame,
                Poll::Pending => return Poll::Pending,
            },
        };
        self.update_progress(&frame);
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.rest.as_ref().is_none_or(|rest| rest.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let prefix = self.prefix.as_ref().map_or(0, |prefix| prefix.len() as u64);
        let rest = self.rest.as_ref().map_or(SizeHint::with_exact(0), |rest| rest.size_hint());
        match rest.exact() {
            Some(len) => SizeHint::with_exact(prefix + len),
            None => SizeHint::default(),
        }
    }
}

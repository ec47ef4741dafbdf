use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use gw_pipeline::RequestBody;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// Body of a request to a target, sent segment by segment without copying it.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingBody {
    body: RequestBody,
    /// Number of the next segment.
    next: usize,
    /// Bytes that were not handed out yet.
    left: usize,
}

impl From<RequestBody> for OutgoingBody {
    fn from(body: RequestBody) -> Self {
        Self { next: 0, left: body.len(), body }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = self.get_mut();
        if this.left == 0 {
            return Poll::Ready(None);
        }
        let segment = this.body.segment(this.next).cloned().unwrap_or_default();
        this.next += 1;
        this.left -= segment.len();
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}

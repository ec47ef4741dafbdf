use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::StreamedResponse;

/// The body of an answer to a caller or to another host.
pub(crate) enum ResponseBody {
    /// Made by this host.
    Own(Option<Bytes>),
    /// Passed on while it arrives.
    Streamed(Box<StreamedResponse>),
}

impl ResponseBody {
    pub(crate) fn empty() -> Self {
        Self::Own(None)
    }

    pub(crate) fn text(text: impl Into<Bytes>) -> Self {
        Self::Own(Some(text.into()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        match self.get_mut() {
            ResponseBody::Own(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            ResponseBody::Streamed(answer) => Pin::new(&mut **answer).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Own(bytes) => bytes.is_none(),
            ResponseBody::Streamed(answer) => answer.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Own(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Streamed(answer) => answer.size_hint(),
        }
    }
}

/// Why an answer ended before its end. The caller's connection is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum StreamError {
    /// The target or the other host closed the connection.
    #[error("answer is truncated")]
    Truncated,
    /// The request's time is up.
    #[error("deadline has passed")]
    Deadline,
    /// A drain order gave the request up.
    #[error("request was cancelled")]
    Cancelled,
}

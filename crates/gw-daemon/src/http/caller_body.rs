use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::time::Sleep;

/// Reason why a caller's request body could not be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyFailure {
    /// The body is longer than the limit.
    #[error("request body is too large")]
    TooLarge,
    /// No byte arrived within the timeout.
    #[error("request body is too slow")]
    TooSlow,
    /// The chunked coding is malformed, or the connection ended within the body.
    #[error("request body is malformed or incomplete")]
    Malformed,
}

/// A caller's request body, limited in size and in time between frames. Trailers are dropped (RFC
/// 9110, section 6.5.1).
pub(crate) struct CallerBody {
    incoming: Incoming,
    /// Number of bytes that may still arrive.
    remaining_bytes: u64,
    timeout: Duration,
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl CallerBody {
    pub(crate) fn new(incoming: Incoming, max_bytes: u64, timeout: Duration) -> Self {
        Self { incoming, remaining_bytes: max_bytes, timeout, stall_timer: None }
    }

    /// Returns the length that the head announces, or `None` for a chunked body.
    pub(crate) fn exact_len(&self) -> Option<u64> {
        self.incoming.size_hint().exact()
    }

    pub(crate) fn is_too_large(&self) -> bool {
        self.incoming.size_hint().lower() > self.remaining_bytes
    }

    /// Reads the whole body if its announced length is at most `max_buffered` bytes, otherwise its
    /// first frame.
    pub(crate) async fn read_prefix(&mut self, max_buffered: u64) -> Result<Bytes, BodyFailure> {
        let is_small = self.exact_len().is_some_and(|len| len <= max_buffered);
        let mut prefix = match self.next_data().await {
            Some(data) => data?,
            None => return Ok(Bytes::new()),
        };
        if !is_small || self.is_end_stream() {
            return Ok(prefix);
        }
        let mut whole = BytesMut::from(prefix);
        while let Some(data) = self.next_data().await {
            whole.extend_from_slice(&data?);
        }
        prefix = whole.freeze();
        Ok(prefix)
    }

    async fn next_data(&mut self) -> Option<Result<Bytes, BodyFailure>> {
        loop {
            let frame = poll_fn(|context| Pin::new(&mut *self).poll_frame(context)).await?;
            match frame.map(Frame::into_data) {
                Ok(Ok(data)) => return Some(Ok(data)),
                Ok(Err(_trailers)) => {}
                Err(failure) => return Some(Err(failure)),
            }
        }
    }

    fn check_frame(
        &mut self,
        frame: Result<Frame<Bytes>, hyper::Error>,
    ) -> Result<Frame<Bytes>, BodyFailure> {
        let frame = frame.map_err(|_| BodyFailure::Malformed)?;
        let len = frame.data_ref().map_or(0, |data| data.len() as u64);
        self.remaining_bytes =
            self.remaining_bytes.checked_sub(len).ok_or(BodyFailure::TooLarge)?;
        Ok(frame)
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = BodyFailure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFailure>>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.incoming).poll_frame(context) {
            self.stall_timer = None;
            return Poll::Ready(frame.map(|frame| self.check_frame(frame)));
        }
        let timeout = self.timeout;
        let timer = self.stall_timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        timer.as_mut().poll(context).map(|()| Some(Err(BodyFailure::TooSlow)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::time::Sleep;

use super::BodyProgress;
use super::response_body::StreamError;
use crate::dispatch::CancelSignal;
use crate::dispatch::ConnectionPool;
use crate::dispatch::InFlightGuard;
use crate::dispatch::PooledConnection;
use crate::dispatch::WorkPermit;
use crate::records::AnswerCapture;
use crate::records::AttemptGuard;
use crate::traffic::LoadGuard;

/// Response that is relayed while it arrives, with the resources that the request occupies until
/// its end.
pub(crate) struct StreamedResponse {
    pub(crate) body: Incoming,
    pub(crate) guard: Option<ResponseGuard>,
    /// Expires at the request's deadline.
    pub(crate) timer: Pin<Box<Sleep>>,
    /// Set if the caller's connection has to be reset.
    pub(crate) reset: Arc<AtomicBool>,
}

/// Resources that a request occupies while its response arrives. Dropping it before the end of the
/// response closes the connection.
pub(crate) struct ResponseGuard {
    pub(crate) connection: PooledConnection,
    pub(crate) pool: Arc<ConnectionPool>,
    pub(crate) progress: Arc<BodyProgress>,
    /// `None` for a response from another host.
    pub(crate) work: Option<(InFlightGuard, WorkPermit)>,
    /// Present if this host picked the target by its load.
    pub(crate) load: Option<LoadGuard>,
    /// Present if this host sent the request to the target.
    pub(crate) run: Option<AttemptGuard>,
    /// Present if the response is to be stored for repeats with the same idempotency key.
    pub(crate) capture: Option<AnswerCapture>,
}

impl ResponseGuard {
    /// Releases the resources at the end of the response. The connection is put back before the
    /// work slot is released, so that the next request can use it.
    pub(crate) fn complete(mut self) {
        if let Some(load) = &mut self.load {
            load.set_answered();
        }
        if let Some(run) = &self.run {
            run.record_completion();
        }
        if let Some(capture) = self.capture.take() {
            capture.complete();
        }
        if self.progress.is_complete() {
            self.pool.put_back(self.connection);
        }
    }

    fn cancel_signal(&self) -> Option<&CancelSignal> {
        self.work.as_ref().map(|(in_flight, _)| &*in_flight.cancel)
    }
}

impl StreamedResponse {
    fn complete(&mut self) {
        if let Some(guard) = self.guard.take() {
            guard.complete();
        }
    }

    fn fail(&mut self, error: StreamError) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        self.reset.store(true, Ordering::Release);
        let run = self.guard.as_ref().and_then(|guard| guard.run.as_ref());
        if let (StreamError::Truncated, Some(run)) = (error, run) {
            run.record_crash();
        }
        self.guard = None;
        Poll::Ready(Some(Err(error)))
    }

    fn poll_abort(&mut self, context: &mut Context<'_>) -> Option<StreamError> {
        let signal = self.guard.as_ref().and_then(ResponseGuard::cancel_signal);
        if signal.is_some_and(|signal| signal.poll_cancelled(context).is_ready()) {
            return Some(StreamError::Cancelled);
        }
        self.timer.as_mut().poll(context).is_ready().then_some(StreamError::Deadline)
    }
}

impl Body for StreamedResponse {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) if frame.is_data() => {
                let guard = self.guard.as_mut();
                if let Some(capture) = guard.and_then(|guard| guard.capture.as_mut()) {
                    capture.add(frame.data_ref().map_or(&[][..], |bytes| &bytes[..]));
                }
                if self.body.is_end_stream() {
                    self.complete();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            // Trailers are dropped and end the body.
            Poll::Ready(Some(Ok(_)) | None) => {
                self.complete();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(_))) => self.fail(StreamError::Truncated),
            Poll::Pending => match self.poll_abort(context) {
                Some(error) => self.fail(error),
                None => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

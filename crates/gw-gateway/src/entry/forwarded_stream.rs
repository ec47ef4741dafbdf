use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use bytes::Bytes;
use gw_balance::AttemptOutcome;
use tokio::time::Instant;

use crate::callers::PieceSource;
use crate::entry::admission::SendPermit;
use crate::entry::entry_host::EntryHost;
use crate::entry::read_request::ReadRequest;
use crate::targets::TargetStream;

/// A large response on its way from a target to a caller.
///
/// Holds the target's permit until the response ends, which the request's deadline bounds. If the
/// caller leaves, the stream is dropped: the connection to the target closes and the permit is
/// released.
pub(crate) struct ForwardedStream {
    host: Rc<EntryHost>,
    id: String,
    number: u64,
    started: Instant,
    /// Outcome of a complete response. Its time ends with the response's first part, since the rest
    /// arrives as fast as the caller reads.
    outcome: AttemptOutcome,
    stream: TargetStream,
    /// `None` once the response has ended.
    permit: Option<SendPermit>,
}

impl ForwardedStream {
    pub(crate) fn new(
        host: &Rc<EntryHost>,
        request: &ReadRequest,
        permit: SendPermit,
        stream: TargetStream,
        outcome: AttemptOutcome,
    ) -> Self {
        Self {
            host: host.clone(),
            id: request.id().to_owned(),
            number: request.number,
            started: Instant::now(),
            outcome,
            stream,
            permit: Some(permit),
        }
    }

    async fn read_piece(&mut self) -> Result<Option<Bytes>, String> {
        let piece = self.stream.next_piece().await;
        match &piece {
            Ok(Some(piece)) => {
                self.host.metrics.streamed_bytes.inc_by(piece.len() as u64);
            }
            Ok(None) => self.finish("complete", self.outcome),
            Err(cause) => {
                self.host.metrics.broken_responses.inc();
                self.finish(cause, AttemptOutcome::Broken);
            }
        }
        piece
    }

    fn finish(&mut self, end: &str, outcome: AttemptOutcome) {
        log::info!(
            "event=streamed id={} number={} bytes={} ms={} end=\"{end}\"",
            self.id,
            self.number,
            self.stream.bytes(),
            self.started.elapsed().as_millis(),
        );
        if let Some(permit) = self.permit.take() {
            permit.finish(outcome);
        }
    }
}

impl PieceSource for ForwardedStream {
    fn next_piece(&mut self) -> Pin<Box<dyn Future<Output = Result<Option<Bytes>, String>> + '_>> {
        Box::pin(self.read_piece())
    }
}

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
use crate::entry::transfer_gate::TransferSlot;
use crate::targets::TargetStream;

/// Largest piece that is passed on at once. Other responses of the host wait for no more than a few
/// of them.
const PIECE_BYTES: usize = 8 * 1024;

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
    /// Data that was read from the target and is not passed on yet.
    rest: Bytes,
    /// `None` once the response has ended, and for responses of other entry hosts.
    permit: Option<SendPermit>,
    _slot: Option<TransferSlot>,
}

impl ForwardedStream {
    pub(crate) fn new(
        host: &Rc<EntryHost>,
        request: &ReadRequest,
        permit: Option<SendPermit>,
        stream: TargetStream,
        outcome: AttemptOutcome,
        slot: Option<TransferSlot>,
    ) -> Self {
        Self {
            host: host.clone(),
            id: request.id().to_owned(),
            number: request.number,
            started: Instant::now(),
            outcome,
            stream,
            rest: Bytes::new(),
            permit,
            _slot: slot,
        }
    }

    async fn read_piece(&mut self) -> Result<Option<Bytes>, String> {
        if self.rest.is_empty() {
            match self.stream.next_piece().await {
                Ok(Some(data)) => self.rest = data,
                Ok(None) => {
                    self.finish("complete", self.outcome);
                    return Ok(None);
                }
                Err(cause) => {
                    self.host.metrics.broken_responses.inc();
                    self.finish(&cause, AttemptOutcome::Broken);
                    return Err(cause);
                }
            }
        }
        let piece = self.rest.split_to(PIECE_BYTES.min(self.rest.len()));
        let wait = self.host.transfers.pace(self.host.now(), piece.len());
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        self.host.metrics.streamed_bytes.inc_by(piece.len() as u64);
        Ok(Some(piece))
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

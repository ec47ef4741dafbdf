use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;

use super::WriteCheck;
use super::WriteGate;

/// A connection whose writes are controlled by a [`WriteGate`].
pub(crate) struct GatedStream {
    pub(crate) stream: TcpStream,
    pub(crate) gate: Arc<WriteGate>,
    pub(crate) check: Arc<dyn WriteCheck>,
    /// Counts towards the pool's connection limit until the socket is closed.
    pub(crate) _permit: OwnedSemaphorePermit,
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, gate, check, .. } = self.get_mut();
        gate.write(&**check, || Pin::new(stream).poll_write(context, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, gate, check, .. } = self.get_mut();
        gate.write(&**check, || Pin::new(stream).poll_write_vectored(context, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

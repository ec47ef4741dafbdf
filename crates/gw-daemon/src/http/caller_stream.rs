use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use super::HeadScanner;
use super::VerdictQueue;

/// A caller's connection. Passes the bytes read to a [`HeadScanner`] and fails when the caller does
/// not read the response within the write timeout.
pub(crate) struct CallerStream {
    stream: TcpStream,
    scanner: HeadScanner,
    verdicts: Arc<VerdictQueue>,
    write_timeout: Duration,
    /// Runs while the socket does not accept data.
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        scanner: HeadScanner,
        verdicts: Arc<VerdictQueue>,
        write_timeout: Duration,
    ) -> Self {
        Self { stream, scanner, verdicts, write_timeout, stall_timer: None }
    }

    /// Returns whether part of a request head has been read.
    pub(crate) fn is_in_head(&self) -> bool {
        self.scanner.is_in_head()
    }

    /// Returns the underlying connection.
    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn check_stall<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.stall_timer = None;
            return result;
        }
        let timeout = self.write_timeout;
        let timer = self.stall_timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "caller does not read the answer")))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
        this.scanner.feed(&buffer.filled()[before..], &this.verdicts);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.check_stall(context, result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write_vectored(context, slices);
        this.check_stall(context, result)
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

use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::CallerConnection;
use super::ListenerParts;
use crate::ShutdownPhase;
use crate::http::CallerStream;
use crate::http::HeadScanner;

/// Difference between hyper's limit of the head and that of the scanner, in bytes. It lets the
/// scanner choose the status (414 or 431); hyper returns 414 only for URIs of more than 65,534
/// bytes.
const HEAD_MARGIN_BYTES: usize = 72 * 1_024;

/// Longest time for which input is discarded after the last response. Closing a socket with unread
/// input resets the connection, and the caller could lose the response (RFC 9112, section 9.6).
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest number of bytes that are discarded after the last response.
const MAX_LINGER_BYTES: usize = 4 * 1_024 * 1_024;

const HEAD_TIMEOUT_RESPONSE: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n\
    content-length: 0\r\ngalenawheel-outcome: not-run\r\n\r\n";

/// Serves the requests of one connection until it is closed.
pub(super) async fn drive_connection(stream: TcpStream, peer: SocketAddr, parts: &ListenerParts) {
    stream.set_nodelay(true).ok();
    let limits = &parts.limits;
    let shared = Arc::new(CallerConnection::new(peer));
    let scanner = HeadScanner::new(limits.request_line_bytes, limits.head_bytes);
    let verdicts = shared.verdicts.clone();
    let stream = CallerStream::new(stream, scanner, verdicts, limits.answer_timeout());
    let service = service_fn(|request| {
        let response = parts.service.clone().handle(request, shared.clone());
        Box::pin(async move { Ok::<_, Infallible>(response.await) })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout())
        .max_headers(limits.header_count)
        .max_buf_size(limits.head_bytes + HEAD_MARGIN_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let graceful = parts.shutdown.reached(ShutdownPhase::Graceful);
    tokio::pin!(graceful);
    let mut is_closing = false;
    let result = loop {
        tokio::select! {
            result = poll_fn(|context| connection.poll_without_shutdown(context)) => break result,
            () = &mut graceful, if !is_closing => {
                is_closing = true;
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
        }
    };
    let is_timeout = result.as_ref().is_err_and(|error| error.is_timeout());
    let stream = connection.into_parts().io.into_inner();
    let is_head_timeout = is_timeout && stream.is_in_head();
    let stream = stream.into_inner();
    if shared.reset.load(Ordering::Acquire) {
        // With zero linger, dropping the socket resets the connection.
        stream.set_zero_linger().ok();
        return;
    }
    close(stream, is_head_timeout).await;
}

/// Closes a connection. Sends a 408 response before that if a request head timed out.
async fn close(mut stream: TcpStream, is_head_timeout: bool) {
    let closing = async {
        if is_head_timeout {
            stream.write_all(HEAD_TIMEOUT_RESPONSE).await?;
        }
        stream.shutdown().await?;
        let mut discarded = 0;
        let mut buffer = [0; 4_096];
        while discarded < MAX_LINGER_BYTES {
            match stream.read(&mut buffer).await? {
                0 => break,
                count => discarded += count,
            }
        }
        std::io::Result::Ok(())
    };
    // Errors are ignored: the caller may have closed the connection already.
    tokio::time::timeout(LINGER_TIMEOUT, closing).await.ok();
}

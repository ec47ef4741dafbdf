use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Reaction of a [`StandInTarget`] to a request.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Writes the bytes and keeps the connection open.
    Raw(Vec<u8>),
    /// Writes the bytes and closes the connection.
    RawThenClose(Vec<u8>),
    /// Writes the bytes and resets the connection.
    RawThenReset(Vec<u8>),
    /// Writes the bytes after [`StandInTarget::release`].
    RawWhenReleased(Vec<u8>),
    /// Closes the connection after [`StandInTarget::release`].
    CloseWhenReleased,
    /// Writes nothing until the peer closes the connection.
    Silence,
}

impl Reply {
    /// Returns a complete response with status 200 and `body`.
    pub(crate) fn ok(body: &str) -> Self {
        Self::Raw(format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into())
    }
}

/// A request as the target received it.
#[derive(Clone, Debug)]
pub(crate) struct SeenRequest {
    /// Request line and header fields, with names in lower case.
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl SeenRequest {
    pub(crate) fn header(&self, name: &str) -> Option<String> {
        let prefix = format!("{name}: ");
        let lines = self.head.split("\r\n");
        lines.filter_map(|line| line.strip_prefix(&prefix)).next().map(str::to_owned)
    }
}

/// HTTP target whose reactions are defined by a test.
#[derive(Clone)]
pub(crate) struct StandInTarget {
    pub(crate) address: SocketAddr,
    seen: Arc<Mutex<Vec<SeenRequest>>>,
    connections: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
    bytes: Arc<AtomicUsize>,
    released: tokio::sync::watch::Sender<bool>,
}

type Script = Arc<dyn Fn(usize, &SeenRequest) -> Reply + Send + Sync>;

impl StandInTarget {
    /// Starts a target that reacts to its n-th request, counted from 0, with `script(n, request)`.
    pub(crate) async fn start(
        script: impl Fn(usize, &SeenRequest) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = Self {
            address: listener.local_addr().unwrap(),
            seen: Arc::default(),
            connections: Arc::default(),
            open: Arc::default(),
            bytes: Arc::default(),
            released: tokio::sync::watch::Sender::new(false),
        };
        let (accepting, script): (_, Script) = (target.clone(), Arc::new(script));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepting.connections.fetch_add(1, Ordering::SeqCst);
                accepting.open.fetch_add(1, Ordering::SeqCst);
                let (target, script) = (accepting.clone(), script.clone());
                tokio::spawn(async move {
                    target.serve(stream, script).await;
                    target.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        target
    }

    /// Returns the requests that were received completely, in order.
    pub(crate) fn seen(&self) -> Vec<SeenRequest> {
        self.seen.lock().unwrap().clone()
    }

    /// Returns the number of accepted connections.
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Returns the number of bytes received.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.load(Ordering::SeqCst)
    }

    /// Releases the requests that wait in [`Reply::RawWhenReleased`] or
    /// [`Reply::CloseWhenReleased`], and all later ones.
    pub(crate) fn release(&self) {
        self.released.send_replace(true);
    }

    async fn serve(&self, mut stream: TcpStream, script: Script) {
        let mut buffer = Vec::new();
        while let Some(request) = self.read_request(&mut stream, &mut buffer).await {
            let number = {
                let mut seen = self.seen.lock().unwrap();
                seen.push(request.clone());
                seen.len() - 1
            };
            match script(number, &request) {
                Reply::Raw(bytes) => stream.write_all(&bytes).await.unwrap_or(()),
                Reply::RawThenClose(bytes) => {
                    stream.write_all(&bytes).await.ok();
                    return;
                }
                Reply::RawThenReset(bytes) => {
                    stream.write_all(&bytes).await.ok();
                    // The reset would discard bytes that have not arrived yet.
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                    stream.set_zero_linger().ok();
                    return;
                }
                Reply::RawWhenReleased(bytes) => {
                    let mut released = self.released.subscribe();
                    tokio::select! {
                        _ = released.wait_for(|released| *released) => {}
                        () = closed(&mut stream) => return,
                    }
                    stream.write_all(&bytes).await.ok();
                }
                Reply::CloseWhenReleased => {
                    let mut released = self.released.subscribe();
                    released.wait_for(|released| *released).await.ok();
                    return;
                }
                Reply::Silence => {
                    closed(&mut stream).await;
                    return;
                }
            }
        }
    }

    async fn read_request(
        &self,
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
    ) -> Option<SeenRequest> {
        let end = loop {
            if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break end + 4;
            }
            self.fill(stream, buffer).await?;
        };
        let head: Vec<u8> = buffer.drain(..end).collect();
        let mut request =
            SeenRequest { head: String::from_utf8_lossy(&head).into_owned(), body: Vec::new() };
        if let Some(length) = request.header("content-length") {
            let length: usize = length.parse().unwrap();
            while buffer.len() < length {
                self.fill(stream, buffer).await?;
            }
            request.body = buffer.drain(..length).collect();
        } else if request.header("transfer-encoding").is_some() {
            while !buffer.ends_with(b"0\r\n\r\n") {
                self.fill(stream, buffer).await?;
            }
            request.body = std::mem::take(buffer);
        }
        Some(request)
    }

    async fn fill(&self, stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
        let count = stream.read_buf(buffer).await.ok().filter(|count| *count > 0)?;
        self.bytes.fetch_add(count, Ordering::SeqCst);
        Some(())
    }
}

/// Waits until the peer has closed the connection. Reads instead of polling for readiness, which
/// may still be set from bytes that were read earlier.
async fn closed(stream: &mut TcpStream) {
    let mut byte = [0];
    while matches!(stream.read(&mut byte).await, Ok(1)) {}
}

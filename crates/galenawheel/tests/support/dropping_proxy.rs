use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Proxy that forwards calls to a host and drops the responses to the first `POST` calls.
pub(crate) struct DroppingProxy {
    pub(crate) address: SocketAddr,
    /// Number of responses that are still to be dropped.
    drops_left: Arc<AtomicUsize>,
}

impl DroppingProxy {
    pub(crate) async fn start(upstream: String, drops: usize) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let drops_left = Arc::new(AtomicUsize::new(drops));
        let drops = drops_left.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, upstream.clone(), drops.clone()));
            }
        });
        Self { address, drops_left }
    }

    pub(crate) fn drops_left(&self) -> usize {
        self.drops_left.load(Ordering::SeqCst)
    }
}

async fn forward(mut caller: TcpStream, upstream: String, drops_left: Arc<AtomicUsize>) {
    let mut host = TcpStream::connect(upstream).await.unwrap();
    let mut first = vec![0; 64 * 1_024];
    let len = caller.read(&mut first).await.unwrap();
    host.write_all(&first[..len]).await.unwrap();
    let decrement = |left: usize| left.checked_sub(1);
    let is_post = first.starts_with(b"POST");
    if is_post && drops_left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement).is_ok() {
        // The body may follow in a second segment.
        let (mut from_caller, _) = caller.split();
        let (mut from_host, mut to_host) = host.split();
        let mut response = vec![0; 1_024];
        tokio::select! {
            _ = tokio::io::copy(&mut from_caller, &mut to_host) => {}
            read = from_host.read(&mut response) => assert!(read.unwrap() > 0),
        }
        return;
    }
    tokio::io::copy_bidirectional(&mut caller, &mut host).await.ok();
}

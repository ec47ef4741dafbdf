//! Connections to other hosts that are not wanted any more.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::timeout;

use crate::link::DialedPeers;
use crate::link::LinkEvent;
use crate::link::LinkId;
use crate::memory_bounds::MemoryBounds;
use crate::ports::TcpDialer;

/// Memory of the host, in bytes; any number that leaves room for frames.
const MEMORY_BYTES: u64 = 100_000_000;
/// Longest wait for the end of a connection; shorter than the time after which a silent one ends.
const END_TIMEOUT: Duration = Duration::from_millis(600);

/// Connects to a listener, and accepts the connection.
async fn dial(peers: &mut DialedPeers, listener: &TcpListener) -> TcpStream {
    peers.set_peers(vec![listener.local_addr().expect("an address")]);
    listener.accept().await.expect("a connection").0
}

/// Guards against connections to hosts that are not wanted any more that stay open at the socket, and
/// against those that stay known because their end is not reported: one whose opening was handled
/// before, and one whose opening still waited in the queue.
#[tokio::test]
async fn dropped_peers_are_closed_and_reported() {
    let check = async {
        for is_handled_before in [true, false] {
            let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
            let listener = TcpListener::bind(loopback).await.expect("a free port");
            let (events, mut queue) = mpsc::channel(8);
            let bounds = MemoryBounds::of(MEMORY_BYTES);
            let mut peers = DialedPeers::new(events, bounds, Rc::new(TcpDialer));
            let mut open: Vec<LinkId> = Vec::new();
            let mut handle = |event: LinkEvent| match event {
                LinkEvent::Opened { link, .. } => open.push(link.id),
                LinkEvent::Closed { id } => open.retain(|known| *known != id),
                LinkEvent::Message { .. } => {}
            };
            let mut accepted = dial(&mut peers, &listener).await;
            while queue.is_empty() {
                tokio::task::yield_now().await;
            }
            if is_handled_before {
                handle(queue.recv().await.expect("an event"));
            }
            peers.set_peers(Vec::new());
            let end = timeout(END_TIMEOUT, accepted.read_u8()).await;
            assert!(matches!(end, Ok(Err(_))), "handled before: {is_handled_before}: {end:?}");
            while let Ok(Some(event)) = timeout(END_TIMEOUT, queue.recv()).await {
                handle(event);
            }
            assert!(open.is_empty(), "handled before: {is_handled_before}: {open:?}");
        }
    };
    LocalSet::new().run_until(check).await;
}

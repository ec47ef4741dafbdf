use std::io;
use std::net::SocketAddr;
use std::net::TcpListener as StdTcpListener;
use std::net::UdpSocket as StdUdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gw_node::PeerMessage;
use gw_node::Transport;
use gw_types::BootId;
use gw_types::HostEntry;
use gw_types::HostId;
use gw_wire::Frame;
use gw_wire::FrameError;
use gw_wire::FrameHeader;
use gw_wire::FrameLimit;
use gw_wire::KeyRing;
use gw_wire::MAX_DATAGRAM_BYTES;
use gw_wire::ReplayGuard;
use gw_wire::StreamDecoder;
use gw_wire::decode_frame;
use gw_wire::encode_frame;
use gw_wire::length_prefix;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::records::PeerSender;

/// Frames that may wait for the TCP connection to one host. Further frames are dropped, as after a
/// lost connection; the state machines repeat messages that must be delivered.
const STREAM_QUEUE_LEN: usize = 256;
/// Delay after a failed attempt to connect to a host or to accept a connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time to write one frame. The connection to a slower receiver is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of a replay window: a frame that arrives later than this many newer frames is rejected.
const REPLAY_WINDOW_BITS: usize = 1_024;
/// Size of the read buffer of a connection.
const READ_BUFFER_BYTES: usize = 64 * 1_024;

/// A verified frame of another host.
#[derive(Debug)]
pub(crate) struct PeerFrame {
    pub(crate) from: HostId,
    pub(crate) boot: BootId,
    pub(crate) message: PeerMessage,
}

/// UDP and TCP socket for frames of other hosts, bound to the same port number.
pub(crate) struct PeerSockets {
    pub(crate) datagrams: StdUdpSocket,
    pub(crate) streams: StdTcpListener,
}

impl PeerSockets {
    pub(crate) fn bind(address: SocketAddr) -> io::Result<Self> {
        let streams = StdTcpListener::bind(address)?;
        let datagrams = StdUdpSocket::bind(streams.local_addr()?)?;
        streams.set_nonblocking(true)?;
        datagrams.set_nonblocking(true)?;
        Ok(Self { datagrams, streams })
    }
}

/// Sends frames to other hosts and receives theirs.
///
/// Datagrams and streams use separate keys, derived from the frame keys, so that a frame of one
/// transport cannot be replayed on the other.
pub(crate) struct PeerTransport {
    host: HostId,
    boot: BootId,
    /// Sequence numbers of the next stream frame and the next datagram. They are separate, so that
    /// a burst on one transport does not move frames of the other out of the replay window.
    next_sequences: [AtomicU64; 2],
    datagram_keys: KeyRing,
    stream_keys: KeyRing,
    socket: Arc<UdpSocket>,
    /// Sorted by host.
    peers: Vec<PeerLink>,
}

struct PeerLink {
    host: HostId,
    address: SocketAddr,
    frames: mpsc::Sender<Vec<u8>>,
}

impl PeerTransport {
    /// Starts the tasks that receive and send frames. Must be called inside a tokio runtime.
    pub(crate) fn start(
        own: &HostEntry,
        boot: BootId,
        hosts: &[HostEntry],
        keys: &KeyRing,
        sockets: PeerSockets,
        received: mpsc::Sender<PeerFrame>,
    ) -> io::Result<Self> {
        let others: Vec<_> = hosts.iter().filter(|host| host.id != own.id).collect();
        let datagram_keys = keys.derive("galenawheel datagram frames v1");
        let stream_keys = keys.derive("galenawheel stream frames v1");
        let ids = || others.iter().map(|host| host.id);
        let socket = Arc::new(UdpSocket::from_std(sockets.datagrams)?);
        let receiver = FrameReceiver {
            keys: datagram_keys.clone(),
            limit: FrameLimit::Datagram,
            guard: Arc::new(Mutex::new(ReplayGuard::new(ids(), REPLAY_WINDOW_BITS))),
            received: received.clone(),
        };
        tokio::spawn(receive_datagrams(socket.clone(), receiver));
        let receiver = FrameReceiver {
            keys: stream_keys.clone(),
            limit: FrameLimit::Stream,
            guard: Arc::new(Mutex::new(ReplayGuard::new(ids(), REPLAY_WINDOW_BITS))),
            received,
        };
        tokio::spawn(accept_streams(TcpListener::from_std(sockets.streams)?, receiver));
        let mut peers: Vec<_> = others.iter().map(|host| start_link(host)).collect();
        peers.sort_by_key(|link| link.host);
        let next_sequences = [AtomicU64::new(1), AtomicU64::new(1)];
        Ok(Self { host: own.id, boot, next_sequences, datagram_keys, stream_keys, socket, peers })
    }

    /// Sends a message, or drops it if the socket or the queue of the receiver is full.
    ///
    /// A message that is too large for a datagram is sent over the stream. Frames of concurrent
    /// callers may be sent out of order by a few sequence numbers, well within the replay window.
    pub(crate) fn send(&self, to: HostId, transport: Transport, message: &PeerMessage) {
        let Ok(index) = self.peers.binary_search_by_key(&to, |link| link.host) else { return };
        let link = &self.peers[index];
        if transport == Transport::Datagram {
            let header = self.next_header(transport);
            match encode_frame(&self.datagram_keys, FrameLimit::Datagram, &header, message) {
                Ok(frame) => {
                    if let Err(error) = self.socket.try_send_to(&frame, link.address) {
                        log::debug!("event=datagram_dropped to={to} cause={error:?}");
                    }
                    return;
                }
                Err(FrameError::Oversized { .. }) => {}
                Err(error) => {
                    log::error!("event=frame_not_sent to={to} cause={}", error.cause());
                    return;
                }
            }
        }
        let header = self.next_header(Transport::Stream);
        match encode_frame(&self.stream_keys, FrameLimit::Stream, &header, message) {
            Ok(frame) => {
                if link.frames.try_send(frame).is_err() {
                    log::debug!("event=stream_frame_dropped to={to}");
                }
            }
            Err(error) => log::error!("event=frame_not_sent to={to} cause={}", error.cause()),
        }
    }
}

impl PeerTransport {
    fn next_header(&self, transport: Transport) -> FrameHeader {
        let counter = &self.next_sequences[usize::from(transport == Transport::Datagram)];
        let sequence = counter.fetch_add(1, Ordering::Relaxed);
        FrameHeader { sender: self.host, boot: self.boot, sequence }
    }
}

impl PeerSender for PeerTransport {
    fn send(&self, to: HostId, transport: Transport, message: PeerMessage) {
        PeerTransport::send(self, to, transport, &message);
    }
}

fn start_link(host: &HostEntry) -> PeerLink {
    let (frames, queue) = mpsc::channel(STREAM_QUEUE_LEN);
    tokio::spawn(send_frames(host.id, host.peers, queue));
    PeerLink { host: host.id, address: host.peers, frames }
}

/// Writes queued frames over one connection, and reconnects when it is lost.
async fn send_frames(host: HostId, address: SocketAddr, mut queue: mpsc::Receiver<Vec<u8>>) {
    while let Some(frame) = queue.recv().await {
        match connect(address).await {
            Ok(stream) => {
                if let Err(error) = send_over(stream, frame, &mut queue).await {
                    log::debug!("event=stream_lost to={host} cause={error:?}");
                }
            }
            Err(error) => {
                log::debug!("event=stream_not_connected to={host} cause={error:?}");
                tokio::time::sleep(RECONNECT_DELAY).await;
                // Frames that were queued in the meantime are dropped like the failed one.
                while queue.try_recv().is_ok() {}
            }
        }
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

async fn send_over(
    mut stream: TcpStream,
    first: Vec<u8>,
    queue: &mut mpsc::Receiver<Vec<u8>>,
) -> io::Result<()> {
    let mut next = Some(first);
    while let Some(frame) = next {
        let prefix = length_prefix(frame.len()).map_err(io::Error::other)?;
        let write = async {
            stream.write_all(&prefix).await?;
            stream.write_all(&frame).await
        };
        tokio::time::timeout(WRITE_TIMEOUT, write).await??;
        next = queue.recv().await;
    }
    Ok(())
}

#[derive(Clone)]
struct FrameReceiver {
    keys: KeyRing,
    limit: FrameLimit,
    guard: Arc<Mutex<ReplayGuard>>,
    received: mpsc::Sender<PeerFrame>,
}

impl FrameReceiver {
    /// Verifies a frame and passes its message to the control thread.
    ///
    /// Returns an error for a frame that is malformed, not authentic or replayed.
    async fn receive(&self, bytes: &[u8]) -> Result<(), FrameError> {
        let Frame { header, body } = decode_frame(&self.keys, self.limit, bytes)?;
        self.guard.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).accept(&header)?;
        let frame = PeerFrame { from: header.sender, boot: header.boot, message: body };
        // Sending fails if the control thread has ended.
        self.received.send(frame).await.ok();
        Ok(())
    }
}

async fn receive_datagrams(socket: Arc<UdpSocket>, receiver: FrameReceiver) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((len, from)) => {
                if let Err(error) = receiver.receive(&buffer[..len]).await {
                    log::debug!("event=frame_dropped from={from} cause={}", error.cause());
                }
            }
            // Reports that an earlier datagram reached a host that does not listen. This socket
            // remains usable.
            Err(error) => log::debug!("event=datagram_error cause={error:?}"),
        }
    }
}

async fn accept_streams(listener: TcpListener, receiver: FrameReceiver) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let receiver = receiver.clone();
                tokio::spawn(async move {
                    if let Err(cause) = receive_stream(stream, receiver).await {
                        log::debug!("event=stream_closed from={from} cause={cause:?}");
                    }
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed listener=peers cause={error:?}");
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

async fn receive_stream(mut stream: TcpStream, receiver: FrameReceiver) -> io::Result<()> {
    let mut decoder = StreamDecoder::default();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let len = stream.read(&mut buffer).await?;
        if len == 0 {
            return Ok(());
        }
        let mut input = &buffer[..len];
        while !input.is_empty() {
            if let Some(frame) = decoder.feed(&mut input).map_err(io::Error::other)? {
                // A frame that fails verification closes the connection, since hosts of this system
                // do not send one.
                receiver.receive(&frame).await.map_err(io::Error::other)?;
            }
        }
    }
}

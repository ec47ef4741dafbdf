use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use gw_daemon::BootClock;
use gw_fleet::FormatVersion;
use gw_types::Clock;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::link::LinkHandle;
use crate::link::LinkMessage;
use crate::targets::set_socket_options;

/// Capacity of a connection's queue of outgoing frames.
const FRAME_QUEUE_LEN: usize = 512;
/// Largest frame, in bytes; fits a snapshot with a configuration of thousands of routes.
const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;
/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay before reconnecting after a failure.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);
/// Time without a message after which the connecting side sends a ping.
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// Time without data after which a connection is closed. A connection whose peer stopped
/// responding shows no error. A complete state takes longer than this on a slow link, so any part of
/// a frame counts.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

thread_local! {
    static NEXT_LINK: Cell<u64> = const { Cell::new(1) };
}

/// Identifies a connection within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LinkId(u64);

impl LinkId {
    fn next() -> Self {
        Self(NEXT_LINK.replace(NEXT_LINK.get() + 1))
    }
}

/// Event of a connection.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// A connection to `peer` was opened; `is_outbound` if by this host.
    Opened { link: LinkHandle, peer: SocketAddr, is_outbound: bool },
    /// A message arrived.
    Message { link: LinkHandle, message: LinkMessage },
    /// A connection was closed.
    Closed { id: LinkId },
}

/// A message and what its frame says about the sender.
pub(super) struct ReceivedFrame {
    pub(super) message: LinkMessage,
    /// The sender's version, if the message is its first one.
    pub(super) version: Option<FormatVersion>,
}

/// Encodes a message as a frame: its length in 4 bytes, little-endian, followed by the message in
/// postcard. The first message of a connection is followed by the version of this build, which
/// builds that state none ignore.
pub(crate) fn encode_frame(message: &LinkMessage) -> Result<Bytes, postcard::Error> {
    let mut body = postcard::to_stdvec(message)?;
    if matches!(message, LinkMessage::Hello { .. }) {
        body = postcard::to_extend(&FormatVersion::CURRENT, body)?;
    }
    let mut frame = BytesMut::with_capacity(4 + body.len());
    frame.put_u32_le(body.len() as u32);
    frame.extend_from_slice(&body);
    Ok(frame.freeze())
}

/// Accepts connections of other hosts for as long as the process runs.
pub(crate) async fn accept_links(listener: TcpListener, events: mpsc::Sender<LinkEvent>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                spawn_local(run_link(stream, peer, false, events.clone()));
            }
            Err(error) => {
                log::warn!("event=accept_failed listener=peers cause=\"{error}\"");
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

/// Maintains a connection to `peer` until the task is aborted; reconnects when the connection ends.
pub(crate) async fn maintain_link(peer: SocketAddr, events: mpsc::Sender<LinkEvent>) {
    let mut is_lost = false;
    loop {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await {
            Ok(Ok(stream)) => {
                is_lost = false;
                run_link(stream, peer, true, events.clone()).await;
            }
            failed => {
                if !is_lost {
                    let cause = failed.err().map_or("refused", |_| "timeout");
                    log::warn!("event=host_unreachable peer={peer} cause={cause}");
                }
                is_lost = true;
            }
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn run_link(
    stream: TcpStream,
    peer: SocketAddr,
    is_outbound: bool,
    events: mpsc::Sender<LinkEvent>,
) {
    if let Err(error) = set_socket_options(&stream) {
        log::warn!("event=socket_option_failed peer={peer} cause=\"{error}\"");
    }
    let (frames, queue) = mpsc::channel(FRAME_QUEUE_LEN);
    let link = LinkHandle::new(LinkId::next(), BootClock.now(), frames);
    let id = link.id;
    let opened = LinkEvent::Opened { link: link.clone(), peer, is_outbound };
    if events.send(opened).await.is_err() {
        return;
    }
    let (reader, writer) = stream.into_split();
    let writing = spawn_local(write_frames(writer, queue));
    let end = read_frames(reader, link, is_outbound, &events).await;
    writing.abort();
    let cause = end.map_or_else(|error| error.to_string(), |()| "closed".to_owned());
    log::info!("event=link_closed peer={peer} cause=\"{cause}\"");
    // The receiver is gone only when the process ends.
    events.send(LinkEvent::Closed { id }).await.ok();
}

async fn write_frames(
    mut writer: tokio::net::tcp::OwnedWriteHalf,
    mut queue: mpsc::Receiver<Bytes>,
) {
    while let Some(mut frame) = queue.recv().await {
        while frame.has_remaining() {
            // The reading side detects a broken connection as well and reports it.
            match timeout(SILENCE_TIMEOUT, writer.write_buf(&mut frame)).await {
                Ok(Ok(sent)) if sent > 0 => {}
                _ => return,
            }
        }
    }
}

async fn read_frames(
    mut reader: tokio::net::tcp::OwnedReadHalf,
    link: LinkHandle,
    is_outbound: bool,
    events: &mpsc::Sender<LinkEvent>,
) -> io::Result<()> {
    let mut buffer = BytesMut::with_capacity(4 * 1024);
    let mut last_byte = Instant::now();
    loop {
        while let Some(ReceivedFrame { message, version }) = decode_frame(&mut buffer)? {
            if let Some(version) = version {
                link.version.set(version);
            }
            match message {
                LinkMessage::Ping => {
                    link.send(&LinkMessage::Pong);
                }
                LinkMessage::Pong => {}
                message => {
                    let link = link.clone();
                    if events.send(LinkEvent::Message { link, message }).await.is_err() {
                        return Ok(());
                    }
                }
            }
        }
        if last_byte.elapsed() > SILENCE_TIMEOUT {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "silent"));
        }
        match timeout(PING_INTERVAL, reader.read_buf(&mut buffer)).await {
            Ok(Ok(0)) => return Ok(()),
            Ok(Ok(_)) => {
                last_byte = Instant::now();
                link.last_byte.set(BootClock.now());
            }
            Ok(Err(error)) => return Err(error),
            Err(_) if is_outbound => {
                link.send(&LinkMessage::Ping);
            }
            Err(_) => {}
        }
    }
}

pub(super) fn decode_frame(buffer: &mut BytesMut) -> io::Result<Option<ReceivedFrame>> {
    let Some(prefix) = buffer.first_chunk::<4>() else { return Ok(None) };
    let len = u32::from_le_bytes(*prefix) as usize;
    if len > MAX_FRAME_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "frame too large"));
    }
    if buffer.len() < 4 + len {
        buffer.reserve(4 + len - buffer.len());
        return Ok(None);
    }
    let frame = buffer.split_to(4 + len);
    let invalid = |error| io::Error::new(io::ErrorKind::InvalidData, error);
    let (message, rest) = postcard::take_from_bytes(&frame[4..]).map_err(invalid)?;
    let is_first = matches!(message, LinkMessage::Hello { .. });
    let version = match is_first && !rest.is_empty() {
        true => Some(postcard::from_bytes(rest).map_err(invalid)?),
        false => None,
    };
    Ok(Some(ReceivedFrame { message, version }))
}

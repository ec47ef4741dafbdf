use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Buf;
use gw_balance::ConnectionGroup;
use gw_balance::ConnectionState;
use gw_daemon::BootClock;
use gw_fleet::FormatVersion;
use gw_types::Clock;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::link::FrameQueue;
use crate::link::LinkHandle;
use crate::link::LinkMessage;
use crate::link::frame_decoder::FrameDecoder;
use crate::link::frame_decoder::ReceivedFrame;
use crate::link::receive_room::ReceiveRoom;
use crate::link::receive_room::RoomClaim;
use crate::link::receive_room::SMALL_FRAME_BYTES;
use crate::memory::ConnectionMemory;
use crate::memory::MemoryGate;
use crate::memory_bounds::MemoryBounds;
use crate::ports::TargetDialer;
use crate::targets::set_socket_options;

/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay before reconnecting after a failure.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);
/// Time without a message after which the connecting side sends a ping.
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a frame to send after which the connecting side sends a ping although it receives
/// data. Shorter than the silence that the other side accepts.
const MAX_SEND_INTERVAL: Duration = Duration::from_millis(800);
/// Bytes that the operating system takes for a connection beyond those on their way. More would
/// delay small frames behind fragments of a large one: 130 ms on a link of 2 Mbit/s.
const MAX_UNSENT_BYTES: u32 = 32 * 1024;
/// Bytes after which a connection lets other tasks run, its own reading among them. A host that reads as
/// fast as this one writes never makes a write wait.
const MAX_WRITE_BURST: usize = 16 * 1024;
/// Time without progress after which a connection is closed. A connection whose peer stopped
/// responding shows no error. A complete state takes longer than this on a slow link, so any part of
/// a frame counts, received or taken by the other host.
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

/// What a connection that another host has opened may use of this host.
struct LinkLimits {
    /// Its place among the connections. One that has not introduced itself may lose it.
    place: ConnectionMemory,
    /// Memory for its large frames.
    room: Rc<ReceiveRoom>,
    claim: Option<RoomClaim>,
}

impl LinkLimits {
    /// Waits for the memory of frames that have arrived in part, of `bytes` in all.
    async fn claim(&mut self, bytes: usize) -> io::Result<()> {
        if bytes <= SMALL_FRAME_BYTES {
            self.claim = None;
        } else if self.claim.as_ref().is_none_or(|claim| claim.bytes() < bytes) {
            // Claims that grow must not wait for each other.
            self.claim = None;
            self.claim = Some(self.room.claim(bytes).await?);
        }
        Ok(())
    }

    /// Records received bytes. Fails if the memory is needed for connections that make progress.
    fn record_progress(&mut self, bytes: usize) -> io::Result<()> {
        let Some(claim) = &mut self.claim else { return Ok(()) };
        claim.record_progress(bytes);
        match claim.is_stalled() {
            true => Err(io::Error::new(io::ErrorKind::TimedOut, "frame without progress")),
            false => Ok(()),
        }
    }
}

/// Accepts connections of other hosts for as long as the process runs.
pub(crate) async fn accept_links(
    listener: TcpListener,
    events: mpsc::Sender<LinkEvent>,
    bounds: MemoryBounds,
    memory: Rc<MemoryGate>,
) {
    let room = ReceiveRoom::new(bounds.received_frames);
    loop {
        memory.connection_room(ConnectionGroup::Links).await;
        match listener.accept().await {
            Ok((stream, peer)) => {
                let place = memory.open(ConnectionGroup::Links);
                let limits = Some(LinkLimits { place, room: room.clone(), claim: None });
                let (events, unwanted) = (events.clone(), std::future::pending());
                spawn_local(run_link(stream, (peer, limits), events, bounds, unwanted));
            }
            Err(error) => {
                log::warn!("event=accept_failed listener=peers cause=\"{error}\"");
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

/// Maintains a connection to `peer` until `unwanted` ends; reconnects when the connection ends.
pub(crate) async fn maintain_link(
    peer: SocketAddr,
    events: mpsc::Sender<LinkEvent>,
    bounds: MemoryBounds,
    dialer: Rc<dyn TargetDialer>,
    unwanted: impl Future<Output = ()>,
) {
    tokio::pin!(unwanted);
    let mut is_lost = false;
    loop {
        let connected = tokio::select! {
            connected = timeout(CONNECT_TIMEOUT, dialer.dial_link(peer)) => connected,
            () = unwanted.as_mut() => return,
        };
        match connected {
            Ok(Ok(stream)) => {
                is_lost = false;
                let end = run_link(stream, (peer, None), events.clone(), bounds, unwanted.as_mut());
                if end.await == LinkEnd::Unwanted {
                    return;
                }
            }
            failed => {
                if !is_lost {
                    let cause = failed.err().map_or("refused", |_| "timeout");
                    log::warn!("event=host_unreachable peer={peer} cause={cause}");
                }
                is_lost = true;
            }
        }
        tokio::select! {
            () = tokio::time::sleep(RECONNECT_DELAY) => {}
            () = unwanted.as_mut() => return,
        }
    }
}

/// Why a connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkEnd {
    /// It was closed or has failed.
    Lost,
    /// This host wants no connection to the other one any more.
    Unwanted,
}

/// Runs a connection until it ends, at the latest when `unwanted` does. For each `Opened` event there
/// is a `Closed` one, and the socket is closed when this returns or is dropped. A connection that another
/// host has opened has `limits`.
async fn run_link(
    stream: TcpStream,
    (peer, limits): (SocketAddr, Option<LinkLimits>),
    events: mpsc::Sender<LinkEvent>,
    bounds: MemoryBounds,
    unwanted: impl Future<Output = ()>,
) -> LinkEnd {
    if let Err(error) = set_socket_options(&stream) {
        log::warn!("event=socket_option_failed peer={peer} cause=\"{error}\"");
    }
    if let Err(error) = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
        log::warn!("event=socket_option_failed peer={peer} cause=\"{error}\"");
    }
    let link = LinkHandle::new(LinkId::next(), BootClock.now(), bounds);
    let (id, frames) = (link.id, link.frames.clone());
    let is_outbound = limits.is_none();
    let opened = LinkEvent::Opened { link: link.clone(), peer, is_outbound };
    if events.send(opened).await.is_err() {
        return LinkEnd::Lost;
    }
    let (reader, writer) = stream.into_split();
    let last_progress = Rc::new(Cell::new(Instant::now()));
    let writing = async {
        write_frames(writer, frames.clone(), last_progress.clone()).await;
        // The reading side detects a broken connection as well and reports it.
        std::future::pending::<Infallible>().await
    };
    // In one task, so that neither side can outlive the other and keep the socket open.
    let (end, cause) = tokio::select! {
        end = read_frames(reader, link, limits, &events, last_progress.clone()) => {
            (LinkEnd::Lost, end.map_or_else(|error| error.to_string(), |()| "closed".to_owned()))
        }
        never = writing => match never {},
        () = unwanted => (LinkEnd::Unwanted, "unwanted".to_owned()),
    };
    frames.close();
    log::info!("event=link_closed peer={peer} cause=\"{cause}\"");
    // The receiver is gone only when the process ends.
    events.send(LinkEvent::Closed { id }).await.ok();
    end
}

async fn write_frames(
    writer: tokio::net::tcp::OwnedWriteHalf,
    frames: Rc<FrameQueue>,
    last_progress: Rc<Cell<Instant>>,
) {
    // Bytes written since other tasks last had a chance to run.
    let mut burst = 0;
    loop {
        if burst >= MAX_WRITE_BURST {
            burst = 0;
            tokio::task::yield_now().await;
        }
        let mut bytes = frames.next().await;
        while bytes.has_remaining() {
            match writer.try_write(&bytes) {
                Ok(sent) if sent > 0 => {
                    bytes.advance(sent);
                    burst += sent;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    burst = 0;
                    let Ok(Ok(())) = timeout(SILENCE_TIMEOUT, writer.writable()).await else {
                        return;
                    };
                    // The buffer was full and has room again: the other host has received data.
                    last_progress.set(Instant::now());
                }
                _ => return,
            }
        }
    }
}

async fn read_frames(
    mut reader: tokio::net::tcp::OwnedReadHalf,
    link: LinkHandle,
    mut limits: Option<LinkLimits>,
    events: &mpsc::Sender<LinkEvent>,
    last_progress: Rc<Cell<Instant>>,
) -> io::Result<()> {
    let is_outbound = limits.is_none();
    let mut decoder = FrameDecoder::new();
    let mut has_received = false;
    loop {
        while let Some(ReceivedFrame { message, version }) = decoder.next()? {
            if let Some(version) = version {
                link.version.set(version);
                link.frames.set_takes_fragments(link.supports(FormatVersion::EVACUATIONS));
                if let Some(limits) = &limits {
                    limits.place.set_state(ConnectionState::Running);
                }
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
        if std::mem::take(&mut has_received) && decoder.holds_part() {
            link.last_part.set(BootClock.now());
        }
        if let Some(limits) = &mut limits {
            limits.claim(decoder.pending_bytes()).await?;
        }
        decoder.make_room();
        let reading = timeout(PING_INTERVAL, reader.read_buf(&mut decoder.buffer));
        let received = match &limits {
            Some(limits) => tokio::select! {
                biased;
                received = reading => received,
                () = limits.place.told_to_close() => {
                    return Err(io::Error::new(io::ErrorKind::TimedOut, "not introduced"));
                }
            },
            None => reading.await,
        };
        if let Some(limits) = &mut limits {
            limits.record_progress(
                received.as_ref().map_or(0, |read| *read.as_ref().unwrap_or(&0)),
            )?;
        }
        let is_idle = link.frames.last_push().elapsed() >= MAX_SEND_INTERVAL;
        if is_outbound && (received.is_err() || is_idle) {
            link.send(&LinkMessage::Ping);
        }
        match received {
            Ok(Ok(0)) => return Ok(()),
            Ok(Ok(_)) => {
                last_progress.set(Instant::now());
                link.last_byte.set(BootClock.now());
                has_received = true;
            }
            Ok(Err(error)) => return Err(error),
            Err(_) if last_progress.get().elapsed() > SILENCE_TIMEOUT => {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "silent"));
            }
            Err(_) => {}
        }
    }
}

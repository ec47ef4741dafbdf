use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

use rustix::net::sockopt;
use tokio::net::TcpStream;

/// Time after which unacknowledged data ends a connection, in milliseconds. A connection whose peer
/// stopped responding shows no other error.
const USER_TIMEOUT_MS: u32 = 1_500;

/// Sets the options of connections to hosts and targets.
pub(crate) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_tcp_user_timeout(stream, USER_TIMEOUT_MS)?;
    Ok(())
}

/// Lets a peer leave data unread for any time. The kernel applies the time-out for unacknowledged data
/// to a closed window as well, although the peer answers its probes.
pub(crate) fn allow_slow_reading(stream: &TcpStream) -> io::Result<()> {
    sockopt::set_tcp_user_timeout(stream, 0)?;
    Ok(())
}

/// Bounds what the kernel buffers for a connection in each direction, or for those that a listener
/// accepts. Without this, it buffers up to several megabytes for a peer that does not read.
pub(crate) fn set_buffer_sizes(socket: impl AsFd, bytes: usize) -> io::Result<()> {
    sockopt::set_socket_recv_buffer_size(socket.as_fd(), bytes)?;
    sockopt::set_socket_send_buffer_size(socket.as_fd(), bytes)?;
    Ok(())
}

/// Makes closing the socket send a reset and discard unsent data, so that bytes that have not
/// reached the target never will.
pub(crate) fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    sockopt::set_socket_linger(stream, Some(Duration::ZERO))?;
    Ok(())
}

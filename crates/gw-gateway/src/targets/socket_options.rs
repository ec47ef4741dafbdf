use std::io;
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

/// Makes closing the socket send a reset and discard unsent data, so that bytes that have not
/// reached the target never will.
pub(crate) fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    sockopt::set_socket_linger(stream, Some(Duration::ZERO))?;
    Ok(())
}

use std::io;
use std::time::Duration;

use rustix::net::sockopt;
use tokio::net::TcpStream;

/// Time after which unacknowledged bytes end a connection, in milliseconds. Connections that went
/// silent show no other error.
const USER_TIMEOUT_MS: u32 = 1_500;

/// Options for connections to hosts and targets.
pub(crate) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_tcp_user_timeout(stream, USER_TIMEOUT_MS)?;
    Ok(())
}

/// Makes the end of the connection a reset, so that bytes that have not arrived never will.
pub(crate) fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    sockopt::set_socket_linger(stream, Some(Duration::ZERO))?;
    Ok(())
}

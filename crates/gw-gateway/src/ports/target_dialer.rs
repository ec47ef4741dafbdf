use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;

use tokio::net::TcpStream;

/// Opens connections to targets and to other hosts.
pub trait TargetDialer {
    /// Opens a connection to `address` for requests and orders.
    fn dial(
        &self,
        address: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = io::Result<TcpStream>> + '_>>;

    /// Opens a connection to `address` for messages between hosts.
    fn dial_link(
        &self,
        address: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = io::Result<TcpStream>> + '_>> {
        Box::pin(TcpStream::connect(address))
    }
}

/// Opens connections over the host's network.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDialer;

impl TargetDialer for TcpDialer {
    fn dial(
        &self,
        address: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = io::Result<TcpStream>> + '_>> {
        Box::pin(TcpStream::connect(address))
    }
}

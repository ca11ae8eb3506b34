//! Options of sockets that must notice a peer that is gone.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// Time for which bytes sent to a target may stay without an answer of its kernel.
const TARGET_UNANSWERED: Duration = Duration::from_millis(1_000);

/// The same for callers and registries.
const PEER_UNANSWERED: Duration = Duration::from_millis(2_000);

/// Idle time before the first probe, and time between probes.
const PROBE: Duration = Duration::from_secs(1);

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Sets a connection with a caller or a registry up.
pub(crate) fn prepare(stream: &TcpStream) -> io::Result<()> {
    set_up(stream, PEER_UNANSWERED)
}

/// Connects to a target.
pub(crate) async fn connect_target(address: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    let stream = connect(address, within).await?;
    set_up(&stream, TARGET_UNANSWERED)?;
    Ok(stream)
}

/// Connects within a time.
pub(crate) async fn connect(address: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    timeout(within, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

fn set_up(stream: &TcpStream, unanswered: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(unanswered))?;
    let probes = TcpKeepalive::new().with_time(PROBE).with_interval(PROBE).with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

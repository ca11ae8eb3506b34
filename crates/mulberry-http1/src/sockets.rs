//! Options of sockets that must notice a peer that is gone.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// Idle time before the first probe, and time between probes.
const PROBE: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is lost.
const PROBES: u32 = 2;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens on an address, also shortly after another process has.
///
/// # Errors
/// The address is taken or not of this machine.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Connects within a time.
///
/// # Errors
/// The peer refuses or does not answer in time.
pub async fn connect(address: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    timeout(within, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Sends small messages at once, and lets the connection fail when sent bytes stay without an answer of the peer's
/// kernel for `unanswered`, or when an idle peer answers no probe.
///
/// # Errors
/// The connection has failed already.
pub fn watch_peer(stream: &TcpStream, unanswered: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(unanswered))?;
    let probes = TcpKeepalive::new().with_time(PROBE).with_interval(PROBE).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Limits the unsent bytes that the kernel keeps for a connection. Further ones are not taken, so that they are counted
/// by the process.
///
/// # Errors
/// The kernel does not know the limit.
pub fn limit_unsent(stream: &TcpStream, bytes: u32) -> io::Result<()> {
    SockRef::from(stream).set_tcp_notsent_lowat(bytes)
}

/// Changes the time for which sent bytes may stay without an answer, see [`watch_peer`].
///
/// # Errors
/// The connection has failed already.
pub fn set_ack_timeout(stream: &TcpStream, unanswered: Duration) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(unanswered))
}

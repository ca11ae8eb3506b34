//! Options of sockets that must notice a peer that is gone.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Time for which sent bytes may stay without an answer of the peer's kernel.
const UNANSWERED: Duration = Duration::from_millis(1_500);

/// Idle time before the first probe, and time between probes.
const PROBE: Duration = Duration::from_secs(1);

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 512;

/// Sets a connection up so that a silent peer is noticed.
pub(crate) fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNANSWERED))?;
    let probes = TcpKeepalive::new().with_time(PROBE).with_interval(PROBE).with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

//! Socket options that bound how long the kernel goes on delivering written bytes.
//!
//! After a normal close the kernel retransmits written bytes until they are acknowledged.
//! An order to an instance that was aborted would still arrive seconds later, once a
//! network partition ends.

use ledgelead_router::settings::ORDER_TRANSIT;
use rustix::net::sockopt::{set_socket_linger, set_tcp_user_timeout};
use stakker_mio::mio::net::TcpStream;
use std::io;
use std::time::Duration;

/// Whether the connection of an aborted exchange is reset, so that the kernel discards the
/// bytes that have not been delivered.
pub const RESET_ABORTED_EXCHANGES: bool = true;
/// How long the kernel retransmits bytes that are not acknowledged. It holds after the
/// process has ended too, when nothing resets the connection.
pub const TCP_USER_TIMEOUT: Option<Duration> = Some(ORDER_TRANSIT);

/// Limits how long the kernel retransmits bytes on a connection.
pub(crate) fn limit_retransmission(stream: &TcpStream) -> io::Result<()> {
    let Some(timeout) = TCP_USER_TIMEOUT else {
        return Ok(());
    };
    let millis = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
    Ok(set_tcp_user_timeout(stream, millis)?)
}

/// Makes the following close reset the connection.
pub(crate) fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    if RESET_ABORTED_EXCHANGES {
        set_socket_linger(stream, Some(Duration::ZERO))?;
    }
    Ok(())
}

//! What the kernel does with bytes that this process has written.
//!
//! A close leaves them with the kernel, which repeats them until they are acknowledged: an
//! order that was given up would still arrive once a cut ends, seconds later.

use ledgelead_router::settings::ORDER_TRANSIT;
use rustix::net::sockopt::{set_socket_linger, set_tcp_user_timeout};
use stakker_mio::mio::net::TcpStream;
use std::io;
use std::time::Duration;

/// Whether the connection of an exchange that is broken off is reset, so that the kernel
/// drops what has not arrived.
pub const RESET_ABORTED_EXCHANGES: bool = true;
/// How long the kernel goes on to repeat bytes that nobody acknowledges, also once the
/// process has ended, when nobody resets.
pub const TCP_USER_TIMEOUT: Option<Duration> = Some(ORDER_TRANSIT);

/// Bounds how long the kernel repeats what is written on a connection.
pub(crate) fn bound_repeats(stream: &TcpStream) -> io::Result<()> {
    let Some(timeout) = TCP_USER_TIMEOUT else {
        return Ok(());
    };
    let millis = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
    Ok(set_tcp_user_timeout(stream, millis)?)
}

/// Makes the close that follows a reset.
pub(crate) fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    if RESET_ABORTED_EXCHANGES {
        set_socket_linger(stream, Some(Duration::ZERO))?;
    }
    Ok(())
}

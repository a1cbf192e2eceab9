//! What the kernel does with bytes that this process has written.

use std::time::Duration;

/// Whether the connection of an exchange that is broken off is reset.
pub const RESETS_BROKEN_OFF: bool = false;
/// How long the kernel goes on to repeat bytes that nobody acknowledges, also once the
/// process has ended. None for the kernel's own bound, which is minutes.
pub const USER_TIMEOUT: Option<Duration> = None;

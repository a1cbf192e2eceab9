//! The reasons for which messages are dropped and connections closed.

use super::frame::FrameError;
use ledgelead_types::codec;
use std::io;

/// Why a connection was closed.
#[derive(Debug)]
pub(super) enum CloseReason {
    Frame(FrameError),
    Message(codec::DecodeError),
    Socket(io::Error),
    Ended,
    Stalled,
}

impl std::fmt::Display for CloseReason {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CloseReason::Frame(error) => error.fmt(formatter),
            CloseReason::Message(error) => error.fmt(formatter),
            CloseReason::Socket(error) => error.fmt(formatter),
            CloseReason::Ended => formatter.write_str("closed by the other end"),
            CloseReason::Stalled => formatter.write_str("stalled"),
        }
    }
}

/// Why a message was dropped.
#[derive(Clone, Copy, Debug)]
pub(super) enum DropReason {
    NoAddress,
    NotConnected,
    QueueFull,
    TooLong,
}

impl std::fmt::Display for DropReason {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            DropReason::NoAddress => "the receiver's address is unknown",
            DropReason::NotConnected => "not connected",
            DropReason::QueueFull => "the queue is full",
            DropReason::TooLong => "the message is too long",
        })
    }
}

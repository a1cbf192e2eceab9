//! A connection between a client and the node without sockets: bytes on their way, in windows
//! of bounded size, and the events that a poller reports by edges.

use crate::stream::Socket;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::rc::Rc;

/// Bytes that may be on their way in one direction.
const WINDOW_BYTES: usize = 65_536;

#[derive(Default)]
struct State {
    to_node: VecDeque<u8>,
    to_client: VecDeque<u8>,
    client_stopped: bool,
    client_gone: bool,
    node_stopped: bool,
    node_gone: bool,
    /// Whether the node found the window full.
    node_waits: bool,
    has_event: bool,
    /// Bytes that the node has read.
    read: usize,
}

/// The client's end.
#[derive(Clone, Default)]
pub(super) struct Wire(Rc<RefCell<State>>);

/// The node's end.
pub(super) struct NodeEnd(Wire);

impl Wire {
    pub(super) fn node_end(&self) -> NodeEnd {
        self.0.borrow_mut().has_event = true;
        NodeEnd(self.clone())
    }

    /// Sends what the window has room for. Returns the number of bytes.
    pub(super) fn send(&self, bytes: &[u8]) -> usize {
        let mut state = self.0.borrow_mut();
        if state.node_gone || state.client_stopped {
            return 0;
        }
        let count = bytes.len().min(WINDOW_BYTES - state.to_node.len());
        state.to_node.extend(&bytes[..count]);
        state.has_event |= count > 0;
        count
    }

    /// Reads up to this many bytes.
    pub(super) fn receive(&self, max: usize) -> Vec<u8> {
        let mut state = self.0.borrow_mut();
        let count = max.min(state.to_client.len());
        let bytes = state.to_client.drain(..count).collect();
        if state.node_waits && count > 0 {
            state.node_waits = false;
            state.has_event = true;
        }
        bytes
    }

    pub(super) fn stop_sending(&self) {
        let mut state = self.0.borrow_mut();
        state.has_event |= !state.client_stopped;
        state.client_stopped = true;
    }

    pub(super) fn close(&self) {
        self.stop_sending();
        self.0.borrow_mut().client_gone = true;
    }

    /// Takes the event of a poller, if there is one: whether the client's direction is closed.
    pub(super) fn take_event(&self) -> Option<bool> {
        let mut state = self.0.borrow_mut();
        let is_reported = std::mem::take(&mut state.has_event) && !state.node_gone;
        is_reported.then_some(state.client_stopped)
    }

    /// Bytes that the node has read so far.
    pub(super) fn read_by_node(&self) -> usize {
        self.0.borrow().read
    }
}

impl Socket for NodeEnd {
    fn receive(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut state = self.0.0.borrow_mut();
        let count = buffer.len().min(state.to_node.len());
        if count == 0 && !state.client_stopped {
            return Err(ErrorKind::WouldBlock.into());
        }
        for (to, byte) in buffer.iter_mut().zip(state.to_node.drain(..count)) {
            *to = byte;
        }
        state.read += count;
        Ok(count)
    }

    fn send(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut state = self.0.0.borrow_mut();
        if state.client_gone {
            return Err(ErrorKind::BrokenPipe.into());
        }
        let count = bytes.len().min(WINDOW_BYTES - state.to_client.len());
        if count == 0 {
            state.node_waits = true;
            return Err(ErrorKind::WouldBlock.into());
        }
        state.to_client.extend(&bytes[..count]);
        Ok(count)
    }

    fn shut_down_output(&mut self) -> io::Result<()> {
        self.0.0.borrow_mut().node_stopped = true;
        Ok(())
    }

    fn reset_on_close(&self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for NodeEnd {
    fn drop(&mut self) {
        self.0.0.borrow_mut().node_gone = true;
    }
}

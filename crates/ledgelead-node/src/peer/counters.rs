//! Counters of the transport between nodes.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

/// Label for the kind of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// Name of the kind (`MessageKind::name`).
    pub kind: &'static str,
}

/// Counters of the transport.
#[derive(Clone, Debug, Default)]
pub struct PeerCounters {
    /// Bytes written to other nodes.
    pub bytes_out: Counter,
    /// Bytes of frames queued for other nodes, by kind of message.
    pub bytes_by_kind: Family<KindLabel, Counter>,
    /// Bytes read from other nodes.
    pub bytes_in: Counter,
    /// Messages written.
    pub messages_out: Counter,
    /// Messages read.
    pub messages_in: Counter,
    /// Messages dropped because the receiver was unreachable or too slow.
    pub dropped: Counter,
    /// Connections closed because of a bad frame.
    pub bad_frames: Counter,
}

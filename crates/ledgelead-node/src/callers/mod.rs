//! The HTTP interface for callers (`docs/caller-interface.md`).

pub mod headers;
pub mod open_requests;
pub mod proxy;
pub mod request_head;
pub mod respond;
pub mod response_cache;
pub mod server;
pub mod target;

//! Tests of owner queues: which requests wait or are refused, and behavior under load peaks.

mod load;
mod queue;
mod replay;

//! Queues of owners: who waits, who is refused, and what peaks do.

mod load;
mod queue;
mod replay;

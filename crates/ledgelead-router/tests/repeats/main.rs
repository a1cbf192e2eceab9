//! Tests of the retry budget over all nodes: it is never exceeded, and spent on the most
//! valuable retries.

mod bound;
mod checker;
mod replay;
mod value;

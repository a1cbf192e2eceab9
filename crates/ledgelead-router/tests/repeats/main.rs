//! The retry budget over all nodes: never passed, and spent where it wins most.

mod bound;
mod checker;
mod replay;
mod value;

//! What the measuring programs under `examples/` share: processor time, resident memory, repeated runs, and the
//! straight line through them.
//!
//! Nothing here reads the wall clock. `docs/CAPACITY.md` is made of what these programs print.

mod line;
mod process;

pub use line::{Line, Series, Spread};
pub use process::{processor_time_of, resident_bytes, resident_bytes_of, thread_time, value_of_child};

//! Helpers of the measuring programs under `examples/`: CPU time, resident memory, and linear fits of
//! repeated runs.
//!
//! Nothing here reads the wall clock. `docs/CAPACITY.md` is based on the output of these programs.

mod line;
mod process;

pub use line::{Line, Series, Spread};
pub use process::{processor_time_of, resident_bytes, resident_bytes_of, thread_time, value_of_child};

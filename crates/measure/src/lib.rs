//! Helpers of the measuring programs under `examples/`: CPU time, resident memory, and linear fits of
//! repeated runs.
//!
//! Nothing here reads the wall clock. `docs/CAPACITY.md` is based on the output of these programs.

mod line;
mod process;

pub use line::{LinearFit, Series, Spread};
pub use process::{
    process_cpu_time, resident_bytes, resident_bytes_of, run_child_for_value, thread_cpu_time,
};

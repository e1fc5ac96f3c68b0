//! The command.
fn main() {}

//! Tests of the log writer.

use super::*;

#[test]
fn a_full_disk_is_nobodys_trouble() {
    let full = File::options().write(true).open("/dev/full").unwrap();
    assert!((&full).write_all(b"x").is_err(), "the device is full");
    let mut out = Lenient(full);
    assert!(out.write_all(b"a line\n").is_ok() && out.flush().is_ok());
}

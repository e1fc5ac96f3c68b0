//! The short rehearsal, with real processes; and what the command says of wrong scenes.

mod common;

use std::process::Command;

use common::EXE;

#[test]
fn every_rule_holds_while_idle_connections_of_two_holders_wake_through_trouble() {
    _ = holds("wake");
}

#[test]
fn every_rule_holds_through_the_short_rehearsal() {
    _ = holds("short");
}

#[test]
fn every_rule_holds_while_versions_shift_and_are_rolled_back_through_kills() {
    let said = holds("shift");
    assert!(said.contains("held    one version for each call, and the answer names it"), "{said}");
    let served = said.lines().find_map(|line| line.strip_prefix("served by version: ")).expect("a line");
    for function in ["charge-estimate/f0@1", "charge-estimate/f0@2", "payment-post/f0@1", "payment-post/f0@2"]
    {
        assert!(served.contains(function), "{served}");
    }
}

fn holds(scene: &str) -> String {
    let folder = tempfile::tempdir().unwrap();
    let keep = folder.path().join("run");
    let done = Command::new(EXE).args(["rehearse", scene, "--keep"]).arg(&keep).output().unwrap();
    let said = String::from_utf8_lossy(&done.stdout);
    assert_eq!(done.status.code(), Some(0), "{said}{}", String::from_utf8_lossy(&done.stderr));
    assert_eq!(said.matches("\nheld ").count(), if scene == "shift" { 6 } else { 5 }, "{said}");
    // The records are there and are judged alike a second time.
    let again = Command::new(EXE).args(["rehearse", "--judge"]).arg(&keep).output().unwrap();
    assert_eq!(again.status.code(), Some(0));
    let table = String::from_utf8_lossy(&again.stdout);
    assert!(said.contains(table.trim()), "{table}");
    said.into_owned()
}

#[test]
fn a_scene_with_a_fault_is_named_and_nothing_is_started() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("scene.json");
    let cases = [("{", "EOF while parsing"), ("{\"name\": \"x\", \"colour\": 1}", "unknown field `colour`")];
    for (text, words) in cases {
        std::fs::write(&file, text).unwrap();
        let done = Command::new(EXE).arg("rehearse").arg(&file).output().unwrap();
        assert_eq!(done.status.code(), Some(2));
        assert!(String::from_utf8_lossy(&done.stderr).contains(words), "{done:?}");
    }
    let none = Command::new(EXE).args(["rehearse", "nowhere"]).output().unwrap();
    assert_eq!(none.status.code(), Some(2));
    assert!(
        String::from_utf8_lossy(&none.stderr)
            .contains("nowhere is no ready scene (month-end, short, wake, shift, quiet)")
    );
}

#[test]
fn the_example_settings_are_sound() {
    let deploy = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    for name in ["gateway.star", "fleet.star", "portal.star"] {
        let done = Command::new(EXE).arg("check").arg(deploy.join(name)).output().unwrap();
        assert_eq!(done.status.code(), Some(0), "{name}: {done:?}");
    }
    let done = Command::new(EXE).args(["versions", "check"]).arg(deploy.join("plan.star")).output().unwrap();
    assert_eq!(done.status.code(), Some(0), "{done:?}");
}

#[test]
fn what_a_killed_rehearsal_started_ends_with_it() {
    use std::io::{BufRead, BufReader};
    let folder = tempfile::tempdir().unwrap();
    let mut rehearsal = Command::new(EXE)
        .args(["rehearse", "quiet", "--keep"])
        .arg(folder.path().join("run"))
        .stdout(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut said = BufReader::new(rehearsal.stdout.take().unwrap()).lines();
    while !said.next().unwrap().unwrap().contains("workers run") {}
    let script = std::fs::read_to_string(folder.path().join("run/gateway-0.star")).unwrap();
    let list = script.split("list = [\"").nth(1).unwrap().split('"').next().unwrap().to_owned();
    assert!(std::net::TcpStream::connect(&list).is_ok(), "the list runs");
    rehearsal.kill().unwrap();
    rehearsal.wait().unwrap();
    let end = std::time::Instant::now() + common::PATIENCE;
    while std::net::TcpStream::connect(&list).is_ok() {
        assert!(std::time::Instant::now() < end, "the list outlives the rehearsal");
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
}

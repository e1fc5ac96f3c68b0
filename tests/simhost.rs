//! Runs the simulator's adapter as a process on short batches of lines.

use std::io::Write;
use std::process::{Command, Stdio};

/// Runs the adapter on this input; gives its exit code, standard output and standard error.
fn run(input: &str) -> (Option<i32>, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cresswheel-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // An adapter that exits early closes the pipe, so the write may fail; the tests check its output.
    let _ = child.stdin.take().expect("a pipe").write_all(input.as_bytes());
    let output = child.wait_with_output().expect("the adapter ends");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (output.status.code(), text(output.stdout), text(output.stderr))
}

const START: &str = "FRAME clock=1000\n\
    ATTACH i=3 entropy=5 balancers=1 novelty=1 profiles.count=1 profiles.0.name=check profiles.0.aim=600000 \
    profiles.0.give_up=5000000 profiles.0.semantics=idempotent limits.max_attempts=3 tick=2000 \
    specifics.may_load=true specifics.when_absent=load specifics.keep_alive=9000000 kinds=std\n\
    CENSUS ref=0 rows=1\nENTRY host=10.0.0.1:9 site=a kind=std cluster=0 condition=IN share=1 colour=red\n\
    DISCOVERY i=3 mode=warm_copy index=1 ref=0\nNEWS i=3 of=what\nGO\n";
const SUBMIT: &str =
    "SUBMIT i=3 request_id=00000000000000aa class=check callee=svc/f time_left=900000 at_once=2\n";

#[test]
fn a_request_is_sent_and_the_end_of_input_is_a_clean_exit() {
    let (code, out, err) = run(&format!("{START}FRAME clock=3000\n{SUBMIT}GO\n"));
    assert_eq!((code, err.as_str()), (Some(0), ""));
    assert!(out.contains("HAND_OFF i=3 request_id=00000000000000aa host=10.0.0.1:9 within="), "{out}");
    assert_eq!(out.matches("YIELD\n").count(), 2);
}

#[test]
fn a_crashed_instance_gets_no_more_events() {
    let (code, out, _) = run(&format!("{START}FRAME clock=3000\nCRASH_NOW i=3\n{SUBMIT}GO\n"));
    assert_eq!(code, Some(0));
    assert!(!out.contains("HAND_OFF"));
}

#[test]
fn malformed_lines_end_the_adapter_with_an_error() {
    let cases = [
        ("SUBMIT i=3 class=check callee=f time_left=9\nGO\n", "SUBMIT: no request_id"),
        ("SUBMIT i=3 request_id=a class=check callee=f time_left=soon\nGO\n", "SUBMIT: bad time_left: soon"),
        ("CENSUS ref=0 rows=2\nENTRY host=a condition=IN\nGO\n", "CENSUS: rows announces more"),
        ("DUE i=3 tag=wake\n", "FRAME: the input ended within a batch"),
        ("DISCOVERY i=3 mode=incr index=2 ref=9\nGO\n", "DISCOVERY: ref names no list: 9"),
    ];
    for (lines, message) in cases {
        let (code, out, err) = run(&format!("{START}FRAME clock=3000\n{lines}"));
        assert_eq!(code, Some(1), "{lines}");
        assert!(err.contains(message) && err.lines().count() == 1, "{err}");
        assert_eq!(out.matches("YIELD\n").count(), 1);
    }
}

#[test]
fn invalid_settings_are_reported_as_broken() {
    let (code, out, _) = run("FRAME clock=1\nATTACH i=0 entropy=1 tick=2000\nGO\n");
    assert_eq!(code, Some(0));
    assert!(out.contains("BROKEN i=0 what=settings: no classes"), "{out}");
}

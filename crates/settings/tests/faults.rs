//! Invalid scripts: each error has its location and value, and one run reports all errors.

use std::path::Path;

use cresswheel_settings::{SettingsErrors, read};

const GATEWAY: &str = "gateway(name = \"g\", listen = \"127.0.0.1:0\")\n";
const CLASS: &str = "call_class(name = \"c\", aim = ms(600), give_up = s(5), effect = \"safe\")\n";
const WORKER: &str = "worker(address = \"127.0.0.1:9\")\n";

fn in_folder(files: &[(&str, &str)]) -> Result<cresswheel_gateway::GatewaySettings, SettingsErrors> {
    let folder = tempfile::tempdir().unwrap();
    for (name, text) in files {
        std::fs::write(folder.path().join(name), text).unwrap();
    }
    let read = read(&folder.path().join(files[0].0));
    // Without the folder's name, which differs between runs.
    read.map_err(|SettingsErrors(mut errors)| {
        let prefix = format!("{}/", folder.path().display());
        for error in &mut errors {
            error.location.file = error.location.file.replace(&prefix, "");
            error.message = error.message.replace(&prefix, "");
        }
        SettingsErrors(errors)
    })
}

fn errors(script: &str) -> Vec<String> {
    let found = in_folder(&[("a.star", script)]).expect_err("an error");
    found.0.iter().map(ToString::to_string).collect()
}

/// The errors of a valid script with one more line, its fourth.
fn errors_with(line: &str) -> Vec<String> {
    errors(&format!("{GATEWAY}{CLASS}{WORKER}{line}\n"))
}

#[test]
fn a_valid_script_becomes_settings() {
    let script = format!(
        "{GATEWAY}{CLASS}{WORKER}limits(open_bytes = mb(1.5), results_keep = minutes(2))\n\
        call_class(name = \"k\", aim = s(1), give_up = s(2), effect = keyed(group = \"cell\", memory = s(2)))\n"
    );
    let settings = in_folder(&[("a.star", &script)]).unwrap();
    assert_eq!(settings.engine.admission.open_bytes, 1_572_864);
    assert_eq!(settings.engine.results.keep, 120_000_000);
    assert_eq!(settings.engine.dispatcher.classes[0].latency_objective, 600_000);
    assert_eq!(settings.workers[0].id, "127.0.0.1:9");
}

#[test]
fn connection_limits_become_settings_of_client_connections() {
    let script = format!(
        "{}{CLASS}{WORKER}limits(connections = 100000, stop_within = s(1), pings_per_s = 0, calls_per_connection = 7)",
        GATEWAY.replace(")", ", holders = 6)")
    );
    let settings = in_folder(&[("a.star", &script)]).unwrap();
    let clients = settings.limits.clients;
    assert_eq!((settings.acceptors, clients.door.connections, clients.per_connection), (Some(6), 100_000, 7));
    assert_eq!(clients.door.leave_over, 500_000, "half of stop_within by default");
    assert_eq!(clients.door.pings_per_s, 0);
    let errors_found = errors(&format!("{}{CLASS}{WORKER}", GATEWAY.replace(")", ", holders = 65)")));
    assert!(
        errors_found[0].starts_with("a.star:1:45: holders = 65: a whole number from 0 to 64"),
        "{errors_found:?}"
    );
}

#[test]
fn each_error_has_its_location_and_value() {
    let cases = [
        ("limits(open_calls = 0)", "a.star:4:8: open_calls = 0: a whole number from 1 to"),
        ("limits(stop_within = 5)", "a.star:4:8: stop_within = 5: a time such as ms(600) or s(5) is wanted"),
        ("limits(stop_within = mb(5))", "a.star:4:8: stop_within = 5242880 bytes: a time such as"),
        (
            "limits(open_bytes = 4.5)",
            "a.star:4:8: open_bytes = 4.5: a size such as kb(64) or mb(4) is wanted",
        ),
        ("limits(frame = kb(0))", "a.star:4:1: limits: frame must be from kb(8)"),
        ("limits(frame = kb(7))", "a.star:4:1: limits: frame must be from kb(8)"),
        (
            "limits(frame = mb(2), http_body = mb(2))",
            "a.star:4:1: limits: http_body must be at most frame less",
        ),
        ("limits(http_body = mb(4))", "a.star:4:1: limits: http_body must be at most frame less"),
        ("limits(client_backlog = mb(99))", "a.star:4:1: limits: client_backlog must be below out_buffer"),
        ("limits(connections = 0)", "a.star:4:8: connections = 0: a whole number from 1 to"),
        ("limits(ping_after = 600)", "a.star:4:8: ping_after = 600: a time such as"),
        ("limits(half_bytes = kb(1))", "a.star:4:1: limits: half_bytes is below one message"),
        ("limits(intake_share = 1.5)", "a.star:4:8: intake_share = 1.5: a number from 0.01 to 1"),
        ("limits(leave_over = s(9))", "a.star:4:1: limits: leave_over must be below stop_within"),
        ("limits(return_after = minutes(1))", "a.star:4:1: limits: return_after is longer than most_return"),
        ("limits(worker_idle = s(-1))", "a.star:4:22: -1 is out of range"),
        ("limits(worker_idle = s(\"1\"))", "a.star:4:22: a unit takes a number, not \"1\""),
        ("limits(open_cals = 9)", "a.star:4:8: limits: unknown name open_cals = 9; did you mean open_calls?"),
        ("limits(zebra = 9)", "a.star:4:8: limits: unknown name zebra = 9"),
        ("limits()\nlimits()", "a.star:5:1: limits: a second one, the first is at"),
        (
            "fleet(when_absent = \"wait\")",
            "a.star:4:7: when_absent = \"wait\": \"load\" or \"miss\" is wanted",
        ),
        ("fleet(may_order = 1)", "a.star:4:7: may_order = 1: True or False is wanted"),
        ("fleet(may_order = False)", "a.star:4:1: fleet: when_absent = \"miss\" with may_order = False"),
        ("fleet(gateways = 2.0)", "a.star:4:7: gateways = 2: a whole number from 1"),
        ("fleet(kind_memory = {\"std\": 7})", "a.star:4:7: kind_memory = a dict of 1: a dict such as"),
        ("fleet(keep_alive = s(0))", "a.star:4:1: fleet: keep_alive must be above zero"),
        (
            "call_class(name = \"c\", aim = s(1), give_up = s(2), effect = \"safe\")",
            "a second class with the name \"c\"",
        ),
        (
            "call_class(name = \"d\", aim = s(3), give_up = s(2), effect = \"safe\")",
            "aim is longer than give_up",
        ),
        ("call_class(name = \"d\", aim = s(1), give_up = s(2))", "effect is missing"),
        (
            "call_class(aim = s(1), give_up = s(2), effect = \"safe\")",
            "a.star:4:1: call_class: name is missing",
        ),
        (
            "call_class(name = \"d\", aim = s(1), give_up = s(2), effect = keyed(group = \"town\", memory = s(1)))",
            "a.star:4:52: effect = keyed(\"town\", s(1)): a group of \"all\", \"zone\" or \"cell\" is wanted",
        ),
        (
            "call_class(name = \"d\", aim = s(1), give_up = s(2), effect = keyed(group = \"all\", memory = 3))",
            "memory = 3: a time such as s(5) is wanted",
        ),
        (
            "call_class(name = \"d\", aim = s(1), give_up = s(999), effect = \"safe\")",
            "longer than most_time, s(600)",
        ),
        (
            "call_class(name = \"d\", aim = ms(19), give_up = s(9), effect = \"safe\")",
            "a.star:1:1: answer_margin = ms(10) takes over half of the shortest aim, ms(19)",
        ),
        ("worker(address = \"nowhere\")", "a.star:4:8: address = \"nowhere\": an address such as"),
        ("worker(address = \"127.0.0.1:9\")", "a.star:4:1: worker: a second worker with the id"),
        ("tenant(name = \"t\", quota_per_s = -1)", "a.star:4:20: quota_per_s = -1: a number from 0 to"),
        ("ration(free = 4)", "a.star:4:1: ration: window is missing"),
        ("cold_start(from_share = 2)", "a.star:4:12: from_share = 2: a number from 0.001 to 1"),
        (
            "fleet(  # a comment (with brackets\n  gateways=1,\n  max_attempts =\n    0)",
            "a.star:6:3: max_attempts = 0",
        ),
        ("if", "a.star:4:3: Parse error"),
        ("worker(address = nothing)", "a.star:4:18: Variable `nothing` not found"),
        ("tenant(name = \"\")", "a.star:4:1: tenant: name is empty"),
        ("x = [1][7]", "a.star:4:5: Index `7` is out of bound"),
        ("def f():\n    return f()\nf()", "call stack overflow"),
        ("[[y for y in range(100000000)] for x in range(100000000)]", ""),
        ("load(\"none.star\", \"x\")", "none.star: No such file"),
    ];
    for (line, expected) in cases {
        let found = errors_with(line);
        assert!(
            found.iter().any(|error| error.contains(expected)),
            "{line}\n  wanted {expected}\n  found {found:#?}"
        );
        assert!(found.iter().all(|error| error.starts_with("a.star:")), "{found:?}");
    }
}

#[test]
fn missing_sections_and_contradictions_are_errors_of_the_file_or_its_gateway() {
    assert_eq!(
        errors(""),
        ["a.star:1:1: there is no gateway(...)", "a.star:1:1: there is no call_class(...)"]
    );
    let found = errors(&format!("{GATEWAY}{CLASS}"));
    assert_eq!(found, ["a.star:1:1: neither a list nor a worker(...): there is nothing to send calls to"]);
    let found = errors(&format!(
        "gateway(name = \"g\", listen = \"127.0.0.1:0\", answer_margin = ms(1))\n{CLASS}{WORKER}"
    ));
    assert!(found[0].contains("answer_margin must be two ticks at least"), "{found:?}");
}

#[test]
fn one_run_reports_all_errors_in_order() {
    let script = "gateway(\n    name = 1,\n    tick = 2,\n    http = 3,\n)\nfleet(gateways = 0)\n";
    let lines: Vec<String> = errors(script).iter().map(|f| f.split(": ").next().unwrap().into()).collect();
    let expected = ["a.star:1:1", "a.star:1:1", "a.star:2:5", "a.star:3:5", "a.star:4:5", "a.star:6:7"];
    assert_eq!(lines, expected);
}

#[test]
fn a_load_cycle_is_reported_with_its_files() {
    let a = ("a.star", "load(\"b.star\", \"x\")\n");
    let b = ("b.star", "x = 1\nload(\"c.star\", \"x\")\n");
    let c = ("c.star", "load(\"a.star\", \"x\")\n");
    let found = in_folder(&[a, b, c]).unwrap_err();
    let expected = "c.star:1:6: files load each other in a cycle: a.star -> b.star -> c.star -> a.star";
    assert_eq!(found.to_string(), expected);
    assert!(read(Path::new("/nowhere/a.star")).unwrap_err().to_string().contains("No such file"));
}

#[test]
fn sections_of_loaded_files_count_and_errors_have_the_location_in_the_loaded_file() {
    let main = ("a.star", format!("load(\"b.star\", \"put\")\n{GATEWAY}{WORKER}put(ms(5))\n"));
    let def = (
        "b.star",
        "def put(aim):\n    call_class(name = \"c\", aim = aim, give_up = ms(1), effect = \"safe\")\n",
    );
    let found = in_folder(&[(main.0, &main.1), def]).unwrap_err();
    assert!(found.to_string().starts_with("b.star:2:5: call_class: aim is longer"), "{found}");
}

#[test]
fn version_orders_need_a_state_folder_and_a_key_or_open() {
    assert_eq!(
        errors_with("versions(open = True)"),
        ["a.star:4:1: version orders are stored on disk: state = \"...\" is wanted in gateway(...)"]
    );
    let expected =
        "versions: key_file = \"...\" is wanted, or open = True, which lets any client give version orders";
    assert_eq!(errors_with("versions()"), [format!("a.star:4:1: {expected}")]);
    let none = errors_with("versions(key_file = \"/nowhere/key\")");
    assert!(none[0].starts_with("a.star:4:1: versions: key_file = \"/nowhere/key\": "), "{none:?}");
    let empty = errors_with("versions(key_file = \"/dev/null\")");
    assert!(empty[0].ends_with("a key has from 16 to 512 bytes"), "{empty:?}");
    assert_eq!(
        errors_with("shift(function = \"f\")"),
        ["a.star:4:1: shift(...) belongs in a plan, not in a gateway's settings"]
    );
}

//! `cresswheel scale` as a command: its output, its refusals, and that it leaves nothing running.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"
gateway(name = "g", listen = "127.0.0.1:0", list = ["127.0.0.1:1"])
call_class(name = "c", aim = ms(600), give_up = s(5), effect = "safe")
fleet(gateways = 1, keep_alive = s(10), when_absent = "load")
"#;

const SCENARIO: &str = r#"scale(settings = "settings.star", gateways = 4, workers = 6, functions = 20,
    instances = 60, rate = 40, seconds = 3, zones = 2, regions = 2, list_changes_per_hour = 3600)
"#;

struct Folder(tempfile::TempDir);

impl Folder {
    fn new(scenario: &str) -> Self {
        let folder = Self(tempfile::tempdir().unwrap());
        std::fs::write(folder.path("settings.star"), SETTINGS).unwrap();
        std::fs::write(folder.path("scenario.star"), scenario).unwrap();
        folder
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    fn command(&self, flags: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cresswheel"));
        command.arg("scale").arg(self.path("scenario.star")).args(flags);
        command
    }

    fn scale(&self, flags: &[&str]) -> Output {
        self.command(flags).output().unwrap()
    }
}

/// Processes of this program that name the folder in their arguments, by id.
fn left_running(folder: &Path) -> Vec<String> {
    let folder = folder.display().to_string();
    let names_it = |id: &String| {
        let line = std::fs::read(format!("/proc/{id}/cmdline")).unwrap_or_default();
        String::from_utf8_lossy(&line).contains(&folder)
    };
    let ids = std::fs::read_dir("/proc").unwrap().flatten();
    let ids = ids.map(|entry| entry.file_name().to_string_lossy().into_owned());
    ids.filter(|name| name.bytes().all(|byte| byte.is_ascii_digit())).filter(names_it).collect()
}

fn json(output: &Output) -> serde_json::Value {
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).unwrap()
}

#[test]
fn a_run_prints_a_table_or_json_and_leaves_nothing_running() {
    let folder = Folder::new(SCENARIO);
    let out = folder.path("out.json");
    let table = folder.scale(&["--seed", "3", "--out", out.to_str().unwrap()]);
    let text = String::from_utf8_lossy(&table.stdout);
    assert_eq!(table.status.code(), Some(0), "{text}{}", String::from_utf8_lossy(&table.stderr));
    for wanted in ["wake-up", "list change", "gateway sends", "worker receives", "0 without an answer"] {
        assert!(text.contains(wanted), "{wanted}: {text}");
    }
    let report = json(&folder.scale(&["--seed", "3", "--format", "json"]));
    let written: serde_json::Value = serde_json::from_slice(&std::fs::read(&out).unwrap()).unwrap();
    assert_eq!(report["calls"], written["calls"], "the same seed");
    assert_eq!(report["quantities"]["gateways"], 4.0);
    assert!(report["calls"].as_u64().unwrap() > 60);
    assert_eq!(left_running(folder.0.path()), Vec::<String>::new());
}

#[test]
fn a_sweep_fits_a_line_to_what_is_one() {
    let folder = Folder::new(SCENARIO);
    let report = json(&folder.scale(&["--sweep", "workers=10,40,120", "--format", "json"]));
    assert_eq!(report["runs"].as_array().unwrap().len(), 3);
    let fit = |figure: &str| report["fits"][figure].clone();
    // A gateway gets one whole list; its time at the last gateway grows with the list's bytes.
    let list = fit("whole list at the last gateway, us");
    assert_eq!(list["verdict"], "Line", "{list}");
    assert!(list["slope"].as_f64().unwrap() > 0.0, "{list}");
    assert_eq!(list["residuals"].as_array().unwrap().len(), 3);
    assert_eq!(left_running(folder.0.path()), Vec::<String>::new());
}

/// It exits with 2 and one line on standard error, which names place and cause.
fn refused(output: &Output, wanted: &[&str]) {
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(output.stdout.is_empty(), "nothing is printed");
    assert_eq!(text.trim_end().lines().count(), 1, "{text}");
    for word in wanted {
        assert!(text.contains(word), "{word:?} is wanted: {text}");
    }
}

#[test]
fn a_scenario_with_a_fault_is_refused_with_its_place() {
    let cases: [(&str, &[&str]); 10] = [
        ("gateways = 4", &["scenario.star:1:1: scale: workers is missing"]),
        ("workers = 0", &["scenario.star:1:28: workers = 0", "from 1 to 100000"]),
        ("gateways = 1000000", &["gateways = 1000000: a whole number from 1 to 10000 is wanted"]),
        ("gateways = 2.5", &["gateways = 2.5: a whole number"]),
        ("rate = \"many\"", &["rate = \"many\": a number"]),
        ("gatways = 4", &["unknown name gatways = 4; did you mean gateways?"]),
        ("zones = 2, regions = 3", &["scenario.star:1:1: scale: regions = 3, but zones = 2"]),
        ("zones = 5", &["zones = 5, but gateways = 4"]),
        ("hot_share = 0.5", &["hot_share = 0.5, but hot_functions = 0"]),
        ("hot_functions = 21", &["hot_functions = 21 of functions = 20"]),
    ];
    for (field, wanted) in cases {
        let mut fields = vec![
            ("gateways", "gateways = 4"),
            ("workers", "workers = 6"),
            ("functions", "functions = 20"),
            ("instances", "instances = 60"),
            ("rate", "rate = 40"),
        ];
        let name = field.split(' ').next().unwrap();
        fields.retain(|(other, _)| *other != name);
        let rest: Vec<_> = fields.iter().map(|(_, text)| *text).collect();
        // The first case leaves out what is needed.
        let rest = if field == "gateways = 4" {
            "functions = 20, instances = 60, rate = 40".into()
        } else {
            rest.join(", ")
        };
        let folder = Folder::new(&format!("scale(settings = \"s.star\", {field}, {rest})\n"));
        refused(&folder.scale(&[]), wanted);
    }
    refused(&Folder::new("scale(settings = \"settings.star\"").scale(&[]), &["scenario.star:1:"]);
    refused(&Folder::new("wheel(size = 3)\n").scale(&[]), &["scenario.star:1:1", "wheel"]);
    refused(&Folder::new("fleet(gateways = 3)\nscale(settings = \"s\", gateways = 1, workers = 1, functions = 1, instances = 1, rate = 1)\n").scale(&[]), &["scenario.star:1:1: fleet(...) belongs in"]);
    refused(&Folder::new("").scale(&[]), &["there is no scale(...)"]);
}

#[test]
fn flags_that_cannot_hold_are_refused_by_name() {
    let folder = Folder::new(SCENARIO);
    let cases: [(&[&str], &[&str]); 9] = [
        (&["--gateways", "0"], &["--gateways 0: a whole number from 1 to 10000 is wanted"]),
        (&["--gateways", "-3"], &["--gateways -3: a whole number"]),
        (&["--workers", "many"], &["--workers many: a number is wanted"]),
        (&["--rate-fraction", "1.5"], &["--rate-fraction 1.5: a number from 0.00001 to 1 is wanted"]),
        (&["--seconds", "1e99"], &["--seconds 1e99"]),
        (&["--zones", "1", "--regions", "2"], &["--zones 1 --regions 2: regions = 2, but zones = 1"]),
        (&["--sweep", "functions=1,2"], &["--sweep functions=1,2: from three different values"]),
        (&["--sweep", "functoins=1,2,3"], &["functoins is no quantity"]),
        (&["--sweep", "zones=2,3,50"], &["--sweep zones=2,3,50", "zones = 50, but gateways = 4"]),
    ];
    for (flags, wanted) in cases {
        refused(&folder.scale(flags), wanted);
    }
    let missing = Command::new(env!("CARGO_BIN_EXE_cresswheel")).args(["scale", "/nowhere/s.star"]).output();
    refused(&missing.unwrap(), &["/nowhere/s.star"]);
}

#[test]
fn a_size_beyond_the_memory_is_refused_with_its_figure() {
    let folder = Folder::new(SCENARIO);
    refused(
        &folder.scale(&["--most-memory-mb", "1"]),
        &["scenario.star: this size needs about ", " MB may be taken"],
    );
    // Ten thousand gateways with a thousand workers each.
    let flags = ["--gateways", "10000", "--workers", "1000", "--functions", "18000", "--rate", "1000000"];
    refused(&folder.scale(&flags), &["this size needs about "]);
}

#[test]
fn settings_with_a_fault_are_refused_with_their_place() {
    let folder = Folder::new(SCENARIO);
    std::fs::write(folder.path("settings.star"), format!("{SETTINGS}limits(open_cals = 3)\n")).unwrap();
    refused(&folder.scale(&[]), &["settings.star:5:", "did you mean open_calls?"]);
}

/// The process of the first real gateway of a run, once it runs.
fn real_gateway(run: &mut Child, folder: &Path) -> String {
    let lines = BufReader::new(run.stderr.take().unwrap()).lines().map_while(Result::ok);
    let mut seen = Vec::new();
    for line in lines {
        seen.push(line);
        if seen.last().is_some_and(|line| line.contains("real gateways run")) {
            break;
        }
    }
    let gateway = left_running(folder).into_iter().find(|id| {
        let line = std::fs::read(format!("/proc/{id}/cmdline")).unwrap_or_default();
        String::from_utf8_lossy(&line).contains("gateway-0.star")
    });
    gateway.unwrap_or_else(|| panic!("no real gateway runs: {seen:?}"))
}

#[test]
fn real_gateways_beside_answer_all_calls_and_end() {
    let folder = Folder::new(SCENARIO);
    let keep = folder.path("real");
    let flags = ["--real", "2", "--keep", keep.to_str().unwrap(), "--format", "json"];
    let report = json(&folder.scale(&flags));
    let gateways = report["real"]["gateways"].as_array().unwrap();
    assert_eq!(gateways.len(), 2);
    for gateway in gateways {
        let count = |name: &str| gateway[name].as_u64().unwrap();
        assert!(count("calls") > 0 && count("answered") == count("calls"), "{gateway}");
        assert_eq!(count("served"), count("calls"), "{gateway}");
        assert!(count("resident") > 1 << 20 && count("descriptors") > 5, "{gateway}");
        assert!(gateway["settings_ms"].as_f64().is_some(), "{gateway}");
    }
    assert_eq!(left_running(folder.0.path()), Vec::<String>::new());
}

#[test]
fn a_killed_real_gateway_is_noticed() {
    let folder = Folder::new(SCENARIO);
    let keep = folder.path("real");
    let mut command = folder.command(&["--real", "1", "--keep", keep.to_str().unwrap(), "--seconds", "8"]);
    let mut run = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    let gateway = real_gateway(&mut run, folder.0.path());
    let killed = Command::new("kill").args(["-KILL", &gateway]).status().unwrap();
    assert!(killed.success());
    let output = run.wait_with_output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains(&format!("process {gateway} ENDED EARLY: it ended with a signal")), "{text}");
    assert_eq!(left_running(folder.0.path()), Vec::<String>::new());
}

#[test]
fn a_run_that_is_killed_leaves_no_real_gateway() {
    let folder = Folder::new(SCENARIO);
    let keep = folder.path("real");
    let mut command = folder.command(&["--real", "1", "--keep", keep.to_str().unwrap(), "--seconds", "60"]);
    let mut run = command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
    real_gateway(&mut run, folder.0.path());
    run.kill().unwrap();
    run.wait().unwrap();
    let end = Instant::now() + Duration::from_secs(30);
    while !left_running(folder.0.path()).is_empty() && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(left_running(folder.0.path()), Vec::<String>::new());
}

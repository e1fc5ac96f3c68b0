//! A short soak of real processes; docs/SOAK.md describes long ones.

use std::process::Command;

fn soak(args: &[&str]) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cresswheel"));
    let done = command.arg("soak").args(args).output().unwrap();
    (done.status.success(), String::from_utf8_lossy(&[done.stdout, done.stderr].concat()).into_owned())
}

/// Two of these six seeds have a load generator.
const SEEDS: [u64; 6] = [1, 2, 3, 4, 5, 6];
const AT_A_TIME: usize = 3;

#[test]
fn a_few_gateways_keep_the_rules_under_overlapping_faults() {
    for seeds in SEEDS.chunks(AT_A_TIME) {
        let runs = seeds.iter().map(|seed| {
            let seed = seed.to_string();
            std::thread::spawn(move || {
                soak(&["--gateways", "8", "--hosts", "5", "--seconds", "8", "--seed", &seed])
            })
        });
        for run in runs.collect::<Vec<_>>() {
            let (passed, output) = run.join().unwrap();
            assert!(passed, "{output}");
            let requests =
                output.split("; ").nth(1).and_then(|part| part.split(' ').next()?.parse::<u32>().ok());
            assert!(requests.is_some_and(|requests| requests > 200), "too few requests were sent: {output}");
        }
    }
}

/// These hold long floods of canceled requests at full speed from 8 or 32 connections, and the first a crowd.
const FLOOD_SEEDS: [u64; 3] = [24, 28, 34];

// Guards against answers over 0.5 s late while other clients send at full speed beside other faults.
#[test]
fn a_few_gateways_keep_the_rules_beside_clients_that_send_at_full_speed() {
    for seed in FLOOD_SEEDS {
        let seed = seed.to_string();
        let size = ["--gateways", "3", "--hosts", "5", "--seconds", "10"];
        let (passed, output) = soak(&[&size[..], &["--floods", "--one-core", "--seed", &seed]].concat());
        assert!(passed, "{output}");
        assert!(!output.contains(" 0 floods") && !output.contains("floods of 0 MB"), "{output}");
    }
}

#[test]
fn a_program_that_is_not_a_gateway_fails_the_soak() {
    let (passed, output) =
        soak(&["--gateways", "1", "--hosts", "2", "--seconds", "2", "--program", "/bin/false"]);
    assert!(!passed && output.contains("ended by itself"), "{output}");
}

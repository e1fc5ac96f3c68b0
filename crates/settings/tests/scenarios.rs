//! Scenarios of scale runs: what is read, and that each script is told from the other kinds.

use cresswheel_settings::{Faults, QUANTITIES, ScaleScenario, read, read_scale};

const SCALE: &str =
    "scale(settings = \"g.star\", gateways = 6, workers = 9, functions = 40, instances = 90, rate = 120";

fn scenario(text: &str) -> Result<ScaleScenario, Faults> {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("s.star");
    std::fs::write(&file, text).unwrap();
    read_scale(&file)
}

fn faults(text: &str) -> Vec<String> {
    let found = scenario(text).expect_err("a fault").0;
    found.iter().map(|fault| format!("{}:{} {}", fault.place.line, fault.place.column, fault.what)).collect()
}

#[test]
fn a_sound_scenario_is_read_with_its_units() {
    let text = format!(
        "{SCALE}, rate_fraction = 0.5, zones = 3, regions = 2)\n\
        network(between_regions = ms(40), source_bytes_per_s = mb(2))\n\
        function(memory_mb = 250, work = ms(7), body = 64)\n"
    );
    let read = scenario(&text).unwrap();
    assert!(read.settings.is_absolute() && read.settings.ends_with("g.star"), "beside the scenario");
    assert_eq!((read.gateways, read.zones, read.regions), (6, 3, 2));
    assert_eq!(read.made_rate(), 60.0);
    assert_eq!((read.between_regions, read.source_bytes_per_s), (40_000, 2 << 20));
    assert_eq!((read.shape.memory_mb, read.shape.work, read.body), (250, 7_000, 64));
}

#[test]
fn all_faults_are_told_at_once_with_their_places() {
    let text = format!("{SCALE}, zones = 0)\nnetwork(within_zone = 3)\nfunction(lanes = 0, wrok = ms(1))\n");
    assert_eq!(
        faults(&text),
        [
            "1:99 zones = 0: a whole number from 1 to 100 is wanted",
            "2:9 within_zone = 3: a time such as ms(600) or s(5) is wanted",
            "3:10 lanes = 0: a whole number from 1 to 1000 is wanted",
            "3:21 function: unknown name wrok = ms(1); did you mean work?",
        ]
    );
    let twice = format!("{SCALE})\n{SCALE})\n");
    assert!(faults(&twice)[0].contains("scale: a second one"));
    let falling = format!("{SCALE})\nnetwork(within_zone = ms(9), between_zones = ms(1))\n");
    assert_eq!(faults(&falling), ["2:1 network: within_zone, between_zones, between_regions must not fall"]);
}

#[test]
fn a_scenario_is_no_gateways_settings() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("s.star");
    std::fs::write(&file, format!("{SCALE})\n")).unwrap();
    let found = read(&file).expect_err("a scenario").to_string();
    assert!(found.contains("scale(...) belongs in a scale scenario"), "{found}");
}

#[test]
fn every_quantity_can_be_set_within_its_range_only() {
    let mut read = scenario(&format!("{SCALE})\n")).unwrap();
    for quantity in QUANTITIES {
        assert_eq!(read.set(quantity.name, quantity.least), Ok(()), "{}", quantity.name);
        assert_eq!(read.set(quantity.name, quantity.most), Ok(()), "{}", quantity.name);
        for outside in [quantity.least - 1.0, quantity.most * 2.0, f64::NAN, f64::INFINITY] {
            let wrong = read.set(quantity.name, outside).unwrap_err();
            assert!(wrong.contains("is wanted"), "{}: {wrong}", quantity.name);
        }
    }
    assert!(read.set("wheels", 3.0).unwrap_err().contains("no such quantity"));
}

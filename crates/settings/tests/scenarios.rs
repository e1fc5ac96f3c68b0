//! Scenarios of scale runs: what is read, and that a scenario isn't accepted as a gateway's settings.

use cresswheel_settings::{QUANTITIES, ScaleScenario, SettingsErrors, read, read_scale};

const SCALE: &str =
    "scale(settings = \"g.star\", gateways = 6, workers = 9, functions = 40, instances = 90, rate = 120";

fn scenario(text: &str) -> Result<ScaleScenario, SettingsErrors> {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("s.star");
    std::fs::write(&file, text).unwrap();
    read_scale(&file)
}

fn errors(text: &str) -> Vec<String> {
    let found = scenario(text).expect_err("an error").0;
    found
        .iter()
        .map(|error| format!("{}:{} {}", error.location.line, error.location.column, error.message))
        .collect()
}

#[test]
fn a_valid_scenario_is_read_with_its_units() {
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
fn one_run_reports_all_errors_with_their_locations() {
    let text = format!("{SCALE}, zones = 0)\nnetwork(within_zone = 3)\nfunction(lanes = 0, wrok = ms(1))\n");
    assert_eq!(
        errors(&text),
        [
            "1:99 zones = 0: a whole number from 1 to 100 is wanted",
            "2:9 within_zone = 3: a time such as ms(600) or s(5) is wanted",
            "3:10 lanes = 0: a whole number from 1 to 1000 is wanted",
            "3:21 function: unknown name wrok = ms(1); did you mean work?",
        ]
    );
    let twice = format!("{SCALE})\n{SCALE})\n");
    assert!(errors(&twice)[0].contains("scale: a second one"));
    let decreasing = format!("{SCALE})\nnetwork(within_zone = ms(9), between_zones = ms(1))\n");
    assert_eq!(
        errors(&decreasing),
        ["2:1 network: within_zone, between_zones, between_regions must not fall"]
    );
}

#[test]
fn a_scenario_is_rejected_as_gateway_settings() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("s.star");
    std::fs::write(&file, format!("{SCALE})\n")).unwrap();
    let found = read(&file).expect_err("a scenario").to_string();
    assert!(found.contains("scale(...) belongs in a scale scenario"), "{found}");
}

#[test]
fn every_quantity_can_only_be_set_within_its_range() {
    let mut read = scenario(&format!("{SCALE})\n")).unwrap();
    for quantity in QUANTITIES {
        assert_eq!(read.set(quantity.name, quantity.min), Ok(()), "{}", quantity.name);
        assert_eq!(read.set(quantity.name, quantity.max), Ok(()), "{}", quantity.name);
        for outside in [quantity.min - 1.0, quantity.max * 2.0, f64::NAN, f64::INFINITY] {
            let error = read.set(quantity.name, outside).unwrap_err();
            assert!(error.contains("is wanted"), "{}: {error}", quantity.name);
        }
    }
    assert!(read.set("wheels", 3.0).unwrap_err().contains("no such quantity"));
}

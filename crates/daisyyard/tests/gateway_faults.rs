//! Guards against faults in the settings of a gateway that are reported one at a time or not at
//! all.

mod platform;

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use daisyyard::gateway_settings::parse;
use daisyyard_gateway::settings::SMALLEST_MACHINE;

/// Returns valid settings of a gateway.
fn valid_settings() -> serde_json::Value {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    platform::settings(address(1), 0, [2, 3, 4, 5, 6].map(address))
}

/// All faults are listed with their keys.
#[test]
fn lists_all() {
    let mut settings = valid_settings();
    settings["listen"]["ready"] = "nowhere".into();
    settings["bounds"]["grace_s"] = (-1).into();
    settings["repeats"] = serde_json::json!({ "ratio": 2 });
    let faults = parse(Path::new("s.json"), &settings.to_string()).expect_err("faults");
    let keys: Vec<&str> = faults.0.iter().map(|fault| fault.key.as_str()).collect();
    let expected = [
        "listen.ready",
        "bounds.grace_s",
        "repeats.ratio",
        "repeats.slack",
        "repeats.window_s",
    ];
    assert_eq!(keys, expected);
}

/// The admission is in effect only where the section names pressure; a section that is no list of
/// texts is a fault.
#[test]
fn reads_admission() {
    let read = |section: serde_json::Value| {
        let mut settings = valid_settings();
        settings["admission"] = section;
        parse(Path::new("s.json"), &settings.to_string())
    };
    let effect = |section| read(section).map(|settings| settings.admission).ok();
    let absent = parse(Path::new("s.json"), &valid_settings().to_string());
    assert_eq!(absent.map(|settings| settings.admission).ok(), Some(false));
    let contracts = |names: &[&str]| serde_json::json!({ "contracts": names });
    assert_eq!(effect(contracts(&["streaming", "pressure"])), Some(true));
    assert_eq!(effect(contracts(&["streaming"])), Some(false));
    assert_eq!(effect(serde_json::json!({})), Some(false));
    // The template passes null on where a deployment has no contracts.
    assert_eq!(
        effect(serde_json::json!({ "contracts": null })),
        Some(false)
    );
    for section in [
        serde_json::json!({ "contracts": "pressure" }),
        serde_json::json!({ "contracts": [], "rank": 1 }),
        serde_json::json!(["pressure"]),
    ] {
        assert!(read(section.clone()).is_err(), "{section}");
    }
}

/// A missing section is reported as one fault per key.
#[test]
fn lists_missing_section() {
    let mut settings = valid_settings();
    settings
        .as_object_mut()
        .expect("an object")
        .remove("bounds");
    let faults = parse(Path::new("s.json"), &settings.to_string()).expect_err("faults");
    assert_eq!(faults.0.len(), 4, "{faults}");
}

/// `daisyyard check --gateway` reports the faults and exits with code 2.
#[test]
fn checks_from_shell() {
    let path = std::env::temp_dir().join("daisyyard-gateway-faults.json");
    std::fs::write(&path, "{ \"name\": \"a\" }").expect("a settings file");
    let output = Command::new(env!("CARGO_BIN_EXE_daisyyard"))
        .args(["check", "--gateway"])
        .arg(&path)
        .output()
        .expect("the command runs");
    std::fs::remove_file(&path).expect("the settings file is there");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("listen.requests"), "{text}");
    assert!(text.contains("repeats.slack"), "{text}");
}

/// The bound on requests to cold endpoints is optional, and half of it is a fault whose text names the
/// remedy.
#[test]
fn cold_bound() {
    let parsed = |settings: &serde_json::Value| parse(Path::new("s.json"), &settings.to_string());
    let mut settings = valid_settings();
    let without = parsed(&settings).expect("valid settings");
    assert_eq!(without.bounds.cold, None);
    settings["bounds"]["cold_overage"] = 1.5.into();
    let faults = parsed(&settings).expect_err("faults");
    let text = faults.to_string();
    assert!(text.contains("bounds.cold_slack"), "{text}");
    assert!(text.contains("remove both"), "{text}");
    settings["bounds"]["cold_slack"] = 5.into();
    let with = parsed(&settings).expect("valid settings").bounds.cold;
    let with = with.expect("a bound");
    assert!((with.overage - 1.5).abs() < f64::EPSILON);
    assert!((with.slack - 5.0).abs() < f64::EPSILON);
    settings["bounds"]["cold_overage"] = (-0.5).into();
    let faults = parsed(&settings).expect_err("faults");
    assert_eq!(faults.0.len(), 1, "{faults}");
}

/// The time for evacuations is optional, and one that no gateway can meet is a fault.
#[test]
fn evacuation_time() {
    let mut settings = valid_settings();
    let parsed = parse(Path::new("s.json"), &settings.to_string()).expect("valid settings");
    assert_eq!(parsed.bounds.max_evacuation_delay, std::time::Duration::MAX);
    settings["bounds"]["evacuation_ms"] = 5_000.into();
    let parsed = parse(Path::new("s.json"), &settings.to_string()).expect("valid settings");
    assert_eq!(parsed.bounds.max_evacuation_delay.as_secs(), 5);
    settings["bounds"]["evacuation_ms"] = 10.into();
    let faults = parse(Path::new("s.json"), &settings.to_string()).expect_err("a fault");
    assert_eq!(faults.0[0].key, "bounds.evacuation_ms");
}

/// The limits are optional, and those that are given are checked.
#[test]
fn checks_limits() {
    let mut settings = valid_settings();
    let parse = |settings: &serde_json::Value| parse(Path::new("s.json"), &settings.to_string());
    let unset = parse(&settings).expect("the limits are optional");
    assert_eq!(unset.machine, SMALLEST_MACHINE);
    settings["limits"] = serde_json::json!({ "memory_mb": 512, "file_descriptors": 8192 });
    let set = parse(&settings).expect("the limits are valid").machine;
    assert_eq!((set.memory, set.descriptors), (512_000_000, 8_192));
    settings["limits"] = serde_json::json!({ "memory_mb": 8, "files": 1 });
    let faults = parse(&settings).expect_err("faults").0;
    let keys: Vec<&str> = faults.iter().map(|fault| fault.key.as_str()).collect();
    let expected = [
        "limits.memory_mb",
        "limits.file_descriptors",
        "limits.files",
    ];
    assert_eq!(keys, expected);
}

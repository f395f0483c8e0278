//! Guards against invalid settings that are accepted, and against faults that are not all reported
//! at once.

use std::path::Path;
use std::time::Duration;

use daisyyard::settings::{self, Settings};

/// The sample settings file in the repository is valid and has no warnings.
#[test]
fn accepts_sample() {
    let text = include_str!("../../../examples/node.jsonc");
    let settings = settings::parse(Path::new("node.jsonc"), text).expect("the sample is valid");
    assert_eq!(settings.accounts.len(), 2);
    assert!(settings.warnings().is_empty());
}

/// All faults are reported at once, each with its line, key, expected value and an example.
#[test]
fn lists_every_fault() {
    let text = r#"{
  "name": "",
  "zone": 7,
  "region": "costa",
  "listen": "nowhere",
  "peer": "127.0.0.1:1",
  "list": "127.0.0.1:2",
  "store": "127.0.0.1:3",
  "key": "short",
  "accounts": [{ "account": "a", "token": "long-enough-token", "size": 3 }],
  "timing": { "stall_ms": 5 },
  "log_level": "loud",
  "colour": "red"
}"#;
    let faults = settings::parse(Path::new("bad.jsonc"), text)
        .expect_err("the file has faults")
        .0;
    let locations: Vec<(usize, &str)> = faults
        .iter()
        .map(|fault| (fault.line, fault.key.as_str()))
        .collect();
    let expected = [
        (2, "name"),
        (3, "zone"),
        (5, "listen"),
        (9, "key"),
        (10, "accounts[0].size"),
        (11, "timing.stall_ms"),
        (12, "log_level"),
        (13, "colour"),
    ];
    assert_eq!(locations, expected);
    assert!(
        faults
            .iter()
            .all(|fault| !fault.expected.is_empty() && !fault.example.is_empty())
    );
}

/// A missing key is reported, and text that is not JSON is rejected without a panic.
#[test]
fn survives_bad_text() {
    let faults = settings::parse(Path::new("a"), "{}")
        .expect_err("keys are missing")
        .0;
    assert!(faults.iter().any(|fault| fault.key == "name"));
    for text in ["", "[", "{\"name\": }", "\u{1F600}", "{\"a\": \"\\u12\"}"] {
        assert!(
            settings::parse(Path::new("a"), text).is_err(),
            "{text:?} was accepted"
        );
    }
}

/// A missing optional key takes its default.
#[test]
fn takes_defaults() {
    let text = r#"{"name": "a", "zone": "z", "region": "r", "listen": "127.0.0.1:1",
        "peer": "127.0.0.1:2", "list": "127.0.0.1:3", "store": "127.0.0.1:4",
        "key": "0123456789abcdef"}"#;
    let settings = settings::parse(Path::new("a"), text).expect("all required keys are there");
    assert_eq!(settings.timing.stall_timeout, Duration::from_millis(1062));
    assert_eq!(settings.log, Settings::DEFAULT_LOG);
    assert_eq!(settings.warnings().len(), 3);
}

//! Settings of a gateway, read from a JSON file with comments.

use std::path::Path;
use std::time::Duration;

use daisyyard_core::footprint::Machine;
use daisyyard_core::shared_retry_budget::Limits;
use daisyyard_core::warmup::Allowance;
use daisyyard_gateway::settings::{Bounds, Listen, SMALLEST_MACHINE, Settings};

use crate::settings_parser::{self, Expectation, Faults, Parser, Section};

/// Largest time that a setting accepts, in seconds.
const MAX_TIME_S: f64 = 3_600.0;
/// Largest factor on the rate that a cold endpoint tolerates.
const MAX_OVERAGE: f64 = 100.0;
/// Largest number of requests to a cold endpoint beyond that rate.
const MAX_COLD_SLACK: f64 = 1e6;
/// Times that the setting for evacuations accepts, in milliseconds. Gateways cannot learn an order much
/// faster than they are told of changes.
const EVACUATION_MS: std::ops::RangeInclusive<u64> = 1_000..=3_600_000;
/// Largest number of retries that a setting accepts.
const MAX_RETRIES: f64 = 1e9;

/// Smallest memory of a machine that a setting accepts, in MB. With less, no configuration fits beside
/// the process.
const MIN_MEMORY_MB: f64 = 32.0;
/// Largest memory of a machine that a setting accepts, in MB.
const MAX_MEMORY_MB: f64 = 1e6;
/// Smallest number of descriptors that a setting accepts: those of the gateway itself and some callers.
const MIN_DESCRIPTORS: f64 = 512.0;
/// Largest number of descriptors that a setting accepts.
const MAX_DESCRIPTORS: f64 = 1e7;
/// Bytes of a megabyte, as the platform counts them.
const BYTES_PER_MB: f64 = 1e6;
/// Contract of a deployment whose callers compete for too little capacity, in which the admission by
/// costs is in effect.
const PRESSURE: &str = "pressure";

/// Reads and parses a settings file.
pub(crate) fn load(path: &Path) -> anyhow::Result<Settings> {
    Ok(parse(path, &settings_parser::read_file(path)?)?)
}

/// Parses the text of a settings file; the error lists every fault.
pub fn parse(path: &Path, text: &str) -> Result<Settings, Faults> {
    let (mut parser, mut root) = Parser::open(path, text)?;
    let (s, r) = (&mut parser, &mut root);
    let settings = Settings {
        name: s.string(r, "name", "\"frontend-costa-a-1\""),
        zone: s.string(r, "zone", "\"costa-a\""),
        region: s.string(r, "region", "\"costa\""),
        zones: s.objects(
            r,
            "zones",
            "[{ \"zone\": \"costa-a\", \"region\": \"costa\" }]",
            |s, r| {
                (
                    s.string(r, "zone", "\"costa-a\""),
                    s.string(r, "region", "\"costa\""),
                )
            },
        ),
        store: s.address(r, "store"),
        listen: s.required_object(r, "listen", listen),
        bounds: s.required_object(r, "bounds", bounds),
        retry_budget: s.required_object(r, "repeats", retry_limits),
        machine: s
            .optional_object(r, "limits", machine)
            .unwrap_or(SMALLEST_MACHINE),
        admission: s
            .optional_object(r, "admission", |s, r| {
                s.passed_strings(r, "contracts", "[\"pressure\"]")
            })
            .is_some_and(|contracts| contracts.iter().any(|name| name == PRESSURE)),
    };
    parser.reject_unknown_keys(root);
    parser.finish(settings)
}

/// Parses the addresses on which the gateway listens.
fn listen<'a>(s: &mut Parser<'a>, r: &mut Section<'a>) -> Listen {
    Listen {
        requests: s.address(r, "requests"),
        ready: s.address(r, "ready"),
        directory: s.address(r, "directory"),
        digests: s.address(r, "digests"),
        metrics: s.address(r, "metrics"),
    }
}

/// Parses the time bounds of the deployment.
fn bounds<'a>(s: &mut Parser<'a>, r: &mut Section<'a>) -> Bounds {
    Bounds {
        max_recovery_time: millis(s, r, "contact_ms"),
        max_config_delay: millis(s, r, "config_ms"),
        max_evacuation_delay: s.millis(r, "evacuation_ms", EVACUATION_MS, Duration::MAX),
        grace: seconds(s, r, "grace_s"),
        max_addresses_lifetime: seconds(s, r, "directory_s"),
        cold: allowance(s, r),
    }
}

/// Parses how far the requests to a cold endpoint may exceed what it tolerates; both keys are given,
/// or none.
fn allowance<'a>(s: &mut Parser<'a>, r: &mut Section<'a>) -> Option<Allowance> {
    const KEYS: [&str; 2] = ["cold_overage", "cold_slack"];
    if !KEYS.iter().any(|key| r.has(key)) {
        r.allow(&KEYS);
        return None;
    }
    let overage = Expectation {
        expected: "a number from 0 to 100, together with cold_slack; remove both to set no bound",
        example: "1.5",
    };
    let slack = Expectation {
        expected: "a number from 0 to 1000000, together with cold_overage; remove both to set no bound",
        example: "5",
    };
    Some(Allowance {
        overage: s.expected_number(r, KEYS[0], 0.0..=MAX_OVERAGE, overage),
        slack: s.expected_number(r, KEYS[1], 0.0..=MAX_COLD_SLACK, slack),
    })
}

/// Parses the limits of the retry budget.
fn retry_limits<'a>(s: &mut Parser<'a>, r: &mut Section<'a>) -> Limits {
    Limits {
        ratio: s.number(r, "ratio", 0.0..=1.0, "0.2"),
        slack: s.number(r, "slack", 0.0..=MAX_RETRIES, "52"),
        window: seconds(s, r, "window_s"),
    }
}

/// Parses the memory and the descriptors of the machine.
fn machine<'a>(s: &mut Parser<'a>, r: &mut Section<'a>) -> Machine {
    let memory_mb = s.number(r, "memory_mb", MIN_MEMORY_MB..=MAX_MEMORY_MB, "88");
    let descriptors = MIN_DESCRIPTORS..=MAX_DESCRIPTORS;
    Machine {
        memory: (memory_mb * BYTES_PER_MB) as usize,
        descriptors: s.number(r, "file_descriptors", descriptors, "3075") as usize,
    }
}

/// Parses a time in seconds, which may have a fraction.
fn seconds<'a>(s: &mut Parser<'a>, r: &mut Section<'a>, key: &'static str) -> Duration {
    Duration::from_secs_f64(s.number(r, key, 0.0..=MAX_TIME_S, "8"))
}

/// Parses a time in milliseconds, which may have a fraction.
fn millis<'a>(s: &mut Parser<'a>, r: &mut Section<'a>, key: &'static str) -> Duration {
    Duration::from_secs_f64(s.number(r, key, 0.0..=MAX_TIME_S * 1_000.0, "3000") / 1_000.0)
}

//! Settings of a gateway, read from a JSON file with comments.

use std::path::Path;
use std::time::Duration;

use daisyyard_core::shared_retry_budget::Limits;
use daisyyard_gateway::settings::{Bounds, Listen, Settings};

use crate::settings_parser::{self, Faults, Parser, Section};

/// Largest time that a setting accepts, in seconds.
const MAX_TIME_S: f64 = 3_600.0;
/// Largest number of retries that a setting accepts.
const MAX_RETRIES: f64 = 1e9;

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
        grace: seconds(s, r, "grace_s"),
        max_addresses_lifetime: seconds(s, r, "directory_s"),
    }
}

/// Parses the limits of the retry budget.
fn retry_limits<'a>(s: &mut Parser<'a>, r: &mut Section<'a>) -> Limits {
    Limits {
        ratio: s.number(r, "ratio", 0.0..=1.0, "0.2"),
        slack: s.number(r, "slack", 0.0..=MAX_RETRIES, "52"),
        window: seconds(s, r, "window_s"),
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

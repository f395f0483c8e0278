//! Command `check --config`: checks an operator's configuration before it is sent.

use std::fmt;
use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use daisyyard_core::difference::{self, Change, Difference};
use daisyyard_core::draft::Draft;
use daisyyard_core::finding::{self, Finding, Severity};
use daisyyard_gateway::settings::SMALLEST_MACHINE;
use daisyyard_platform::draft::{self, Fault};
use getopts::Options;

use crate::gateway_settings;

/// Exit code if warnings were found, but no errors.
const EXIT_WARNINGS: u8 = 1;
/// Exit code if errors were found.
const EXIT_ERRORS: u8 = 2;
/// Exit code if nothing was checked, because of wrong usage or a file that cannot be read. It is that
/// of `sysexits.h`, as 2 says that errors were found.
const EXIT_USAGE: u8 = 64;

/// Result of a check: one line for each finding or difference.
#[derive(Debug, Default)]
struct Report {
    /// Lines to print.
    lines: Vec<String>,
    /// Number of errors.
    errors: usize,
    /// Number of warnings.
    warnings: usize,
    /// Number of differences.
    differences: usize,
}

/// Returns whether the arguments of `check` ask for the check of a configuration.
pub(crate) fn is_meant(arguments: &[String]) -> bool {
    let names = ["-c", "--config", "-a", "--against"];
    let is_name = |argument: &String| {
        let name = argument.split('=').next().unwrap_or_default();
        names.contains(&name)
    };
    arguments.iter().any(is_name)
}

/// Runs `check --config` and returns the exit code of the process.
pub(crate) fn run(arguments: &[String]) -> ExitCode {
    match check(arguments) {
        Ok(report) => {
            println!("{report}");
            ExitCode::from(report.code())
        }
        Err(error) => {
            eprintln!("daisyyard: {error:#}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Checks the configuration that the arguments name.
fn check(arguments: &[String]) -> anyhow::Result<Report> {
    let mut options = Options::new();
    options.reqopt("c", "config", "configuration to check", "FILE");
    options.optopt("a", "against", "version in force", "FILE");
    options.optopt("g", "gateway", "settings of a gateway", "SETTINGS");
    let matches = options.parse(arguments)?;
    if let Some(extra) = matches.free.first() {
        anyhow::bail!("unexpected argument {extra:?}; name the configuration with --config only");
    }
    let machine = match matches.opt_str("gateway") {
        Some(path) => gateway_settings::load(Path::new(&path))?.machine,
        None => SMALLEST_MACHINE,
    };
    let name = matches.opt_str("config").unwrap_or_default();
    let document = read(&name)?;
    let old_name = matches.opt_str("against").unwrap_or_default();
    let old_document = if matches.opt_present("against") {
        Some(read(&old_name)?)
    } else {
        None
    };
    let mut report = Report::default();
    let new = report.decode(&name, &document);
    let old = old_document.and_then(|document| report.decode(&old_name, &document));
    if let Some(new) = &new {
        if let Some(old) = &old {
            report.extend(&name, difference::check_version(old, new));
        }
        report.extend(&name, finding::all(new, machine));
    }
    if let (Some(old), Some(new)) = (&old, &new) {
        let differences = difference::all(old, new);
        report.differences = differences.len();
        let lines = differences.iter().map(|one| {
            // Places of what is gone are those in the old version.
            let gone = matches!(one.change, Change::Removed(_));
            let file = if gone { &old_name } else { &name };
            format!("{file}: {}", describe(one))
        });
        report.lines.extend(lines);
    }
    Ok(report)
}

/// Reads a file.
fn read(name: &str) -> anyhow::Result<Vec<u8>> {
    std::fs::read(name).with_context(|| format!("cannot read {name}; check the path"))
}

/// Returns the line for a difference, without the name of the file.
fn describe(difference: &Difference) -> String {
    let path = draft::path(difference.entry);
    let owner = difference.name.as_ref();
    let owner = owner.map_or(String::new(), |name| format!(" of {name:?}"));
    match &difference.change {
        Change::Added(text) => format!("added: {path}{owner}: {text}"),
        Change::Removed(text) => format!("removed: {path}{owner}: {text}"),
        Change::Changed { old, new } => format!("changed: {path}{owner}: {old} -> {new}"),
    }
}

impl Report {
    /// Decodes a document; reports what cannot be decoded.
    fn decode(&mut self, name: &str, document: &[u8]) -> Option<Draft> {
        let faults = match draft::decode(document) {
            Ok(draft) => return Some(draft),
            Err(faults) => faults,
        };
        self.errors += faults.len();
        for Fault {
            path,
            problem,
            remedy,
        } in faults
        {
            let path = if path.is_empty() { "document" } else { &path };
            let line = format!("{name}: error: {path}: {problem}; {remedy}");
            self.lines.push(line);
        }
        None
    }

    /// Adds findings about a document.
    fn extend(&mut self, name: &str, findings: impl IntoIterator<Item = Finding>) {
        for finding in findings {
            let severity = match finding.severity {
                Severity::Error => {
                    self.errors += 1;
                    "error"
                }
                Severity::Warning => {
                    self.warnings += 1;
                    "warning"
                }
            };
            let path = draft::path(finding.entry);
            let (problem, remedy) = (finding.problem, finding.remedy);
            let line = format!("{name}: {severity}: {path}: {problem}; {remedy}");
            self.lines.push(line);
        }
    }

    /// Returns the exit code. Differences alone are no reason to stop a script.
    fn code(&self) -> u8 {
        match (self.errors, self.warnings) {
            (0, 0) => 0,
            (0, _) => EXIT_WARNINGS,
            _ => EXIT_ERRORS,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        let Self {
            errors,
            warnings,
            differences,
            ..
        } = self;
        write!(
            f,
            "errors: {errors}, warnings: {warnings}, differences: {differences}"
        )
    }
}

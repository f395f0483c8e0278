//! The `experiment` command, which runs experiments of the lab in virtual time.

use std::io::{self, Write};
use std::ops::RangeInclusive;
use std::path::Path;
use std::process::ExitCode;

use anyhow::{Context, anyhow};
use daisyyard_lab::ablation::Part;
use daisyyard_lab::deployment::Deployment;
use daisyyard_lab::experiment::Experiment;
use daisyyard_lab::simulation::Policy;
use daisyyard_lab::{plot, scale, seed_sweep};
use getopts::{Matches, Options};
use serde_json::{Value, json};

use crate::frame_size;

/// Help text of the command.
const HELP: &str = "\
Usage: daisyyard experiment NAME --deployment NAME --seed N [--policy POLICY] [--json]
       daisyyard experiment NAME --deployment NAME --seeds FIRST..LAST [--policy POLICY] [--json]
       daisyyard experiment plot NAME --deployment NAME --seed N --out FILE.svg
       daisyyard experiment scale [--json]
       daisyyard experiment list";

/// Seed of the workload unless `--seed` or `--seeds` is given.
const DEFAULT_SEED: u64 = 1;

/// Runs the command: runs or plots an experiment, measures scaling, or lists the experiments.
pub(crate) fn run(arguments: &[String]) -> anyhow::Result<ExitCode> {
    let mut options = Options::new();
    options.optopt("d", "deployment", "deployment to simulate", "NAME");
    options.optopt("s", "seed", "seed of the workload", "N");
    options.optopt(
        "",
        "seeds",
        "range of seeds to summarise, inclusive",
        "A..B",
    );
    options.optopt("p", "policy", "scheduling policy", "NAME");
    options.optopt(
        "w",
        "without",
        "part of the scheduling decisions to disable",
        "PART",
    );
    options.optopt("o", "out", "file to write the plot to", "FILE.svg");
    options.optflag("j", "json", "print JSON");
    options.optflag("h", "help", "show this help");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        writeln!(io::stdout(), "{}", options.usage(HELP))?;
        return Ok(ExitCode::SUCCESS);
    }
    let free: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match free[..] {
        ["list"] => list_experiments()?,
        ["scale"] => measure_scale(matches.opt_present("json"))?,
        ["plot", name] => draw_plot(&matches, &find_experiment(name)?)?,
        [name] => {
            let without = ablated_part(&matches)?;
            let experiment = Experiment {
                without,
                ..find_experiment(name)?
            };
            run_experiment(&matches, &experiment)?;
        }
        _ => return Err(anyhow!("name one experiment; {}", experiment_names())),
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints the names and summaries of all experiments.
fn list_experiments() -> io::Result<()> {
    let mut out = io::stdout().lock();
    for experiment in Experiment::all() {
        writeln!(out, "{:<18}{}", experiment.name, experiment.summary)?;
    }
    Ok(())
}

/// Measures how processor time and memory grow with the size of the system.
fn measure_scale(json: bool) -> anyhow::Result<()> {
    let mut report = scale::measure()?;
    report.series.extend(frame_size::measure()?);
    if json {
        writeln!(io::stdout(), "{}", serde_json::to_string_pretty(&report)?)?;
    } else {
        scale::print(&report, io::stdout().lock())?;
    }
    Ok(())
}

/// Plots the results of an experiment under all policies.
fn draw_plot(matches: &Matches, experiment: &Experiment) -> anyhow::Result<()> {
    let file = matches.opt_str("out");
    let file = file.ok_or_else(|| anyhow!("the plot needs a file: --out FILE.svg"))?;
    let seed = matches.opt_get_default("seed", DEFAULT_SEED)?;
    plot::draw(&deployment(matches)?, experiment, seed, Path::new(&file))
}

/// Runs an experiment with one or several seeds and prints the results.
fn run_experiment(matches: &Matches, experiment: &Experiment) -> anyhow::Result<()> {
    let deployment = deployment(matches)?;
    let policy = policy(matches)?;
    let seeds = seeds(matches)?;
    let reports = seed_sweep::measure(&deployment, experiment, policy, &seeds);
    let value = if matches.opt_present("seeds") {
        json!({
            "experiment": experiment.name,
            "deployment": deployment.name,
            "policy": policy.name(),
            "seeds": seeds,
            "summary": seed_sweep::summarise(&reports),
            "reports": reports,
        })
    } else {
        serde_json::to_value(&reports[0])?
    };
    if matches.opt_present("json") {
        writeln!(io::stdout(), "{}", serde_json::to_string_pretty(&value)?)?;
    } else {
        print_table(&value)?;
    }
    Ok(())
}

/// Prints the results of one seed, or means and standard deviations, as a table.
fn print_table(value: &Value) -> io::Result<()> {
    let mut out = io::stdout().lock();
    let keys = ["experiment", "deployment", "policy"];
    let title = keys.map(|key| value[key].as_str().unwrap_or_default());
    writeln!(out, "{}", title.join(", "))?;
    let summary = value["summary"].as_object();
    let rows = summary.or_else(|| value.as_object()).into_iter().flatten();
    for (key, value) in rows.filter(|(key, _)| !keys.contains(&key.as_str())) {
        match (value["mean"].as_f64(), value["deviation"].as_f64()) {
            (Some(mean), Some(deviation)) => {
                writeln!(out, "{key:<32}{mean:>14.4} ± {deviation:.4}")?;
            }
            _ => writeln!(out, "{key:<32}{value:>14}")?,
        }
    }
    Ok(())
}

/// Looks up an experiment by name.
fn find_experiment(name: &str) -> anyhow::Result<Experiment> {
    Experiment::parse(name)
        .ok_or_else(|| anyhow!("unknown experiment {name:?}; {}", experiment_names()))
}

/// Returns the deployment given by `--deployment`.
fn deployment(matches: &Matches) -> anyhow::Result<Deployment> {
    let name = matches.opt_str("deployment").unwrap_or_default();
    let names = Deployment::NAMES.join(", ");
    Deployment::parse(&name)
        .ok_or_else(|| anyhow!("unknown deployment {name:?}; --deployment is one of: {names}"))
}

/// Returns the policy given by `--policy`.
fn policy(matches: &Matches) -> anyhow::Result<Policy> {
    let default = Policy::Daisyyard.name().to_owned();
    let name = matches.opt_str("policy").unwrap_or(default);
    let names = Policy::ALL.map(Policy::name).join(", ");
    Policy::parse(&name)
        .ok_or_else(|| anyhow!("unknown policy {name:?}; the policies are: {names}"))
}

/// Returns the part of the scheduling decisions that `--without` disables.
fn ablated_part(matches: &Matches) -> anyhow::Result<Option<Part>> {
    let Some(name) = matches.opt_str("without") else {
        return Ok(None);
    };
    let names = Part::ALL.map(Part::name).join(", ");
    let part = Part::parse(&name);
    part.map(Some)
        .ok_or_else(|| anyhow!("unknown part {name:?}; --without is one of: {names}"))
}

/// Returns the seeds given by `--seeds` or `--seed`.
fn seeds(matches: &Matches) -> anyhow::Result<Vec<u64>> {
    let Some(text) = matches.opt_str("seeds") else {
        return Ok(vec![matches.opt_get_default("seed", DEFAULT_SEED)?]);
    };
    parse_range(&text)
        .filter(|range| !range.is_empty())
        .map(Iterator::collect)
        .with_context(|| format!("--seeds takes FIRST..LAST, such as 1..20, not {text:?}"))
}

/// Parses an inclusive range of seeds such as `1..20`.
fn parse_range(text: &str) -> Option<RangeInclusive<u64>> {
    let (first, last) = text.split_once("..")?;
    Some(first.parse().ok()?..=last.parse().ok()?)
}

/// Returns the part of an error message that lists the experiments.
fn experiment_names() -> String {
    let names: Vec<&str> = Experiment::all().iter().map(|one| one.name).collect();
    format!("the experiments are: {}", names.join(", "))
}

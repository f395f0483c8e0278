//! Command line: parses the arguments of each subcommand and runs it.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use daisyyard_gateway::gateway;
use daisyyard_lab::check;
use daisyyard_platform::codec::CODEC;
use getopts::Options;

use crate::settings::{Level, Log, Settings};
use crate::{
    config_check, embedded, event, experiment, fault_injection, gateway_settings, node, operator,
    report, settings, soak,
};

/// Exit code for a usage error or invalid settings.
const EXIT_USAGE: u8 = 2;

/// Default of `soak --for`: seconds during which faults are injected.
const DEFAULT_SOAK_S: u64 = 10;

/// Output of `daisyyard help`, which is followed by the help of the operator commands.
const HELP: &str = "\
Usage: daisyyard COMMAND [OPTIONS]

Commands:
  serve --config FILE   run a node
  gateway --config FILE run a gateway on the users' platform
  check FILE            check a settings file and list every fault
  check --config FILE   check a configuration of the users' platform before it is sent
  try [--keep]          run a small fleet on loopback and check the guarantees
  try --faults          run callers while parts of the fleet fail; `--seed N` repeats a run
  soak --seed N --for S run gateways while they, the store and engines fail, and check guarantees
  verify [--json]       check the core protocols against their specifications
  experiment NAME       run an experiment in virtual time; `experiment list` names them
  report burn           add up the counts of nodes; `report burn --help` explains it
  help                  show this help
";

/// Runs the subcommand named by the first argument and returns the exit code of the process.
pub fn run(arguments: &[String]) -> ExitCode {
    let (name, rest) = arguments
        .split_first()
        .map_or(("help", &[][..]), |(n, r)| (n.as_str(), r));
    let wants_help = rest
        .iter()
        .any(|argument| argument == "--help" || argument == "-h");
    let result = match name {
        "serve" | "gateway" | "check" | "try" | "soak" | "verify" if wants_help => {
            print!("{}", help(name));
            Ok(ExitCode::SUCCESS)
        }
        "serve" => serve(rest),
        "gateway" => run_gateway(rest),
        "check" if config_check::is_meant(rest) => Ok(config_check::run(rest)),
        "check" => check(rest),
        "try" => run_try(rest),
        "soak" => run_soak(rest),
        "verify" => verify(rest),
        "experiment" => experiment::run(rest),
        "report" => report::run(rest, runtime),
        "preset" | "status" | "drain" => {
            runtime().and_then(|runtime| operator::run(arguments, &runtime))
        }
        "help" | "--help" | "-h" => {
            print!("{HELP}\n{}", operator::HELP);
            Ok(ExitCode::SUCCESS)
        }
        _ => Err(anyhow::anyhow!(
            "unknown command {name:?}; `daisyyard help` lists the commands"
        )),
    };
    result.unwrap_or_else(|error| {
        eprintln!("daisyyard: {error:#}");
        ExitCode::from(EXIT_USAGE)
    })
}

/// Returns the text that a subcommand prints for `--help`.
fn help(name: &str) -> &'static str {
    match name {
        "serve" => {
            "Usage: daisyyard serve --config FILE\n\n\
             Runs a node until SIGTERM or SIGINT, which start a planned stop: no running request\n\
             is interrupted. FILE is JSON with comments; examples/node.jsonc is a sample.\n\n\
             Exit codes: 0 after a planned stop, 2 if the settings are at fault.\n"
        }
        "gateway" => {
            "Usage: daisyyard gateway --config FILE\n\n\
             Runs a gateway until SIGTERM or SIGINT, which start a planned stop; SIGHUP reads FILE\n\
             again. FILE is JSON with comments; deploy/gateway.jsonc is the platform's template.\n\n\
             Exit codes: 0 after a planned stop, 2 if the settings are at fault.\n"
        }
        "check" => {
            "Usage: daisyyard check [--gateway] FILE\n\
             \x20      daisyyard check --config FILE [--against FILE] [--gateway SETTINGS]\n\n\
             Lists every fault of a settings file with its line, key, what was found, what was\n\
             expected and an example. --gateway checks the settings of a gateway.\n\n\
             Exit codes: 0 if there is none, 2 otherwise.\n\n\
             --config lists errors, entries without effect and limits that contradict each other in\n\
             a configuration of the platform, and --against what differs from the version in force.\n\
             Bodies must fit into the memory of the gateway with these SETTINGS, or else of the\n\
             smallest machine.\n\n\
             Exit codes: 0 if nothing was found, 1 for warnings only, 2 for errors, 64 if nothing was\n\
             checked, because of wrong usage or a file that cannot be read. Differences do not count.\n"
        }
        "try" => {
            "Usage: daisyyard try [--deployment association|pit-works] [--keep] [--tokens]\n\
             \x20      daisyyard try --faults [--seed N] [--deployment association|pit-works]\n\n\
             Runs three nodes and stand-ins for the platform on loopback and checks guarantees.\n\
             --keep leaves the fleet running and prints commands that work on it; --tokens prints\n\
             each token of the long answer as it arrives; --faults runs\n\
             callers for about 10 s while parts of the fleet fail at times drawn from the seed.\n\n\
             Exit codes: 0 if every checked guarantee held, 1 if not, 2 for wrong usage.\n"
        }
        "soak" => {
            "Usage: daisyyard soak [--seed N] [--for SECONDS] [--logs DIR] [--changes]\n\n\
             Runs three gateways as processes of their own, with stand-ins for the platform behind\n\
             a proxy, and callers. Faults drawn from the seed overlap: connections are delayed,\n\
             silenced, blocked in one direction or reset; gateways are killed, suspended, stopped\n\
             and reloaded; engines and the store fail; a zone is evacuated; all endpoints start\n\
             anew and are cold; engines leave in waves; crowds send bodies that stall before their\n\
             end; one account floods a gateway with requests. Prints every broken guarantee.\n\
             --changes runs six gateways instead, changes the configuration several times a second,\n\
             and checks that each answer follows a version that may be in force.\n\n\
             Exit codes: 0 if every guarantee held, 1 if not, 2 for wrong usage.\n"
        }
        _ => {
            "Usage: daisyyard verify [--json]\n\n\
             Explores small specifications of the core protocols and prints, for each invariant,\n\
             the states, the depth, the time, and whether broken variants were rejected.\n\n\
             Exit codes: 0 if all invariants hold and all broken variants are rejected, else 1.\n"
        }
    }
}

/// Runs `serve`: a node, until a signal or an operator stops it.
fn serve(arguments: &[String]) -> anyhow::Result<ExitCode> {
    let mut options = Options::new();
    options.reqopt("c", "config", "settings file", "FILE");
    let matches = options.parse(arguments)?;
    let path = matches.opt_str("config").unwrap_or_default();
    let settings = settings::load(Path::new(&path))?;
    runtime()?.block_on(node::run(settings))?;
    Ok(ExitCode::SUCCESS)
}

/// Runs `gateway` until a signal stops it. The runtime has a single thread, because the instance of
/// a gateway has a fraction of one core.
fn run_gateway(arguments: &[String]) -> anyhow::Result<ExitCode> {
    let mut options = Options::new();
    options.reqopt("c", "config", "settings file", "FILE");
    let matches = options.parse(arguments)?;
    let source = gateway::Source {
        path: matches.opt_str("config").unwrap_or_default().into(),
        load: gateway_settings::load,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(gateway::run(source, CODEC))?;
    Ok(ExitCode::SUCCESS)
}

/// Runs `check`: prints the warnings about a settings file, or fails with all of its faults.
fn check(arguments: &[String]) -> anyhow::Result<ExitCode> {
    let mut options = Options::new();
    options.optflag("g", "gateway", "check the settings of a gateway");
    let matches = options.parse(arguments)?;
    let path = matches.free.first();
    let path = path.ok_or_else(|| anyhow::anyhow!("name a file: daisyyard check FILE"))?;
    if matches.opt_present("gateway") {
        gateway_settings::load(Path::new(path))?;
        println!("{path}: no faults");
        return Ok(ExitCode::SUCCESS);
    }
    for warning in settings::load(Path::new(path))?.warnings() {
        println!("{path}: warning: {warning}");
    }
    println!("{path}: no faults");
    Ok(ExitCode::SUCCESS)
}

/// Runs `try`: a fleet in this process, with or without injected faults.
fn run_try(arguments: &[String]) -> anyhow::Result<ExitCode> {
    let mut options = Options::new();
    options.optopt(
        "d",
        "deployment",
        "sizes and zones to use",
        "association|pit-works",
    );
    options.optflag("k", "keep", "leave the fleet running until a signal");
    options.optflag("t", "tokens", "print each token of the long answer");
    options.optflag("f", "faults", "run callers while parts of the fleet fail");
    options.optopt("s", "seed", "seed of the faults", "N");
    let matches = options.parse(arguments)?;
    let deployment = matches
        .opt_str("deployment")
        .unwrap_or_else(|| "association".to_owned());
    let seed = matches.opt_get("seed")?;
    let log = Log {
        level: Level::Warn,
        ..Settings::DEFAULT_LOG
    };
    event::configure(log)?;
    let held = if matches.opt_present("faults") {
        let seed = seed.unwrap_or_else(rand::random);
        runtime()?.block_on(fault_injection::run(&deployment, seed))?
    } else {
        let choice = embedded::Options {
            keep_running: matches.opt_present("keep"),
            print_tokens: matches.opt_present("tokens"),
        };
        runtime()?.block_on(embedded::run(&deployment, choice))?
    };
    Ok(if held {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Runs `soak`: gateway processes under overlapping faults.
fn run_soak(arguments: &[String]) -> anyhow::Result<ExitCode> {
    let mut options = Options::new();
    options.optopt("s", "seed", "seed of faults and callers", "N");
    options.optopt("f", "for", "time for which faults begin", "SECONDS");
    options.optopt("l", "logs", "keep the logs of the gateways here", "DIR");
    options.optflag(
        "c",
        "changes",
        "change the configuration, and check which version is followed",
    );
    let matches = options.parse(arguments)?;
    let choice = soak::Options {
        seed: matches.opt_get("seed")?.unwrap_or_else(rand::random),
        duration: Duration::from_secs(matches.opt_get("for")?.unwrap_or(DEFAULT_SOAK_S)),
        program: std::env::current_exe()?,
        log_directory: matches.opt_get("logs")?,
        changes: matches.opt_present("changes"),
    };
    Ok(if runtime()?.block_on(soak::run(&choice))? {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Runs `verify`: model-checks the core protocols and prints the result of each invariant.
fn verify(arguments: &[String]) -> anyhow::Result<ExitCode> {
    let mut options = Options::new();
    options.optflag("j", "json", "print JSON");
    let matches = options.parse(arguments)?;
    let outcomes = check::all();
    if matches.opt_present("json") {
        println!("{:#}", check::json(&outcomes));
    } else {
        print!("{}", check::table(&outcomes));
    }
    Ok(if outcomes.iter().all(check::Outcome::holds) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Creates the multi-threaded runtime that all commands but `gateway` use.
fn runtime() -> anyhow::Result<tokio::runtime::Runtime> {
    Ok(tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?)
}

//! `daisyyard report burn`: sums the request counts of nodes and reports what burned the error
//! budgets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, SystemTime};

use anyhow::{Context, bail, ensure};
use daisyyard_core::burn::{Alert, Class, Meter, Summary};
use daisyyard_core::contract::Rank;
use daisyyard_core::id::ServiceId;
use futures_util::future::join_all;
use getopts::{Matches, Options};
use hyper::{Method, StatusCode};
use tokio::runtime::Runtime;

use crate::meter::{self, Times};
use crate::snapshot::{Service, Snapshot};
use crate::{report_page, report_table};

/// Exit code if an alert is raised.
const EXIT_ALERT: u8 = 1;
/// Exit code if no alert is raised but a source could not be read.
const EXIT_PARTIAL: u8 = 2;
/// Limit on the answer of a node.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Help text of the command.
const HELP: &str = "\
Usage: daisyyard report burn [--node ADDR]... [--snapshot FILE]... [OPTIONS]

Sums the request counts of nodes and prints, for each service, rank and size class of accounts:
the objective, the share of requests that met their targets over 6 hours, the error budget left,
the burn rates over 5 minutes, 1 hour, 30 minutes and 6 hours, the alert, and what burned the
budget.

Options:
  --node ADDR      read GET /burn at the caller address of a node; may be repeated
  --snapshot FILE  read a file written by --save, or a saved response of /burn; may be repeated
  --save FILE      write all snapshots read to a file for --snapshot
  --json           print JSON
  --html FILE      write an HTML page with plots
  -h, --help       show this help

Of several snapshots of a node since the same start, only the newest is used. Without --node, the
time of the report is that of the newest snapshot.

Exit codes:
  0  no alert
  1  an alert: `page` (burn rate of at least 6 over 5 minutes and 1 hour) or `ticket` (at
     least 2 over 30 minutes and 6 hours), with at least 20 requests in the longer window
  2  wrong usage, or no alert but a source could not be read
";

/// Sums over the snapshots of all nodes.
#[derive(Debug)]
pub(crate) struct Report {
    /// Time at which the windows of the report end.
    pub(crate) now: SystemTime,
    /// Number of snapshots summed, one for each node start.
    pub(crate) nodes: usize,
    /// Services and their latency targets.
    pub(crate) services: BTreeMap<ServiceId, Service>,
    /// Request counts by subject and time slot.
    pub(crate) meter: Meter,
    /// Latency histograms by service and rank.
    pub(crate) times: BTreeMap<(ServiceId, Rank), Times>,
}

/// Row of the report.
#[derive(Debug)]
pub(crate) struct Row<'a> {
    /// Service of the requests.
    pub(crate) service: &'a Service,
    /// Rank of the requests.
    pub(crate) rank: Rank,
    /// Size class of the accounts; none for all accounts.
    pub(crate) class: Option<Class>,
    /// Counts, burn rates and alert.
    pub(crate) summary: Summary,
}

/// Runs the command; `runtime` is called only if nodes must be read.
pub(crate) fn run(
    arguments: &[String],
    runtime: impl FnOnce() -> anyhow::Result<Runtime>,
) -> anyhow::Result<ExitCode> {
    let mut options = Options::new();
    options.optmulti("", "node", "caller address of a node", "ADDR");
    options.optmulti("", "snapshot", "file of saved snapshots", "FILE");
    options.optopt("", "save", "file to write the snapshots to", "FILE");
    options.optopt("", "html", "file to write the HTML page to", "FILE");
    options.optflag("", "json", "print JSON");
    options.optflag("h", "help", "show this help");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    ensure!(
        matches.free == ["burn"],
        "name the report: daisyyard report burn; --help explains it"
    );
    let (snapshots, complete) = read_sources(&matches, runtime)?;
    if let Some(file) = matches.opt_str("save") {
        let text = serde_json::to_string(&snapshots)?;
        write_file(&file, &text)?;
    }
    let report = Report::new(&snapshots, !matches.opt_present("node"))?;
    let rows = report.rows();
    if matches.opt_present("json") {
        println!("{:#}", report_table::json(&report, &rows));
    } else {
        print!("{}", report_table::text(&report, &rows));
    }
    if let Some(file) = matches.opt_str("html") {
        write_file(&file, &report_page::page(&report, &rows)?)?;
    }
    let alert = rows.iter().any(|row| row.summary.alert != Alert::None);
    Ok(match (alert, complete) {
        (true, _) => ExitCode::from(EXIT_ALERT),
        (false, true) => ExitCode::SUCCESS,
        (false, false) => ExitCode::from(EXIT_PARTIAL),
    })
}

/// Writes a text file.
fn write_file(file: &str, text: &str) -> anyhow::Result<()> {
    std::fs::write(file, text).with_context(|| format!("cannot write {file}; choose another file"))
}

/// Reads all sources, and returns whether none of them failed.
fn read_sources(
    matches: &Matches,
    runtime: impl FnOnce() -> anyhow::Result<Runtime>,
) -> anyhow::Result<(Vec<Snapshot>, bool)> {
    let mut nodes = Vec::new();
    for text in matches.opt_strs("node") {
        let address: SocketAddr = text.parse().with_context(|| {
            format!("{text:?} is not the address of a node, such as 127.0.0.1:8080")
        })?;
        nodes.push(address);
    }
    let files = matches.opt_strs("snapshot");
    ensure!(
        !nodes.is_empty() || !files.is_empty(),
        "give at least one --node ADDR or --snapshot FILE"
    );
    let mut results: Vec<anyhow::Result<Vec<Snapshot>>> =
        files.iter().map(|f| load_file(f)).collect();
    if !nodes.is_empty() {
        results.extend(runtime()?.block_on(join_all(nodes.into_iter().map(fetch))));
    }
    let sources = results.len();
    let mut snapshots = Vec::new();
    let mut failed = 0;
    for result in results {
        match result {
            Ok(found) => snapshots.extend(found),
            Err(error) => {
                failed += 1;
                eprintln!("daisyyard: source skipped: {error:#}");
            }
        }
    }
    ensure!(failed < sources, "no source could be read");
    Ok((newest_snapshots(snapshots), failed == 0))
}

/// Keeps the newest snapshot for each start of each node.
fn newest_snapshots(snapshots: Vec<Snapshot>) -> Vec<Snapshot> {
    let mut kept: BTreeMap<(String, u64), Snapshot> = BTreeMap::new();
    for snapshot in snapshots {
        let key = (snapshot.node.clone(), snapshot.started_ms);
        let known_ms = kept.get(&key).map_or(0, |known| known.taken_ms);
        if snapshot.taken_ms >= known_ms {
            kept.insert(key, snapshot);
        }
    }
    kept.into_values().collect()
}

/// Reads a file with one snapshot or a list of them.
fn load_file(file: &str) -> anyhow::Result<Vec<Snapshot>> {
    let text = std::fs::read_to_string(Path::new(file));
    let text = text.with_context(|| format!("cannot read {file}; give a readable file"))?;
    let parsed = if text.trim_start().starts_with('[') {
        serde_json::from_str(&text)
    } else {
        serde_json::from_str(&text).map(|one| vec![one])
    };
    let parsed: Vec<Snapshot> =
        parsed.with_context(|| format!("{file} does not contain valid snapshots"))?;
    let checked = parsed.into_iter().map(Snapshot::check_format);
    checked
        .collect::<Result<_, _>>()
        .with_context(|| file.to_owned())
}

/// Fetches the snapshot of a node.
async fn fetch(address: SocketAddr) -> anyhow::Result<Vec<Snapshot>> {
    let call = daisyyard_http::call(address, Method::GET, "/burn", &[], "");
    let answer = tokio::time::timeout(FETCH_TIMEOUT, call).await;
    let (status, body) = answer.with_context(|| format!("{address} did not answer in time"))??;
    if status != StatusCode::OK {
        bail!("{address} answered with status {status}; is it the caller address of a node?");
    }
    let snapshot: Snapshot = serde_json::from_slice(&body)
        .with_context(|| format!("{address} did not send a valid snapshot"))?;
    Ok(vec![snapshot.check_format()?])
}

impl Report {
    /// Sums snapshots. `use_snapshot_time` sets the time of the report to that of the newest
    /// snapshot instead of the current time.
    fn new(snapshots: &[Snapshot], use_snapshot_time: bool) -> anyhow::Result<Self> {
        let taken = snapshots.iter().map(Snapshot::taken).max();
        let now = if use_snapshot_time { taken } else { None };
        let mut report = Self {
            now: now.unwrap_or_else(SystemTime::now),
            nodes: snapshots.len(),
            services: BTreeMap::new(),
            meter: Meter::new(),
            times: BTreeMap::new(),
        };
        // The targets of the newest snapshot replace older ones.
        let mut ordered: Vec<&Snapshot> = snapshots.iter().collect();
        ordered.sort_by_key(|snapshot| snapshot.taken_ms);
        for snapshot in ordered {
            for service in &snapshot.services {
                report.services.insert(service.id, service.clone());
            }
            for counts in &snapshot.counts {
                let (subject, slot, count) = counts.try_into()?;
                report.meter.merge(subject, slot, &count);
            }
            for times in &snapshot.times {
                let sum = report.times.entry(times.key()?).or_insert_with(|| Times {
                    first_token_us: meter::histogram(),
                    token_gap_us: meter::histogram(),
                });
                times.add(sum)?;
            }
        }
        Ok(report)
    }

    /// Returns the rows with requests: one for each service and rank, and one for each of its size
    /// classes.
    pub(crate) fn rows(&self) -> Vec<Row<'_>> {
        let mut rows = Vec::new();
        for service in self.services.values() {
            for rank in Rank::ALL {
                let classes = Class::ALL.map(Some);
                for class in [None].into_iter().chain(classes) {
                    let summary = self.meter.summarize(self.now, |subject| {
                        subject.service == service.id
                            && subject.rank == rank
                            && class.is_none_or(|class| subject.class == class)
                    });
                    if summary.count.total() > 0 {
                        rows.push(Row {
                            service,
                            rank,
                            class,
                            summary,
                        });
                    }
                }
            }
        }
        rows
    }
}

impl Row<'_> {
    /// Returns the name of the size class, or `all`.
    pub(crate) fn class(&self) -> &'static str {
        self.class.map_or("all", Class::name)
    }
}

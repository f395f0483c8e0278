//! `daisyyard try --faults`: callers run while parts of the fleet fail at times drawn from a seed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Context;
use daisyyard_standin::engine;
use daisyyard_standin::fault::Fault;
use daisyyard_standin::plain::Run;
use hyper::StatusCode;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use tokio::task::{JoinHandle, JoinSet};

use crate::audit;
use crate::caller::{self, Addresses, Answer, End, Question, Reply};
use crate::fleet::{Deployment, Fleet};
use crate::schedule::{self, Action, LENGTH_MS};
use crate::settings::Timing;

/// Callers that stream.
const STREAMERS: u64 = 16;
/// Callers whose answers are not streamed.
const ASKERS: u64 = 4;
/// Callers that book with a key.
const BOOKERS: u64 = 6;
/// Attempts of one booking at most.
const MAX_ATTEMPTS: usize = 4;
/// Time for a drained node to finish.
const DRAIN_LIMIT: Duration = Duration::from_secs(20);
/// Time limits of the nodes, short enough that each takes effect within the run.
const TIMING: Timing = Timing {
    stall: Duration::from_millis(400),
    grace: Duration::from_secs(1),
    slow_caller: Duration::from_secs(5),
    addresses: Duration::from_secs(1),
};

/// What one caller did.
#[derive(Debug)]
enum Record {
    /// It streamed.
    Stream(String, Answer),
    /// It asked for an answer that is not streamed.
    Ask(String, Result<String, Reply>),
    /// It booked, with the body and the replies of all attempts.
    Book(String, Vec<Reply>),
}

/// What the faults left behind.
#[derive(Debug, Default)]
struct Log {
    /// Addresses of nodes that ended without warning.
    killed: Vec<SocketAddr>,
    /// Nodes that are being drained.
    drains: Vec<JoinHandle<()>>,
    /// Endpoints that left, with the work that each had received by then.
    left: Option<Left>,
}

/// Work that leaving endpoints had received when the time for it ended.
#[derive(Debug, Clone, Copy)]
struct Left {
    /// Engine and its generations.
    engine: (usize, usize),
    /// Plain endpoint and its runs.
    service: (usize, usize),
}

/// Runs callers and faults, prints each violation, and returns whether there was none.
pub async fn run(deployment: &str, seed: u64) -> anyhow::Result<bool> {
    println!("seed {seed}");
    let violations = violations(deployment, seed).await?;
    for violation in &violations {
        println!("violation: seed={seed} {violation}");
    }
    println!("{} violations", violations.len());
    Ok(violations.is_empty())
}

/// Runs callers and faults and returns every violation.
pub async fn violations(deployment: &str, seed: u64) -> anyhow::Result<Vec<String>> {
    let deployment = Deployment::find(deployment)?;
    let mut fleet = Fleet::start(deployment, TIMING).await?;
    let started = Instant::now();
    let until = started + Duration::from_millis(LENGTH_MS);
    let mut callers = JoinSet::new();
    for number in 0..STREAMERS + ASKERS + BOOKERS {
        callers.spawn(act(deployment, fleet.addresses(), seed, number, until));
    }
    let log = drive(&mut fleet, seed, started).await?;
    let mut records = Vec::new();
    while let Some(done) = callers.join_next().await {
        records.extend(done.context("a caller panicked")?);
    }
    let mut violations = Vec::new();
    for drain in log.drains {
        if tokio::time::timeout(DRAIN_LIMIT, drain).await.is_err() {
            violations.push(format!("drain: a node did not end in {DRAIN_LIMIT:?}"));
        }
    }
    let (prompts, runs) = (fleet.prompts().await, fleet.runs().await);
    println!("{}", summary(&records, runs.len()));
    for record in &records {
        violations.extend(match record {
            Record::Stream(prompt, answer) => {
                let mut found = audit::stream(answer, prompt, &log.killed);
                if answer.tokens.is_empty() && answer.cuts.is_empty() {
                    found.extend(refused(prompt, &answer.end, &prompts));
                }
                found
            }
            Record::Ask(prompt, result) => asked(prompt, result, &log.killed, &prompts),
            Record::Book(body, replies) => booked(body, replies, &log.killed, &runs),
        });
    }
    violations.extend(late(&fleet, log.left).await);
    Ok(violations)
}

/// Makes the fleet fail at the times of the schedule.
async fn drive(fleet: &mut Fleet, seed: u64, started: Instant) -> anyhow::Result<Log> {
    let mut log = Log::default();
    for (at, action) in schedule::draw(seed, fleet.engines.len(), fleet.services.len()) {
        tokio::time::sleep_until((started + at).into()).await;
        match action {
            Action::Crash(engine) => fleet.engines[engine].inject(Fault::Crash),
            Action::Replace(engine) => fleet.replace_engine(engine).await?,
            Action::Silence(engine) => fleet.engines[engine].inject(Fault::Silence),
            Action::Hang(engine) => fleet.engines[engine].inject(Fault::Hang),
            Action::Cut(engine) => fleet.engines[engine].inject(Fault::Cut),
            Action::Refuse(engine, proof) => {
                fleet.engines[engine].inject(Fault::Refuse { not_run: proof });
            }
            Action::Accept(engine) => fleet.engines[engine].inject(Fault::Delay(Duration::ZERO)),
            Action::Store(plan) => fleet.store.faults.set(plan),
            Action::Leave(engine, service) => {
                for address in [
                    fleet.engines[engine].address,
                    fleet.services[service].address,
                ] {
                    fleet.relist(address, |entry| "leaving".clone_into(&mut entry.state));
                }
            }
            Action::Left(engine, service) => {
                log.left = Some(Left {
                    engine: (engine, fleet.engines[engine].prompts().await.len()),
                    service: (service, fleet.services[service].runs().await.len()),
                });
            }
            Action::Drain => {
                let node = fleet.take_node(0);
                log.drains.push(tokio::spawn(node.drain()));
                fleet.add_node().await?;
            }
            Action::Kill => log.killed.push(fleet.kill_node(0)),
            Action::Renew => {
                for address in &log.killed {
                    fleet.relist(*address, |entry| "leaving".clone_into(&mut entry.state));
                }
                fleet.add_node().await?;
            }
        }
    }
    Ok(log)
}

/// Asks again and again until a time, and returns what happened.
async fn act(
    deployment: &Deployment,
    addresses: Addresses,
    seed: u64,
    number: u64,
    until: Instant,
) -> Vec<Record> {
    let mut random = Pcg64Mcg::seed_from_u64(seed.wrapping_add(number + 1));
    let mut records = Vec::new();
    while Instant::now() < until {
        let name = format!("seed {seed} caller {number} request {}", records.len());
        let first = random.random_range(0..100);
        let length = random.random_range(1..250);
        let question = Question {
            model: deployment.model.0.to_owned(),
            prompt: format!("{} {name} length={length}", deployment.long.0),
            rank: deployment.long.1,
        };
        let prompt = question.prompt.clone();
        if number < STREAMERS {
            let answer = caller::stream(&addresses, first, &question, |_text| {}).await;
            records.push(Record::Stream(prompt, answer));
        } else if number < STREAMERS + ASKERS {
            if let Some(node) = caller::pick(&addresses, first) {
                records.push(Record::Ask(prompt, caller::ask(node, &question).await));
            }
        } else {
            let body = format!("{} {name};", deployment.booking.1);
            let replies = book(deployment, &addresses, first, &body).await;
            records.push(Record::Book(body, replies));
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(5..60))).await;
    }
    records
}

/// Books with one key at different nodes until an answer comes or twice in a row none is known.
async fn book(
    deployment: &Deployment,
    addresses: &Addresses,
    first: usize,
    body: &str,
) -> Vec<Reply> {
    let path = deployment.booking_path();
    let mut replies = Vec::new();
    for number in first..first + MAX_ATTEMPTS {
        let Some(node) = caller::pick(addresses, number) else {
            continue;
        };
        let reply = caller::call(node, &path, body, body).await;
        let answered = matches!(reply, Reply::Answered(..));
        replies.push(reply);
        // A second answer must be the first one again.
        if answered
            && replies
                .iter()
                .filter(|one| matches!(one, Reply::Answered(..)))
                .count()
                > 1
        {
            break;
        }
    }
    replies
}

/// Returns the violation if a refusal says that a generation that ran did not.
fn refused(prompt: &str, end: &End, prompts: &[String]) -> Option<String> {
    let End::Refused(error) = end else {
        return None;
    };
    let ran = not_run(error) && prompts.iter().any(|one| one == prompt);
    ran.then(|| format!("not_run: told of a generation that ran prompt={prompt:?} error={error}"))
}

/// Returns the violations of an answer that is not streamed.
fn asked(
    prompt: &str,
    result: &Result<String, Reply>,
    killed: &[SocketAddr],
    prompts: &[String],
) -> Vec<String> {
    match result {
        Ok(text) if *text == engine::text(prompt) => Vec::new(),
        Ok(text) => vec![format!(
            "text: wrong answer prompt={prompt:?} bytes={}",
            text.len()
        )],
        Err(Reply::Refused(error)) => refused(prompt, &End::Refused(error.clone()), prompts)
            .into_iter()
            .collect(),
        Err(Reply::Unreachable) => Vec::new(),
        Err(Reply::Cut(node)) if killed.contains(node) => Vec::new(),
        Err(reply) => vec![format!("end: {reply:?} prompt={prompt:?}")],
    }
}

/// Returns the violations of a booking.
fn booked(body: &str, replies: &[Reply], killed: &[SocketAddr], runs: &[Run]) -> Vec<String> {
    let ran = runs.iter().filter(|run| run.body == body).count();
    let mut violations = Vec::new();
    let mut fault = |what: &str| {
        violations.push(format!(
            "{what} ran={ran} body={body:?} replies={replies:?}"
        ));
    };
    if ran > 1 {
        fault("twice: a keyed call ran again");
    }
    let denied = |reply: &Reply| matches!(reply, Reply::Refused(error) if not_run(error));
    let quiet = |reply: &Reply| denied(reply) || *reply == Reply::Unreachable;
    if ran > 0 && replies.iter().all(quiet) {
        fault("not_run: told of a call that ran");
    }
    if let Some(last) = replies.iter().rposition(denied) {
        let doubt = !replies[..last].iter().all(quiet);
        let later = replies[last..].iter();
        let answered = later.filter(|reply| matches!(reply, Reply::Answered(..)));
        if ran > 0 && doubt && answered.count() == 0 {
            fault("not_run: told after an attempt that may have run");
        }
    }
    let mut answers = replies.iter().filter_map(|reply| match reply {
        Reply::Answered(status, body) => Some((status, body)),
        _ => None,
    });
    if let Some(first) = answers.next() {
        if ran == 0 || *first.0 != StatusCode::OK {
            fault("answer: not from a run");
        }
        if answers.any(|other| other != first) {
            fault("answer: repeats differ");
        }
    }
    let lost = |reply: &Reply| match reply {
        Reply::Cut(node) => !killed.contains(node),
        Reply::Silent(_) => true,
        _ => false,
    };
    if replies.iter().any(lost) {
        fault("end: no answer");
    }
    violations
}

/// Returns whether a refusal says that nothing was run.
fn not_run(error: &Value) -> bool {
    error["outcome"] == "not_run"
}

/// Returns the violations of endpoints that received work after they left.
async fn late(fleet: &Fleet, left: Option<Left>) -> Vec<String> {
    let Some(Left { engine, service }) = left else {
        return Vec::new();
    };
    let generations = fleet.engines[engine.0].prompts().await;
    let runs = fleet.services[service.0].runs().await;
    let mut violations = Vec::new();
    for prompt in generations.iter().skip(engine.1) {
        violations.push(format!(
            "leaving: engine {} started prompt={prompt:?}",
            engine.0
        ));
    }
    for run in runs.iter().skip(service.1) {
        violations.push(format!("leaving: plain endpoint {} ran {run:?}", service.0));
    }
    violations
}

/// Returns one line that says what the callers did.
fn summary(records: &[Record], runs: usize) -> String {
    let (mut tokens, mut whole, mut refused, mut moved, mut texts) = (0, 0, 0, 0, 0);
    let (mut booked, mut other) = (0, 0);
    for record in records {
        match record {
            Record::Stream(_, answer) => {
                tokens += answer.tokens.len();
                moved += answer.cuts.len();
                match answer.end {
                    End::Whole => whole += 1,
                    _ => refused += 1,
                }
            }
            Record::Ask(_, Ok(_)) => texts += 1,
            Record::Book(_, replies)
                if replies.iter().any(|r| matches!(r, Reply::Answered(..))) =>
            {
                booked += 1;
            }
            Record::Ask(..) | Record::Book(..) => other += 1,
        }
    }
    format!(
        "streams: {whole} whole, {refused} refused or interrupted, {moved} connections lost, \
         {tokens} tokens; texts: {texts}; bookings: {booked} answered, {runs} runs; \
         other refusals: {other}"
    )
}

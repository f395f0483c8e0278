//! `daisyyard try --faults`: injects faults into the embedded fleet at times drawn from a seed
//! while callers run, and checks the guarantees.

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
use crate::caller::{self, Addresses, Answer, End, Reply, Request};
use crate::fault_schedule::{self, Action, DURATION_MS};
use crate::fleet::{Deployment, Fleet};
use crate::settings::Timing;

/// Number of callers that stream answers.
const STREAM_CALLERS: u64 = 16;
/// Number of callers that request answers without streaming.
const TEXT_CALLERS: u64 = 4;
/// Number of callers that make bookings with an idempotency key.
const BOOKING_CALLERS: u64 = 6;
/// Maximum number of attempts of one booking.
const MAX_BOOKING_ATTEMPTS: usize = 4;
/// Limit on the time that a drain of a node takes.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeouts of the nodes, short enough that each of them expires within a run.
const TIMING: Timing = Timing {
    stall_timeout: Duration::from_millis(400),
    reconnect_grace: Duration::from_secs(1),
    slow_caller_timeout: Duration::from_secs(5),
    addresses_ttl: Duration::from_secs(1),
};

/// Request of a caller and its result.
#[derive(Debug)]
enum Record {
    /// A streamed answer, with its prompt.
    Stream(String, Answer),
    /// An answer that was not streamed, with its prompt.
    Text(String, Result<String, Reply>),
    /// A booking, with its body and the replies to all attempts.
    Booking(String, Vec<Reply>),
}

/// Effects of the injected faults that the checks need to know.
#[derive(Debug, Default)]
struct Effects {
    /// Addresses of nodes that were killed.
    killed: Vec<SocketAddr>,
    /// Drains in progress.
    drains: Vec<JoinHandle<()>>,
    /// Work received by the leaving endpoints before their deadline, once it has passed.
    leave_baseline: Option<Baseline>,
}

/// Number of requests that the leaving endpoints had received at their deadline; any later one is
/// a violation.
#[derive(Debug, Clone, Copy)]
struct Baseline {
    /// Index of the engine, and the number of its generations.
    engine: (usize, usize),
    /// Index of the plain endpoint, and the number of its runs.
    plain_endpoint: (usize, usize),
}

/// Runs callers and faults, prints all violations, and returns whether there were none.
pub async fn run(deployment: &str, seed: u64) -> anyhow::Result<bool> {
    println!("seed {seed}");
    let violations = violations(deployment, seed).await?;
    for violation in &violations {
        println!("violation: seed={seed} {violation}");
    }
    println!("{} violations", violations.len());
    Ok(violations.is_empty())
}

/// Runs callers and faults and returns all violations.
pub async fn violations(deployment: &str, seed: u64) -> anyhow::Result<Vec<String>> {
    let deployment = Deployment::find(deployment)?;
    let mut fleet = Fleet::start(deployment, TIMING).await?;
    let started = Instant::now();
    let until = started + Duration::from_millis(DURATION_MS);
    let mut callers = JoinSet::new();
    for number in 0..STREAM_CALLERS + TEXT_CALLERS + BOOKING_CALLERS {
        callers.spawn(run_caller(
            deployment,
            fleet.addresses(),
            seed,
            number,
            until,
        ));
    }
    let effects = inject(&mut fleet, seed, started).await?;
    let mut records = Vec::new();
    while let Some(done) = callers.join_next().await {
        records.extend(done.context("a caller panicked")?);
    }
    let mut violations = Vec::new();
    for drain in effects.drains {
        if tokio::time::timeout(DRAIN_TIMEOUT, drain).await.is_err() {
            violations.push(format!(
                "drain: a drained node did not stop within {DRAIN_TIMEOUT:?}"
            ));
        }
    }
    let (prompts, runs) = (fleet.prompts().await, fleet.runs().await);
    println!("{}", summary(&records, runs.len()));
    for record in &records {
        violations.extend(match record {
            Record::Stream(prompt, answer) => {
                let mut found = audit::stream_violations(answer, prompt, &effects.killed);
                if answer.tokens.is_empty() && answer.lost_connections.is_empty() {
                    found.extend(refusal_violation(prompt, &answer.end, &prompts));
                }
                found
            }
            Record::Text(prompt, result) => {
                text_violations(prompt, result, &effects.killed, &prompts)
            }
            Record::Booking(body, replies) => {
                booking_violations(body, replies, &effects.killed, &runs)
            }
        });
    }
    violations.extend(leave_violations(&fleet, effects.leave_baseline).await);
    Ok(violations)
}

/// Applies the actions of the fault schedule at their times.
async fn inject(fleet: &mut Fleet, seed: u64, started: Instant) -> anyhow::Result<Effects> {
    let mut effects = Effects::default();
    for (at, action) in fault_schedule::draw(seed, fleet.engines.len(), fleet.plain_endpoints.len())
    {
        tokio::time::sleep_until((started + at).into()).await;
        match action {
            Action::Crash(engine) => fleet.engines[engine].inject(Fault::Crash),
            Action::ReplaceEngine(engine) => fleet.replace_engine(engine).await?,
            Action::Silence(engine) => fleet.engines[engine].inject(Fault::Silence),
            Action::Hang(engine) => fleet.engines[engine].inject(Fault::Hang),
            Action::Disconnect(engine) => fleet.engines[engine].inject(Fault::Disconnect),
            Action::Refuse(engine, not_run) => {
                fleet.engines[engine].inject(Fault::Refuse { not_run });
            }
            Action::Accept(engine) => fleet.engines[engine].inject(Fault::Delay(Duration::ZERO)),
            Action::StoreFaults(faults) => fleet.store.faults.set(faults),
            Action::Leave(engine, plain_endpoint) => {
                for address in [
                    fleet.engines[engine].address,
                    fleet.plain_endpoints[plain_endpoint].address,
                ] {
                    fleet.update_entry(address, |entry| "leaving".clone_into(&mut entry.state));
                }
            }
            Action::LeaveDeadline(engine, plain_endpoint) => {
                effects.leave_baseline = Some(Baseline {
                    engine: (engine, fleet.engines[engine].prompts().await.len()),
                    plain_endpoint: (
                        plain_endpoint,
                        fleet.plain_endpoints[plain_endpoint].runs().await.len(),
                    ),
                });
            }
            Action::DrainNode => {
                let node = fleet.take_node(0);
                effects.drains.push(tokio::spawn(node.drain()));
                fleet.add_node().await?;
            }
            Action::KillNode => effects.killed.push(fleet.kill_node(0)),
            Action::ReplaceNode => {
                for address in &effects.killed {
                    fleet.update_entry(*address, |entry| "leaving".clone_into(&mut entry.state));
                }
                fleet.add_node().await?;
            }
        }
    }
    Ok(effects)
}

/// Sends one request after another until a time, and returns their results.
async fn run_caller(
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
        let request = Request {
            model: deployment.model.0.to_owned(),
            prompt: format!("{} {name} length={length}", deployment.long.0),
            rank: deployment.long.1,
        };
        let prompt = request.prompt.clone();
        if number < STREAM_CALLERS {
            let answer = caller::stream(&addresses, first, &request, |_text| {}).await;
            records.push(Record::Stream(prompt, answer));
        } else if number < STREAM_CALLERS + TEXT_CALLERS {
            if let Some(node) = caller::select_node(&addresses, first) {
                records.push(Record::Text(
                    prompt,
                    caller::request_text(node, &request).await,
                ));
            }
        } else {
            let body = format!("{} {name};", deployment.booking.1);
            let replies = book(deployment, &addresses, first, &body).await;
            records.push(Record::Booking(body, replies));
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(5..60))).await;
    }
    records
}

/// Sends a booking with one idempotency key through several nodes, until it was answered twice or
/// the attempts are used up.
async fn book(
    deployment: &Deployment,
    addresses: &Addresses,
    first: usize,
    body: &str,
) -> Vec<Reply> {
    let path = deployment.booking_path();
    let mut replies = Vec::new();
    for number in first..first + MAX_BOOKING_ATTEMPTS {
        let Some(node) = caller::select_node(addresses, number) else {
            continue;
        };
        let reply = caller::call(node, &path, body, body).await;
        let answered = matches!(reply, Reply::Answered(..));
        replies.push(reply);
        // The second answer is needed to check that it repeats the first.
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

/// Returns a violation if a refusal states that nothing ran although the generation did.
fn refusal_violation(prompt: &str, end: &End, prompts: &[String]) -> Option<String> {
    let End::Refused(error) = end else {
        return None;
    };
    let ran = claims_not_run(error) && prompts.iter().any(|one| one == prompt);
    ran.then(|| {
        format!("not_run: reported for a generation that ran prompt={prompt:?} error={error}")
    })
}

/// Returns the violations in a result that was not streamed.
fn text_violations(
    prompt: &str,
    result: &Result<String, Reply>,
    killed: &[SocketAddr],
    prompts: &[String],
) -> Vec<String> {
    match result {
        Ok(text) if *text == engine::text(prompt) => Vec::new(),
        Ok(text) => vec![format!(
            "text: the answer does not match prompt={prompt:?} bytes={}",
            text.len()
        )],
        Err(Reply::Refused(error)) => {
            refusal_violation(prompt, &End::Refused(error.clone()), prompts)
                .into_iter()
                .collect()
        }
        Err(Reply::Unreachable) => Vec::new(),
        Err(Reply::ConnectionLost(node)) if killed.contains(node) => Vec::new(),
        Err(reply) => vec![format!("end: {reply:?} prompt={prompt:?}")],
    }
}

/// Returns the violations in the replies to a booking, given the runs at the plain service.
fn booking_violations(
    body: &str,
    replies: &[Reply],
    killed: &[SocketAddr],
    runs: &[Run],
) -> Vec<String> {
    let ran = runs.iter().filter(|run| run.body == body).count();
    let mut violations = Vec::new();
    let mut report = |what: &str| {
        violations.push(format!(
            "{what} ran={ran} body={body:?} replies={replies:?}"
        ));
    };
    if ran > 1 {
        report("twice: a call with an idempotency key ran more than once");
    }
    let refused = |reply: &Reply| matches!(reply, Reply::Refused(error) if claims_not_run(error));
    let no_effect = |reply: &Reply| refused(reply) || *reply == Reply::Unreachable;
    if ran > 0 && replies.iter().all(no_effect) {
        report("not_run: reported for a call that ran");
    }
    if let Some(last) = replies.iter().rposition(refused) {
        let may_have_run = !replies[..last].iter().all(no_effect);
        let later = replies[last..].iter();
        let answered = later.filter(|reply| matches!(reply, Reply::Answered(..)));
        if ran > 0 && may_have_run && answered.count() == 0 {
            report("not_run: reported after an attempt that may have run");
        }
    }
    let mut answers = replies.iter().filter_map(|reply| match reply {
        Reply::Answered(status, body) => Some((status, body)),
        _ => None,
    });
    if let Some(first) = answers.next() {
        if ran == 0 || *first.0 != StatusCode::OK {
            report("answer: not the answer of a run");
        }
        if answers.any(|other| other != first) {
            report("answer: repeated calls got different answers");
        }
    }
    let unanswered = |reply: &Reply| match reply {
        Reply::ConnectionLost(node) => !killed.contains(node),
        Reply::TimedOut(_) => true,
        _ => false,
    };
    if replies.iter().any(unanswered) {
        report("end: lost connection or timeout");
    }
    violations
}

/// Returns whether a refusal states that nothing was run.
fn claims_not_run(error: &Value) -> bool {
    error["outcome"] == "not_run"
}

/// Returns a violation for each request that a leaving endpoint received after its deadline.
async fn leave_violations(fleet: &Fleet, baseline: Option<Baseline>) -> Vec<String> {
    let Some(Baseline {
        engine,
        plain_endpoint,
    }) = baseline
    else {
        return Vec::new();
    };
    let generations = fleet.engines[engine.0].prompts().await;
    let runs = fleet.plain_endpoints[plain_endpoint.0].runs().await;
    let mut violations = Vec::new();
    for prompt in generations.iter().skip(engine.1) {
        violations.push(format!(
            "leaving: engine {} started prompt={prompt:?}",
            engine.0
        ));
    }
    for run in runs.iter().skip(plain_endpoint.1) {
        violations.push(format!(
            "leaving: plain endpoint {} ran {run:?}",
            plain_endpoint.0
        ));
    }
    violations
}

/// Summarises the results of the callers in one line.
fn summary(records: &[Record], runs: usize) -> String {
    let (mut tokens, mut complete, mut refused, mut reconnects, mut texts) = (0, 0, 0, 0, 0);
    let (mut bookings, mut other) = (0, 0);
    for record in records {
        match record {
            Record::Stream(_, answer) => {
                tokens += answer.tokens.len();
                reconnects += answer.lost_connections.len();
                match answer.end {
                    End::Complete => complete += 1,
                    _ => refused += 1,
                }
            }
            Record::Text(_, Ok(_)) => texts += 1,
            Record::Booking(_, replies)
                if replies.iter().any(|r| matches!(r, Reply::Answered(..))) =>
            {
                bookings += 1;
            }
            Record::Text(..) | Record::Booking(..) => other += 1,
        }
    }
    format!(
        "streams: {complete} complete, {refused} refused or interrupted, \
         {reconnects} connections lost, {tokens} tokens; texts: {texts}; \
         bookings: {bookings} answered, {runs} runs; other refusals: {other}"
    )
}

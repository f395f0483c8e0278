//! `daisyyard try`: a small fleet with stand-ins for the platform, in one process on loopback.

use std::io::Write;
use std::time::Duration;

use daisyyard_standin::engine;
use tokio::signal::unix::{SignalKind, signal};

use crate::audit::{self, Counts};
use crate::caller::{self, CALLER_TOKEN, Reply, Request};
use crate::fleet::{Deployment, Fleet, OPERATOR_TOKEN};
use crate::settings::Timing;
use crate::try_summary::Summary;

/// Tokens of the long answer.
const LONG_ANSWER_TOKENS: u64 = 800;
/// Tokens on one line of the terminal.
const TOKENS_PER_LINE: u64 = 12;
/// Times that a booking is sent through one node at most.
const MAX_BOOKING_ATTEMPTS: u32 = 10;
/// Time between two repeats; the registry writes outcomes every 200 ms.
const BOOKING_RETRY_DELAY: Duration = Duration::from_millis(250);

/// How the fleet is run and what is printed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Options {
    /// The fleet is left running until a signal.
    pub keep_running: bool,
    /// Each token of the long answer is printed as it arrives.
    pub print_tokens: bool,
}

/// Runs the fleet and returns whether every promise that was checked held.
///
/// # Errors
///
/// Fails if the deployment has no such name or the fleet does not start.
pub async fn run(deployment: &str, options: Options) -> anyhow::Result<bool> {
    let deployment = Deployment::find(deployment)?;
    let fleet = Fleet::start(deployment, Timing::default()).await?;
    let violations = check(&fleet, options.print_tokens).await?;
    for violation in &violations {
        println!("violation: {violation}");
    }
    if options.keep_running {
        print!("{}", usage(&fleet));
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    }
    Ok(violations.is_empty())
}

/// Streams a long answer with a short one beside it, books once, and returns every violation.
async fn check(fleet: &Fleet, print_tokens: bool) -> anyhow::Result<Vec<String>> {
    let deployment = fleet.deployment;
    let long = request(
        deployment,
        deployment.long.0,
        LONG_ANSWER_TOKENS,
        deployment.long.1,
    );
    let short = request(deployment, deployment.short, 1, "urgent");
    println!("{}:", long.prompt);
    let mut column = 0;
    let show = |text: &str| {
        if !print_tokens {
            return;
        }
        print!("{text}");
        column += 1;
        if column % TOKENS_PER_LINE == 0 {
            println!();
        }
        // A closed terminal is no reason to fail.
        let _ = std::io::stdout().flush();
    };
    let addresses = fleet.addresses();
    let (streamed, short_answer) = tokio::join!(
        caller::stream(&addresses, 0, &long, show),
        caller::request_text(fleet.nodes[1].address, &short),
    );
    if print_tokens {
        println!();
    }
    let mut violations = audit::stream_violations(&streamed, &long.prompt, &[]);
    if streamed.end != caller::End::Complete {
        violations.push(format!("the long answer is not whole: {:?}", streamed.end));
    }
    println!("{} {short_answer:?}", short.prompt);
    if short_answer != Ok(engine::text(&short.prompt)) {
        violations.push(format!("the short answer is not whole: {short_answer:?}"));
    }
    violations.extend(book(fleet).await);
    let counts = Counts::of(&streamed.tokens, &long.prompt);
    let runs = fleet.runs().await.len();
    print!(
        "{}",
        Summary::new(&streamed, counts, runs, fleet.nodes.len())?
    );
    Ok(violations)
}

/// Sends one booking through two nodes with the same key, and returns every violation.
async fn book(fleet: &Fleet) -> Vec<String> {
    let deployment = fleet.deployment;
    let path = deployment.booking_path();
    let mut replies = Vec::new();
    for node in [&fleet.nodes[0], &fleet.nodes[2]] {
        let mut reply = Reply::Unreachable;
        for _ in 0..MAX_BOOKING_ATTEMPTS {
            let call = caller::call(node.address, &path, "try-booking-1", deployment.booking.1);
            reply = call.await;
            // Until the first answer is recorded, a repeat is told that the outcome is unknown.
            if !matches!(&reply, Reply::Refused(error) if error["outcome"] == "unknown") {
                break;
            }
            println!(
                "POST {path} through {}: outcome unknown, repeated",
                node.address
            );
            tokio::time::sleep(BOOKING_RETRY_DELAY).await;
        }
        match &reply {
            Reply::Answered(status, body) => println!(
                "POST {path} through {}: {status} {}",
                node.address,
                String::from_utf8_lossy(body)
            ),
            other => println!("POST {path} through {}: {other:?}", node.address),
        }
        replies.push(reply);
    }
    let runs = fleet.runs().await.len();
    let mut violations = Vec::new();
    if runs != 1 {
        violations.push(format!("the booking ran {runs} times"));
    }
    if !matches!(replies[0], Reply::Answered(..)) || replies[0] != replies[1] {
        violations.push(format!("the booking's answers differ: {replies:?}"));
    }
    violations
}

/// Returns a question of a deployment.
fn request(deployment: &Deployment, text: &str, length: u64, rank: &'static str) -> Request {
    Request {
        model: deployment.model.0.to_owned(),
        prompt: format!("{text} length={length}"),
        rank,
    }
}

/// Returns commands that work while the fleet runs.
fn usage(fleet: &Fleet) -> String {
    let deployment = fleet.deployment;
    let [first, second, third] = [0, 1, 2].map(|index| fleet.nodes[index].address);
    let body = |text: &str, length: u32, stream: bool| {
        format!(
            "{{\"model\":\"{}\",\"stream\":{stream},\"messages\":[{{\"role\":\"user\",\
             \"content\":\"{text} length={length}\"}}]}}",
            deployment.model.0
        )
    };
    let bearer = format!("-H 'Authorization: Bearer {CALLER_TOKEN}'");
    format!(
        "The fleet runs until Ctrl-C. Addresses, streamed, not streamed, booking:\n\
         curl -s http://{first}/addresses\n\
         curl -sN {bearer} -d '{}' http://{first}/v1/chat/completions\n\
         curl -s {bearer} -d '{}' http://{second}/v1/chat/completions\n\
         curl -s {bearer} -H 'Idempotency-Key: curl-1' -d '{}' http://{third}{}\n\
         Operator commands, such as:\n\
         daisyyard status --node {first} --token {OPERATOR_TOKEN}\n\
         daisyyard report burn --node {first} --node {second} --node {third}\n",
        body(deployment.long.0, 100, true),
        body(deployment.short, 1, false),
        deployment.booking.1,
        deployment.booking_path(),
    )
}

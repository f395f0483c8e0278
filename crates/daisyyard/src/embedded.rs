//! `daisyyard try`: runs a small fleet and stand-ins for the platform in one process on loopback
//! and checks its guarantees.

use std::io::Write;
use std::time::Duration;

use daisyyard_standin::engine;
use tokio::signal::unix::{SignalKind, signal};

use crate::audit::{self, Counts};
use crate::caller::{self, CALLER_TOKEN, Reply, Request};
use crate::fleet::{Deployment, Fleet, OPERATOR_TOKEN};
use crate::settings::Timing;
use crate::try_summary::Summary;

/// Length of the long answer in tokens.
const LONG_ANSWER_TOKENS: u64 = 800;
/// Number of tokens printed on one line of the terminal.
const TOKENS_PER_LINE: u64 = 12;
/// Maximum number of attempts of a booking through one node.
const MAX_BOOKING_ATTEMPTS: u32 = 10;
/// Delay before a booking is retried; the call registry writes outcomes every 200 ms.
const BOOKING_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Options of the command.
#[derive(Debug, Clone, Copy, Default)]
pub struct Options {
    /// Keeps the fleet running after the checks, until SIGINT or SIGTERM.
    pub keep_running: bool,
    /// Prints each token of the long answer as it arrives.
    pub print_tokens: bool,
}

/// Runs the fleet, prints all violations, and returns whether there were none.
///
/// # Errors
///
/// Fails if the deployment is unknown or the fleet does not start.
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

/// Streams a long answer while requesting a short one, makes a booking, and returns all violations.
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
        // The checks go on even if standard output was closed.
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
        violations.push(format!(
            "the long answer is not complete: {:?}",
            streamed.end
        ));
    }
    println!("{} {short_answer:?}", short.prompt);
    if short_answer != Ok(engine::text(&short.prompt)) {
        violations.push(format!(
            "the short answer is wrong or missing: {short_answer:?}"
        ));
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

/// Sends a booking through two nodes with the same idempotency key, and returns all violations.
async fn book(fleet: &Fleet) -> Vec<String> {
    let deployment = fleet.deployment;
    let path = deployment.booking_path();
    let mut replies = Vec::new();
    for node in [&fleet.nodes[0], &fleet.nodes[2]] {
        let mut reply = Reply::Unreachable;
        for _ in 0..MAX_BOOKING_ATTEMPTS {
            let call = caller::call(node.address, &path, "try-booking-1", deployment.booking.1);
            reply = call.await;
            // The outcome of a repeated call is unknown until the first answer has been recorded.
            if !matches!(&reply, Reply::Refused(error) if error["outcome"] == "unknown") {
                break;
            }
            println!(
                "POST {path} through {}: outcome unknown, retrying",
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
        violations.push(format!(
            "the booking was not answered, or its answers differ: {replies:?}"
        ));
    }
    violations
}

/// Builds a request to the model service for an answer of `length` tokens.
fn request(deployment: &Deployment, text: &str, length: u64, rank: &'static str) -> Request {
    Request {
        model: deployment.model.0.to_owned(),
        prompt: format!("{text} length={length}"),
        rank,
    }
}

/// Returns commands that can be used while the fleet runs.
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
        "The fleet runs until Ctrl-C. Addresses, streamed answer, answer in one piece, booking:\n\
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

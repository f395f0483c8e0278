//! Generator of the arrivals of an experiment, which are the same for every policy.

use std::time::Duration;

use daisyyard_core::contract::Rank;
use daisyyard_core::id::{self, AccountId, Fingerprint, RequestId, Tokens};
use daisyyard_derive::value;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64;

use crate::cache::BLOCK_TOKENS;
use crate::deployment::{Deployment, LARGE_ACCOUNT_COUNT, Length, Workload};
use crate::event_queue::Time;
use crate::experiment::Experiment;

/// Number of prompt templates per account and workload.
const TEMPLATE_COUNT: u64 = 2;
/// Maximum length in tokens of the prompt prefix that requests of one template share.
const MAX_SHARED_PREFIX: Tokens = 256;

/// Request as it arrives at its node.
#[value]
pub struct Arrival {
    /// Identifier of the request, which is its index in order of arrival.
    pub id: RequestId,
    /// Time at which the request reaches its node.
    pub at: Time,
    /// Number of the node that receives the request.
    pub node: usize,
    /// Client account of the caller.
    pub account: AccountId,
    /// Whether the account is one of the large ones.
    pub large_account: bool,
    /// Rank of the request.
    pub rank: Rank,
    /// Prompt length in tokens.
    pub prompt: Tokens,
    /// Output length in tokens, hidden from the decisions.
    pub output: Tokens,
    /// Fingerprints of the prompt's leading blocks.
    pub prefix: Vec<Fingerprint>,
}

/// Optional parts of the workload that arrive.
#[value]
pub struct Selection {
    /// Whether the flood of the experiment arrives, if it has one.
    pub flood: bool,
    /// Whether the requests of the large accounts arrive.
    pub large_accounts: bool,
}

/// Poisson source of the requests of one account and workload.
#[derive(Debug)]
struct Source<'a> {
    /// Workload that the requests belong to.
    workload: &'a Workload,
    /// Number of the account.
    account: usize,
    /// Arrival rate between start and end.
    requests_per_s: f64,
    /// Start of the arrivals.
    from: Time,
    /// End of the arrivals.
    until: Time,
    /// Random number generator of this source alone, so that other sources cannot change its
    /// arrivals.
    random: Pcg64,
}

/// Returns the selected arrivals of an experiment in order of time.
pub fn arrivals(
    deployment: &Deployment,
    experiment: &Experiment,
    seed: u64,
    selection: &Selection,
) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (number, workload) in deployment.workloads.iter().enumerate() {
        for account in Deployment::accounts() {
            if account < LARGE_ACCOUNT_COUNT && !selection.large_accounts {
                continue;
            }
            let account_factor = if account < LARGE_ACCOUNT_COUNT {
                experiment.large_account_factor
            } else {
                1.0
            };
            let share = workload.requests_per_s * Deployment::request_share(account);
            for (phase, stage) in experiment.stages().into_iter().enumerate() {
                let mut workload = workload.clone();
                if number == 0 {
                    workload.output.median *= stage.length_factor;
                    workload.output.sigma += experiment.extra_sigma;
                    workload.output.max = experiment.raised_max_output.max(workload.output.max);
                }
                let factor = if number == 0 { stage.rate_factor } else { 1.0 };
                let key = format!("{seed}/{number}/{account}/{phase}");
                let source = Source {
                    workload: &workload,
                    account,
                    requests_per_s: share * account_factor * factor,
                    from: stage.from,
                    until: stage.until,
                    random: Pcg64::seed_from_u64(id::of(&key)),
                };
                source.generate(deployment, &mut all);
            }
            if selection.flood && experiment.flood_rank == Some(workload.rank) {
                let key = format!("{seed}/{number}/{account}/flood");
                let source = Source {
                    workload,
                    account,
                    requests_per_s: share * workload.flood_factor,
                    from: experiment.window.0,
                    until: experiment.window.1,
                    random: Pcg64::seed_from_u64(id::of(&key)),
                };
                source.generate(deployment, &mut all);
            }
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    for (index, arrival) in all.iter_mut().enumerate() {
        arrival.id = index as RequestId;
    }
    all
}

impl Source<'_> {
    /// Appends the arrivals of the source.
    fn generate(mut self, deployment: &Deployment, all: &mut Vec<Arrival>) {
        let Ok(spacing) = Exp::new(self.requests_per_s) else {
            return;
        };
        let mut at = self.from;
        loop {
            at += Duration::from_secs_f64(spacing.sample(&mut self.random));
            if at >= self.until {
                return;
            }
            let prompt = draw(&self.workload.prompt, &mut self.random);
            let output = draw(&self.workload.output, &mut self.random);
            let template = self.random.random_range(0..TEMPLATE_COUNT);
            let block = |index: Tokens| {
                let text = format!("{}/{}/{template}/{index}", self.workload.name, self.account);
                id::fingerprint(0, text.as_bytes())
            };
            let blocks = prompt.min(MAX_SHARED_PREFIX) / BLOCK_TOKENS;
            all.push(Arrival {
                id: 0,
                at,
                node: self.random.random_range(0..deployment.nodes.len()),
                account: id::of(&format!("account-{}", self.account)),
                large_account: self.account < LARGE_ACCOUNT_COUNT,
                rank: self.workload.rank,
                prompt,
                output,
                prefix: (0..blocks).map(block).collect(),
            });
        }
    }
}

/// Draws a random token count.
fn draw(length: &Length, random: &mut Pcg64) -> Tokens {
    let distribution = LogNormal::new(length.median.ln(), length.sigma);
    let tokens = distribution.map_or(length.median, |distribution| distribution.sample(random));
    (tokens.round() as Tokens).clamp(1, length.max)
}

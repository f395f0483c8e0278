//! Report of one experiment.

use daisyyard_core::contract::Rank;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::{Caller, Outcome};
use crate::deployment::Deployment;
use crate::event_queue::Time;
use crate::experiment::Experiment;
use crate::simulation::{self, Policy};
use crate::workload::Selection;
use crate::world::World;

/// Upper bound of the histograms of latency, in microseconds.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Results of one run, with all times in virtual time.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: String,
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the policy.
    pub policy: String,
    /// Seed of the workload.
    pub seed: u64,
    /// Number of requests that arrived.
    pub requests: u64,
    /// Number of requests whose caller received the whole answer.
    pub completed_whole: u64,
    /// Number of requests that were refused and not run.
    pub refused_not_run: u64,
    /// Number of requests whose answer ended early.
    pub interrupted: u64,
    /// Number of tokens that reached a caller twice.
    pub duplicate_tokens: u64,
    /// Number of tokens of completed requests that did not reach their caller.
    pub missing_tokens: u64,
    /// Number of tokens that reached a caller before an earlier one.
    pub reordered_tokens: u64,
    /// Time by which gaps above 250 ms exceeded the token-gap target, summed over all callers.
    pub stall_seconds: f64,
    /// Number of preemptions in engines and of running requests that yielded to others.
    pub preemptions: u64,
    /// Number of running requests that yielded to others.
    pub yields: u64,
    /// Median gap between tokens.
    pub tbt_ms_p50: f64,
    /// 95th percentile of the gap between tokens.
    pub tbt_ms_p95: f64,
    /// 99th percentile of the gap between tokens.
    pub tbt_ms_p99: f64,
    /// 95th percentile of the time to the first token, over urgent requests that received one.
    pub urgent_ttft_ms_p95: f64,
    /// 95th percentile of the time from arrival to the last send to an engine, over urgent requests
    /// that were sent.
    pub urgent_admission_ms_p95: f64,
    /// Number of urgent requests that were not completed.
    pub urgent_missed_unserved: u64,
    /// Number of urgent requests that completed but missed the first-token target.
    pub urgent_missed_first_token: u64,
    /// Number of urgent requests that completed and missed only the token-gap target.
    pub urgent_missed_gap: u64,
    /// Share of urgent requests that met their targets.
    pub urgent_target_met: f64,
    /// Share of deferrable requests that met their targets.
    pub deferrable_target_met: f64,
    /// Deferrable service in the window, relative to a run without the flood.
    pub deferrable_kept: Option<f64>,
    /// Share of the small accounts' requests that met their targets.
    pub small_account_target_met: f64,
    /// The same share in a run without the large accounts.
    pub small_account_target_met_alone: Option<f64>,
    /// Share of the large accounts' requests that met their targets.
    pub large_account_target_met: f64,
    /// Tokens of completed answers received while requests still arrived, per second.
    pub goodput_tokens_per_s: f64,
    /// Total worth of the requests that met their targets.
    pub worth: f64,
}

/// Runs an experiment, and the runs without flood or large accounts that its report compares with.
pub fn measure(
    deployment: &Deployment,
    experiment: &Experiment,
    policy: Policy,
    seed: u64,
) -> Report {
    let run = |flood, large_accounts| {
        let selection = Selection {
            flood,
            large_accounts,
        };
        simulation::run(deployment, experiment, policy, seed, &selection)
    };
    let world = run(true, true);
    let mut report = summarise(&world, policy, seed);
    if experiment.flood_rank.is_some() {
        let without_flood = run(false, true).meter.service_in_window(Rank::Deferrable);
        let kept = world.meter.service_in_window(Rank::Deferrable) / without_flood.max(1.0);
        report.deferrable_kept = Some(kept);
    }
    if experiment.large_account_factor > 1.0 {
        let alone = summarise(&run(true, false), policy, seed);
        report.small_account_target_met_alone = Some(alone.small_account_target_met);
    }
    report
}

/// Summarises what the callers of a run received.
pub fn summarise(world: &World, policy: Policy, seed: u64) -> Report {
    let count = |outcome: Outcome| {
        let ended = world
            .callers
            .iter()
            .filter(|caller| caller.outcome == Some(outcome));
        ended.count() as u64
    };
    let sum = |part: fn(&Caller) -> u64| world.callers.iter().map(part).sum();
    let completed = |caller: &Caller| caller.outcome == Some(Outcome::Completed);
    let pairs = || world.callers.iter().zip(&world.arrivals);
    let missing = pairs().filter(|(caller, _)| completed(caller));
    let missing = missing.map(|(caller, arrival)| arrival.output.abs_diff(caller.received_tokens));
    let timely: u64 = pairs()
        .filter(|(caller, _)| completed(caller))
        .map(|(caller, _)| caller.tokens_during_arrivals)
        .sum();
    let [unserved, missed_first_token, missed_gap] = count_missed(world);
    let preemptions: u64 = world
        .engines
        .iter()
        .map(|engine| engine.stats().preemptions)
        .sum();
    let met: Vec<bool> = pairs()
        .map(|(caller, arrival)| caller.met_targets(arrival.at, world.contract(arrival.id)))
        .collect();
    let worth = world.arrivals.iter().zip(&met).filter(|(_, met)| **met);
    let worth = worth.map(|(arrival, _)| world.contract(arrival.id).worth);
    let share = |of: &dyn Fn(&crate::workload::Arrival) -> bool| {
        let of = world
            .arrivals
            .iter()
            .zip(&met)
            .filter(|(arrival, _)| of(arrival));
        let (all, met) = of.fold((0_u64, 0_u64), |(all, sum), (_, met)| {
            (all + 1, sum + u64::from(*met))
        });
        // Without requests, no target was missed.
        if all == 0 {
            1.0
        } else {
            met as f64 / all as f64
        }
    };
    Report {
        experiment: world.experiment.name.to_owned(),
        deployment: world.deployment.name.to_owned(),
        policy: policy.name().to_owned(),
        seed,
        requests: world.arrivals.len() as u64,
        completed_whole: count(Outcome::Completed),
        refused_not_run: count(Outcome::Refused),
        interrupted: count(Outcome::Interrupted),
        duplicate_tokens: sum(|caller| caller.duplicate_tokens),
        missing_tokens: missing.sum(),
        reordered_tokens: sum(|caller| caller.reordered_tokens),
        stall_seconds: world
            .callers
            .iter()
            .map(|caller| caller.stall_time.as_secs_f64())
            .sum(),
        preemptions: preemptions + world.meter.yields,
        yields: world.meter.yields,
        tbt_ms_p50: world.meter.gap_ms(0.5),
        tbt_ms_p95: world.meter.gap_ms(0.95),
        tbt_ms_p99: world.meter.gap_ms(0.99),
        urgent_ttft_ms_p95: urgent_p95_ms(world, |caller| caller.first_token_at),
        urgent_admission_ms_p95: urgent_p95_ms(world, |caller| caller.sent_at),
        urgent_missed_unserved: unserved,
        urgent_missed_first_token: missed_first_token,
        urgent_missed_gap: missed_gap,
        urgent_target_met: share(&|arrival| arrival.rank == Rank::Urgent),
        deferrable_target_met: share(&|arrival| arrival.rank == Rank::Deferrable),
        deferrable_kept: None,
        small_account_target_met: share(&|arrival| !arrival.large_account),
        small_account_target_met_alone: None,
        large_account_target_met: share(&|arrival| arrival.large_account),
        goodput_tokens_per_s: timely as f64 / world.experiment.duration.as_secs_f64(),
        worth: worth.sum(),
    }
}

/// Returns the 95th percentile of the delay from arrival to the given time, over urgent requests
/// that have one, in milliseconds.
fn urgent_p95_ms(world: &World, time: fn(&Caller) -> Option<Time>) -> f64 {
    let bounds = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3);
    let mut times = bounds.expect("the bounds are valid");
    for (caller, arrival) in world.callers.iter().zip(&world.arrivals) {
        if let Some(time) = time(caller)
            && arrival.rank == Rank::Urgent
        {
            times.saturating_record(time.saturating_sub(arrival.at).as_micros() as u64);
        }
    }
    times.value_at_quantile(0.95) as f64 / 1e3
}

/// Counts the urgent requests that were not completed, that missed the first-token target, and that
/// missed only the token-gap target.
fn count_missed(world: &World) -> [u64; 3] {
    let mut counts = [0; 3];
    for (caller, arrival) in world.callers.iter().zip(&world.arrivals) {
        let contract = world.contract(arrival.id);
        if arrival.rank != Rank::Urgent || caller.met_targets(arrival.at, contract) {
            continue;
        }
        let first = caller
            .first_token_at
            .map(|first| first.saturating_sub(arrival.at));
        let cause = match first {
            Some(first) if caller.outcome == Some(Outcome::Completed) => {
                if first > contract.first_token { 1 } else { 2 }
            }
            _ => 0,
        };
        counts[cause] += 1;
    }
    counts
}

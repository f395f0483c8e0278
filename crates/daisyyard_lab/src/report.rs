//! The report of one experiment.

use daisyyard_core::contract::Rank;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::agenda::At;
use crate::bench::{self, Policy};
use crate::caller::{Caller, End};
use crate::deployment::Deployment;
use crate::experiment::Experiment;
use crate::workload::Parts;
use crate::world::World;

/// Longest time to the first token that is told apart, in microseconds.
const LONGEST_US: u64 = 3_600_000_000;

/// Results of one run; times are in virtual time.
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
    /// Requests that arrived.
    pub requests: u64,
    /// Requests whose caller got the whole answer.
    pub completed_whole: u64,
    /// Requests that were refused and not run.
    pub refused_not_run: u64,
    /// Requests whose answer ended early.
    pub interrupted: u64,
    /// Tokens that reached a caller twice.
    pub duplicate_tokens: u64,
    /// Tokens that a caller whose request completed never got.
    pub missing_tokens: u64,
    /// Tokens that reached a caller before an earlier one.
    pub reordered_tokens: u64,
    /// Time that gaps above 250 ms took beyond the token-gap target, over all callers.
    pub stall_seconds: f64,
    /// Preemptions in engines and requests that the decisions took back.
    pub preemptions: u64,
    /// Requests that the decisions took back.
    pub yields: u64,
    /// Median gap between tokens.
    pub tbt_ms_p50: f64,
    /// 95th percentile of the gap between tokens.
    pub tbt_ms_p95: f64,
    /// 99th percentile of the gap between tokens.
    pub tbt_ms_p99: f64,
    /// 95th percentile of the time to the first token of urgent requests that got one.
    pub urgent_ttft_ms_p95: f64,
    /// 95th percentile of the time from arrival to sending of urgent requests that were sent.
    pub urgent_admission_ms_p95: f64,
    /// Urgent requests that missed a target because they were refused or interrupted.
    pub urgent_missed_unserved: u64,
    /// Urgent requests that were served and missed the first-token target.
    pub urgent_missed_first_token: u64,
    /// Urgent requests that missed only the token-gap target.
    pub urgent_missed_gap: u64,
    /// Share of urgent requests that met their targets.
    pub urgent_target_met: f64,
    /// Share of deferrable requests that met their targets.
    pub deferrable_target_met: f64,
    /// Deferrable service in the flood, divided by the same without the flood.
    pub deferrable_kept: Option<f64>,
    /// Share of the small accounts' requests that met their targets.
    pub small_account_target_met: f64,
    /// The same without the large accounts.
    pub small_account_target_met_alone: Option<f64>,
    /// Share of the large accounts' requests that met their targets.
    pub large_account_target_met: f64,
    /// Tokens of whole answers that arrived while requests still came in, per second.
    pub goodput_tokens_per_s: f64,
    /// Worth of the requests that met their targets.
    pub worth: f64,
}

/// Runs an experiment and its comparison runs.
pub fn measure(
    deployment: &Deployment,
    experiment: &Experiment,
    policy: Policy,
    seed: u64,
) -> Report {
    let run = |flood, large| {
        let parts = Parts { flood, large };
        bench::run(deployment, experiment, policy, seed, &parts)
    };
    let world = run(true, true);
    let mut report = summarise(&world, policy, seed);
    if experiment.flood.is_some() {
        let calm = run(false, true).meter.service(Rank::Deferrable);
        let kept = world.meter.service(Rank::Deferrable) / calm.max(1.0);
        report.deferrable_kept = Some(kept);
    }
    if experiment.large > 1.0 {
        let alone = summarise(&run(true, false), policy, seed);
        report.small_account_target_met_alone = Some(alone.small_account_target_met);
    }
    report
}

/// Summarises what the callers of a run received.
pub fn summarise(world: &World, policy: Policy, seed: u64) -> Report {
    let count = |end: End| {
        let ended = world.callers.iter().filter(|one| one.end == Some(end));
        ended.count() as u64
    };
    let sum = |part: fn(&Caller) -> u64| world.callers.iter().map(part).sum();
    let whole = |one: &Caller| one.end == Some(End::Whole);
    let pairs = || world.callers.iter().zip(&world.arrivals);
    let missing = pairs().filter(|(caller, _)| whole(caller));
    let missing = missing.map(|(caller, arrival)| arrival.output.abs_diff(caller.received));
    let timely: u64 = pairs()
        .filter(|(caller, _)| whole(caller))
        .map(|(caller, _)| caller.timely)
        .sum();
    let [unserved, late, slow] = missed(world);
    let preemptions: u64 = world
        .engines
        .iter()
        .map(|one| one.gauge().preemptions)
        .sum();
    let met: Vec<bool> = pairs()
        .map(|(caller, arrival)| caller.met(arrival.at, world.contract(arrival.id)))
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
        // Without requests no target was missed.
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
        completed_whole: count(End::Whole),
        refused_not_run: count(End::Refused),
        interrupted: count(End::Interrupted),
        duplicate_tokens: sum(|caller| caller.duplicates),
        missing_tokens: missing.sum(),
        reordered_tokens: sum(|caller| caller.reordered),
        stall_seconds: world
            .callers
            .iter()
            .map(|one| one.stalled.as_secs_f64())
            .sum(),
        preemptions: preemptions + world.meter.yields,
        yields: world.meter.yields,
        tbt_ms_p50: world.meter.gap_ms(0.5),
        tbt_ms_p95: world.meter.gap_ms(0.95),
        tbt_ms_p99: world.meter.gap_ms(0.99),
        urgent_ttft_ms_p95: late_ms(world, |caller| caller.first),
        urgent_admission_ms_p95: late_ms(world, |caller| caller.sent),
        urgent_missed_unserved: unserved,
        urgent_missed_first_token: late,
        urgent_missed_gap: slow,
        urgent_target_met: share(&|arrival| arrival.rank == Rank::Urgent),
        deferrable_target_met: share(&|arrival| arrival.rank == Rank::Deferrable),
        deferrable_kept: None,
        small_account_target_met: share(&|arrival| !arrival.large),
        small_account_target_met_alone: None,
        large_account_target_met: share(&|arrival| arrival.large),
        goodput_tokens_per_s: timely as f64 / world.experiment.duration.as_secs_f64(),
        worth: worth.sum(),
    }
}

/// Returns the 95th percentile of a time after the arrival of urgent requests in milliseconds.
fn late_ms(world: &World, time: fn(&Caller) -> Option<At>) -> f64 {
    let bounds = Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3);
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

/// Counts the urgent requests that were not served, that began late, and that were only slow.
fn missed(world: &World) -> [u64; 3] {
    let mut counts = [0; 3];
    for (caller, arrival) in world.callers.iter().zip(&world.arrivals) {
        let contract = world.contract(arrival.id);
        if arrival.rank != Rank::Urgent || caller.met(arrival.at, contract) {
            continue;
        }
        let first = caller.first.map(|first| first.saturating_sub(arrival.at));
        let cause = match first {
            Some(first) if caller.end == Some(End::Whole) => {
                if first > contract.first_token {
                    1
                } else {
                    2
                }
            }
            _ => 0,
        };
        counts[cause] += 1;
    }
    counts
}

//! Guards against a collapse of goodput, of urgent requests or of the deferrable floor when demand
//! exceeds the capacity.

mod support;

use std::time::Duration;

use daisyyard_core::contract::Rank;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use support::{Job, Simulation, Tally, admission_request};

/// Simulates 120 s with exponential interarrival times and output lengths, by rank, urgent first.
fn run(rates_per_s: [f64; 2], mean_tokens: [f64; 2], memory: u64, seed: u64) -> Tally {
    let mut simulation = Simulation::new(64, memory);
    let mut random = Pcg32::seed_from_u64(seed);
    let mut exponential = |mean: f64| -mean * (1.0 - random.random::<f64>()).ln();
    let start = simulation.now;
    let mut next_arrivals = [0, 1].map(|rank| exponential(1.0 / rates_per_s[rank]));
    let mut request = 0;
    while simulation.now - start < Duration::from_mins(2) {
        let elapsed = (simulation.now - start).as_secs_f64();
        for rank in Rank::ALL {
            let index = rank as usize;
            while next_arrivals[index] <= elapsed {
                next_arrivals[index] += exponential(1.0 / rates_per_s[index]);
                request += 1;
                let length = exponential(mean_tokens[index]) as u64 + 1;
                let request = admission_request(request, request % 10, rank, 256, simulation.now);
                simulation.ask(Job { request, length });
            }
        }
        simulation.step();
    }
    println!("{:?}", simulation.tally);
    simulation.tally
}

/// Demand of three times the capacity gives at least 95 % of the goodput at the capacity.
#[test]
fn goodput_holds() {
    // 64 generations decode 64 tokens in 24 ms; at 300 tokens each, about 8.8 complete a second.
    let sum = |tally: &Tally| tally.completed_tokens.values().sum::<u64>();
    let at_capacity = sum(&run([2.0, 6.8], [300.0, 300.0], 131_072, 1));
    let at_triple = sum(&run([6.0, 20.4], [300.0, 300.0], 131_072, 1));
    assert!(
        at_triple as f64 >= 0.95 * at_capacity as f64,
        "{at_triple} of {at_capacity}"
    );
}

/// A flood of deferrable requests neither delays urgent requests nor has them refused.
#[test]
fn urgent_in_deferrable_flood() {
    let tally = run([2.0, 30.0], [100.0, 600.0], 131_072, 2);
    assert!(tally.refused[0] * 100 <= tally.completed[0], "{tally:?}");
    assert_eq!(tally.late_grants[0], 0, "{tally:?}");
}

/// In a flood of urgent requests, deferrable ones keep about their floor of a tenth of the slots.
#[test]
fn floor_in_urgent_flood() {
    let tally = run([40.0, 5.0], [300.0, 300.0], 131_072, 3);
    let share = tally.completed[1] as f64 / (tally.completed[0] + tally.completed[1]) as f64;
    assert!((0.07..0.2).contains(&share), "{share} of {tally:?}");
    assert!(tally.late_grants[0] * 50 <= tally.completed[0], "{tally:?}");
}

/// Outputs that are longer than expected do not exceed scarce memory, and cause at most one yield
/// per twenty completed requests.
#[test]
fn scarce_memory() {
    let tally = run([4.0, 4.0], [400.0, 800.0], 16_384, 4);
    assert_eq!(tally.memory_overruns, 0, "{tally:?}");
    assert!(
        tally.yielded * 20 <= tally.completed[0] + tally.completed[1],
        "{tally:?}"
    );
}

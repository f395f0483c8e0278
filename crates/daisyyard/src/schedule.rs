//! The faults of a run of the embedded fleet, drawn from a seed.

use std::time::Duration;

use daisyyard_standin::outage::Faults;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time for which callers ask and faults begin, in milliseconds.
pub const LENGTH_MS: u64 = 10_000;
/// Faults of engines in a run.
const ENGINE_FAULTS: usize = 14;
/// Faults of the configuration service in a run.
const STORE_FAULTS: u64 = 3;
/// Time after which an endpoint that is leaving receives no new work.
const LEAVE: u64 = 3_000;

/// What happens to the fleet.
#[derive(Debug, Clone)]
pub enum Action {
    /// An engine crashes.
    Crash(usize),
    /// A new process takes the place of an engine.
    Replace(usize),
    /// The open connections of an engine go silent.
    Silence(usize),
    /// An engine answers nothing any more.
    Hang(usize),
    /// The open connections of an engine end.
    Cut(usize),
    /// An engine refuses new generations; the flag says whether with a proof that none ran.
    Refuse(usize, bool),
    /// An engine accepts new generations again.
    Accept(usize),
    /// The configuration service has these faults.
    Store(Faults),
    /// An engine and a plain endpoint are marked as leaving.
    Leave(usize, usize),
    /// From here on, the engine and the plain endpoint that are leaving receive nothing new.
    Left(usize, usize),
    /// A node is drained.
    Drain,
    /// A node ends without warning.
    Kill,
    /// Callers and the list learn that the node is gone, and a new node starts.
    Renew,
}

/// When an action happens, after the start.
pub type Step = (Duration, Action);

/// Draws the faults of a run in a fleet of `engines` engines and `services` plain endpoints.
pub fn draw(seed: u64, engines: usize, services: usize) -> Vec<Step> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut add = |at: u64, action| steps.push((Duration::from_millis(at), action));
    let leaving = (
        random.random_range(0..engines),
        random.random_range(0..services),
    );
    let marked = random.random_range(500..5_000);
    add(marked, Action::Leave(leaving.0, leaving.1));
    add(marked + LEAVE, Action::Left(leaving.0, leaving.1));
    for _ in 0..ENGINE_FAULTS {
        // The leaving engine stays up, so that work sent to it is seen.
        let engine = (leaving.0 + random.random_range(1..engines)) % engines;
        let at = random.random_range(300..LENGTH_MS - 1_000);
        let until = at + random.random_range(200..2_000);
        match random.random_range(0..6) {
            0 => {
                add(at, Action::Crash(engine));
                add(until, Action::Replace(engine));
            }
            1 => {
                add(at, Action::Hang(engine));
                add(until, Action::Replace(engine));
            }
            2 => add(at, Action::Silence(engine)),
            3 => add(at, Action::Cut(engine)),
            proof => {
                add(at, Action::Refuse(engine, proof == 4));
                add(until, Action::Accept(engine));
            }
        }
    }
    for window in 0..STORE_FAULTS {
        let at = 500 + window * 3_000 + random.random_range(0..1_000);
        let until = at + random.random_range(300..1_800);
        let plan = match random.random_range(0..3) {
            0 => Faults {
                down: true,
                ..Faults::default()
            },
            1 => Faults {
                delay: Duration::from_millis(random.random_range(50..1_000)),
                ..Faults::default()
            },
            _ => Faults {
                lose_responses: true,
                ..Faults::default()
            },
        };
        add(at, Action::Store(plan));
        add(until, Action::Store(Faults::default()));
    }
    add(random.random_range(1_500..5_000), Action::Drain);
    let killed = random.random_range(3_000..8_000);
    add(killed, Action::Kill);
    add(killed + random.random_range(100..1_000), Action::Renew);
    steps.sort_by_key(|(at, _)| *at);
    steps
}

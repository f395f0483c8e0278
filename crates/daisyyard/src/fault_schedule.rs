//! Schedule of the faults injected into the embedded fleet, drawn from a seed.

use std::time::Duration;

use daisyyard_standin::outage::Faults;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time for which callers send requests, in milliseconds; faults begin within it.
pub const DURATION_MS: u64 = 10_000;
/// Number of engine faults in a run.
const ENGINE_FAULTS: usize = 14;
/// Number of faults of the configuration service in a run.
const STORE_FAULTS: u64 = 3;
/// Time after which an endpoint marked as leaving must receive no new work, in milliseconds.
const LEAVE_TIMEOUT_MS: u64 = 3_000;

/// Action on the fleet: a fault, its end, or a planned change.
#[derive(Debug, Clone)]
pub enum Action {
    /// Crashes an engine.
    Crash(usize),
    /// Replaces an engine by a new process at another address.
    ReplaceEngine(usize),
    /// Keeps the open streams of an engine open, but sends nothing more on them.
    Silence(usize),
    /// Makes an engine accept connections without answering.
    Hang(usize),
    /// Closes the open streams of an engine early.
    Disconnect(usize),
    /// Makes an engine refuse new generations; the flag says whether the refusals state that
    /// nothing was run.
    Refuse(usize, bool),
    /// Lets an engine accept new generations again.
    Accept(usize),
    /// Sets the faults of the configuration service.
    StoreFaults(Faults),
    /// Marks an engine and a plain endpoint as leaving.
    Leave(usize, usize),
    /// Ends the time for which the leaving engine and plain endpoint may receive new work.
    LeaveDeadline(usize, usize),
    /// Drains a node and starts another one.
    DrainNode,
    /// Kills a node; callers and the instance list still have its address.
    KillNode,
    /// Marks the killed node as leaving in the instance list, starts a new node and updates the
    /// addresses that callers use.
    ReplaceNode,
}

/// Action with its time since the start of the run.
pub type Step = (Duration, Action);

/// Draws the actions of a run for `engines` engines and `services` plain endpoints, in the order of
/// their times.
pub fn draw(seed: u64, engines: usize, services: usize) -> Vec<Step> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut add = |at: u64, action| steps.push((Duration::from_millis(at), action));
    let leaving = (
        random.random_range(0..engines),
        random.random_range(0..services),
    );
    let leave_at = random.random_range(500..5_000);
    add(leave_at, Action::Leave(leaving.0, leaving.1));
    add(
        leave_at + LEAVE_TIMEOUT_MS,
        Action::LeaveDeadline(leaving.0, leaving.1),
    );
    for _ in 0..ENGINE_FAULTS {
        // The leaving engine gets no faults, so that work sent to it after its deadline is noticed.
        let engine = (leaving.0 + random.random_range(1..engines)) % engines;
        let at = random.random_range(300..DURATION_MS - 1_000);
        let end_at = at + random.random_range(200..2_000);
        match random.random_range(0..6) {
            0 => {
                add(at, Action::Crash(engine));
                add(end_at, Action::ReplaceEngine(engine));
            }
            1 => {
                add(at, Action::Hang(engine));
                add(end_at, Action::ReplaceEngine(engine));
            }
            2 => add(at, Action::Silence(engine)),
            3 => add(at, Action::Disconnect(engine)),
            refusal => {
                add(at, Action::Refuse(engine, refusal == 4));
                add(end_at, Action::Accept(engine));
            }
        }
    }
    for window in 0..STORE_FAULTS {
        let at = 500 + window * 3_000 + random.random_range(0..1_000);
        let end_at = at + random.random_range(300..1_800);
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
        add(at, Action::StoreFaults(plan));
        add(end_at, Action::StoreFaults(Faults::default()));
    }
    add(random.random_range(1_500..5_000), Action::DrainNode);
    let kill_at = random.random_range(3_000..8_000);
    add(kill_at, Action::KillNode);
    add(
        kill_at + random.random_range(100..1_000),
        Action::ReplaceNode,
    );
    steps.sort_by_key(|(at, _)| *at);
    steps
}

//! The faults of a soak: what fails when and for how long, drawn from a seed.

use std::time::Duration;

use daisyyard_standin::platform_engine::Mode as EngineMode;
use daisyyard_standin::platform_store::Mode as StoreMode;
use daisyyard_standin::proxy::Link;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Gateways of a soak.
pub(crate) const GATEWAYS: usize = 3;
/// Model engines of a soak.
pub(crate) const ENGINES: usize = 3;
/// Plain endpoints of a soak.
pub(crate) const ENDPOINTS: usize = 2;

/// Times between the starts of two faults, in milliseconds. Faults last longer, so that they overlap.
const GAPS: std::ops::Range<u64> = 100..700;
/// Times that faults last, in milliseconds.
const LENGTHS: std::ops::Range<u64> = 200..2_000;
/// Longest delay of a slow link, in milliseconds.
const LONGEST_DELAY: u64 = 300;

/// Something that fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The store treats calls in another way.
    Store(StoreMode),
    /// The store forgets its history.
    Compact,
    /// The connections of a gateway to the store are disturbed.
    StoreLink(usize, Link),
    /// The connections to an engine or endpoint are disturbed.
    EngineLink(usize, Link),
    /// An engine or endpoint treats requests in another way.
    Engine(usize, EngineMode),
    /// An engine or endpoint announces that it leaves, and comes back.
    Leave(usize),
    /// A gateway is ended without warning.
    Kill(usize),
    /// A gateway is suspended.
    Pause(usize),
    /// A gateway is told to stop.
    Stop(usize),
    /// A gateway is told that its settings may have changed.
    Reload(usize),
    /// The operator writes a configuration.
    Configure,
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Event {
    /// Time from the start of the soak.
    pub(crate) at: Duration,
    /// Time that the fault lasts.
    pub(crate) lasts: Duration,
    /// The fault.
    pub(crate) fault: Fault,
}

/// Draws the faults of a soak.
pub(crate) fn draw(seed: u64, length: Duration) -> Vec<Event> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(random.random_range(GAPS));
        if at >= length {
            return events;
        }
        events.push(Event {
            at,
            lasts: Duration::from_millis(random.random_range(LENGTHS)),
            fault: fault(&mut random),
        });
    }
}

/// Draws one fault.
fn fault(random: &mut Pcg64Mcg) -> Fault {
    let gateway = random.random_range(0..GATEWAYS);
    let engine = random.random_range(0..ENGINES + ENDPOINTS);
    let links = [
        Link::Slow(Duration::from_millis(random.random_range(5..LONGEST_DELAY))),
        Link::Silent,
        Link::OneWay,
        Link::Broken,
    ];
    let link = *links.choose(random).unwrap_or(&Link::Silent);
    let modes = [
        EngineMode::Declining,
        EngineMode::Failing,
        EngineMode::Hanging,
        EngineMode::Mismatching,
    ];
    let mode = *modes.choose(random).unwrap_or(&EngineMode::Failing);
    match random.random_range(0..13) {
        0 => Fault::Store(StoreMode::Declining),
        1 => Fault::Store(StoreMode::Silent),
        2 => Fault::Compact,
        3 => Fault::StoreLink(gateway, link),
        4 | 5 => Fault::EngineLink(engine, link),
        6 => Fault::Engine(engine, mode),
        7 => Fault::Leave(engine),
        8 => Fault::Kill(gateway),
        9 => Fault::Pause(gateway),
        10 => Fault::Stop(gateway),
        11 => Fault::Reload(gateway),
        _ => Fault::Configure,
    }
}

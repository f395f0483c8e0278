//! Schedule of the faults injected in a soak, drawn from a seed.

use std::time::Duration;

use daisyyard_standin::platform_engine::{Mode as EngineMode, StopReply, Stopping};
use daisyyard_standin::platform_store::Mode as StoreMode;
use daisyyard_standin::proxy::Link;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Number of gateways.
pub(crate) const GATEWAYS: usize = 3;
/// Number of engines of the model service.
pub(crate) const ENGINES: usize = 3;
/// Number of endpoints of the plain service.
pub(crate) const PLAIN_ENDPOINTS: usize = 2;

/// Range of the times between the starts of two faults, in milliseconds. Most faults last longer,
/// so that they overlap.
const START_INTERVAL_MS: std::ops::Range<u64> = 100..700;
/// Range of the durations of faults, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 200..2_000;
/// Range of the times between two starts of all endpoints, in milliseconds.
const COLD_INTERVAL_MS: std::ops::Range<u64> = 4_000..9_000;
/// Seed of the times of these starts, apart from that of the other faults, which seeds of older runs keep.
const COLD_SEED: u64 = 0x636f_6c64;
/// Time between two waves of leaving engines.
const WAVE_INTERVAL: Duration = Duration::from_millis(3_300);
/// Range of the notices of leaving engines, in milliseconds.
const NOTICE_MS: std::ops::Range<u64> = 1_500..2_100;
/// Range of the times between the starts of two crowds, in milliseconds.
const CROWD_INTERVAL_MS: std::ops::Range<u64> = 1_000..4_000;
/// Range of the times between the starts of two floods, in milliseconds.
const FLOOD_INTERVAL_MS: std::ops::Range<u64> = 1_500..5_000;
/// Seed of these times, so that they differ from those of other series.
const FLOOD_SEED: u64 = 0x666c_6f6f_6473;
/// Range of the times between two limits that an endpoint states, in milliseconds.
const LIMIT_INTERVAL_MS: std::ops::Range<u64> = 1_500..5_000;
/// Seed of these times, so that they differ from those of other series.
const LIMIT_SEED: u64 = 0x006c_696d_6974;
/// Range of the times between two series of responses without a length or chunks, in milliseconds.
const UNFRAMED_INTERVAL_MS: std::ops::Range<u64> = 500..2_500;
/// Factor on the durations of these, so that streams begin and are stopped within one.
const UNFRAMED_DURATION_FACTOR: u32 = 3;
/// Seed of these times, so that they differ from those of other series.
const UNFRAMED_SEED: u64 = 0x0066_7261_6d65;
/// Upper bound of the delay on a slow link, in milliseconds.
const MAX_LINK_DELAY_MS: u64 = 300;

/// Range of the times between two evacuations, in milliseconds.
const EVACUATION_INTERVAL_MS: std::ops::Range<u64> = 500..4_000;

/// Fault, with the number of the gateway or endpoint that it affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The store handles calls in this mode.
    Store(StoreMode),
    /// The store compacts its history, so that older revisions can no longer be read.
    Compact,
    /// The connections of a gateway to the store are in this state.
    StoreLink(usize, Link),
    /// The connections to an endpoint are in this state.
    EndpointLink(usize, Link),
    /// An endpoint handles requests in this mode.
    Endpoint(usize, EngineMode),
    /// An endpoint is listed as draining, then as ready again.
    Leave(usize),
    /// An endpoint is listed as draining, ends after the notice, and is started anew.
    Reclaim(usize),
    /// A gateway is killed.
    Kill(usize),
    /// A gateway is suspended, then resumed.
    Pause(usize),
    /// A gateway starts a planned stop.
    Stop(usize),
    /// A gateway reloads its settings.
    Reload(usize),
    /// A new version of the configuration is written.
    Configure,
    /// All endpoints have started anew and are cold.
    Cold,
    /// One of the zones is evacuated.
    Evacuate,
    /// A crowd of callers sends bodies to a gateway without their end.
    Crowd(usize),
    /// One account sends a gateway many requests at once.
    Flood(usize),
    /// An endpoint states that it takes few requests from all gateways together.
    Limit(usize),
    /// An engine treats the orders to stop a run in this way.
    Stopping(usize, Stopping),
}

/// Fault with its start and duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Event {
    /// Start of the fault, from the start of the soak.
    pub(crate) at: Duration,
    /// Duration of the fault, where it has one.
    pub(crate) duration: Duration,
    /// Fault to inject.
    pub(crate) fault: Fault,
}

/// Draws the faults of a soak; `period` is the time within which they begin.
pub(crate) fn draw(seed: u64, period: Duration) -> Vec<Event> {
    let mut events = draw_faults(seed, period);
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ COLD_SEED);
    let mut at = Duration::from_millis(random.random_range(COLD_INTERVAL_MS));
    while at < period {
        events.push(Event {
            at,
            duration: Duration::from_secs(1),
            fault: Fault::Cold,
        });
        at += Duration::from_millis(random.random_range(COLD_INTERVAL_MS));
    }
    events.extend(draw_evacuations(seed, period));
    events.extend(draw_crowds(seed, period));
    events.extend(draw_floods(seed, period));
    events.extend(draw_limits(seed, period));
    events.extend(draw_unframed(seed, period));
    events.sort_by_key(|event| event.at);
    events
}

/// Draws the faults that affect one process or link, or the store.
fn draw_faults(seed: u64, period: Duration) -> Vec<Event> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(random.random_range(START_INTERVAL_MS));
        if at >= period {
            events.extend(draw_waves(seed, period));
            events.sort_by_key(|event| event.at);
            return events;
        }
        events.push(Event {
            at,
            duration: Duration::from_millis(random.random_range(DURATION_MS)),
            fault: draw_fault(&mut random),
        });
    }
}

/// Draws the evacuations of a soak.
fn draw_evacuations(seed: u64, period: Duration) -> Vec<Event> {
    draw_series(seed, period, EVACUATION_INTERVAL_MS, |_| Fault::Evacuate)
}

/// Draws the crowds of a soak.
fn draw_crowds(seed: u64, period: Duration) -> Vec<Event> {
    let crowd = |random: &mut Pcg64Mcg| Fault::Crowd(random.random_range(0..GATEWAYS));
    draw_series(seed, period, CROWD_INTERVAL_MS, crowd)
}

/// Draws the floods of a soak.
fn draw_floods(seed: u64, period: Duration) -> Vec<Event> {
    let flood = |random: &mut Pcg64Mcg| Fault::Flood(random.random_range(0..GATEWAYS));
    draw_series(seed ^ FLOOD_SEED, period, FLOOD_INTERVAL_MS, flood)
}

/// Draws the limits that endpoints state in a soak.
fn draw_limits(seed: u64, period: Duration) -> Vec<Event> {
    let limit =
        |random: &mut Pcg64Mcg| Fault::Limit(random.random_range(0..ENGINES + PLAIN_ENDPOINTS));
    draw_series(seed ^ LIMIT_SEED, period, LIMIT_INTERVAL_MS, limit)
}

/// Draws the times in which engines send responses without a length or chunks, and lose answers to orders.
fn draw_unframed(seed: u64, period: Duration) -> Vec<Event> {
    let unframed = |random: &mut Pcg64Mcg| {
        let replies = [StopReply::Accurate, StopReply::Lost, StopReply::Blank];
        let stopping = Stopping {
            unframed: true,
            reply: *replies.choose(random).unwrap_or(&StopReply::Lost),
        };
        Fault::Stopping(random.random_range(0..ENGINES), stopping)
    };
    let mut events = draw_series(seed ^ UNFRAMED_SEED, period, UNFRAMED_INTERVAL_MS, unframed);
    for event in &mut events {
        event.duration *= UNFRAMED_DURATION_FACTOR;
    }
    events
}

/// Draws a series of faults of one kind. It has a generator of its own, so that the other faults of a seed
/// stay the same.
fn draw_series(
    seed: u64,
    period: Duration,
    interval_ms: std::ops::Range<u64>,
    fault: impl Fn(&mut Pcg64Mcg) -> Fault,
) -> Vec<Event> {
    let mut random = Pcg64Mcg::seed_from_u64(!seed);
    let mut events = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(random.random_range(interval_ms.clone()));
        if at >= period {
            return events;
        }
        events.push(Event {
            at,
            duration: Duration::from_millis(random.random_range(DURATION_MS)),
            fault: fault(&mut random),
        });
    }
}

/// Draws the waves in which engines are reclaimed one after another. They have a generator of their own, so
/// that the other faults of a seed do not depend on them.
fn draw_waves(seed: u64, period: Duration) -> Vec<Event> {
    let mut random = Pcg64Mcg::seed_from_u64(!seed);
    let count = period.as_millis() / WAVE_INTERVAL.as_millis();
    let first = random.random_range(0..ENGINES);
    let waves = (1..=count as u32).map(|wave| Event {
        at: WAVE_INTERVAL * wave,
        duration: Duration::from_millis(random.random_range(NOTICE_MS)),
        fault: Fault::Reclaim((first + wave as usize) % ENGINES),
    });
    waves.filter(|event| event.at < period).collect()
}

/// Draws the kind and target of a fault.
fn draw_fault(random: &mut Pcg64Mcg) -> Fault {
    let gateway = random.random_range(0..GATEWAYS);
    let endpoint = random.random_range(0..ENGINES + PLAIN_ENDPOINTS);
    let links = [
        Link::Slow(Duration::from_millis(
            random.random_range(5..MAX_LINK_DELAY_MS),
        )),
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
        4 | 5 => Fault::EndpointLink(endpoint, link),
        6 => Fault::Endpoint(endpoint, mode),
        7 => Fault::Leave(endpoint),
        8 => Fault::Kill(gateway),
        9 => Fault::Pause(gateway),
        10 => Fault::Stop(gateway),
        11 => Fault::Reload(gateway),
        _ => Fault::Configure,
    }
}

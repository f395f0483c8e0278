//! Plan for the runs of a node at an engine that leaves: which end by themselves, which continue from a
//! backup, which are moved and when, and when the last copy is made.
//!
//! Copies queue on the links of both engines, and each engine has less time than all its runs would
//! take. A run that has one complete copy is safe: it continues from that copy even if its engine is gone
//! before the last one. So first copies come first, and those that cannot end in time wait, as they would
//! delay the others.

use std::time::Duration;

use daisyyard_derive::{key, record};

use crate::catalog::Priority;
use crate::id::{RequestId, Tokens};
use crate::load::Need;

/// Number of tokens in one event of a stream.
const TOKENS_PER_EVENT: Tokens = 4;
/// Number of first copies that a node has under way at one engine. A second one keeps the link busy while
/// the first is answered; more would only queue, and hold memory at their targets.
const MAX_FIRST_COPIES: usize = 2;
/// After a copy this short, the last one is small enough that callers notice no pause.
const SHORT_COPY: Duration = Duration::from_millis(50);
/// Number of copies after which the run stops for the last one at any rate.
const MAX_COPIES: u32 = 8;
/// Time for the continuation at the target, and for errors of the expected end.
const MARGIN: Duration = Duration::from_millis(150);
/// A last copy takes up to this many times as long as the copy before it, because others queue.
const LAST_COPY_FACTOR: u32 = 2;
/// Factor on the time that a run is expected to need until its end, which varies.
const END_FACTOR: f64 = 1.2;

/// What is known of the memory of a run at a leaving engine.
#[record]
pub struct RunState {
    /// Tokens in memory.
    pub tokens: Tokens,
    /// Number of events that are still to come, as far as is expected.
    pub likely_events: u64,
    /// Number of events that are still to come at most, if there is a limit.
    pub most_events: Option<u64>,
    /// Priority of the request.
    pub priority: Priority,
    /// Time that the link needs for one token, within a zone.
    pub token_time: Duration,
}

/// How far the memory of a run is secured.
#[key]
pub enum Stage {
    /// There is no other copy.
    Unsecured,
    /// A first copy is under way.
    Copying,
    /// Another engine holds a copy of a move.
    Copied,
    /// Another engine receives a backup.
    BackedUp,
}

/// A run at a leaving engine.
#[record]
pub struct LeavingRun {
    /// The run.
    pub run: RequestId,
    /// Its memory.
    pub run_state: RunState,
    /// How far its memory is secured.
    pub stage: Stage,
}

/// What is to be done with a run at a leaving engine.
#[key]
pub enum Action {
    /// It ends before the engine does.
    Ends,
    /// It continues from its backup once the engine has ended.
    Backup,
    /// It is moved now.
    Move,
    /// It waits for the link: other runs are moved first, and it may not fit into the time.
    Wait,
}

/// What follows a copy that is not the last one.
#[key]
pub enum Round {
    /// Copy what is new while the run goes on.
    Again,
    /// Stop the run for the last copy.
    Last,
}

impl RunState {
    /// Creates the state of a run with this need and number of events made so far, which makes at most
    /// this many tokens.
    pub fn new(
        need: &Need,
        limit: Option<Tokens>,
        events: u64,
        priority: Priority,
        token_time: Duration,
    ) -> Self {
        let remaining = |output: Tokens| (output / TOKENS_PER_EVENT).saturating_sub(events);
        Self {
            tokens: need.prompt + events * TOKENS_PER_EVENT,
            likely_events: remaining(need.output),
            most_events: limit.map(remaining),
            priority,
            token_time,
        }
    }

    /// Returns the time that the link needs for a whole copy within a zone.
    fn copy_time(&self) -> Duration {
        self.token_time.mul_f64(self.tokens as f64)
    }
}

/// Returns whether a number of events fits into a time, given the time between two events.
fn fits(events: Option<u64>, pace: Option<Duration>, left: Duration) -> bool {
    let time = pace
        .zip(events)
        .map(|(pace, events)| pace.mul_f64(events as f64 * END_FACTOR));
    time.is_some_and(|time| time < left)
}

/// Returns what is to be done with each run of a node at a leaving engine, given the time that the engine
/// has left and the time between two of its events.
///
/// Moved are first the runs that are not expected to end in time, of these the most urgent ones and, among
/// equals, those whose memory takes the least time: the same time on the link then saves the most.
pub fn plan(
    leaving: &[LeavingRun],
    left: Duration,
    pace: Option<Duration>,
) -> Vec<(RequestId, Action)> {
    let mut order: Vec<&LeavingRun> = leaving.iter().collect();
    order.sort_by_key(|one| {
        let likely = fits(Some(one.run_state.likely_events), pace, left);
        (
            likely,
            one.run_state.priority,
            one.run_state.copy_time(),
            one.run,
        )
    });
    let under_way = leaving.iter().filter(|one| one.stage == Stage::Copying);
    let mut copies = under_way.clone().count();
    let mut busy: Duration = under_way.map(|one| one.run_state.copy_time()).sum();
    let mut actions = Vec::new();
    for one in order {
        let action = match one.stage {
            Stage::BackedUp => Action::Backup,
            Stage::Copying | Stage::Copied => Action::Move,
            Stage::Unsecured if fits(one.run_state.most_events, pace, left) => Action::Ends,
            Stage::Unsecured if copies >= MAX_FIRST_COPIES => Action::Wait,
            Stage::Unsecured => {
                let time = one.run_state.copy_time();
                // A run that does not fit is still tried when nothing else uses the link: engines often
                // have more time than expected, and it is lost otherwise.
                if busy + time > left && copies > 0 {
                    Action::Wait
                } else {
                    copies += 1;
                    busy += time;
                    Action::Move
                }
            }
        };
        actions.push((one.run, action));
    }
    actions
}

/// Returns what follows the copy number `copies` of a run, which took this time, when its engine has this
/// time left. The last copy is made while there is time for it, also if callers notice the pause: a late
/// stream is better than a lost one.
pub fn next_round(took: Duration, left: Duration, copies: u32) -> Round {
    let needed = took * LAST_COPY_FACTOR + MARGIN;
    if took <= SHORT_COPY || left <= needed || copies >= MAX_COPIES {
        Round::Last
    } else {
        Round::Again
    }
}

//! Guards against runs that are lost at a leaving engine because others that could not be saved took the
//! link, or because the last copy was made too late.

use std::time::Duration;

use daisyyard_core::id::{self, RequestId};
use daisyyard_core::load::Need;
use daisyyard_core::migration::{Action, LeavingRun, Round, RunState, Stage, next_round, plan};

/// Time that the link needs for a token: 131,072 bytes over 19 Gbit/s.
const TOKEN_TIME: Duration = Duration::from_nanos(55_188);
/// Time between two events.
const PACE: Option<Duration> = Some(Duration::from_millis(50));

/// Returns a duration in milliseconds.
fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Returns a run with tokens in memory, and events to come.
fn leaving(run: RequestId, tokens: u64, events: u64, stage: Stage) -> LeavingRun {
    let need = Need {
        service: id::of("model"),
        prompt: tokens,
        output: events * 4,
        memory: 26_885,
        connections: 100,
        target_gap: None,
        backup: false,
    };
    LeavingRun {
        run,
        run_state: RunState::new(&need, Some(events * 4), 0, 2, TOKEN_TIME),
        stage,
    }
}

/// Returns the action of a run.
fn action(leaving: &[LeavingRun], run: RequestId, left: Duration) -> Action {
    let actions = plan(leaving, left, PACE);
    let found = actions.into_iter().find(|(id, _)| *id == run);
    found.expect("it has a action").1
}

/// A run that ends in time, and one with a backup, leave the link to the others.
#[test]
fn leaves_link() {
    let runs = [
        leaving(1, 3_000, 10, Stage::Unsecured),
        leaving(2, 3_000, 150, Stage::BackedUp),
        leaving(3, 3_000, 150, Stage::Unsecured),
    ];
    assert_eq!(action(&runs, 1, ms(1_500)), Action::Ends);
    assert_eq!(action(&runs, 2, ms(1_500)), Action::Backup);
    assert_eq!(action(&runs, 3, ms(1_500)), Action::Move);
    assert_eq!(action(&runs, 1, ms(300)), Action::Move, "it does not end");
}

/// A run that has no limit is moved, however soon it is expected to end.
#[test]
fn unlimited_run() {
    let mut run = leaving(1, 3_000, 1, Stage::Unsecured);
    run.run_state.most_events = None;
    assert_eq!(action(&[run], 1, ms(1_500)), Action::Move);
}

/// Those that take the least time on the link go first, two at a time, and the rest follow.
#[test]
fn smallest_first() {
    let sizes = [4_000, 3_000, 3_500, 3_200];
    let mut runs: Vec<LeavingRun> = (0..)
        .zip(sizes)
        .map(|(run, tokens)| leaving(run, tokens, 150, Stage::Unsecured))
        .collect();
    let actions = [0, 1, 2, 3].map(|run| action(&runs, run, ms(1_500)));
    assert_eq!(
        actions,
        [Action::Wait, Action::Move, Action::Wait, Action::Move]
    );
    runs[1].stage = Stage::Copied;
    runs[3].stage = Stage::Copying;
    assert_eq!(action(&runs, 2, ms(1_500)), Action::Move);
    assert_eq!(action(&runs, 0, ms(1_500)), Action::Wait);
}

/// An urgent run goes before a smaller one.
#[test]
fn urgent_first() {
    let mut runs = [
        leaving(1, 3_000, 150, Stage::Unsecured),
        leaving(2, 3_000, 150, Stage::Unsecured),
        leaving(3, 9_000, 150, Stage::Unsecured),
    ];
    runs[2].run_state.priority = 0;
    assert_eq!(action(&runs, 3, ms(1_500)), Action::Move);
    assert_eq!(action(&runs, 2, ms(1_500)), Action::Wait);
}

/// A run whose copy cannot end in time does not slow one that is under way, and is tried when the link
/// is free.
#[test]
fn hopeless_waits() {
    let large = leaving(1, 20_000, 150, Stage::Unsecured);
    let runs = [large.clone(), leaving(2, 3_000, 150, Stage::Copying)];
    assert_eq!(action(&runs, 1, ms(1_000)), Action::Wait);
    assert_eq!(action(&[large], 1, ms(1_000)), Action::Move);
}

/// The order does not depend on the order in which the runs are known.
#[test]
fn same_order() {
    let mut runs: Vec<LeavingRun> = (0..6)
        .map(|run| leaving(run, 3_000, 150, Stage::Unsecured))
        .collect();
    let first = plan(&runs, ms(1_500), PACE);
    runs.reverse();
    assert_eq!(first, plan(&runs, ms(1_500), PACE));
}

/// The last copy follows a short one, or is made when the time left demands it.
#[test]
fn last_copy() {
    assert_eq!(next_round(ms(40), ms(1_500), 1), Round::Last);
    assert_eq!(next_round(ms(230), ms(1_500), 1), Round::Again);
    assert_eq!(next_round(ms(230), ms(600), 1), Round::Last);
    assert_eq!(next_round(ms(60), ms(0), 1), Round::Last);
    assert_eq!(next_round(ms(60), ms(10_000), 8), Round::Last);
}

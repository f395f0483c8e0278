//! Guards against endpoints that are dropped because one answer of the instance list was
//! truncated, and against requests to endpoints that are gone.

use std::time::{Duration, Instant};

use daisyyard_core::presence::{Action, Presence};

/// An endpoint that is absent from the list is gone after 10 s, and forgotten after two minutes.
#[test]
fn gone_after_absence() {
    let start = Instant::now();
    let mut presence = Presence::new();
    let mut gone = None;
    let mut forgotten = None;
    for second in 0..200 {
        let now = start + Duration::from_secs(second);
        for action in presence.compare(&[1, 2], &[2], now) {
            match action {
                Action::Gone(1) => gone = gone.or(Some(second)),
                Action::Forget(1) => forgotten = forgotten.or(Some(second)),
                other => panic!("{other:?} for a listed endpoint"),
            }
        }
    }
    assert_eq!((gone, forgotten), (Some(10), Some(120)));
}

/// Empty answers are ignored, and so is a single truncated answer after a pause.
#[test]
fn ignores_truncated() {
    let start = Instant::now();
    let mut presence = Presence::new();
    for second in 0..1000 {
        let now = start + Duration::from_secs(second);
        assert!(presence.compare(&[1, 2], &[], now).is_empty());
    }
    let mut presence = Presence::new();
    assert!(presence.compare(&[1, 2], &[2], start).is_empty());
    let later = start + Duration::from_mins(1);
    assert!(presence.compare(&[1, 2], &[2], later).is_empty());
    assert!(presence.compare(&[1, 2], &[1, 2], later).is_empty());
    let latest = later + Duration::from_secs(11);
    assert!(presence.compare(&[1, 2], &[2], latest).is_empty());
}

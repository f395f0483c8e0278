//! Guards against a request that reaches a second engine although this engine is not shown to hold a
//! copy of the run, and against runs that are given up although a copy is shown.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_core::continuation::{
    Cause, Holder, Obstacle, Place, Proof, Situation, Standby, Step, Stop, start_anew,
};
use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::zone::Zone;

const CAUSES: [Cause; 3] = [Cause::Leaving, Cause::Silent, Cause::Broken];
const PROOFS: [Proof; 3] = [Proof::None, Proof::Backup, Proof::Handle];
const STOPS: [Stop; 5] = [
    Stop::Moved,
    Stop::Kept,
    Stop::Ended,
    Stop::Unanswered,
    Stop::Running,
];
const PLACES: [Place; 4] = [Place::Target, Place::Copied, Place::Backup, Place::Source];
const OBSTACLES: [Obstacle; 4] = [
    Obstacle::NotAllowed,
    Obstacle::Unsent,
    Obstacle::Declined,
    Obstacle::Unanswered,
];

/// Returns every situation.
fn situations() -> Vec<Situation> {
    let mut all = Vec::new();
    for cause in CAUSES {
        for proof in PROOFS {
            for stop in STOPS {
                for flags in 0..4 {
                    all.push(Situation {
                        cause,
                        proof,
                        stop,
                        source_open: flags & 1 != 0,
                        repeatable: flags & 2 != 0,
                    });
                }
            }
        }
    }
    all
}

/// Returns whether a place has a copy that was shown to be there.
fn is_shown(place: Place, situation: Situation) -> bool {
    match place {
        Place::Target => situation.stop == Stop::Moved,
        Place::Copied => situation.proof == Proof::Handle,
        Place::Backup => situation.proof == Proof::Backup,
        Place::Source => {
            situation.source_open && matches!(situation.stop, Stop::Moved | Stop::Kept)
        }
    }
}

/// Returns an engine.
fn engine(name: &str, incarnation: u64) -> Endpoint {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let zone = Zone::new("a", "r");
    let mut engine = Endpoint::new(name, "model", Kind::Engine, zone, address);
    engine.incarnation = incarnation;
    engine
}

/// No situation sends a request to an engine without a copy that was shown, or to a second engine while
/// the first one still executes the run.
#[test]
fn shown_copies_only() {
    for situation in situations() {
        let mut steps = vec![situation.begin()];
        for place in PLACES {
            if is_shown(place, situation) {
                steps.extend(OBSTACLES.map(|obstacle| situation.fail(place, obstacle)));
            }
        }
        for step in steps {
            if let Step::Resume(place) = step {
                assert!(is_shown(place, situation), "{situation:?} {step:?}");
                assert_ne!(situation.stop, Stop::Running, "{situation:?}");
            }
        }
    }
}

/// Nothing more is sent for a run that may run once after an engine may have run its request, or when
/// the retry budget is used up.
#[test]
fn no_further_send() {
    for situation in situations() {
        for place in PLACES {
            for obstacle in [Obstacle::NotAllowed, Obstacle::Unanswered] {
                let step = situation.fail(place, obstacle);
                let may_restart = situation.repeatable && obstacle == Obstacle::Unanswered;
                let expected = match situation.cause {
                    Cause::Leaving | Cause::Silent => Step::Stay,
                    Cause::Broken if may_restart => Step::Restart,
                    Cause::Broken => Step::End,
                };
                assert_eq!(step, expected, "{situation:?} {place:?} {obstacle:?}");
            }
        }
    }
}

/// A request that may run once never starts anew, and a closed stream never stays.
#[test]
fn ends_when_closed() {
    for situation in situations() {
        let failed = PLACES.map(|place| OBSTACLES.map(|why| situation.fail(place, why)));
        let steps = failed.into_iter().flatten().chain([situation.begin()]);
        for step in steps {
            assert!(step != Step::Restart || situation.repeatable);
            let closed = situation.cause == Cause::Broken;
            assert!(step != Step::Stay || !closed, "{situation:?}");
            assert!(!matches!(step, Step::End | Step::Restart) || closed);
        }
    }
}

/// Every series of failures comes to an end after at most two engines.
#[test]
fn ends_after_failures() {
    for situation in situations() {
        let mut step = situation.begin();
        let mut asked = 0;
        while let Step::Resume(place) = step {
            asked += 1;
            assert!(asked <= 2, "{situation:?}");
            step = situation.fail(place, Obstacle::Declined);
        }
    }
}

/// A broken-off run continues from each copy that is shown.
#[test]
fn uses_shown_copies() {
    let situation = |proof, stop| Situation {
        cause: Cause::Broken,
        proof,
        stop,
        source_open: false,
        repeatable: false,
    };
    for stop in [Stop::Ended, Stop::Unanswered] {
        let backup = situation(Proof::Backup, stop).begin();
        assert_eq!(backup, Step::Resume(Place::Backup));
        let copied = situation(Proof::Handle, stop).begin();
        assert_eq!(copied, Step::Resume(Place::Copied));
        assert_eq!(situation(Proof::None, stop).begin(), Step::End);
    }
    for proof in PROOFS {
        let moved = situation(proof, Stop::Moved).begin();
        assert_eq!(moved, Step::Resume(Place::Target));
    }
}

/// A run that was stopped, and whose memory its leaving engine keeps, is moved to another target. The
/// earlier copy at a target that has refused the last one may be gone.
#[test]
fn retargets_kept_run() {
    for cause in [Cause::Leaving, Cause::Broken] {
        for proof in [Proof::None, Proof::Handle] {
            let situation = Situation {
                cause,
                proof,
                stop: Stop::Kept,
                source_open: false,
                repeatable: false,
            };
            assert_eq!(situation.begin(), Step::Retarget);
        }
    }
}

/// A run that may start anew does so only once its engine does not execute it, as far as can be known.
#[test]
fn starts_anew() {
    let steps = STOPS.map(start_anew);
    let expected = [
        Step::Resume(Place::Target),
        Step::Restart,
        Step::Restart,
        Step::Restart,
        Step::End,
    ];
    assert_eq!(steps, expected);
}

/// A backup counts from the first event of the run on, and only at the same start of its engine.
#[test]
fn backup_proof() {
    let now = Instant::now();
    let first = engine("one", 1);
    let mut standby = Standby::Ordered(Holder::of(&first));
    assert_eq!(standby.proof(&first, now), Proof::None);
    standby.take_run();
    assert_eq!(standby.proof(&first, now), Proof::Backup);
    assert_eq!(standby.proof(&engine("one", 2), now), Proof::None);
    assert_eq!(standby.proof(&engine("two", 1), now), Proof::None);
}

/// A move counts once a copy has ended, at the engine that it was made to, and not because the run sends
/// events.
#[test]
fn move_proof() {
    let now = Instant::now();
    let until = now + Duration::from_secs(5);
    let target = engine("one", 1);
    let mut standby = Standby::Moving(Holder::of(&target));
    standby.take_run();
    assert_eq!(standby.proof(&target, now), Proof::None);
    standby.complete(engine("two", 1).id, "other".to_owned(), until);
    assert_eq!(standby.proof(&target, now), Proof::None);
    standby.complete(target.id, "first".to_owned(), until);
    standby.complete(target.id, "second".to_owned(), until);
    assert_eq!(standby.proof(&target, now), Proof::Handle);
    assert_eq!(standby.handle(), Some("second"));
    assert_eq!(
        standby.proof(&target, until),
        Proof::None,
        "it may be freed"
    );
    assert_eq!(standby.proof(&engine("one", 2), now), Proof::None);
    assert_eq!(Standby::None.proof(&target, now), Proof::None);
}

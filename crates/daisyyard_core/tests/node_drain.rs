//! Guards against a node that ends while callers still use it, or never ends.

use std::time::{Duration, Instant};

use daisyyard_core::drain::{Action, Drain};

/// A node announces its stop for the lifetime of its address and then waits for its requests.
#[test]
fn waits_in_order() {
    let lifetime = Duration::from_secs(5);
    let now = Instant::now();
    let mut drain = Drain::new(lifetime);
    assert_eq!(drain.next(0, now), Action::Serve);
    drain.start(now);
    let until = now + lifetime;
    assert_eq!(drain.next(0, now), Action::Announce(until));
    drain.start(now + Duration::from_secs(1));
    assert_eq!(drain.next(3, until), Action::Finish);
    assert_eq!(
        drain.next(1, until + Duration::from_hours(10)),
        Action::Finish
    );
    assert_eq!(drain.next(0, until), Action::Exit);
}

//! Guards against a node that exits while callers still use it, or never exits.

use std::time::{Duration, Instant};

use daisyyard_core::drain::{Action, Drain};

/// A draining node accepts connections until its address expires, then finishes its requests, and
/// exits when no connection is open.
#[test]
fn drains_in_order() {
    let address_ttl = Duration::from_secs(5);
    let now = Instant::now();
    let mut drain = Drain::new(address_ttl);
    assert_eq!(drain.next(0, now), Action::Serve);
    drain.start(now);
    let until = now + address_ttl;
    assert_eq!(drain.next(0, now), Action::Announce(until));
    drain.start(now + Duration::from_secs(1));
    assert_eq!(drain.next(3, until), Action::Finish);
    assert_eq!(
        drain.next(1, until + Duration::from_hours(10)),
        Action::Finish
    );
    assert_eq!(drain.next(0, until), Action::Exit);
}

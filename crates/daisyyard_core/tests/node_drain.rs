//! Guards against a node that ends while callers still use it, or never ends.

use std::time::{Duration, Instant};

use daisyyard_core::drain::{Drain, Next};

/// A node announces its stop for the lifetime of its address and then waits for its requests.
#[test]
fn drains_in_order() {
    let address_ttl = Duration::from_secs(5);
    let now = Instant::now();
    let mut drain = Drain::new(address_ttl);
    assert_eq!(drain.next(0, now), Next::Serve);
    drain.start(now);
    let until = now + address_ttl;
    assert_eq!(drain.next(0, now), Next::Announce(until));
    drain.start(now + Duration::from_secs(1));
    assert_eq!(drain.next(3, until), Next::Finish);
    assert_eq!(
        drain.next(1, until + Duration::from_hours(10)),
        Next::Finish
    );
    assert_eq!(drain.next(0, until), Next::Exit);
}

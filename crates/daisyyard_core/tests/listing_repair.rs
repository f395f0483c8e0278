//! Guards against nodes that miss an endpoint for good because a datagram was lost, and against nodes
//! that read the store while news is on its way.

use std::time::{Duration, Instant};

use daisyyard_core::listing::Listing;

/// Value of the set that the readers know.
const COMPLETE: u64 = 7;
/// Value of a set that lacks an endpoint.
const INCOMPLETE: u64 = 3;

/// A node that differs from the readers for seconds reads the store, once until it differs for
/// seconds again.
#[test]
fn lost_news() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut listing = Listing::default();
    assert!(!listing.compare(COMPLETE, INCOMPLETE, at(0)));
    assert!(!listing.compare(COMPLETE, INCOMPLETE, at(2)));
    assert!(listing.compare(COMPLETE, INCOMPLETE, at(4)));
    listing.reset();
    assert!(!listing.compare(COMPLETE, INCOMPLETE, at(5)));
    assert!(listing.compare(COMPLETE, INCOMPLETE, at(9)));
}

/// A node that learns the news in time does not read the store, however often endpoints change.
#[test]
fn news_in_time() {
    let start = Instant::now();
    let mut listing = Listing::default();
    for second in 0..20 {
        let now = start + Duration::from_secs(second);
        assert!(!listing.compare(COMPLETE + second, INCOMPLETE, now));
        let later = now + Duration::from_millis(400);
        assert!(!listing.compare(COMPLETE + second, COMPLETE + second, later));
    }
}

/// A report of a node that has heard nothing of the readers changes nothing.
#[test]
fn unknown_set() {
    let start = Instant::now();
    let mut listing = Listing::default();
    assert!(!listing.compare(0, INCOMPLETE, start));
    assert!(!listing.compare(0, INCOMPLETE, start + Duration::from_secs(9)));
    assert_eq!(listing.readers(), 0);
}

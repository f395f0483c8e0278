//! Guards against tokens that are duplicated, skipped or taken from another generation.

use daisyyard_core::stream::{Action, Cursor, End, Step};
use proptest::prelude::*;

proptest! {
    /// Whatever arrives in whatever order, the delivered offsets are 0, 1, 2, ... of generation 1.
    #[test]
    fn delivers_in_order(arrivals in proptest::collection::vec((0_u64..3, 0_u64..20), 0..200)) {
        let mut cursor = Cursor::new();
        prop_assert!(cursor.bind(1));
        let mut delivered = Vec::new();
        for (generation, offset) in arrivals {
            if cursor.accept(generation, offset) == Step::Deliver {
                prop_assert_eq!(generation, 1);
                delivered.push(offset);
            }
        }
        let expected: Vec<u64> = (0..delivered.len() as u64).collect();
        prop_assert_eq!(delivered, expected);
    }
}

/// A second generation must not continue what the first one began.
#[test]
fn refuses_splice() {
    let mut cursor = Cursor::new();
    assert!(cursor.bind(1));
    assert_eq!(cursor.accept(1, 0), Step::Deliver);
    assert!(!cursor.bind(2));
    assert_eq!(cursor.link_lost(false), Action::Interrupt(1));
}

/// Before the first token a lost engine costs nothing but a restart.
#[test]
fn restarts_unread() {
    let mut cursor = Cursor::new();
    assert!(cursor.bind(1));
    assert_eq!(cursor.link_lost(false), Action::Restart);
    assert!(cursor.bind(2));
    assert_eq!(cursor.accept(1, 0), Step::Foreign);
    assert_eq!(cursor.accept(2, 0), Step::Deliver);
}

/// An end that comes before the stated number of tokens is not the end.
#[test]
fn short_finish() {
    let mut cursor = Cursor::new();
    assert!(cursor.bind(1));
    assert_eq!(cursor.accept(1, 0), Step::Deliver);
    assert_eq!(cursor.finish(Some(3)), End::Resume(1));
    assert_eq!(cursor.finish(Some(1)), End::Complete);
    assert_eq!(cursor.finish(None), End::Complete);
}

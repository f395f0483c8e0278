//! Guards against tokens that are duplicated, skipped or from another generation.

use daisyyard_core::stream::{Action, Cursor, End, Step};
use proptest::prelude::*;

proptest! {
    /// Whatever tokens arrive in any order, the delivered ones have the offsets 0, 1, 2, ... of
    /// generation 1.
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

/// A second generation cannot continue the output of the first one.
#[test]
fn rejects_second_generation() {
    let mut cursor = Cursor::new();
    assert!(cursor.bind(1));
    assert_eq!(cursor.accept(1, 0), Step::Deliver);
    assert!(!cursor.bind(2));
    assert_eq!(cursor.link_lost(false), Action::Interrupt(1));
}

/// If the engine is lost before the first token, the generation restarts.
#[test]
fn restarts_before_first_token() {
    let mut cursor = Cursor::new();
    assert!(cursor.bind(1));
    assert_eq!(cursor.link_lost(false), Action::Restart);
    assert!(cursor.bind(2));
    assert_eq!(cursor.accept(1, 0), Step::Foreign);
    assert_eq!(cursor.accept(2, 0), Step::Deliver);
}

/// A stream that ends before the stated number of tokens is resumed.
#[test]
fn early_finish() {
    let mut cursor = Cursor::new();
    assert!(cursor.bind(1));
    assert_eq!(cursor.accept(1, 0), Step::Deliver);
    assert_eq!(cursor.finish(Some(3)), End::Resume(1));
    assert_eq!(cursor.finish(Some(1)), End::Complete);
    assert_eq!(cursor.finish(None), End::Complete);
}

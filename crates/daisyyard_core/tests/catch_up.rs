//! Guards against a node that keeps asking for changes that it cannot read in time.

use daisyyard_core::catch_up::{CatchUp, End, Next};

/// Plays a node on a path of a given bandwidth that has missed versions of a value, one of which is
/// written before each of its reads; a read that takes longer than a second is given up. Returns the number
/// of reads until the node has the last version; none if it never has.
fn reads_until_current(missed: usize, value_bytes: usize, bytes_per_s: usize) -> Option<usize> {
    let mut catch_up = CatchUp::default();
    catch_up.record_state(value_bytes);
    let mut behind = missed;
    for reads in 1..20 {
        behind += 1;
        let changes = behind * value_bytes;
        let end = if changes > catch_up.max_change_bytes() || changes > bytes_per_s {
            End::Abandoned
        } else {
            return Some(reads);
        };
        if end.next() == Next::State && value_bytes <= bytes_per_s {
            return Some(reads + 1);
        }
    }
    None
}

/// A node that has missed many versions of a large value has the last one after two reads, whatever the
/// bandwidth that suffices for one version.
#[test]
fn many_versions() {
    for bytes_per_s in [500_000, 1_250_000, 100_000_000] {
        assert_eq!(reads_until_current(12, 400_000, bytes_per_s), Some(2));
    }
}

/// Changes that are small beside the state are read as such.
#[test]
fn small_changes() {
    assert_eq!(reads_until_current(3, 200, 1_250_000), Some(1));
    assert_eq!(End::Complete.next(), Next::Changes);
    assert_eq!(End::Unanswered.next(), Next::Changes);
}

/// A value that has grown since the state was read is not read in place of the state for ever.
#[test]
fn grown_value() {
    let mut catch_up = CatchUp::default();
    catch_up.record_state(3_000);
    assert!(catch_up.max_change_bytes() < 400_000);
    catch_up.record_state(403_000);
    assert!(catch_up.max_change_bytes() >= 403_000);
}

/// Changes that the store has discarded are replaced by the state.
#[test]
fn discarded_changes() {
    assert_eq!(End::Discarded.next(), Next::State);
}

//! Guards against differences between configurations that are missed or show a credential.

mod draft;

use std::time::Duration;

use daisyyard_core::difference::{self, Change};
use daisyyard_core::draft::{Draft, Entry, Field, Fingerprint};
use daisyyard_core::finding::Severity;
use draft::{account, draft};

/// A version that does not increase is never in force.
#[test]
fn version_increases() {
    let (old, mut new) = (draft(), draft());
    let check =
        |new: &Draft| difference::check_version(&old, new).map(|one| (one.severity, one.entry));
    assert_eq!(check(&new), Some((Severity::Error, Entry::Version)));
    new.version = 6;
    assert_eq!(check(&new), Some((Severity::Error, Entry::Version)));
    new.version = 9;
    assert_eq!(check(&new), None);
}

/// Every kind of change is listed once, with old and new value; moved entries do not differ.
#[test]
fn lists_differences() {
    let (old, mut new) = (draft(), draft());
    assert_eq!(difference::all(&old, &new), []);
    new.routes.swap(0, 1);
    assert_eq!(difference::all(&old, &new), []);
    new.version = 8;
    new.limits.max_body_bytes = 1_000;
    new.routes[1].timeout = Duration::from_millis(2_500);
    new.routes[0].name = "seek".to_owned();
    new.services[0].max_connections = u32::MAX;
    new.accounts = Some(vec![account("one", "key-3"), account("three", "key-2")]);
    let changed = |old: &str, new: &str| Change::Changed {
        old: old.to_owned(),
        new: new.to_owned(),
    };
    let added = |text: &str| Change::Added(text.to_owned());
    let removed = |text: &str| Change::Removed(text.to_owned());
    let print = |key| Fingerprint::new(key).to_string();
    let expected = [
        (Entry::Version, None, changed("7", "8")),
        (
            Entry::Limits(Field::MaxBodyBytes),
            None,
            changed("65536", "1000"),
        ),
        (
            Entry::Service(0, Field::MaxConnections),
            Some("desk"),
            changed("10", "unlimited"),
        ),
        (Entry::Route(0, Field::Whole), None, added("\"seek\"")),
        (
            Entry::Route(1, Field::Timeout),
            Some("read"),
            changed("4s", "2.5s"),
        ),
        (Entry::Route(1, Field::Whole), None, removed("\"find\"")),
        (Entry::Account(1, Field::Whole), None, added("\"three\"")),
        (Entry::Account(1, Field::Whole), None, removed("\"two\"")),
        (
            Entry::Account(0, Field::Credential(0)),
            Some("one"),
            added(&print("key-3")),
        ),
        (
            Entry::Account(1, Field::Credential(0)),
            Some("three"),
            added(&print("key-2")),
        ),
        (
            Entry::Account(0, Field::Credential(0)),
            Some("one"),
            removed(&print("key-1")),
        ),
        (
            Entry::Account(1, Field::Credential(0)),
            Some("two"),
            removed(&print("key-2")),
        ),
    ];
    let all = difference::all(&old, &new);
    let all: Vec<_> = all
        .iter()
        .map(|one| (one.entry, one.name.as_deref(), one.change.clone()))
        .collect();
    assert_eq!(all, expected);
}

/// Whether requests need a credential at all is a difference of its own.
#[test]
fn accounts_removed() {
    let (old, mut new) = (draft(), draft());
    new.accounts = None;
    let all = difference::all(&old, &new);
    assert_eq!(all[0].entry, Entry::Accounts);
    let removed = all[1..]
        .iter()
        .filter(|one| matches!(one.change, Change::Removed(_)));
    assert_eq!(removed.count(), 4);
}

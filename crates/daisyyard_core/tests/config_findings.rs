//! Guards against configurations that pass the check although requests would fail or an entry has no
//! effect.

mod draft;

use std::time::Duration;

use daisyyard_core::catalog::Kind;
use daisyyard_core::draft::{Draft, Entry, Field, Fingerprint};
use daisyyard_core::finding::{self, Severity};
use daisyyard_core::footprint::{Footprint, Holder, Machine, Use, Verdict};
use draft::{account, draft, service};

/// Machine for the checks of body sizes.
const MACHINE: Machine = Machine {
    memory: 88_000_000,
    descriptors: 3_075,
};

/// Returns the findings of a configuration that was changed: severities and entries.
fn found(change: impl FnOnce(&mut Draft)) -> Vec<(Severity, Entry)> {
    let mut draft = draft();
    change(&mut draft);
    let all = finding::all(&draft, MACHINE);
    all.into_iter()
        .map(|one| (one.severity, one.entry))
        .collect()
}

/// Returns the only finding, an error.
fn error(entry: Entry) -> Vec<(Severity, Entry)> {
    vec![(Severity::Error, entry)]
}

/// Returns the only finding, a warning.
fn warning(entry: Entry) -> Vec<(Severity, Entry)> {
    vec![(Severity::Warning, entry)]
}

/// A configuration without faults has no findings; otherwise operators learn to ignore them.
#[test]
fn no_false_alarm() {
    assert_eq!(found(|_| ()), []);
    // A target that is not written is the timeout, which any two attempts exceed.
    assert_eq!(found(|draft| draft.routes[0].target_latency = None), []);
    // Limits that are just reached do not contradict each other.
    assert_eq!(found(|draft| draft.routes[0].max_attempts = 4), []);
    assert_eq!(
        found(|draft| draft.limits.header_timeout = Some(draft.limits.idle_timeout)),
        []
    );
    // The same prefix at another host, and a weight of zero beside others, are in use.
    assert_eq!(
        found(|draft| {
            draft.routes[1].host = "other.example".to_owned();
            draft.routes[1].path_prefix = "/read/".to_owned();
        }),
        []
    );
    assert_eq!(
        found(|draft| {
            draft.services.push(service("next"));
            draft.routes[0].service = None;
            draft.routes[0].shares = vec![("desk".to_owned(), 1.0), ("next".to_owned(), 0.0)];
        }),
        []
    );
}

/// Requests would reach a service that does not exist.
#[test]
fn unknown_service() {
    let other = || "other".to_owned();
    let only = found(|draft| draft.routes[1].service = Some(other()));
    assert_eq!(only, error(Entry::Route(1, Field::Service)));
    let shares = found(|draft| {
        draft.routes[1].service = None;
        draft.routes[1].shares = vec![("desk".to_owned(), 1.0), (other(), 1.0)];
    });
    assert_eq!(shares, error(Entry::Route(1, Field::ShareService(1))));
    let none = found(|draft| draft.routes[1].service = None);
    assert_eq!(none, error(Entry::Route(1, Field::Whole)));
}

/// Of two entries with one name, one replaces the other or logs cannot tell them apart.
#[test]
fn duplicate_names() {
    let services = found(|draft| draft.services.push(service("desk")));
    assert_eq!(services, error(Entry::Service(1, Field::Name)));
    let routes = found(|draft| draft.routes[1].name = "read".to_owned());
    assert_eq!(routes, error(Entry::Route(1, Field::Name)));
    let accounts = found(|draft| {
        draft
            .accounts
            .iter_mut()
            .flatten()
            .for_each(|one| one.name = "one".to_owned());
    });
    assert_eq!(accounts, error(Entry::Account(1, Field::Name)));
}

/// Weights that sum to zero, or to more than a catalog holds, leave the split to chance.
#[test]
fn wrong_weights() {
    let weights = |weights: [f64; 2]| {
        found(|draft| {
            draft.services.push(service("next"));
            draft.routes[0].service = None;
            let names = ["desk", "next"].map(str::to_owned);
            draft.routes[0].shares = names.into_iter().zip(weights).collect();
        })
    };
    assert_eq!(weights([0.0, 0.0]), error(Entry::Route(0, Field::Shares)));
    assert_eq!(weights([4e6, 4e6]), error(Entry::Route(0, Field::Shares)));
    assert_eq!(
        weights([1.0, -1.0]),
        error(Entry::Route(0, Field::ShareWeight(1)))
    );
    assert_eq!(
        weights([1.0, 0.000_4]),
        warning(Entry::Route(0, Field::ShareWeight(1)))
    );
    let both = found(|draft| draft.routes[0].shares = vec![("desk".to_owned(), 1.0)]);
    assert_eq!(both, warning(Entry::Route(0, Field::Service)));
}

/// A credential of two accounts gives the work of one to the other. It is not shown in full.
#[test]
fn shared_credential() {
    let mut draft = draft();
    draft.accounts = Some(vec![
        account("one", "secret-key"),
        account("two", "secret-key"),
    ]);
    let all = finding::all(&draft, MACHINE);
    assert_eq!(all.len(), 1);
    assert_eq!(all[0].severity, Severity::Error);
    assert_eq!(all[0].entry, Entry::Account(1, Field::Credential(0)));
    assert!(all[0].problem.contains("\"one\""), "{}", all[0].problem);
    assert!(!format!("{draft:?}{all:?}").contains("secret-key"));
    let shown = Fingerprint::new("secret-key").to_string();
    assert_eq!(shown.len(), "sha256:".len() + 8);
    assert!(all[0].problem.contains(&shown), "{}", all[0].problem);
}

/// Routes that no request reaches.
#[test]
fn unreachable_routes() {
    let same = found(|draft| {
        draft.routes[1].host = "DESK.example".to_owned();
        draft.routes[1].path_prefix = "/read/".to_owned();
    });
    assert_eq!(same, warning(Entry::Route(1, Field::PathPrefix)));
    for prefix in ["find/", "/find", "find", ""] {
        let odd = found(|draft| draft.routes[1].path_prefix = prefix.to_owned());
        assert_eq!(odd, warning(Entry::Route(1, Field::PathPrefix)), "{prefix}");
    }
    let port = found(|draft| draft.routes[1].host.push_str(":80"));
    assert_eq!(port, warning(Entry::Route(1, Field::Host)));
}

/// Services and accounts that no request uses.
#[test]
fn unused_entries() {
    let unused = found(|draft| draft.services.push(service("next")));
    assert_eq!(unused, warning(Entry::Service(1, Field::Whole)));
    let strip = |draft: &mut Draft| {
        draft
            .accounts
            .iter_mut()
            .flatten()
            .take(1)
            .for_each(|one| one.credentials.clear());
    };
    assert_eq!(found(strip), warning(Entry::Account(0, Field::Credentials)));
    let public = found(|draft| {
        strip(draft);
        draft
            .routes
            .iter_mut()
            .for_each(|route| route.public = true);
    });
    assert_eq!(public, []);
    let none = found(|draft| draft.accounts = Some(Vec::new()));
    assert_eq!(none, warning(Entry::Accounts));
}

/// Attempts that never happen.
#[test]
fn attempts_in_vain() {
    let at = Entry::Route(0, Field::MaxAttempts);
    let once = found(|draft| draft.routes[0].kind = Kind::NonIdempotent);
    assert_eq!(once, warning(at));
    let stream = found(|draft| draft.routes[0].kind = Kind::Streaming);
    assert_eq!(stream, warning(at));
    let resumable = found(|draft| {
        draft.routes[0].kind = Kind::Streaming;
        draft.routes[0].resumable = true;
    });
    assert_eq!(resumable, []);
    assert_eq!(found(|draft| draft.routes[0].max_attempts = 5), warning(at));
}

/// Targets that the timeout makes meaningless.
#[test]
fn targets_above_timeout() {
    let long = Some(Duration::from_secs(5));
    let target = found(|draft| draft.routes[0].target_latency = long);
    assert_eq!(target, warning(Entry::Route(0, Field::TargetLatency)));
    let gap = |kind, gap| {
        found(|draft| {
            draft.routes[0].kind = kind;
            draft.routes[0].max_attempts = 1;
            draft.routes[0].target_gap = gap;
        })
    };
    let short = Some(Duration::from_millis(180));
    assert_eq!(gap(Kind::Streaming, short), []);
    assert_eq!(
        gap(Kind::Streaming, long),
        warning(Entry::Route(0, Field::TargetGap))
    );
    assert_eq!(
        gap(Kind::Idempotent, short),
        warning(Entry::Route(0, Field::TargetGap))
    );
}

/// The limit on bodies is compared with what the account of the gateway grants, exactly.
#[test]
fn bodies_above_memory() {
    let at = Entry::Limits(Field::MaxBodyBytes);
    let check = |bytes, guarded: bool| {
        found(|draft| {
            draft.limits.max_body_bytes = bytes;
            if !guarded {
                draft.accounts = None;
            }
        })
    };
    for (guarded, account) in [(true, Some(1)), (false, None)] {
        let (footprint, holder) = (Footprint::new(MACHINE), Holder::new(Use::Body, account));
        let room = footprint.room(&holder);
        assert_eq!(footprint.check(&holder, room), Verdict::Granted);
        assert_eq!(footprint.check(&holder, room + 1), Verdict::Full);
        assert_eq!(check(room, guarded), []);
        assert_eq!(check(room + 1, guarded), warning(at));
    }
}

/// Times and rates of which one makes the other meaningless.
#[test]
fn limits_without_effect() {
    let head = found(|draft| draft.limits.header_timeout = Some(Duration::from_secs(16)));
    assert_eq!(head, warning(Entry::Limits(Field::HeaderTimeout)));
    let cold = |seconds, rate| {
        found(|draft| {
            draft.services[0].cold_s = seconds;
            draft.services[0].cold_per_s = rate;
        })
    };
    assert_eq!(cold(8.0, 2.0), []);
    assert_eq!(cold(8.0, 0.0), warning(Entry::Service(0, Field::ColdTime)));
    assert_eq!(cold(0.0, 2.0), warning(Entry::Service(0, Field::ColdRate)));
}

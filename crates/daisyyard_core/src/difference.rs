//! Differences between two configuration versions.

use std::collections::HashSet;
use std::time::Duration;

use daisyyard_derive::value;

use crate::catalog::{Kind, Limits};
use crate::draft::{Account, Draft, Entry, Field, Route, Service};
use crate::finding::{self, Finding};

/// What became of an entry.
#[value]
pub enum Change {
    /// The entry with this name, or the credential with this fingerprint, is new.
    Added(String),
    /// It is gone; its place is that in the old version.
    Removed(String),
    /// It has another value.
    Changed {
        /// Value in the old version.
        old: String,
        /// Value in the new version.
        new: String,
    },
}

/// An entry that differs.
#[value]
pub struct Difference {
    /// Its place.
    pub entry: Entry,
    /// Name of the route, service or account of which it is a part; absent for whole entries.
    pub name: Option<String>,
    /// What became of it.
    pub change: Change,
}

/// Values of the fields of an entry, as they are shown.
type Values = Vec<(Field, String)>;

/// Checks that the version increases.
pub fn check_version(old: &Draft, new: &Draft) -> Option<Finding> {
    (new.version <= old.version).then(|| {
        finding::error(
            Entry::Version,
            format!(
                "{} does not increase the version in force, {}",
                new.version, old.version
            ),
            &format!("set it to {} or more", old.version.saturating_add(1)),
        )
    })
}

/// Returns what differs between an old and a new version.
pub fn all(old: &Draft, new: &Draft) -> Vec<Difference> {
    let mut found = Vec::new();
    if old.version != new.version {
        let change = Change::Changed {
            old: old.version.to_string(),
            new: new.version.to_string(),
        };
        let (entry, name) = (Entry::Version, None);
        found.push(Difference {
            entry,
            name,
            change,
        });
    }
    compare(
        None,
        &limits(&old.limits),
        &limits(&new.limits),
        Entry::Limits,
        &mut found,
    );
    let named = |service: &Service| (service.name.clone(), service_values(service));
    let olds: Vec<_> = old.services.iter().map(named).collect();
    let news: Vec<_> = new.services.iter().map(named).collect();
    pair(&olds, &news, Entry::Service, &mut found);
    let named = |route: &Route| (route.name.clone(), route_values(route));
    let olds: Vec<_> = old.routes.iter().map(named).collect();
    let news: Vec<_> = new.routes.iter().map(named).collect();
    pair(&olds, &news, Entry::Route, &mut found);
    compare_accounts(old, new, &mut found);
    found
}

/// Compares entries by their names.
fn pair(
    olds: &[(String, Values)],
    news: &[(String, Values)],
    entry: impl Fn(usize, Field) -> Entry,
    found: &mut Vec<Difference>,
) {
    let mut paired = HashSet::new();
    for (index, (name, values)) in news.iter().enumerate() {
        let mut rest = olds.iter().enumerate();
        let old = rest.find(|(position, (old, _))| old == name && !paired.contains(position));
        let Some((position, (_, old))) = old else {
            found.push(Difference {
                entry: entry(index, Field::Whole),
                name: None,
                change: Change::Added(format!("{name:?}")),
            });
            continue;
        };
        paired.insert(position);
        compare(Some(name), old, values, |field| entry(index, field), found);
    }
    for (index, (name, _)) in olds.iter().enumerate() {
        if !paired.contains(&index) {
            found.push(Difference {
                entry: entry(index, Field::Whole),
                name: None,
                change: Change::Removed(format!("{name:?}")),
            });
        }
    }
}

/// Compares the values of two entries.
fn compare(
    name: Option<&String>,
    old: &Values,
    new: &Values,
    entry: impl Fn(Field) -> Entry,
    found: &mut Vec<Difference>,
) {
    for ((field, old), (_, new)) in old.iter().zip(new) {
        if old != new {
            found.push(Difference {
                entry: entry(*field),
                name: name.cloned(),
                change: Change::Changed {
                    old: old.clone(),
                    new: new.clone(),
                },
            });
        }
    }
}

/// Compares the accounts and their credentials.
fn compare_accounts(old: &Draft, new: &Draft, found: &mut Vec<Difference>) {
    let state = |draft: &Draft| match draft.accounts {
        Some(_) => "requests need a credential".to_owned(),
        None => "requests need no credential".to_owned(),
    };
    if old.accounts.is_some() != new.accounts.is_some() {
        let change = Change::Changed {
            old: state(old),
            new: state(new),
        };
        let (entry, name) = (Entry::Accounts, None);
        found.push(Difference {
            entry,
            name,
            change,
        });
    }
    let (olds, news) = (accounts(old), accounts(new));
    let named = |account: &Account| (account.name.clone(), account_values(account));
    let old_values: Vec<_> = olds.iter().map(named).collect();
    let new_values: Vec<_> = news.iter().map(named).collect();
    pair(&old_values, &new_values, Entry::Account, found);
    compare_credentials(news, olds, Change::Added, found);
    compare_credentials(olds, news, Change::Removed, found);
}

/// Reports the credentials of accounts that the accounts of the same names in the other version do not
/// have.
fn compare_credentials(
    accounts: &[Account],
    others: &[Account],
    change: fn(String) -> Change,
    found: &mut Vec<Difference>,
) {
    for (index, account) in accounts.iter().enumerate() {
        let other = others.iter().find(|other| other.name == account.name);
        let known = other.map_or(&[][..], |other| &other.credentials);
        for (position, credential) in account.credentials.iter().enumerate() {
            if !known.contains(credential) {
                found.push(Difference {
                    entry: Entry::Account(index, Field::Credential(position)),
                    name: Some(account.name.clone()),
                    change: change(credential.to_string()),
                });
            }
        }
    }
}

/// Returns the accounts of a version.
fn accounts(draft: &Draft) -> &[Account] {
    draft.accounts.as_deref().unwrap_or_default()
}

/// Returns a value, or `none`.
fn optional<T>(value: Option<T>, show: impl Fn(T) -> String) -> String {
    value.map_or_else(|| "none".to_owned(), show)
}

/// Returns a time with its unit.
fn time(time: Duration) -> String {
    format!("{time:?}")
}

/// Returns a text in quotes, on one line whatever it contains.
fn quoted(text: &str) -> String {
    format!("{text:?}")
}

/// Returns `yes` or `no`.
fn flag(flag: bool) -> String {
    if flag { "yes" } else { "no" }.to_owned()
}

/// Returns the values of the limits.
fn limits(limits: &Limits) -> Values {
    vec![
        (Field::MaxHeaderBytes, limits.max_header_bytes.to_string()),
        (Field::MaxBodyBytes, limits.max_body_bytes.to_string()),
        (Field::HeaderTimeout, optional(limits.header_timeout, time)),
        (Field::IdleTimeout, time(limits.idle_timeout)),
    ]
}

/// Returns the values of a service. Those of engines are absent if it has none.
fn service_values(service: &Service) -> Values {
    let most = match service.max_connections {
        u32::MAX => "unlimited".to_owned(),
        number => number.to_string(),
    };
    let engine = service.engine.as_ref();
    vec![
        (Field::MaxConnections, most),
        (
            Field::Memory,
            optional(engine, |one| one.memory.to_string()),
        ),
        (
            Field::HandleTime,
            optional(engine, |one| format!("{} s", one.handle_s)),
        ),
        (
            Field::TokenBytes,
            optional(engine, |one| one.token_bytes.to_string()),
        ),
        (
            Field::LinkRate,
            optional(engine, |one| one.link_mbps.to_string()),
        ),
        (Field::Moves, optional(engine, |one| flag(one.moves))),
        (Field::Backups, optional(engine, |one| flag(one.backups))),
        (Field::ColdTime, format!("{} s", service.cold_s)),
        (
            Field::ColdRate,
            format!("{} per second", service.cold_per_s),
        ),
    ]
}

/// Returns the values of a route.
fn route_values(route: &Route) -> Values {
    let kind = match route.kind {
        Kind::Idempotent => "idempotent",
        Kind::NonIdempotent => "not idempotent",
        Kind::Streaming => "streaming",
    };
    let shares = route.shares.iter();
    let shares: Vec<String> = shares
        .map(|(name, weight)| format!("{name:?} {weight}"))
        .collect();
    let shares = (!shares.is_empty()).then(|| shares.join(" + "));
    vec![
        (Field::Host, quoted(&route.host)),
        (Field::PathPrefix, quoted(&route.path_prefix)),
        (Field::Kind, kind.to_owned()),
        (Field::Timeout, time(route.timeout)),
        (Field::TargetLatency, optional(route.target_latency, time)),
        (Field::TargetGap, optional(route.target_gap, time)),
        (Field::Resumable, flag(route.resumable)),
        (Field::MaxAttempts, route.max_attempts.to_string()),
        (Field::Priority, route.priority.to_string()),
        (Field::Public, flag(route.public)),
        (
            Field::Service,
            optional(route.service.as_ref(), |name| quoted(name)),
        ),
        (Field::Shares, optional(shares, |text| text)),
    ]
}

/// Returns the values of an account without its credentials.
fn account_values(account: &Account) -> Values {
    let priority = optional(account.priority, |number| number.to_string());
    vec![(Field::Priority, priority)]
}

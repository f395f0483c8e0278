//! Faults of a configuration version that can be found before it is in force.

use std::collections::{HashMap, HashSet};

use daisyyard_derive::{key, value};

use crate::catalog::Kind;
use crate::draft::{Account, Draft, Entry, Field, Route, Service};
use crate::footprint::{Footprint, Holder, Machine, Use};

/// Thousandths in which weights are counted; smaller fractions have no effect.
const WEIGHT_UNITS: f64 = 1_000.0;

/// Whether a configuration may be sent in spite of a finding.
#[key]
pub enum Severity {
    /// It may, but an entry has no effect or contradicts another.
    Warning,
    /// It must not: requests would fail.
    Error,
}

/// A fault of one entry.
#[value]
pub struct Finding {
    /// Whether the configuration may be sent.
    pub severity: Severity,
    /// The entry.
    pub entry: Entry,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

/// Returns the faults of a configuration, in the order of its entries. Bodies must fit into the memory
/// of the given machine.
pub fn all(draft: &Draft, machine: Machine) -> Vec<Finding> {
    let mut found = Vec::new();
    check_limits(draft, machine, &mut found);
    check_services(draft, &mut found);
    check_routes(draft, &mut found);
    check_accounts(draft, &mut found);
    found.sort_by_key(|finding| finding.entry);
    found
}

/// Creates an error.
pub(crate) fn error(entry: Entry, problem: String, remedy: &str) -> Finding {
    Finding {
        severity: Severity::Error,
        entry,
        problem,
        remedy: remedy.to_owned(),
    }
}

/// Creates a warning.
fn warning(entry: Entry, problem: String, remedy: &str) -> Finding {
    Finding {
        severity: Severity::Warning,
        ..error(entry, problem, remedy)
    }
}

/// Checks the limits on clients.
fn check_limits(draft: &Draft, machine: Machine, found: &mut Vec<Finding>) {
    let limits = &draft.limits;
    // The bodies of one account may take less than those of all. Any account stands for all.
    let account = draft.accounts.is_some().then_some(0);
    let room = Footprint::new(machine).room(&Holder::new(Use::Body, account));
    if limits.max_body_bytes > room {
        found.push(warning(
            Entry::Limits(Field::MaxBodyBytes),
            format!(
                "a gateway with {} bytes of memory holds a body of at most {room} bytes, not {}",
                machine.memory, limits.max_body_bytes
            ),
            &format!("set it to {room} or less, or run gateways with more memory"),
        ));
    }
    if let Some(timeout) = limits.header_timeout
        && timeout > limits.idle_timeout
    {
        found.push(warning(
            Entry::Limits(Field::HeaderTimeout),
            format!(
                "heads may take {timeout:?}, longer than the idle timeout of {:?}",
                limits.idle_timeout
            ),
            "set it to the idle timeout or less",
        ));
    }
}

/// Reports names that an earlier entry has.
fn check_names<'a>(
    names: impl Iterator<Item = &'a String>,
    entry: impl Fn(usize, Field) -> Entry,
    found: &mut Vec<Finding>,
) {
    let mut known = HashSet::new();
    for (index, name) in names.enumerate() {
        if !known.insert(name) {
            found.push(error(
                entry(index, Field::Name),
                format!("an earlier entry has the name {name:?} too"),
                "rename or remove one of them",
            ));
        }
    }
}

/// Checks the services.
fn check_services(draft: &Draft, found: &mut Vec<Finding>) {
    let names = draft.services.iter().map(|service| &service.name);
    check_names(names, Entry::Service, found);
    let routes = draft.routes.iter();
    let targets: HashSet<&str> = routes
        .flat_map(Route::targets)
        .map(|(_, name)| name)
        .collect();
    for (index, service) in draft.services.iter().enumerate() {
        if !targets.contains(service.name.as_str()) {
            found.push(warning(
                Entry::Service(index, Field::Whole),
                format!("no route leads to the service {:?}", service.name),
                "add a route to it, or remove it",
            ));
        }
        check_cold(service, index, found);
    }
}

/// Checks that a service has both a cold time and a cold rate, or neither.
fn check_cold(service: &Service, index: usize, found: &mut Vec<Finding>) {
    // A rate below a thousandth counts as none.
    let has_rate = service.cold_per_s * WEIGHT_UNITS >= 1.0;
    let (field, problem, remedy) = match (service.cold_s > 0.0, has_rate) {
        (true, false) => (
            Field::ColdTime,
            format!(
                "endpoints are cold for {} s, but no rate limits requests to them",
                service.cold_s
            ),
            "set the cold rate to 0.001 per second or more, or remove the cold time",
        ),
        (false, true) => (
            Field::ColdRate,
            format!(
                "cold endpoints tolerate {} requests per second, but no endpoint is ever cold",
                service.cold_per_s
            ),
            "set the cold time, or remove the cold rate",
        ),
        _ => return,
    };
    found.push(warning(Entry::Service(index, field), problem, remedy));
}

/// Checks the routes.
fn check_routes(draft: &Draft, found: &mut Vec<Finding>) {
    let names = draft.routes.iter().map(|route| &route.name);
    check_names(names, Entry::Route, found);
    let services: HashSet<&str> = draft.services.iter().map(|one| one.name.as_str()).collect();
    let mut matches: HashMap<(String, &str), &str> = HashMap::new();
    for (index, route) in draft.routes.iter().enumerate() {
        let key = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
        if let Some(first) = matches.get(&key) {
            found.push(warning(
                Entry::Route(index, Field::PathPrefix),
                format!("never matches, as the route {first:?} has the same host and prefix"),
                "change the host or the prefix, or remove one of the routes",
            ));
        } else {
            matches.insert(key, &route.name);
        }
        for (field, name) in route.targets() {
            if !services.contains(name) {
                found.push(error(
                    Entry::Route(index, field),
                    format!("no entry defines the service {name:?}"),
                    "correct the name, or add the service",
                ));
            }
        }
        check_match(route, index, found);
        check_shares(route, index, found);
        check_times(route, index, found);
    }
}

/// Checks the host and the prefix of a route.
fn check_match(route: &Route, index: usize, found: &mut Vec<Finding>) {
    if route.host.contains(':') {
        found.push(warning(
            Entry::Route(index, Field::Host),
            format!(
                "never matches, as hosts are compared without a port: {:?}",
                route.host
            ),
            "remove the port",
        ));
    }
    let prefix = &route.path_prefix;
    let problem = match (prefix.starts_with('/'), prefix.ends_with('/')) {
        (true, true) => return,
        (true, false) => format!("{prefix:?} also matches longer names that begin with it"),
        (false, _) => format!("{prefix:?} never matches, as paths begin with a slash"),
    };
    found.push(warning(
        Entry::Route(index, Field::PathPrefix),
        problem,
        "begin and end it with a slash",
    ));
}

/// Checks the services of a route and their weights.
fn check_shares(route: &Route, index: usize, found: &mut Vec<Finding>) {
    let entry = |field| Entry::Route(index, field);
    if route.shares.is_empty() {
        if route.service.is_none() {
            found.push(error(
                entry(Field::Whole),
                format!("the route {:?} leads to no service", route.name),
                "name a service",
            ));
        }
        return;
    }
    if route.service.is_some() {
        found.push(warning(
            entry(Field::Service),
            "has no effect, as the traffic is split among services".to_owned(),
            "remove it, or the split",
        ));
    }
    let mut total: u64 = 0;
    for (position, (name, weight)) in route.shares.iter().enumerate() {
        let units = (weight * WEIGHT_UNITS) as u32;
        total += u64::from(units);
        if *weight < 0.0 {
            found.push(error(
                entry(Field::ShareWeight(position)),
                format!("the weight of {name:?} is negative: {weight}"),
                "set it to 0 or more",
            ));
        } else if *weight > 0.0 && units == 0 {
            found.push(warning(
                entry(Field::ShareWeight(position)),
                format!("the weight {weight} of {name:?} counts as 0"),
                "multiply all weights of the route, so that each is 0.001 or more",
            ));
        }
    }
    if total == 0 || total > u64::from(u32::MAX) {
        let sum = if total == 0 { "zero" } else { "too much" };
        found.push(error(
            entry(Field::Shares),
            format!("the weights sum to {sum}"),
            "set weights whose sum is above 0 and below 4 million",
        ));
    }
}

/// Checks that the limits of a route do not contradict each other.
fn check_times(route: &Route, index: usize, found: &mut Vec<Finding>) {
    let mut warn = |field, problem, remedy: &str| {
        found.push(warning(Entry::Route(index, field), problem, remedy));
    };
    let (attempts, timeout) = (route.max_attempts, route.timeout);
    if attempts > 1 && !route.is_repeatable() {
        warn(
            Field::MaxAttempts,
            format!("allows {attempts} attempts, but a request of this route may run only once"),
            "set it to 1, or let the route repeat requests if that is safe",
        );
    }
    if let Some(target) = route.target_latency {
        if target > timeout {
            warn(
                Field::TargetLatency,
                format!("the target of {target:?} is above the timeout of {timeout:?}"),
                "lower the target or raise the timeout",
            );
        } else if attempts > 1
            && route.is_repeatable()
            && target.as_secs_f64() * f64::from(attempts) > timeout.as_secs_f64()
        {
            warn(
                Field::MaxAttempts,
                format!(
                    "{attempts} attempts of {target:?} each do not fit into the timeout of {timeout:?}"
                ),
                "lower the attempts or the target latency, or raise the timeout",
            );
        }
    }
    let Some(gap) = route.target_gap else {
        return;
    };
    if route.kind != Kind::Streaming {
        warn(
            Field::TargetGap,
            "has no effect, as the route is not streaming".to_owned(),
            "remove it, or make the route streaming",
        );
    } else if gap > timeout {
        warn(
            Field::TargetGap,
            format!("the gap of {gap:?} is above the timeout of {timeout:?}"),
            "lower the gap or raise the timeout",
        );
    }
}

/// Checks the client accounts.
fn check_accounts(draft: &Draft, found: &mut Vec<Finding>) {
    let Some(accounts) = &draft.accounts else {
        return;
    };
    let names = accounts.iter().map(|account| &account.name);
    check_names(names, Entry::Account, found);
    let guarded = draft.routes.iter().any(|route| draft.is_guarded(route));
    if accounts.is_empty() && guarded {
        found.push(warning(
            Entry::Accounts,
            "no account can use the routes that are not public".to_owned(),
            "add accounts, or remove the list if requests need no credential",
        ));
    }
    let mut owners: HashMap<_, usize> = HashMap::new();
    for (index, account) in accounts.iter().enumerate() {
        if account.credentials.is_empty() && guarded {
            found.push(warning(
                Entry::Account(index, Field::Credentials),
                format!(
                    "the account {:?} has no credential, and not all routes are public",
                    account.name
                ),
                "add a credential, or remove the account",
            ));
        }
        check_credentials(accounts, index, &mut owners, found);
    }
}

/// Reports credentials of an account that an earlier account has.
fn check_credentials<'a>(
    accounts: &'a [Account],
    index: usize,
    owners: &mut HashMap<&'a crate::draft::Fingerprint, usize>,
    found: &mut Vec<Finding>,
) {
    for (position, credential) in accounts[index].credentials.iter().enumerate() {
        let owner = *owners.entry(credential).or_insert(index);
        if owner != index {
            found.push(error(
                Entry::Account(index, Field::Credential(position)),
                format!(
                    "the account {:?} has the credential {credential} too",
                    accounts[owner].name
                ),
                "remove it from one of the accounts, or issue a new one",
            ));
        }
    }
}

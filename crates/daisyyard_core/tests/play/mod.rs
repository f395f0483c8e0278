//! Callers and engines in virtual time: engines have slots and memory, read prompts one after another
//! and then generate at a fixed pace. One node decides for all of them.

#![allow(dead_code, reason = "each test file uses a part of this module")]

mod figures;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use daisyyard_core::backlog::{Backlog, Schedule};
use daisyyard_core::gate::Gate;
use daisyyard_core::id::{EndpointId, ServiceId, Tokens};
use daisyyard_core::outlook::Verdict;
use daisyyard_core::refusals::{Refusals, Refused};
use daisyyard_core::room::{FORECAST_LONG_RUN_SHARE, MAX_WAITING_PREFILL, Room};
use daisyyard_core::turn::{Ask, Kind, patience};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub use figures::{Class, Tally, flanders, lublin};

/// Service of all requests.
const SERVICE: ServiceId = 1;
/// Time between two steps.
const STEP: Duration = Duration::from_millis(10);
/// Tokens that an engine reads in a millisecond.
const READ_PER_MS: u64 = 14;
/// Time between two events of a run.
const EVENT_MS: u64 = 12;
/// Time between two reviews of the waiting requests, in milliseconds.
const REVIEW_MS: u128 = 50;
/// Share of the memory that long requests may use today.
const TODAY_LONG_SHARE: f64 = 0.8;

/// Order of the waiting requests and rule for refusals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The order without the new admission: waiting ends at the target.
    Today,
    /// First come, first served.
    Fcfs,
    /// Least memory and time first.
    Shortest,
    /// The new admission.
    Gate,
}

/// A request of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Number of the request.
    pub number: usize,
    /// Index of its class.
    class: usize,
    /// Account.
    pub account: u64,
    /// Whether it is one of the largest tenth.
    large: bool,
    /// Prompt tokens and output events.
    prompt: Tokens,
    events: Tokens,
    /// When it was first sent, and when it was sent last.
    first: Instant,
    sent: Instant,
    /// Whether it was sent twice.
    again: bool,
}

/// A run at an engine.
#[derive(Debug, Clone, Copy)]
struct Run {
    request: Request,
    ask: Ask,
    started: Instant,
    first_token: Instant,
    ends: Instant,
    announced: bool,
}

/// An engine.
#[derive(Debug, Default)]
struct Engine {
    runs: Vec<Run>,
    reads_until: Option<Instant>,
}

/// The load, the engines and the figures.
pub struct Play {
    policy: Policy,
    pub classes: Vec<Class>,
    memory: Tokens,
    slots: usize,
    engines: Vec<Engine>,
    pub open: usize,
    pub now: Instant,
    start: Instant,
    random: Pcg64Mcg,
    sent: usize,
    backlog: Backlog<Request>,
    line: Vec<(Ask, Request)>,
    gate: Gate<(Ask, Request)>,
    known_refusals: Refusals,
    returns: Vec<(Instant, Request)>,
    /// Weights of the accounts.
    pub accounts: Vec<f64>,
    /// Figures by class and whether the request is one of the largest tenth.
    pub by_class: BTreeMap<(usize, bool), Tally>,
    /// Figures by account.
    pub by_account: BTreeMap<u64, Tally>,
    /// Requests in the order of their starts.
    pub starts: Vec<(Duration, Request)>,
    /// Refusals with their times and delays.
    pub refusals: Vec<(Duration, Duration, Request)>,
    /// Refusals while an engine was idle.
    pub idle_refusals: u32,
}

impl Play {
    /// Creates engines without runs, and as many accounts of equal weight.
    pub fn new(
        policy: Policy,
        classes: &[Class],
        engines: usize,
        accounts: usize,
        seed: u64,
    ) -> Self {
        let now = Instant::now();
        Self {
            policy,
            classes: classes.to_vec(),
            memory: 26_885,
            slots: 24,
            engines: (0..engines).map(|_| Engine::default()).collect(),
            open: engines,
            now,
            start: now,
            random: Pcg64Mcg::seed_from_u64(seed),
            sent: 0,
            backlog: Backlog::default(),
            line: Vec::new(),
            gate: Gate::new(seed),
            known_refusals: Refusals::default(),
            returns: Vec::new(),
            accounts: vec![1.0; accounts],
            by_class: BTreeMap::new(),
            by_account: BTreeMap::new(),
            starts: Vec::new(),
            refusals: Vec::new(),
            idle_refusals: 0,
        }
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Plays for a time with a factor on the rate of each class.
    pub fn run(&mut self, time: Duration, factor: impl Fn(&Class) -> f64) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.end_runs();
            for class in 0..self.classes.len() {
                let rate = self.classes[class].rate * factor(&self.classes[class]);
                let mut expected = rate * STEP.as_secs_f64();
                while self.random.random_bool(expected.min(1.0)) {
                    self.send_new(class);
                    expected -= 1.0;
                    if expected <= 0.0 {
                        break;
                    }
                }
            }
            let due = self.now;
            let returning: Vec<(Instant, Request)> =
                self.returns.extract_if(.., |(at, _)| *at <= due).collect();
            for (_, mut request) in returning {
                request.sent = self.now;
                self.arrive(request);
            }
            self.start_waiting();
        }
    }

    /// Lets the requests that wait and run come to their ends.
    pub fn finish(&mut self) {
        self.run(Duration::from_secs(45), |_| 0.0);
    }

    /// Sends a new request of a class.
    pub fn send_new(&mut self, class: usize) -> usize {
        let total: f64 = self.accounts.iter().sum();
        let mut point = self.random.random_range(0.0..total);
        let position = self.accounts.iter().position(|weight| {
            point -= weight;
            point < 0.0
        });
        let account = position.unwrap_or_default() as u64 + 1;
        self.send(class, account)
    }

    /// Sends a new request of a class and account.
    pub fn send(&mut self, class: usize, account: u64) -> usize {
        let (prompt, events, largest) = self.classes[class].work;
        let large = self.random.random_bool(0.1);
        let factor = if large { largest } else { 1 };
        let spread = self.random.random_range(0.6..1.4);
        self.sent += 1;
        let request = Request {
            number: self.sent,
            class,
            account,
            large,
            prompt: prompt * factor,
            events: ((events * factor) as f64 * spread).ceil() as Tokens,
            first: self.now,
            sent: self.now,
            again: false,
        };
        self.tally(&request, |tally| tally.sent += 1);
        self.arrive(request);
        request.number
    }

    /// Changes the figures of the groups of a request.
    fn tally(&mut self, request: &Request, change: impl Fn(&mut Tally)) {
        let class = (request.class, request.large);
        change(self.by_class.entry(class).or_default());
        change(self.by_account.entry(request.account).or_default());
    }

    /// Returns what a request asks for.
    fn ask(&mut self, request: &Request) -> Ask {
        let class = &self.classes[request.class];
        let target = Duration::from_millis(class.times.0);
        let place = if request.again && self.policy == Policy::Gate {
            let known = self.known_refusals.take(request.number as u64, self.now);
            known.unwrap_or(request.sent)
        } else {
            request.sent
        };
        Ask {
            kind: Kind {
                service: SERVICE,
                priority: class.priority,
                short: class.work.1 < 25,
            },
            account: request.account,
            size: request.prompt + (request.events as f64 * 4.0 * 0.6) as Tokens,
            place,
            target: place + target,
            leaves: request.sent + patience(target, Some(Duration::from_millis(180))),
            deadline: request.first + Duration::from_millis(class.times.1),
        }
    }

    /// Passes a request to the node.
    fn arrive(&mut self, request: Request) {
        let ask = self.ask(&request);
        match self.policy {
            Policy::Today => {
                let schedule = Schedule {
                    priority: ask.kind.priority,
                    short: ask.kind.short,
                    arrived: request.sent,
                    target: ask.target,
                    expires: ask.target.min(ask.deadline),
                };
                self.backlog.push(schedule, request);
            }
            Policy::Fcfs | Policy::Shortest => self.line.push((ask, request)),
            Policy::Gate => {
                self.gate.arrive(&ask, self.now);
                let room = self.room();
                let may_start = self.gate.may_start(&ask, &room, self.now);
                let kept = self.gate.kept_endpoints(ask.kind, self.now);
                if may_start && self.place(&ask, &request, &kept) {
                    self.gate.count_start(&ask, self.now);
                    return;
                }
                match self.gate.judge(&ask, &room, self.now) {
                    Verdict::Wait => self.gate.push(ask, (ask, request)),
                    Verdict::Refuse(delay) => self.refuse(&ask, request, delay),
                }
            }
        }
    }

    /// Returns the room at the engines.
    fn room(&self) -> Room {
        let reserve = self.gate.forecast.reserve(SERVICE, 0);
        let mut room = Room::default();
        for (index, engine) in self.engines[..self.open].iter().enumerate() {
            let held = engine.held();
            let free = self.memory.saturating_sub(held);
            room.memory += self.memory;
            room.held += held;
            room.idle |= engine.runs.is_empty();
            let by_slots = (self.slots - engine.runs.len()) as u64;
            room.short_places += (free / reserve.size.max(1)).min(by_slots) as usize;
            if free > room.most {
                room.most = free;
                room.roomiest = Some(index as EndpointId);
            }
        }
        room
    }

    /// Starts a request at the engine with the least load that has room for it.
    fn place(&mut self, ask: &Ask, request: &Request, kept: &[EndpointId]) -> bool {
        let share = match (self.policy, ask.kind.short) {
            (Policy::Today, false) => TODAY_LONG_SHARE,
            (Policy::Gate, false) => FORECAST_LONG_RUN_SHARE,
            _ => 1.0,
        };
        let (now, memory, slots) = (self.now, self.memory, self.slots);
        let limits_reads = self.policy == Policy::Gate;
        let best = self.engines[..self.open]
            .iter()
            .enumerate()
            .filter(|(index, engine)| {
                let fits = (engine.held() + ask.size) as f64 <= memory as f64 * share;
                let reads = !limits_reads || engine.waits(now) <= MAX_WAITING_PREFILL;
                let open = !kept.contains(&(*index as EndpointId));
                (fits || engine.runs.is_empty()) && engine.runs.len() < slots && reads && open
            })
            .min_by_key(|(_, engine)| engine.held() + engine.waits(now) * 2)
            .map(|(index, _)| index);
        let Some(index) = best else {
            return false;
        };
        let engine = &mut self.engines[index];
        let free_at = engine.reads_until.map_or(now, |until| until.max(now));
        let first_token = free_at + Duration::from_millis(request.prompt / READ_PER_MS);
        engine.reads_until = Some(first_token);
        let ends = first_token + Duration::from_millis(request.events * EVENT_MS);
        engine.runs.push(Run {
            request: *request,
            ask: *ask,
            started: now,
            first_token,
            ends,
            announced: false,
        });
        let elapsed = self.elapsed();
        self.starts.push((elapsed, *request));
        true
    }

    /// Ends runs and counts first tokens.
    fn end_runs(&mut self) {
        let now = self.now;
        let mut served = Vec::new();
        for engine in &mut self.engines {
            for run in engine.runs.iter_mut().filter(|run| run.first_token <= now) {
                if !run.announced {
                    run.announced = true;
                    served.push(*run);
                }
            }
            for run in engine.runs.extract_if(.., |run| run.ends <= now) {
                self.gate
                    .forecast
                    .observe_hold(run.ask.kind, now - run.started);
            }
        }
        for run in served {
            let lead = run.first_token - run.started;
            self.gate.forecast.observe_lead(run.ask.kind, lead);
            let class = self.classes[run.request.class];
            if run.first_token > run.ask.leaves || run.ends > run.ask.deadline {
                self.tally(&run.request, |tally| tally.lost += 1);
                continue;
            }
            let target = Duration::from_millis(class.times.0);
            let in_time = run.first_token <= run.request.first + target;
            self.tally(&run.request, |tally| {
                if in_time {
                    tally.in_time += 1;
                    tally.worth += class.worth.0;
                } else {
                    tally.late += 1;
                    tally.worth += class.worth.1;
                }
            });
        }
    }

    /// Starts waiting requests and ends the waiting of others.
    fn start_waiting(&mut self) {
        let now = self.now;
        match self.policy {
            Policy::Today => {
                for request in self.backlog.expire(now) {
                    let ask = self.ask(&request);
                    self.refuse(&ask, request, Duration::from_secs(1));
                }
                let mut backlog = std::mem::take(&mut self.backlog);
                let leads = self.classes.iter().map(|class| Kind {
                    service: SERVICE,
                    priority: class.priority,
                    short: class.work.1 < 25,
                });
                let leads: Vec<Duration> =
                    leads.map(|kind| self.gate.forecast.lead(kind)).collect();
                while backlog.start(
                    now,
                    |request| leads[request.class],
                    |request| {
                        let ask = self.ask(&request);
                        (!self.place(&ask, &request, &[])).then_some(request)
                    },
                ) {}
                self.backlog = backlog;
            }
            Policy::Fcfs | Policy::Shortest => self.start_line(),
            Policy::Gate => {
                let rooms = BTreeMap::from([(SERVICE, self.room())]);
                let due = self.elapsed().as_millis().is_multiple_of(REVIEW_MS);
                let refused = if due {
                    self.gate.review(&rooms, now)
                } else {
                    Vec::new()
                };
                for (ask, (_, request), delay) in refused {
                    self.refuse(&ask, request, delay);
                }
                let mut gate = std::mem::replace(&mut self.gate, Gate::new(0));
                loop {
                    let rooms = BTreeMap::from([(SERVICE, self.room_for(&gate))]);
                    let started = gate.start(&rooms, now, |(ask, request), kept| {
                        (!self.place(&ask, &request, kept)).then_some((ask, request))
                    });
                    if !started {
                        break;
                    }
                }
                self.gate = gate;
            }
        }
    }

    /// Returns the room for the reserve of a gate.
    fn room_for(&mut self, gate: &Gate<(Ask, Request)>) -> Room {
        let reserve = gate.forecast.reserve(SERVICE, 0);
        let mut room = self.room();
        room.short_places = self.engines[..self.open]
            .iter()
            .map(|engine| {
                let free = self.memory.saturating_sub(engine.held());
                let by_slots = (self.slots - engine.runs.len()) as u64;
                (free / reserve.size.max(1)).min(by_slots) as usize
            })
            .sum();
        room
    }

    /// Starts requests of the simple orders; the first of a line in the order of arrival blocks the
    /// rest.
    fn start_line(&mut self) {
        let now = self.now;
        let mut line = std::mem::take(&mut self.line);
        let gone = line.extract_if(.., |(ask, _)| ask.leaves.min(ask.deadline) <= now);
        let gone: Vec<(Ask, Request)> = gone.collect();
        for (ask, request) in gone {
            self.refuse(&ask, request, Duration::from_secs(1));
        }
        if self.policy == Policy::Shortest {
            line.sort_by_key(|(ask, request)| (ask.size * request.events, request.number));
        }
        let mut blocked = false;
        line.retain(|(ask, request)| {
            let stays = blocked || !self.place(ask, request, &[]);
            blocked |= stays && self.policy == Policy::Fcfs;
            stays
        });
        self.line = line;
    }

    /// Refuses a request; its caller returns once if the delay is not too long.
    fn refuse(&mut self, ask: &Ask, mut request: Request, delay: Duration) {
        self.idle_refusals += u32::from(self.room().idle);
        let elapsed = self.elapsed();
        self.refusals.push((elapsed, delay, request));
        let waited = self.now - request.sent;
        let target = Duration::from_millis(self.classes[request.class].times.0);
        if waited > target / 8 {
            // A refusal costs the more the later it comes.
            let limit = Duration::from_millis(self.classes[request.class].times.1);
            let free = target.as_secs_f64() / 8.0;
            let passed = waited.as_secs_f64() - free;
            let share = passed / (limit.as_secs_f64() * 0.75 - free);
            let cost = self.classes[request.class].worth.0 * share.clamp(0.0, 1.0);
            self.tally(&request, |tally| {
                tally.refused_after_waiting += 1;
                tally.worth -= cost;
            });
        }
        let refused = Refused {
            content: request.number as u64,
            place: ask.place,
        };
        self.known_refusals.refuse(refused, self.now);
        let left = ask.deadline.saturating_duration_since(self.now);
        if request.again || delay > left / 3 {
            self.tally(&request, |tally| tally.refused += 1);
            return;
        }
        request.again = true;
        self.returns.push((self.now + delay, request));
    }

    /// Returns the figures of a class, of all sizes.
    pub fn class(&self, class: usize) -> Tally {
        let groups = [false, true].map(|large| self.by_class.get(&(class, large)));
        groups
            .into_iter()
            .flatten()
            .fold(Tally::default(), Tally::plus)
    }
}

impl Engine {
    /// Returns the reserved memory.
    fn held(&self) -> Tokens {
        self.runs.iter().map(|run| run.ask.size).sum()
    }

    /// Returns the prompt tokens that wait.
    fn waits(&self, now: Instant) -> Tokens {
        let left = self.reads_until.unwrap_or(now);
        left.saturating_duration_since(now).as_millis() as u64 * READ_PER_MS
    }
}

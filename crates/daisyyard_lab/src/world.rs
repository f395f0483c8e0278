//! The simulated deployment: engines, callers and the messages under way.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use daisyyard_core::contract::{Contract, Rank};
use daisyyard_core::endpoint::{Endpoint, Load};
use daisyyard_core::id::{self, EndpointId, RequestId};
use daisyyard_core::preset::Terms;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::ablation::Part;
use crate::agenda::{Agenda, At};
use crate::cache::Change;
use crate::caller::{Caller, End};
use crate::deployment::Deployment;
use crate::engine::{Engine, Gauge, Job, Token};
use crate::experiment::Experiment;
use crate::message::Message;
use crate::meter::Meter;
use crate::workload::Arrival;

/// Time for which a reset connection between a node and an engine is down.
const RECONNECT: Duration = Duration::from_millis(300);

/// An event in the deployment.
#[derive(Debug)]
pub enum Event {
    /// A request reaches its node.
    Arrive(RequestId),
    /// A job reaches an engine.
    Submit(usize, Job),
    /// A cancellation reaches an engine.
    Cancel(usize, RequestId),
    /// An engine ends a step.
    Step(usize),
    /// The last token of a request reaches its node.
    Done(usize, RequestId),
    /// Engines measure their load.
    Measure,
    /// A load report and the cache changes since the last one arrive.
    Report(usize, Gauge, At, Vec<Change>),
    /// Nodes check what waits.
    Tick,
    /// Nodes report progress.
    Second,
    /// The longest time in the queue has passed for a request.
    Patience(RequestId),
    /// A message between nodes arrives.
    Message(Message),
    /// The contact between the first zone's nodes and the others is lost or restored.
    Cut(bool),
    /// A node has a new connection for the stream of a request.
    Reconnect(RequestId),
}

/// Where a request runs.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Engine that runs the request.
    pub engine: usize,
    /// Generation of the present attempt.
    pub generation: u64,
    /// Tokens that the engine has made.
    pub made: u64,
    /// Whether the engine has made all tokens.
    pub complete: bool,
}

/// The simulated deployment.
#[derive(Debug)]
pub struct World {
    /// Due events.
    pub agenda: Agenda<Event>,
    /// The deployment.
    pub deployment: Deployment,
    /// The experiment.
    pub experiment: Experiment,
    /// Terms of the model service.
    pub terms: Terms,
    /// Engines by number.
    pub engines: Vec<Engine>,
    /// Numbers of the engines by identifier.
    numbers: HashMap<EndpointId, usize>,
    /// Requests.
    pub arrivals: Vec<Arrival>,
    /// Callers by request.
    pub callers: Vec<Caller>,
    /// Present run of each request.
    pub runs: Vec<Option<Run>>,
    /// Requests that have not ended.
    pub open: usize,
    /// Whether the contact between zones is lost.
    pub cut: bool,
    /// Random numbers of the deployment.
    pub random: Pcg64,
    /// Measurements.
    pub meter: Meter,
}

impl World {
    /// Creates the deployment with the given arrivals.
    pub fn new(
        deployment: Deployment,
        experiment: Experiment,
        seed: u64,
        arrivals: Vec<Arrival>,
    ) -> Self {
        let mut agenda = Agenda::new();
        for arrival in &arrivals {
            agenda.add(arrival.at, Event::Arrive(arrival.id));
        }
        agenda.add(At::ZERO, Event::Measure);
        agenda.add(At::ZERO, Event::Tick);
        agenda.add(At::ZERO, Event::Second);
        if experiment.cut {
            agenda.add(experiment.window.0, Event::Cut(true));
            agenda.add(experiment.window.1, Event::Cut(false));
        }
        let engine = |_: &Endpoint| Engine::new(deployment.model.clone());
        let engines = deployment.engines.iter().map(engine).collect();
        let numbers = deployment.engines.iter().enumerate();
        let mut terms = Terms::ordinary(deployment.service);
        if experiment.without == Some(Part::Floors) {
            terms.urgent.floor = 0.0;
            terms.deferrable.floor = 0.0;
        }
        Self {
            agenda,
            terms,
            engines,
            numbers: numbers.map(|(index, one)| (one.id, index)).collect(),
            callers: arrivals
                .iter()
                .map(|arrival| Caller::new(arrival.at))
                .collect(),
            runs: vec![None; arrivals.len()],
            open: arrivals.len(),
            arrivals,
            deployment,
            experiment,
            cut: false,
            random: Pcg64::seed_from_u64(id::of(&format!("{seed}/world"))),
            meter: Meter::new(),
        }
    }

    /// Returns whether a part of the decisions is left out.
    pub fn without(&self, part: Part) -> bool {
        self.experiment.without == Some(part)
    }

    /// Returns the present time as decisions see it.
    pub fn now(&self) -> Instant {
        self.agenda.instant(self.agenda.now())
    }

    /// Returns the number of an engine.
    pub fn number(&self, endpoint: EndpointId) -> usize {
        self.numbers[&endpoint]
    }

    /// Returns a request.
    pub fn arrival(&self, request: RequestId) -> &Arrival {
        &self.arrivals[request as usize]
    }

    /// Returns the contract of a request.
    pub fn contract(&self, request: RequestId) -> &Contract {
        self.terms.contract(self.arrival(request).rank)
    }

    /// Returns the one-way delay between the node of a request and an engine.
    pub fn distance(&self, request: RequestId, engine: usize) -> Duration {
        let node = &self.deployment.nodes[self.arrival(request).node];
        self.deployment
            .between(&node.zone, &self.deployment.engines[engine].zone)
    }

    /// Sends a request from its node to an engine.
    pub fn submit(&mut self, request: RequestId, engine: usize, priority: u8) {
        let arrival = self.arrival(request);
        let job = Job {
            request,
            priority,
            prompt: arrival.prompt,
            output: arrival.output,
            prefix: arrival.prefix.clone(),
        };
        let generation = self.meter.generation();
        let now = self.agenda.now();
        let caller = &mut self.callers[request as usize];
        caller.sent = Some(now);
        caller.cursor.bind(generation);
        self.runs[request as usize] = Some(Run {
            engine,
            generation,
            made: 0,
            complete: false,
        });
        let delay = self.distance(request, engine);
        self.agenda.after(delay, Event::Submit(engine, job));
    }

    /// Tells an engine to give up a request.
    pub fn cancel(&mut self, request: RequestId) {
        if let Some(run) = self.runs[request as usize].take() {
            let delay = self.distance(request, run.engine);
            self.agenda.after(delay, Event::Cancel(run.engine, request));
        }
    }

    /// Ends a request.
    pub fn end(&mut self, request: RequestId, end: End) {
        let caller = &mut self.callers[request as usize];
        if caller.end.is_none() {
            caller.end = Some(end);
            self.open -= 1;
        }
    }

    /// Lets an engine start its next step.
    pub fn step(&mut self, engine: usize) {
        if let Some(duration) = self.engines[engine].begin() {
            self.agenda.after(duration, Event::Step(engine));
        }
    }

    /// Ends the step of an engine and delivers its tokens.
    pub fn finish(&mut self, engine: usize) {
        for token in self.engines[engine].finish() {
            self.emit(engine, &token);
        }
        self.step(engine);
    }

    /// Delivers a token that an engine made.
    fn emit(&mut self, engine: usize, token: &Token) {
        let index = token.request as usize;
        let Some(run) = self.runs[index].as_mut() else {
            return;
        };
        if run.engine != engine {
            return;
        }
        run.made = token.offset + 1;
        run.complete = token.last;
        if !self.callers[index].severed {
            self.deliver(token.request, token.offset);
        }
    }

    /// Delivers one token of the present run to its caller.
    fn deliver(&mut self, request: RequestId, offset: u64) {
        let index = request as usize;
        let Some(run) = self.runs[index] else {
            return;
        };
        let hop = self.distance(request, run.engine);
        let at = self.agenda.now() + hop + self.deployment.client_delay;
        let contract = self.terms.contract(self.arrivals[index].rank);
        let caller = &mut self.callers[index];
        let before = caller.received;
        let gap = caller.receive(run.generation, offset, at, contract);
        if caller.received > before {
            if at <= self.experiment.duration {
                caller.timely += 1;
            }
            let window = self.experiment.window;
            let flooding = at >= window.0 && at < window.1;
            self.meter
                .token(&self.arrivals[index], before == 0, gap, flooding);
        }
        if run.complete && offset + 1 == run.made {
            let event = Event::Done(run.engine, request);
            self.agenda.after(hop, event);
        }
    }

    /// Measures the load of all engines and sends the reports.
    pub fn measure(&mut self) {
        let (now, lag) = (self.agenda.now(), self.experiment.lag);
        for number in 0..self.engines.len() {
            let gauge = self.engines[number].gauge();
            self.meter.sample(now, number, &gauge);
            let changes = self.engines[number].cache().changes();
            let event = Event::Report(number, gauge, now, changes);
            self.agenda.after(lag, event);
        }
    }

    /// Returns a load report as the decisions take it.
    pub fn load(&self, gauge: &Gauge, taken: At) -> Load {
        Load {
            measured_at: self.agenda.instant(taken),
            running: gauge.running,
            waiting: gauge.waiting,
            used_tokens: gauge.used,
            memory: self.deployment.model.memory,
            token_gap: gauge.gap,
            preemptions: gauge.preemptions,
        }
    }

    /// Returns whether two zones have contact.
    pub fn connected(&self, one: u64, two: u64) -> bool {
        let first = self.deployment.nodes[0].zone.id;
        !self.cut || (one == first) == (two == first)
    }

    /// Loses or restores the contact between zones and resets the streams that cross the border.
    pub fn sever(&mut self, cut: bool) {
        self.cut = cut;
        let first = self.deployment.nodes[0].zone.id;
        for index in 0..self.callers.len() {
            let Some(run) = self.runs[index] else {
                continue;
            };
            let node = self.deployment.nodes[self.arrivals[index].node].zone.id;
            let engine = self.deployment.engines[run.engine].zone.id;
            if (node == first) != (engine == first) && self.callers[index].end.is_none() {
                self.callers[index].severed = true;
                let event = Event::Reconnect(index as RequestId);
                self.agenda.after(RECONNECT, event);
            }
        }
    }

    /// Resumes the stream of a request on a new connection from the offset it had reached.
    pub fn reconnect(&mut self, request: RequestId) {
        let index = request as usize;
        self.callers[index].severed = false;
        if let Some(run) = self.runs[index] {
            for offset in self.callers[index].cursor.next()..run.made {
                self.deliver(request, offset);
            }
        }
    }

    /// Returns the rank of a request as the priority in the engine; lower goes first.
    pub fn priority(&self, request: RequestId) -> u8 {
        match self.arrival(request).rank {
            Rank::Urgent => 0,
            Rank::Deferrable => 1,
        }
    }
}

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
use crate::cache::Change;
use crate::caller::{Caller, Outcome};
use crate::deployment::Deployment;
use crate::engine::{Engine, Job, Stats, Token};
use crate::event_queue::{Queue, Time};
use crate::experiment::Experiment;
use crate::message::Message;
use crate::meter::Meter;
use crate::workload::Arrival;

/// Time for which a reset connection between a node and an engine is down.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);

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
    StepEnd(usize),
    /// The last token of a request reaches its node.
    Done(usize, RequestId),
    /// Engines measure their load.
    MeasureLoad,
    /// A load report and the cache changes since the last one arrive.
    LoadReport(usize, Stats, Time, Vec<Change>),
    /// Nodes check what waits.
    Tick,
    /// Nodes report progress.
    Publish,
    /// The longest time in the queue has passed for a request.
    QueueTimeout(RequestId),
    /// A message between nodes arrives.
    Message(Message),
    /// The contact between the first zone's nodes and the others is lost or restored.
    Split(bool),
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
    pub events: Queue<Event>,
    /// The deployment.
    pub deployment: Deployment,
    /// The experiment.
    pub experiment: Experiment,
    /// Terms of the model service.
    pub terms: Terms,
    /// Engines by number.
    pub engines: Vec<Engine>,
    /// Numbers of the engines by identifier.
    engine_numbers: HashMap<EndpointId, usize>,
    /// Requests.
    pub arrivals: Vec<Arrival>,
    /// Callers by request.
    pub callers: Vec<Caller>,
    /// Present run of each request.
    pub runs: Vec<Option<Run>>,
    /// Requests that have not ended.
    pub open_requests: usize,
    /// Whether the contact between zones is lost.
    pub split: bool,
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
        let mut events = Queue::new();
        for arrival in &arrivals {
            events.schedule_at(arrival.at, Event::Arrive(arrival.id));
        }
        events.schedule_at(Time::ZERO, Event::MeasureLoad);
        events.schedule_at(Time::ZERO, Event::Tick);
        events.schedule_at(Time::ZERO, Event::Publish);
        if experiment.split {
            events.schedule_at(experiment.window.0, Event::Split(true));
            events.schedule_at(experiment.window.1, Event::Split(false));
        }
        let engine = |_: &Endpoint| Engine::new(deployment.profile.clone());
        let engines = deployment.engines.iter().map(engine).collect();
        let engine_numbers = deployment.engines.iter().enumerate();
        let mut terms = Terms::ordinary(deployment.service);
        if experiment.without == Some(Part::Floors) {
            terms.urgent.floor = 0.0;
            terms.deferrable.floor = 0.0;
        }
        Self {
            events,
            terms,
            engines,
            engine_numbers: engine_numbers
                .map(|(index, engine)| (engine.id, index))
                .collect(),
            callers: arrivals
                .iter()
                .map(|arrival| Caller::new(arrival.at))
                .collect(),
            runs: vec![None; arrivals.len()],
            open_requests: arrivals.len(),
            arrivals,
            deployment,
            experiment,
            split: false,
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
        self.events.instant(self.events.now())
    }

    /// Returns the number of an engine.
    pub fn engine_number(&self, endpoint: EndpointId) -> usize {
        self.engine_numbers[&endpoint]
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
    pub fn delay_to_engine(&self, request: RequestId, engine: usize) -> Duration {
        let node = &self.deployment.nodes[self.arrival(request).node];
        self.deployment
            .delay_between(&node.zone, &self.deployment.engines[engine].zone)
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
        let generation = self.meter.next_generation();
        let now = self.events.now();
        let caller = &mut self.callers[request as usize];
        caller.sent_at = Some(now);
        caller.cursor.bind(generation);
        self.runs[request as usize] = Some(Run {
            engine,
            generation,
            made: 0,
            complete: false,
        });
        let delay = self.delay_to_engine(request, engine);
        self.events
            .schedule_after(delay, Event::Submit(engine, job));
    }

    /// Tells an engine to give up a request.
    pub fn cancel(&mut self, request: RequestId) {
        if let Some(run) = self.runs[request as usize].take() {
            let delay = self.delay_to_engine(request, run.engine);
            self.events
                .schedule_after(delay, Event::Cancel(run.engine, request));
        }
    }

    /// Ends a request.
    pub fn end_request(&mut self, request: RequestId, outcome: Outcome) {
        let caller = &mut self.callers[request as usize];
        if caller.outcome.is_none() {
            caller.outcome = Some(outcome);
            self.open_requests -= 1;
        }
    }

    /// Lets an engine start its next step.
    pub fn start_step(&mut self, engine: usize) {
        if let Some(duration) = self.engines[engine].start_step() {
            self.events.schedule_after(duration, Event::StepEnd(engine));
        }
    }

    /// Ends the step of an engine and delivers its tokens.
    pub fn finish_step(&mut self, engine: usize) {
        for token in self.engines[engine].finish_step() {
            self.handle_token(engine, &token);
        }
        self.start_step(engine);
    }

    /// Delivers a token that an engine made.
    fn handle_token(&mut self, engine: usize, token: &Token) {
        let index = token.request as usize;
        let Some(run) = self.runs[index].as_mut() else {
            return;
        };
        if run.engine != engine {
            return;
        }
        run.made = token.offset + 1;
        run.complete = token.last;
        if !self.callers[index].disconnected {
            self.deliver(token.request, token.offset);
        }
    }

    /// Delivers one token of the present run to its caller.
    fn deliver(&mut self, request: RequestId, offset: u64) {
        let index = request as usize;
        let Some(run) = self.runs[index] else {
            return;
        };
        let node_delay = self.delay_to_engine(request, run.engine);
        let at = self.events.now() + node_delay + self.deployment.client_delay;
        let contract = self.terms.contract(self.arrivals[index].rank);
        let caller = &mut self.callers[index];
        let before = caller.received_tokens;
        let gap = caller.receive(run.generation, offset, at, contract);
        if caller.received_tokens > before {
            if at <= self.experiment.duration {
                caller.tokens_during_arrivals += 1;
            }
            let window = self.experiment.window;
            let in_window = at >= window.0 && at < window.1;
            self.meter
                .record_token(&self.arrivals[index], before == 0, gap, in_window);
        }
        if run.complete && offset + 1 == run.made {
            let event = Event::Done(run.engine, request);
            self.events.schedule_after(node_delay, event);
        }
    }

    /// Measures the load of all engines and sends the reports.
    pub fn measure_load(&mut self) {
        let (now, report_delay) = (self.events.now(), self.experiment.report_delay);
        for engine in 0..self.engines.len() {
            let stats = self.engines[engine].stats();
            self.meter.record_sample(now, engine, &stats);
            let changes = self.engines[engine].cache().take_changes();
            let event = Event::LoadReport(engine, stats, now, changes);
            self.events.schedule_after(report_delay, event);
        }
    }

    /// Returns a load report as the decisions take it.
    pub fn load(&self, stats: &Stats, measured_at: Time) -> Load {
        Load {
            measured_at: self.events.instant(measured_at),
            running: stats.running,
            waiting: stats.waiting,
            used_tokens: stats.used_tokens,
            memory: self.deployment.profile.memory,
            token_gap: stats.token_gap,
            preemptions: stats.preemptions,
        }
    }

    /// Returns whether two zones have contact.
    pub fn connected(&self, from: u64, to: u64) -> bool {
        let first = self.deployment.nodes[0].zone.id;
        !self.split || (from == first) == (to == first)
    }

    /// Loses or restores the contact between zones and resets the streams that cross the border.
    pub fn set_split(&mut self, split: bool) {
        self.split = split;
        let first = self.deployment.nodes[0].zone.id;
        for index in 0..self.callers.len() {
            let Some(run) = self.runs[index] else {
                continue;
            };
            let node = self.deployment.nodes[self.arrivals[index].node].zone.id;
            let engine = self.deployment.engines[run.engine].zone.id;
            if (node == first) != (engine == first) && self.callers[index].outcome.is_none() {
                self.callers[index].disconnected = true;
                let event = Event::Reconnect(index as RequestId);
                self.events.schedule_after(RECONNECT_DELAY, event);
            }
        }
    }

    /// Resumes the stream of a request on a new connection from the offset it had reached.
    pub fn reconnect(&mut self, request: RequestId) {
        let index = request as usize;
        self.callers[index].disconnected = false;
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

//! Simulated deployment: engines, callers and scheduled events.

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

/// Time until a node replaces a reset connection to an engine.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);

/// Event in the deployment.
#[derive(Debug)]
pub enum Event {
    /// A request reaches its node.
    Arrive(RequestId),
    /// A job reaches an engine.
    Submit(usize, Job),
    /// A cancellation reaches an engine.
    Cancel(usize, RequestId),
    /// An engine finishes a step.
    StepEnd(usize),
    /// The last token of a request reaches its node.
    Done(usize, RequestId),
    /// All engines measure their load.
    MeasureLoad,
    /// A load report of an engine arrives, with its time of measurement and the cache changes since
    /// the previous report.
    LoadReport(usize, Stats, Time, Vec<Change>),
    /// Nodes process their queues and timeouts.
    Tick,
    /// Nodes send progress reports and digests.
    Publish,
    /// The queue timeout of a request has passed.
    QueueTimeout(RequestId),
    /// A message between nodes arrives.
    Message(Message),
    /// The network split between the first availability zone and the others begins or ends.
    Split(bool),
    /// A node has reconnected the stream of a request to its engine.
    Reconnect(RequestId),
}

/// Current attempt to run a request.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Engine that runs the request.
    pub engine: usize,
    /// Number of the generation.
    pub generation: u64,
    /// Number of tokens that the engine has generated.
    pub generated: u64,
    /// Whether the engine has generated all tokens.
    pub complete: bool,
}

/// State of the simulated deployment.
#[derive(Debug)]
pub struct World {
    /// Scheduled events and the virtual clock.
    pub events: Queue<Event>,
    /// Nodes, engines and workloads that are simulated.
    pub deployment: Deployment,
    /// Experiment that runs.
    pub experiment: Experiment,
    /// Terms of the model service.
    pub terms: Terms,
    /// Engines by number.
    pub engines: Vec<Engine>,
    /// Numbers of the engines by identifier.
    engine_numbers: HashMap<EndpointId, usize>,
    /// Requests by identifier, in order of arrival.
    pub arrivals: Vec<Arrival>,
    /// Callers by request.
    pub callers: Vec<Caller>,
    /// Current run by request, if it was sent to an engine.
    pub runs: Vec<Option<Run>>,
    /// Number of requests that have not ended.
    pub open_requests: usize,
    /// Whether the network is split between the first availability zone and the others.
    pub split: bool,
    /// Random number generator of the deployment.
    pub random: Pcg64,
    /// Measurements of the run.
    pub meter: Meter,
}

impl World {
    /// Creates the deployment and schedules the given arrivals.
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

    /// Returns the current virtual time as an instant for the decisions.
    pub fn now(&self) -> Instant {
        self.events.instant(self.events.now())
    }

    /// Returns the number of the engine with the given identifier.
    pub fn engine_number(&self, endpoint: EndpointId) -> usize {
        self.engine_numbers[&endpoint]
    }

    /// Returns the arrival of a request.
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
            generated: 0,
            complete: false,
        });
        let delay = self.delay_to_engine(request, engine);
        self.events
            .schedule_after(delay, Event::Submit(engine, job));
    }

    /// Cancels the current run of a request, if there is one.
    pub fn cancel(&mut self, request: RequestId) {
        if let Some(run) = self.runs[request as usize].take() {
            let delay = self.delay_to_engine(request, run.engine);
            self.events
                .schedule_after(delay, Event::Cancel(run.engine, request));
        }
    }

    /// Ends a request unless it has already ended.
    pub fn end_request(&mut self, request: RequestId, outcome: Outcome) {
        let caller = &mut self.callers[request as usize];
        if caller.outcome.is_none() {
            caller.outcome = Some(outcome);
            self.open_requests -= 1;
        }
    }

    /// Starts the next step of an engine that has work and is not in a step.
    pub fn start_step(&mut self, engine: usize) {
        if let Some(duration) = self.engines[engine].start_step() {
            self.events.schedule_after(duration, Event::StepEnd(engine));
        }
    }

    /// Finishes the step of an engine, delivers its tokens and starts the next step.
    pub fn finish_step(&mut self, engine: usize) {
        for token in self.engines[engine].finish_step() {
            self.handle_token(engine, &token);
        }
        self.start_step(engine);
    }

    /// Records a generated token and delivers it if the connection is up; tokens of an old run are
    /// dropped.
    fn handle_token(&mut self, engine: usize, token: &Token) {
        let index = token.request as usize;
        let Some(run) = self.runs[index].as_mut() else {
            return;
        };
        if run.engine != engine {
            return;
        }
        run.generated = token.offset + 1;
        run.complete = token.last;
        if !self.callers[index].disconnected {
            self.deliver(token.request, token.offset);
        }
    }

    /// Delivers a token of the current run to its caller.
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
        if run.complete && offset + 1 == run.generated {
            let event = Event::Done(run.engine, request);
            self.events.schedule_after(node_delay, event);
        }
    }

    /// Measures the load of all engines and sends the reports, which arrive after the report delay.
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

    /// Converts load statistics to a load report for the decisions.
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

    /// Returns whether two availability zones can exchange messages.
    pub fn connected(&self, from: u64, to: u64) -> bool {
        let first_zone = self.deployment.nodes[0].zone.id;
        !self.split || (from == first_zone) == (to == first_zone)
    }

    /// Begins or ends the network split and resets the streams between its sides.
    pub fn set_split(&mut self, split: bool) {
        self.split = split;
        let first_zone = self.deployment.nodes[0].zone.id;
        for index in 0..self.callers.len() {
            let Some(run) = self.runs[index] else {
                continue;
            };
            let node = self.deployment.nodes[self.arrivals[index].node].zone.id;
            let engine = self.deployment.engines[run.engine].zone.id;
            if (node == first_zone) != (engine == first_zone)
                && self.callers[index].outcome.is_none()
            {
                self.callers[index].disconnected = true;
                let event = Event::Reconnect(index as RequestId);
                self.events.schedule_after(RECONNECT_DELAY, event);
            }
        }
    }

    /// Resumes the stream of a request on a new connection from the offset that it had reached.
    pub fn reconnect(&mut self, request: RequestId) {
        let index = request as usize;
        self.callers[index].disconnected = false;
        if let Some(run) = self.runs[index] {
            for offset in self.callers[index].cursor.next()..run.generated {
                self.deliver(request, offset);
            }
        }
    }

    /// Returns the scheduling priority of a request in an engine; lower values go first.
    pub fn priority(&self, request: RequestId) -> u8 {
        match self.arrival(request).rank {
            Rank::Urgent => 0,
            Rank::Deferrable => 1,
        }
    }
}

//! The actor that routes requests to endpoints.

use std::time::Instant;

use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::id::EndpointId;
use daisyyard_core::ledger::Digest;
use daisyyard_core::route::{Choice, Request, Table};
use daisyyard_core::zone::Zone;
use xtra::{Actor, Address, Context, Handler, Mailbox};

/// Owns the route table.
#[derive(Debug, Actor)]
pub(crate) struct Dispatch {
    /// Endpoints and what is known about them.
    table: Table,
}

/// Asks for an endpoint; the answer is the endpoint or the refusal.
#[derive(Debug)]
pub(crate) struct Route {
    /// Request to route.
    pub(crate) request: Request,
    /// Endpoints that were tried before.
    pub(crate) tried: Vec<EndpointId>,
}

/// Replaces the known endpoints.
#[derive(Debug)]
pub(crate) struct Adopt(pub(crate) Vec<Endpoint>);

/// Passes on a digest from an engine's home.
#[derive(Debug)]
pub(crate) struct Learn(pub(crate) Digest);

/// Asks for an endpoint by its identifier.
#[derive(Debug)]
pub(crate) struct Find(pub(crate) EndpointId);

/// Where a request goes.
#[derive(Debug)]
pub(crate) enum Target {
    /// Ask the home of this endpoint.
    Endpoint(Endpoint),
    /// No endpoint of the service may receive work.
    Nowhere,
}

/// Starts the actor.
pub(crate) fn spawn(zone: Zone) -> Address<Dispatch> {
    xtra::spawn_tokio(
        Dispatch {
            table: Table::new(zone),
        },
        Mailbox::unbounded(),
    )
}

impl Handler<Route> for Dispatch {
    type Return = Target;

    async fn handle(&mut self, message: Route, _: &mut Context<Self>) -> Target {
        let (now, seed) = (Instant::now(), rand::random());
        match self
            .table
            .choose(&message.request, &message.tried, now, seed)
        {
            Choice::Ask(id) => {
                self.table.send(id, &message.request, now);
                self.table
                    .get(id)
                    .cloned()
                    .map_or(Target::Nowhere, Target::Endpoint)
            }
            Choice::Refuse { .. } => Target::Nowhere,
        }
    }
}

impl Handler<Adopt> for Dispatch {
    type Return = ();

    async fn handle(&mut self, message: Adopt, _: &mut Context<Self>) {
        for endpoint in message.0 {
            self.table.insert(endpoint);
        }
    }
}

impl Handler<Learn> for Dispatch {
    type Return = ();

    async fn handle(&mut self, message: Learn, _: &mut Context<Self>) {
        self.table.digest(message.0, Instant::now());
    }
}

impl Handler<Find> for Dispatch {
    type Return = Option<Endpoint>;

    async fn handle(&mut self, message: Find, _: &mut Context<Self>) -> Option<Endpoint> {
        self.table.get(message.0).cloned()
    }
}

//! Answers to callers, and how the ends of requests are logged and counted.

use hyper::header::CONTENT_LENGTH;
use hyper::http::response;
use hyper::{Response, StatusCode, Version};

use crate::body::Body;
use crate::event::Event;
use crate::job::Job;
use crate::proxy::Proxy;
use crate::refusal::Refusal;

impl Proxy {
    /// Forwards an endpoint's response to the caller.
    pub(crate) fn forward(
        &self,
        job: &Job,
        response: Response<Body>,
        reason: &'static str,
    ) -> Response<Body> {
        self.record_end(job, response.status(), reason);
        response
    }

    /// Answers a request that no endpoint has answered.
    pub(crate) fn refuse(&self, job: &Job, refusal: Refusal) -> Response<Body> {
        let reason = match refusal {
            Refusal::Full => "full",
            Refusal::Evacuated => "evacuated",
            Refusal::Leaving => "leaving",
            Refusal::Isolated => "isolated",
            Refusal::Declined => "declined",
            Refusal::Late => "late",
            Refusal::Suspected(_) => "suspected",
            Refusal::Shed(_) => "shed",
            Refusal::TurnedAway(_) => "turned_away",
            _ => "lost",
        };
        self.record_end(job, refusal.status(), reason);
        refusal.response()
    }

    /// Logs and counts the end of a request.
    pub(crate) fn record_end(&self, job: &Job, status: StatusCode, reason: &'static str) {
        let details = format!(
            "request={} route={} status={} ms={} reason={reason}",
            job.attempt,
            job.route.name,
            status.as_u16(),
            job.arrived.elapsed().as_millis(),
        );
        self.log.emit(Event::RequestEnded, &details);
        self.metrics
            .record_end(job.kind(), reason, job.arrived.elapsed());
    }
}

/// Removes what applies only to one connection: its headers, and the version of the protocol, without
/// which the response to the caller could have no chunks to mark its end.
pub(crate) fn strip_connection(mut parts: response::Parts) -> response::Parts {
    parts.version = Version::HTTP_11;
    daisyyard_http::remove_hop_by_hop(&mut parts.headers);
    parts.headers.remove(CONTENT_LENGTH);
    parts
}

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

    /// Answers a request that no endpoint has answered; `cause` names the failure of the last send.
    pub(crate) fn refuse(
        &self,
        job: &Job,
        refusal: Refusal,
        cause: &'static str,
    ) -> Response<Body> {
        self.record_refusal(job, refusal.status(), refusal.name(), cause);
        refusal.response()
    }

    /// Logs and counts the end of a request that was answered.
    pub(crate) fn record_end(&self, job: &Job, status: StatusCode, reason: &'static str) {
        self.record_refusal(job, status, reason, "-");
    }

    /// Logs and counts the end of a request, with the failure of its last send.
    fn record_refusal(
        &self,
        job: &Job,
        status: StatusCode,
        reason: &'static str,
        cause: &'static str,
    ) {
        let details = format!(
            "request={} route={} status={} ms={} reason={reason} cause={cause}",
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

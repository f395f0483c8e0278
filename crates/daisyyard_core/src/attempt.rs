//! Attempts of a request: how far each got, whether to retry, and which outcome to report.

use daisyyard_derive::key;

/// How far one attempt at an endpoint got.
#[key]
pub enum Progress {
    /// Nothing has been written to the endpoint.
    Unsent,
    /// At least one byte may have been written to the endpoint.
    Written,
    /// The endpoint stated that it did not run the request.
    Declined,
    /// The endpoint answered.
    Answered,
}

/// Outcome of a request as reported to its caller.
#[key]
pub enum Outcome {
    /// No attempt ran the request.
    NotRun,
    /// An attempt ran the request.
    Run,
    /// An attempt may have run the request.
    Unknown,
}

impl Outcome {
    /// Returns the name used in refusals.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Run => "run",
            Self::Unknown => "unknown",
        }
    }
}

/// Decision after a failed attempt.
#[key]
pub enum Decision {
    /// Try another endpoint.
    Retry,
    /// Report the outcome to the caller.
    Finish(Outcome),
}

/// History of the attempts of one request.
#[derive(Debug)]
pub struct History {
    /// Whether the request may safely run more than once.
    idempotent: bool,
    /// Progress of the current attempt.
    progress: Progress,
    /// Whether an earlier attempt may have run.
    uncertain: bool,
}

impl History {
    /// Creates the history of a request that has not been sent.
    pub fn new(idempotent: bool) -> Self {
        Self {
            idempotent,
            progress: Progress::Unsent,
            uncertain: false,
        }
    }

    /// Records the progress of the current attempt; a lower value than before is ignored.
    pub fn advance(&mut self, progress: Progress) {
        self.progress = self.progress.max(progress);
    }

    /// Decides what to do after the current attempt failed; `within_budget` says whether the retry
    /// budget allows another one.
    pub fn fail(&mut self, within_budget: bool) -> Decision {
        let certain = matches!(self.progress, Progress::Unsent | Progress::Declined);
        if within_budget && (certain || (self.idempotent && self.progress == Progress::Written)) {
            self.uncertain |= !certain;
            self.progress = Progress::Unsent;
            return Decision::Retry;
        }
        Decision::Finish(self.outcome())
    }

    /// Returns the outcome that the attempts so far allow to report.
    pub fn outcome(&self) -> Outcome {
        match self.progress {
            Progress::Answered => Outcome::Run,
            Progress::Written => Outcome::Unknown,
            Progress::Unsent | Progress::Declined if self.uncertain => Outcome::Unknown,
            Progress::Unsent | Progress::Declined => Outcome::NotRun,
        }
    }
}

//! Attempts: what may have reached an endpoint, and the honest outcome that follows from it.

use daisyyard_derive::key;

/// How far one attempt at an endpoint got.
#[key]
pub enum Progress {
    /// Nothing has been written to the endpoint.
    Unsent,
    /// At least one byte may have reached the endpoint.
    Written,
    /// The endpoint declared that it did not run the request.
    Declined,
    /// The endpoint answered.
    Answered,
}

/// What a caller is told about its request.
#[key]
pub enum Outcome {
    /// The request was certainly not run.
    NotRun,
    /// The request was run.
    Run,
    /// The request may have been run.
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

/// What to do after an attempt failed.
#[key]
pub enum Next {
    /// Try another endpoint.
    Retry,
    /// Tell the caller the outcome.
    Finish(Outcome),
}

/// History of the attempts of one request.
#[derive(Debug)]
pub struct Attempt {
    /// Whether running the request twice is harmless.
    idempotent: bool,
    /// How far the present attempt got.
    progress: Progress,
    /// Whether an earlier attempt may have run.
    uncertain: bool,
}

impl Attempt {
    /// Starts the history of a request.
    pub fn new(idempotent: bool) -> Self {
        Self {
            idempotent,
            progress: Progress::Unsent,
            uncertain: false,
        }
    }

    /// Records how far the present attempt got; progress never goes back within an attempt.
    pub fn reach(&mut self, progress: Progress) {
        self.progress = self.progress.max(progress);
    }

    /// Decides what to do after the present attempt failed; `budget` says whether a retry is
    /// within the retry budget.
    pub fn fail(&mut self, budget: bool) -> Next {
        let certain = matches!(self.progress, Progress::Unsent | Progress::Declined);
        if budget && (certain || (self.idempotent && self.progress == Progress::Written)) {
            self.uncertain |= !certain;
            self.progress = Progress::Unsent;
            return Next::Retry;
        }
        Next::Finish(self.outcome())
    }

    /// Returns what is known about the request now.
    pub fn outcome(&self) -> Outcome {
        match self.progress {
            Progress::Answered => Outcome::Run,
            Progress::Written => Outcome::Unknown,
            Progress::Unsent | Progress::Declined if self.uncertain => Outcome::Unknown,
            Progress::Unsent | Progress::Declined => Outcome::NotRun,
        }
    }
}

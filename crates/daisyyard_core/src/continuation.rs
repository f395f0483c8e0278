//! What may follow when a run breaks off, when its engine leaves, or when another engine has not
//! continued it.
//!
//! A request that may run once reaches a second engine only as a continuation of which this engine is
//! shown to hold a copy: an engine that holds none might run the request once more. A copy is shown by
//! the answer to a move, or by the first event of a run that was sent with the order to back it up, and
//! only as long as the engine is not started anew.

use std::time::Instant;

use daisyyard_derive::{key, value};

use crate::endpoint::Endpoint;
use crate::id::EndpointId;

/// One start of an engine; another start knows nothing of the copies of the one before.
#[key]
pub struct Holder {
    /// The engine.
    pub engine: EndpointId,
    /// Identifies the start.
    pub incarnation: u64,
}

/// Copy of the memory of a run at another engine, as far as it is known.
#[value]
#[derive(Default)]
pub enum Standby {
    /// There is none.
    #[default]
    None,
    /// The run was sent with the order to back it up, and no event shows yet that it was taken.
    Ordered(Holder),
    /// The engine of the run sends its memory as it grows.
    Backup(Holder),
    /// The first copy of a move has not ended.
    Moving(Holder),
    /// A copy of a move has ended; the engine of the run has stated this handle, which is kept until this time.
    Moved(Holder, String, Instant),
}

/// What a copy shows.
#[key]
pub enum Proof {
    /// Nothing: the engine may hold no copy.
    None,
    /// The engine holds a backup.
    Backup,
    /// The engine holds a copy with a handle.
    Handle,
}

/// Why another engine should continue a run.
#[key]
pub enum Cause {
    /// Its engine is leaving; the stream is open.
    Leaving,
    /// Its engine sends nothing; the stream is open.
    Silent,
    /// The stream has ended before the run.
    Broken,
}

/// What the engine of a run answered when it was asked to stop the run by the last copy of a move.
#[key]
pub enum Stop {
    /// It has stopped the run, and the other engine holds the copy.
    Moved,
    /// It has stopped the run and keeps its memory; the other engine has no room for the copy.
    Kept,
    /// It does not execute the run.
    Ended,
    /// It did not answer in time.
    Unanswered,
    /// It has not stopped the run.
    Running,
}

/// Where a stopped run may continue, and from which copy.
#[key]
pub enum Place {
    /// At the other engine, from the copy that was made when the run was stopped.
    Target,
    /// At the other engine, from the copy of a move that ended before.
    Copied,
    /// At the other engine, from its backup.
    Backup,
    /// At its own engine, from the memory that it keeps.
    Source,
}

/// Why an engine has not continued a run.
#[key]
pub enum Obstacle {
    /// The retry budget allows no further send.
    NotAllowed,
    /// The request did not reach the engine.
    Unsent,
    /// No place in the rate of a cold engine became free in time, or the engine turned requests away for
    /// longer.
    Cold,
    /// The engine did not run the request.
    Declined,
    /// The engine may have run the request, but its answer is missing or unusable.
    Unanswered,
}

/// What to do next with a run.
#[key]
pub enum Step {
    /// Ask for the continuation at this place.
    Resume(Place),
    /// Move it from its own engine, which has stopped it and keeps its memory, to another target.
    Retarget,
    /// Leave it at its own engine, whose stream is open.
    Stay,
    /// Start it anew at another engine.
    Restart,
    /// End the stream as broken off.
    End,
}

/// A run that is to be continued.
#[key]
pub struct Situation {
    /// Why it should continue elsewhere.
    pub cause: Cause,
    /// What is known of the copy at the other engine.
    pub proof: Proof,
    /// Answer of its engine to the order to stop it.
    pub stop: Stop,
    /// Whether its own engine accepts requests, as far as is known.
    pub source_open: bool,
    /// Whether the run may start anew, which only a request that may run more than once may do.
    pub repeatable: bool,
}

/// Returns how a run that may start anew does so, given the answer of its engine to the order to stop
/// it: from the copy that was made, at its beginning, or not at all because it is still executed.
pub fn start_anew(stop: Stop) -> Step {
    match stop {
        Stop::Moved => Step::Resume(Place::Target),
        Stop::Kept | Stop::Ended | Stop::Unanswered => Step::Restart,
        Stop::Running => Step::End,
    }
}

impl Holder {
    /// Returns the present start of an engine.
    pub fn of(endpoint: &Endpoint) -> Self {
        Self {
            engine: endpoint.id,
            incarnation: endpoint.incarnation,
        }
    }
}

impl Standby {
    /// Returns the engine that holds the copy or is to hold it.
    pub fn holder(&self) -> Option<Holder> {
        match self {
            Self::None => None,
            Self::Ordered(holder)
            | Self::Backup(holder)
            | Self::Moving(holder)
            | Self::Moved(holder, ..) => Some(*holder),
        }
    }

    /// Returns what the copy shows, given the engine as it is known now.
    pub fn proof(&self, engine: &Endpoint, now: Instant) -> Proof {
        match self {
            Self::Backup(holder) if *holder == Holder::of(engine) => Proof::Backup,
            Self::Moved(holder, _, until) if *holder == Holder::of(engine) && now < *until => {
                Proof::Handle
            }
            _ => Proof::None,
        }
    }

    /// Returns the handle of the copy.
    pub fn handle(&self) -> Option<&str> {
        match self {
            Self::Moved(_, handle, _) => Some(handle),
            _ => None,
        }
    }

    /// Notes that the stream of the run shows that its engine has taken the run and its orders.
    pub fn take_run(&mut self) {
        if let Self::Ordered(holder) = *self {
            *self = Self::Backup(holder);
        }
    }

    /// Notes that a copy of the move to an engine has ended, which is kept until a time. An answer that
    /// belongs to a move to another engine is ignored.
    pub fn complete(&mut self, engine: EndpointId, handle: String, until: Instant) {
        match *self {
            Self::Moving(holder) | Self::Moved(holder, ..) if holder.engine == engine => {
                *self = Self::Moved(holder, handle, until);
            }
            _ => {}
        }
    }
}

impl Obstacle {
    /// Returns the name of the obstacle for the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotAllowed => "not_allowed",
            Self::Unsent => "unsent",
            Self::Cold => "cold",
            Self::Declined => "declined",
            Self::Unanswered => "unanswered",
        }
    }
}

impl Place {
    /// Returns the name of the kind of copy for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Target => "move",
            Self::Copied => "copy",
            Self::Backup => "backup",
            Self::Source => "kept",
        }
    }
}

impl Situation {
    /// Returns what follows the answer of the engine of the run.
    pub fn begin(self) -> Step {
        match self.stop {
            Stop::Moved => Step::Resume(Place::Target),
            // The target has refused the memory, so that an earlier copy of the same move may be gone.
            Stop::Kept if self.proof == Proof::Backup => Step::Resume(Place::Backup),
            Stop::Kept => self.at_source(),
            // The stream of a leaving engine is read to its end first.
            Stop::Ended | Stop::Unanswered if self.cause == Cause::Leaving => Step::Stay,
            Stop::Ended | Stop::Unanswered => match self.proof {
                Proof::Backup => Step::Resume(Place::Backup),
                Proof::Handle => Step::Resume(Place::Copied),
                Proof::None => self.give_up(),
            },
            Stop::Running => self.stay_or_end(),
        }
    }

    /// Returns what follows an attempt to continue the run at a place.
    pub fn fail(self, place: Place, obstacle: Obstacle) -> Step {
        let not_run = matches!(
            obstacle,
            Obstacle::Unsent | Obstacle::Cold | Obstacle::Declined
        );
        if !not_run {
            // Nothing more may be sent, or the request may have been run.
            return match obstacle {
                Obstacle::Unanswered => self.give_up(),
                _ => self.stay_or_end(),
            };
        }
        match (place, self.stop) {
            (Place::Target | Place::Backup, Stop::Moved | Stop::Kept) => self.at_source(),
            _ => self.give_up(),
        }
    }

    /// Returns what follows if the memory at the engine of the run is what is left.
    fn at_source(self) -> Step {
        if self.source_open {
            Step::Resume(Place::Source)
        } else if self.cause != Cause::Silent {
            // An engine that is leaving accepts no requests, but still moves what it keeps.
            Step::Retarget
        } else {
            self.give_up()
        }
    }

    /// Returns what follows if no engine continues the run.
    pub fn give_up(self) -> Step {
        if self.cause != Cause::Broken {
            Step::Stay
        } else if self.repeatable {
            Step::Restart
        } else {
            Step::End
        }
    }

    /// Returns what follows if nothing more may be sent for the run.
    fn stay_or_end(self) -> Step {
        if self.cause == Cause::Broken {
            Step::End
        } else {
            Step::Stay
        }
    }
}

//! The membership view of one node: which instances exist and in which state they are.
//!
//! A node detects the failure of the peers that it exchanges heartbeats with, and learns the
//! state of all other instances from records in its peers' heartbeats. Records are ordered by
//! incarnation, then by state, so that all nodes come to the same view in any order of arrival.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use daisyyard_derive::{key, value};

use crate::gossip::{self, Record};
use crate::id::{InstanceId, RegionId};
use crate::instance::{Instance, State};
use crate::peers;

/// Time without news of a peer after which it is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);
/// Time without news after which a member is gone.
pub const GONE_AFTER: Duration = Duration::from_secs(10);
/// Time for which a member is suspected before it is gone.
const SUSPICION: Duration = Duration::from_secs(GONE_AFTER.as_secs() - SUSPECT_AFTER.as_secs());
/// Time for which a member that is gone stays known, so that late records do not revive it.
pub const FORGET_AFTER: Duration = Duration::from_mins(2);
/// Most members of a view; further ones are not taken in.
pub const MAX_MEMBERS: usize = 512;
/// Most records in one heartbeat.
pub const MAX_RECORDS: usize = 24;
/// Heartbeats that carry a changed record before it waits for its turn like the others.
const REPEATS: u8 = 4;

/// A change of one member's state.
#[key]
pub struct Change {
    /// Member that changed.
    pub id: InstanceId,
    /// State before, if the member was known.
    pub before: Option<State>,
    /// State now.
    pub after: State,
}

/// What to do after evidence about a member.
#[value]
pub enum Next {
    /// Nothing more.
    Keep,
    /// Send this record to the member that it describes, so that the member refutes it.
    Tell(Record),
}

/// A member and the evidence for its state.
#[derive(Debug, Clone)]
struct Member {
    /// The instance, with the state that counts at this node.
    instance: Instance,
    /// State that the instance and its peers report.
    reported: State,
    /// Whether the instance list marks the instance as leaving.
    leaving: bool,
    /// Whether the instance itself said that it leaves.
    departing: bool,
    /// Last direct evidence that the instance is live.
    heard: Option<Instant>,
    /// Last news that the instance is live, directly or through peers.
    news: Instant,
    /// When the member took its present state.
    since: Instant,
    /// Heartbeats that still carry the record before the others.
    repeats: u8,
}

/// What one node knows about all instances.
#[derive(Debug, Clone)]
pub struct View {
    /// The node itself.
    me: Instance,
    /// All other members.
    members: BTreeMap<InstanceId, Member>,
    /// Heartbeats that still carry the own record first.
    announce: u8,
    /// Order in which unchanged records are sent.
    turn: VecDeque<InstanceId>,
    /// Changes since the last call of [`View::changes`].
    changes: Vec<Change>,
}

impl View {
    /// Creates a view that knows only the node itself.
    pub fn new(me: Instance) -> Self {
        Self {
            me,
            members: BTreeMap::new(),
            announce: REPEATS,
            turn: VecDeque::new(),
            changes: Vec::new(),
        }
    }

    /// Returns the node itself.
    pub fn me(&self) -> &Instance {
        &self.me
    }

    /// Returns a member, or the node itself.
    pub fn get(&self, id: InstanceId) -> Option<&Instance> {
        if id == self.me.id {
            return Some(&self.me);
        }
        self.members.get(&id).map(|member| &member.instance)
    }

    /// Returns the node itself and all members, in the order of their ids.
    pub fn all(&self) -> impl Iterator<Item = &Instance> {
        let others = self.members.values().map(|member| &member.instance);
        std::iter::once(&self.me).chain(others)
    }

    /// Returns the nodes that may be home of an engine: those that are neither leaving nor gone.
    ///
    /// A suspected node stays a home until it is gone, because a change of home costs capacity. A
    /// node that left is suspected for a while after it has ended, and must not become a home
    /// again for that time.
    pub fn homes(&self) -> impl Iterator<Item = InstanceId> {
        let stays = |member: &&Member| {
            member.instance.state != State::Gone && !member.leaving && !member.departing
        };
        let others = self.members.values().filter(stays);
        let me = (self.me.state == State::Live).then_some(self.me.id);
        others.map(|member| member.instance.id).chain(me)
    }

    /// Returns the live nodes of a region, which share the watches of the configuration service.
    pub fn region(&self, region: RegionId) -> impl Iterator<Item = InstanceId> {
        let live = self
            .all()
            .filter(move |i| i.zone.region == region && i.state < State::Suspected);
        live.map(|instance| instance.id)
    }

    /// Returns the changes since the last call.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Takes in the instance list, which lags.
    ///
    /// The list adds members and marks leaving ones. It never removes a member, because an empty
    /// or shrunken list is more often a fault of the list than the end of the instances.
    pub fn seed(&mut self, listed: impl IntoIterator<Item = Instance>, now: Instant) {
        for instance in listed {
            let (id, leaving) = (instance.id, instance.state == State::Leaving);
            if !self.members.contains_key(&id) {
                self.insert(
                    Instance {
                        state: State::Live,
                        ..instance
                    },
                    now,
                );
            }
            if let Some(member) = self.members.get_mut(&id) {
                member.leaving = leaving;
                let reported = member.reported;
                self.set(id, reported, now);
            }
        }
    }

    /// Takes in direct evidence: the instance itself sent this record.
    pub fn hear(&mut self, record: Record, now: Instant) -> Next {
        if record.id == self.me.id {
            return Next::Keep;
        }
        let Some(member) = self.members.get_mut(&record.id) else {
            if let Some(instance) = record.instance() {
                let id = instance.id;
                self.insert(instance, now);
                if let Some(member) = self.members.get_mut(&id) {
                    member.heard = Some(now);
                }
            }
            return Next::Keep;
        };
        let held = gossip::of(&member.instance, member.reported, false);
        if record.incarnation < held.incarnation {
            return Next::Tell(held);
        }
        member.heard = Some(now);
        member.news = now;
        let worse = record.incarnation == held.incarnation && held.state >= State::Suspected;
        if record.incarnation > member.instance.incarnation {
            member.instance.incarnation = record.incarnation;
            member.repeats = REPEATS;
        }
        if let Some(place) = record.place {
            place.apply(&mut member.instance);
        }
        self.set(record.id, record.state, now);
        // Nodes that heard of the suspicion believe only a higher incarnation.
        if worse { Next::Tell(held) } else { Next::Keep }
    }

    /// Takes in a record from a peer about another instance.
    pub fn learn(&mut self, record: Record, now: Instant) -> Next {
        if record.id == self.me.id {
            self.refute(&record);
            return Next::Keep;
        }
        let Some(member) = self.members.get_mut(&record.id) else {
            if record.state < State::Gone
                && let Some(instance) = record.instance()
            {
                self.insert(instance, now);
            }
            return Next::Keep;
        };
        let held = (member.instance.incarnation, member.reported);
        if (record.incarnation, record.state) <= held {
            return Next::Keep;
        }
        let same = record.incarnation == member.instance.incarnation;
        let fresh = |heard| now.saturating_duration_since(heard) < SUSPECT_AFTER;
        if same && record.state >= State::Suspected && member.heard.is_some_and(fresh) {
            // Direct evidence outweighs a peer's suspicion.
            return Next::Tell(record);
        }
        if record.incarnation > member.instance.incarnation {
            member.instance.incarnation = record.incarnation;
            member.repeats = REPEATS;
        }
        if let Some(place) = record.place {
            place.apply(&mut member.instance);
        }
        if record.state < State::Suspected {
            member.news = now;
        }
        self.set(record.id, record.state, now);
        Next::Keep
    }

    /// Marks the node itself as leaving and says so to its peers.
    pub fn leave(&mut self) {
        self.me.state = State::Leaving;
        self.me.incarnation += 1;
        self.announce = REPEATS;
    }

    /// Suspects silent peers and ends members that stay silent.
    ///
    /// Only the silence of the chosen peers is evidence, because they answer each heartbeat; the
    /// suspicion of others comes from their own peers.
    pub fn tick(&mut self, now: Instant) {
        let peers = self.peers();
        let mut due = Vec::new();
        let mut forget = Vec::new();
        for (id, member) in &self.members {
            let silence = now.saturating_duration_since(member.news);
            let age = now.saturating_duration_since(member.since);
            match member.reported {
                State::Live | State::Leaving => {
                    if peers.contains(id) && silence >= SUSPECT_AFTER {
                        due.push((*id, State::Suspected));
                    }
                }
                State::Suspected if age >= SUSPICION => {
                    due.push((*id, State::Gone));
                }
                State::Gone if age >= FORGET_AFTER => forget.push(*id),
                State::Suspected | State::Gone => {}
            }
        }
        for (id, state) in due {
            self.set(id, state, now);
        }
        for id in forget {
            self.members.remove(&id);
            self.turn.retain(|other| *other != id);
        }
    }

    /// Returns the peers that this node chooses to exchange heartbeats with.
    pub fn peers(&self) -> Vec<InstanceId> {
        let members = self.members.values().map(|member| &member.instance);
        let usable = members.filter(|instance| instance.state != State::Gone);
        peers::choose(&self.me, &usable.collect::<Vec<_>>())
    }

    /// Returns a member that is gone to try again, or nothing if there is none.
    ///
    /// After a network partition both sides hold each other for gone; without a trial they would
    /// never meet again.
    pub fn revisit(&self, seed: u64) -> Option<InstanceId> {
        let gone = |member: &&Member| member.instance.state == State::Gone;
        let ids = self.members.values().filter(gone);
        let ids: Vec<InstanceId> = ids.map(|member| member.instance.id).collect();
        let index = seed.checked_rem(ids.len() as u64)?;
        Some(ids[index as usize])
    }

    /// Returns the node's own record, with its place as long as the record is new.
    pub fn own(&mut self) -> Record {
        let full = self.announce > 0;
        self.announce = self.announce.saturating_sub(1);
        gossip::of(&self.me, self.me.state, full)
    }

    /// Returns the records of the next heartbeat: changed ones first, then the others in turn.
    ///
    /// With `full` every record carries its place, for peers that may not know the instance.
    pub fn records(&mut self, full: bool) -> Vec<Record> {
        let mut records = Vec::new();
        for id in self.fresh() {
            if let Some(member) = self.members.get_mut(&id) {
                member.repeats -= 1;
                records.push(gossip::of(&member.instance, member.reported, true));
            }
        }
        for _ in 0..self.turn.len() {
            if records.len() >= MAX_RECORDS {
                break;
            }
            let Some(id) = self.turn.pop_front() else {
                break;
            };
            self.turn.push_back(id);
            if let Some(member) = self.members.get(&id)
                && records.iter().all(|record| record.id != id)
            {
                records.push(gossip::of(&member.instance, member.reported, full));
            }
        }
        records
    }

    /// Returns the record of the node itself with its place, for the start of a link.
    pub fn introduction(&self) -> Record {
        gossip::of(&self.me, self.me.state, true)
    }

    /// Returns the records of members that changed lately, without counting them as sent.
    pub fn changed(&self) -> Vec<Record> {
        let changed = self.fresh().into_iter();
        let changed = changed.filter_map(|id| self.members.get(&id));
        changed
            .map(|member| gossip::of(&member.instance, member.reported, true))
            .collect()
    }

    /// Returns the members that changed lately, those first that were sent least.
    ///
    /// When a zone fails, more members change than one heartbeat carries; each must be sent once
    /// before any is repeated, or the last ones wait for many rounds at each hop.
    fn fresh(&self) -> Vec<InstanceId> {
        let changed = self.members.iter().filter(|(_, member)| member.repeats > 0);
        let mut changed: Vec<(u8, InstanceId)> =
            changed.map(|(id, member)| (member.repeats, *id)).collect();
        changed.sort_by_key(|(repeats, _)| std::cmp::Reverse(*repeats));
        changed.truncate(MAX_RECORDS);
        changed.into_iter().map(|(_, id)| id).collect()
    }

    /// Raises the own incarnation above a record that holds this node for less than it is.
    fn refute(&mut self, record: &Record) {
        let newer = record.incarnation > self.me.incarnation;
        let worse = record.incarnation == self.me.incarnation && record.state > self.me.state;
        if newer || worse {
            self.me.incarnation = record.incarnation.saturating_add(1);
            self.announce = REPEATS;
        }
    }

    /// Takes in a new member.
    fn insert(&mut self, instance: Instance, now: Instant) {
        if instance.id == self.me.id || self.members.len() >= MAX_MEMBERS {
            return;
        }
        self.changes.push(Change {
            id: instance.id,
            before: None,
            after: instance.state,
        });
        self.turn.push_back(instance.id);
        let departing = instance.state == State::Leaving;
        let member = Member {
            reported: instance.state,
            instance,
            leaving: false,
            departing,
            heard: None,
            news: now,
            since: now,
            repeats: REPEATS,
        };
        self.members.insert(member.instance.id, member);
    }

    /// Sets the reported state of a member and notes a change of the state that counts.
    fn set(&mut self, id: InstanceId, state: State, now: Instant) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        match state {
            State::Live => member.departing = false,
            State::Leaving => member.departing = true,
            State::Suspected | State::Gone => {}
        }
        if member.reported != state {
            member.reported = state;
            member.since = now;
            member.repeats = REPEATS;
        }
        let state = if state == State::Live && member.leaving {
            State::Leaving
        } else {
            state
        };
        if member.instance.state == state {
            return;
        }
        self.changes.push(Change {
            id,
            before: Some(member.instance.state),
            after: state,
        });
        member.instance.state = state;
    }
}

//! Membership view of one node: the known instances and their states.
//!
//! A node detects failures of the peers that it exchanges heartbeats with, and learns the state of
//! all other instances from the records in these heartbeats. Records are ordered by incarnation
//! and then by state, so that all nodes converge to the same view in any order of arrival.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use daisyyard_derive::{key, value};

use crate::gossip::{self, Record};
use crate::id::{InstanceId, RegionId};
use crate::instance::{Instance, State};
use crate::peers;

/// Time without evidence of life after which a peer is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);
/// Time without evidence of life after which a member is gone.
pub const GONE_AFTER: Duration = Duration::from_secs(10);
/// Time after which a suspected member is gone.
const SUSPICION_TIMEOUT: Duration =
    Duration::from_secs(GONE_AFTER.as_secs() - SUSPECT_AFTER.as_secs());
/// Time for which a gone member is remembered, so that late records do not revive it.
pub const FORGET_AFTER: Duration = Duration::from_mins(2);
/// Largest number of members in a view; further ones are ignored.
pub const MAX_MEMBERS: usize = 512;
/// Largest number of records in a heartbeat.
pub const MAX_RECORDS: usize = 24;
/// Number of heartbeats that send a changed record with priority over unchanged ones.
const CHANGE_REPEATS: u8 = 4;

/// A change of the state of a member.
#[key]
pub struct Change {
    /// Member whose state changed.
    pub id: InstanceId,
    /// Previous state, if the member was known.
    pub before: Option<State>,
    /// New state.
    pub after: State,
}

/// What to do after a record about a member was processed.
#[value]
pub enum Action {
    /// Nothing is left to do.
    Done,
    /// Send this record to the member that it describes, so that the member can refute it.
    Notify(Record),
}

/// A member with the evidence for its state.
#[derive(Debug, Clone)]
struct Member {
    /// The instance, with its effective state at this node.
    instance: Instance,
    /// State reported by the instance or its peers.
    reported: State,
    /// Whether the instance list marks the instance as leaving.
    listed_leaving: bool,
    /// Whether the instance has announced that it is leaving.
    announced_leaving: bool,
    /// Time of the last record from the instance itself.
    last_direct: Option<Instant>,
    /// Time of the last evidence, direct or from a peer, that the instance is live.
    last_live: Instant,
    /// Time of the last change of the reported state.
    state_since: Instant,
    /// Number of heartbeats that still send the record with priority.
    repeats_left: u8,
}

/// The instances known to one node.
#[derive(Debug, Clone)]
pub struct View {
    /// Instance of the node itself.
    local: Instance,
    /// All other members.
    members: BTreeMap<InstanceId, Member>,
    /// Number of heartbeats that still send the node's own record with its location.
    own_repeats_left: u8,
    /// Round-robin order in which unchanged records are sent.
    round_robin: VecDeque<InstanceId>,
    /// Changes since the last call of [`View::take_changes`].
    changes: Vec<Change>,
}

impl View {
    /// Creates a view that contains only the node itself.
    pub fn new(local: Instance) -> Self {
        Self {
            local,
            members: BTreeMap::new(),
            own_repeats_left: CHANGE_REPEATS,
            round_robin: VecDeque::new(),
            changes: Vec::new(),
        }
    }

    /// Returns the instance of the node itself.
    pub fn local(&self) -> &Instance {
        &self.local
    }

    /// Returns a member, or the node itself.
    pub fn get(&self, id: InstanceId) -> Option<&Instance> {
        if id == self.local.id {
            return Some(&self.local);
        }
        self.members.get(&id).map(|member| &member.instance)
    }

    /// Returns the node itself, followed by all members in the order of their identifiers.
    pub fn all(&self) -> impl Iterator<Item = &Instance> {
        let others = self.members.values().map(|member| &member.instance);
        std::iter::once(&self.local).chain(others)
    }

    /// Returns the nodes that may be the home of an engine, which are neither leaving nor gone.
    ///
    /// A suspected node stays a home until it is gone, because a change of the home costs
    /// capacity. A node that was leaving is suspected for some time after it has stopped, and must
    /// not become a home again during that time.
    pub fn homes(&self) -> impl Iterator<Item = InstanceId> {
        let may_be_home = |member: &&Member| {
            member.instance.state != State::Gone
                && !member.listed_leaving
                && !member.announced_leaving
        };
        let others = self.members.values().filter(may_be_home);
        let local = (self.local.state == State::Live).then_some(self.local.id);
        others.map(|member| member.instance.id).chain(local)
    }

    /// Returns the nodes of a region that are neither suspected nor gone. They share the watches
    /// of the configuration service.
    pub fn live_in_region(&self, region: RegionId) -> impl Iterator<Item = InstanceId> {
        let live = self
            .all()
            .filter(move |i| i.zone.region == region && i.state < State::Suspected);
        live.map(|instance| instance.id)
    }

    /// Returns the changes since the last call of this method.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Merges the instance list, which may be out of date, into the view.
    ///
    /// The list adds members and marks leaving ones. It never removes a member, because an empty
    /// or shortened list is more often a fault of the list than the end of the instances.
    pub fn merge_list(&mut self, listed: impl IntoIterator<Item = Instance>, now: Instant) {
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
                member.listed_leaving = leaving;
                let reported = member.reported;
                self.set_state(id, reported, now);
            }
        }
    }

    /// Processes a record that the instance itself sent, which is direct evidence.
    pub fn receive_direct(&mut self, record: Record, now: Instant) -> Action {
        if record.id == self.local.id {
            return Action::Done;
        }
        let Some(member) = self.members.get_mut(&record.id) else {
            if let Some(instance) = record.into_instance() {
                let id = instance.id;
                self.insert(instance, now);
                if let Some(member) = self.members.get_mut(&id) {
                    member.last_direct = Some(now);
                }
            }
            return Action::Done;
        };
        let known = gossip::record(&member.instance, member.reported, false);
        if record.incarnation < known.incarnation {
            return Action::Notify(known);
        }
        member.last_direct = Some(now);
        member.last_live = now;
        let worse = record.incarnation == known.incarnation && known.state >= State::Suspected;
        if record.incarnation > member.instance.incarnation {
            member.instance.incarnation = record.incarnation;
            member.repeats_left = CHANGE_REPEATS;
        }
        if let Some(place) = record.location {
            place.apply(&mut member.instance);
        }
        self.set_state(record.id, record.state, now);
        // Nodes that know of the suspicion accept only a higher incarnation.
        if worse {
            Action::Notify(known)
        } else {
            Action::Done
        }
    }

    /// Processes a record that a peer sent about another instance.
    pub fn receive_relayed(&mut self, record: Record, now: Instant) -> Action {
        if record.id == self.local.id {
            self.refute(&record);
            return Action::Done;
        }
        let Some(member) = self.members.get_mut(&record.id) else {
            if record.state < State::Gone
                && let Some(instance) = record.into_instance()
            {
                self.insert(instance, now);
            }
            return Action::Done;
        };
        let known = (member.instance.incarnation, member.reported);
        if (record.incarnation, record.state) <= known {
            return Action::Done;
        }
        let same = record.incarnation == member.instance.incarnation;
        let fresh = |received| now.saturating_duration_since(received) < SUSPECT_AFTER;
        if same && record.state >= State::Suspected && member.last_direct.is_some_and(fresh) {
            // Direct evidence takes precedence over the suspicion of a peer.
            return Action::Notify(record);
        }
        if record.incarnation > member.instance.incarnation {
            member.instance.incarnation = record.incarnation;
            member.repeats_left = CHANGE_REPEATS;
        }
        if let Some(place) = record.location {
            place.apply(&mut member.instance);
        }
        if record.state < State::Suspected {
            member.last_live = now;
        }
        self.set_state(record.id, record.state, now);
        Action::Done
    }

    /// Marks the node itself as leaving and announces this to its peers.
    pub fn leave(&mut self) {
        self.local.state = State::Leaving;
        self.local.incarnation += 1;
        self.own_repeats_left = CHANGE_REPEATS;
    }

    /// Suspects peers without recent evidence of life, and marks members as gone whose suspicion
    /// was not refuted in time.
    ///
    /// Only the chosen peers are suspected here, because they answer each heartbeat; other members
    /// are suspected by their own peers.
    pub fn tick(&mut self, now: Instant) {
        let peers = self.peers();
        let mut due = Vec::new();
        let mut forget = Vec::new();
        for (id, member) in &self.members {
            let silence = now.saturating_duration_since(member.last_live);
            let age = now.saturating_duration_since(member.state_since);
            match member.reported {
                State::Live | State::Leaving => {
                    if peers.contains(id) && silence >= SUSPECT_AFTER {
                        due.push((*id, State::Suspected));
                    }
                }
                State::Suspected if age >= SUSPICION_TIMEOUT => {
                    due.push((*id, State::Gone));
                }
                State::Gone if age >= FORGET_AFTER => forget.push(*id),
                State::Suspected | State::Gone => {}
            }
        }
        for (id, state) in due {
            self.set_state(id, state, now);
        }
        for id in forget {
            self.members.remove(&id);
            self.round_robin.retain(|other| *other != id);
        }
    }

    /// Returns the peers that this node chooses to exchange heartbeats with.
    pub fn peers(&self) -> Vec<InstanceId> {
        let members = self.members.values().map(|member| &member.instance);
        let usable = members.filter(|instance| instance.state != State::Gone);
        peers::choose(&self.local, &usable.collect::<Vec<_>>())
    }

    /// Returns a gone member to contact again, or none if no member is gone.
    ///
    /// After a network partition, each side considers the other as gone, and without these
    /// attempts the partition would never heal.
    pub fn gone_member(&self, seed: u64) -> Option<InstanceId> {
        let gone = |member: &&Member| member.instance.state == State::Gone;
        let ids = self.members.values().filter(gone);
        let ids: Vec<InstanceId> = ids.map(|member| member.instance.id).collect();
        let index = seed.checked_rem(ids.len() as u64)?;
        Some(ids[index as usize])
    }

    /// Returns the node's own record for a heartbeat, with its location if it changed recently.
    pub fn heartbeat_record(&mut self) -> Record {
        let full = self.own_repeats_left > 0;
        self.own_repeats_left = self.own_repeats_left.saturating_sub(1);
        gossip::record(&self.local, self.local.state, full)
    }

    /// Returns the records for the next heartbeat: changed ones first, then others round-robin.
    ///
    /// If `full` is set, every record contains its location, for peers that may not know the
    /// instance.
    pub fn records(&mut self, full: bool) -> Vec<Record> {
        let mut records = Vec::new();
        for id in self.recently_changed() {
            if let Some(member) = self.members.get_mut(&id) {
                member.repeats_left -= 1;
                records.push(gossip::record(&member.instance, member.reported, true));
            }
        }
        for _ in 0..self.round_robin.len() {
            if records.len() >= MAX_RECORDS {
                break;
            }
            let Some(id) = self.round_robin.pop_front() else {
                break;
            };
            self.round_robin.push_back(id);
            if let Some(member) = self.members.get(&id)
                && records.iter().all(|record| record.id != id)
            {
                records.push(gossip::record(&member.instance, member.reported, full));
            }
        }
        records
    }

    /// Returns the node's own record with its location, for the handshake of a new link.
    pub fn hello_record(&self) -> Record {
        gossip::record(&self.local, self.local.state, true)
    }

    /// Returns the records of recently changed members, without counting them as sent.
    pub fn changed(&self) -> Vec<Record> {
        let changed = self.recently_changed().into_iter();
        let changed = changed.filter_map(|id| self.members.get(&id));
        changed
            .map(|member| gossip::record(&member.instance, member.reported, true))
            .collect()
    }

    /// Returns the recently changed members, the least often sent ones first.
    ///
    /// When a zone fails, more members change than fit into one heartbeat. Each must be sent once
    /// before any is repeated; otherwise, each node delays the last ones by many rounds.
    fn recently_changed(&self) -> Vec<InstanceId> {
        let changed = self
            .members
            .iter()
            .filter(|(_, member)| member.repeats_left > 0);
        let mut changed: Vec<(u8, InstanceId)> = changed
            .map(|(id, member)| (member.repeats_left, *id))
            .collect();
        changed.sort_by_key(|(repeats, _)| std::cmp::Reverse(*repeats));
        changed.truncate(MAX_RECORDS);
        changed.into_iter().map(|(_, id)| id).collect()
    }

    /// Refutes a record about this node with a newer incarnation or a worse state, by raising the
    /// incarnation of the node above it.
    fn refute(&mut self, record: &Record) {
        let newer = record.incarnation > self.local.incarnation;
        let worse = record.incarnation == self.local.incarnation && record.state > self.local.state;
        if newer || worse {
            self.local.incarnation = record.incarnation.saturating_add(1);
            self.own_repeats_left = CHANGE_REPEATS;
        }
    }

    /// Adds a new member, unless the view is full.
    fn insert(&mut self, instance: Instance, now: Instant) {
        if instance.id == self.local.id || self.members.len() >= MAX_MEMBERS {
            return;
        }
        self.changes.push(Change {
            id: instance.id,
            before: None,
            after: instance.state,
        });
        self.round_robin.push_back(instance.id);
        let announced_leaving = instance.state == State::Leaving;
        let member = Member {
            reported: instance.state,
            instance,
            listed_leaving: false,
            announced_leaving,
            last_direct: None,
            last_live: now,
            state_since: now,
            repeats_left: CHANGE_REPEATS,
        };
        self.members.insert(member.instance.id, member);
    }

    /// Sets the reported state of a member and records a change of its effective state.
    fn set_state(&mut self, id: InstanceId, state: State, now: Instant) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        match state {
            State::Live => member.announced_leaving = false,
            State::Leaving => member.announced_leaving = true,
            State::Suspected | State::Gone => {}
        }
        if member.reported != state {
            member.reported = state;
            member.state_since = now;
            member.repeats_left = CHANGE_REPEATS;
        }
        let state = if state == State::Live && member.listed_leaving {
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

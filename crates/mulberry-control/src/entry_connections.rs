//! Connections of entries and what has been sent to each of them.

use std::collections::HashMap;

use mulberry_peers::{ConnectionId, PushError, Pusher};
use mulberry_state::FleetState;
use mulberry_types::{
    ConfigurationVersion, ControlPortReply, ControlReply, Membership, MembershipEpoch,
};

/// Connections that have renewed a lease at this leader.
#[derive(Debug)]
pub struct EntryConnections {
    pusher: Pusher<ControlPortReply>,
    sent: HashMap<ConnectionId, Sent>,
}

/// Newest version and epoch that were sent to a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    pub version: ConfigurationVersion,
    pub epoch: MembershipEpoch,
}

impl EntryConnections {
    pub fn new(pusher: Pusher<ControlPortReply>) -> EntryConnections {
        EntryConnections { pusher, sent: HashMap::new() }
    }

    /// Records what a renewal says that the entry has, or what a grant brings it.
    pub fn record(&mut self, connection: ConnectionId, sent: Sent) {
        self.sent.insert(connection, sent);
    }

    pub fn closed(&mut self, connection: ConnectionId) {
        self.sent.remove(&connection);
    }

    pub fn clear(&mut self) {
        self.sent.clear();
    }

    pub fn len(&self) -> usize {
        self.sent.len()
    }

    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// Pushes to each connection what it lacks. Returns the number of pushes.
    pub fn push_updates(&mut self, state: &FleetState) -> u64 {
        let newest = Sent { version: state.version(), epoch: state.membership().epoch };
        let mut pushes = 0;
        // Most connections lack the same, so the update is computed once for all of them.
        let mut last_computed = None;
        let pusher = &self.pusher;
        self.sent.retain(|connection, sent| {
            if *sent == newest {
                return true;
            }
            let is_computed = last_computed.as_ref().is_some_and(|(of, _)| of == sent);
            if !is_computed {
                last_computed = Some((*sent, update_since(state, *sent)));
            }
            let Some((_, message)) = &last_computed else { return true };
            *sent = newest;
            match pusher.push(*connection, message) {
                Ok(()) => {
                    pushes += 1;
                    true
                }
                // The next grant tells the entry what it lacks.
                Err(PushError::TooLarge) => true,
                Err(PushError::Closed | PushError::QueueFull) => false,
            }
        });
        pushes
    }
}

fn update_since(state: &FleetState, sent: Sent) -> ControlPortReply {
    ControlPortReply::Entry(ControlReply::Update {
        update: state.update_since(sent.version),
        membership: membership_since(state, sent.epoch),
    })
}

/// The members, if they differ from those of `epoch`.
pub fn membership_since(state: &FleetState, epoch: MembershipEpoch) -> Option<Membership> {
    let membership = state.membership();
    (membership.epoch != epoch).then(|| (**membership).clone())
}

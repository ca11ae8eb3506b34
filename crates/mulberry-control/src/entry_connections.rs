//! Connections of entries, with the versions sent to each of them.

use std::collections::HashMap;

use mulberry_peers::{ConnectionId, PushError, Pusher};
use mulberry_state::FleetState;
use mulberry_types::{
    ConfigurationVersion, ControlPortReply, ControlReply, Membership, MembershipEpoch,
};

/// Connections over which this leader has granted a lease.
#[derive(Debug)]
pub struct EntryConnections {
    pusher: Pusher<ControlPortReply>,
    sent: HashMap<ConnectionId, SentVersions>,
}

/// Latest configuration version and membership epoch sent to a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentVersions {
    pub version: ConfigurationVersion,
    pub epoch: MembershipEpoch,
}

impl EntryConnections {
    pub fn new(pusher: Pusher<ControlPortReply>) -> EntryConnections {
        EntryConnections { pusher, sent: HashMap::new() }
    }

    /// Records the version and epoch that a grant has brought to the entry on a connection.
    pub fn record_sent(&mut self, connection: ConnectionId, sent: SentVersions) {
        self.sent.insert(connection, sent);
    }

    pub fn remove(&mut self, connection: ConnectionId) {
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

    /// Pushes missing updates to each connection. Returns the number of pushes.
    pub fn push_updates(&mut self, state: &FleetState) -> u64 {
        let newest = SentVersions { version: state.version(), epoch: state.membership().epoch };
        let mut pushes = 0;
        // Most connections lack the same update, so the last computed update is reused.
        let mut cached_update = None;
        let pusher = &self.pusher;
        self.sent.retain(|connection, sent| {
            if *sent == newest {
                return true;
            }
            let is_cached = cached_update.as_ref().is_some_and(|(base, _)| base == sent);
            if !is_cached {
                cached_update = Some((*sent, update_since(state, *sent)));
            }
            let Some((_, message)) = &cached_update else { return true };
            *sent = newest;
            match pusher.push(*connection, message) {
                Ok(()) => {
                    pushes += 1;
                    true
                }
                // The next grant carries the missing update.
                Err(PushError::TooLarge) => true,
                Err(PushError::Closed | PushError::QueueFull) => false,
            }
        });
        pushes
    }
}

fn update_since(state: &FleetState, sent: SentVersions) -> ControlPortReply {
    ControlPortReply::Entry(ControlReply::Update {
        update: state.update_since(sent.version),
        membership: membership_since(state, sent.epoch),
    })
}

/// The current membership, unless its epoch is `epoch`.
pub fn membership_since(state: &FleetState, epoch: MembershipEpoch) -> Option<Membership> {
    let membership = state.membership();
    (membership.epoch != epoch).then(|| (**membership).clone())
}

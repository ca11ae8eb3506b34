//! Status of a replica, published for the operator API and other threads.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use mulberry_consensus::{MemberId, MemberProgress, Members, Role};
use mulberry_types::{ConfigurationVersion, MembershipEpoch};

/// Snapshot of the state of a replica, at most about 50 ms old.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaStatus {
    pub member: MemberId,
    pub role: Role,
    pub term: u64,
    pub leader: Option<MemberId>,

    /// Address of the operator API of the leader, if a hello was received from it.
    pub leader_operator_address: Option<SocketAddr>,

    pub commit_index: u64,
    pub applied_index: u64,
    pub snapshot_index: u64,
    pub members: Members,

    /// Members from which a hello was received, this one included, with their addresses.
    pub known_members: Vec<(MemberId, SocketAddr)>,

    /// Replication progress of each member. Empty unless this replica leads.
    pub progress: Vec<MemberProgress>,

    pub version: ConfigurationVersion,
    pub epoch: MembershipEpoch,

    /// Newest epoch that every entry has applied. `None` unless this replica leads.
    pub settled_epoch: Option<MembershipEpoch>,

    /// Milliseconds since the leader last received a reply from each member. Empty on other replicas.
    pub last_contacts_ms: Vec<(MemberId, u64)>,

    /// Number of entries in the membership.
    pub entries: usize,

    /// Reason why the replica no longer acknowledges anything.
    pub failure: Option<String>,
}

/// Status shared between the replica thread and readers.
#[derive(Debug, Clone)]
pub struct SharedStatus {
    status: Arc<Mutex<ReplicaStatus>>,
}

impl ReplicaStatus {
    pub fn new(member: MemberId) -> ReplicaStatus {
        ReplicaStatus {
            member,
            role: Role::Follower,
            term: 0,
            leader: None,
            leader_operator_address: None,
            commit_index: 0,
            applied_index: 0,
            snapshot_index: 0,
            members: Members::default(),
            known_members: Vec::new(),
            progress: Vec::new(),
            version: ConfigurationVersion(0),
            epoch: MembershipEpoch(0),
            settled_epoch: None,
            last_contacts_ms: Vec::new(),
            entries: 0,
            failure: None,
        }
    }

    /// Address of a member, if a hello was received from it.
    pub fn address_of(&self, member: MemberId) -> Option<SocketAddr> {
        self.known_members.iter().find(|(known, _)| *known == member).map(|(_, address)| *address)
    }
}

impl SharedStatus {
    pub fn new(status: ReplicaStatus) -> SharedStatus {
        SharedStatus { status: Arc::new(Mutex::new(status)) }
    }

    pub fn get(&self) -> ReplicaStatus {
        self.status.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set(&self, status: ReplicaStatus) {
        *self.status.lock().unwrap_or_else(PoisonError::into_inner) = status;
    }

    pub(crate) fn set_failure(&self, failure: String) {
        let mut status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        status.role = Role::Follower;
        status.leader = None;
        status.failure.get_or_insert(failure);
    }
}

//! What a replica says about itself on status pages.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use mulberry_consensus::{MemberId, MemberProgress, Members, Role};
use mulberry_types::{ConfigurationVersion, MembershipEpoch};

/// State of a replica, at most some 50 ms old.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaStatus {
    pub member: MemberId,
    pub role: Role,
    pub term: u64,
    pub leader: Option<MemberId>,

    /// Operator API of the leader, if it has introduced itself.
    pub leader_operator_address: Option<SocketAddr>,

    pub commit_index: u64,
    pub applied_index: u64,
    pub snapshot_index: u64,
    pub members: Members,

    /// Members that have introduced themselves, with their addresses.
    pub known: Vec<(MemberId, SocketAddr)>,

    /// The members as the leader sees them; empty on other replicas.
    pub progress: Vec<MemberProgress>,

    pub version: ConfigurationVersion,
    pub epoch: MembershipEpoch,

    /// Newest epoch that every member has applied, on the leader.
    pub settled_epoch: Option<MembershipEpoch>,

    /// Time since the leader last heard from each member, on the leader.
    pub last_contacts_ms: Vec<(MemberId, u64)>,

    /// Live entries.
    pub entries: usize,

    /// Why the replica acknowledges nothing any more.
    pub failure: Option<String>,
}

/// Status shared between the replica thread and its readers.
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
            known: Vec::new(),
            progress: Vec::new(),
            version: ConfigurationVersion(0),
            epoch: MembershipEpoch(0),
            settled_epoch: None,
            last_contacts_ms: Vec::new(),
            entries: 0,
            failure: None,
        }
    }

    /// Address of a member, if it has introduced itself.
    pub fn address_of(&self, member: MemberId) -> Option<SocketAddr> {
        self.known.iter().find(|(known, _)| *known == member).map(|(_, address)| *address)
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

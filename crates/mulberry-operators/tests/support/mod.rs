//! Control instances in memory, shared by the tests of the operator crates.
#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use mulberry_operators::{
    BackendError, ConfigurationAnswer, EntryStatus, MemberChange, OperatorBackend, OperatorServer,
    OperatorToken, OperatorTokens, ReplicaId, ReplicaRole, ReplicaStatus, Status,
    operator_http_settings,
};
use mulberry_types::{
    AuditRecord, Change, ChangeId, ChangeOutcome, Configuration, ConfigurationVersion, Incarnation,
    MembershipEpoch, NodeId, RejectReason,
};

pub const TOKEN: &str = "token-of-ada";

/// SHA-256 of [`TOKEN`].
const TOKEN_SHA256: &str = "db399cbb0859754964173adbc8acda8fc539c5c6dcf8ecb1680a04ff94749fac";

/// State that all instances of one group share.
#[derive(Debug, Default)]
pub struct Group {
    pub version: ConfigurationVersion,
    pub configuration: Configuration,
    pub audit: Vec<AuditRecord>,
    pub outcomes: BTreeMap<ChangeId, (Change, ChangeOutcome)>,
    pub member_changes: Vec<(String, MemberChange)>,
    pub transfers: Vec<Option<ReplicaId>>,
}

/// How an instance behaves.
#[derive(Debug, Clone, Default)]
pub enum Behaviour {
    #[default]
    Leads,
    Follows(Option<SocketAddr>),
    Unavailable,

    /// Commits, but says that the outcome is unknown, so many times.
    LosesOutcomes(u32),

    /// Another change is committed before each of so many submitted ones.
    IsOvertaken(u32),

    Rejects,
}

/// One instance with its HTTP server.
pub struct Instance {
    pub server: OperatorServer,
    pub behaviour: Arc<Mutex<Behaviour>>,
    pub calls: Arc<Mutex<u32>>,
}

struct Backend {
    group: Arc<Mutex<Group>>,
    behaviour: Arc<Mutex<Behaviour>>,
    calls: Arc<Mutex<u32>>,
}

pub fn tokens() -> OperatorTokens {
    let token = OperatorToken { operator: "ada".into(), token_sha256: TOKEN_SHA256.to_owned() };
    OperatorTokens::new(&[token]).unwrap()
}

impl Instance {
    pub fn start(group: &Arc<Mutex<Group>>, behaviour: Behaviour) -> Instance {
        let behaviour = Arc::new(Mutex::new(behaviour));
        let calls = Arc::new(Mutex::new(0));
        let backend =
            Backend { group: group.clone(), behaviour: behaviour.clone(), calls: calls.clone() };
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server =
            OperatorServer::start(listener, operator_http_settings(), tokens(), Arc::new(backend))
                .unwrap();
        Instance { server, behaviour, calls }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.local_address()
    }

    pub fn calls(&self) -> u32 {
        *self.calls.lock().unwrap()
    }
}

impl Group {
    pub fn submit(&mut self, change: Change) -> ChangeOutcome {
        if let Some((first, outcome)) = self.outcomes.get(&change.id) {
            if *first != change {
                return ChangeOutcome::Rejected { reason: RejectReason::IdReused };
            }
            return outcome.clone();
        }
        let outcome = self.apply(&change);
        self.outcomes.insert(change.id.clone(), (change, outcome.clone()));
        outcome
    }

    fn apply(&mut self, change: &Change) -> ChangeOutcome {
        if change.expected_version != self.version {
            let reason = RejectReason::VersionConflict { current: self.version };
            return ChangeOutcome::Rejected { reason };
        }
        let mut configuration = self.configuration.clone();
        let applied = change
            .operations
            .iter()
            .try_for_each(|operation| operation.apply(&mut configuration))
            .and_then(|()| configuration.check());
        if let Err(error) = applied {
            let reason = RejectReason::Invalid { path: error.path, problem: error.problem };
            return ChangeOutcome::Rejected { reason };
        }
        self.configuration = configuration;
        let from_version = self.version;
        self.version = ConfigurationVersion(from_version.0 + 1);
        self.audit.push(AuditRecord {
            change_id: change.id.clone(),
            operator: change.operator.clone(),
            at_unix_ms: 1_764_800_000_000 + self.version.0,
            from_version,
            to_version: self.version,
            operations: change.operations.clone(),
        });
        ChangeOutcome::Accepted { version: self.version }
    }

    /// Another operator's change that changes nothing but the version.
    fn overtake(&mut self) {
        let id = ChangeId(format!("other-{}", self.version).into());
        let expected_version = self.version;
        self.submit(Change { id, operator: "bob".into(), expected_version, operations: vec![] });
    }
}

impl Backend {
    /// Counts the call; `Ok` if this instance leads.
    fn check(&self) -> Result<(), BackendError> {
        *self.calls.lock().unwrap() += 1;
        match &*self.behaviour.lock().unwrap() {
            Behaviour::Follows(leader) => {
                Err(BackendError::NotLeader { leader_operator_address: *leader })
            }
            Behaviour::Unavailable => Err(BackendError::Unavailable {
                reason: "the disk is full; free some space".into(),
                retry_after_ms: 1_500,
            }),
            Behaviour::Rejects => Err(BackendError::Rejected {
                problem: "the learner lacks 12 entries; promote it when it has caught up".into(),
            }),
            _ => Ok(()),
        }
    }

    /// `Err` if the outcome of the call that was just carried out is to be lost.
    fn lose_outcome(&self) -> Result<(), BackendError> {
        match &mut *self.behaviour.lock().unwrap() {
            Behaviour::LosesOutcomes(times) if *times > 0 => {
                *times -= 1;
                Err(BackendError::OutcomeUnknown { reason: "leadership was lost".into() })
            }
            _ => Ok(()),
        }
    }
}

impl OperatorBackend for Backend {
    fn submit_change(&self, change: Change) -> Result<ChangeOutcome, BackendError> {
        self.check()?;
        if let Behaviour::IsOvertaken(times) = &mut *self.behaviour.lock().unwrap() {
            if *times > 0 {
                *times -= 1;
                self.group.lock().unwrap().overtake();
            }
        }
        let outcome = self.group.lock().unwrap().submit(change);
        self.lose_outcome()?;
        Ok(outcome)
    }

    fn configuration(&self) -> Result<ConfigurationAnswer, BackendError> {
        self.check()?;
        let group = self.group.lock().unwrap();
        Ok(ConfigurationAnswer {
            version: group.version,
            configuration: group.configuration.clone(),
        })
    }

    fn audit(
        &self,
        from_version: ConfigurationVersion,
        limit: usize,
    ) -> Result<Vec<AuditRecord>, BackendError> {
        self.check()?;
        let group = self.group.lock().unwrap();
        let records = group.audit.iter().filter(|record| record.from_version >= from_version);
        Ok(records.take(limit).cloned().collect())
    }

    fn status(&self) -> Result<Status, BackendError> {
        let leader_operator_address = match &*self.behaviour.lock().unwrap() {
            Behaviour::Follows(leader) => *leader,
            _ => None,
        };
        let leads = !matches!(&*self.behaviour.lock().unwrap(), Behaviour::Follows(_));
        let replica = |id, role, lag_entries| ReplicaStatus {
            replica: ReplicaId(id),
            address: Some(SocketAddr::from(([127, 0, 0, 1], 7_000))),
            role,
            lag_entries,
            last_contact_ms: lag_entries.map(|_| 40),
        };
        let entry = EntryStatus {
            node: NodeId(11),
            incarnation: Incarnation(5),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 7_100)),
            zone: "zone-1".into(),
            lease_age_ms: 250,
            applied_version: ConfigurationVersion(0),
            applied_epoch: MembershipEpoch(3),
        };
        Ok(Status {
            replica: if leads { ReplicaId(1) } else { ReplicaId(2) },
            leader: Some(ReplicaId(1)),
            leader_operator_address,
            term: 4,
            commit_index: 17,
            version: self.group.lock().unwrap().version,
            epoch: MembershipEpoch(3),
            settled_epoch: leads.then_some(MembershipEpoch(2)),
            replicas: vec![
                replica(1, ReplicaRole::Leader, Some(0)),
                replica(2, ReplicaRole::Voter, Some(3)),
                replica(3, ReplicaRole::Learner, None),
            ],
            entries: if leads { vec![entry] } else { vec![] },
        })
    }

    fn change_members(&self, operator: &str, change: &MemberChange) -> Result<(), BackendError> {
        self.check()?;
        let record = (operator.to_owned(), change.clone());
        self.group.lock().unwrap().member_changes.push(record);
        self.lose_outcome()
    }

    fn transfer(&self, _operator: &str, to: Option<ReplicaId>) -> Result<(), BackendError> {
        self.check()?;
        self.group.lock().unwrap().transfers.push(to);
        self.lose_outcome()
    }
}

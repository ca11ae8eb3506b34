//! The bytes of messages between entries and control instances.
//!
//! Processes of two versions run side by side during an upgrade, and the encoding depends on the order of
//! fields and variants.

#[path = "support/encoding.rs"]
mod encoding;

use encoding::encoded;
use mulberry_types::{
    Announcement, Change, ChangeId, ChangeOperation, ChangeOutcome, ClaimKey, ClaimReply,
    Configuration, ConfigurationUpdate, ConfigurationVersion, ControlPortReply, ControlPortRequest,
    ControlReply, ControlRequest, Fence, Grant, HomeDigest, HomeReply, HomeRequest, Incarnation,
    LoadReport, Member, Membership, MembershipEpoch, NodeId, Operation, Permit, Priority,
    RefuseReason, Refused, RejectReason, Release, ReleaseOutcome, Renew, Repeatability,
    ReplicaHello, RequestId, ReservationId, Reserve, Reserved, Service, ServiceKind, StoredAnswer,
    TargetDigest, TargetKind, TargetOverride, TargetState, Workspace, Zone, ZoneState,
};

fn request() -> RequestId {
    RequestId { node: NodeId(3), incarnation: Incarnation(900), counter: 77 }
}

fn announcement(kind: TargetKind) -> Announcement {
    Announcement {
        target: "target-1".into(),
        boot_id: 12,
        kind,
        address: "127.0.0.1:8001".parse().expect("an address"),
        zone: "zone-a".into(),
        memory_tokens: 450_000,
        slots: 8,
        prefill_tokens_per_s: 20_000,
        step_ms: 30,
        weight_version: "w1".into(),
        checks_fence: true,
        leaving: false,
        load: LoadReport { running: 1, waiting: 2, used_tokens: 3 },
    }
}

fn digest() -> HomeDigest {
    HomeDigest {
        node: NodeId(1),
        incarnation: Incarnation(2),
        epoch: MembershipEpoch(3),
        sequence: 4,
        targets: vec![TargetDigest {
            target: "target-1".into(),
            boot_id: 5,
            kind: TargetKind::Service { service: "billing".into() },
            address: "[::1]:8002".parse().expect("an address"),
            zone: "zone-b".into(),
            memory_tokens: 6,
            free_tokens: 7,
            free_slots: 8,
            taken_slots: 9,
            slots: 10,
            prefill_tokens_per_s: 11,
            queued_prompt_tokens: [12, 13, 14],
            long_prefill: true,
            takes_work: false,
        }],
    }
}

fn key() -> ClaimKey {
    ClaimKey { workspace: "workspace".into(), service: "booking".into(), key: "key-1".into() }
}

fn answer() -> StoredAnswer {
    StoredAnswer {
        status: 201,
        headers: vec![("content-type".to_owned(), "text/plain".to_owned())],
        body: Some(b"done".to_vec()),
    }
}

fn member() -> Member {
    Member {
        node: NodeId(4),
        incarnation: Incarnation(5),
        peer_address: "127.0.0.1:7001".parse().expect("an address"),
        zone: "zone-a".into(),
    }
}

fn membership() -> Membership {
    Membership { epoch: MembershipEpoch(6), members: vec![member()] }
}

fn services() -> [Service; 2] {
    let operation = |method: &str, repeatability| Operation {
        method: method.into(),
        path_prefix: "/".into(),
        repeatability,
    };
    let kinds = [
        ServiceKind::Model { max_answer_tokens: 100 },
        ServiceKind::Plain {
            operations: vec![
                operation("GET", Repeatability::Repeatable),
                operation("POST", Repeatability::AtMostOnce),
            ],
        },
    ];
    kinds.map(|kind| Service { kind, default_deadline_ms: 1_000, max_deadline_ms: 2_000 })
}

fn workspace(priority: Priority) -> Workspace {
    Workspace { api_key_sha256: vec!["ab".into()], weight: 2, priority, max_in_flight: 3 }
}

fn operations() -> Vec<ChangeOperation> {
    let [model, plain] = services();
    vec![
        ChangeOperation::PutService { name: "model-a".into(), service: model },
        ChangeOperation::PutService { name: "booking".into(), service: plain },
        ChangeOperation::RemoveService { name: "old".into() },
        ChangeOperation::PutWorkspace { name: "low".into(), workspace: workspace(Priority::Low) },
        ChangeOperation::PutWorkspace {
            name: "mid".into(),
            workspace: workspace(Priority::Normal),
        },
        ChangeOperation::PutWorkspace { name: "high".into(), workspace: workspace(Priority::High) },
        ChangeOperation::RemoveWorkspace { name: "old".into() },
        ChangeOperation::SetZone { zone: "zone-a".into(), state: ZoneState::In },
        ChangeOperation::SetZone { zone: "zone-a".into(), state: ZoneState::Out },
        ChangeOperation::SetTarget { target: "target-1".into(), state: TargetState::In },
        ChangeOperation::SetTarget { target: "target-1".into(), state: TargetState::Drained },
    ]
}

fn configuration() -> Configuration {
    let [model, _] = services();
    Configuration {
        services: [("model-a".into(), model)].into(),
        workspaces: [("billing".into(), workspace(Priority::Normal))].into(),
        zones: [("zone-a".into(), Zone { state: ZoneState::Out })].into(),
        targets: [("target-1".into(), TargetOverride { state: TargetState::Drained })].into(),
    }
}

fn updates() -> [ConfigurationUpdate; 2] {
    [
        ConfigurationUpdate::Delta {
            from_version: ConfigurationVersion(1),
            to_version: ConfigurationVersion(2),
            operations: operations(),
        },
        ConfigurationUpdate::Full {
            version: ConfigurationVersion(2),
            configuration: configuration(),
        },
    ]
}

/// Guards against fields or variants of messages to homes that change their order.
#[test]
fn requests_to_homes_keep_their_bytes() {
    let release = |outcome| {
        HomeRequest::Release(Release {
            target: "target-1".into(),
            reservation: ReservationId(8),
            outcome,
            first_token_ms: Some(40),
        })
    };
    let reserve = HomeRequest::Reserve(Reserve {
        request: request(),
        target: "target-1".into(),
        epoch: MembershipEpoch(9),
        prompt_tokens: 1_000,
        total_tokens: 1_100,
        priority: Priority::High,
        remaining_ms: 5_000,
        max_first_token_ms: Some(300),
    });
    insta::assert_snapshot!(encoded(&[
        HomeRequest::Announce(announcement(TargetKind::Engine { models: vec!["model-a".into()] })),
        HomeRequest::Announce(announcement(TargetKind::Service { service: "booking".into() })),
        reserve,
        HomeRequest::Extend {
            node: NodeId(3),
            incarnation: Incarnation(900),
            reservations: vec![ReservationId(8), ReservationId(300)],
        },
        release(ReleaseOutcome::Unused),
        release(ReleaseOutcome::Succeeded),
        release(ReleaseOutcome::Cancelled),
        release(ReleaseOutcome::Overloaded),
        release(ReleaseOutcome::Failed),
        HomeRequest::FirstToken { reservation: ReservationId(8) },
        HomeRequest::Digest(digest()),
    ]));
}

/// Guards against fields or variants of the replies of homes that change their order.
#[test]
fn replies_of_homes_keep_their_bytes() {
    let reasons = [
        RefuseReason::NotHome,
        RefuseReason::LeaseLost,
        RefuseReason::TargetUnknown,
        RefuseReason::TargetLeaving,
        RefuseReason::TargetDrained,
        RefuseReason::ZoneOut,
        RefuseReason::NeverFits,
        RefuseReason::MemoryFull,
        RefuseReason::SlotsFull,
        RefuseReason::ColdRamp,
        RefuseReason::LongPrefillCap,
        RefuseReason::BreakerOpen,
        RefuseReason::Busy,
        RefuseReason::DeadlineTooShort,
    ];
    let refused = reasons.map(|reason| HomeReply::Refused(Refused { reason, retry_after_ms: 200 }));
    let others = [
        HomeReply::Reserved(Reserved {
            reservation: ReservationId(8),
            target: "target-1".into(),
            boot_id: 12,
            address: "127.0.0.1:8001".parse().expect("an address"),
            expires_in_ms: 3_000,
        }),
        HomeReply::Extended { unknown: vec![ReservationId(300)] },
        HomeReply::Done,
    ];
    insta::assert_snapshot!(encoded(&refused) + &encoded(&others));
}

/// Guards against fields or variants of messages to control instances that change their order.
#[test]
fn requests_to_control_keep_their_bytes() {
    let requests = [
        ControlRequest::Renew(Renew {
            member: member(),
            sequence: 10,
            have_version: ConfigurationVersion(11),
            have_epoch: MembershipEpoch(12),
        }),
        ControlRequest::Leave { node: NodeId(4), incarnation: Incarnation(5) },
        ControlRequest::Claim { key: key(), fingerprint: [7; 32], request: request() },
        ControlRequest::FinishClaim { key: key(), request: request(), answer: answer() },
        ControlRequest::ReleaseClaim { key: key(), request: request() },
        ControlRequest::AbandonClaim { key: key(), request: request() },
        ControlRequest::TakePermit { target: "target-1".into(), bytes: 1 << 30 },
    ];
    let port = [
        ControlPortRequest::Entry(requests[1].clone()),
        ControlPortRequest::Hello(ReplicaHello {
            member: 1,
            address: "127.0.0.1:7101".parse().expect("an address"),
            operator_address: "127.0.0.1:7102".parse().expect("an address"),
            has_group: true,
            known_members: vec![1, 2],
        }),
        ControlPortRequest::Replica { from: 1, to: 2, message: vec![3, 4] },
    ];
    insta::assert_snapshot!(encoded(&requests) + &encoded(&port));
}

/// Guards against fields or variants of the replies of control instances that change their order.
#[test]
fn replies_of_control_keep_their_bytes() {
    let claims = [
        ClaimReply::Won,
        ClaimReply::Running,
        ClaimReply::Finished(answer()),
        ClaimReply::Unknown,
        ClaimReply::Conflict,
        ClaimReply::Released,
    ];
    let [delta, full] = updates();
    let others = [
        ControlReply::Granted(Grant {
            sequence: 1,
            lease_ms: 3_000,
            version: ConfigurationVersion(2),
            epoch: MembershipEpoch(3),
            settled_epoch: MembershipEpoch(4),
            update: Some(delta),
            membership: Some(membership()),
        }),
        ControlReply::Redirect { leader: Some("127.0.0.1:7101".parse().expect("an address")) },
        ControlReply::Expelled,
        ControlReply::Done,
        ControlReply::Permit(Permit::Granted),
        ControlReply::Permit(Permit::Wait { retry_after_ms: 5 }),
        ControlReply::Update { update: Some(full), membership: None },
        ControlReply::Unavailable { reason: "a".to_owned() },
        ControlReply::Refused { reason: "b".to_owned() },
    ];
    let port = [ControlPortReply::Entry(ControlReply::Done)];
    let claims = claims.map(ControlReply::Claim);
    insta::assert_snapshot!(encoded(&claims) + &encoded(&others) + &encoded(&port));
}

/// Guards against fields or variants of changes, their outcomes and fences that change their order.
#[test]
fn changes_keep_their_bytes() {
    let change = Change {
        id: ChangeId("change-1".into()),
        operator: "thandi".into(),
        expected_version: ConfigurationVersion(1),
        operations: operations(),
    };
    let outcomes = [
        ChangeOutcome::Accepted { version: ConfigurationVersion(2) },
        ChangeOutcome::Rejected {
            reason: RejectReason::VersionConflict { current: ConfigurationVersion(3) },
        },
        ChangeOutcome::Rejected {
            reason: RejectReason::Invalid { path: "a".to_owned(), problem: "b".to_owned() },
        },
        ChangeOutcome::Rejected { reason: RejectReason::IdReused },
    ];
    let fence = Fence { epoch: MembershipEpoch(1), counter: 2 };
    insta::assert_snapshot!(encoded(&[change]) + &encoded(&outcomes) + &encoded(&[fence]));
}

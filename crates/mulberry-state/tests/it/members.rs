//! Members and the lives of their nodes.

use mulberry_state::{Command, JoinReply, Reply, StateLimits};
use mulberry_types::{ClaimReply, Incarnation, MembershipEpoch, NodeId};

use crate::common::{Driver, request};

fn joined(epoch: u64) -> Reply {
    Reply::Join(JoinReply::Joined { epoch: MembershipEpoch(epoch) })
}

fn removed(removed: bool, epoch: u64) -> Reply {
    Reply::Removed { removed, epoch: MembershipEpoch(epoch) }
}

impl Driver {
    fn leave(&mut self, node: u32, incarnation: u64) -> Reply {
        let (node, incarnation) = (NodeId(node), Incarnation(incarnation));
        self.apply(&Command::Leave { now_ms: self.now_ms, node, incarnation })
    }

    fn expire(&mut self, node: u32, incarnation: u64) -> Reply {
        let (node, incarnation) = (NodeId(node), Incarnation(incarnation));
        self.apply(&Command::Expire { now_ms: self.now_ms, node, incarnation })
    }
}

/// Guards against a late leave or expiry of an earlier life that removes the newer one.
#[test]
fn late_leave_does_not_remove_newer_life() {
    let mut driver = Driver::default();
    assert_eq!(driver.join(1, 10), joined(1));
    assert_eq!(driver.join(1, 11), joined(2));
    assert_eq!(driver.leave(1, 10), removed(false, 2));
    assert_eq!(driver.expire(1, 10), removed(false, 2));
    assert_eq!(driver.state.membership().members[0].incarnation, Incarnation(11));
    assert_eq!(driver.leave(1, 11), removed(true, 3));
    assert_eq!(driver.leave(1, 11), removed(false, 3));
}

/// Guards against a delayed join of an earlier life that replaces the newer one. Incarnations are random,
/// so the later one can be the smaller number.
#[test]
fn superseded_life_cannot_join_again() {
    let mut driver = Driver::default();
    driver.join(1, 50);
    driver.join(1, 7);
    driver.restore();
    assert_eq!(driver.join(1, 50), Reply::Join(JoinReply::Superseded));
    assert_eq!(driver.join(1, 7), Reply::Join(JoinReply::Unchanged { epoch: MembershipEpoch(2) }));
}

/// Guards against an expired entry that could never come back, and a stopped one that does.
#[test]
fn expired_life_may_join_again_and_left_one_may_not() {
    let mut driver = Driver::default();
    driver.join(1, 10);
    assert_eq!(driver.expire(1, 10), removed(true, 2));
    assert_eq!(driver.join(1, 10), joined(3));
    driver.leave(1, 10);
    driver.restore();
    assert_eq!(driver.join(1, 10), Reply::Join(JoinReply::Superseded));
    assert_eq!(driver.join(1, 11), joined(5));
}

/// Guards against open claims of a dead life that stay `running` for a day.
#[test]
fn end_of_a_life_makes_its_open_claims_unknown() {
    for how in 0..3 {
        let mut driver = Driver::default();
        driver.join(1, 10);
        driver.join(2, 20);
        assert_eq!(driver.claim("open", request(1, 10, 1)), Reply::Claim(ClaimReply::Won));
        assert_eq!(driver.claim("other", request(2, 20, 1)), Reply::Claim(ClaimReply::Won));
        driver.restore();
        match how {
            0 => driver.join(1, 11),
            1 => driver.leave(1, 10),
            _ => driver.expire(1, 10),
        };
        let reply = driver.claim("open", request(2, 20, 2));
        assert_eq!(reply, Reply::Claim(ClaimReply::Unknown));
        let reply = driver.claim("other", request(2, 20, 3));
        assert_eq!(reply, Reply::Claim(ClaimReply::Running));
    }
}

/// Guards against members and remembered lives without bound.
#[test]
fn members_and_lives_are_limited() {
    let mut driver = Driver::with_limits(StateLimits { members: 2, ..StateLimits::default() });
    driver.join(1, 1);
    driver.join(2, 1);
    assert_eq!(driver.join(3, 1), Reply::Join(JoinReply::Full));
    for node in 10..40 {
        driver.leave(2, u64::from(node));
        driver.expire(node - 1, 1);
        driver.expire(2, 1);
        driver.join(node, 1);
    }
    let few = driver.state.to_snapshot().len();
    for life in 2..60 {
        driver.join(39, life);
    }
    assert!(driver.state.to_snapshot().len() < few + 8 * 10);
    assert!(few < 500, "{few}");
}

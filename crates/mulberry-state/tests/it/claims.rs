//! Claims on calls that must not run twice.

use std::collections::{HashMap, HashSet};

use mulberry_state::{ClaimRefusal, Command, FleetState, Reply, SettleReply, StateLimits};
use mulberry_types::{ClaimKey, ClaimReply, RequestId};
use proptest::prelude::*;

use crate::common::{Driver, answer, cases, commands, key, request};

const DAY_MS: u64 = 24 * 60 * 60 * 1_000;
const WON: Reply = Reply::Claim(ClaimReply::Won);

fn refused(refusal: ClaimRefusal) -> Reply {
    Reply::ClaimRefused(refusal)
}

/// What the replies so far allow. Written from the rules of design 3.4, not from the implementation.
#[derive(Default)]
struct Model {
    /// Request that has won the key and not given it back.
    owners: HashMap<ClaimKey, RequestId>,

    released: HashSet<RequestId>,
    first: HashMap<RequestId, (ClaimKey, [u8; 32], ClaimReply)>,
}

impl Model {
    fn check(&mut self, command: &Command, reply: &Reply) -> Result<(), TestCaseError> {
        match (command, reply) {
            (Command::Claim { key, fingerprint, request, .. }, Reply::Claim(reply)) => {
                if self.released.contains(request) {
                    prop_assert_eq!(reply, &ClaimReply::Released);
                    return Ok(());
                }
                if *reply == ClaimReply::Won {
                    let owner = self.owners.entry(key.clone()).or_insert(*request);
                    prop_assert_eq!(&*owner, request, "won by a second request");
                }
                let first = (key.clone(), *fingerprint, reply.clone());
                let first = self.first.entry(*request).or_insert(first);
                if first.2 == ClaimReply::Won {
                    // A reused request id is a conflict; a resend gets `Won` until the call is settled.
                    let is_resend = (&first.0, &first.1) == (key, fingerprint);
                    let is_allowed = match reply {
                        ClaimReply::Won | ClaimReply::Finished(_) | ClaimReply::Unknown => {
                            is_resend
                        }
                        ClaimReply::Conflict => !is_resend,
                        ClaimReply::Running | ClaimReply::Released => false,
                    };
                    prop_assert!(is_allowed, "{reply:?} after {first:?}");
                } else {
                    prop_assert_eq!(&first.2, reply, "not the first result");
                }
            }
            (Command::ReleaseClaim { request, .. }, Reply::Settle(SettleReply::Done)) => {
                self.released.insert(*request);
                self.owners.retain(|_, owner| owner != request);
            }
            _ => {}
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(cases(1_024))]

    /// Guards against a key that is won by two requests, a claim that wins after its release, and a
    /// resent claim with another result. Each command is followed by a restore with some chance.
    #[test]
    fn claim_is_won_by_at_most_one_request(
        commands in commands(),
        restores in prop::collection::vec(prop::bool::weighted(0.1), 80),
    ) {
        let mut state = FleetState::default();
        let mut model = Model::default();
        // Times stay below 24 h, so that no claim ends by its age.
        let commands = commands.iter().filter(|command| command.now_ms() < DAY_MS / 24);
        for (position, (command, restore)) in commands.zip(restores).enumerate() {
            let reply = state.apply(position as u64 + 1, command);
            model.check(command, &reply)?;
            if restore {
                state = FleetState::from_snapshot(&state.to_snapshot()).expect("own snapshot");
            }
        }
    }
}

/// Guards against a claim that is delivered after its release and then blocks its key.
#[test]
fn claim_after_its_release_is_refused() {
    let mut driver = Driver::default();
    driver.join(1, 10);
    let (late, held) = (request(1, 10, 1), request(1, 10, 2));
    assert_eq!(driver.release("late", late), Reply::Settle(SettleReply::Done));
    assert_eq!(driver.claim("held", held), WON);
    assert_eq!(driver.release("held", held), Reply::Settle(SettleReply::Done));
    for _ in 0..2 {
        assert_eq!(driver.claim("late", late), Reply::Claim(ClaimReply::Released));
        assert_eq!(driver.claim("held", held), Reply::Claim(ClaimReply::Released));
        driver.restore();
    }
    assert_eq!(driver.claim("held", request(1, 10, 3)), WON);
}

/// Guards against a release that takes a settled claim back and so permits a second run.
#[test]
fn settled_claim_cannot_be_released() {
    let mut driver = Driver::default();
    driver.join(1, 10);
    let (finished, abandoned) = (request(1, 10, 1), request(1, 10, 2));
    driver.claim("finished", finished);
    driver.finish("finished", finished, 10);
    driver.claim("abandoned", abandoned);
    let now_ms = 0;
    let abandon = Command::AbandonClaim { now_ms, key: key("abandoned"), request: abandoned };
    assert_eq!(driver.apply(&abandon), Reply::Settle(SettleReply::Done));
    for (name, request) in [("finished", finished), ("abandoned", abandoned)] {
        assert_eq!(driver.release(name, request), Reply::Settle(SettleReply::NotHeld));
    }
    let reply = driver.claim("finished", request(1, 10, 3));
    assert_eq!(reply, Reply::Claim(ClaimReply::Finished(answer(10))));
    let reply = driver.claim("abandoned", request(1, 10, 4));
    assert_eq!(reply, Reply::Claim(ClaimReply::Unknown));
}

/// Guards against a claim of an entry whose end nobody would notice.
#[test]
fn claim_of_a_non_member_is_refused() {
    let mut driver = Driver::default();
    driver.join(1, 11);
    assert_eq!(driver.claim("a", request(1, 10, 1)), refused(ClaimRefusal::NotMember));
    assert_eq!(driver.claim("a", request(2, 11, 1)), refused(ClaimRefusal::NotMember));
}

/// Guards against a different call that gets the answer of another one.
#[test]
fn other_fingerprint_is_a_conflict() {
    let mut driver = Driver::default();
    driver.join(1, 10);
    driver.claim("a", request(1, 10, 1));
    let (key, request) = (key("a"), request(1, 10, 2));
    let reply = driver.apply(&Command::Claim { now_ms: 0, key, fingerprint: [2; 32], request });
    assert_eq!(reply, Reply::Claim(ClaimReply::Conflict));
}

/// Guards against a stored claim that is dropped at the limit and then won a second time.
#[test]
fn full_claims_are_refused_and_kept() {
    let limits = StateLimits { open_claims: 2, claims: 3, ..StateLimits::default() };
    let mut driver = Driver::with_limits(limits);
    driver.join(1, 10);
    let names = ["a", "b", "c", "d"];
    assert_eq!(driver.claim("a", request(1, 10, 0)), WON);
    assert_eq!(driver.claim("b", request(1, 10, 1)), WON);
    assert_eq!(driver.claim("c", request(1, 10, 2)), refused(ClaimRefusal::OpenClaimsFull));
    driver.finish("a", request(1, 10, 0), 1);
    assert_eq!(driver.claim("c", request(1, 10, 2)), WON);
    driver.finish("b", request(1, 10, 1), 1);
    assert_eq!(driver.claim("d", request(1, 10, 3)), refused(ClaimRefusal::StoredClaimsFull));
    driver.restore();
    for (name, counter) in names.iter().zip(10..) {
        let reply = driver.claim(name, request(1, 10, counter));
        assert_ne!(reply, WON, "{name}");
    }
}

/// Guards against stored answers without bound.
#[test]
fn answers_are_limited() {
    let limits = StateLimits { claim_bytes: 3_000, ..StateLimits::default() };
    let mut driver = Driver::with_limits(limits);
    driver.join(1, 10);
    driver.claim("a", request(1, 10, 0));
    driver.claim("b", request(1, 10, 1));
    assert_eq!(driver.finish("a", request(1, 10, 0), 1_500), Reply::Settle(SettleReply::Done));
    let reply = driver.finish("b", request(1, 10, 1), 1_500);
    assert_eq!(reply, Reply::Settle(SettleReply::DoneWithoutAnswer));
    let Reply::Claim(ClaimReply::Finished(stored)) = driver.claim("b", request(1, 10, 2)) else {
        panic!("the claim is not finished");
    };
    assert_eq!((stored.status, stored.body), (200, None));
    assert_eq!(driver.claim("c", request(1, 10, 3)), refused(ClaimRefusal::StoredClaimsFull));

    let mut driver = Driver::default();
    driver.join(1, 10);
    driver.claim("a", request(1, 10, 0));
    let reply = driver.finish("a", request(1, 10, 0), (64 << 10) + 1);
    assert_eq!(reply, Reply::Settle(SettleReply::DoneWithoutAnswer));
    assert_eq!(
        driver.claim(&"x".repeat(257), request(1, 10, 1)),
        refused(ClaimRefusal::KeyTooLong)
    );
}

/// Guards against a release that answers `Done` without remembering it.
#[test]
fn release_is_refused_when_it_cannot_be_remembered() {
    let mut driver = Driver::with_limits(StateLimits { tombstones: 1, ..StateLimits::default() });
    driver.join(1, 10);
    driver.claim("a", request(1, 10, 0));
    assert_eq!(driver.release("x", request(1, 10, 9)), Reply::Settle(SettleReply::Done));
    let reply = driver.release("a", request(1, 10, 0));
    assert_eq!(reply, Reply::Settle(SettleReply::TombstonesFull));
    assert_eq!(driver.claim("a", request(1, 10, 1)), Reply::Claim(ClaimReply::Running));
}

/// Guards against a claim that ends early, never ends, or ends while its call may be running.
#[test]
fn claims_expire_after_a_day() {
    let mut driver = Driver::default();
    let expire = |driver: &mut Driver, now_ms: u64| {
        driver.now_ms = now_ms;
        driver.apply(&Command::ExpireClaims { now_ms })
    };
    driver.join(1, 10);
    driver.claim("finished", request(1, 10, 0));
    driver.claim("open", request(1, 10, 1));
    driver.now_ms = 1_000;
    driver.finish("finished", request(1, 10, 0), 1);
    // The open claim becomes unknown, the finished one is a second short of its day.
    let reply = expire(&mut driver, DAY_MS + 999);
    assert_eq!(reply, Reply::Expired { removed: 1, more: false });
    let reply = driver.claim("open", request(1, 10, 2));
    assert_eq!(reply, Reply::Claim(ClaimReply::Unknown));
    let reply = driver.claim("finished", request(1, 10, 3));
    assert_eq!(reply, Reply::Claim(ClaimReply::Finished(answer(1))));

    driver.restore();
    assert_eq!(expire(&mut driver, DAY_MS + 1_000), Reply::Expired { removed: 1, more: false });
    assert_eq!(driver.claim("finished", request(1, 10, 4)), WON);
    assert_eq!(driver.claim("open", request(1, 10, 5)), Reply::Claim(ClaimReply::Unknown));
    assert_eq!(expire(&mut driver, 3 * DAY_MS), Reply::Expired { removed: 2, more: false });
    assert_eq!(driver.claim("open", request(1, 10, 6)), WON);
}

/// Guards against one command that removes a whole day of claims and holds up the replica.
#[test]
fn expiry_is_done_in_parts() {
    let mut driver = Driver::default();
    driver.join(1, 10);
    for counter in 0..10_001 {
        driver.release("a", request(1, 10, counter));
    }
    let now_ms = DAY_MS;
    let mut expire = || driver.apply(&Command::ExpireClaims { now_ms });
    assert_eq!(expire(), Reply::Expired { removed: 10_000, more: true });
    assert_eq!(expire(), Reply::Expired { removed: 1, more: false });
}

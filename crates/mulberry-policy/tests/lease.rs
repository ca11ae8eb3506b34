//! Guards against a lease that outlives the one at the leader or starts before the configuration is
//! applied, and against the use of expired reservations.

use mulberry_policy::{EntryLease, GrantEffect, HeldReservation};
use mulberry_types::{ConfigurationVersion, Grant, MembershipEpoch};

fn grant(sequence: u64, version: u64) -> Grant {
    Grant {
        sequence,
        lease_ms: 3_000,
        version: ConfigurationVersion(version),
        epoch: MembershipEpoch(1),
        settled_epoch: MembershipEpoch(1),
        update: None,
        membership: None,
    }
}

#[test]
fn lease_starts_when_the_renewal_is_sent_less_the_drift_margin() {
    let mut lease = EntryLease::new();
    lease.renewal_sent(1, 1_000);
    let effect = lease.grant_received(&grant(1, 0), ConfigurationVersion(0), 2_500);
    assert_eq!(effect, GrantEffect::ValidAfterGap);
    assert_eq!(lease.remaining_ms(2_500), 1_470);
    assert!(lease.is_valid(3_969));
    assert!(!lease.is_valid(3_970));
}

#[test]
fn a_grant_that_arrives_after_its_lease_ends_is_ignored() {
    let mut lease = EntryLease::new();
    lease.renewal_sent(1, 1_000);
    let effect = lease.grant_received(&grant(1, 0), ConfigurationVersion(0), 3_970);
    assert_eq!(effect, GrantEffect::Ignored);
    assert!(!lease.is_valid(3_970));
}

#[test]
fn lease_waits_for_the_granted_version_and_keeps_the_older_one_meanwhile() {
    let mut lease = EntryLease::new();
    lease.renewal_sent(1, 1_000);
    lease.grant_received(&grant(1, 5), ConfigurationVersion(5), 1_001);
    lease.renewal_sent(2, 3_000);
    let effect = lease.grant_received(&grant(2, 6), ConfigurationVersion(5), 3_001);
    assert_eq!(effect, GrantEffect::AwaitsVersion);
    assert_eq!(lease.remaining_ms(3_001), 969);
    assert_eq!(lease.version_applied(ConfigurationVersion(6), 3_002), GrantEffect::Renewed);
    assert_eq!(lease.remaining_ms(3_002), 2_968);
}

#[test]
fn grants_for_renewals_before_a_loss_do_not_revive_the_lease() {
    let mut lease = EntryLease::new();
    lease.renewal_sent(1, 1_000);
    lease.relinquish();
    let effect = lease.grant_received(&grant(1, 0), ConfigurationVersion(0), 1_100);
    assert_eq!(effect, GrantEffect::Ignored);
    assert!(!lease.is_valid(1_100));
}

/// Guards against starting work on a reservation whose capacity the home may have granted again.
#[test]
fn a_reservation_is_used_only_while_its_home_keeps_it() {
    let mut held = HeldReservation::new(1_000);
    assert!(held.may_start(1_742));
    assert!(!held.may_start(1_743));
    assert!(held.is_live(2_979));
    assert!(!held.is_live(2_980));
    held.extended(2_500, 2_990);
    assert!(!held.is_live(2_990), "an extension answered too late revived it");
    held.reregistered(3_000);
    assert!(held.may_start(3_100));
}

//! Tests of applying commands in log order.

use mulberry_registry::{Command, OperatorState};
use mulberry_routes::RoutingConfig;
use proptest::prelude::*;

fn configure(version: u64, content: u8) -> Command {
    Command::Configure {
        config: RoutingConfig { version, ..RoutingConfig::default() },
        document: vec![content],
    }
}

#[test]
fn a_higher_version_replaces_the_document_and_an_equal_or_lower_one_does_not() {
    let mut state = OperatorState::default();
    state.apply(1, configure(5, 1));
    state.apply(2, configure(5, 2));
    state.apply(3, configure(4, 3));
    assert_eq!((state.version(), &**state.document), (5, &[1][..]));
    state.apply(4, configure(9, 4));
    assert_eq!((state.version(), &**state.document), (9, &[4][..]));
    assert_eq!(state.applied_index, 4);
}

#[test]
fn the_first_configuration_is_accepted_with_any_version() {
    let mut state = OperatorState::default();
    state.apply(1, configure(0, 1));
    assert!(state.config.is_some());
}

#[test]
fn zones_are_evacuated_and_restored_in_log_order() {
    let mut state = OperatorState::default();
    state.apply(7, Command::Evacuate { zone: "a".into() });
    state.apply(8, Command::Evacuate { zone: "a".into() });
    assert_eq!(state.evacuated.len(), 1);
    state.apply(9, Command::Restore { zone: "a".into() });
    assert!(state.evacuated.is_empty());
    assert_eq!(state.evacuated_index, 9);
}

#[test]
fn an_address_belongs_to_the_member_that_started_there_last() {
    let mut state = OperatorState::default();
    let address = ([10, 0, 0, 1], 7340).into();
    state.apply(1, Command::SetMemberAddress { member: 1, address });
    state.apply(2, Command::SetMemberAddress { member: 2, address });
    assert_eq!(state.addresses.into_iter().collect::<Vec<_>>(), [(2, address)]);
}

proptest! {
    #[test]
    fn any_order_of_configurations_ends_with_the_highest(versions in prop::collection::vec(1u64..50, 1..20)) {
        let mut state = OperatorState::default();
        let mut highest = 0;
        for (index, version) in (1..).zip(&versions) {
            state.apply(index, configure(*version, *version as u8));
            prop_assert!(state.version() >= highest, "the version decreased");
            highest = highest.max(*version);
            prop_assert_eq!(state.version(), highest);
        }
        prop_assert_eq!(&**state.document, &[highest as u8][..]);
    }
}

//! When a gateway takes the path to a service for lost.

use std::sync::Arc;

use mulberry_gateway::{PathFailure, Reachability};

fn fail(reach: &mut Reachability, now_ms: u64, target: &str, how: PathFailure) -> bool {
    reach.failed(now_ms, &Arc::from("s"), &Arc::from(target), 20, how)
}

#[test]
fn one_dead_target_does_not_make_the_path_suspicious() {
    let mut reach = Reachability::default();
    for now_ms in 0..50 {
        assert!(!fail(&mut reach, now_ms * 100, "dead", PathFailure::Rejected));
    }
    assert!(!reach.is_suspected(4_900, "s") && !reach.is_lost("s"));
    assert!(!fail(&mut reach, 8_000, "another, much later", PathFailure::Rejected));
    assert!(fail(&mut reach, 8_100, "a third", PathFailure::Rejected), "two in a row are probed");
    assert!(reach.is_suspected(8_100, "s") && !reach.is_lost("s"));
}

#[test]
fn contact_with_one_target_ends_the_suspicion_and_pauses_the_probes() {
    let mut reach = Reachability::default();
    assert!(fail(&mut reach, 0, "silent", PathFailure::Silent));
    assert_eq!(reach.reached(300, "s"), None);
    assert!(!reach.probes_failed(350, "s"), "a target was reached meanwhile");
    assert!(!fail(&mut reach, 400, "silent", PathFailure::Silent), "probed a moment ago");
    assert!(!reach.is_suspected(400, "s"));
    assert!(fail(&mut reach, 900, "silent", PathFailure::Silent));
}

#[test]
fn a_path_is_lost_once_all_probes_fail_and_back_with_the_first_contact() {
    let mut reach = Reachability::default();
    fail(&mut reach, 0, "one", PathFailure::Rejected);
    assert!(fail(&mut reach, 1, "two", PathFailure::Rejected));
    assert!(!fail(&mut reach, 2, "three", PathFailure::Rejected), "probed once");
    assert!(reach.is_probing("s") && !reach.is_lost("s"));
    assert!(reach.probes_failed(350, "s"));
    assert!(reach.is_lost("s") && !reach.is_lost("another service"));
    assert!(reach.is_suspected(9_000, "s"), "failures say nothing while the path is lost");
    assert_eq!(reach.reached(9_100, "s"), Some(350));
    assert!(!reach.is_lost("s") && reach.has_contact_since(9_100, "s"));
}

//! A gateway that has just started, as after a loss of power of everything.

mod common;

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use common::{
    Act, Reply, Target, ToldGateway, answer, config, engine_config, events, exchange, request,
    stream_head, until,
};
use mulberry_directory::{RegistryMessage, TargetState};

fn confirmed(version: u64) -> RegistryMessage {
    RegistryMessage::ConfigVersion { version, is_confirmed: true }
}

/// Sends a request on a thread of its own and gives it time to arrive.
fn call(gateway: &ToldGateway, path: &'static str, fields: &'static str) -> JoinHandle<Reply> {
    let callers = gateway.callers;
    let call = std::thread::spawn(move || exchange(callers, &request("GET", path, fields, "")));
    std::thread::sleep(Duration::from_millis(50));
    call
}

#[test]
fn what_an_old_configuration_does_not_allow_waits_for_the_newest() {
    let target = Target::start("one", vec![Act::Send(answer(200, "one"))]);
    let mut gateway = ToldGateway::start();
    let mut old = config(5);
    old.routes.retain(|route| &*route.path_prefix != "/safe/");
    // As a registry that has lost power recalls it from its notes.
    gateway.tell(&RegistryMessage::Config(Arc::new(old)));
    gateway.tell(&RegistryMessage::ConfigVersion { version: 5, is_confirmed: false });
    gateway.tell(&RegistryMessage::Targets(vec![target.record(TargetState::Ready, 1)]));
    let early = call(&gateway, "/safe/", "");
    let unknown = call(&gateway, "/nowhere/", "");
    gateway.tell(&RegistryMessage::Config(Arc::new(config(7))));
    assert_eq!(early.join().expect("no panic").body, "one");
    gateway.tell(&confirmed(7));
    assert_eq!(unknown.join().expect("no panic").status, 404);
    let begin = Instant::now();
    assert_eq!(call(&gateway, "/nowhere/", "").join().expect("no panic").status, 404);
    assert!(begin.elapsed() < Duration::from_secs(1), "it is certain now");
}

/// Addresses of registries of which only the first is ever linked.
fn three_registries(gateway: &ToldGateway) -> RegistryMessage {
    let own = gateway.registry();
    let other = |last: u8| ([127, 0, 0, last], 1).into();
    RegistryMessage::Registries(vec![own, other(1), other(2)])
}

#[test]
fn a_key_that_was_withdrawn_is_not_in_use_again_after_a_start() {
    let target = Target::start("one", vec![Act::Send(answer(200, "one"))]);
    let mut gateway = ToldGateway::start();
    // As one registry of three recalls it from its notes that was away when the key was withdrawn.
    let registries = three_registries(&gateway);
    gateway.tell(&registries);
    gateway.tell(&RegistryMessage::Config(Arc::new(config(5))));
    gateway.tell(&RegistryMessage::ConfigVersion { version: 5, is_confirmed: false });
    gateway.tell(&RegistryMessage::Targets(vec![target.record(TargetState::Ready, 1)]));
    let early = call(&gateway, "/safe/", "");
    let mut newest = config(7);
    newest.tenants[0].api_keys = vec!["another".into()];
    gateway.tell(&RegistryMessage::Config(Arc::new(newest)));
    gateway.tell(&confirmed(7));
    assert_eq!(early.join().expect("no panic").status, 401);
    assert!(target.seen().is_empty(), "it ran for a key that was withdrawn");
}

#[test]
fn an_engine_that_has_left_is_not_in_use_again_by_the_notes_of_one_registry() {
    let target = Target::start("one", vec![Act::Send(answer(200, "one"))]);
    let mut gateway = ToldGateway::start();
    let registries = three_registries(&gateway);
    gateway.tell(&registries);
    gateway.tell(&RegistryMessage::Config(Arc::new(config(5))));
    gateway.tell(&confirmed(5));
    // As one registry of three recalls it from its notes that was away when the engine left.
    gateway.tell(&RegistryMessage::RestoredTargets(vec![target.record(TargetState::Ready, 1)]));
    let early = call(&gateway, "/safe/", "Deadline-Ms: 1000\r\n");
    assert_eq!(early.join().expect("no panic").status, 503);
    assert!(target.seen().is_empty(), "it was sent to an engine that may have left");
    gateway.tell(&RegistryMessage::RestoredTargetsSeen(vec!["one".into()]));
    assert_eq!(call(&gateway, "/safe/", "").join().expect("no panic").body, "one");
}

/// After a loss of power of everything, before any engine has been heard from.
#[test]
fn an_engine_that_most_registries_have_noted_is_in_use_at_once() {
    let target = Target::start("one", vec![Act::Send(answer(200, "one"))]);
    let mut gateway = ToldGateway::start();
    let own = gateway.registry();
    gateway.tell(&RegistryMessage::Registries(vec![own]));
    gateway.tell(&RegistryMessage::Config(Arc::new(config(5))));
    gateway.tell(&confirmed(5));
    gateway.tell(&RegistryMessage::RestoredTargets(vec![target.record(TargetState::Ready, 1)]));
    assert_eq!(call(&gateway, "/safe/", "").join().expect("no panic").body, "one");
}

#[test]
fn what_nobody_confirms_is_refused_for_a_while_and_not_for_good() {
    let mut gateway = ToldGateway::start();
    gateway.tell(&RegistryMessage::Config(Arc::new(config(5))));
    let refused = call(&gateway, "/nowhere/", "Deadline-Ms: 1000\r\n").join().expect("no panic");
    assert_eq!(refused.status, 503);
    assert!(refused.head.contains("Retry-After: 0.400"), "{}", refused.head);
}

/// Calls a gateway that knows no engine yet, in this order, and returns the order in which the engine gets them.
fn order_after_outage(calls: [&'static str; 2]) -> Vec<String> {
    let stream = format!("{}{}0\r\n\r\n", stream_head(), events(1..=1));
    let target = Target::start("one", vec![Act::Send(stream)]);
    let mut gateway = ToldGateway::start();
    let calls = calls.map(|fields| call(&gateway, "/stream/", fields));
    gateway.tell(&RegistryMessage::Targets(vec![target.record(TargetState::Ready, 1)]));
    let mut config = engine_config(1);
    // Nobody gets late by the time that the test takes.
    config.routes.iter_mut().for_each(|route| route.latency_slo_ms = 60_000);
    gateway.tell(&RegistryMessage::Config(Arc::new(config)));
    gateway.tell(&confirmed(1));
    until("both have come", || target.seen().len() == 2);
    calls.into_iter().for_each(|call| drop(call.join()));
    target.seen()
}

#[test]
fn those_who_waited_for_engines_go_shortest_prompt_first() {
    let long = "Request-Id: long\r\nPrompt-Tokens: 50000\r\n";
    let seen = order_after_outage([long, "Request-Id: short\r\nPrompt-Tokens: 1000\r\n"]);
    assert!(seen[0].contains("short") && seen[1].contains("long"), "{seen:?}");
}

#[test]
fn those_who_are_late_already_go_after_those_who_are_not() {
    // Its route gives 3 s.
    let again = "Request-Id: again\r\nPrompt-Tokens: 1000\r\nDeadline-Ms: 2000\r\n";
    let first = "Request-Id: first\r\nPrompt-Tokens: 9000\r\nDeadline-Ms: 3000\r\n";
    let seen = order_after_outage([again, first]);
    assert!(seen[0].contains("first") && seen[1].contains("again"), "{seen:?}");
}

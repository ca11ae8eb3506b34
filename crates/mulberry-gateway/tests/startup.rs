//! Behavior of a gateway that has just started, for example after a power loss of the whole system.

mod common;

use std::net::TcpListener;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use common::{
    Action, Reply, ScriptedGateway, Target, config, engine_config, events, exchange, request,
    response, send_on, stream_head, wait_until,
};
use mulberry_directory::{RegistryMessage, TargetState};

fn confirmed(version: u64) -> RegistryMessage {
    RegistryMessage::ConfigVersion { version, is_confirmed: true }
}

/// Sends a request on a new thread and gives it time to arrive.
fn call(gateway: &ScriptedGateway, path: &'static str, fields: &'static str) -> JoinHandle<Reply> {
    let callers = gateway.callers;
    let call = std::thread::spawn(move || exchange(callers, &request("GET", path, fields, "")));
    std::thread::sleep(Duration::from_millis(50));
    call
}

#[test]
fn a_request_denied_by_an_unconfirmed_configuration_waits_for_the_newest() {
    let target = Target::start("one", vec![Action::Send(response(200, "one"))]);
    let mut gateway = ScriptedGateway::start();
    let mut old = config(5);
    old.routes.retain(|route| &*route.path_prefix != "/safe/");
    // A registry restores this version from storage after a power loss.
    gateway.send(&RegistryMessage::Config(Arc::new(old)));
    gateway.send(&RegistryMessage::ConfigVersion { version: 5, is_confirmed: false });
    gateway.send(&RegistryMessage::Targets(vec![target.record(TargetState::Ready, 1)]));
    let early = call(&gateway, "/safe/", "");
    let unknown = call(&gateway, "/nowhere/", "");
    gateway.send(&RegistryMessage::Config(Arc::new(config(7))));
    assert_eq!(early.join().expect("no panic").body, "one");
    gateway.send(&confirmed(7));
    assert_eq!(unknown.join().expect("no panic").status, 404);
    let start = Instant::now();
    assert_eq!(call(&gateway, "/nowhere/", "").join().expect("no panic").status, 404);
    assert!(start.elapsed() < Duration::from_secs(1), "a confirmed configuration needs no wait");
}

/// Three registry addresses, of which only the first is ever linked.
fn three_registries(gateway: &ScriptedGateway) -> RegistryMessage {
    let own = gateway.registry();
    let other = |last: u8| ([127, 0, 0, last], 1).into();
    RegistryMessage::Registries(vec![own, other(1), other(2)])
}

#[test]
fn a_revoked_key_is_rejected_after_a_restart() {
    let target = Target::start("one", vec![Action::Send(response(200, "one"))]);
    let mut gateway = ScriptedGateway::start();
    // One registry of three, which was away when the key was revoked, restores this version from storage.
    let registries = three_registries(&gateway);
    gateway.send(&registries);
    gateway.send(&RegistryMessage::Config(Arc::new(config(5))));
    gateway.send(&RegistryMessage::ConfigVersion { version: 5, is_confirmed: false });
    gateway.send(&RegistryMessage::Targets(vec![target.record(TargetState::Ready, 1)]));
    let early = call(&gateway, "/safe/", "");
    let mut newest = config(7);
    newest.tenants[0].api_keys = vec!["another".into()];
    gateway.send(&RegistryMessage::Config(Arc::new(newest)));
    gateway.send(&confirmed(7));
    assert_eq!(early.join().expect("no panic").status, 401);
    assert!(target.received().is_empty(), "the request ran with a revoked key");
}

#[test]
fn an_engine_restored_by_one_registry_is_not_used_until_it_is_seen() {
    let target = Target::start("one", vec![Action::Send(response(200, "one"))]);
    let mut gateway = ScriptedGateway::start();
    let registries = three_registries(&gateway);
    gateway.send(&registries);
    gateway.send(&RegistryMessage::Config(Arc::new(config(5))));
    gateway.send(&confirmed(5));
    // One registry of three, which was away when the engine left, restores it from storage.
    gateway.send(&RegistryMessage::RestoredTargets(vec![target.record(TargetState::Ready, 1)]));
    let early = call(&gateway, "/safe/", "Deadline-Ms: 1000\r\n");
    assert_eq!(early.join().expect("no panic").status, 503);
    assert!(target.received().is_empty(), "the request was sent to an engine that may have left");
    gateway.send(&RegistryMessage::RestoredTargetsSeen(vec!["one".into()]));
    assert_eq!(call(&gateway, "/safe/", "").join().expect("no panic").body, "one");
}

/// Guards against a registry that knows few others, such as one with an empty disk, and makes a minority count as most.
#[test]
fn an_engine_restored_by_a_minority_is_not_used_when_a_registry_knows_few_others() {
    let target = Target::start("one", vec![Action::Send(response(200, "one"))]);
    let mut gateway = ScriptedGateway::start();
    let newcomer = gateway.second_registry();
    let listener = TcpListener::bind(newcomer).expect("binds");
    let other = |last: u8| ([127, 0, 0, last], 1).into();
    let registries = vec![gateway.registry(), newcomer, other(1), other(2), other(3)];
    gateway.send(&RegistryMessage::Registries(registries));
    gateway.send(&RegistryMessage::Config(Arc::new(config(5))));
    gateway.send(&confirmed(5));
    gateway.send(&RegistryMessage::RestoredTargets(vec![target.record(TargetState::Ready, 1)]));
    let (mut link, _) = listener.accept().expect("the gateway connects");
    send_on(&mut link, &RegistryMessage::Registries(vec![newcomer]));
    let early = call(&gateway, "/safe/", "Deadline-Ms: 1000\r\n");
    assert_eq!(early.join().expect("no panic").status, 503);
    assert!(target.received().is_empty(), "one of five registries has restored the engine");
}

/// After a power loss of the whole system, before any registry has heard from an engine.
#[test]
fn an_engine_restored_by_most_registries_is_used_immediately() {
    let target = Target::start("one", vec![Action::Send(response(200, "one"))]);
    let mut gateway = ScriptedGateway::start();
    let own = gateway.registry();
    gateway.send(&RegistryMessage::Registries(vec![own]));
    gateway.send(&RegistryMessage::Config(Arc::new(config(5))));
    gateway.send(&confirmed(5));
    gateway.send(&RegistryMessage::RestoredTargets(vec![target.record(TargetState::Ready, 1)]));
    assert_eq!(call(&gateway, "/safe/", "").join().expect("no panic").body, "one");
}

#[test]
fn a_denial_by_an_unconfirmed_configuration_is_a_503_with_retry_after() {
    let mut gateway = ScriptedGateway::start();
    gateway.send(&RegistryMessage::Config(Arc::new(config(5))));
    let refused = call(&gateway, "/nowhere/", "Deadline-Ms: 1000\r\n").join().expect("no panic");
    assert_eq!(refused.status, 503);
    assert!(refused.head.contains("Retry-After: 0.400"), "{}", refused.head);
}

/// Sends two calls in this order to a gateway that knows no engine yet. Returns the requests in the order in which the
/// engine gets them.
fn order_after_outage(calls: [&'static str; 2]) -> Vec<String> {
    let stream = format!("{}{}0\r\n\r\n", stream_head(), events(1..=1));
    let target = Target::start("one", vec![Action::Send(stream)]);
    let mut gateway = ScriptedGateway::start();
    let calls = calls.map(|fields| call(&gateway, "/stream/", fields));
    gateway.send(&RegistryMessage::Targets(vec![target.record(TargetState::Ready, 1)]));
    let mut config = engine_config(1);
    // High enough that no request is late because of the run time of the test.
    config.routes.iter_mut().for_each(|route| route.latency_slo_ms = 60_000);
    gateway.send(&RegistryMessage::Config(Arc::new(config)));
    gateway.send(&confirmed(1));
    wait_until("both requests arrived", || target.received().len() == 2);
    calls.into_iter().for_each(|call| drop(call.join()));
    target.received()
}

#[test]
fn requests_waiting_for_engines_are_sent_shortest_prompt_first() {
    let long = "Request-Id: long\r\nPrompt-Tokens: 50000\r\n";
    let received = order_after_outage([long, "Request-Id: short\r\nPrompt-Tokens: 1000\r\n"]);
    assert!(received[0].contains("short") && received[1].contains("long"), "{received:?}");
}

#[test]
fn late_requests_are_sent_after_requests_that_may_be_on_time() {
    // The route's time limit is 3 s.
    let again = "Request-Id: again\r\nPrompt-Tokens: 1000\r\nDeadline-Ms: 2000\r\n";
    let first = "Request-Id: first\r\nPrompt-Tokens: 9000\r\nDeadline-Ms: 3000\r\n";
    let received = order_after_outage([again, first]);
    assert!(received[0].contains("first") && received[1].contains("again"), "{received:?}");
}

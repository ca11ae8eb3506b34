//! Requests at a gateway that reaches no target, while other gateways do.

mod common;

use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{
    Action, Reply, ScriptedGateway, Target, config, engine_config, events, exchange, request,
    response, stream_head, wait_until,
};
use mulberry_directory::{GatewayInfo, RegistryMessage, TargetRecord, TargetState};
use mulberry_routes::RoutingConfig;

/// An address that refuses connections.
fn refusing_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    listener.local_addr().expect("bound")
}

fn peer(name: &str, address: SocketAddr) -> GatewayInfo {
    GatewayInfo {
        name: name.into(),
        zone: "z".into(),
        incarnation: u64::from(address.port()),
        started_ms: 1,
        address,
        is_active: true,
    }
}

/// A gateway that sees targets at refusing addresses, and one that sees them where they are.
struct Pair {
    cut: ScriptedGateway,
    other: ScriptedGateway,
}

impl Pair {
    fn start(config: &RoutingConfig, targets: &[&Target]) -> Pair {
        let (mut cut, mut other) = (ScriptedGateway::start(), ScriptedGateway::start());
        let unreachable = |target: &&Target| TargetRecord {
            address: refusing_address(),
            ..target.record(TargetState::Ready, 1)
        };
        let cut_off = targets.iter().map(unreachable).collect();
        let reachable = targets.iter().map(|target| target.record(TargetState::Ready, 1)).collect();
        for (gateway, records) in [(&mut cut, cut_off), (&mut other, reachable)] {
            gateway.send(&RegistryMessage::Targets(records));
            gateway.send(&RegistryMessage::Config(Arc::new(config.clone())));
            let version = config.version;
            gateway.send(&RegistryMessage::ConfigVersion { version, is_confirmed: true });
        }
        // A gateway of an older version does not listen.
        let older = GatewayInfo { started_ms: 2, ..peer("older", refusing_address()) };
        let peers = vec![older, peer("other", other.peers())];
        cut.send(&RegistryMessage::Gateways(peers));
        Pair { cut, other }
    }

    fn call(&self, method: &str, path: &str, fields: &str, body: &str) -> Reply {
        exchange(self.cut.callers, &request(method, path, fields, body))
    }
}

#[test]
fn callers_of_a_gateway_that_reaches_no_target_are_served_by_another() {
    let target = |id| Target::start(id, vec![Action::Send(response(200, "answer"))]);
    let (one, two, three) = (target("one"), target("two"), target("three"));
    let pair = Pair::start(&config(1), &[&one, &two, &three]);
    let direct = exchange(pair.other.callers, &request("GET", "/safe/a", "", ""));
    for number in 0..6 {
        let reply = pair.call("GET", "/safe/a", "Deadline-Ms: 900\r\n", "");
        assert_eq!(reply, direct, "request {number}");
        let reply = pair.call("POST", "/once/b?c=d", "X-Own: kept\r\nTenant: forged\r\n", "pay");
        assert_eq!((reply.status, reply.body.as_str(), reply.is_complete), (200, "answer", true));
    }
    let received: Vec<_> = [&one, &two, &three].iter().flat_map(|t| t.received()).collect();
    assert_eq!(received.len(), 13, "each request ran once");
    let paid: Vec<_> =
        received.iter().filter(|text| text.starts_with("POST /once/b?c=d")).collect();
    assert_eq!(paid.len(), 6);
    for text in paid {
        assert!(text.contains("X-Own: kept\r\n") && text.contains("tenant: t\r\n"), "{text}");
        assert!(!text.contains("Key:") && text.ends_with("\r\n\r\npay"), "{text}");
    }
}

/// A stream in two halves.
fn half_stream() -> Vec<Action> {
    vec![
        Action::SendAndClose(format!("{}{}", stream_head(), events(1..=3))),
        Action::Send(format!("{}{}0\r\n\r\n", stream_head(), events(4..=6))),
    ]
}

#[test]
fn a_stream_that_is_passed_on_goes_on_at_another_engine_and_a_broken_one_stays_incomplete() {
    let (one, two) = (Target::start("one", half_stream()), Target::start("two", half_stream()));
    let pair = Pair::start(&engine_config(1), &[&one, &two]);
    let reply = pair.call("GET", "/stream/", "Prompt-Tokens: 10\r\n", "");
    // Both break off at first; the route allows two attempts.
    assert_eq!(reply.status, 200, "{reply:?}");
    assert!(reply.body.contains("id: 3\n") && !reply.body.contains("id: 4\n"), "{reply:?}");
    assert!(!reply.is_complete, "a broken stream looks complete");
    // The home spares both engines for 0.2 s, since they did break off.
    std::thread::sleep(Duration::from_millis(300));
    let reply = pair.call("GET", "/stream/", "Prompt-Tokens: 10\r\n", "");
    assert!(reply.is_complete && reply.body.contains("id: 6\n"), "{reply:?}");
    assert_eq!(one.received().len() + two.received().len(), 3, "sends of all gateways together");
}

#[test]
fn a_request_that_may_have_run_at_another_gateway_is_not_sent_again() {
    let cut = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nhalf";
    let target = |id| Target::start(id, vec![Action::SendAndClose(cut.to_owned())]);
    let (one, two, three) = (target("one"), target("two"), target("three"));
    let pair = Pair::start(&config(1), &[&one, &two, &three]);
    let sends = || [&one, &two, &three].iter().map(|target| target.received().len()).sum::<usize>();
    let reply = pair.call("POST", "/once/", "", "pay");
    assert_eq!((reply.status, sends()), (502, 1));
    let reply = pair.call("GET", "/safe/", "", "");
    assert_eq!((reply.status, sends()), (502, 3), "the route allows two attempts");
}

#[test]
fn the_leaving_of_a_caller_reaches_the_engine_through_another_gateway() {
    let hang = || vec![Action::SendAndHang(format!("{}{}", stream_head(), events(1..=2)))];
    let (one, two) = (Target::start("one", hang()), Target::start("two", hang()));
    let pair = Pair::start(&engine_config(1), &[&one, &two]);
    let mut caller = TcpStream::connect(pair.cut.callers).expect("connects");
    let text = request("GET", "/stream/", "Prompt-Tokens: 10\r\n", "");
    caller.write_all(text.as_bytes()).expect("sends");
    wait_until("the engine works", || one.received().len() + two.received().len() == 1);
    assert_eq!(one.closed_connections() + two.closed_connections(), 0);
    drop(caller);
    let left = Instant::now();
    wait_until("the engine is freed", || one.closed_connections() + two.closed_connections() > 0);
    assert!(left.elapsed() < Duration::from_millis(500), "after {:?}", left.elapsed());
}

#[test]
fn gateways_that_all_reach_no_target_refuse_at_once() {
    let target = Target::start("one", vec![Action::Send(response(200, "answer"))]);
    let mut pair = Pair::start(&config(1), &[&target]);
    let lost = TargetRecord { address: refusing_address(), ..target.record(TargetState::Ready, 2) };
    pair.other.send(&RegistryMessage::Targets(vec![lost]));
    let peers = vec![peer("cut", pair.cut.peers())];
    pair.other.send(&RegistryMessage::Gateways(peers));
    wait_until("the other gateway has lost its target", || {
        exchange(pair.other.callers, &request("GET", "/safe/", "", "")).status == 503
    });
    for _ in 0..5 {
        let start = Instant::now();
        let reply = pair.call("POST", "/once/", "", "pay");
        assert_eq!(reply.status, 503, "{reply:?}");
        assert!(reply.head.contains("Retry-After: 0."), "{reply:?}");
        assert!(start.elapsed() < Duration::from_millis(800), "after {:?}", start.elapsed());
    }
    assert_eq!(target.received().len(), 0);
}

#[test]
fn a_gateway_serves_its_callers_itself_once_the_path_is_back() {
    let target = Target::start("one", vec![Action::Send(response(200, "answer"))]);
    let mut pair = Pair::start(&config(1), &[&target]);
    assert_eq!(pair.call("GET", "/safe/", "", "").body, "answer");
    pair.cut.send(&RegistryMessage::Targets(vec![target.record(TargetState::Ready, 2)]));
    // The other gateway knows the target no more.
    pair.other.send(&RegistryMessage::Targets(vec![target.record(TargetState::Gone, 3)]));
    let back = Instant::now();
    wait_until("it serves alone", || pair.call("GET", "/safe/", "", "").status == 200);
    assert!(back.elapsed() < Duration::from_secs(1), "after {:?}", back.elapsed());
}

#[test]
fn a_gateway_that_reaches_no_engine_does_not_turn_the_home_against_them() {
    let stream = || vec![Action::Send(format!("{}{}0\r\n\r\n", stream_head(), events(1..=2)))];
    let (one, two) = (Target::start("one", stream()), Target::start("two", stream()));
    let three = Target::start("three", stream());
    // The other gateway is the home of both.
    let pair = Pair::start(&engine_config(1), &[&one, &two, &three]);
    for number in 0..8 {
        pair.call("GET", "/stream/", "Prompt-Tokens: 10\r\n", "");
        let text = request("GET", "/stream/", "Prompt-Tokens: 10\r\n", "");
        let reply = exchange(pair.other.callers, &text);
        assert!(reply.is_complete && reply.body.contains("id: 2\n"), "call {number}: {reply:?}");
    }
}

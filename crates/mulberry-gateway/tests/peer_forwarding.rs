//! Requests at a gateway that reaches no target, while other gateways do.

mod common;

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use common::{Action, Reply, ScriptedGateway, Target, config, exchange, request, response};
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
        let peers = vec![peer("other", other.peers())];
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

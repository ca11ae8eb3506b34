//! Links of a gateway to registries that are replaced.

mod common;

use std::net::TcpListener;
use std::thread::sleep;
use std::time::{Duration, Instant};

use common::{ScriptedGateway, send_on};
use mulberry_directory::RegistryMessage;

/// Guards against links to registries that are gone for good, each of which was named by its own last list.
#[test]
fn a_registry_that_the_others_no_longer_list_is_forgotten() {
    let mut gateway = ScriptedGateway::start();
    let known = gateway.registry();
    let replaced = gateway.second_registry();
    let listener = TcpListener::bind(replaced).expect("binds");
    gateway.send(&RegistryMessage::Registries(vec![known, replaced]));
    let (mut link, _) = listener.accept().expect("the gateway connects");
    send_on(&mut link, &RegistryMessage::Registries(vec![known, replaced]));
    sleep(Duration::from_millis(500));
    drop((link, listener));
    gateway.send(&RegistryMessage::Registries(vec![known]));
    let is_contacted = |gateway: &mut ScriptedGateway, after: Duration, limit: Duration| {
        keep_alive(gateway, after);
        let listener = TcpListener::bind(replaced).expect("binds");
        listener.set_nonblocking(true).expect("sets the mode");
        keep_alive(gateway, limit);
        listener.accept().is_ok()
    };
    let second = Duration::from_secs(1);
    assert!(is_contacted(&mut gateway, second, second), "it may have restarted");
    assert!(!is_contacted(&mut gateway, 13 * second, 5 * second), "it is gone");
}

/// Sends what an idle registry does.
fn keep_alive(gateway: &mut ScriptedGateway, duration: Duration) {
    let started = Instant::now();
    while started.elapsed() < duration {
        gateway.send(&RegistryMessage::ConfigVersion { version: 0, is_confirmed: false });
        sleep(Duration::from_millis(250));
    }
}

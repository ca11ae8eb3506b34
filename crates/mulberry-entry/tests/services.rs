//! Tests of calls to plain services: forwarding, and at-most-once execution.

#![allow(clippy::unwrap_used)]

mod common;

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use common::{CallerResponse, Fleet, TEST_TIMEOUT, send};
use mulberry_entry::Instance;
use standin_service::{ColdStartSettings, Fault, Service, ServiceSettings};

/// A fleet with emulated targets of the plain service `bookings`.
struct Services {
    fleet: Fleet,
    targets: Vec<Service>,
}

impl Services {
    /// Waits until a target that is shutting down refuses connections. Until then it may accept a call and drop the
    /// connection, so that the call may have run.
    fn wait_until_refusing(&self, target: usize) {
        let end = Instant::now() + TEST_TIMEOUT;
        while TcpStream::connect(self.targets[target].address()).is_ok() {
            assert!(Instant::now() < end, "the target still accepts connections");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn start(targets: usize, settings: &ServiceSettings) -> Services {
        let fleet = Fleet::start(2, Vec::new());
        let announce_to: Vec<_> = fleet.entries.iter().map(Instance::target_address).collect();
        let targets = (1..=targets).map(|index| {
            Service::start(ServiceSettings {
                target: format!("service-{index}").into(),
                announce_to: announce_to.clone(),
                announce_interval_ms: 200,
                cold_start: ColdStartSettings { cold_ms: 0, ..ColdStartSettings::default() },
                ..settings.clone()
            })
            .unwrap()
        });
        let services = Services { targets: targets.collect(), fleet };
        services.wait_until_served();
        services
    }

    fn wait_until_served(&self) {
        for index in 0..self.fleet.entries.len() {
            let end = Instant::now() + TEST_TIMEOUT;
            while send(attohttpc::get(self.url(index, "/read/ready")), "").status != 200 {
                assert!(Instant::now() < end, "an entry does not serve the service");
                std::thread::sleep(Duration::from_millis(50));
            }
        }
    }

    fn entry(&self, index: usize) -> SocketAddr {
        self.fleet.entries[index].caller_address()
    }

    fn url(&self, entry: usize, path: &str) -> String {
        format!("http://{}/services/bookings{path}", self.entry(entry))
    }

    fn book(&self, entry: usize, key: &str, body: &str) -> CallerResponse {
        let request = attohttpc::post(self.url(entry, "/seats")).header("idempotency-key", key);
        send(request, body)
    }

    /// Number of executions with a key, over all targets.
    fn executions(&self, key: &str) -> u64 {
        let count =
            |target: &Service| target.accounting()["runs_by_key"][key].as_u64().unwrap_or_default();
        self.targets.iter().map(count).sum()
    }
}

#[test]
fn method_path_query_headers_and_body_are_forwarded() {
    let services = Services::start(1, &ServiceSettings::default());
    let request = attohttpc::put(services.url(0, "/read/a%20b?seat=4&row=2"))
        .header("x-custom", "value")
        .header("keep-alive", "timeout=5");
    let echo = send(request, "body text").json();
    assert_eq!(echo["method"], "PUT");
    assert_eq!(echo["path"], "/read/a%20b?seat=4&row=2");
    assert_eq!(echo["body_length"], 9);
    let headers = echo["headers"].to_string().to_lowercase();
    assert!(headers.contains("x-custom"), "{headers}");
    for dropped in ["keep-alive", "authorization"] {
        assert!(!headers.contains(dropped), "{dropped} was forwarded: {headers}");
    }
}

#[test]
fn resent_booking_gets_the_stored_response_from_any_entry() {
    let services = Services::start(2, &ServiceSettings::default());
    let first = services.book(0, "key-1", "seat 4");
    assert_eq!(first.status, 200, "{}", first.body);
    for entry in [0, 1] {
        let again = services.book(entry, "key-1", "seat 4");
        assert_eq!((again.status, &again.body), (200, &first.body));
    }
    assert_eq!(services.executions("key-1"), 1);
    let other = services.book(1, "key-1", "seat 5");
    assert_eq!((other.status, other.error_code().as_str()), (409, "idempotency_conflict"));
    assert_eq!(services.executions("key-1"), 1);
}

#[test]
fn only_one_of_concurrent_bookings_with_the_same_key_runs() {
    let settings = ServiceSettings { delay_ms: 300, ..ServiceSettings::default() };
    let services = Services::start(2, &settings);
    let answers: Vec<CallerResponse> = std::thread::scope(|scope| {
        let calls: Vec<_> = (0..6)
            .map(|index| {
                scope.spawn({
                    let services = &services;
                    move || services.book(index % 2, "key-race", "seat 1")
                })
            })
            .collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    assert_eq!(services.executions("key-race"), 1);
    assert_eq!(answers.iter().filter(|answer| answer.status == 200).count(), 1);
    for answer in answers.iter().filter(|answer| answer.status != 200) {
        assert_eq!(answer.error_code(), "still_running", "{}", answer.body);
        assert!(answer.retry_after.is_some());
    }
}

#[test]
fn booking_with_a_lost_response_is_not_repeated() {
    let services = Services::start(2, &ServiceSettings::default());
    for target in &services.targets {
        target.inject(Fault::DieAfterEffect { down_ms: 500 });
    }
    let first = services.book(0, "key-lost", "seat 2");
    assert_eq!((first.status, first.outcome().as_str()), (502, "unknown"), "{}", first.body);
    let end = Instant::now() + TEST_TIMEOUT;
    loop {
        let again = services.book(1, "key-lost", "seat 2");
        if again.error_code() == "outcome_unknown" {
            break;
        }
        assert_eq!(again.error_code(), "still_running", "{}", again.body);
        assert!(Instant::now() < end, "the claim stays open");
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(services.executions("key-lost"), 1);
}

#[test]
fn booking_without_a_target_is_reported_not_run_and_its_key_is_reusable() {
    let services = Services::start(1, &ServiceSettings::default());
    services.targets[0].inject(Fault::RestartCold { down_ms: 3_000 });
    services.wait_until_refusing(0);
    let request = attohttpc::post(services.url(0, "/seats"))
        .header("idempotency-key", "key-refused")
        .header("x-deadline-ms", "1000");
    let refused = send(request, "seat 3");
    assert_eq!(refused.outcome(), "not_run", "{}", refused.body);
    assert_eq!(services.executions("key-refused"), 0);
    let end = Instant::now() + TEST_TIMEOUT;
    while services.book(1, "key-refused", "seat 3").status != 200 {
        assert!(Instant::now() < end, "the key is still claimed");
        std::thread::sleep(Duration::from_millis(200));
    }
    assert_eq!(services.executions("key-refused"), 1);
}

#[test]
fn booking_is_not_dispatched_while_control_is_unresponsive() {
    let services = Services::start(1, &ServiceSettings::default());
    services.fleet.control.set_unresponsive(true);
    let request = attohttpc::post(services.url(0, "/seats"))
        .header("idempotency-key", "key-silent")
        .header("x-deadline-ms", "1000");
    let refused = send(request, "seat 6");
    assert_eq!(refused.outcome(), "not_run", "{}", refused.body);
    assert_eq!(services.executions("key-silent"), 0);
}

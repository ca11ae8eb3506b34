//! The emulated service counts side effects correctly, so that a doubled call is a failure of the system.

#![allow(clippy::unwrap_used)]

use std::net::TcpStream;
use std::time::{Duration, Instant};

use serde_json::Value;
use standin_service::{
    ColdStartSettings, Fault, Service, ServiceSettings, body_sha256, expected_number,
};

/// Longer than any wait in these tests.
const PATIENCE: Duration = Duration::from_secs(20);

fn start(settings: ServiceSettings) -> Service {
    settings.check().unwrap();
    Service::start(settings).unwrap()
}

fn warm() -> ServiceSettings {
    let cold_start = ColdStartSettings { cold_ms: 0, ..ColdStartSettings::default() };
    ServiceSettings { cold_start, ..ServiceSettings::default() }
}

fn call(service: &Service, key: &str, body: &str) -> attohttpc::Result<(u16, Value)> {
    let response = attohttpc::put(format!("http://{}/seats/7?row=3", service.address()))
        .timeout(PATIENCE)
        .header("connection", "close")
        .header("idempotency-key", key)
        .header("x-request-id", format!("id-{key}"))
        .text(body)
        .send()?;
    let status = response.status().as_u16();
    // The client library panics if it is read again after an error, as a streaming JSON parser does.
    Ok((status, serde_json::from_slice(&response.bytes()?).unwrap()))
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < end, "{what} did not happen in time");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against an echo or a count that misses something, which would hide crossed and doubled calls.
#[test]
fn call_is_echoed_and_counted() {
    let service = start(warm());
    let (status, echo) = call(&service, "k", "seat").unwrap();
    assert_eq!(status, 200);
    assert_eq!((&echo["method"], &echo["path"]), (&"PUT".into(), &"/seats/7?row=3".into()));
    assert_eq!(
        (&echo["body_length"], &echo["headers"]["idempotency-key"]),
        (&4.into(), &"k".into())
    );
    assert_eq!(echo["body_sha256"], body_sha256(b"seat"));
    assert_eq!(echo["number"], expected_number(b"seat"));
    assert_ne!(expected_number(b"seat"), expected_number(b"seats"));
    call(&service, "k", "seat").unwrap();
    assert_eq!(service.accounting()["runs_by_key"]["k"], 2);
    assert_eq!(service.accounting()["runs_by_request"]["id-k"], 2);
    assert_eq!(service.accounting()["runs_by_path"]["/seats/7?row=3"], 2);
}

/// A call that died before its side effect must not be counted, one that died after it must be.
#[test]
fn death_before_and_after_the_side_effect() {
    let service = start(warm());
    let boot_id = service.accounting()["boot_id"].clone();
    service.inject(Fault::DieBeforeEffect { down_ms: 200 });
    assert!(call(&service, "before", "x").is_err());
    wait_until("the return", || TcpStream::connect(service.address()).is_ok());
    service.inject(Fault::DieAfterEffect { down_ms: 200 });
    assert!(call(&service, "after", "x").is_err());
    wait_until("the return", || TcpStream::connect(service.address()).is_ok());
    let end = service.accounting();
    assert_ne!(end["boot_id"], boot_id);
    assert_eq!(
        (&end["runs_by_key"]["before"], &end["runs_by_key"]["after"]),
        (&Value::Null, &1.into())
    );
    service.inject(Fault::CutAnswer { count: 1 });
    assert!(call(&service, "cut", "x").is_err());
    assert_eq!(call(&service, "whole", "x").unwrap().0, 200);
    service.inject(Fault::Die);
    wait_until("the death", || service.is_dead());
    assert!(call(&service, "dead", "x").is_err());
}

/// Guards against slots without effect and a cold start that takes any load.
#[test]
fn slots_and_cold_start_bound_the_calls() {
    let cold_start =
        ColdStartSettings { cold_ms: 60_000, successes: 2, max_concurrent: 2, down_ms: 200 };
    let service = start(ServiceSettings {
        slots: 3,
        delay_ms: 600,
        cold_start,
        ..ServiceSettings::default()
    });
    let together = |count: usize| {
        std::thread::scope(|scope| {
            let calls: Vec<_> =
                (0..count).map(|_| scope.spawn(|| call(&service, "k", "x"))).collect();
            let mut statuses: Vec<u16> = calls
                .into_iter()
                .map(|call| call.join().unwrap().map_or(0, |(status, _)| status))
                .collect();
            statuses.sort_unstable();
            statuses
        })
    };
    assert_eq!(together(3), [0, 0, 0]);
    assert_eq!(service.accounting()["fell_over"], 1);
    wait_until("the return", || TcpStream::connect(service.address()).is_ok());
    // Calls that arrive well before the one too many take effect; that one must not.
    let before = service.accounting()["effects"].as_u64().unwrap();
    assert!(before <= 2, "{before} calls took effect");
    assert_eq!(together(2), [200, 200]);
    assert_eq!(together(5), [200, 200, 200, 503, 503]);
    assert_eq!(service.accounting()["effects"], before + 5);
}

/// Guards against a freeze that answers and a slow service that is fast.
#[test]
fn freeze_and_slowness_delay_answers() {
    let service = start(warm());
    for fault in [Fault::Freeze { ms: 400 }, Fault::Slow { factor: 20.0 }] {
        service.inject(fault);
        let started = Instant::now();
        assert_eq!(call(&service, "k", "x").unwrap().0, 200);
        assert!(started.elapsed() >= Duration::from_millis(380), "{fault:?}");
    }
    assert!(service.leave(PATIENCE));
}

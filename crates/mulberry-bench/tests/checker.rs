//! Each kind of failure is detected. The stand-ins answer the callers' requests directly, without the system between
//! them, so that a fault of theirs reaches the checker.

#![allow(clippy::unwrap_used)]

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use mulberry_bench::{
    Call, CallLoad, Completion, CompletionLoad, Entry, Experiment, Outcome, PlannedKind, Route,
    Sent, SmokeTest, WorkspaceLoad, check_answer, check_partial_answer, compare, plan, plot, run,
    send_call, send_completion, smoke,
};
use standin_engine::{ColdStartSettings, Engine, EngineSettings, Fault, expected_answer};
use standin_service::{Fault as ServiceFault, Service, ServiceSettings};

fn engine() -> Engine {
    Engine::start(EngineSettings {
        step_ms: 1,
        step_us_per_stream: 0,
        prefill_tokens_per_s: 2_000_000,
        prefill_chunk_tokens: 10_000,
        cold_start: ColdStartSettings { cold_ms: 0, ..ColdStartSettings::default() },
        ..EngineSettings::default()
    })
    .unwrap()
}

fn service() -> Service {
    let cold_start = standin_service::ColdStartSettings {
        cold_ms: 0,
        ..standin_service::ColdStartSettings::default()
    };
    Service::start(ServiceSettings { cold_start, ..ServiceSettings::default() }).unwrap()
}

fn route(entry: SocketAddr) -> Route {
    Route {
        entries: vec![entry],
        api_key: "key".to_owned(),
        deadline: Duration::from_millis(1_000),
        late_after: Duration::from_millis(500),
        lost_after: Duration::from_millis(1_500),
    }
}

fn ask(entry: SocketAddr, stream: bool) -> Sent {
    let request = Completion {
        model: "model-a".to_owned(),
        text: "which seat".to_owned(),
        max_tokens: 12,
        stream,
        chat: stream,
    };
    send_completion(&route(entry), &request)
}

fn call(key: &str) -> Call {
    Call {
        method: "POST".to_owned(),
        path: format!("/services/bookings/seats?call={key}"),
        body: "seat 7".to_owned(),
        idempotency_key: Some(key.to_owned()),
    }
}

/// Answers one request with a status line, header lines and a body, which need not be a valid answer.
fn answer_once(head: &'static str, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        write!(stream, "HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
        // Closing before the request is read whole would reset the connection.
        let _ = std::io::copy(&mut stream, &mut std::io::sink());
    });
    address
}

#[test]
fn wrong_texts_are_told_apart() {
    let right = expected_answer("prompt", 6);
    let tokens: Vec<&str> = right.split_inclusive(' ').collect();
    let without_third = [&tokens[..2], &tokens[3..]].concat().concat();
    let doubled = [&tokens[..3], &tokens[2..]].concat().concat();
    assert_eq!(check_answer(&right, &right), Outcome::Right);
    assert_eq!(check_answer(&right, &tokens[..4].concat()), Outcome::Truncated);
    assert_eq!(check_answer(&right, ""), Outcome::Truncated);
    assert_eq!(check_answer(&right, &without_third), Outcome::WrongGap);
    assert_eq!(check_answer(&right, &doubled), Outcome::WrongDoubled);
    assert_eq!(check_answer(&right, &format!("{right}{right}")), Outcome::WrongDoubled);
    assert_eq!(check_answer(&right, &expected_answer("other", 6)), Outcome::WrongCrossed);
    assert_eq!(check_answer(&right, &right[..right.len() - 1]), Outcome::Truncated);
    assert_eq!(check_partial_answer(&right, &tokens[..4].concat()), None);
    assert_eq!(check_partial_answer(&right, &without_third), Some(Outcome::WrongGap));
}

/// Each fault of an engine must show as its own outcome, with and without streaming.
#[test]
fn engine_faults_are_detected() {
    let engine = engine();
    let faults = [
        (None, Outcome::Right, Outcome::Right),
        (Some(Fault::CrossedAnswer { count: 1 }), Outcome::WrongCrossed, Outcome::WrongCrossed),
        (Some(Fault::ForeignChunk { count: 1 }), Outcome::WrongCrossed, Outcome::WrongCrossed),
        (Some(Fault::DuplicateChunk { count: 1 }), Outcome::WrongDoubled, Outcome::WrongDoubled),
        (Some(Fault::SkipChunk { count: 1 }), Outcome::WrongGap, Outcome::WrongGap),
        (Some(Fault::EndEarly { count: 1 }), Outcome::Truncated, Outcome::Truncated),
        (Some(Fault::LateAnswers { delay_ms: 1_600, count: 1 }), Outcome::Late, Outcome::Late),
        (None, Outcome::Right, Outcome::Right),
    ];
    for (fault, streamed, whole) in faults {
        for (stream, expected) in [(true, streamed), (false, whole)] {
            if let Some(fault) = &fault {
                engine.inject(fault);
            }
            let sent = ask(engine.address(), stream);
            assert_eq!(sent.outcome, expected, "{fault:?}, stream {stream}: {sent:?}");
        }
    }
}

#[test]
fn silent_and_dead_engines_are_told_apart() {
    let frozen = engine();
    frozen.inject(&Fault::Freeze { ms: 4_000 });
    assert_eq!(ask(frozen.address(), true).outcome, Outcome::Lost);
    let dying = engine();
    dying.inject(&Fault::Slow { factor: 30.0 });
    let sent = std::thread::scope(|scope| {
        let asked = scope.spawn(|| ask(dying.address(), true));
        let end = Instant::now() + Duration::from_secs(5);
        while dying.accounting()["concurrent"] == 0 && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(5));
        }
        dying.inject(&Fault::Die);
        asked.join().unwrap()
    });
    assert_eq!(sent.outcome, Outcome::FailedVisibly, "{sent:?}");
    assert_eq!(ask(dying.address(), true).outcome, Outcome::FailedVisibly);
    // A refused connection carries nothing, so the next entry may be asked.
    let mut route = route(dying.address());
    let healthy = engine();
    route.entries.push(healthy.address());
    let request = Completion {
        model: "model-a".to_owned(),
        text: "again".to_owned(),
        max_tokens: 3,
        stream: true,
        chat: true,
    };
    assert_eq!(send_completion(&route, &request).outcome, Outcome::Right);
}

#[test]
fn refusals_are_told_from_failures() {
    let not_run = r#"{"error":{"code":"no_capacity","outcome":"not_run"}}"#;
    let refused = answer_once("503 x\r\nRetry-After: 1", not_run);
    assert_eq!(ask(refused, true).outcome, Outcome::Refused);
    let without = answer_once("503 x", not_run);
    assert_eq!(ask(without, true).outcome, Outcome::RefusedWithoutRetryAfter);
    let unknown = answer_once("502 x", r#"{"error":{"code":"target_failed","outcome":"unknown"}}"#);
    assert_eq!(ask(unknown, true).outcome, Outcome::FailedVisibly);
    let ran = "data: {\"error\":{\"code\":\"target_failed\",\"outcome\":\"ran\"}}\n\n";
    assert_eq!(ask(answer_once("200 x", ran), true).outcome, Outcome::FailedVisibly);
    let no_finish = answer_once("200 x", "data: [DONE]\n\n");
    assert_eq!(ask(no_finish, true).outcome, Outcome::Truncated);
}

#[test]
fn service_faults_are_detected() {
    let service = service();
    let route = route(service.address());
    assert_eq!(send_call(&route, &call("a")).outcome, Outcome::Right);
    service.inject(ServiceFault::CutAnswer { count: 1 });
    assert_eq!(send_call(&route, &call("b")).outcome, Outcome::FailedVisibly);
    service.inject(ServiceFault::DieAfterEffect { down_ms: 100 });
    assert_eq!(send_call(&route, &call("c")).outcome, Outcome::FailedVisibly);
    assert_eq!(service.accounting()["runs_by_key"]["c"], 1);
    let other = answer_once("200 x", r#"{"path":"/seats?call=z","number":123456}"#);
    let crossed = send_call(&Route { entries: vec![other], ..route }, &call("d"));
    assert_eq!(crossed.outcome, Outcome::WrongCrossed);
}

fn experiment(engine: SocketAddr, service: SocketAddr) -> Experiment {
    let entry = |address| vec![Entry { address, platform: None }];
    let workspaces = vec![
        WorkspaceLoad { name: "large".into(), api_key: "key-1".into(), weight: 3.0 },
        WorkspaceLoad { name: "small".into(), api_key: "key-2".into(), weight: 1.0 },
    ];
    let completions = vec![
        CompletionLoad { rate_per_s: 40.0, ..CompletionLoad::default() },
        CompletionLoad {
            name: "medium".into(),
            rate_per_s: 5.0,
            prompt_tokens: [2_001, 16_000],
            stream: false,
            chat: false,
            ..CompletionLoad::default()
        },
    ];
    Experiment {
        entries: entry(engine),
        engines: vec![engine],
        services: vec![service],
        warm_up_ms: 300,
        duration_ms: 1_500,
        settle_ms: 500,
        workspaces,
        completions,
        calls: Vec::new(),
        ..Experiment::default()
    }
}

/// Without a system between, every answer of a healthy engine is right, and the result says so.
#[test]
fn healthy_run_has_no_violations() {
    let (engine, service) = (engine(), service());
    let experiment = experiment(engine.address(), service.address());
    experiment.check().unwrap();
    let report = run(&experiment).unwrap();
    assert!(report.violations.is_empty(), "{}", report.table());
    let short = &report.loads["short"];
    assert!(short.outcomes[&Outcome::Right] > 30, "{}", report.table());
    assert_eq!(short.first_token.count, short.outcomes[&Outcome::Right]);
    assert!(report.series.iter().map(|second| second.right).sum::<u64>() > 30);
    assert!(report.accounting.settled_after_ms.is_some());
    let text = serde_json::to_string(&report).unwrap();
    let read = serde_json::from_str(&text).unwrap();
    assert!(compare(&[report.clone(), read]).contains("short total p95 ms"));
    let file = std::env::temp_dir().join(format!("mulberry-bench-{}.svg", std::process::id()));
    plot(&report, &file).unwrap();
    assert!(std::fs::read_to_string(&file).unwrap().contains("requests per second"));
    std::fs::remove_file(&file).unwrap();
}

/// A call that was sent twice straight to the service runs twice, and memory that nobody frees stays held.
#[test]
fn doubled_calls_and_leaked_tokens_are_detected() {
    let (engine, service) = (engine(), service());
    let mut experiment = experiment(engine.address(), service.address());
    experiment.entries = vec![Entry { address: service.address(), platform: None }];
    experiment.completions.clear();
    experiment.calls =
        vec![CallLoad { rate_per_s: 20.0, resend_share: 0.5, ..CallLoad::default() }];
    let segment = r#"{"request_id":"1-1-1","model":"model-a","index":0,"text":"leaked"}"#;
    let url = format!("http://{}/kv/segments", engine.address());
    assert!(attohttpc::post(url).text(segment).send().unwrap().is_success());
    let report = run(&experiment).unwrap();
    assert!(report.violations["doubled_calls"] > 3, "{}", report.table());
    assert_eq!(report.accounting.leaked_tokens["engine-1"], 2);
    assert!(report.loads["book_resent"].outcomes[&Outcome::Right] > 3);
    assert!(report.accounting.missing_calls.is_empty());
}

/// A refusal that says "not run" must be compared with what ran, with and without a key.
#[test]
fn false_not_run_is_detected() {
    let (engine, service) = (engine(), service());
    let address = service.address();
    let refusing = TcpListener::bind("127.0.0.1:0").unwrap();
    let entry = refusing.local_addr().unwrap();
    // Forwards each call and then claims that it did not run.
    std::thread::spawn(move || {
        for stream in refusing.incoming().map_while(Result::ok) {
            let (mut reader, mut line) = (BufReader::new(stream), String::new());
            reader.read_line(&mut line).unwrap();
            let path = line.split(' ').nth(1).unwrap().replace("/services/bookings", "");
            let url = format!("http://{address}{path}");
            attohttpc::post(url).send().unwrap();
            let body = r#"{"error":{"code":"no_target","outcome":"not_run"}}"#;
            let head = "HTTP/1.1 503 x\r\nRetry-After: 1\r\nConnection: close";
            let length = body.len();
            write!(reader.get_mut(), "{head}\r\nContent-Length: {length}\r\n\r\n{body}").unwrap();
            let _ = std::io::copy(&mut reader, &mut std::io::sink());
        }
    });
    let mut experiment = experiment(engine.address(), address);
    experiment.entries = vec![Entry { address: entry, platform: None }];
    experiment.completions.clear();
    let load = CallLoad { rate_per_s: 5.0, resend_share: 0.0, ..CallLoad::default() };
    let without_key = CallLoad { name: "book_without_key".into(), with_key: false, ..load.clone() };
    experiment.calls = vec![load, without_key];
    let report = run(&experiment).unwrap();
    let refused: u64 =
        report.loads.values().map(|load| load.outcomes[&Outcome::Refused]).sum::<u64>()
            + report.warm_up_outcomes.get(&Outcome::Refused).copied().unwrap_or_default();
    assert!(refused > 4);
    assert_eq!(report.violations["false_not_run"], refused, "{}", report.table());
}

/// One wrong answer among many right ones must fail the smoke test.
#[test]
fn smoke_test_fails_on_one_wrong_answer() {
    let engine = Engine::start(EngineSettings {
        memory_tokens: 2_000_000,
        step_ms: 1,
        prefill_tokens_per_s: 4_000_000,
        prefill_chunk_tokens: 40_000,
        cold_start: ColdStartSettings { cold_ms: 0, ..ColdStartSettings::default() },
        ..EngineSettings::default()
    })
    .unwrap();
    let test = SmokeTest {
        entries: vec![engine.address()],
        api_key: "key".to_owned(),
        model: "model-a".to_owned(),
        service: None,
    };
    let (table, all_right) = smoke(&test);
    assert!(all_right, "{table}");
    engine.inject(&Fault::SkipChunk { count: 1 });
    let (table, all_right) = smoke(&test);
    assert!(!all_right && table.contains("wrong_gap"), "{table}");
}

/// A changed plan makes runs with the same seed incomparable.
#[test]
fn plan_follows_from_the_seed() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut experiment = Experiment { duration_ms: 600_000, ..experiment(address, address) };
    experiment.completions = Experiment::default().completions;
    experiment.calls = Experiment::default().calls;
    let planned = plan(&experiment);
    assert_eq!(planned, plan(&experiment));
    assert_ne!(planned, plan(&Experiment { seed: 2, ..experiment.clone() }));
    let (mut prompts, mut over_100k, mut large) = (0.0, 0.0, 0.0);
    for planned in &planned {
        if let PlannedKind::Completion { prompt, .. } = planned.kind {
            prompts += 1.0;
            over_100k += f64::from(u8::from(prompt.tokens > 100_000));
        }
        large += f64::from(u8::from(planned.workspace == 0));
    }
    assert!((0.015..0.025).contains(&(over_100k / prompts)), "{over_100k} of {prompts}");
    assert!((0.72..0.78).contains(&(large / planned.len() as f64)));
    let first = planned.iter().find_map(|planned| match planned.kind {
        PlannedKind::Completion { prompt, .. } => Some(prompt),
        PlannedKind::Call { .. } => None,
    });
    let prompt = first.unwrap();
    assert_eq!(prompt.text(), prompt.text());
    assert_eq!(prompt.text().len() as u64 + 1, 4 * prompt.tokens);
}

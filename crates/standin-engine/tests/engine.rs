//! The emulated engine keeps its own rules, so that a failure of an experiment is a failure of the system.

#![allow(clippy::unwrap_used)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use standin_engine::{
    AnswerSeed, ColdStartSettings, Engine, EngineSettings, Fault, chat_prompt, expected_answer,
};

/// Longer than any wait in these tests.
const PATIENCE: Duration = Duration::from_secs(20);

/// Fast and warm.
fn settings() -> EngineSettings {
    EngineSettings {
        prefill_tokens_per_s: 2_000_000,
        prefill_chunk_tokens: 20_000,
        step_ms: 1,
        step_us_per_stream: 0,
        weight_load_ms: 100,
        cold_start: ColdStartSettings { cold_ms: 0, ..ColdStartSettings::default() },
        ..EngineSettings::default()
    }
}

fn start(settings: EngineSettings) -> Engine {
    settings.check().unwrap();
    Engine::start(settings).unwrap()
}

fn post(
    address: SocketAddr,
    path: &str,
    headers: &[(&'static str, &str)],
    body: &Value,
) -> attohttpc::Result<(u16, Value)> {
    let mut request = attohttpc::post(format!("http://{address}{path}"))
        .timeout(PATIENCE)
        .header("connection", "close");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let response = request.json(body)?.send()?;
    let status = response.status().as_u16();
    // The client library panics if it is read again after an error, as a streaming JSON parser does.
    Ok((status, serde_json::from_slice(&response.bytes()?).unwrap()))
}

fn get(address: SocketAddr, path: &str) -> Value {
    let url = format!("http://{address}{path}");
    attohttpc::get(url).timeout(PATIENCE).send().unwrap().json().unwrap()
}

fn prompt(text: &str, max_tokens: u32) -> Value {
    json!({ "model": "model-a", "prompt": text, "max_tokens": max_tokens })
}

fn text(answer: &Value) -> &str {
    answer["choices"][0]["text"].as_str().unwrap()
}

/// Starts a streamed request and returns its connection.
fn open_stream(address: SocketAddr, id: &str, body: &Value) -> TcpStream {
    let mut body = body.clone();
    body["stream"] = json!(true);
    let body = body.to_string();
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    write!(
        stream,
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Request-Id: {id}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    stream
}

/// Data lines of a stream until its end, and whether it ended properly.
fn read_events(stream: TcpStream) -> (Vec<String>, bool) {
    let mut events = Vec::new();
    let mut last = String::new();
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        if let Some(data) = line.strip_prefix("data: ") {
            events.push(data.to_owned());
        }
        if !line.is_empty() {
            last = line;
        }
    }
    (events, last == "0")
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < end, "{what} did not happen in time");
        std::thread::sleep(Duration::from_millis(10));
    }
}

proptest! {
    /// A long prompt must get the same answer however it is split over engines.
    #[test]
    fn answer_does_not_depend_on_the_split(pieces in proptest::collection::vec(".{0,40}", 1..6)) {
        let whole = pieces.concat();
        let seed = AnswerSeed::of(pieces.iter().map(String::as_str));
        let answer: String = (0..8).map(|index| seed.token(index)).collect();
        prop_assert_eq!(answer, expected_answer(&whole, 8));
    }
}

/// Answers that do not differ by prompt or position hide crossed, short and doubled ones.
#[test]
fn answers_differ_by_prompt_and_position() {
    let answer = expected_answer("one", 200);
    let mut words: Vec<&str> = answer.split_whitespace().collect();
    assert_eq!(words.len(), 200);
    words.sort_unstable();
    words.dedup();
    assert_eq!(words.len(), 200);
    assert_ne!(answer, expected_answer("two", 200));
    assert_eq!(chat_prompt(["a", "b"]), "a\nb\n");
}

/// Guards against segments that are lost, reordered or kept after their end.
#[test]
fn imported_segments_precede_the_prompt() {
    let (first, last) = (start(settings()), start(settings()));
    let mut imports = Vec::new();
    for (index, piece) in ["alpha ", "beta "].iter().enumerate() {
        let body =
            json!({ "request_id": "1-1-1", "model": "model-a", "index": index, "text": piece });
        let (status, export) = post(first.address(), "/kv/segments", &[], &body).unwrap();
        assert_eq!(status, 200, "{export}");
        imports.push(format!("{}/{}", first.address(), export["handle"].as_str().unwrap()));
    }
    assert_eq!(first.accounting()["held_by_exports"], 4);
    let headers = [("x-kv-imports", imports.join(","))];
    let headers = [(headers[0].0, headers[0].1.as_str())];
    let ask = || post(last.address(), "/v1/completions", &headers, &prompt("gamma", 5)).unwrap();
    let (_, answer) = ask();
    assert_eq!(text(&answer), expected_answer("alpha beta gamma", 5));
    for import in &imports {
        let handle = import.split_once('/').unwrap().1;
        let url = format!("http://{}/kv/exports/{handle}", first.address());
        assert!(attohttpc::delete(url).send().unwrap().is_success());
    }
    assert_eq!(first.accounting()["held_tokens"], 0);
    let (status, refused) = ask();
    assert_eq!((status, &refused["error"]["code"]), (424, &json!("kv_import_failed")));
}

/// Guards against a resume that starts over or skips tokens.
#[test]
fn resume_yields_the_rest() {
    let engine = start(settings());
    let whole = expected_answer("resume me", 10);
    for cursor in [0_usize, 4, 10] {
        let headers = [("x-resume-from", &*cursor.to_string())];
        let body = prompt("resume me", 10);
        let (_, answer) = post(engine.address(), "/v1/completions", &headers, &body).unwrap();
        let rest: String = whole.split_inclusive(' ').skip(cursor).collect();
        assert_eq!(text(&answer), rest);
        assert_eq!(answer["x_total"], 10);
    }
    let (events, ended) =
        read_events(open_stream(engine.address(), "1-1-1", &prompt("resume me", 3)));
    assert!(ended && events.last().unwrap() == "[DONE]");
    let chunks: Vec<Value> = events[..events.len() - 1]
        .iter()
        .map(|chunk| serde_json::from_str(chunk).unwrap())
        .collect();
    assert_eq!(chunks.iter().map(|chunk| &chunk["x_sequence"]).collect::<Vec<_>>(), [0, 1, 2, 3]);
    assert!(chunks.iter().all(|chunk| chunk["x_request_id"] == "1-1-1"));
    assert_eq!(chunks[3]["x_total"], 3);
}

/// Guards against memory beyond the bound and memory that is never given back.
#[test]
fn memory_stays_within_its_bound() {
    const MEMORY: u64 = 6_000;
    let engine = start(EngineSettings {
        memory_tokens: MEMORY,
        slots: 4,
        max_queued: 4,
        prefill_tokens_per_s: 200_000,
        prefill_chunk_tokens: 500,
        ..settings()
    });
    let address = engine.address();
    std::thread::scope(|scope| {
        for client in 0..12_u64 {
            scope.spawn(move || {
                let mut random = StdRng::seed_from_u64(client);
                for round in 0..15 {
                    let id = format!("{client}-0-{round}");
                    let shared = "s".repeat(4 * random.random_range(1..5_000));
                    let body = prompt(&shared, random.random_range(1..40));
                    let stream = open_stream(address, &id, &body);
                    match random.random_range(0..3) {
                        0 => drop(read_events(stream)),
                        1 => std::thread::sleep(Duration::from_millis(random.random_range(0..15))),
                        _ => {
                            let path = format!("/streams/{id}/cancel");
                            post(address, &path, &[], &json!({})).unwrap();
                        }
                    }
                    let now = get(address, "/accounting");
                    let used = now["held_tokens"].as_u64().unwrap()
                        + now["cached_tokens_now"].as_u64().unwrap();
                    assert!(used <= MEMORY, "{now}");
                }
            });
        }
    });
    wait_until("the end of all streams", || engine.accounting()["concurrent"] == 0);
    // How often the random part reaches each of these depends on the speed of the machine.
    for _ in 0..2 {
        post(address, "/v1/completions", &[], &prompt(&"c".repeat(8_192), 2)).unwrap();
    }
    let (status, _) =
        post(address, "/v1/completions", &[], &prompt(&"x".repeat(24_000), 1)).unwrap();
    assert_eq!(status, 413);
    let stream = open_stream(address, "x", &prompt("cancelled", 5_000));
    wait_until("the start of the stream", || engine.accounting()["concurrent"] == 1);
    drop(stream);
    wait_until("the end of the stream", || engine.accounting()["concurrent"] == 0);
    let end = engine.accounting();
    assert_eq!(end["held_tokens"], 0);
    assert!(end["peak_used_tokens"].as_u64().unwrap() <= MEMORY, "{end}");
    for count in ["cancelled", "completed", "over_memory_attempts", "refused", "cached_tokens"] {
        assert!(end[count].as_u64().unwrap() > 0, "{count} was not exercised: {end}");
    }
}

/// A second run under the same id would be doubled work.
#[test]
fn running_id_is_refused() {
    let engine = start(EngineSettings { step_ms: 20, ..settings() });
    let stream = open_stream(engine.address(), "1-1-1", &prompt("once", 50));
    wait_until("the start of the stream", || engine.accounting()["concurrent"] == 1);
    let headers = [("x-request-id", "1-1-1")];
    let (status, _) =
        post(engine.address(), "/v1/completions", &headers, &prompt("once", 50)).unwrap();
    assert_eq!(status, 409);
    assert_eq!(engine.accounting()["runs"]["1-1-1"], 1);
    drop(stream);
    wait_until("the cancellation after a disconnect", || engine.accounting()["cancelled"] == 1);
    assert_eq!(engine.accounting()["held_tokens"], 0);
}

/// Guards against a cold engine that takes any load, and against state that survives the fall.
#[test]
fn cold_engine_falls_over_and_comes_back_cold() {
    let cold_start =
        ColdStartSettings { cold_ms: 60_000, successes: 3, max_concurrent: 2, down_ms: 300 };
    let engine = start(EngineSettings { step_ms: 20, cold_start, ..settings() });
    let address = engine.address();
    let boot_id = get(address, "/health")["boot_id"].clone();
    let streams: Vec<TcpStream> =
        (0..3).map(|id| open_stream(address, &format!("1-1-{id}"), &prompt("cold", 200))).collect();
    for stream in streams {
        let (events, ended) = read_events(stream);
        assert!(!ended && events.last().is_none_or(|last| last != "[DONE]"));
    }
    assert!(TcpStream::connect(address).is_err(), "the engine is still up");
    wait_until("the return of the engine", || TcpStream::connect(address).is_ok());
    assert_ne!(get(address, "/health")["boot_id"], boot_id);
    assert_eq!(engine.accounting()["held_tokens"], 0);
    assert_eq!(engine.accounting()["runs"]["1-1-0"], 1);
    assert_eq!(engine.accounting()["fell_over"], 1);
    for _ in 0..3 {
        post(address, "/v1/completions", &[], &prompt("warm up", 1)).unwrap();
    }
    let warm: Vec<TcpStream> =
        (0..3).map(|id| open_stream(address, &format!("2-1-{id}"), &prompt("warm", 5))).collect();
    for stream in warm {
        assert!(read_events(stream).1, "a warm engine fell over");
    }
}

fn order(engine: &Engine, counter: u64, order: &Value) -> u16 {
    let fence = json!({ "epoch": 1, "counter": counter });
    let body = json!({ "fence": fence, "valid_for_ms": 1_000, "order": order });
    post(engine.address(), "/orders", &[], &body).unwrap().0
}

/// The system must stay right with both kinds of engine, so both must behave as declared.
#[test]
fn old_fence_is_refused_only_by_engines_that_check() {
    for checks_fence in [true, false] {
        let engine = start(EngineSettings { checks_fence, ..settings() });
        assert_eq!(order(&engine, 5, &json!({ "load_model": { "model": "model-b" } })), 200);
        let unload = json!({ "unload_model": { "model": "model-a" } });
        assert_eq!(order(&engine, 4, &unload), if checks_fence { 409 } else { 200 });
        wait_until("the load", || get(engine.address(), "/health")["loading"] == 0);
        let models = get(engine.address(), "/health")["models"].clone();
        let expected =
            if checks_fence { json!(["model-a", "model-b"]) } else { json!(["model-b"]) };
        assert_eq!(models, expected);
    }
}

/// Guards against a freeze that closes connections or keeps answering.
#[test]
fn frozen_engine_is_silent_and_goes_on() {
    let engine = start(EngineSettings { step_ms: 5, ..settings() });
    let mut stream = open_stream(engine.address(), "1-1-1", &prompt("freeze", 60));
    stream.read_exact(&mut [0; 300]).unwrap();
    engine.inject(&Fault::Freeze { ms: 700 });
    let started = Instant::now();
    assert_eq!(get(engine.address(), "/health")["target"], "engine-1");
    assert!(started.elapsed() >= Duration::from_millis(600));
    assert!(read_events(stream).1);
}

/// Guards against refused connections that also cut running requests.
#[test]
fn refused_connections_spare_running_streams() {
    let engine = start(EngineSettings { step_ms: 10, ..settings() });
    let stream = open_stream(engine.address(), "1-1-1", &prompt("go on", 60));
    wait_until("the start of the stream", || engine.accounting()["concurrent"] == 1);
    engine.inject(&Fault::RefuseConnections { ms: 400 });
    wait_until("the refusal", || TcpStream::connect(engine.address()).is_err());
    assert!(read_events(stream).1);
    wait_until("the end of the refusal", || TcpStream::connect(engine.address()).is_ok());
}

/// Guards against a dead engine that still answers.
#[test]
fn dead_engine_cuts_its_streams() {
    let engine = start(EngineSettings { step_ms: 10, ..settings() });
    let stream = open_stream(engine.address(), "1-1-1", &prompt("die", 500));
    wait_until("the start of the stream", || engine.accounting()["concurrent"] == 1);
    // The answer to the fault itself must arrive, so that an experiment knows that it took effect.
    assert_eq!(post(engine.address(), "/faults", &[], &json!("die")).unwrap().0, 200);
    let (events, ended) = read_events(stream);
    assert!(!ended && events.iter().all(|event| event != "[DONE]"));
    wait_until("the death", || engine.is_dead());
    assert!(TcpStream::connect(engine.address()).is_err());
}

/// Guards against a prefix cache without effect and a priority without effect.
#[test]
fn cache_and_priority_shorten_the_wait() {
    let engine = start(EngineSettings {
        prefill_tokens_per_s: 20_000,
        prefill_chunk_tokens: 512,
        cache_event_lag_ms: 0,
        cache_event_gap_every: 2,
        ..settings()
    });
    let address = engine.address();
    let timed = |priority: &str, text: &str| {
        let started = Instant::now();
        let headers = [("x-priority", priority)];
        post(address, "/v1/completions", &headers, &prompt(text, 1)).unwrap();
        started.elapsed()
    };
    let text = "c".repeat(4 * 10_240);
    let (cold, cached) = (timed("normal", &text), timed("normal", &text));
    assert!(cold > Duration::from_millis(450) && cached < cold / 3, "{cold:?} then {cached:?}");
    let events = get(address, "/cache-events?after=2");
    let sequences: Vec<_> =
        events.as_array().unwrap().iter().map(|event| event["sequence"].clone()).collect();
    assert_eq!(sequences, [3, 5, 7, 9]);
    std::thread::scope(|scope| {
        let ended = |priority: &str, text: &str| {
            timed(priority, text);
            Instant::now()
        };
        let low = scope.spawn(move || ended("low", &"l".repeat(4 * 10_240)));
        wait_until("the start of the long prompt", || engine.accounting()["concurrent"] == 1);
        let high = ended("high", &"h".repeat(4 * 2_048));
        assert!(high < low.join().unwrap(), "the short prompt waited for the long one");
    });
}

/// Entries take silence for a failure, so a long prefill must send comments; and the reported load must be old.
#[test]
fn long_prefill_sends_comments_and_load_lags() {
    let engine = start(EngineSettings {
        prefill_tokens_per_s: 1_000,
        prefill_chunk_tokens: 100,
        load_lag_ms: 600,
        ..settings()
    });
    let address = engine.address();
    let mut stream = open_stream(address, "1-1-1", &prompt(&"p".repeat(4 * 1_300), 2));
    wait_until("the start of the stream", || engine.accounting()["concurrent"] == 1);
    assert_eq!(get(address, "/load")["running"], 0);
    std::thread::sleep(Duration::from_millis(650));
    assert_eq!(get(address, "/load")["used_tokens"], 1_302);
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.matches(": keep-alive").count() >= 2, "{answer}");
    assert!(answer.contains("[DONE]"));
}

/// An engine that becomes cold under the same boot id must be slower and fragile again.
#[test]
fn engine_goes_cold_without_a_restart() {
    let cold_start =
        ColdStartSettings { cold_ms: 60_000, successes: 1, max_concurrent: 1, down_ms: 100 };
    let engine = start(EngineSettings { step_ms: 20, cold_start, ..settings() });
    let address = engine.address();
    let timed = || {
        let started = Instant::now();
        post(address, "/v1/completions", &[], &prompt("again", 11)).unwrap();
        started.elapsed()
    };
    let (_, warm) = (timed(), timed());
    let boot_id = get(address, "/health")["boot_id"].clone();
    engine.inject(&Fault::GoCold { slow_factor: 6.0 });
    let cold = timed();
    // Ten steps after the first token, of six times 20 ms.
    assert!(cold >= Duration::from_millis(1_200) && warm < cold, "{warm:?} warm, {cold:?} cold");
    assert_eq!(get(address, "/health")["boot_id"], boot_id);
    engine.inject(&Fault::GoCold { slow_factor: 1.0 });
    let streams = [0, 1].map(|id| open_stream(address, &format!("1-1-{id}"), &prompt("x", 200)));
    for stream in streams {
        assert!(!read_events(stream).1, "a cold engine survived");
    }
}

/// A leaving engine must tell the next entry when one does not answer, and finish its streams.
#[test]
fn leaving_engine_announces_it_and_finishes() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let engine = start(EngineSettings {
        announce_to: vec![closed, listener.local_addr().unwrap()],
        announce_interval_ms: 50,
        step_ms: 10,
        ..settings()
    });
    let announced = std::thread::spawn(move || {
        loop {
            let (stream, _) = listener.accept().unwrap();
            let mut reader = BufReader::new(stream);
            let (mut length, mut line) = (0, String::new());
            while reader.read_line(&mut line).unwrap() > 2 {
                if let Some(value) = line.to_lowercase().strip_prefix("content-length: ") {
                    length = value.trim().parse().unwrap();
                }
                line.clear();
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body).unwrap();
            let answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            reader.get_mut().write_all(answer.as_bytes()).unwrap();
            let announcement: mulberry_types::Announcement = serde_json::from_slice(&body).unwrap();
            if announcement.leaving {
                return;
            }
        }
    });
    let stream = open_stream(engine.address(), "1-1-1", &prompt("finish", 60));
    wait_until("the start of the stream", || engine.accounting()["concurrent"] == 1);
    assert!(engine.leave(PATIENCE));
    assert!(read_events(stream).1);
    announced.join().unwrap();
}

//! HTTP endpoints of the engine.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use mulberry_http::{Method, Request, Responder, Response, StatusCode};
use mulberry_types::{Priority, estimate_tokens};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use crate::batch::{Event, Job, JobKind, Refusal};
use crate::completion::{Answer, send_answer};
use crate::life::Life;
use crate::order::{Order, OrderRequest};
use crate::prefix_cache::block_hashes;
use crate::{AnswerSeed, DEFAULT_MAX_TOKENS, Fault, Message, chat_prompt};

/// Pause between two looks at whether the client is still there.
pub(crate) const CLIENT_POLL: Duration = Duration::from_millis(100);

/// Answer that refuses a request.
type Refused = Box<Response>;

/// Time for an answer to be written.
const ANSWER_PAUSE: Duration = Duration::from_millis(20);

#[derive(Debug, Deserialize)]
struct CompletionRequest {
    model: Arc<str>,
    messages: Option<Vec<Message>>,
    prompt: Option<String>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct SegmentRequest {
    request_id: Arc<str>,
    model: Arc<str>,
    index: u32,
    text: Arc<str>,
}

/// Answers one request.
pub(crate) fn handle(life: &Life, request: &Request, responder: Responder) {
    let received = Instant::now();
    life.wait_while_frozen();
    if life.is_dead() {
        return;
    }
    let path: Vec<&str> = request.path().trim_matches('/').split('/').collect();
    let result = match (&request.method, &path[..]) {
        (&Method::POST, ["v1", "chat", "completions"]) => {
            return complete(life, request, responder, true);
        }
        (&Method::POST, ["v1", "completions"]) => return complete(life, request, responder, false),
        (&Method::POST, ["kv", "segments"]) => return prefill_segment(life, request, responder),
        (&Method::GET, ["kv", "exports"]) => Ok(exports(life)),
        (&Method::GET, ["kv", "exports", handle, "digest"]) => export_text(life, handle),
        (&Method::DELETE, ["kv", "exports", handle]) => free_export(life, handle),
        (&Method::GET, ["streams"]) => Ok(json_answer(&json!(life.batch().streams()))),
        (&Method::POST, ["streams", id, "cancel"]) => cancel(life, id),
        (&Method::GET, ["load"]) => Ok(json_answer(&json!(load(life)))),
        (&Method::GET, ["cache-events"]) => cache_events(life, request),
        (&Method::POST, ["orders"]) => order(life, request, received),
        (&Method::POST, ["faults"]) => match parse(request) {
            Ok(fault) => return take_fault(life, &fault, responder),
            Err(refused) => Err(refused),
        },
        (&Method::GET, ["health"]) => Ok(health(life)),
        (&Method::GET, ["accounting"]) => Ok(json_answer(&accounting(life))),
        _ => Err(refused(
            StatusCode::NOT_FOUND,
            "not_found",
            "the engine has no such path; see its README",
        )),
    };
    responder.send(result.unwrap_or_else(|refused| *refused));
}

/// Answers and injects a fault; one that cuts all connections waits until its own answer has been written.
fn take_fault(life: &Life, fault: &Fault, responder: Responder) {
    let accepted = json_answer(&json!({ "accepted": true }));
    if matches!(fault, Fault::Die | Fault::RestartCold { .. }) {
        responder.send(accepted);
        std::thread::sleep(ANSWER_PAUSE);
        life.inject(fault);
    } else {
        life.inject(fault);
        responder.send(accepted);
    }
}

fn json_answer(value: &Value) -> Response {
    Response::json(StatusCode::OK, value.to_string())
}

fn refused(status: StatusCode, code: &str, message: &str) -> Refused {
    Box::new(Response::error(status, code, "not_run", message))
}

fn invalid(problem: &str) -> Refused {
    refused(StatusCode::BAD_REQUEST, "invalid_request", problem)
}

fn parse<T: DeserializeOwned>(request: &Request) -> Result<T, Refused> {
    serde_json::from_slice(&request.body)
        .map_err(|error| invalid(&format!("the body is not as expected: {error}")))
}

fn refusal(refusal: Refusal) -> Refused {
    let (status, code, message) = match refusal {
        Refusal::AlreadyRunning => {
            (StatusCode::CONFLICT, "already_running", "a request with this id is running")
        }
        Refusal::NeverFits => (
            StatusCode::PAYLOAD_TOO_LARGE,
            "engine_memory_exceeded",
            "the prompt and its answer need more memory than the engine has; split the prompt",
        ),
        Refusal::MemoryFull => (
            StatusCode::TOO_MANY_REQUESTS,
            "engine_memory_full",
            "no free memory and the queue is full; retry later",
        ),
        Refusal::SlotsFull => (
            StatusCode::TOO_MANY_REQUESTS,
            "engine_slots_full",
            "no free slot and the queue is full; retry later",
        ),
    };
    let response = Response::error(status, code, "not_run", message);
    Box::new(match status {
        StatusCode::TOO_MANY_REQUESTS => response.header("retry-after", "1"),
        _ => response,
    })
}

fn check_model(life: &Life, model: &str) -> Result<(), Refused> {
    if life.weights().models().iter().any(|loaded| &**loaded == model) {
        return Ok(());
    }
    Err(refused(
        StatusCode::NOT_FOUND,
        "model_not_loaded",
        "the model is not loaded; order the engine to load it",
    ))
}

fn complete(life: &Life, request: &Request, responder: Responder, is_chat: bool) {
    let answer = match admit(life, request, is_chat) {
        Ok(answer) => answer,
        Err(response) => return responder.send(*response),
    };
    let key = answer.key;
    if !send_answer(life, &answer, responder) {
        life.batch().cancel(key);
    }
}

fn admit(life: &Life, request: &Request, is_chat: bool) -> Result<Answer, Refused> {
    let body: CompletionRequest = parse(request)?;
    check_model(life, &body.model)?;
    let prompt = match (body.messages, body.prompt) {
        (Some(messages), None) if is_chat => {
            chat_prompt(messages.iter().map(|message| message.content.as_str()))
        }
        (None, Some(prompt)) if !is_chat => prompt,
        _ => return Err(invalid("chat takes messages, a completion takes a prompt")),
    };
    let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let resume_from = match request.header("x-resume-from") {
        None => 0,
        Some(text) => text
            .parse()
            .ok()
            .filter(|cursor| *cursor <= max_tokens)
            .ok_or_else(|| invalid("X-Resume-From must be a number up to max_tokens"))?,
    };
    let priority = priority(request)?;
    let request_id: Arc<str> = match request.header("x-request-id") {
        Some(id) if !id.is_empty() => id.into(),
        _ => format!("anonymous-{:x}", rand::random::<u64>()).into(),
    };
    let imported = fetch_imports(life, request.header("x-kv-imports").unwrap_or_default())?;
    let imported_tokens: u64 = imported.iter().map(|text| estimate_tokens(text.len() as u64)).sum();
    let rate = f64::from(life.settings.transfer_tokens_per_s);
    let transfer = Duration::from_secs_f64(imported_tokens as f64 / rate);
    let prompt_tokens = estimate_tokens(prompt.len() as u64);
    let pieces = imported.iter().map(String::as_str).chain([prompt.as_str()]);
    let seed = AnswerSeed::of(pieces);
    // A block after imported text depends on that text, which is not hashed here.
    let block_hashes = if imported.is_empty() { block_hashes(&prompt) } else { Vec::new() };
    let job = Job {
        request_id: request_id.clone(),
        kind: JobKind::Completion { max_tokens, resume_from },
        priority,
        prompt_tokens,
        block_hashes,
        starts_at: Instant::now() + transfer,
    };
    let (key, events) = life.submit(job).map_err(refusal)?;
    Ok(Answer {
        key,
        events,
        request_id,
        model: body.model,
        is_chat,
        streamed: body.stream,
        seed,
        max_tokens,
        resume_from,
        prompt_tokens: prompt_tokens + imported_tokens,
        faults: life.faults().take(),
    })
}

fn priority(request: &Request) -> Result<Priority, Refused> {
    match request.header("x-priority") {
        Some("low") => Ok(Priority::Low),
        None | Some("normal") => Ok(Priority::Normal),
        Some("high") => Ok(Priority::High),
        Some(_) => Err(invalid("X-Priority must be low, normal or high")),
    }
}

/// Fetches the texts of exported segments from the engines that hold them.
fn fetch_imports(life: &Life, imports: &str) -> Result<Vec<String>, Refused> {
    let timeout = Duration::from_millis(life.settings.import_timeout_ms);
    let fetch = |import: &str| -> Result<String, String> {
        let (address, handle) = import.split_once('/').ok_or("an import is address/handle")?;
        attohttpc::get(format!("http://{address}/kv/exports/{handle}/digest"))
            .connect_timeout(timeout)
            .read_timeout(timeout)
            .timeout(timeout)
            .send()
            .and_then(attohttpc::Response::error_for_status)
            .and_then(attohttpc::Response::text_utf8)
            .map_err(|error| error.to_string())
    };
    let imports = imports.split(',').map(str::trim).filter(|import| !import.is_empty());
    imports
        .map(|import| {
            fetch(import).map_err(|problem| {
                refused(
                    StatusCode::FAILED_DEPENDENCY,
                    "kv_import_failed",
                    &format!("cannot import {import}: {problem}; prefill the segment again"),
                )
            })
        })
        .collect()
}

fn prefill_segment(life: &Life, request: &Request, responder: Responder) {
    let submitted = parse::<SegmentRequest>(request).and_then(|body| {
        check_model(life, &body.model)?;
        let job = Job {
            request_id: body.request_id,
            kind: JobKind::Segment { index: body.index, text: body.text.clone() },
            priority: priority(request)?,
            prompt_tokens: estimate_tokens(body.text.len() as u64),
            block_hashes: Vec::new(),
            starts_at: Instant::now(),
        };
        life.submit(job).map_err(refusal).map(|ticket| (body.text, ticket))
    });
    let (text, (key, events)) = match submitted {
        Ok(submitted) => submitted,
        Err(response) => return responder.send(*response),
    };
    loop {
        match events.recv_timeout(CLIENT_POLL) {
            Ok(Event::Exported(handle)) => {
                life.wait_while_frozen();
                return responder.send(json_answer(&json!({
                    "handle": handle,
                    "tokens": estimate_tokens(text.len() as u64),
                    "sha256": hex(&Sha256::digest(text.as_bytes())),
                })));
            }
            Ok(Event::Token(_) | Event::Done) => {}
            Err(error) if error.is_timeout() => {
                if responder.is_closed() {
                    life.batch().cancel(key);
                    return;
                }
            }
            Err(_) if life.is_dead() => return,
            Err(_) => return responder.send(cancelled()),
        }
    }
}

pub(crate) fn cancelled() -> Response {
    Response::error(
        StatusCode::CONFLICT,
        "cancelled",
        "unknown",
        "the request was cancelled at the engine; send it again",
    )
}

fn exports(life: &Life) -> Response {
    let batch = life.batch();
    let exports: Vec<Value> = batch
        .exports()
        .iter()
        .map(|(handle, export)| {
            json!({
                "handle": handle,
                "request_id": export.request_id,
                "tokens": export.tokens,
                "age_ms": export.made.elapsed().as_millis() as u64,
            })
        })
        .collect();
    json_answer(&json!(exports))
}

fn no_export() -> Refused {
    refused(
        StatusCode::NOT_FOUND,
        "export_not_found",
        "the engine has no such export; prefill the segment again",
    )
}

fn export_text(life: &Life, handle: &str) -> Result<Response, Refused> {
    let export = life.batch().exports().get(handle).cloned().ok_or_else(no_export)?;
    let tokens = export.tokens.to_string();
    Ok(Response::text(StatusCode::OK, export.text.as_bytes().to_vec()).header("x-tokens", &tokens))
}

fn free_export(life: &Life, handle: &str) -> Result<Response, Refused> {
    if life.batch().free_export(handle) {
        return Ok(json_answer(&json!({ "freed": true })));
    }
    Err(no_export())
}

fn cancel(life: &Life, id: &str) -> Result<Response, Refused> {
    match life.batch().cancel_request(id) {
        0 => Err(refused(
            StatusCode::NOT_FOUND,
            "stream_not_found",
            "the engine runs no such stream; it may have ended",
        )),
        cancelled => Ok(json_answer(&json!({ "cancelled": cancelled }))),
    }
}

fn load(life: &Life) -> mulberry_types::LoadReport {
    life.batch().lagging_load(Instant::now())
}

fn cache_events(life: &Life, request: &Request) -> Result<Response, Refused> {
    let after = request.query("after").unwrap_or("0");
    let after = after.parse().map_err(|_| invalid("after must be a number"))?;
    Ok(json_answer(&json!(life.batch().cache_events(after))))
}

fn order(life: &Life, request: &Request, received: Instant) -> Result<Response, Refused> {
    let order: OrderRequest = parse(request)?;
    if received.elapsed() >= Duration::from_millis(order.valid_for_ms) {
        return Err(refused(
            StatusCode::GONE,
            "order_expired",
            "the order is no longer valid; send it again with a newer fencing number",
        ));
    }
    life.weights().order(&order).map_err(|newest| {
        refused(
            StatusCode::CONFLICT,
            "old_fence",
            &format!(
                "the fencing number is older than {}/{}; the sender is no longer the home",
                newest.epoch, newest.counter
            ),
        )
    })?;
    match &order.order {
        Order::CancelStream { request_id } => {
            life.batch().cancel_request(request_id);
        }
        Order::FreeExport { handle } => {
            life.batch().free_export(handle);
        }
        _ => {}
    }
    Ok(json_answer(&json!({ "accepted": true, "loading": life.weights().loading() })))
}

fn health(life: &Life) -> Response {
    let mut weights = life.weights();
    json_answer(&json!({
        "target": life.settings.target,
        "boot_id": life.boot_id,
        "models": weights.models(),
        "weight_version": weights.version(),
        "role": weights.role(),
        "loading": weights.loading(),
    }))
}

/// What was run and what is held, for the checks at the end of an experiment.
pub(crate) fn accounting(life: &Life) -> Value {
    let batch = life.batch();
    let exported: u64 = batch.exports().values().map(|export| export.tokens).sum();
    let mut report = json!(batch.counts);
    let held = json!({
        "target": life.settings.target,
        "boot_id": life.boot_id,
        "memory_tokens": life.settings.memory_tokens,
        "held_tokens": batch.held_tokens(),
        "held_by_streams": batch.held_tokens() - exported,
        "held_by_exports": exported,
        "cached_tokens_now": batch.cached_tokens(),
        "concurrent": batch.concurrent(),
        "accepted_while_leaving": life.accepted_while_leaving.load(Ordering::Relaxed),
    });
    drop(batch);
    let weights = life.weights();
    let orders = json!({
        "orders_applied": weights.orders_applied,
        "orders_refused": weights.orders_refused,
        "old_orders_applied": weights.old_orders_applied,
    });
    for part in [held, orders] {
        if let (Value::Object(report), Value::Object(part)) = (&mut report, part) {
            report.extend(part);
        }
    }
    report
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

//! Forwards requests from callers through a gateway to targets.

mod common;

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use common::{
    Action, Fleet, Reply, Target, config, engine_config, events, exchange, not_run, read_reply,
    request, response, stream_head, wait_until,
};
use mulberry_directory::TargetState;
use mulberry_registry::PublicRequest;

fn healthy_target(id: &'static str) -> Target {
    Target::start(id, vec![Action::Send(response(200, id))])
}

#[test]
fn a_request_is_forwarded_unchanged_except_for_gateway_headers() {
    let target = healthy_target("one");
    let fleet = Fleet::ready("unchanged", config(1), &[&target]);
    let reply = fleet.post("/once/a%20b?c=d", "X-Own: kept\r\nTenant: forged\r\nTE: x\r\n", "body");
    assert_eq!((reply.status, reply.body.as_str(), reply.is_complete), (200, "one", true));
    let received = target.received().remove(0);
    assert!(received.starts_with("POST /once/a%20b?c=d HTTP/1.1\r\n"), "{received}");
    for kept in
        ["Host: h\r\n", "X-Own: kept\r\n", "tenant: t\r\n", "target: one\r\n", "\r\n\r\nbody"]
    {
        assert!(received.contains(kept), "{kept:?} is missing in {received}");
    }
    for removed in ["Key:", "forged", "TE:", "Connection:"] {
        assert!(!received.contains(removed), "{removed:?} is left in {received}");
    }
}

#[test]
fn invalid_requests_are_rejected_without_contacting_a_target() {
    let target = healthy_target("one");
    let fleet = Fleet::ready("refused", config(1), &[&target]);
    assert_eq!(fleet.get("/nowhere/", "").status, 404);
    let no_key = "GET /safe/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    assert_eq!(exchange(fleet.callers, no_key).status, 401);
    assert_eq!(fleet.post("/once/", "", &"x".repeat(10_001)).status, 413);
    let long = format!("X-Long: {}\r\n", "x".repeat(20_000));
    assert_eq!(fleet.get("/safe/", &long).status, 431);
    assert_eq!(fleet.get("/safe/", "Content-Length: 7\r\n").status, 400);
    assert_eq!(exchange(fleet.callers, "no request\r\n\r\n").status, 400);
    assert_eq!(target.received().len(), 0);
}

#[test]
fn only_idempotent_requests_are_retried_after_an_unknown_outcome() {
    let cut = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nhalf";
    let (one, two) = (
        Target::start("one", vec![Action::SendAndClose(cut.to_owned())]),
        Target::start("two", vec![Action::SendAndClose(cut.to_owned())]),
    );
    let fleet = Fleet::ready("once", config(1), &[&one, &two]);
    let reply = fleet.post("/once/", "", "pay");
    assert_eq!(reply.status, 502, "it may have run, so the status must not say otherwise");
    assert_eq!(one.received().len() + two.received().len(), 1);
    let reply = fleet.get("/safe/", "");
    assert_eq!(reply.status, 502);
    assert_eq!(one.received().len() + two.received().len(), 3, "both were tried");
}

#[test]
fn a_request_that_was_not_run_is_retried_on_another_target() {
    let (full, free) =
        (Target::start("full", vec![Action::Send(not_run(503))]), healthy_target("free"));
    let fleet = Fleet::ready("notrun", config(1), &[&full, &free]);
    for _ in 0..6 {
        assert_eq!(fleet.post("/once/", "", "pay").body, "free");
    }
    let alone = Target::start("alone", vec![Action::Send(not_run(503))]);
    let fleet = Fleet::ready("allfull", config(1), &[&alone]);
    let reply = fleet.post("/once/", "", "pay");
    assert_eq!(reply.status, 503);
    assert!(reply.head.contains("Retry-After: 0."), "{}", reply.head);
}

#[test]
fn a_misdirected_request_is_retried_on_another_target() {
    let (moved, right) =
        (Target::start("moved", vec![Action::Send(not_run(421))]), healthy_target("right"));
    let fleet = Fleet::ready("moved", config(1), &[&moved, &right]);
    for _ in 0..4 {
        assert_eq!(fleet.post("/once/", "", "pay").body, "right");
    }
}

#[test]
fn a_response_to_another_request_is_discarded() {
    let foreign = response(200, "foreign").replace("{id}", "r0");
    let target =
        Target::start("one", vec![Action::Send(format!("{foreign}{}", response(200, "own")))]);
    let fleet = Fleet::ready("foreign", config(1), &[&target]);
    for _ in 0..3 {
        let reply = fleet.post("/once/", "", "pay");
        assert_eq!((reply.status, reply.body.as_str()), (200, "own"));
    }
}

#[test]
fn a_connection_with_unread_bytes_is_not_reused() {
    let target = Target::start(
        "one",
        vec![
            Action::Send(format!("{}{}", response(200, "first"), response(200, "again"))),
            Action::Send(response(200, "second")),
        ],
    );
    let fleet = Fleet::ready("leftover", config(1), &[&target]);
    assert_eq!(fleet.get("/safe/", "").body, "first");
    assert_eq!(fleet.get("/safe/", "").body, "second");
}

#[test]
fn an_unsigned_success_response_is_rejected() {
    let bare = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 2\r\n\r\nno";
    let (bad, ok) =
        (Target::start("bad", vec![Action::Send(bare.to_owned())]), healthy_target("ok"));
    let fleet = Fleet::ready("unsigned", config(1), &[&bad, &ok]);
    for _ in 0..4 {
        assert_eq!(fleet.get("/safe/", "").body, "ok");
    }
}

#[test]
fn an_error_response_is_forwarded_only_if_no_other_target_answers() {
    let (bad, ok) =
        (Target::start("bad", vec![Action::Send(response(500, "bad"))]), healthy_target("ok"));
    let fleet = Fleet::ready("failure", config(1), &[&bad, &ok]);
    for _ in 0..4 {
        assert_eq!(fleet.get("/safe/", "").body, "ok");
    }
    let alone = Target::start("alone", vec![Action::Send(response(503, "failed"))]);
    let fleet = Fleet::ready("failed-503", config(1), &[&alone]);
    assert_eq!(
        fleet.post("/once/", "", "pay").status,
        502,
        "it ran, so the status must not say otherwise"
    );
}

#[test]
fn a_broken_stream_resumes_on_another_engine_without_a_visible_break() {
    let broken = format!("{}{}5\r\nid: ", stream_head(), events(1..=3));
    // Long enough for the gateway to learn of the second engine.
    let time = Duration::from_millis(1_000);
    let first = Target::start("first", vec![Action::SendAndCloseAfter(broken, time)]);
    let rest = format!("{}{}0\r\n\r\n", stream_head(), events(4..=6));
    let second = Target::start("second", vec![Action::Send(rest)]);
    let fleet = Fleet::ready("resume", engine_config(1), &[&first]);
    let mut stream = TcpStream::connect(fleet.callers).expect("connects");
    let request = request("POST", "/stream/", "Prompt-Tokens: 50\r\n", "p");
    stream.write_all(request.as_bytes()).expect("sends");
    wait_until("the first engine has the request", || first.received().len() == 1);
    fleet.announce(&second, TargetState::Ready, 1);
    let reply = read_reply(&mut stream);
    let whole: String = (1..=6).map(|n| format!("id: {n}\ndata: part {n}\n\n")).collect();
    assert_eq!((reply.body.as_str(), reply.is_complete), (whole.as_str(), true));
    assert!(second.received()[0].contains("last-event-id: 3\r\n"));
}

#[test]
fn a_stream_that_cannot_be_resumed_is_not_terminated_as_complete() {
    let broken = format!("{}{}", stream_head(), events(1..=2));
    let only = Target::start("only", vec![Action::SendAndClose(broken)]);
    let fleet = Fleet::ready("cut", engine_config(1), &[&only]);
    let reply = fleet.post("/stream/", "Prompt-Tokens: 50\r\n", "p");
    assert_eq!(reply.status, 200);
    assert!(reply.body.ends_with("part 2\n\n") && !reply.is_complete, "{reply:?}");
}

#[test]
fn a_silent_engine_is_kept_until_another_takes_over() {
    let silent = format!("{}{}", stream_head(), events(1..=2));
    let only = Target::start("only", vec![Action::SendAndHang(silent)]);
    let fleet = Fleet::ready("silent", engine_config(1), &[&only]);
    let start = Instant::now();
    let reply = fleet.post("/stream/", "Prompt-Tokens: 50\r\nDeadline-Ms: 2600\r\n", "p");
    assert!(!reply.is_complete);
    assert!(start.elapsed() >= Duration::from_millis(2_500), "cut after {:?}", start.elapsed());
}

#[test]
fn a_request_ends_at_its_deadline_and_targets_get_the_remaining_time() {
    let silent = Target::start("silent", vec![Action::SendAndHang(String::new())]);
    let fleet = Fleet::ready("limit", config(1), &[&silent]);
    let start = Instant::now();
    assert_eq!(fleet.post("/once/", "Deadline-Ms: 700\r\n", "pay").status, 504);
    let took = start.elapsed();
    assert!(took >= Duration::from_millis(650), "{took:?}");
    assert!(
        took < Duration::from_millis(2_500),
        "ended only at the time limit of the route: {took:?}"
    );
    let received = silent.received().remove(0);
    let left = received.lines().find_map(|line| line.strip_prefix("deadline-ms: "));
    let left: u64 = left.and_then(|left| left.parse().ok()).expect("a deadline");
    assert!((300..=700).contains(&left), "{left}");
}

#[test]
fn a_target_connection_is_closed_when_the_caller_disconnects() {
    let silent = Target::start("silent", vec![Action::SendAndHang(String::new())]);
    let fleet = Fleet::ready("left", config(1), &[&silent]);
    let mut stream = TcpStream::connect(fleet.callers).expect("connects");
    stream.write_all(request("POST", "/once/", "", "pay").as_bytes()).expect("sends");
    wait_until("the target has the request", || silent.received().len() == 1);
    drop(stream);
    let start = Instant::now();
    wait_until("the target's connection ends", || silent.closed_connections() == 1);
    assert!(
        start.elapsed() < Duration::from_millis(2_500),
        "closed only at the time limit of the route"
    );
}

#[test]
fn a_draining_target_and_an_evacuated_zone_get_no_new_requests() {
    let target = healthy_target("one");
    let fleet = Fleet::ready("leaving", config(1), &[&target]);
    assert_eq!(fleet.get("/safe/", "").status, 200);
    fleet.announce(&target, TargetState::Draining, 2);
    wait_until("the gateway knows that the target is draining", || {
        fleet.get("/safe/", "Deadline-Ms: 200\r\n").status == 503
    });
    fleet.announce(&target, TargetState::Ready, 3);
    wait_until("the target is usable again", || fleet.get("/safe/", "").status == 200);
    fleet.call_registry(PublicRequest::Evacuate { zone: "z".into() });
    wait_until("the zone is evacuated", || {
        fleet.get("/safe/", "Deadline-Ms: 200\r\n").status == 503
    });
    let before = target.received().len();
    assert_eq!(fleet.get("/safe/", "Deadline-Ms: 200\r\n").status, 503);
    assert_eq!(target.received().len(), before);
    fleet.call_registry(PublicRequest::Restore { zone: "z".into() });
    wait_until("the zone is restored", || fleet.get("/safe/", "").status == 200);
}

#[test]
fn the_highest_configuration_version_is_in_force() {
    let target = healthy_target("one");
    let fleet = Fleet::ready("version", config(5), &[&target]);
    let mut without = config(7);
    without.routes.retain(|route| &*route.path_prefix != "/safe/");
    fleet.configure(without);
    wait_until("the route is gone", || fleet.get("/safe/", "").status == 404);
    fleet.configure(config(6));
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(fleet.get("/safe/", "").status, 404, "an older version replaced a newer one");
}

#[test]
fn a_request_waits_for_the_first_configuration() {
    let target = healthy_target("one");
    let fleet = Fleet::start("early");
    let callers = fleet.callers;
    wait_until("the port is open", || TcpStream::connect(callers).is_ok());
    let early = std::thread::spawn(move || exchange(callers, &request("GET", "/safe/", "", "")));
    fleet.announce(&target, TargetState::Ready, 1);
    fleet.configure(config(1));
    assert_eq!(early.join().expect("no panic").body, "one");
}

#[test]
fn a_stop_reports_not_ready_first_and_finishes_open_requests() {
    let slow = Target::start("slow", vec![Action::SendAndHang(String::new())]);
    let mut fleet = Fleet::ready("stop", config(1), &[&slow]);
    let mut stream = TcpStream::connect(fleet.callers).expect("connects");
    stream
        .write_all(request("POST", "/once/", "Deadline-Ms: 1500\r\n", "pay").as_bytes())
        .expect("sends");
    wait_until("the target has the request", || slow.received().len() == 1);
    fleet.stop_gateway();
    wait_until("the gateway is no longer ready", || {
        exchange(fleet.ready, "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n").status == 503
    });
    // Callers that the load balancer still sends are served, and the open request gets its response.
    assert_eq!(fleet.get("/nowhere/", "").status, 404);
    assert_eq!(read_reply(&mut stream).status, 504);
}

#[test]
fn a_request_late_in_a_stop_is_refused_immediately() {
    let slow = Target::start("slow", vec![Action::SendAndHang(String::new())]);
    let mut fleet = Fleet::ready("late-stop", config(1), &[&slow]);
    let mut stream = TcpStream::connect(fleet.callers).expect("connects");
    stream.write_all(request("POST", "/once/", "", "pay").as_bytes()).expect("sends");
    wait_until("the target has the request", || slow.received().len() == 1);
    fleet.stop_gateway();
    wait_until("new requests are refused", || {
        let reply = fleet.get("/safe/", "Deadline-Ms: 100\r\n");
        reply.status == 503 && reply.head.contains("Retry-After: 0.100")
    });
    assert_eq!(read_reply(&mut stream).status, 504, "an open request gets its response");
}

/// Guards against requests that are cut without an answer when the time of a stop is over.
#[test]
fn requests_still_open_at_the_end_of_a_stop_get_an_answer() {
    let slow = Target::start("slow", vec![Action::SendAndHang(String::new())]);
    let mut patient = config(1);
    for route in &mut patient.routes {
        route.timeout_ms = 30_000;
    }
    let mut fleet = Fleet::ready("stop-end", patient, &[&slow]);
    let open: Vec<TcpStream> = ["/once/", "/safe/", "/stream/"]
        .iter()
        .map(|path| {
            let mut stream = TcpStream::connect(fleet.callers).expect("connects");
            stream.write_all(request("POST", path, "", "pay").as_bytes()).expect("sends");
            stream
        })
        .collect();
    wait_until("the target has the requests", || slow.received().len() == 3);
    fleet.stop_gateway();
    for mut stream in open {
        let reply = read_reply(&mut stream);
        // They may have run, so the answer does not promise that they did not.
        assert!(matches!(reply.status, 502 | 504), "{reply:?}");
    }
}

/// Guards against a response that ends within its head or body and is passed on as a whole one.
#[test]
fn a_response_broken_off_anywhere_is_not_passed_on_as_whole() {
    let whole = response(200, "hello");
    let cuts: Vec<usize> = (0..whole.len()).filter(|cut| whole.is_char_boundary(*cut)).collect();
    let actions = cuts.iter().map(|cut| Action::SendAndClose(whole[..*cut].to_owned())).collect();
    let target = Target::start("one", actions);
    let fleet = Fleet::ready("cut-response", config(1), &[&target]);
    for cut in &cuts {
        let reply = fleet.post("/once/", "", "pay");
        assert!(reply.status >= 500, "cut at {cut}: {} {}", reply.head, reply.body);
    }
    assert!(target.received().len() > cuts.len() / 2, "{} requests", target.received().len());
}

/// Calls until connections are refused, sending each request some time after connecting. Returns the number of
/// requests that were sent and got no response.
fn call_until_refused(address: SocketAddr) -> usize {
    let mut unanswered = 0;
    while let Ok(mut stream) = TcpStream::connect(address) {
        std::thread::sleep(Duration::from_millis(20));
        let is_sent = stream.write_all(request("GET", "/safe/", "", "").as_bytes()).is_ok();
        if is_sent && read_reply(&mut stream).status == 0 {
            unanswered += 1;
        }
    }
    unanswered
}

#[test]
fn callers_connecting_until_the_end_of_a_stop_get_a_response() {
    let target = Target::start("one", vec![Action::Send(response(200, "one"))]);
    let mut fleet = Fleet::ready("stop-under-load", config(1), &[&target]);
    assert_eq!(fleet.get("/safe/", "").status, 200);
    fleet.stop_gateway();
    let callers = fleet.callers;
    let calls: Vec<_> =
        (0..4).map(|_| std::thread::spawn(move || call_until_refused(callers))).collect();
    let unanswered: usize = calls.into_iter().map(|calls| calls.join().expect("no panic")).sum();
    assert_eq!(unanswered, 0, "calls ended without a response");
}

#[test]
fn a_response_without_an_id_on_a_reused_connection_is_discarded() {
    // A late duplicate of the first response, which arrives when the connection has been reused.
    let late = response(200, "first").replace("Request-Id: {id}\r\n", "");
    let target = Target::start(
        "one",
        vec![
            Action::Send(response(200, "first")),
            Action::Send(format!("{late}{}", response(200, "second"))),
            Action::Send(response(200, "third")),
        ],
    );
    let fleet = Fleet::ready("no-id", config(1), &[&target]);
    assert_eq!(fleet.get("/safe/", "").body, "first");
    let second = fleet.get("/safe/", "");
    assert_ne!(second.body, "first", "this is the response to an earlier request");
    assert_eq!(fleet.get("/safe/", "").body, "third", "the connection is not reused");
}

/// Starts a stream on `first`, then announces `second`. Returns the reply and the time that it took.
fn stream_with_second_engine(
    name: &str,
    first: &Target,
    second: &Target,
    fields: &str,
) -> (Reply, Duration) {
    let mut config = engine_config(1);
    config.routes.iter_mut().for_each(|route| route.timeout_ms = 10_000);
    let fleet = Fleet::ready(name, config, &[first]);
    let mut stream = TcpStream::connect(fleet.callers).expect("connects");
    let fields = format!("Prompt-Tokens: 50\r\n{fields}");
    stream.write_all(request("POST", "/stream/", &fields, "p").as_bytes()).expect("sends");
    wait_until("the first engine has the request", || first.received().len() == 1);
    fleet.announce(second, TargetState::Ready, 1);
    let since = Instant::now();
    let reply = read_reply(&mut stream);
    (reply, since.elapsed())
}

/// An engine that resumes after the second event.
fn resuming_target(after: Duration) -> Target {
    let rest = format!("{}{}0\r\n\r\n", stream_head(), events(3..=4));
    Target::start("sound", vec![Action::SendAfter(rest, after)])
}

#[test]
fn a_stream_that_sends_only_comments_fails_over() {
    let pause = Duration::from_millis(100);
    for piece in ["1\r\n:\r\n", "3\r\n:\n\n\r\n"] {
        let prefix = format!("{}{}", stream_head(), events(1..=2));
        let action = Action::SendWithoutEnd(prefix, piece.to_owned(), pause);
        let stalled = Target::start("stalled", vec![action]);
        let sound = resuming_target(Duration::ZERO);
        let (reply, took) = stream_with_second_engine("stalled", &stalled, &sound, "");
        assert!(reply.is_complete && reply.body.ends_with("part 4\n\n"), "{reply:?}");
        assert!(took < Duration::from_millis(4_000), "{took:?}");
    }
}

#[test]
fn a_stream_with_slow_events_fails_over() {
    // Each event arrives after the silence timeout and before the other engine has started.
    let event = "9\r\ndata: x\n\n\r\n";
    let prefix = format!("{}{}", stream_head(), events(1..=2));
    let action = Action::SendWithoutEnd(prefix, event.to_owned(), Duration::from_millis(2_000));
    let slow = Target::start("slow", vec![action]);
    let sound = resuming_target(Duration::from_millis(1_000));
    let (reply, took) = stream_with_second_engine("too-slow", &slow, &sound, "");
    assert!(reply.is_complete && reply.body.ends_with("part 4\n\n"), "{reply:?}");
    assert!(took < Duration::from_millis(6_000), "{took:?}");
    assert_eq!(sound.received().len(), 1, "exactly one failover attempt, which is not cancelled");
    assert!(sound.received()[0].contains("last-event-id: 2\r\n"));
}

#[test]
fn a_slow_stream_is_not_aborted() {
    let event = "9\r\ndata: x\n\n\r\n";
    let action =
        Action::SendWithoutEnd(stream_head(), event.to_owned(), Duration::from_millis(1_200));
    let (slow, other) = (Target::start("slow", vec![action]), healthy_target("other"));
    let (reply, took) = stream_with_second_engine("slow", &slow, &other, "Deadline-Ms: 4500\r\n");
    assert!(!reply.is_complete && reply.body.matches("data: x").count() >= 3, "{reply:?}");
    assert!(took >= Duration::from_millis(4_200), "cut after {took:?}");
    assert_eq!(other.received().len(), 0, "no other engine was asked");
}

#[test]
fn a_caller_that_pauses_reading_gets_the_complete_response() {
    let long = "x".repeat(8 << 20);
    let target = Target::start("one", vec![Action::Send(response(200, &long))]);
    let fleet = Fleet::ready("pausing", config(1), &[&target]);
    let mut stream = TcpStream::connect(fleet.callers).expect("connects");
    stream.write_all(request("GET", "/safe/", "", "").as_bytes()).expect("sends");
    std::thread::sleep(Duration::from_millis(3_500));
    let reply = read_reply(&mut stream);
    assert!(reply.is_complete, "only {} bytes came", reply.body.len());
}

/// A response that says that its target is leaving.
fn leaving(response: &str) -> String {
    response.replacen("\r\n", "\r\nLeaving: 1\r\n", 1)
}

#[test]
fn a_target_that_says_it_is_leaving_gets_no_new_requests() {
    let (old, new) = (
        Target::start("old", vec![Action::Send(leaving(&response(200, "old")))]),
        healthy_target("new"),
    );
    let fleet = Fleet::ready("leaving", config(1), &[&old, &new]);
    wait_until("the old target has answered", || fleet.get("/safe/", "").body == "old");
    let before = old.received().len();
    for _ in 0..20 {
        assert_eq!(fleet.post("/once/", "", "pay").body, "new");
    }
    // Announcements of the same start change nothing.
    fleet.announce(&old, TargetState::Ready, 2);
    std::thread::sleep(Duration::from_millis(300));
    for _ in 0..20 {
        assert_eq!(fleet.get("/safe/", "").body, "new");
    }
    assert_eq!(old.received().len(), before);
    let restarted =
        mulberry_directory::TargetRecord { started_ms: 2, ..old.record(TargetState::Ready, 1) };
    fleet.call_registry(PublicRequest::Announce(restarted));
    wait_until("the restarted target is used", || fleet.get("/safe/", "").body == "old");
}

#[test]
fn an_engine_that_says_it_is_leaving_gets_no_new_streams() {
    let stream = format!("{}{}0\r\n\r\n", stream_head(), events(1..=2));
    let (old, new) = (
        Target::start("old", vec![Action::Send(leaving(&stream))]),
        Target::start("new", vec![Action::Send(stream.clone())]),
    );
    let fleet = Fleet::ready("leaving-engine", engine_config(1), &[&old]);
    let call = || fleet.post("/stream/", "Prompt-Tokens: 50\r\n", "p");
    wait_until("the old engine has answered", || call().is_complete);
    for _ in 0..5 {
        assert_eq!(call().status, 503);
    }
    fleet.announce(&new, TargetState::Ready, 1);
    wait_until("the new engine has answered", || call().status == 200);
    assert_eq!((old.received().len(), new.received().len()), (1, 1));
}

/// A response that refuses a request and asks for a pause.
fn refusal_with_pause(pause: Duration) -> String {
    let pause = format!("\r\nRetry-After-Ms: {}\r\n", pause.as_millis());
    not_run(503).replacen("\r\n", &pause, 1)
}

#[test]
fn a_target_that_asks_for_a_pause_gets_no_requests_until_its_end() {
    let pause = Duration::from_millis(2_000);
    let busy = Target::start("busy", vec![Action::Send(refusal_with_pause(pause))]);
    let free = healthy_target("free");
    let fleet = Fleet::ready("pause", config(1), &[&busy, &free]);
    wait_until("the busy target has refused a request", || {
        assert_eq!(fleet.post("/once/", "", "pay").body, "free");
        !busy.received().is_empty()
    });
    let start = Instant::now();
    while start.elapsed() < pause - Duration::from_millis(100) {
        assert_eq!(fleet.post("/once/", "", "pay").body, "free");
        assert_eq!(busy.received().len(), 1);
    }
    wait_until("the busy target is tried again", || {
        fleet.post("/once/", "", "pay");
        busy.received().len() > 1
    });
    assert!(start.elapsed() >= pause - Duration::from_millis(50));
}

#[test]
fn engines_that_ask_for_a_pause_are_not_sent_requests_and_callers_learn_how_long() {
    let refusal = refusal_with_pause(Duration::from_millis(3_000));
    let engines = ["a", "b"].map(|id| Target::start(id, vec![Action::Send(refusal.clone())]));
    let fleet = Fleet::ready("pause-all", engine_config(1), &[&engines[0], &engines[1]]);
    let call = || fleet.post("/stream/", "Prompt-Tokens: 50\r\n", "p");
    let received = || engines.iter().map(|engine| engine.received().len()).collect::<Vec<_>>();
    wait_until("both engines have refused", || {
        assert_eq!(call().status, 503);
        received() == [1, 1]
    });
    for _ in 0..20 {
        let reply = call();
        assert_eq!(reply.status, 503);
        let retry_after = reply.head.lines().find_map(|line| line.strip_prefix("Retry-After: "));
        let retry_after_s: f64 = retry_after.expect("a time").parse().expect("seconds");
        assert!((1.0..=3.0).contains(&retry_after_s), "{reply:?}");
    }
    assert_eq!(received(), [1, 1]);
}

#[test]
fn an_error_after_a_broken_stream_does_not_reach_the_caller_within_it() {
    let broken = format!("{}{}", stream_head(), events(1..=2));
    let unframed = "HTTP/1.1 500 S\r\nRequest-Id: {id}\r\nSigned: yes\r\n\r\nboom";
    let errors = [
        Action::Send(response(500, "boom")),
        Action::Send(not_run(503)),
        Action::SendAndClose(unframed.to_owned()),
        Action::SendAndClose(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nSigned: yes\r\n\r\n".to_owned(),
        ),
    ];
    for (number, error) in errors.into_iter().enumerate() {
        let time = Duration::from_millis(1_000);
        let first = Target::start("first", vec![Action::SendAndCloseAfter(broken.clone(), time)]);
        let second = Target::start("second", vec![error]);
        let fleet = Fleet::ready(&format!("error-{number}"), engine_config(1), &[&first]);
        let mut stream = TcpStream::connect(fleet.callers).expect("connects");
        let request = request("POST", "/stream/", "Prompt-Tokens: 50\r\n", "p");
        stream.write_all(request.as_bytes()).expect("sends");
        wait_until("the first engine has the request", || first.received().len() == 1);
        fleet.announce(&second, TargetState::Ready, 1);
        let reply = read_reply(&mut stream);
        assert_eq!(second.received().len(), 1);
        let events = "id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\n";
        assert_eq!((reply.status, reply.body.as_str()), (200, events), "case {number}");
        assert!(!reply.is_complete, "case {number}: {reply:?}");
    }
}

#[test]
fn a_refusal_that_is_sent_twice_is_not_taken_for_the_next_response() {
    let refusal = "HTTP/1.1 503 S\r\nRequest-Id: r1\r\nNot-Run: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n";
    let anonymous = refusal.replace("Request-Id: r1\r\n", "");
    let call = |fleet: &Fleet, id: &str| {
        let request = request("GET", "/safe/", "", "").replace("r1", id);
        exchange(fleet.callers, &request)
    };
    let target = Target::start(
        "one",
        vec![
            Action::Send(refusal.to_owned()),
            Action::Send(format!("{refusal}{}", response(200, "own"))),
            Action::Send(response(200, "kept")),
            Action::Send(format!("{anonymous}{}", response(200, "own"))),
        ],
    );
    let fleet = Fleet::ready("twice", config(1), &[&target]);
    assert_eq!(call(&fleet, "r1").status, 503);
    assert_eq!(call(&fleet, "r2").body, "own", "the refusal names another request");
    assert_eq!(call(&fleet, "r3").body, "kept");
    let reply = call(&fleet, "r4");
    assert_eq!(reply.status, 502, "it may have run: {reply:?}");
}

#[test]
fn an_unframed_stream_ends_with_its_connection() {
    let head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nSigned: yes\r\nContent-Type: text/event-stream\r\n\r\n";
    let event = "id: 1\ndata: part 1\n\n";
    let cases = [
        (format!("{head}{event}"), (200, true)),
        (format!("{head}{event}id: 2\nda"), (200, false)),
        (head.to_owned(), (502, true)),
    ];
    for (number, (stream, expected)) in cases.into_iter().enumerate() {
        let engine = Target::start("one", vec![Action::SendAndClose(stream)]);
        let fleet = Fleet::ready(&format!("unframed-{number}"), engine_config(1), &[&engine]);
        let reply = fleet.post("/stream/", "Prompt-Tokens: 50\r\n", "p");
        assert_eq!((reply.status, reply.is_complete), expected, "case {number}: {reply:?}");
    }
}

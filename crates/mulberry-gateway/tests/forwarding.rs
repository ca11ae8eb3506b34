//! Requests from a caller through the gateway to targets and back.

mod common;

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use common::{
    Act, Fleet, Reply, Target, answer, config, engine_config, events, exchange, not_run,
    read_reply, request, stream_head, until,
};
use mulberry_directory::TargetState;
use mulberry_registry::PublicRequest;

fn good(id: &'static str) -> Target {
    Target::start(id, vec![Act::Send(answer(200, id))])
}

#[test]
fn a_request_reaches_its_target_unchanged_but_for_what_the_gateway_sets() {
    let target = good("one");
    let fleet = Fleet::ready("unchanged", config(1), &[&target]);
    let reply = fleet.post("/once/a%20b?c=d", "X-Own: kept\r\nTenant: forged\r\nTE: x\r\n", "body");
    assert_eq!((reply.status, reply.body.as_str(), reply.is_whole), (200, "one", true));
    let seen = target.seen().remove(0);
    assert!(seen.starts_with("POST /once/a%20b?c=d HTTP/1.1\r\n"), "{seen}");
    for kept in
        ["Host: h\r\n", "X-Own: kept\r\n", "tenant: t\r\n", "target: one\r\n", "\r\n\r\nbody"]
    {
        assert!(seen.contains(kept), "{kept:?} is missing in {seen}");
    }
    for removed in ["Key:", "forged", "TE:", "Connection:"] {
        assert!(!seen.contains(removed), "{removed:?} is left in {seen}");
    }
}

#[test]
fn what_no_configuration_allows_is_refused_without_a_target() {
    let target = good("one");
    let fleet = Fleet::ready("refused", config(1), &[&target]);
    assert_eq!(fleet.get("/nowhere/", "").status, 404);
    let no_key = "GET /safe/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    assert_eq!(exchange(fleet.callers, no_key).status, 401);
    assert_eq!(fleet.post("/once/", "", &"x".repeat(10_001)).status, 413);
    let long = format!("X-Long: {}\r\n", "x".repeat(20_000));
    assert_eq!(fleet.get("/safe/", &long).status, 431);
    assert_eq!(fleet.get("/safe/", "Content-Length: 7\r\n").status, 400);
    assert_eq!(exchange(fleet.callers, "no request\r\n\r\n").status, 400);
    assert_eq!(target.seen().len(), 0);
}

#[test]
fn only_what_may_be_repeated_is_sent_again_after_an_unknown_end() {
    let cut = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nhalf";
    let (one, two) = (
        Target::start("one", vec![Act::SendAndClose(cut.to_owned())]),
        Target::start("two", vec![Act::SendAndClose(cut.to_owned())]),
    );
    let fleet = Fleet::ready("once", config(1), &[&one, &two]);
    let reply = fleet.post("/once/", "", "pay");
    assert_eq!(reply.status, 502, "it may have run, so nothing is promised");
    assert_eq!(one.seen().len() + two.seen().len(), 1);
    let reply = fleet.get("/safe/", "");
    assert_eq!(reply.status, 502);
    assert_eq!(one.seen().len() + two.seen().len(), 3, "both were tried");
}

#[test]
fn a_target_that_did_not_run_the_request_is_followed_by_another() {
    let (full, free) = (Target::start("full", vec![Act::Send(not_run(503))]), good("free"));
    let fleet = Fleet::ready("notrun", config(1), &[&full, &free]);
    for _ in 0..6 {
        assert_eq!(fleet.post("/once/", "", "pay").body, "free");
    }
    let alone = Target::start("alone", vec![Act::Send(not_run(503))]);
    let fleet = Fleet::ready("allfull", config(1), &[&alone]);
    let reply = fleet.post("/once/", "", "pay");
    assert_eq!(reply.status, 503);
    assert!(reply.head.contains("Retry-After: 0."), "{}", reply.head);
}

#[test]
fn another_server_at_the_address_is_no_reason_to_fail() {
    let (moved, right) = (Target::start("moved", vec![Act::Send(not_run(421))]), good("right"));
    let fleet = Fleet::ready("moved", config(1), &[&moved, &right]);
    for _ in 0..4 {
        assert_eq!(fleet.post("/once/", "", "pay").body, "right");
    }
}

#[test]
fn an_answer_to_another_request_reaches_nobody() {
    let foreign = answer(200, "foreign").replace("{id}", "r0");
    let target = Target::start("one", vec![Act::Send(format!("{foreign}{}", answer(200, "own")))]);
    let fleet = Fleet::ready("foreign", config(1), &[&target]);
    for _ in 0..3 {
        let reply = fleet.post("/once/", "", "pay");
        assert_eq!((reply.status, reply.body.as_str()), (200, "own"));
    }
}

#[test]
fn a_connection_with_bytes_left_over_is_not_used_again() {
    let target = Target::start(
        "one",
        vec![
            Act::Send(format!("{}{}", answer(200, "first"), answer(200, "again"))),
            Act::Send(answer(200, "second")),
        ],
    );
    let fleet = Fleet::ready("leftover", config(1), &[&target]);
    assert_eq!(fleet.get("/safe/", "").body, "first");
    assert_eq!(fleet.get("/safe/", "").body, "second");
}

#[test]
fn an_unsigned_success_is_no_answer() {
    let bare = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 2\r\n\r\nno";
    let (bad, ok) = (Target::start("bad", vec![Act::Send(bare.to_owned())]), good("ok"));
    let fleet = Fleet::ready("unsigned", config(1), &[&bad, &ok]);
    for _ in 0..4 {
        assert_eq!(fleet.get("/safe/", "").body, "ok");
    }
}

#[test]
fn a_failure_of_a_target_is_passed_on_only_when_no_other_answers() {
    let (bad, ok) = (Target::start("bad", vec![Act::Send(answer(500, "bad"))]), good("ok"));
    let fleet = Fleet::ready("failure", config(1), &[&bad, &ok]);
    for _ in 0..4 {
        assert_eq!(fleet.get("/safe/", "").body, "ok");
    }
    let alone = Target::start("alone", vec![Act::Send(answer(503, "not a promise"))]);
    let fleet = Fleet::ready("promise", config(1), &[&alone]);
    assert_eq!(fleet.post("/once/", "", "pay").status, 502, "it ran: no promise that it did not");
}

#[test]
fn a_broken_stream_goes_on_at_another_engine_as_one() {
    let broken = format!("{}{}5\r\nid: ", stream_head(), events(1..=3));
    // Long enough for the gateway to hear of the second engine.
    let time = Duration::from_millis(1_000);
    let first = Target::start("first", vec![Act::SendAndCloseAfter(broken, time)]);
    let rest = format!("{}{}0\r\n\r\n", stream_head(), events(4..=6));
    let second = Target::start("second", vec![Act::Send(rest)]);
    let fleet = Fleet::ready("resume", engine_config(1), &[&first]);
    let mut stream = TcpStream::connect(fleet.callers).expect("connects");
    let request = request("POST", "/stream/", "Prompt-Tokens: 50\r\n", "p");
    stream.write_all(request.as_bytes()).expect("sends");
    until("the first engine has the request", || first.seen().len() == 1);
    fleet.announce(&second, TargetState::Ready, 1);
    let reply = read_reply(&mut stream);
    let whole: String = (1..=6).map(|n| format!("id: {n}\ndata: part {n}\n\n")).collect();
    assert_eq!((reply.body.as_str(), reply.is_whole), (whole.as_str(), true));
    assert!(second.seen()[0].contains("last-event-id: 3\r\n"));
}

#[test]
fn a_stream_that_cannot_go_on_does_not_look_complete() {
    let broken = format!("{}{}", stream_head(), events(1..=2));
    let only = Target::start("only", vec![Act::SendAndClose(broken)]);
    let fleet = Fleet::ready("cut", engine_config(1), &[&only]);
    let reply = fleet.post("/stream/", "Prompt-Tokens: 50\r\n", "p");
    assert_eq!(reply.status, 200);
    assert!(reply.body.ends_with("part 2\n\n") && !reply.is_whole, "{reply:?}");
}

#[test]
fn a_silent_engine_is_kept_until_another_has_taken_over() {
    let silent = format!("{}{}", stream_head(), events(1..=2));
    let only = Target::start("only", vec![Act::SendAndHang(silent)]);
    let fleet = Fleet::ready("silent", engine_config(1), &[&only]);
    let begin = Instant::now();
    let reply = fleet.post("/stream/", "Prompt-Tokens: 50\r\nDeadline-Ms: 2600\r\n", "p");
    assert!(!reply.is_whole);
    assert!(begin.elapsed() >= Duration::from_millis(2_500), "cut after {:?}", begin.elapsed());
}

#[test]
fn a_request_is_answered_at_its_time_limit_and_targets_get_what_is_left() {
    let silent = Target::start("silent", vec![Act::SendAndHang(String::new())]);
    let fleet = Fleet::ready("limit", config(1), &[&silent]);
    let begin = Instant::now();
    assert_eq!(fleet.post("/once/", "Deadline-Ms: 700\r\n", "pay").status, 504);
    let took = begin.elapsed();
    assert!(took >= Duration::from_millis(650), "{took:?}");
    assert!(took < Duration::from_millis(2_500), "not by the time limit of the route: {took:?}");
    let seen = silent.seen().remove(0);
    let left = seen.lines().find_map(|line| line.strip_prefix("deadline-ms: "));
    let left: u64 = left.and_then(|left| left.parse().ok()).expect("a deadline");
    assert!((300..=700).contains(&left), "{left}");
}

#[test]
fn a_target_hears_that_its_caller_has_left() {
    let silent = Target::start("silent", vec![Act::SendAndHang(String::new())]);
    let fleet = Fleet::ready("left", config(1), &[&silent]);
    let mut stream = TcpStream::connect(fleet.callers).expect("connects");
    stream.write_all(request("POST", "/once/", "", "pay").as_bytes()).expect("sends");
    until("the target has the request", || silent.seen().len() == 1);
    drop(stream);
    let begin = Instant::now();
    until("the target's connection ends", || silent.closed() == 1);
    assert!(begin.elapsed() < Duration::from_millis(2_500), "not by the time limit of the route");
}

#[test]
fn a_leaving_target_and_an_evacuated_zone_get_nothing_new() {
    let target = good("one");
    let fleet = Fleet::ready("leaving", config(1), &[&target]);
    assert_eq!(fleet.get("/safe/", "").status, 200);
    fleet.announce(&target, TargetState::Draining, 2);
    until("the gateway knows that it leaves", || {
        fleet.get("/safe/", "Deadline-Ms: 200\r\n").status == 503
    });
    fleet.announce(&target, TargetState::Ready, 3);
    until("it is back", || fleet.get("/safe/", "").status == 200);
    fleet.call(PublicRequest::Evacuate { zone: "z".into() });
    until("the zone is out", || fleet.get("/safe/", "Deadline-Ms: 200\r\n").status == 503);
    let before = target.seen().len();
    assert_eq!(fleet.get("/safe/", "Deadline-Ms: 200\r\n").status, 503);
    assert_eq!(target.seen().len(), before);
    fleet.call(PublicRequest::Restore { zone: "z".into() });
    until("the zone is back", || fleet.get("/safe/", "").status == 200);
}

#[test]
fn the_highest_version_is_in_force() {
    let target = good("one");
    let fleet = Fleet::ready("version", config(5), &[&target]);
    let mut without = config(7);
    without.routes.retain(|route| &*route.path_prefix != "/safe/");
    fleet.configure(without);
    until("the route is gone", || fleet.get("/safe/", "").status == 404);
    fleet.configure(config(6));
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(fleet.get("/safe/", "").status, 404, "an older version came back");
}

#[test]
fn a_request_before_the_first_configuration_is_held_for_it() {
    let target = good("one");
    let fleet = Fleet::start("early");
    let callers = fleet.callers;
    until("the port is open", || TcpStream::connect(callers).is_ok());
    let early = std::thread::spawn(move || exchange(callers, &request("GET", "/safe/", "", "")));
    fleet.announce(&target, TargetState::Ready, 1);
    fleet.configure(config(1));
    assert_eq!(early.join().expect("no panic").body, "one");
}

#[test]
fn a_stop_finishes_what_was_begun_and_tells_the_balancer_first() {
    let slow = Target::start("slow", vec![Act::SendAndHang(String::new())]);
    let mut fleet = Fleet::ready("stop", config(1), &[&slow]);
    let mut stream = TcpStream::connect(fleet.callers).expect("connects");
    stream
        .write_all(request("POST", "/once/", "Deadline-Ms: 1500\r\n", "pay").as_bytes())
        .expect("sends");
    until("the target has the request", || slow.seen().len() == 1);
    fleet.stop_gateway();
    until("it is no longer ready", || {
        exchange(fleet.ready, "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n").status == 503
    });
    // Callers that the balancer still sends are served, and the begun request gets its end.
    assert_eq!(fleet.get("/nowhere/", "").status, 404);
    assert_eq!(read_reply(&mut stream).status, 504);
}

#[test]
fn a_request_late_in_a_stop_is_refused_at_once_instead_of_cut() {
    let slow = Target::start("slow", vec![Act::SendAndHang(String::new())]);
    let mut fleet = Fleet::ready("late-stop", config(1), &[&slow]);
    let mut stream = TcpStream::connect(fleet.callers).expect("connects");
    stream.write_all(request("POST", "/once/", "", "pay").as_bytes()).expect("sends");
    until("the target has the request", || slow.seen().len() == 1);
    fleet.stop_gateway();
    until("new requests are refused", || {
        let reply = fleet.get("/safe/", "Deadline-Ms: 100\r\n");
        reply.status == 503 && reply.head.contains("Retry-After: 0.100")
    });
    assert_eq!(read_reply(&mut stream).status, 504, "what was begun gets its end");
}

/// Calls until nobody listens any more, each time some time after it has connected. Returns how many calls got no answer
/// although they were sent.
fn call_until_closed(address: SocketAddr) -> usize {
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
fn callers_that_come_until_the_end_of_a_stop_are_answered() {
    let target = Target::start("one", vec![Act::Send(answer(200, "one"))]);
    let mut fleet = Fleet::ready("stop-under-load", config(1), &[&target]);
    assert_eq!(fleet.get("/safe/", "").status, 200);
    fleet.stop_gateway();
    let callers = fleet.callers;
    let calls: Vec<_> =
        (0..4).map(|_| std::thread::spawn(move || call_until_closed(callers))).collect();
    let unanswered: usize = calls.into_iter().map(|calls| calls.join().expect("no panic")).sum();
    assert_eq!(unanswered, 0, "calls were cut without an answer");
}

#[test]
fn an_answer_without_an_id_on_a_used_connection_reaches_nobody() {
    // As a second copy of the first answer that comes late, when the connection is in use again.
    let late = answer(200, "first").replace("Request-Id: {id}\r\n", "");
    let target = Target::start(
        "one",
        vec![
            Act::Send(answer(200, "first")),
            Act::Send(format!("{late}{}", answer(200, "second"))),
            Act::Send(answer(200, "third")),
        ],
    );
    let fleet = Fleet::ready("no-id", config(1), &[&target]);
    assert_eq!(fleet.get("/safe/", "").body, "first");
    let second = fleet.get("/safe/", "");
    assert_ne!(second.body, "first", "the answer to an earlier request");
    assert_eq!(fleet.get("/safe/", "").body, "third", "its connection is not used again");
}

/// Starts a stream at `first`, makes `second` known, and returns the answer with the time that it took.
fn stream_beside(name: &str, first: &Target, second: &Target, fields: &str) -> (Reply, Duration) {
    let mut config = engine_config(1);
    config.routes.iter_mut().for_each(|route| route.timeout_ms = 10_000);
    let fleet = Fleet::ready(name, config, &[first]);
    let mut stream = TcpStream::connect(fleet.callers).expect("connects");
    let fields = format!("Prompt-Tokens: 50\r\n{fields}");
    stream.write_all(request("POST", "/stream/", &fields, "p").as_bytes()).expect("sends");
    until("the first engine has the request", || first.seen().len() == 1);
    fleet.announce(second, TargetState::Ready, 1);
    let since = Instant::now();
    let reply = read_reply(&mut stream);
    (reply, since.elapsed())
}

/// An engine that goes on after the second event.
fn going_on(after: Duration) -> Target {
    let rest = format!("{}{}0\r\n\r\n", stream_head(), events(3..=4));
    Target::start("sound", vec![Act::SendAfter(rest, after)])
}

#[test]
fn a_stalled_stream_that_sends_a_byte_now_and_then_goes_on_elsewhere() {
    let pause = Duration::from_millis(100);
    for piece in ["1\r\n:\r\n", "3\r\n:\n\n\r\n"] {
        let begin = format!("{}{}", stream_head(), events(1..=2));
        let act = Act::SendWithoutEnd(begin, piece.to_owned(), pause);
        let stalled = Target::start("stalled", vec![act]);
        let sound = going_on(Duration::ZERO);
        let (reply, took) = stream_beside("stalled", &stalled, &sound, "");
        assert!(reply.is_whole && reply.body.ends_with("part 4\n\n"), "{reply:?}");
        assert!(took < Duration::from_millis(4_000), "{took:?}");
    }
}

#[test]
fn a_stream_that_goes_on_too_slowly_goes_on_elsewhere_although_events_still_come() {
    // Each event comes after the patience, and before the other engine has begun.
    let event = "9\r\ndata: x\n\n\r\n";
    let begin = format!("{}{}", stream_head(), events(1..=2));
    let act = Act::SendWithoutEnd(begin, event.to_owned(), Duration::from_millis(2_000));
    let slow = Target::start("slow", vec![act]);
    let sound = going_on(Duration::from_millis(1_000));
    let (reply, took) = stream_beside("too-slow", &slow, &sound, "");
    assert!(reply.is_whole && reply.body.ends_with("part 4\n\n"), "{reply:?}");
    assert!(took < Duration::from_millis(6_000), "{took:?}");
    assert_eq!(sound.seen().len(), 1, "one attempt, which is not withdrawn");
    assert!(sound.seen()[0].contains("last-event-id: 2\r\n"));
}

#[test]
fn a_slow_but_sound_stream_is_not_cut() {
    let event = "9\r\ndata: x\n\n\r\n";
    let act = Act::SendWithoutEnd(stream_head(), event.to_owned(), Duration::from_millis(1_200));
    let (slow, other) = (Target::start("slow", vec![act]), good("other"));
    let (reply, took) = stream_beside("slow", &slow, &other, "Deadline-Ms: 4500\r\n");
    assert!(!reply.is_whole && reply.body.matches("data: x").count() >= 3, "{reply:?}");
    assert!(took >= Duration::from_millis(4_200), "cut after {took:?}");
    assert_eq!(other.seen().len(), 0, "no other engine was asked");
}

#[test]
fn a_caller_that_pauses_reading_gets_its_whole_answer() {
    let long = "x".repeat(8 << 20);
    let target = Target::start("one", vec![Act::Send(answer(200, &long))]);
    let fleet = Fleet::ready("pausing", config(1), &[&target]);
    let mut stream = TcpStream::connect(fleet.callers).expect("connects");
    stream.write_all(request("GET", "/safe/", "", "").as_bytes()).expect("sends");
    std::thread::sleep(Duration::from_millis(3_500));
    let reply = read_reply(&mut stream);
    assert!(reply.is_whole, "only {} bytes came", reply.body.len());
}

//! Outcomes of calls, queues, pushes, reconnects and the fault switch.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use mulberry_peers::{
    Call, ConnectionId, FaultDirection, LinkFault, LinkFaults, NotSentReason, PeerClient,
    PeerClientSettings, PeerError, PeerServer, PeerServerSettings, PushError, Responder,
    UnknownReason,
};
use rand::{Rng, SeedableRng};
use support::{Client, SOON, TestServer, client, listen, secret, wait_until};

const BRIEF: Duration = Duration::from_millis(100);

fn with_faults(faults: &LinkFaults) -> PeerClientSettings {
    PeerClientSettings { faults: faults.clone(), ..PeerClientSettings::default() }
}

type Parked = Arc<Mutex<Vec<(Call<u64>, Responder<u64>)>>>;

/// A server that keeps the responder of each call.
fn parking_server() -> (PeerServer<u64, u64>, Parked) {
    let parked = Parked::default();
    let for_handler = parked.clone();
    let handler = move |call, responder| for_handler.lock().unwrap().push((call, responder));
    let settings = PeerServerSettings::default();
    (PeerServer::start(listen(), secret(), settings, handler).unwrap(), parked)
}

/// Guards against answers that are mixed up between threads.
#[test]
fn each_thread_gets_its_own_replies() {
    let server = TestServer::start(PeerServerSettings::default());
    let client = client(server.address(), PeerClientSettings::default());
    std::thread::scope(|scope| {
        for thread in 0..8_u64 {
            let client = &client;
            scope.spawn(move || {
                for number in 0..200 {
                    let request = thread * 1_000 + number;
                    assert_eq!(client.call(&request, SOON), Ok(request + 1));
                }
            });
        }
    });
    assert_eq!(server.server.stats().connections_opened.load(Ordering::Relaxed), 1);
}

/// Guards against a slow call that blocks the others of its connection.
#[test]
fn replies_may_come_in_any_order_from_any_thread() {
    let (server, parked) = parking_server();
    let client: Client = client(server.local_address(), PeerClientSettings::default());
    std::thread::scope(|scope| {
        let first = scope.spawn(|| client.call(&1, SOON));
        wait_until("first call", || parked.lock().unwrap().len() == 1);
        let second = scope.spawn(|| client.call(&2, SOON));
        wait_until("second call", || parked.lock().unwrap().len() == 2);
        for (call, responder) in parked.lock().unwrap().drain(..).rev() {
            scope.spawn(move || responder.send(&(call.request * 10)).unwrap());
        }
        assert_eq!(first.join().unwrap(), Ok(10));
        assert_eq!(second.join().unwrap(), Ok(20));
    });
}

/// Guards against a "not sent" for a call that is written later, and for one that ran.
#[test]
fn a_timeout_in_the_queue_is_not_sent_and_after_the_write_unknown() {
    let server = TestServer::start(PeerServerSettings::default());
    let faults = LinkFaults::default();
    let frozen = client(server.address(), with_faults(&faults));
    assert_eq!(frozen.call(&1, SOON), Ok(2));
    faults.set(server.address(), FaultDirection::ToPeer, Some(LinkFault::Freeze));
    assert_eq!(frozen.call(&100, BRIEF), Err(PeerError::NotSent(NotSentReason::Timeout)));
    faults.clear();
    assert_eq!(frozen.call(&3, SOON), Ok(4));
    assert_eq!(server.seen(), [1, 3]);

    let (server, parked) = parking_server();
    let unanswered = client(server.local_address(), PeerClientSettings::default());
    let outcome = unanswered.call(&1, Duration::from_secs(1));
    assert_eq!(outcome, Err(PeerError::OutcomeUnknown(UnknownReason::Timeout)));
    // A late reply must not end another call.
    let (_, late) = parked.lock().unwrap().pop().unwrap();
    late.send(&5).unwrap();
    std::thread::scope(|scope| {
        let next = scope.spawn(|| unanswered.call(&2, SOON));
        wait_until("second call", || !parked.lock().unwrap().is_empty());
        let (_, responder) = parked.lock().unwrap().pop().unwrap();
        responder.send(&6).unwrap();
        assert_eq!(next.join().unwrap(), Ok(6));
    });
}

/// Guards against a refusal "not run" for a call that ran (R6), with cuts, freezes and delays.
#[test]
fn a_call_that_was_not_sent_never_arrives() {
    let server = TestServer::start(PeerServerSettings::default());
    let faults = LinkFaults::default();
    let settings =
        PeerClientSettings { min_backoff_ms: 1, max_backoff_ms: 2, ..with_faults(&faults) };
    let client = client(server.address(), settings);
    let outcomes = Mutex::new(Vec::new());
    let is_done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let disturber = scope.spawn(|| {
            let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(7);
            while !is_done.load(Ordering::Relaxed) {
                let fault = match random.random_range(0..5) {
                    0 => Some(LinkFault::Freeze),
                    1 => Some(LinkFault::Delay(Duration::from_millis(2))),
                    2 => Some(LinkFault::Drop),
                    _ => None,
                };
                faults.set(server.address(), FaultDirection::ToPeer, fault);
                if random.random_bool(0.3) {
                    let newest = server.server.stats().connections_opened.load(Ordering::Relaxed);
                    for id in newest.saturating_sub(2)..newest + 20 {
                        server.server.pusher().disconnect(ConnectionId(id));
                    }
                }
                std::thread::sleep(Duration::from_millis(random.random_range(1..8)));
            }
            faults.clear();
        });
        let callers: Vec<_> = (0..4_u64)
            .map(|thread| {
                let (client, outcomes) = (&client, &outcomes);
                scope.spawn(move || {
                    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(thread);
                    for number in 0..400 {
                        let request = thread * 1_000 + number;
                        let timeout = Duration::from_micros(random.random_range(0..3_000));
                        let outcome = client.call(&request, timeout);
                        outcomes.lock().unwrap().push((request, outcome));
                    }
                })
            })
            .collect();
        for caller in callers {
            caller.join().unwrap();
        }
        is_done.store(true, Ordering::Relaxed);
        disturber.join().unwrap();
    });
    // Whatever is still under way arrives before this call is answered or the connection ends.
    wait_until("a call succeeds", || client.call(&999_999, SOON).is_ok());
    let seen = server.seen();
    let times = |request| seen.iter().filter(|seen| **seen == request).count();
    let (mut not_sent, mut unknown, mut answered) = (0, 0, 0);
    for (request, outcome) in outcomes.into_inner().unwrap() {
        match outcome {
            Ok(reply) => {
                answered += 1;
                assert_eq!((reply, times(request)), (request + 1, 1));
            }
            Err(PeerError::NotSent(_)) => {
                not_sent += 1;
                assert_eq!(times(request), 0, "call {request} arrived");
            }
            Err(PeerError::OutcomeUnknown(_)) => {
                unknown += 1;
                assert!(times(request) <= 1, "call {request} arrived twice");
            }
        }
    }
    println!("answered={answered} not_sent={not_sent} unknown={unknown}");
    assert!(not_sent > 0 && answered > 0, "the disturbance did not reach all cases");
}

/// Guards against calls that wait for their whole timeout although the outcome is known earlier.
#[test]
fn calls_end_early_when_the_outcome_is_known() {
    // Tests get higher ports only.
    let unused = SocketAddr::from(([127, 0, 0, 1], 1));
    let unreachable = client(unused, PeerClientSettings::default());
    let error = unreachable.call(&1, SOON).unwrap_err();
    assert!(matches!(error, PeerError::NotSent(NotSentReason::Unreachable { .. })), "{error}");

    // Accepts connections in its backlog but never answers the handshake.
    let silent = listen();
    let waiting = client(silent.local_addr().unwrap(), PeerClientSettings::default());
    assert_eq!(waiting.call(&1, BRIEF), Err(PeerError::NotSent(NotSentReason::Timeout)));

    let (server, parked) = parking_server();
    let client = client(server.local_address(), PeerClientSettings::default());
    std::thread::scope(|scope| {
        let no_reply = scope.spawn(|| client.call(&1, SOON));
        wait_until("call", || !parked.lock().unwrap().is_empty());
        parked.lock().unwrap().clear();
        let expected = Err(PeerError::OutcomeUnknown(UnknownReason::NoReply));
        assert_eq!(no_reply.join().unwrap(), expected);

        let cut = scope.spawn(|| client.call(&2, SOON));
        wait_until("call", || !parked.lock().unwrap().is_empty());
        let connection = parked.lock().unwrap()[0].0.connection;
        server.pusher().disconnect(connection);
        let expected = Err(PeerError::OutcomeUnknown(UnknownReason::Disconnected));
        assert_eq!(cut.join().unwrap(), expected);

        parked.lock().unwrap().clear();
        let closed = scope.spawn(|| client.call(&3, SOON));
        wait_until("call", || !parked.lock().unwrap().is_empty());
        client.close();
        let expected = Err(PeerError::OutcomeUnknown(UnknownReason::Closed));
        assert_eq!(closed.join().unwrap(), expected);
    });
    assert_eq!(client.call(&4, SOON), Err(PeerError::NotSent(NotSentReason::Closed)));
    assert_eq!(client.send(&4), Err(PeerError::NotSent(NotSentReason::Closed)));
}

/// Guards against a link that is cut without a reset and goes unnoticed.
#[test]
fn a_silent_cut_is_noticed() {
    for direction in [FaultDirection::ToPeer, FaultDirection::FromPeer, FaultDirection::Both] {
        let server = TestServer::start(PeerServerSettings::default());
        let faults = LinkFaults::default();
        let client = client(server.address(), with_faults(&faults));
        assert_eq!(client.call(&1, SOON), Ok(2));
        faults.set(server.address(), direction, Some(LinkFault::Drop));
        let began = Instant::now();
        let outcome = client.call(&2, SOON);
        assert_eq!(outcome, Err(PeerError::OutcomeUnknown(UnknownReason::Disconnected)));
        assert!(began.elapsed() < SOON / 2, "{:?}", began.elapsed());
        assert!(client.call(&3, SOON).unwrap_err().is_not_sent(), "no connection during the cut");
        faults.clear();
        wait_until("reconnected", || client.call(&4, SOON) == Ok(5));
        assert_eq!(client.stats().silent_connections.load(Ordering::Relaxed), 1);
    }
}

/// Guards against faults that hit the wrong process or direction on the server's side.
#[test]
fn a_server_applies_faults_by_advertised_address() {
    let faults = LinkFaults::default();
    let settings = PeerServerSettings { faults: faults.clone(), ..PeerServerSettings::default() };
    let server = TestServer::start(settings);
    let named = |port| {
        let advertised_address = Some(SocketAddr::from(([127, 0, 0, 1], port)));
        let settings = PeerClientSettings { advertised_address, ..PeerClientSettings::default() };
        client(server.address(), settings)
    };
    let (cut, good) = (named(7), named(8));
    assert_eq!(cut.call(&1, SOON), Ok(2));
    assert_eq!(good.call(&1, SOON), Ok(2));
    let address = SocketAddr::from(([127, 0, 0, 1], 7));
    faults.set(address, FaultDirection::FromPeer, Some(LinkFault::Drop));
    let outcome = cut.call(&50, Duration::from_millis(700));
    assert_eq!(outcome, Err(PeerError::OutcomeUnknown(UnknownReason::Timeout)));
    faults.set(address, FaultDirection::FromPeer, None);
    faults.set(address, FaultDirection::ToPeer, Some(LinkFault::Delay(BRIEF)));
    let began = Instant::now();
    wait_until("delayed reply", || cut.call(&60, SOON) == Ok(61));
    assert!(began.elapsed() >= BRIEF);
    assert_eq!(good.call(&2, SOON), Ok(3));
    assert!(!server.seen().contains(&50));
}

/// Guards against a sender that blocks, or a queue that grows without bound.
#[test]
fn a_full_queue_of_the_client_refuses_at_once() {
    let server = TestServer::start(PeerServerSettings::default());
    let faults = LinkFaults::default();
    let settings = PeerClientSettings { max_queued_messages: 3, ..with_faults(&faults) };
    let client = client(server.address(), settings);
    assert_eq!(client.call(&1, SOON), Ok(2));
    faults.set(server.address(), FaultDirection::ToPeer, Some(LinkFault::Freeze));
    for number in [10, 11, 12] {
        client.send(&number).unwrap();
    }
    assert_eq!(client.send(&13), Err(PeerError::NotSent(NotSentReason::QueueFull)));
    assert_eq!(client.call(&14, SOON), Err(PeerError::NotSent(NotSentReason::QueueFull)));
    faults.clear();
    wait_until("queued messages", || server.seen() == [1, 10, 11, 12]);
}

/// Guards against a push that blocks on a client which does not read, and a missing notice.
#[test]
fn a_connection_that_does_not_drain_is_closed() {
    let (calls, called) = crossbeam::channel::unbounded();
    let (notices, closed) = crossbeam::channel::unbounded();
    let settings =
        PeerServerSettings { max_queued_bytes: 4 << 20, ..PeerServerSettings::default() };
    let server: PeerServer<u64, Vec<u8>> = PeerServer::start_with_notices(
        listen(),
        secret(),
        settings,
        move |call, _| calls.send(call).unwrap(),
        move |notice| notices.send(notice).unwrap(),
    )
    .unwrap();
    let (release, blocked) = crossbeam::channel::bounded::<()>(0);
    let client: PeerClient<u64, Vec<u8>> = PeerClient::new(
        server.local_address(),
        secret(),
        PeerClientSettings::default(),
        move |_| {
            let _ = blocked.recv();
        },
    );
    client.send(&1).unwrap();
    let Call { connection, remote, expects_reply, .. } = called.recv_timeout(SOON).unwrap();
    assert!(!expects_reply);
    let pusher = server.pusher();
    let message = vec![0; 1 << 20];
    let error = (0..500).find_map(|_| pusher.push(connection, &message).err());
    // Either the queue overflows or the write timeout closes the connection first.
    assert!(matches!(error, Some(PushError::QueueFull | PushError::Closed)), "{error:?}");
    let notice = closed.recv_timeout(SOON).unwrap();
    assert_eq!((notice.connection, notice.remote), (connection, remote));
    assert_eq!(pusher.push(connection, &message), Err(PushError::Closed));
    drop(release);
}

/// Guards against lost pushes, and messages that are too large for a frame.
#[test]
fn pushes_reach_every_client() {
    let server: PeerServer<u64, Vec<u8>> =
        PeerServer::start(listen(), secret(), PeerServerSettings::default(), |_, responder| {
            let _ = responder.send(&vec![1]);
        })
        .unwrap();
    let (pushes, pushed) = crossbeam::channel::unbounded();
    let clients: Vec<PeerClient<u64, Vec<u8>>> = (0..3)
        .map(|_| {
            let pushes = pushes.clone();
            PeerClient::new(
                server.local_address(),
                secret(),
                PeerClientSettings::default(),
                move |push| pushes.send(push).unwrap(),
            )
        })
        .collect();
    for client in &clients {
        assert_eq!(client.call(&1, SOON), Ok(vec![1]));
    }
    let large = vec![7; 10 << 20];
    assert_eq!(server.pusher().push_all(&large), Ok(3));
    for _ in &clients {
        assert_eq!(pushed.recv_timeout(SOON).unwrap(), large);
    }
    assert_eq!(server.pusher().push_all(&vec![0; 17 << 20]), Err(PushError::TooLarge));
}

/// Guards against an update of a lost connection that overwrites one of the next connection.
#[test]
fn pushes_of_a_lost_connection_do_not_follow_those_of_the_next() {
    let server: Arc<std::sync::OnceLock<PeerServer<u64, u64>>> = Arc::default();
    let for_handler = server.clone();
    let handler = move |call: Call<u64>, responder: Responder<u64>| {
        let pusher = for_handler.wait().pusher();
        for _ in 0..20 {
            pusher.push(call.connection, &call.connection.0).unwrap();
        }
        responder.send(&call.connection.0).unwrap();
    };
    let started = PeerServer::start(listen(), secret(), PeerServerSettings::default(), handler);
    let server = server.get_or_init(|| started.unwrap());
    let pushed = Arc::new(Mutex::new(Vec::new()));
    let for_client = pushed.clone();
    let (release, blocked) = crossbeam::channel::bounded::<()>(0);
    let is_first = AtomicBool::new(true);
    let settings =
        PeerClientSettings { ping_after_ms: 50, ping_timeout_ms: 100, ..Default::default() };
    let client: Client =
        PeerClient::new(server.local_address(), secret(), settings, move |connection| {
            for_client.lock().unwrap().push(connection);
            // Holds the first connection's reader until the client has cut that connection.
            if is_first.swap(false, Ordering::Relaxed) {
                let _ = blocked.recv();
            }
        });
    let cut = client.call(&1, SOON);
    assert_eq!(cut, Err(PeerError::OutcomeUnknown(UnknownReason::Disconnected)));
    std::thread::scope(|scope| {
        scope.spawn(|| client.call(&2, SOON));
        // Time for pushes of the next connection, which must not come yet.
        std::thread::sleep(Duration::from_millis(500));
        drop(release);
    });
    wait_until("reconnected", || client.call(&3, SOON).is_ok());
    assert!(pushed.lock().unwrap().is_sorted(), "{pushed:?}");
}

/// Guards against a client that never finds a restarted server, or resends an old call to it.
#[test]
fn a_client_reconnects_after_the_server_restarts() {
    // An address of its own, so that no other test can take the port between the two servers.
    let listener = std::net::TcpListener::bind("127.0.0.9:0").unwrap();
    let mut first = TestServer::on(listener, PeerServerSettings::default());
    let address = first.address();
    let client = client(address, PeerClientSettings::default());
    assert_eq!(client.call(&1, SOON), Ok(2));
    first.server.close();
    wait_until("cut is noticed", || !client.is_connected());
    assert!(client.call(&2, SOON).unwrap_err().is_not_sent());
    let second = TestServer::on(
        std::net::TcpListener::bind(address).unwrap(),
        PeerServerSettings::default(),
    );
    wait_until("reconnected", || client.call(&3, SOON) == Ok(4));
    assert_eq!(second.seen(), [3]);
    assert_eq!(client.stats().reconnects.load(Ordering::Relaxed), 1);
    assert!(client.stats().connect_failures.load(Ordering::Relaxed) >= 1);
}

//! Prints the processor time of one registry with gateways linked and targets that announce themselves, over real
//! sockets: at rest, for each change and link, and for each announcement that changes nothing.
//!
//! `cargo run --release -p mulberry-registry --example registry_cost -- [GATEWAYS] [TARGETS] [FULL_FEEDS]`

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use mulberry_directory::{
    FeedRequest, GatewayInfo, GatewayMessage, LinkMessage, TargetRecord, TargetState, encode_frame,
};
use mulberry_registry::{
    InvalidRequest, PublicProtocol, PublicRequest, Registry, RegistrySettings,
};

const PUBLIC: ([u8; 4], u16) = ([127, 0, 0, 1], 17_200);
const LINK: ([u8; 4], u16) = ([127, 0, 0, 1], 17_201);

/// Number of connections on which the targets announce themselves.
const CONNECTIONS: usize = 64;

#[derive(Debug)]
struct Protocol;

impl PublicProtocol for Protocol {
    /// The body is the number of the target and its sequence number.
    fn decode(&self, _: &str, _: &str, body: Vec<u8>) -> Result<PublicRequest, InvalidRequest> {
        let text = String::from_utf8_lossy(&body);
        let numbers = text.split_once(' ').map(|(id, sequence)| (id, sequence.parse()));
        let Some((id, Ok(sequence))) = numbers else {
            return Err(InvalidRequest { status: 400, reason: "two numbers".to_owned() });
        };
        Ok(PublicRequest::Announce(TargetRecord {
            id: format!("i-{id:0>8}").into(),
            started_ms: 1,
            sequence,
            service: "model-a".into(),
            address: ([10, 0, 0, 1], 8080).into(),
            zone: "zone-a".into(),
            slots: 12,
            state: TargetState::Ready,
            cold_remaining_ms: 0,
        }))
    }

    fn success_body(&self) -> Vec<u8> {
        b"{}".to_vec()
    }

    fn error_body(&self, reason: &str) -> Vec<u8> {
        reason.as_bytes().to_vec()
    }

    fn media_type(&self) -> &'static str {
        "application/json"
    }
}

/// Processor time of a thread of this process.
fn processor_time(thread: &str) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/self/task/{thread}/schedstat"));
    let nanoseconds = stat.ok().and_then(|stat| stat.split(' ').next()?.parse().ok());
    Duration::from_nanos(nanoseconds.unwrap_or_default())
}

fn start_registry(folder: PathBuf) -> String {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let thread = std::fs::read_link("/proc/thread-self").expect("a thread of /proc");
        let thread = thread.file_name().expect("a thread id").to_string_lossy().into_owned();
        sender.send(thread).expect("the main thread waits");
        let link_address = LINK.into();
        let settings = RegistrySettings {
            public_address: PUBLIC.into(),
            link_address,
            seeds: vec![link_address],
            bootstrap: true,
            data_folder: folder,
            ..RegistrySettings::default()
        };
        let (_seeds, updates) = tokio::sync::mpsc::unbounded_channel();
        let registry = Registry::new(settings, Rc::new(Protocol));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("a runtime");
        runtime.block_on(registry.run(std::future::pending(), updates)).expect("it runs");
    });
    receiver.recv().expect("the thread runs")
}

fn connect(address: SocketAddr) -> TcpStream {
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => return stream,
            Err(_) => std::thread::sleep(Duration::from_millis(20)),
        }
    }
}

/// Links a gateway, and counts the bytes that it gets.
fn link_gateway(number: usize, feed: FeedRequest, bytes: Arc<AtomicU64>) {
    let mut stream = connect(LINK.into());
    let gateway = GatewayInfo {
        name: format!("gateway-{number}").into(),
        zone: "zone-a".into(),
        incarnation: 1,
        started_ms: 1,
        address: ([10, 1, 0, 1], 7000).into(),
        is_active: true,
    };
    let hello = GatewayMessage::Hello { gateway, knows_parts: true, feed };
    let mut frame = Vec::new();
    encode_frame(&LinkMessage::<()>::Gateway(hello), &mut frame).expect("encodes");
    stream.write_all(&frame).expect("sends");
    std::thread::Builder::new()
        .stack_size(64 << 10)
        .spawn(move || {
            let mut buffer = vec![0; 16 << 10];
            while let Ok(length @ 1..) = stream.read(&mut buffer) {
                bytes.fetch_add(length as u64, Ordering::Relaxed);
            }
        })
        .expect("a thread");
}

/// Announces all targets once, spread over `time`.
fn announce(targets: usize, sequence: u64, time: Duration) {
    let begin = Instant::now();
    std::thread::scope(|scope| {
        for connection in 0..CONNECTIONS {
            scope.spawn(move || {
                let mut stream = connect(PUBLIC.into());
                stream.set_nodelay(true).expect("sets the option");
                let mut buffer = [0; 1_024];
                for target in (connection..targets).step_by(CONNECTIONS) {
                    let due = time.mul_f64(target as f64 / targets as f64);
                    std::thread::sleep(due.saturating_sub(begin.elapsed()));
                    let body = format!("{target} {sequence}");
                    let head = "PUT /target HTTP/1.1\r\nHost: r\r\nContent-Length:";
                    let request = format!("{head} {}\r\n\r\n{body}", body.len());
                    stream.write_all(request.as_bytes()).expect("sends");
                    assert!(stream.read(&mut buffer).expect("a response") > 0);
                }
            });
        }
    });
}

fn main() {
    let numbers = std::env::args().skip(1).map(|number| number.parse().expect("a number"));
    let numbers: Vec<usize> = numbers.collect();
    let gateways = numbers.first().copied().unwrap_or(299);
    let targets = numbers.get(1).copied().unwrap_or(333);
    let full = numbers.get(2).copied().unwrap_or(67);
    let folder = std::env::temp_dir().join(format!("registry-cost-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let thread = start_registry(folder.clone());
    let bytes = Arc::new(AtomicU64::new(0));
    for number in 0..gateways {
        let feed =
            if number < full { FeedRequest::Full { resume: None } } else { FeedRequest::Digest };
        link_gateway(number, feed, bytes.clone());
    }
    std::thread::sleep(Duration::from_secs(3));
    let measure = |work: &dyn Fn()| {
        let (before, sent) = (processor_time(&thread), bytes.load(Ordering::Relaxed));
        let begin = Instant::now();
        work();
        let used = processor_time(&thread) - before;
        (used, bytes.load(Ordering::Relaxed) - sent, begin.elapsed())
    };
    let wait = Duration::from_secs(5);
    let (rest, sent, time) = measure(&|| std::thread::sleep(wait));
    let rest_share = rest.as_secs_f64() / time.as_secs_f64();
    println!(
        "at rest with {gateways} gateways: {:.2} % of a core, {:.0} B/s",
        100.0 * rest_share,
        sent as f64 / time.as_secs_f64()
    );
    let (used, sent, time) = measure(&|| {
        announce(targets, 1, Duration::from_secs(1));
        std::thread::sleep(Duration::from_secs(2));
    });
    let extra = used.saturating_sub(time.mul_f64(rest_share));
    println!(
        "{targets} new targets within a second, {full} full feeds: {extra:?}, {sent} B; for each target {:?}",
        extra / targets as u32
    );
    let (used, _, time) = measure(&|| {
        for sequence in 2..6 {
            announce(targets, sequence, Duration::from_millis(1_200));
        }
    });
    let extra = used.saturating_sub(time.mul_f64(rest_share));
    println!("an announcement that changes nothing: {:?}", extra / (targets * 4) as u32);
    let _ = std::fs::remove_dir_all(folder);
}

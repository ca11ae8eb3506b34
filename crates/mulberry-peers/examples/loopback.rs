//! Measures calls over loopback and the memory of idle connections; client and server share this
//! process, so CPU and memory are those of both sides together.
//!
//! `cargo run --release -p mulberry-peers --example loopback`

use std::fs;
use std::io;
use std::net::TcpListener;
use std::time::{Duration, Instant};

use mulberry_peers::{
    Call, PeerClient, PeerClientSettings, PeerSecret, PeerServer, PeerServerSettings, Responder,
};

const BODY_BYTES: usize = 200;
const CALLS: usize = 100_000;
const IDLE_CONNECTIONS: usize = 100;
const TIMEOUT: Duration = Duration::from_secs(10);

/// Unit of the CPU times in `/proc/self/stat` on Linux.
const TICKS_PER_S: f64 = 100.0;

type Client = PeerClient<Vec<u8>, Vec<u8>>;

fn main() -> io::Result<()> {
    let secret = PeerSecret::new("0123456789abcdef0123456789abcdef").map_err(io::Error::other)?;
    let server: PeerServer<Vec<u8>, Vec<u8>> = PeerServer::start(
        TcpListener::bind("127.0.0.1:0")?,
        secret.clone(),
        PeerServerSettings::default(),
        |call: Call<Vec<u8>>, responder: Responder<Vec<u8>>| {
            let _ = responder.send(&call.request);
        },
    )?;
    let client = || -> Client {
        let settings = PeerClientSettings::default();
        PeerClient::new(server.local_address(), secret.clone(), settings, |_| {})
    };

    let before = resident_kb()?;
    let idle: Vec<Client> = (0..IDLE_CONNECTIONS).map(|_| client()).collect();
    for connection in &idle {
        connection.call(&vec![0; BODY_BYTES], TIMEOUT).map_err(io::Error::other)?;
    }
    let kb = (resident_kb()? - before) / IDLE_CONNECTIONS as f64;
    println!("idle connections={IDLE_CONNECTIONS} resident_kb_each_both_sides={kb:.1}");
    let cpu = cpu_s()?;
    std::thread::sleep(Duration::from_secs(10));
    println!("idle cpu_s_in_10_s_all_connections={:.2}", cpu_s()? - cpu);
    drop(idle);

    for threads in [1, 8, 32] {
        measure(&client(), threads)?;
    }
    Ok(())
}

fn measure(client: &Client, threads: usize) -> io::Result<()> {
    let body = vec![7; BODY_BYTES];
    client.call(&body, TIMEOUT).map_err(io::Error::other)?;
    let (began, cpu) = (Instant::now(), cpu_s()?);
    let mut latencies_us = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..threads)
            .map(|_| scope.spawn(|| call_many(client, &body, CALLS / threads)))
            .collect();
        callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("caller thread"))
            .collect::<Vec<_>>()
    });
    let (elapsed_s, cpu_s) = (began.elapsed().as_secs_f64(), cpu_s()? - cpu);
    latencies_us.sort_unstable();
    let calls = latencies_us.len();
    println!(
        "threads={threads} calls={calls} calls_per_s={:.0} p50_us={} p99_us={} \
         cpu_s_per_1000_calls_both_sides={:.4}",
        calls as f64 / elapsed_s,
        latencies_us[calls / 2],
        latencies_us[calls * 99 / 100],
        cpu_s * 1_000.0 / calls as f64,
    );
    Ok(())
}

fn call_many(client: &Client, body: &Vec<u8>, calls: usize) -> Vec<u128> {
    (0..calls)
        .map(|_| {
            let began = Instant::now();
            client.call(body, TIMEOUT).expect("loopback call");
            began.elapsed().as_micros()
        })
        .collect()
}

/// User and system time of this process.
fn cpu_s() -> io::Result<f64> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(") ").next().unwrap_or_default().split(' ');
    let ticks = fields.skip(11).take(2).filter_map(|field| field.parse::<f64>().ok());
    Ok(ticks.sum::<f64>() / TICKS_PER_S)
}

fn resident_kb() -> io::Result<f64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse().ok());
    kb.ok_or_else(|| io::Error::other("no VmRSS in /proc/self/status; run this on Linux"))
}

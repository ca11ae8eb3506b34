//! A short check of a running system.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mulberry_types::LengthClass;

use crate::client::{Call, Completion, Route, Sent, send_call, send_completion};
use crate::outcome::Outcome;
use crate::prompt::Prompt;

/// Prompt lengths and how many of each.
const PROMPTS: [(u64, u64); 4] = [(1_000, 4), (10_000, 3), (100_000, 2), (1_000_000, 1)];

/// Bookings, each of which is sent again through the next entry.
const BOOKINGS: u64 = 5;

const ANSWER_TOKENS: u32 = 16;

/// Long enough for a million tokens on small engines.
const COMPLETION_DEADLINE: Duration = Duration::from_secs(300);

const BOOKING_DEADLINE: Duration = Duration::from_secs(10);

/// What is checked.
#[derive(Debug, Clone)]
pub struct SmokeTest {
    pub entries: Vec<SocketAddr>,
    pub api_key: String,
    pub model: String,

    /// Service for bookings; without it none are made.
    pub service: Option<String>,
}

/// Sends a few prompts of each length and some bookings. Returns a table and whether every answer was right.
pub fn smoke(smoke: &SmokeTest) -> (String, bool) {
    let nonce = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let mut results: Vec<(String, Option<LengthClass>, Sent)> = std::thread::scope(|scope| {
        // The lengths run side by side, because short prompts must be served alongside long ones.
        let lengths = PROMPTS.map(|(tokens, count)| {
            scope.spawn(move || {
                (0..count).map(|index| smoke.prompt(tokens, nonce ^ index)).collect::<Vec<_>>()
            })
        });
        lengths.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
    });
    let expected: u64 = PROMPTS.iter().map(|(_, count)| count).sum();
    let mut all_right = results.len() as u64 == expected;
    for booking in 0..BOOKINGS {
        results.extend(smoke.book(booking, nonce));
    }
    all_right &= results.iter().all(|(_, _, sent)| sent.outcome == Outcome::Right);
    (table(&results), all_right)
}

impl SmokeTest {
    fn route(&self, first: u64, deadline: Duration) -> Route {
        let mut entries = self.entries.clone();
        let first = first as usize % entries.len().max(1);
        entries.rotate_left(first);
        Route {
            entries,
            api_key: self.api_key.clone(),
            deadline,
            late_after: Duration::from_millis(500),
            lost_after: Duration::from_secs(10),
        }
    }

    fn prompt(&self, tokens: u64, seed: u64) -> (String, Option<LengthClass>, Sent) {
        let text = Prompt { tokens, seed: seed ^ (tokens << 32), prefix_seed: None }.text();
        let model = self.model.clone();
        let request =
            Completion { model, text, max_tokens: ANSWER_TOKENS, stream: true, chat: true };
        let sent = send_completion(&self.route(seed, COMPLETION_DEADLINE), &request);
        (format!("{tokens} tokens"), Some(LengthClass::of(tokens)), sent)
    }

    fn book(&self, booking: u64, nonce: u64) -> Vec<(String, Option<LengthClass>, Sent)> {
        let Some(service) = &self.service else { return Vec::new() };
        let call = Call {
            method: "POST".to_owned(),
            path: format!("/services/{service}/bookings?call={nonce:x}-{booking}"),
            body: format!(r#"{{"seat":{booking}}}"#),
            idempotency_key: Some(format!("smoke-{nonce:x}-{booking}")),
        };
        ["booking", "booking again"]
            .iter()
            .zip(booking..)
            .map(|(name, entry)| {
                let sent = send_call(&self.route(entry, BOOKING_DEADLINE), &call);
                ((*name).to_owned(), None, sent)
            })
            .collect()
    }
}

fn table(results: &[(String, Option<LengthClass>, Sent)]) -> String {
    let mut rows: BTreeMap<(Option<LengthClass>, &str), Vec<&Sent>> = BTreeMap::new();
    for (name, class, sent) in results {
        rows.entry((*class, name)).or_default().push(sent);
    }
    // Writing to a string does not fail.
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<16}{:<14}{:>6}{:>7}{:>18}{:>14}",
        "request", "class", "sent", "right", "first token p50", "total max"
    );
    for ((class, name), row) in &rows {
        let right = row.iter().filter(|sent| sent.outcome == Outcome::Right).count();
        let mut first: Vec<Duration> = row.iter().filter_map(|sent| sent.first_token).collect();
        first.sort_unstable();
        let first = match first.get(first.len() / 2) {
            Some(time) => format!("{} ms", time.as_millis()),
            None => "-".to_owned(),
        };
        let longest = row.iter().map(|sent| sent.total).max().unwrap_or_default();
        let _ = writeln!(
            text,
            "{name:<16}{:<14}{:>6}{right:>7}{first:>18}{:>14}",
            class.map_or("", LengthClass::name),
            row.len(),
            format!("{} ms", longest.as_millis())
        );
    }
    for (name, _, sent) in results.iter().filter(|(_, _, sent)| sent.outcome != Outcome::Right) {
        let _ = writeln!(text, "{name}: {} {}", sent.outcome.name(), sent.detail);
    }
    text
}

//! The story of one request, from the logs of all processes.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;

use eyre::{WrapErr as _, eyre};

use crate::failure::Failure;
use crate::output::print;

/// Time before the first line of a request for which other lines are shown, in seconds: what an instance believed then
/// had been told shortly before.
const CONTEXT_S: f64 = 5.0;

/// Events that change what an instance believes or can do.
const CONTEXT_EVENTS: [&str; 14] = [
    "started",
    "stopping",
    "stopped",
    "config_in_force",
    "zones_evacuated",
    "registry_linked",
    "registry_lost",
    "home_silent",
    "target_changed",
    "target_left",
    "engine_crashed",
    "targets_silent",
    "settings_read",
    "log_lines_left_out",
];

/// Events about a part of prompts. They are shown for a request with that part, however old they are.
const PART_EVENTS: [&str; 5] =
    ["part_suspected", "part_quarantined", "part_trial", "part_released", "part_expired"];

/// One line of a log.
#[derive(Debug, Clone, PartialEq)]
struct LogLine {
    time_s: f64,
    fields: Vec<(String, String)>,
}

/// Prints the lines about `request`, and what else mattered to it, in the order of time.
///
/// # Errors
/// A log cannot be read, or none of them names the request.
pub(crate) fn explain(request: &str, logs: &[PathBuf]) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for path in logs {
        let reader: Box<dyn Read> = if path.as_os_str() == "-" {
            Box::new(std::io::stdin())
        } else {
            let file = File::open(path).wrap_err_with(|| format!("cannot open {}", path.display()));
            Box::new(file.map_err(Failure::usage)?)
        };
        for line in BufReader::new(reader).split(b'\n') {
            let line = line
                .wrap_err_with(|| format!("cannot read {}", path.display()))
                .map_err(Failure::usage)?;
            lines.extend(LogLine::parse(&String::from_utf8_lossy(&line)));
        }
    }
    let story = story(request, &lines);
    if story.is_empty() {
        let problem = eyre!(
            "no log names the request {request}; pass the logs of all instances of that time, and look for \
             event=log_lines_left_out in them"
        );
        return Err(Failure::usage(problem));
    }
    for line in story {
        print(&line);
    }
    Ok(())
}

fn story(request: &str, lines: &[LogLine]) -> Vec<String> {
    let is_own = |line: &LogLine| line.field("request_id") == Some(request);
    let own: Vec<&LogLine> = lines.iter().filter(|line| is_own(line)).collect();
    let times = own.iter().map(|line| line.time_s);
    let first_s = times.clone().fold(f64::INFINITY, f64::min);
    let last_s = times.fold(f64::NEG_INFINITY, f64::max);
    let duration_s = own
        .iter()
        .filter_map(|line| line.field("total_ms")?.parse::<f64>().ok())
        .fold(0.0, f64::max)
        / 1_000.0;
    let instances: BTreeSet<&str> = own.iter().filter_map(|line| line.field("instance")).collect();
    let targets: BTreeSet<&str> = own
        .iter()
        .filter_map(|line| line.field("target_id"))
        .filter(|target| !target.is_empty())
        .collect();
    let parts: BTreeSet<&str> = own.iter().filter_map(|line| line.field("part")).collect();
    let is_of_part = |line: &LogLine| {
        line.time_s <= last_s
            && PART_EVENTS.contains(&line.field("event").unwrap_or_default())
            && line.field("part").is_some_and(|part| parts.contains(part))
    };
    let from_s = first_s.min(last_s - duration_s) - CONTEXT_S;
    let is_context = |line: &LogLine| {
        let event = line.field("event").unwrap_or_default();
        if !CONTEXT_EVENTS.contains(&event) || line.time_s < from_s || line.time_s > last_s {
            return false;
        }
        let is_of_target = line.field("target_id").is_some_and(|id| targets.contains(id))
            || line.field("targets").is_some_and(|ids| targets.iter().any(|id| ids.contains(id)));
        let is_of_instance = line.field("instance").is_some_and(|name| instances.contains(name));
        is_of_target || (is_of_instance && line.field("target_id").is_none())
    };
    let mut shown: Vec<&LogLine> =
        lines.iter().filter(|line| is_own(line) || is_context(line) || is_of_part(line)).collect();
    shown.sort_by(|a, b| a.time_s.total_cmp(&b.time_s));
    shown.dedup();
    shown.into_iter().map(|line| line.shown(is_own(line))).collect()
}

impl LogLine {
    /// Parses a line of key=value pairs; whatever stands before the time is left out.
    fn parse(text: &str) -> Option<LogLine> {
        let mut left = &text[text.find("time_s=")?..];
        let mut fields = Vec::new();
        while let Some((key, rest)) = left.split_once('=') {
            let (value, rest) = match rest.strip_prefix('"') {
                Some(quoted) => {
                    let end = end_of_quoted(quoted)?;
                    (quoted[..end].replace("\\\"", "\""), &quoted[end + 1..])
                }
                None => {
                    let end = rest.find(' ').unwrap_or(rest.len());
                    (rest[..end].trim_end().to_owned(), &rest[end..])
                }
            };
            fields.push((key.trim().to_owned(), value));
            left = rest.trim_start();
        }
        let time_s = fields.first()?.1.parse().ok()?;
        Some(LogLine { time_s, fields })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    fn shown(&self, is_own: bool) -> String {
        let mark = if is_own { "*" } else { " " };
        let instance = self.field("instance").unwrap_or("-");
        let event = self.field("event").unwrap_or("-");
        let mut line = format!("{mark} {:.3} {instance} {event}", self.time_s);
        for (key, value) in &self.fields {
            if !["time_s", "level", "instance", "event", "request_id"].contains(&key.as_str()) {
                line.push_str(&format!(" {key}={value}"));
            }
        }
        line
    }
}

fn end_of_quoted(text: &str) -> Option<usize> {
    let mut is_escaped = false;
    text.char_indices().find_map(|(at, character)| {
        let is_end = character == '"' && !is_escaped;
        is_escaped = character == '\\' && !is_escaped;
        is_end.then_some(at)
    })
}

//! The page of errors for callers.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

#[path = "../../mulberry-types/tests/support/pages.rs"]
mod pages;

use mulberry_callers::{ErrorCode, Outcome};
use pages::{items, page, quoted};

/// One item: code, status and the outcomes that it can have.
fn item(text: &str) -> (String, u16, Vec<String>) {
    let (head, _) = text.split_once(": ").unwrap_or_else(|| panic!("{text}: has no colon"));
    let mut parts = head.split(", ");
    let code = quoted(parts.next().unwrap()).remove(0);
    let status = parts.next().unwrap().parse().unwrap_or_else(|_| panic!("{text}: no status"));
    (code, status, parts.flat_map(quoted).collect())
}

/// Guards against a code without an item on its page, a wrong status or unknown outcome there, an item
/// about a code that does not exist, and an order that differs from the code's.
#[test]
fn the_page_lists_every_code_with_its_status() {
    let page = page("docs/operations/errors.md");
    let on_page: Vec<_> = items(&page, "Codes").iter().map(|text| item(text)).collect();
    let codes: Vec<_> = on_page.iter().map(|(code, status, _)| (code.as_str(), *status)).collect();
    let expected: Vec<_> =
        ErrorCode::ALL.iter().map(|code| (code.name(), code.status().as_u16())).collect();
    assert_eq!(codes, expected);
    let known = [Outcome::NotRun, Outcome::Ran, Outcome::Unknown].map(Outcome::name);
    for (code, _, outcomes) in &on_page {
        let are_known = outcomes.iter().all(|outcome| known.contains(&outcome.as_str()));
        assert!(!outcomes.is_empty() && are_known, "{code}: {outcomes:?}");
    }
}

/// Guards against a new code that is not in the list of all codes, and so escapes the test above.
#[test]
fn the_list_of_all_codes_is_complete() {
    let source = page("crates/mulberry-callers/src/caller_error.rs");
    let (_, body) = source.split_once("pub enum ErrorCode {\n").unwrap();
    let (variants, _) = body.split_once("\n}").unwrap();
    let variants = variants.lines().filter(|line| line.trim_end().ends_with(',')).count();
    assert_eq!(ErrorCode::ALL.len(), variants);
}

/// Guards against a code of the HTTP server that callers can get but cannot look up.
#[test]
fn the_page_lists_the_codes_of_the_http_server() {
    let page_text = page("docs/operations/errors.md");
    let mut on_page: Vec<_> =
        items(&page_text, "Codes of the HTTP server").iter().map(|text| item(text).0).collect();
    on_page.sort();
    let server = page("crates/mulberry-http/src/server.rs");
    let is_code = |word: &&str| {
        word.starts_with("body_") || word.starts_with("server_") || *word == "internal_error"
    };
    let mut in_code: Vec<_> =
        server.split('"').skip(1).step_by(2).filter(is_code).map(str::to_owned).collect();
    in_code.push("method_not_allowed".to_owned());
    in_code.sort();
    in_code.dedup();
    assert_eq!(on_page, in_code);
}

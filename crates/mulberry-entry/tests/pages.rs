//! Compares the operator documentation of entries with the code.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

#[path = "../../mulberry-types/tests/support/pages.rs"]
mod pages;

use std::collections::BTreeSet;

use mulberry_entry::{EntryMetrics, EntrySettings, NameLabel};
use mulberry_types::{Announcement, Configuration, LengthClass, parse_settings};
use pages::{
    exposed_metrics, flattened, items, json_examples, page, page_metrics, page_settings, quoted,
};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

/// Guards against an undocumented setting, a wrong documented default, and documentation of a setting
/// that does not exist.
#[test]
fn page_lists_every_setting_with_its_default() {
    let settings = serde_json::to_value(EntrySettings::default()).unwrap();
    let page = page("docs/operations/settings.md");
    assert_eq!(page_settings(&page, "mulberry-entry"), flattened(&settings));
}

/// Guards against an undocumented metric, a wrong documented type, and documentation of a metric that
/// does not exist.
#[test]
fn page_lists_every_metric_with_its_type() {
    let mut registry = Registry::default();
    let metrics = EntryMetrics::register(&mut registry);
    // A metric with labels is exposed only once it has a value.
    metrics.record_finished("ok");
    metrics.record_first_token(1, 1);
    metrics.refused.get_or_create(&NameLabel { name: "slots_full" }).inc();
    let mut text = String::new();
    encode(&mut text, &registry).unwrap();
    let exposed = exposed_metrics(&text);

    let source = page("crates/mulberry-entry/src/metrics.rs");
    let registered = source.split('"').skip(1).step_by(2).filter(|text| is_metric(text)).count();
    assert_eq!(exposed.len(), registered, "give each new metric with labels a value above");

    let page = page("docs/operations/metrics.md");
    assert_eq!(page_metrics(&page, "Entries"), exposed);
}

/// Guards against undocumented label values: length classes and reasons for refused reservations.
#[test]
fn page_lists_all_label_values() {
    let page_text = page("docs/operations/metrics.md");
    let words: BTreeSet<String> = quoted(&page_text).into_iter().collect();
    for class in LengthClass::ALL {
        assert!(words.contains(class.name()), "{} is missing", class.name());
    }

    let reasons = items(&page_text, "Reasons of refused reservations");
    let on_page: Vec<String> = reasons
        .iter()
        .filter_map(|item| item.split_once(':'))
        .flat_map(|(head, _)| quoted(head))
        .collect();
    let source = page("crates/mulberry-entry/src/reservations.rs");
    let (_, names) = source.split_once("fn reason_name(").unwrap();
    let in_code: BTreeSet<String> =
        names.split('"').skip(1).step_by(2).map(str::to_owned).collect();
    assert_eq!(on_page.iter().cloned().collect::<BTreeSet<_>>(), in_code);
    assert_eq!(on_page.len(), in_code.len(), "a reason is on the page twice");
}

fn is_metric(text: &str) -> bool {
    let is_name = |byte: u8| byte.is_ascii_lowercase() || byte == b'_';
    text.starts_with("mulberry_") && text.bytes().all(is_name)
}

/// Guards against documented examples of settings, configurations or announcements that are refused.
#[test]
fn page_examples_are_valid() {
    let settings = &json_examples(&page("docs/operations/install.md"))[1];
    parse_settings::<EntrySettings>(settings).unwrap().check().unwrap();

    let configuration = &json_examples(&page("docs/operations/configuration.md"))[0];
    let configuration = configuration.replace("64 hexadecimal digits", &"0".repeat(64));
    serde_json::from_str::<Configuration>(&configuration).unwrap().check().unwrap();

    let announcement = &json_examples(&page("docs/operations/targets.md"))[0];
    serde_json::from_str::<Announcement>(announcement).unwrap();
}

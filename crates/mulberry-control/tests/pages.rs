//! Compares the operator documentation of control instances with settings and metrics.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

#[path = "../../mulberry-types/tests/support/pages.rs"]
mod pages;

use std::sync::Arc;

use mulberry_control::{ControlMetrics, ControlSettings};
use mulberry_peers::{FrameRejectReason, PeerStats};
use mulberry_types::parse_settings;
use pages::{
    exposed_metrics, flattened, items, json_examples, page, page_metrics, page_settings, quoted,
};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

/// Guards against an undocumented setting, a wrong documented default, and documentation of a setting that
/// does not exist.
#[test]
fn the_page_lists_every_setting_with_its_default() {
    let settings = serde_json::to_value(ControlSettings::default()).unwrap();
    let page = page("docs/operations/settings.md");
    assert_eq!(page_settings(&page, "mulberry-control"), flattened(&settings));
}

/// Guards against an undocumented metric, a wrong documented type, and documentation of a metric that does
/// not exist.
#[test]
fn the_page_lists_every_metric_with_its_type() {
    let mut registry = Registry::default();
    ControlMetrics::default().register(&mut registry, &Arc::<PeerStats>::default());
    let mut text = String::new();
    encode(&mut text, &registry).unwrap();
    let page = page("docs/operations/metrics.md");
    assert_eq!(page_metrics(&page, "Control instances"), exposed_metrics(&text));
}

/// Guards against an undocumented rejection reason, and documentation of a reason that does not exist,
/// which an alert could refer to.
#[test]
fn the_page_lists_every_reason_of_rejected_frames() {
    let page = page("docs/operations/metrics.md");
    let items = items(&page, "Control instances");
    let name = "`mulberry_control_peer_frames_rejected_total`";
    let item = items.iter().find(|item| item.starts_with(name)).unwrap();
    let on_page = quoted(item);
    for reason in FrameRejectReason::ALL {
        assert!(on_page.iter().any(|word| word == reason.name()), "{} is missing", reason.name());
    }
    assert_eq!(on_page.len(), 2 + FrameRejectReason::ALL.len(), "{on_page:?}");
}

/// Guards against a documented settings file that fails validation.
#[test]
fn the_example_of_the_install_page_is_valid() {
    let examples = json_examples(&page("docs/operations/install.md"));
    let text = examples[0].replace("64 hexadecimal digits", &"0".repeat(64));
    parse_settings::<ControlSettings>(&text).unwrap().check().unwrap();
}

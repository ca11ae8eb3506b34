//! Reads the pages of this repository, for tests that compare them with the code. Test crates include this file by its
//! path.
//!
//! Pages list settings, metrics, error codes and commands as list items under a heading of the second level. An item
//! begins with its name in backticks.

#![allow(dead_code, reason = "each test binary uses a part of it")]
#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde_json::Value;

/// Root of the repository.
pub fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Text of a page by its path from the root.
pub fn page(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// List items under a heading of the second level, each as one line without its dash.
pub fn items(page: &str, heading: &str) -> Vec<String> {
    let heading = format!("## {heading}");
    let section = page.lines().skip_while(|line| **line != heading).skip(1);
    let mut items: Vec<String> = Vec::new();
    let mut is_in_item = false;
    for line in section.take_while(|line| !line.starts_with("## ")) {
        if let Some(item) = line.strip_prefix("- ") {
            items.push(item.to_owned());
            is_in_item = true;
        } else if let (true, Some(more), Some(item)) =
            (is_in_item, line.strip_prefix("  "), items.last_mut())
        {
            item.push(' ');
            item.push_str(more);
        } else {
            is_in_item = false;
        }
    }
    assert!(!items.is_empty(), "the page has no list under {heading}");
    items
}

/// Blocks of JSON on a page, in order.
pub fn json_examples(page: &str) -> Vec<String> {
    let blocks = page.split("```json\n").skip(1);
    blocks.filter_map(|block| Some(block.split_once("```")?.0.to_owned())).collect()
}

/// Parts of a text in backticks.
pub fn quoted(text: &str) -> Vec<String> {
    text.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

/// Collects names and values, and refuses a name that is there twice.
pub fn unique<V>(pairs: impl Iterator<Item = (String, V)>) -> BTreeMap<String, V> {
    let mut map = BTreeMap::new();
    for (name, value) in pairs {
        assert!(!map.contains_key(&name), "{name} is on the page twice");
        map.insert(name, value);
    }
    map
}

/// Settings on a page: paths with their defaults as JSON text.
pub fn page_settings(page: &str, heading: &str) -> BTreeMap<String, String> {
    let settings = items(page, heading).into_iter().map(|item| {
        let quoted = quoted(&item);
        let [path, default] = [&quoted[0], &quoted[1]];
        let start = format!("`{path}` = `{default}`");
        assert!(item.starts_with(&start), "{item}: begin it with `path` = `default`");
        (path.clone(), default.clone())
    });
    unique(settings)
}

/// Leaves of settings: paths with their values as JSON text. Lists are leaves.
pub fn flattened(settings: &Value) -> BTreeMap<String, String> {
    let mut leaves = BTreeMap::new();
    flatten("", settings, &mut leaves);
    leaves
}

fn flatten(path: &str, value: &Value, leaves: &mut BTreeMap<String, String>) {
    let Value::Object(fields) = value else {
        leaves.insert(path.to_owned(), value.to_string());
        return;
    };
    for (name, value) in fields {
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        flatten(&path, value, leaves);
    }
}

/// Metrics on a page: names with their types.
pub fn page_metrics(page: &str, heading: &str) -> BTreeMap<String, String> {
    let metrics = items(page, heading).into_iter().filter_map(|item| {
        let name = quoted(&item).into_iter().next()?;
        let rest = item.strip_prefix(&format!("`{name}` ("))?;
        let (kind, _) = rest.split_once("):")?;
        Some((name, kind.to_owned()))
    });
    unique(metrics)
}

/// Metrics in the OpenMetrics text: names as queries use them, with their types.
pub fn exposed_metrics(text: &str) -> BTreeMap<String, String> {
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let metrics = types.filter_map(|line| line.split_once(' ')).map(|(name, kind)| {
        let suffix = if kind == "counter" { "_total" } else { "" };
        (format!("{name}{suffix}"), kind.to_owned())
    });
    metrics.collect()
}

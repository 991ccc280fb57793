//! The manual agrees with the code.

use std::{collections::BTreeSet, fs, path::Path};

use serde_json::Value;
use settings::parse_node_settings;
use telemetry::{LengthLabels, NodeMetrics, OutcomeLabels, RouteLabels};

const SETTINGS: &str = r#"{
  "node": {"id": "a", "zone": "b", "region": "c"},
  "addresses": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"},
  "platform": {
    "table": "127.0.0.1:1", "objects": "127.0.0.1:1",
    "weights": "127.0.0.1:1", "hosts": "127.0.0.1:1"
  },
  "cluster_keys": [{"id": 1, "secret": "SECRET"}],
  "operator_key_digests": ["SECRET"]
}"#;

fn page(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(root.join(name)).unwrap()
}

/// The first cells of a page's table rows that are code.
fn documented(page: &str) -> BTreeSet<String> {
    page.lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|row| row.split('`').next())
        .map(str::to_owned)
        .collect()
}

fn fields(path: &str, value: &Value, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(object) => {
            for (name, value) in object {
                let field = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                fields(&field, value, found);
            }
        }
        Value::Array(elements) if elements.iter().any(Value::is_object) => {
            fields(&format!("{path}[]"), &elements[0], found);
        }
        _ => {
            found.insert(path.to_owned());
        }
    }
}

#[test]
fn every_setting_is_documented_and_no_other() {
    let text = SETTINGS.replace("SECRET", &"ab".repeat(32));
    let settings = parse_node_settings("node.jsonc", &text).unwrap();
    let mut known = BTreeSet::new();
    fields("", &serde_json::to_value(&settings).unwrap(), &mut known);

    assert_eq!(documented(&page("docs/configuration.md")), known);
}

#[test]
fn documented_defaults_are_those_of_the_code() {
    let text = SETTINGS.replace("SECRET", &"ab".repeat(32));
    let settings = parse_node_settings("node.jsonc", &text).unwrap();
    let value = serde_json::to_value(&settings).unwrap();
    for row in page("docs/configuration.md").lines() {
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        let Some(default) = cells.get(2).filter(|cell| cell.parse::<f64>().is_ok()) else {
            continue;
        };
        let pointer = format!("/{}", cells[1].trim_matches('`').replace('.', "/"));
        let known = value.pointer(&pointer).unwrap().as_f64().unwrap();
        let told: f64 = default.parse().unwrap();
        assert!((known - told).abs() < f64::EPSILON, "{pointer}");
    }
}

fn route() -> RouteLabels {
    RouteLabels {
        route: "metrics".to_owned(),
        status: 200,
    }
}

fn outcome() -> OutcomeLabels {
    OutcomeLabels {
        plan: "paying".to_owned(),
        outcome: "finished".to_owned(),
    }
}

fn length() -> LengthLabels {
    LengthLabels {
        plan: "paying".to_owned(),
        length: "1k".to_owned(),
    }
}

#[test]
fn every_metric_is_documented_and_no_other() {
    let metrics = NodeMetrics::default();
    // A family without a member is not encoded.
    metrics.count_peer_failure("step", "peer");
    metrics.calls.get_or_create(&route()).inc();
    metrics.prompts.get_or_create(&outcome()).inc();
    metrics.orders.get_or_create(&outcome()).inc();
    metrics.first_token.get_or_create(&length()).observe(1.0);
    let text = metrics.encode();
    let known: BTreeSet<String> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# HELP "))
        .filter_map(|rest| rest.split(' ').next())
        .map(str::to_owned)
        .collect();
    let documented: BTreeSet<String> = documented(&page("docs/metrics-and-logs.md"))
        .into_iter()
        .filter(|name| name.starts_with("gentiantally_"))
        .collect();

    assert_eq!(documented, known);
}

#[test]
fn links_between_pages_lead_somewhere() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for folder in ["", "docs", "docs/design", "docs/operators"] {
        for entry in fs::read_dir(root.join(folder)).unwrap() {
            let path = entry.unwrap().path();
            if path.extension().is_none_or(|extension| extension != "md") {
                continue;
            }
            let text = fs::read_to_string(&path).unwrap();
            for link in text
                .split("](")
                .skip(1)
                .filter_map(|rest| rest.split(')').next())
            {
                let file = link.split('#').next().unwrap_or_default();
                let outside = link.starts_with("http") || file.is_empty();
                let target = path.parent().unwrap().join(file);
                assert!(outside || target.exists(), "{}: {link}", path.display());
            }
        }
    }
}

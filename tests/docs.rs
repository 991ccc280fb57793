//! The manual documents exactly the settings, defaults and metrics of the code,
//! and its links lead to files that exist.

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

fn read_page(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(root.join(name)).unwrap()
}

/// Returns the names in the manual's tables: the first cell of each row whose
/// first cell is a code span.
fn documented_names(page: &str) -> BTreeSet<String> {
    page.lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|row| row.split('`').next())
        .map(str::to_owned)
        .collect()
}

/// Collects the dotted paths of all leaves of `value`; an array of objects adds
/// `[]` to the path.
fn collect_fields(path: &str, value: &Value, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(object) => {
            for (name, value) in object {
                let field = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                collect_fields(&field, value, found);
            }
        }
        Value::Array(elements) if elements.iter().any(Value::is_object) => {
            collect_fields(&format!("{path}[]"), &elements[0], found);
        }
        _ => {
            found.insert(path.to_owned());
        }
    }
}

/// Guards against settings that are added or removed without the manual.
#[test]
fn every_setting_is_documented_and_no_other() {
    let text = SETTINGS.replace("SECRET", &"ab".repeat(32));
    let settings = parse_node_settings("node.jsonc", &text).unwrap();
    let mut known = BTreeSet::new();
    collect_fields("", &serde_json::to_value(&settings).unwrap(), &mut known);

    assert_eq!(documented_names(&read_page("docs/configuration.md")), known);
}

/// Guards against defaults that change in the code and not in the manual.
#[test]
fn documented_defaults_are_those_of_the_code() {
    let text = SETTINGS.replace("SECRET", &"ab".repeat(32));
    let settings = parse_node_settings("node.jsonc", &text).unwrap();
    let value = serde_json::to_value(&settings).unwrap();
    for row in read_page("docs/configuration.md").lines() {
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        let Some(default) = cells.get(2).filter(|cell| cell.parse::<f64>().is_ok()) else {
            continue;
        };
        let pointer = format!("/{}", cells[1].trim_matches('`').replace('.', "/"));
        let code_default = value.pointer(&pointer).unwrap().as_f64().unwrap();
        let documented_default: f64 = default.parse().unwrap();
        assert!(
            (code_default - documented_default).abs() < f64::EPSILON,
            "{pointer}"
        );
    }
}

fn route_labels() -> RouteLabels {
    RouteLabels {
        route: "metrics".to_owned(),
        status: 200,
    }
}

fn outcome_labels() -> OutcomeLabels {
    OutcomeLabels {
        plan: "paying".to_owned(),
        outcome: "finished".to_owned(),
    }
}

fn length_labels() -> LengthLabels {
    LengthLabels {
        plan: "paying".to_owned(),
        length: "1k".to_owned(),
    }
}

/// Guards against metrics that are added, renamed or removed without the
/// manual.
#[test]
fn every_metric_is_documented_and_no_other() {
    let metrics = NodeMetrics::default();
    // A labelled metric without a value is not encoded.
    metrics.count_peer_failure("step", "peer");
    metrics.calls.get_or_create(&route_labels()).inc();
    metrics.prompts.get_or_create(&outcome_labels()).inc();
    metrics.orders.get_or_create(&outcome_labels()).inc();
    metrics
        .first_token
        .get_or_create(&length_labels())
        .observe(1.0);
    let text = metrics.encode();
    let known: BTreeSet<String> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# HELP "))
        .filter_map(|rest| rest.split(' ').next())
        .map(str::to_owned)
        .collect();
    let documented: BTreeSet<String> = documented_names(&read_page("docs/metrics-and-logs.md"))
        .into_iter()
        .filter(|name| name.starts_with("gentiantally_"))
        .collect();

    assert_eq!(documented, known);
}

/// Guards against links that break when a page is moved or removed.
#[test]
fn links_between_pages_lead_to_existing_files() {
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

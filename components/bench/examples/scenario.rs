//! Runs one scenario: `cargo run --release -p bench --example scenario -- NAME SEED`.

use bench::{ScenarioKind, ScenarioVariant, report_table, run_scenario, scenario_plan};

fn main() {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let seed = arguments.next().and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or(1);
    let Some(kind) = ScenarioKind::named(&name) else {
        eprintln!("no scenario {name}");
        std::process::exit(2);
    };
    for variant in [ScenarioVariant::Full, ScenarioVariant::Alone] {
        let load = scenario_plan(kind, seed, variant).offered_load();
        eprintln!("{variant:?} offered load {load:.2}");
    }
    let report = run_scenario(kind, seed, |policy| eprintln!("running {policy}"));
    println!("{}", report_table(&report));
}

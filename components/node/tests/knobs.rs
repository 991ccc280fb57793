//! Settings that say nothing give the scheduler its own defaults.

use node::knobs::scheduler_settings;
use routing::SchedulerSettings;
use settings::SchedulingSettings;

#[test]
fn defaults_agree() {
    let expected = SchedulerSettings::default();

    let knobs = scheduler_settings(&SchedulingSettings::default(), expected.seed);

    assert_eq!(knobs, expected);
}

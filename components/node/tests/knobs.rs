//! Tests that default settings of a node equal the scheduler's defaults.

use node::knobs::scheduler_settings;
use routing::SchedulerSettings;
use settings::SchedulingSettings;

#[test]
fn default_settings_equal_the_schedulers_defaults() {
    let expected = SchedulerSettings::default();

    let settings = scheduler_settings(&SchedulingSettings::default(), expected.seed);

    assert_eq!(settings, expected);
}

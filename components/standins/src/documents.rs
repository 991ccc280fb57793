//! Loads the settings documents of the stand-ins: JSON with comments, validated
//! as a whole so that every fault is reported at once.

use std::fs;

use errors::{DocumentFault, SettingsError};
use serde::de::DeserializeOwned;
use settings::{FaultList, ParsedDocument, parse_document};

use crate::{EngineSettings, PlatformSettings, ServiceSettings};

const TIME_SCALE_CAUSE: &str = "expected a number above 0 and at most 1000";
const MAX_TIME_SCALE: f64 = 1_000.0;

/// Reads and validates an engine's settings; without a file, returns
/// the defaults.
///
/// # Errors
/// `SettingsError` if the file cannot be read or parsed, or with every invalid
/// field that was found.
pub fn load_engine_settings(file: Option<&str>) -> Result<EngineSettings, SettingsError> {
    load_document(file, |list, settings: &EngineSettings| {
        list.require_name(&settings.id, "id");
        list.require_name(&settings.zone, "zone");
        let scale = settings.time_scale;
        let valid = scale > 0.0 && scale <= MAX_TIME_SCALE;
        list.require(valid, "time_scale", TIME_SCALE_CAUSE);
        check_listing(list, &settings.listing.platform);
    })
}

/// Reads and validates a plain service's settings; without a file, returns
/// the defaults.
///
/// # Errors
/// `SettingsError` if the file cannot be read or parsed, or with every invalid
/// field that was found.
pub fn load_service_settings(file: Option<&str>) -> Result<ServiceSettings, SettingsError> {
    load_document(file, |list, settings: &ServiceSettings| {
        list.require_name(&settings.id, "id");
        list.require_name(&settings.service, "service");
        list.require_name(&settings.zone, "zone");
        check_listing(list, &settings.listing.platform);
    })
}

/// Reads and validates the platform's settings; without a file, returns
/// the defaults.
///
/// # Errors
/// `SettingsError` if the file cannot be read or parsed, or with every invalid
/// field that was found.
pub fn load_platform_settings(file: Option<&str>) -> Result<PlatformSettings, SettingsError> {
    load_document(file, |list, settings: &PlatformSettings| {
        let positive = settings.weight_interval_ms > 0 && settings.weight_burst > 0;
        list.require(
            positive,
            "weight_burst",
            "expected weight_interval_ms and weight_burst above 0",
        );
    })
}

fn check_listing(list: &mut FaultList<'_>, platform: &str) {
    if !platform.is_empty() {
        list.require_address(platform, "listing.platform");
    }
}

fn load_document<T: DeserializeOwned + Default>(
    file: Option<&str>,
    check: impl FnOnce(&mut FaultList<'_>, &T),
) -> Result<T, SettingsError> {
    let Some(file) = file else {
        return Ok(T::default());
    };
    let text = fs::read_to_string(file).map_err(|fault| SettingsError::Unreadable {
        file: file.to_owned(),
        cause: fault.to_string(),
    })?;
    let document: ParsedDocument<T> = parse_document(file, &text)?;
    let mut list = FaultList::new(&document.positions);
    check(&mut list, &document.value);
    value_or_faults(file, document.value, list.into_faults())
}

fn value_or_faults<T>(
    file: &str,
    value: T,
    faults: Vec<DocumentFault>,
) -> Result<T, SettingsError> {
    if faults.is_empty() {
        return Ok(value);
    }
    Err(SettingsError::Faulty {
        file: file.to_owned(),
        faults,
    })
}

//! Zones that the operator evacuates while news is lost, late or out of order, and the
//! store compacts its history or comes back from a copy.

use std::time::{Duration, Instant};

use dispatch::{EvacuationNotice, EvacuationTable, UpstreamEntry, UpstreamState, UpstreamTable};
use proptest::prelude::{any, prop, proptest};

fn notice(zone: &str, version: u64, evacuated: bool) -> EvacuationNotice {
    EvacuationNotice {
        zone: zone.to_owned(),
        version,
        evacuated,
    }
}

fn upstream(id: &str, zone: &str, state: UpstreamState) -> UpstreamEntry {
    UpstreamEntry {
        id: id.to_owned(),
        service: "models".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: zone.to_owned(),
        slots: 16,
        state,
        started_ms: Some(1),
        version: 1,
    }
}

fn two_zones() -> UpstreamTable {
    let mut table = UpstreamTable::default();
    for (id, zone) in [("a-1", "duluth"), ("a-2", "duluth"), ("b-1", "sault")] {
        table.upsert(upstream(id, zone, UpstreamState::Ready));
    }
    table
}

fn selectable_ids(table: &UpstreamTable, now: Instant) -> Vec<String> {
    let upstreams = table.selectable(now, "models", &[]);
    let ids = upstreams.iter().map(|health| health.entry.id.clone());
    ids.collect()
}

#[test]
fn an_evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let now = Instant::now();
    let mut table = two_zones();
    assert!(table.evacuations_mut().apply(&notice("duluth", 5, true)));
    assert_eq!(selectable_ids(&table, now), ["b-1"]);
    // A request that was placed before the news is stopped right before it is sent.
    assert!(table.is_barred(now, "a-1"));
    assert!(!table.is_barred(now, "b-1"));

    assert!(table.evacuations_mut().apply(&notice("duluth", 6, false)));
    assert_eq!(selectable_ids(&table, now), ["a-1", "a-2", "b-1"]);
}

/// An upstream that joins an evacuated zone, and one that fails elsewhere, change
/// nothing: a zone isn't a last resort.
#[test]
fn no_upstream_of_an_evacuated_zone_is_a_last_resort() {
    let now = Instant::now();
    let mut table = two_zones();
    table.evacuations_mut().apply(&notice("duluth", 5, true));
    table.upsert(upstream("a-3", "duluth", UpstreamState::Ready));
    for _ in 0..10 {
        table.record_failure(now, "b-1");
    }
    assert_eq!(selectable_ids(&table, now), ["b-1"]);
    assert!(!table.is_wholly_evacuated("models"));
    table.upsert(upstream("b-1", "sault", UpstreamState::Draining));
    assert!(selectable_ids(&table, now).is_empty());
}

#[test]
fn a_service_with_all_its_zones_evacuated_is_told_from_one_without_upstreams() {
    let now = Instant::now();
    let mut table = two_zones();
    for (zone, version) in [("duluth", 5), ("sault", 6)] {
        table.evacuations_mut().apply(&notice(zone, version, true));
    }
    assert!(table.is_wholly_evacuated("models"));
    assert!(!table.is_wholly_evacuated("desk"));
    assert!(selectable_ids(&table, now).is_empty());
    assert_eq!(table.pause_left(now, "models"), None);
}

/// A zone is evacuated and taken back within a moment, and news of both arrive in the
/// wrong order, also from a node that was frozen meanwhile.
#[test]
fn late_news_of_an_evacuation_does_not_undo_its_end() {
    let mut table = EvacuationTable::default();
    assert!(!table.apply(&notice("duluth", 6, false)));
    assert!(!table.apply(&notice("duluth", 5, true)));
    assert!(!table.is_evacuated("duluth"));
    assert!(table.apply(&notice("duluth", 9, true)));
    assert!(!table.apply(&notice("duluth", 6, false)));
    assert!(table.is_evacuated("duluth"));
}

/// The history with the end of one evacuation and the begin of another is lost; the
/// listing shows both. Rows that the feed brought after the listing began stand.
#[test]
fn a_listing_shows_what_a_compacted_history_no_longer_does() {
    let now = Instant::now();
    let mut table = EvacuationTable::default();
    table.apply(&notice("duluth", 5, true));
    table.apply(&notice("thunder-bay", 30, true));
    let changes = table.replace(now, &[notice("sault", 20, true)], 25, false);
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert!(!table.is_evacuated("duluth"));
    assert!(table.is_evacuated("sault"));
    assert!(table.is_evacuated("thunder-bay"));
}

/// The store comes back from a copy without the evacuation. The operator writes it
/// again; until then the zone stays empty, and only for a time if nobody does.
#[test]
fn a_store_back_from_a_copy_opens_no_zone_at_once() {
    let now = Instant::now();
    let era = 1 << 44;
    let mut table = EvacuationTable::default();
    table.apply(&notice("duluth", 5, true));
    table.apply(&notice("sault", 6, true));
    assert!(table.replace(now, &[], era + 3, true).is_empty());
    // A further listing of the same era, after a compaction, decides no sooner.
    assert!(table.replace(now, &[], era + 4, false).is_empty());
    assert!(table.is_evacuated("duluth") && table.is_evacuated("sault"));

    table.apply(&notice("duluth", era + 5, true));
    assert!(
        table
            .expire(now + Duration::from_secs(1), era + 6)
            .is_empty()
    );
    let lapsed = table.expire(now + Duration::from_secs(3), era + 9);
    assert_eq!(lapsed, ["sault"]);
    assert!(table.is_evacuated("duluth"));
    assert!(!table.is_evacuated("sault"));
}

proptest! {
    /// Half of the news is lost and the rest comes in any order: whoever has the newest
    /// of each zone knows the same as all others.
    #[test]
    fn nodes_that_have_the_newest_news_agree(
        kept in prop::collection::vec(any::<bool>(), 24),
        order in prop::collection::vec(0..24_usize, 48),
    ) {
        let zones = ["duluth", "sault", "thunder-bay"];
        let news: Vec<EvacuationNotice> = (0..24)
            .map(|version| {
                let zone = zones[version % 3];
                notice(zone, u64::try_from(version).unwrap(), version % 2 == 0)
            })
            .collect();
        let mut table = EvacuationTable::default();
        let (before, after) = order.split_at(24);
        let arriving = |indexes: &[usize]| -> Vec<EvacuationNotice> {
            let kept = indexes.iter().filter(|index| kept[**index]);
            kept.map(|index| news[*index].clone()).collect()
        };
        let arrivals = [arriving(before), news[21..].to_vec(), arriving(after)];
        for notice in arrivals.iter().flatten() {
            table.apply(notice);
        }
        let mut told = EvacuationTable::default();
        for notice in table.notices() {
            told.apply(&notice);
        }
        for newest in &news[21..] {
            assert_eq!(table.is_evacuated(&newest.zone), newest.evacuated);
            assert_eq!(told.is_evacuated(&newest.zone), newest.evacuated);
        }
    }
}

//! The budget is the sum of what is held, whatever happens to its holders.

use memory::{CallerLimits, ChargeKind, MemoryBudget, MemoryCharge, SegmentBuffer};
use proptest::prelude::{Strategy, prop, prop_assert, prop_assert_eq, prop_oneof, proptest};

const LIMIT: u64 = 1_000;
const BULK_LIMIT: u64 = 600;

/// Something that happens to one of a few holders.
#[derive(Clone, Copy, Debug)]
enum HolderEvent {
    Begin,
    Grow(u64, ChargeKind),
    GrowAnyway(u64),
    Shrink(u64),
    End,
}

fn events() -> impl Strategy<Value = Vec<(usize, HolderEvent)>> {
    let kind = prop_oneof![
        prop::strategy::Just(ChargeKind::Ordinary),
        prop::strategy::Just(ChargeKind::Bulk)
    ];
    let event = prop_oneof![
        prop::strategy::Just(HolderEvent::Begin),
        (0..400_u64, kind).prop_map(|(bytes, kind)| HolderEvent::Grow(bytes, kind)),
        (0..50_u64).prop_map(HolderEvent::GrowAnyway),
        (0..500_u64).prop_map(HolderEvent::Shrink),
        prop::strategy::Just(HolderEvent::End),
    ];
    prop::collection::vec((0..6_usize, event), 0..200)
}

proptest! {
    /// Guards against memory that is charged and never given back, or given back twice, in any
    /// order of charges, refusals, partial releases and drops.
    #[test]
    fn the_budget_is_the_sum_of_its_charges(events in events()) {
        let budget = MemoryBudget::new(LIMIT, BULK_LIMIT);
        let mut charges: Vec<Option<MemoryCharge>> = (0..6).map(|_| None).collect();
        for (index, event) in events {
            let others: u64 = charges.iter().flatten().map(MemoryCharge::bytes).sum();
            let charge = &mut charges[index];
            match (event, charge.as_mut()) {
                (HolderEvent::Begin, _) => *charge = Some(budget.charge()),
                (HolderEvent::Grow(bytes, kind), Some(charge)) => {
                    let free_bulk = budget.free_bulk_bytes();
                    let fits = others + bytes <= LIMIT
                        && (kind == ChargeKind::Ordinary || bytes <= free_bulk);
                    prop_assert_eq!(charge.try_grow(bytes, kind), fits);
                }
                (HolderEvent::GrowAnyway(bytes), Some(charge)) => charge.grow(bytes),
                (HolderEvent::Shrink(bytes), Some(charge)) => charge.shrink(bytes),
                (HolderEvent::End, _) => *charge = None,
                (_, None) => {}
            }
            let held: u64 = charges.iter().flatten().map(MemoryCharge::bytes).sum();
            prop_assert_eq!(budget.held_bytes(), held);
            prop_assert!(budget.free_bulk_bytes() <= BULK_LIMIT);
        }
        charges.clear();
        prop_assert_eq!(budget.held_bytes(), 0);
        prop_assert_eq!(budget.free_bulk_bytes(), BULK_LIMIT);
    }
}

/// Large bodies leave room for ordinary requests.
#[test]
fn bulk_leaves_the_rest_to_ordinary_requests() {
    let budget = MemoryBudget::new(LIMIT, BULK_LIMIT);
    let mut crowd = budget.charge();
    assert!(crowd.try_grow(BULK_LIMIT, ChargeKind::Bulk));
    assert!(!crowd.try_grow(1, ChargeKind::Bulk));
    let mut ordinary = budget.charge();
    assert!(ordinary.try_grow(LIMIT - BULK_LIMIT, ChargeKind::Ordinary));
    assert!(!ordinary.try_grow(1, ChargeKind::Ordinary));
}

/// The largest body of the usual limits fits on the smallest host, and all that the limits allow
/// leaves the process three eighths of its memory and an eighth of its descriptors.
#[test]
fn limits_follow_from_what_the_host_grants() {
    for (memory_mb, descriptors) in [(160, 4_100), (260, 4_200), (512, 8_192), (64, 400)] {
        let memory = memory_mb << 20;
        let limits = CallerLimits::new(memory, descriptors);
        assert!(limits.budget.bulk_limit() >= 4 << 20);
        assert!(limits.budget.free_bulk_bytes() <= memory / 2);
        let places = limits.connections as u64 * memory::CONNECTION_BYTES
            + limits.requests as u64 * memory::REQUEST_BYTES;
        assert!(places + limits.budget.bulk_limit() <= memory / 2);
        assert!(places + limits.budget.bulk_limit() + limits.unread_bytes <= memory * 5 / 8);
        let sockets = limits.connections + 2 * limits.requests + 4 * limits.listener_connections;
        assert!((sockets as u64) < descriptors - descriptors / 8);
        assert!(
            limits.connections > 40 && limits.requests > 30,
            "{limits:?}"
        );
    }
}

/// A segment keeps what was appended, on the heap and in a map of its own.
#[test]
fn segments_keep_what_was_appended() {
    for bytes in [10_usize, 4 << 10, 64 << 10, 256 << 10] {
        let data: Vec<u8> = (0..bytes + 3).map(|index| index.to_le_bytes()[0]).collect();
        let mut segment = SegmentBuffer::new(bytes).unwrap();
        let (first, second) = data.split_at(7);
        assert!(segment.append(first).is_empty());
        assert_eq!(segment.append(second).len(), 3);
        assert_eq!(segment.finish(), data[..bytes]);
    }
}

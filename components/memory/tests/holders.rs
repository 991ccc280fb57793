//! Who gives way to whom, without a network.

use std::time::{Duration, Instant};

use memory::{
    Holder, HolderId, HolderStage, OverdueReason, RoomClaim, StageLimits, WriteMark, find_overdue,
    find_unread, find_victim, is_within_share,
};
use proptest::prelude::{prop, prop_assert, proptest};

const LONG: Duration = Duration::from_secs(5);
const SHORT: Duration = Duration::from_millis(100);

fn holder(
    now: Instant,
    id: HolderId,
    stage: HolderStage,
    age: Duration,
    held_bytes: u64,
) -> Holder {
    Holder {
        id,
        stage,
        since: now.checked_sub(age).unwrap(),
        held_bytes,
        write: None,
        neighbours: 1,
    }
}

/// The load: connections that say nothing, beside heads, bodies and whole requests.
#[test]
fn silent_connections_give_way_first() {
    let now = Instant::now();
    let holders = [
        holder(now, 1, HolderStage::Request, LONG, 4 << 20),
        holder(now, 2, HolderStage::Body, LONG, 4 << 20),
        holder(now, 3, HolderStage::Head, LONG, 0),
        holder(now, 4, HolderStage::Silent, SHORT, 0),
        holder(now, 5, HolderStage::Silent, LONG, 0),
    ];
    let mut left = holders.to_vec();
    let mut order = Vec::new();
    while let Some(id) = find_victim(now, RoomClaim::Connection, left.iter().cloned()) {
        order.push(id);
        left.retain(|holder| holder.id != id);
    }
    assert_eq!(order, [5, 4, 3, 2]);
}

/// The load: one address with most of the connections, which are younger than another's.
#[test]
fn the_address_with_most_connections_gives_way_first() {
    let now = Instant::now();
    let mut crowd = holder(now, 1, HolderStage::Silent, SHORT, 0);
    crowd.neighbours = 500;
    let other = holder(now, 2, HolderStage::Silent, LONG, 0);
    let victim = find_victim(now, RoomClaim::Connection, [crowd, other].into_iter());
    assert_eq!(victim, Some(1));
}

/// The load: bodies that stop short of their end, beside one that goes on.
#[test]
fn bodies_without_progress_give_way_to_others() {
    let now = Instant::now();
    let going_on = holder(now, 1, HolderStage::Body, SHORT, 4 << 20);
    let small = holder(now, 2, HolderStage::Body, LONG, 1 << 10);
    let large = holder(now, 3, HolderStage::Body, LONG, 1 << 20);
    let holders = [going_on.clone(), small, large];
    for claim in [RoomClaim::Bulk, RoomClaim::Ordinary, RoomClaim::Request] {
        assert_eq!(find_victim(now, claim, holders.iter().cloned()), Some(3));
    }
    let victim = find_victim(now, RoomClaim::Bulk, [going_on.clone()].into_iter());
    assert_eq!(victim, None);
    let victim = find_victim(now, RoomClaim::Ordinary, [going_on].into_iter());
    assert_eq!(victim, Some(1));
}

/// The load: answers that their callers don't take, beside one that is taken slowly.
#[test]
fn answers_that_nobody_takes_give_way_to_others() {
    let now = Instant::now();
    let answer = |id, waiting| {
        let mut answer = holder(now, id, HolderStage::Request, LONG, 0);
        answer.write = Some(WriteMark {
            since: now.checked_sub(waiting).unwrap(),
            bytes: 100,
        });
        answer
    };
    let holders = [answer(1, SHORT), answer(2, LONG)];
    for claim in [
        RoomClaim::Connection,
        RoomClaim::Request,
        RoomClaim::Ordinary,
        RoomClaim::Bulk,
    ] {
        assert_eq!(find_victim(now, claim, holders.iter().cloned()), Some(2));
    }
    let victim = find_victim(now, RoomClaim::Request, holders.into_iter().take(1));
    assert_eq!(victim, None);
}

/// Heads that never end and answers that nobody takes are found; neither is confused with a
/// connection that is only silent, or a body that is only slow.
#[test]
fn only_what_no_deadline_ends_is_overdue() {
    let now = Instant::now();
    let limits = StageLimits {
        head_time: Duration::from_secs(3),
        write_time: Duration::from_secs(3),
    };
    let mut unread = holder(now, 1, HolderStage::Silent, SHORT, 0);
    unread.write = Some(WriteMark {
        since: now.checked_sub(LONG).unwrap(),
        bytes: 100,
    });
    let mut read_lately = holder(now, 2, HolderStage::Request, LONG, 0);
    read_lately.write = Some(WriteMark {
        since: now.checked_sub(SHORT).unwrap(),
        bytes: 0,
    });
    let holders = [
        unread,
        read_lately,
        holder(now, 3, HolderStage::Head, LONG, 0),
        holder(now, 4, HolderStage::Head, SHORT, 0),
        holder(now, 5, HolderStage::Silent, LONG, 0),
        holder(now, 6, HolderStage::Body, LONG, 0),
    ];
    let overdue = find_overdue(now, limits, holders.into_iter());
    assert_eq!(
        overdue,
        [(1, OverdueReason::Answer), (3, OverdueReason::Head)]
    );
}

/// The load: clients that send on while their requests are answered.
#[test]
fn connections_with_most_unread_bytes_are_closed() {
    let unread = vec![(1, 10), (2, 500), (3, 40), (4, 100)];
    assert_eq!(find_unread(unread.clone(), 60), [2, 4]);
    assert_eq!(find_unread(unread, 650), Vec::<HolderId>::new());
}

/// The load: organisations that each take as much memory for large bodies as they get, one after
/// the other. Each leaves a third of what it found.
#[test]
fn owners_leave_memory_to_others() {
    let total = 900;
    for owners in [1_u32, 2, 5] {
        let mut held = vec![0; owners as usize];
        loop {
            let free = total - held.iter().sum::<u64>();
            let mut allowed = held
                .iter_mut()
                .filter(|bytes| free > 0 && is_within_share(**bytes, free));
            match allowed.next() {
                Some(bytes) => *bytes += 1,
                None => break,
            }
        }
        let free = total - held.iter().sum::<u64>();
        // One more than the share at most, as a part is taken whole.
        let share = total / 3_u64.pow(owners);
        assert!(free + u64::from(owners) >= share, "{owners}: {held:?}");
    }
}

fn stage() -> impl proptest::strategy::Strategy<Value = HolderStage> {
    prop::sample::select(vec![
        HolderStage::Silent,
        HolderStage::Head,
        HolderStage::Body,
        HolderStage::Request,
    ])
}

proptest! {
    /// Guards against complete requests that are given up for others, and against large bodies
    /// that push out bodies which make progress.
    #[test]
    fn whole_requests_and_progress_are_kept(
        holders in prop::collection::vec((stage(), 0..3_000_u64, 0..5_000_u64), 0..30),
        claim in prop::sample::select(vec![
            RoomClaim::Connection, RoomClaim::Request, RoomClaim::Ordinary, RoomClaim::Bulk,
        ]),
    ) {
        let now = Instant::now() + LONG;
        let holders: Vec<_> = holders.into_iter().enumerate().map(|(id, (stage, age_ms, held))| {
            holder(now, id as HolderId, stage, Duration::from_millis(age_ms), held)
        }).collect();
        if let Some(id) = find_victim(now, claim, holders.iter().cloned()) {
            let victim = holders.iter().find(|holder| holder.id == id).unwrap();
            prop_assert!(victim.stage != HolderStage::Request);
            let age = now - victim.since;
            if victim.stage == HolderStage::Body && claim != RoomClaim::Ordinary {
                prop_assert!(age >= Duration::from_secs(1));
            }
            if claim == RoomClaim::Bulk {
                prop_assert!(victim.stage == HolderStage::Body);
            }
        }
    }
}

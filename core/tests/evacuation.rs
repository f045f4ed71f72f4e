//! Evacuations of availability zones: listings, records in order, late and after gaps.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use gentianhinge_core::evacuation::{Change, Evacuations, MEMORY_TIME, RETURN_TIME};
use gentianhinge_core::ids::Name;
use gentianhinge_core::polling::Position;
use gentianhinge_core::report;
use tokio::time::Instant;

/// A position in the first era.
fn at(offset: u64) -> Position {
    Position { era: 1, offset }
}

fn names(zones: &[&str]) -> Vec<Name> {
    zones.iter().map(|zone| Name::from(*zone)).collect()
}

fn evacuated(evacuations: &Evacuations) -> BTreeSet<String> {
    evacuations.evacuated().map(|(zone, _)| zone.to_string()).collect()
}

/// Evacuations after a listing that ends at offset 5.
fn listed(zones: &[&str], now: Instant) -> Evacuations {
    let mut evacuations = Evacuations::default();
    evacuations.replace(&names(zones), at(5), now);
    evacuations
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[test]
        fn $name() { $body }
    )* };
}

cases! {
    a_listing_replaces_the_zones: {
        let now = Instant::now();
        let mut evacuations = listed(&["a", "b"], now);
        let later = now + Duration::from_secs(3);
        let changes = evacuations.replace(&names(&["b", "c"]), at(9), later);
        assert_eq!(changes, [Change::Ended("a".into(), Duration::from_secs(3)), Change::Begun("c".into())]);
        assert!(!evacuations.is_evacuated("a") && evacuations.is_evacuated("b"));
        assert_eq!(evacuations.taken_back_at("a"), Some(later));
        assert_eq!(evacuations.taken_back_at("b"), None);
    },
    a_record_changes_one_zone: {
        let now = Instant::now();
        let mut evacuations = listed(&["a"], now);
        assert_eq!(evacuations.apply(&"b".into(), true, at(5), now), Some(Change::Begun("b".into())));
        assert_eq!(evacuations.apply(&"b".into(), true, at(6), now), None);
        assert_eq!(evacuations.apply(&"a".into(), false, at(7), now), Some(Change::Ended("a".into(), Duration::ZERO)));
        assert_eq!(evacuated(&evacuations), ["b".to_string()].into());
    },
    // A listing that was read before a record must not end the evacuation that the record began.
    a_listing_from_before_a_record_does_not_undo_it: {
        let now = Instant::now();
        let mut evacuations = listed(&["a"], now);
        evacuations.apply(&"b".into(), true, at(8), now);
        evacuations.apply(&"a".into(), false, at(9), now);
        assert_eq!(evacuations.replace(&names(&["a"]), at(8), now), []);
        assert_eq!(evacuated(&evacuations), ["b".to_string()].into());
        // One that ends after both counts.
        evacuations.replace(&names(&["a"]), at(10), now);
        assert_eq!(evacuated(&evacuations), ["a".to_string()].into());
    },
    a_listing_from_before_another_listing_is_ignored: {
        let now = Instant::now();
        let mut evacuations = listed(&["a"], now);
        assert_eq!(evacuations.replace(&[], at(4), now), []);
        assert!(evacuations.is_evacuated("a"));
    },
    // A router that can't reach the store hears of records after a gap, and of the earlier ones later.
    a_record_from_before_one_after_a_gap_changes_nothing: {
        let now = Instant::now();
        let mut evacuations = listed(&["a"], now);
        evacuations.apply(&"a".into(), false, at(9), now);
        evacuations.apply(&"b".into(), false, at(9), now);
        assert_eq!(evacuations.apply(&"a".into(), true, at(7), now), None);
        assert_eq!(evacuations.apply(&"b".into(), true, at(7), now), None);
        assert_eq!(evacuated(&evacuations), BTreeSet::new());
        assert!(evacuations.apply(&"b".into(), true, at(10), now).is_some());
    },
    // Targets of a zone that was never evacuated aren't treated as taken back.
    a_removed_key_of_a_zone_in_use_is_no_evacuation: {
        let now = Instant::now();
        let mut evacuations = listed(&[], now);
        assert_eq!(evacuations.apply(&"a".into(), false, at(5), now), None);
        assert_eq!(evacuations.taken_back_at("a"), None);
        assert_eq!(evacuations.returns_at("a", 1, "r1", now), None);
    },
    a_listing_of_a_later_era_replaces_what_was_known: {
        let now = Instant::now();
        let mut evacuations = listed(&[], now);
        evacuations.apply(&"a".into(), true, at(90), now);
        let end = Position { era: 2, offset: 3 };
        assert_eq!(evacuations.replace(&names(&["b"]), end, now).len(), 2);
        assert_eq!(evacuated(&evacuations), ["b".to_string()].into());
        // Offsets are given out again.
        assert!(evacuations.apply(&"a".into(), true, end, now).is_some());
        assert_eq!(evacuations.apply(&"a".into(), false, at(95), now), None);
    },
    an_evacuation_goes_on_from_its_begin_when_it_is_read_again: {
        let now = Instant::now();
        let mut evacuations = listed(&["a"], now);
        assert!(evacuations.mark_empty("a") && !evacuations.mark_empty("a"));
        evacuations.replace(&names(&["a"]), at(8), now + Duration::from_secs(9));
        evacuations.apply(&"a".into(), true, at(8), now + Duration::from_secs(9));
        let (_, evacuation) = evacuations.evacuated().next().unwrap();
        assert_eq!((evacuation.since, evacuation.is_empty()), (now, true));
    },
    a_zone_that_is_evacuated_again_is_empty_anew: {
        let now = Instant::now();
        let mut evacuations = listed(&["a"], now);
        evacuations.mark_empty("a");
        evacuations.apply(&"a".into(), false, at(5), now);
        assert!(!evacuations.mark_empty("a") && !evacuations.mark_unknown("a"));
        evacuations.apply(&"a".into(), true, at(6), now);
        assert_eq!(evacuations.taken_back_at("a"), None);
        assert!(evacuations.mark_empty("a"));
    },
    zones_that_were_taken_back_long_ago_are_forgotten: {
        let now = Instant::now();
        let mut evacuations = listed(&["a"], now);
        evacuations.apply(&"a".into(), false, at(5), now);
        evacuations.replace(&[], at(6), now + MEMORY_TIME / 2);
        assert!(evacuations.taken_back_at("a").is_some());
        evacuations.replace(&[], at(7), now + MEMORY_TIME);
        assert_eq!(evacuations.taken_back_at("a"), None);
    },
    // All routers would choose a target without load at the same moment.
    routers_take_targets_back_one_after_the_other: {
        let now = Instant::now();
        let mut evacuations = listed(&["a"], now);
        evacuations.apply(&"a".into(), false, at(5), now);
        for target in 0..20 {
            let target = report::hash("t", target);
            let is_due = |router: u64, now| {
                evacuations.returns_at("a", target, &format!("r{router}"), now).is_none()
            };
            let count_at = |part: f64| {
                let now = now + RETURN_TIME.mul_f64(part);
                (0..400).filter(|router| is_due(*router, now)).count()
            };
            // A uniform distribution, with five standard deviations.
            assert!((0..=42).contains(&count_at(0.0)), "{}", count_at(0.0));
            assert!((150..=270).contains(&count_at(0.5)), "{}", count_at(0.5));
            assert_eq!(count_at(1.0), 400);
        }
    },
}

/// A record of the simulated topic: a zone, and whether it is evacuated.
type Record = (usize, bool);

const ZONES: [&str; 3] = ["a", "b", "c"];

/// A reader that gets listings, records in order, and at random earlier listings and records after
/// gaps. Whenever it has read to the end, it knows exactly the zones whose last record evacuates them.
#[test]
fn evacuations_are_those_of_the_newest_records() {
    arbtest::arbtest(play).budget_ms(3_000);
}

fn play(u: &mut Unstructured<'_>) -> Result<()> {
    let now = Instant::now();
    let mut era = 1;
    let mut topic = Vec::<Record>::new();
    let mut evacuations = Evacuations::default();
    let mut read_to = 0;
    evacuations.replace(&[], Position { era, offset: 0 }, now);
    for _ in 0..u.int_in_range(1..=40)? {
        let end = topic.len();
        match u.int_in_range(0..=9)? {
            0..=3 => topic.push((u.choose_index(ZONES.len())?, u.arbitrary()?)),
            4 | 5 => {
                let to = u.int_in_range(read_to..=end)?;
                apply(&mut evacuations, &topic, read_to..to, era, now);
                read_to = to;
            }
            6 => {
                // Records after a gap, which don't move the reader.
                let from = u.int_in_range(read_to..=end)?;
                apply(&mut evacuations, &topic, from..end, era, now);
            }
            7 => {
                let to = u.int_in_range(0..=end)?;
                list(&mut evacuations, &topic[..to], era, now);
                read_to = read_to.max(to);
            }
            8 => {
                // A late answer of an earlier era.
                list(&mut evacuations, &[(0, true)], era - 1, now);
            }
            _ => {
                era += 1;
                topic.truncate(u.int_in_range(0..=end)?);
                list(&mut evacuations, &topic, era, now);
                read_to = topic.len();
            }
        }
        let known = evacuated(&evacuations);
        if read_to == topic.len() {
            assert_eq!(known, expected(&topic), "{topic:?}");
        }
    }
    apply(&mut evacuations, &topic, read_to..topic.len(), era, now);
    assert_eq!(evacuated(&evacuations), expected(&topic), "{topic:?}");
    Ok(())
}

fn apply(
    evacuations: &mut Evacuations,
    topic: &[Record],
    offsets: std::ops::Range<usize>,
    era: u64,
    now: Instant,
) {
    for offset in offsets {
        let (zone, is_evacuated) = topic[offset];
        let at = Position { era, offset: offset as u64 };
        evacuations.apply(&ZONES[zone].into(), is_evacuated, at, now);
    }
}

fn list(evacuations: &mut Evacuations, topic: &[Record], era: u64, now: Instant) {
    let zones = expected(topic).into_iter().map(Name::from).collect::<Vec<_>>();
    evacuations.replace(&zones, Position { era, offset: topic.len() as u64 }, now);
}

/// The zones whose last record evacuates them.
fn expected(topic: &[Record]) -> BTreeSet<String> {
    let last = topic.iter().copied().collect::<BTreeMap<_, _>>();
    let zones = last.into_iter().filter(|(_, is_evacuated)| *is_evacuated);
    zones.map(|(zone, _)| ZONES[zone].to_string()).collect()
}

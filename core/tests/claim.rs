//! Log-based claims on idempotency keys.

use std::collections::BTreeMap;
use std::slice;
use std::time::Duration;

use gentianhinge_core::claim::{
    Answer, CallHash, Claimant, Decision, Event, KeyId, Lookup, Outcome, Owner, Shard,
};
use gentianhinge_core::ids::RouterId;

const RETENTION: Duration = Duration::from_secs(100);
const WINDOW_MS: u64 = 50_000;
const CALL: CallHash = CallHash([1; 32]);

fn key(name: &str) -> KeyId {
    KeyId::new("team", name.as_bytes())
}

/// One incarnation of a router.
struct Router {
    shard: Shard,
    claims: Claimant,
}

impl Router {
    fn new(name: &str, incarnation: u64) -> Router {
        let claims = Claimant::new(RouterId::new(name, incarnation));
        Router { shard: Shard::new(RETENTION), claims }
    }

    fn begin(&mut self, name: &str) -> (Event, u64) {
        let event = self.claims.begin(&self.shard, key(name), CALL).expect("the key is free");
        let nonce = owner(&event).nonce;
        (event, nonce)
    }

    fn decide(&mut self, nonce: u64) -> Option<Decision> {
        self.claims.decide(&self.shard, nonce)
    }

    fn lookup(&self, name: &str) -> Lookup {
        self.shard.lookup(&key(name), &CALL)
    }
}

#[derive(Default)]
struct Log {
    records: Vec<(u64, Vec<Event>)>,
    now_ms: u64,
}

impl Log {
    fn append(&mut self, events: &[Event]) {
        self.records.push((self.now_ms, events.to_vec()));
    }

    fn read(&self, router: &mut Router) -> Vec<Event> {
        let mut releases = Vec::new();
        for offset in router.shard.next_offset()..self.records.len() as u64 {
            let (at_ms, events) = &self.records[offset as usize];
            router.shard.apply(offset, *at_ms, events.clone());
            releases.extend(router.claims.take_releases(events));
        }
        releases
    }
}

fn owner(event: &Event) -> Owner {
    match event {
        Event::Claim { owner, .. } | Event::Settle { owner, .. } => owner.clone(),
    }
}

fn settle(name: &str, event: &Event, outcome: Outcome) -> Event {
    Event::Settle { key: key(name), owner: owner(event), outcome }
}

fn answer() -> Outcome {
    let content_type = Some("application/json".into());
    Outcome::Answered(Answer { status: 201, content_type, body: b"{}".to_vec() })
}

/// Defines a test with a log and two routers.
macro_rules! cases {
    ($($case:ident($log:ident, $one:ident, $two:ident) $body:block)*) => {$(
        #[test]
        fn $case() {
            #[allow(unused_mut)]
            let (mut $log, mut $one, mut $two) =
                (Log::default(), Router::new("r1", 1), Router::new("r2", 1));
            $body
        }
    )*};
}

cases! {
    the_first_claim_in_log_order_wins(log, one, two) {
        let ((a, a_nonce), (b, b_nonce)) = (one.begin("k"), two.begin("k"));
        log.append(slice::from_ref(&b));
        log.append(&[a]);
        log.read(&mut one);
        log.read(&mut two);
        assert_eq!(two.decide(b_nonce), Some(Decision::Claimed(owner(&b))));
        assert!(matches!(one.decide(a_nonce), Some(Decision::Taken(Lookup::Held { .. }))));
    }

    a_second_claim_of_a_key_at_one_router_is_rejected(log, one, _two) {
        let (a, nonce) = one.begin("k");
        let again = one.claims.begin(&one.shard, key("k"), CALL);
        assert!(matches!(again, Err(Lookup::Held { .. })));
        log.append(&[a]);
        log.read(&mut one);
        assert!(matches!(one.decide(nonce), Some(Decision::Claimed(_))));
        assert_eq!(one.decide(nonce), None);
    }

    outcome_is_kept_for_retries(log, one, two) {
        let (a, nonce) = one.begin("k");
        log.append(slice::from_ref(&a));
        log.read(&mut one);
        one.decide(nonce);
        log.append(&[settle("k", &a, answer())]);
        log.append(&[settle("k", &a, Outcome::Unknown)]);
        log.read(&mut two);
        assert_eq!(two.lookup("k"), Lookup::Settled(answer()));
        assert_eq!(two.shard.lookup(&key("k"), &CallHash([2; 32])), Lookup::Reused);
    }

    only_the_owner_settles(log, one, two) {
        let ((a, _), (b, _)) = (one.begin("k"), two.begin("k"));
        log.append(&[a.clone(), b.clone(), settle("k", &b, Outcome::NotRun)]);
        log.read(&mut one);
        assert!(matches!(one.lookup("k"), Lookup::Held { owner: first, .. } if first == owner(&a)));
    }

    restarted_router_sends_nothing(log, one, two) {
        let (a, nonce) = one.begin("k");
        log.append(&[a]);
        let mut restarted = Router::new("r1", 2);
        log.read(&mut restarted);
        log.read(&mut two);
        assert_eq!(restarted.decide(nonce), None);
        assert!(restarted.claims.begin(&restarted.shard, key("k"), CALL).is_err());
        assert!(two.claims.begin(&two.shard, key("k"), CALL).is_err(), "a claim must not be transferred");
    }

    a_call_refused_after_a_lost_reply_is_not_sent(log, one, two) {
        let (a, nonce) = one.begin("k");
        assert!(one.claims.abandon(nonce));
        log.append(slice::from_ref(&a));
        let releases = log.read(&mut one);
        assert_eq!(one.decide(nonce), None, "the call was reported as not run");
        assert_eq!(releases, [settle("k", &a, Outcome::NotRun)]);
        log.read(&mut two);
        assert!(two.claims.begin(&two.shard, key("k"), CALL).is_err());
        log.append(&releases);
        log.append(&[a]);
        log.read(&mut two);
        let (b, nonce) = two.begin("k");
        log.append(&[b]);
        log.read(&mut two);
        assert!(matches!(two.decide(nonce), Some(Decision::Claimed(_))));
    }

    key_is_kept_for_its_window(log, one, two) {
        let (a, _) = one.begin("k");
        log.append(&[a]);
        log.now_ms = WINDOW_MS;
        let (b, _) = one.begin("other");
        log.append(&[b]);
        log.read(&mut two);
        assert!(matches!(two.lookup("k"), Lookup::Held { .. }));
        log.now_ms = WINDOW_MS + 1;
        log.append(&[]);
        log.read(&mut two);
        assert_eq!((two.lookup("k"), two.shard.key_count()), (Lookup::Free, 1));
    }

    teams_have_keys_of_their_own(_log, _one, _two) {
        assert_ne!(KeyId::new("a", b"bk"), KeyId::new("ab", b"k"));
    }
}

/// Runs a random schedule: a caller retries one key at random routers, appends are delayed, lost
/// replies lead to refusals, and routers restart. The call must be sent at most once and never
/// after a refusal.
fn schedule(u: &mut arbtest::arbitrary::Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let mut log = Log::default();
    let mut routers = [Router::new("r1", 1), Router::new("r2", 1), Router::new("r3", 1)];
    // Claims that aren't in the log yet, with the index of the claiming router.
    let mut unappended: Vec<(usize, u64, Event)> = Vec::new();
    let mut waiting: Vec<(usize, u64, Event)> = Vec::new();
    let mut sent = BTreeMap::<Owner, u32>::new();
    let mut refused = Vec::new();
    let mut incarnation = 1;
    while !u.is_empty() {
        let index = u.choose_index(routers.len())?;
        match u.int_in_range(0..=7)? {
            0..=1 => {
                let router = &mut routers[index];
                if let Ok(event) = router.claims.begin(&router.shard, key("k"), CALL) {
                    unappended.push((index, owner(&event).nonce, event));
                }
            }
            2..=3 if !unappended.is_empty() => {
                let (index, nonce, event) =
                    unappended.swap_remove(u.choose_index(unappended.len())?);
                log.append(slice::from_ref(&event));
                match u.ratio(1, 3)? {
                    // The log's reply is lost: the router abandons the claim and refuses the call.
                    true if routers[index].claims.abandon(nonce) => refused.push(owner(&event)),
                    _ => waiting.push((index, nonce, event)),
                }
            }
            4 if !waiting.is_empty() => {
                let (index, nonce, event) = waiting.swap_remove(u.choose_index(waiting.len())?);
                let releases = log.read(&mut routers[index]);
                log.append(&releases);
                // A restarted router has no pending claims of its earlier incarnation.
                if owner(&event).router != *routers[index].claims.router() {
                    continue;
                }
                if let Some(Decision::Claimed(owner)) = routers[index].decide(nonce) {
                    *sent.entry(owner).or_default() += 1;
                    if u.ratio(1, 2)? {
                        log.append(&[settle("k", &event, answer())]);
                    }
                }
            }
            5 => log.append(&log.read(&mut routers[index])),
            6 if u.ratio(1, 3)? => {
                incarnation += 1;
                routers[index] = Router::new(&format!("r{}", index + 1), incarnation);
            }
            _ if !unappended.is_empty() => {
                let (index, nonce, event) = &unappended[u.choose_index(unappended.len())?];
                if routers[*index].claims.abandon(*nonce) {
                    refused.push(owner(event));
                }
            }
            _ => {}
        }
        assert!(sent.values().sum::<u32>() <= 1, "sent twice: {sent:?}");
        assert!(refused.iter().all(|owner| !sent.contains_key(owner)), "refused but sent");
    }
    Ok(())
}

#[test]
fn random_schedules_send_at_most_once() {
    const SEEDS: u64 = 2000;
    const SCHEDULE_BYTES: u64 = 512;
    for seed in 1..=SEEDS {
        arbtest::arbtest(schedule).seed(seed << 32 | SCHEDULE_BYTES);
    }
}

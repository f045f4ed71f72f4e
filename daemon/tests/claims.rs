//! Claims against a log service with injected faults: at most one attempt per key may be sent.

use std::time::Duration;

use bytes::Bytes;
use gentianhinge_core::claim::{Answer, CallHash, KeyId, Outcome};
use gentianhinge_core::code::ResultCode;
use gentianhinge_core::ids::RouterId;
use gentianhinge_standin::log as standin_log;
use gentianhinged::platform::claims::{ClaimResult, Claims, MAX_STORED_ANSWER_BYTES, Options};
use gentianhinged::platform::log::Log;
use tokio::{task, time};

/// Timeout for a settlement to reach another router.
const SETTLED_TIMEOUT: Duration = Duration::from_secs(4);
const CALL: CallHash = CallHash([1; 32]);

struct Router {
    claims: Claims,
    task: task::JoinHandle<()>,
}

impl Drop for Router {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Router {
    fn start(log: &standin_log::Handle, name: &str, incarnation: u64) -> Router {
        let claims = Claims::new(Options {
            log: Log::new(&format!("http://{}", log.addr()), Duration::from_millis(300)),
            router: RouterId::new(name, incarnation),
            retention: Duration::from_secs(3600),
            append_interval: Duration::from_millis(10),
            max_call_duration: Duration::from_secs(60),
        });
        let running = claims.clone();
        let task = tokio::spawn(async move { running.run().await });
        Router { claims, task }
    }

    async fn claim(&self, key: &str) -> ClaimResult {
        self.claims.claim(KeyId::new("team", key.as_bytes()), CALL).await
    }

    /// Claims a key repeatedly until the result isn't `InProgress`.
    async fn wait_settled(&self, key: &str) -> ClaimResult {
        let poll = async {
            loop {
                match self.claim(key).await {
                    ClaimResult::InProgress => time::sleep(Duration::from_millis(5)).await,
                    result => return result,
                }
            }
        };
        time::timeout(SETTLED_TIMEOUT, poll).await.expect("settled in time")
    }
}

fn answer(body: &[u8]) -> Outcome {
    Outcome::Answered(Answer { status: 201, content_type: None, body: body.to_vec() })
}

fn claimed(result: ClaimResult) -> gentianhinged::platform::claims::Claim {
    match result {
        ClaimResult::Claimed(claim) => claim,
        other => panic!("{other:?}"),
    }
}

fn is_refused(result: &ClaimResult) -> bool {
    matches!(result, ClaimResult::Refused(ResultCode::LogUnavailable))
}

/// Defines tests, each with a log service and two routers.
macro_rules! cases {
    ($($case:ident($log:ident, $one:ident, $two:ident) $body:block)*) => {$(
        #[tokio::test]
        async fn $case() {
            let $log = standin_log::spawn(standin_log::Config::default()).await.unwrap();
            let ($one, $two) = (Router::start(&$log, "r1", 1), Router::start(&$log, "r2", 1));
            $body
        }
    )*};
}

cases! {
    answer_is_stored_for_retries(log, one, two) {
        let mut claim = claimed(one.claim("k").await);
        claim.mark_sending();
        assert!(matches!(one.claim("k").await, ClaimResult::InProgress));
        claim.settle(answer(b"booked"));
        let ClaimResult::Stored(stored) = two.wait_settled("k").await else { panic!("not stored") };
        assert_eq!((stored.status, stored.body.as_slice()), (201, &b"booked"[..]));
        let other_call = two.claims.claim(KeyId::new("team", b"k"), CallHash([2; 32])).await;
        assert!(matches!(other_call, ClaimResult::Refused(ResultCode::KeyReused)));
        let _ = log;
    }

    one_key_through_several_routers_at_once(log, one, two) {
        let three = Router::start(&log, "r3", 1);
        for number in 0..20 {
            let key = format!("k{number}");
            let (a, b, c) = tokio::join!(one.claim(&key), two.claim(&key), three.claim(&key));
            let results = [a, b, c];
            let sent = results.iter().filter(|result| matches!(result, ClaimResult::Claimed(_)));
            assert_eq!(sent.count(), 1, "{results:?}");
        }
    }

    claims_are_batched(log, one, _two) {
        let calls = (0..200).map(|number| {
            let one = &one;
            async move { claimed(one.claim(&format!("k{number}")).await).settle(Outcome::Unknown) }
        });
        futures_util::future::join_all(calls).await;
        let appends = log.log().stats().append_count;
        assert!(appends <= 50, "{appends} appends for 200 claims");
    }

    refused_while_the_log_is_down(log, one, two) {
        log.log().set_faults(standin_log::Faults { append_outage: true, ..Default::default() });
        assert!(is_refused(&one.claim("k").await));
        log.log().set_faults(standin_log::Faults::default());
        claimed(two.claim("k").await).settle(Outcome::Unknown);
    }

    claim_with_a_lost_reply_is_read_back(log, one, two) {
        log.log().set_faults(standin_log::Faults { drop_reply: true, ..Default::default() });
        let claim = claimed(one.claim("k").await);
        assert!(matches!(two.claim("k").await, ClaimResult::InProgress));
        drop(claim);
    }

    refused_claim_that_appears_later_is_released(log, one, two) {
        // The claim is appended, but its reply is lost, and it can't be read back before the
        // timeout.
        let faults =
            standin_log::Faults { drop_reply: true, read_outage: true, ..Default::default() };
        log.log().set_faults(faults);
        assert!(is_refused(&one.claim("k").await));
        log.log().set_faults(standin_log::Faults::default());
        // The key is free only after the first router has read its own claim and released it.
        let claim = claimed(two.wait_settled("k").await);
        assert!(matches!(one.claim("k").await, ClaimResult::InProgress));
        claim.settle(answer(b"once"));
        assert!(matches!(one.wait_settled("k").await, ClaimResult::Stored(_)));
    }

    dropped_before_the_send_is_free_again(_log, one, two) {
        drop(claimed(one.claim("k").await));
        claimed(two.wait_settled("k").await).settle(Outcome::Unknown);
    }

    dropped_after_the_send_is_unknown(_log, one, two) {
        let mut claim = claimed(one.claim("k").await);
        claim.mark_sending();
        drop(claim);
        assert!(matches!(two.wait_settled("k").await, ClaimResult::Unknown));
    }

    claim_of_a_killed_router_stays_in_progress(log, one, two) {
        let mut claim = claimed(one.claim("k").await);
        claim.mark_sending();
        one.task.abort();
        let restarted = Router::start(&log, "r1", 2);
        for router in [&two, &restarted] {
            assert!(matches!(router.claim("k").await, ClaimResult::InProgress));
        }
    }

    large_answer_is_not_stored(_log, one, two) {
        claimed(one.claim("k").await).settle(answer(&vec![b'x'; MAX_STORED_ANSWER_BYTES + 1]));
        assert!(matches!(two.wait_settled("k").await, ClaimResult::Unknown));
    }

    undecodable_record_is_skipped(log, one, two) {
        for shard in 0..4 {
            let stream = format!("claims-{shard}");
            log.log().append(&stream, Bytes::from_static(b"\xff{")).unwrap();
        }
        claimed(one.claim("k").await).settle(answer(b""));
        assert!(matches!(two.wait_settled("k").await, ClaimResult::Stored(_)));
    }

    settlement_is_appended_after_an_outage(log, one, two) {
        let claim = claimed(one.claim("k").await);
        log.log().set_faults(standin_log::Faults { append_outage: true, ..Default::default() });
        claim.settle(answer(b"booked"));
        time::sleep(Duration::from_millis(300)).await;
        log.log().set_faults(standin_log::Faults::default());
        assert!(matches!(two.wait_settled("k").await, ClaimResult::Stored(_)));
    }
}

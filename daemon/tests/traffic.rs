//! Unit tests of the request path: event splitting, prompts, retry budgets and cache affinity.

use bytes::Bytes;
use gentianhinge_core::ids::Name;
use gentianhinge_core::message::PreferredTargets;
use gentianhinged::traffic::{affinity, prompt, retry, sse};

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[test]
        fn $name() { $body }
    )* };
}

const EVENTS: &str = "id: 1\ndata: {\"a\": 1}\n\nid: 2\ndata: {\"usage\": {\"prompt_tokens\": 3, \
                      \"completion_tokens\": 2}}\n\ndata: [DONE]\n\n";

fn split(text: &str, chunk_bytes: usize) -> Vec<sse::Event> {
    let mut splitter = sse::Splitter::default();
    let mut events = Vec::new();
    for chunk in text.as_bytes().chunks(chunk_bytes) {
        assert!(splitter.push(&Bytes::copy_from_slice(chunk)));
        events.extend(std::iter::from_fn(|| splitter.next_event()));
    }
    events
}

fn names() -> Vec<Name> {
    (0..20).map(|i| Name::from(format!("m{i}"))).collect()
}

fn prefix_of(body: &serde_json::Value) -> Option<Vec<u8>> {
    prompt::parse(body.to_string().as_bytes()).unwrap().prefix().map(<[u8]>::to_vec)
}

fn first_choices(names: &[Name]) -> Vec<PreferredTargets> {
    let ranking = affinity::Affinity::new(names.iter());
    (0..2_000_u32).map(|i| ranking.preferred(&i.to_le_bytes())).collect()
}

cases! {
    events_do_not_depend_on_chunk_boundaries: {
        let whole = split(EVENTS, EVENTS.len());
        assert_eq!(whole.iter().map(|e| e.token).collect::<Vec<_>>(), [Some(1), Some(2), None]);
        assert_eq!(whole.iter().map(|e| e.done).collect::<Vec<_>>(), [false, false, true]);
        let usage = sse::Usage { prompt_tokens: 3, completion_tokens: 2 };
        assert_eq!(whole.iter().map(sse::Event::usage).collect::<Vec<_>>(), [None, Some(usage), None]);
        for chunk_bytes in 1..EVENTS.len() {
            assert_eq!(split(EVENTS, chunk_bytes), whole, "chunks of {chunk_bytes} bytes");
        }
    },
    an_event_without_end_is_rejected: {
        let mut splitter = sse::Splitter::default();
        let chunk = Bytes::from(vec![b'x'; 1 << 18]);
        let mut accepted = 0;
        while splitter.push(&chunk) {
            assert!(splitter.next_event().is_none());
            accepted += 1;
            assert!(accepted < 100, "the splitter grows without bound");
        }
    },
    a_budget_allows_a_fraction_of_finished_requests: {
        let budgets = retry::Budgets::new(0.1);
        let team = Name::from("lanes");
        let at_start = (0..100).filter(|_| budgets.withdraw(&team)).count();
        (0..50).for_each(|_| budgets.deposit(&team));
        let earned = (0..100).filter(|_| budgets.withdraw(&team)).count();
        assert_eq!((at_start, earned), (10, 5));
        assert!(budgets.withdraw(&Name::from("clubs")), "each team has its own");
    },
    prompts_with_a_common_beginning_share_a_prefix: {
        let rules = "Range regulations. ".repeat(100);
        let chat = |question: &str| serde_json::json!({"model": "m", "messages": [
            {"role": "system", "content": rules},
            {"content": [{"type": "text", "text": question}], "role": "user"}]});
        assert_eq!(prefix_of(&chat("Which lanes?")), prefix_of(&chat("Which bows?")));
        let text = serde_json::json!({"model": "m", "prompt": [rules, "more"]});
        assert_eq!(prefix_of(&text).unwrap(), &rules.as_bytes()[..prompt::PREFIX_BYTES]);
    },
    short_and_odd_prompts_have_no_prefix: {
        for prompt in ["\"short\"", "[1, 2, 3]", "7", "null", "{\"a\": [1]}", "[[1], {\"b\": 2}]", "true"] {
            let body = format!("{{\"model\": \"m\", \"prompt\": {prompt}}}");
            let parsed = prompt::parse(body.as_bytes()).unwrap();
            assert!(parsed.prefix().is_none(), "{prompt}");
        }
    },
    prefixes_spread_over_the_targets: {
        let names = names();
        let choices = first_choices(&names);
        for name in &names {
            let count = choices.iter().filter(|choice| choice[0] == *name).count();
            assert!((50..200).contains(&count), "{name}: {count} of 2000, 100 expected");
        }
        assert!(choices.iter().all(|choice| choice.len() == 2 && choice[0] != choice[1]));
    },
    removing_a_target_moves_only_its_prefixes: {
        let names = names();
        let (before, after) = (first_choices(&names), first_choices(&names[1..]));
        for (old, new) in before.iter().zip(&after) {
            let expected = if old[0] == names[0] { &old[1] } else { &old[0] };
            assert_eq!(&new[0], expected);
        }
    },
}

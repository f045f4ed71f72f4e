//! Membership on an in-memory network.

use std::cell;
use std::rc;
use std::time::Duration;

use gentianhinge_core::ids::Name;
use gentianhinge_core::membership::{Event, Kind, Message, Status};

mod network;

use network::{Network, name};

const S: Duration = Duration::from_secs(1);

fn joined(count: usize, seed: u64) -> Network {
    let mut network = Network::new(count, seed);
    network.run_until(10 * S, |network| (0..count).all(|i| network.sees(i, 0..count)));
    network
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test(start_paused = true)]
        async fn $name() { $body }
    )* };
}

cases! {
    all_routers_discover_each_other: {
        for count in [2, 8, 100] {
            joined(count, 1);
        }
    },
    a_lost_request_to_join_does_not_split_the_fleet: {
        for seed in 1..=20 {
            let mut network = Network::new(0, seed);
            network.start(0, 1);
            network.start(1, 1);
            network.machine(1).set_seeds(vec![network::addr(0)]);
            network.loss_ratio = 1.0;
            network.flush(1);
            network.loss_ratio = 0.0;
            network.start(2, 1);
            network.machine(2).set_seeds(vec![network::addr(1)]);
            network.run_until(2 * S, |network| (0..3).all(|i| network.sees(i, 0..3)));
        }
    },
    a_stopped_router_is_declared_dead: {
        let mut network = joined(8, 2);
        network.stop(3);
        network.run_until(8 * S, |network| {
            (0..8).filter(|i| *i != 3).all(|i| network.status(i, 3) == Status::Dead)
        });
    },
    an_urgent_probe_detects_a_failure_within_two_timeouts: {
        let mut network = joined(8, 3);
        network.run(20 * S);
        network.stop(3);
        let now = network.now;
        network.machine(5).probe_now(&name(3), now);
        network.flush(5);
        network.run_until(Duration::from_millis(600), |network| {
            (0..8).filter(|i| *i != 3).all(|i| network.status(i, 3) == Status::Suspect)
        });
    },
    an_urgent_probe_of_a_live_router_changes_nothing: {
        let mut network = joined(8, 4);
        let now = network.now;
        network.machine(5).probe_now(&name(3), now);
        network.flush(5);
        network.run_until(S, |network| {
            assert_eq!(network.status(5, 3), Status::Alive);
            network.now > now + S * 9 / 10
        });
    },
    a_suspected_router_refutes: {
        let mut network = joined(8, 5);
        network.machine(2).take_events();
        let mut claim = network.machine(2).member(&name(3)).unwrap().clone();
        claim.status = Status::Suspect;
        let sender = network.machine(1).local_member().clone();
        let message = Message {
            kind: Kind::Spread,
            seq: 0,
            sender,
            members: vec![claim],
            leaving_targets: Vec::new(),
        };
        network.inject(2, message);
        assert_eq!(network.status(2, 3), Status::Suspect);
        network.run_until(S, |network| network.status(2, 3) == Status::Alive);
        network.run(5 * S);
        assert!((0..8).all(|i| network.sees(i, 0..8)));
    },
    indirect_probes_prevent_false_deaths_under_packet_loss: {
        let mut network = joined(8, 6);
        network.loss_ratio = 0.2;
        for _ in 0..60 {
            network.run(S);
            for i in 0..8 {
                let events = network.machine(i).take_events();
                assert!(!events.iter().any(|event| matches!(event, Event::Dead(_))), "{events:?}");
            }
        }
    },
    a_restarted_router_is_a_new_incarnation: {
        let mut network = joined(8, 7);
        network.start(3, 2);
        network.run_until(3 * S, |network| {
            (0..8).all(|i| network.machine(i).member(&name(3)).unwrap().id.incarnation == 2)
        });
        network.run_until(3 * S, |network| (0..8).all(|i| network.sees(i, 0..8)));
    },
    half_the_fleet_restarts_at_once: {
        let mut network = joined(8, 8);
        for i in 0..4 {
            network.start(i, 2);
        }
        network.run_until(5 * S, |network| {
            (0..8).all(|i| network.sees(i, 0..8))
                && (0..8).all(|i| {
                    (0..4).all(|j| network.machine(i).member(&name(j)).unwrap().id.incarnation == 2)
                })
        });
    },
    an_older_incarnation_reports_that_it_is_superseded: {
        let mut network = Network::new(4, 9);
        network.start(2, 7);
        network.run_until(10 * S, |network| (0..4).all(|i| network.sees(i, 0..4)));
        network.start(2, 5);
        network.run_until(5 * S, |network| {
            let events = network.machine(2).take_events();
            events.iter().any(|event| matches!(event, Event::Superseded(id) if id.incarnation == 7))
        });
    },
    a_leave_is_disseminated_at_once: {
        let mut network = joined(8, 10);
        network.machine(3).leave();
        network.flush(3);
        network.run_until(Duration::from_millis(100), |network| {
            (0..8).filter(|i| *i != 3).all(|i| network.status(i, 3) == Status::Left)
        });
    },
    draining_is_disseminated_at_once: {
        let mut network = joined(100, 11);
        network.run(30 * S);
        network.machine(3).set_draining(true);
        network.flush(3);
        network.run_until(S, |network| {
            (0..100).all(|i| network.machine(i).member(&name(3)).unwrap().draining)
        });
        assert!(!network.machine(0).eligible().any(|member| member.id.name == name(3)));
    },
    partitioned_groups_merge_again: {
        let mut network = joined(8, 12);
        for i in 0..4 {
            network.set_side(i, 1);
        }
        network.run_until(20 * S, |network| {
            (0..4).all(|i| network.sees(i, 0..4)) && (4..8).all(|i| network.sees(i, 4..8))
        });
        network.run(30 * S);
        for i in 0..8 {
            network.set_side(i, 0);
            network.machine(i).take_events();
        }
        network.run_until(10 * S, |network| (0..8).all(|i| network.sees(i, 0..8)));
        network.run(30 * S);
        assert!((0..8).all(|i| network.sees(i, 0..8)));
        for i in 0..8 {
            let events = network.machine(i).take_events();
            let dead = events.iter().filter(|event| matches!(event, Event::Dead(_)));
            assert_eq!(dead.count(), 0, "dead claims of the other group were applied");
        }
    },
    a_paused_router_suspects_no_others: {
        let mut network = joined(8, 13);
        let sent = rc::Rc::new(cell::Cell::new(false));
        let flag = sent.clone();
        network.on_send = Box::new(move |from, message| {
            if *from == name(3) && message.kind == Kind::Ping {
                flag.set(true);
            }
        });
        for _ in 0..20 {
            // The pause begins while an acknowledgement is in transit.
            sent.set(false);
            network.run_until(3 * S, |_| sent.get());
            network.set_paused(3, true);
            network.run(4 * S);
            network.machine(3).take_events();
            network.set_paused(3, false);
            let events = network.machine(3).take_events();
            let is_accusation = |event: &Event| matches!(event, Event::Suspect(_) | Event::Dead(_));
            assert!(!events.iter().any(is_accusation), "{events:?}");
            network.run_until(10 * S, |network| (0..8).all(|i| network.sees(i, 0..8)));
        }
    },
    an_isolated_router_rejoins: {
        let mut network = joined(50, 19);
        network.set_side(7, 1);
        network.run(60 * S);
        assert!(network.sees(7, []));
        network.set_side(7, 0);
        // Two intervals between probes of dead members.
        network.run_until(10 * S, |network| (0..50).all(|i| network.sees(i, 0..50)));
    },
    a_replayed_datagram_does_not_revive_a_dead_member: {
        let mut network = joined(8, 14);
        let sender = network.machine(3).local_member().clone();
        network.stop(3);
        network.run(10 * S);
        let kind = Kind::Ping;
        let message =
            Message { kind, seq: 1, sender, members: Vec::new(), leaving_targets: Vec::new() };
        network.inject(1, message);
        assert_eq!(network.status(1, 3), Status::Dead);
    },
    dead_members_are_removed: {
        let mut network = joined(4, 15);
        network.stop(3);
        network.run(700 * S);
        assert!((0..3).all(|i| network.machine(i).member(&name(3)).is_none()));
    },
    a_leaving_target_is_disseminated_and_permanent: {
        let mut network = joined(100, 16);
        network.run(30 * S);
        let target = Name::from("target-1");
        network.machine(4).add_leaving_target(&target, 5);
        network.flush(4);
        network.run_until(S, |network| {
            (0..100).all(|i| network.machine(i).is_target_leaving("target-1", 5))
        });
        network.machine(9).add_leaving_target(&target, 4);
        assert!(network.machine(9).is_target_leaving("target-1", 5));
        network.run(5 * S);
        for i in 0..100 {
            assert!(network.machine(i).is_target_leaving("target-1", 5));
            assert!(network.machine(i).is_target_leaving("target-1", 0));
            assert!(!network.machine(i).is_target_leaving("target-1", 6));
        }
    },
    a_router_that_joins_later_learns_all_leaving_targets: {
        // More targets and members than one page holds.
        let targets = (0..100).map(|i| format!("target-{i:03}").into()).collect::<Vec<Name>>();
        let mut network = joined(20, 20);
        for target in &targets {
            network.machine(4).add_leaving_target(target, 5);
        }
        network.run(120 * S);
        network.start(3, 2);
        network.run_until(2 * S, |network| {
            targets.iter().all(|target| network.machine(3).is_target_leaving(target, 5))
        });
    },
    the_same_seed_gives_the_same_run: {
        let run = |seed| {
            let mut network = joined(8, seed);
            network.stop(2);
            network.run_until(20 * S, |network| network.status(5, 2) == Status::Dead)
        };
        assert_eq!(run(17), run(17));
    },
    the_applied_offset_is_disseminated: {
        let mut network = joined(8, 18);
        for i in 0..8 {
            network.machine(i).set_applied_offset(42);
        }
        network.run_until(4 * S, |network| {
            (0..8).all(|i| network.machine(i).members().all(|member| member.applied_offset == 42))
        });
    },
}

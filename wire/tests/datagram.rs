//! Datagrams: what is sealed opens again, and nothing else does.

use gentianhinge_core::ids::RouterId;
use gentianhinge_core::membership::{Kind, LeavingTarget, Member, Message, Status, message};
use gentianhinge_wire::datagram::{self, DatagramError};

fn member(u: &mut arbtest::arbitrary::Unstructured<'_>) -> arbtest::arbitrary::Result<Member> {
    let name = |u: &mut arbtest::arbitrary::Unstructured<'_>| {
        let len = u.int_in_range(1..=message::MAX_NAME_BYTES)?;
        Ok::<_, arbtest::arbitrary::Error>("n".repeat(len))
    };
    let statuses = [Status::Alive, Status::Suspect, Status::Dead, Status::Left];
    let peers_addr = if u.arbitrary()? {
        (u.arbitrary::<[u8; 4]>()?, u.arbitrary()?).into()
    } else {
        (u.arbitrary::<[u8; 16]>()?, u.arbitrary()?).into()
    };
    Ok(Member {
        id: RouterId::new(name(u)?, u.arbitrary()?),
        version: u.arbitrary()?,
        status: *u.choose(&statuses)?,
        draining: u.arbitrary()?,
        applied_offset: u.arbitrary()?,
        peers_addr,
        region: name(u)?.into(),
        zone: name(u)?.into(),
    })
}

fn random_message(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<Message> {
    let kind = match u.int_in_range(0..=5)? {
        0 => Kind::Ping,
        1 => Kind::Ack,
        2 => Kind::PingRequest { target_addr: member(u)?.peers_addr },
        3 => Kind::Spread,
        4 => Kind::Sync { after: member(u)?.zone },
        _ => Kind::Page { more: u.arbitrary()? },
    };
    let members = (0..u.int_in_range(0..=4)?).map(|_| member(u)).collect::<Result<_, _>>()?;
    let incarnation = u.arbitrary()?;
    let leaving_targets = vec![LeavingTarget { name: member(u)?.region, incarnation }];
    Ok(Message { kind, seq: u.arbitrary()?, sender: member(u)?, members, leaving_targets })
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[test]
        fn $name() { $body }
    )* };
}

cases! {
    what_is_sealed_opens_again: {
        let sealer = datagram::Sealer::new("secret");
        arbtest::arbtest(|u| {
            let message = random_message(u)?;
            let bytes = sealer.seal(&message);
            assert_eq!(sealer.open(&bytes).unwrap(), message);
            Ok(())
        });
    },
    a_changed_byte_is_refused: {
        let sealer = datagram::Sealer::new("secret");
        arbtest::arbtest(|u| {
            let mut bytes = sealer.seal(&random_message(u)?);
            let at = u.choose_index(bytes.len())?;
            bytes[at] ^= u.int_in_range(1..=255u8)?;
            assert!(matches!(sealer.open(&bytes), Err(DatagramError::Hash)));
            Ok(())
        });
    },
    another_secret_is_refused: {
        arbtest::arbtest(|u| {
            let bytes = datagram::Sealer::new("theirs").seal(&random_message(u)?);
            let opened = datagram::Sealer::new("ours").open(&bytes);
            assert!(matches!(opened, Err(DatagramError::Hash)));
            Ok(())
        });
    },
    sizes_have_bounds: {
        let sealer = datagram::Sealer::new("secret");
        for len in [0, 16, datagram::MAX_DATAGRAM_BYTES + 1] {
            let opened = sealer.open(&vec![0; len]);
            assert!(matches!(opened, Err(DatagramError::Size(_))));
        }
    },
    noise_with_the_right_hash_is_refused_without_harm: {
        let sealer = datagram::Sealer::new("secret");
        let key = blake3::derive_key("gentianhinge 2026-12 membership datagram", b"secret");
        arbtest::arbtest(|u| {
            let body = u.arbitrary::<Vec<u8>>()?;
            let mut bytes = blake3::keyed_hash(&key, &body).as_bytes()[..16].to_vec();
            bytes.extend(&body);
            // The hash is right, so whatever else is wrong is found by the decoder.
            if let Err(err) = sealer.open(&bytes) {
                assert!(!matches!(err, DatagramError::Hash));
            }
            Ok(())
        });
    },
    the_fullest_datagram_fits: {
        let member = |i: usize| Member {
            id: RouterId::new(format!("router-{i:03}"), u64::MAX),
            version: u32::MAX,
            status: Status::Alive,
            draining: true,
            applied_offset: u64::MAX,
            peers_addr: ([255, 255, 255, 255], 65535).into(),
            region: "quebec-est".into(),
            zone: "quebec-est-1".into(),
        };
        // As many as the bound on bytes lets through, and the largest sender.
        let count = message::MAX_UPDATES_BYTES / (48 + 32);
        let mut sender = member(0);
        sender.id.name = "n".repeat(message::MAX_NAME_BYTES).as_str().into();
        sender.region = sender.id.name.clone();
        sender.zone = sender.id.name.clone();
        let members = (0..count).map(member).collect();
        let message = Message {
            kind: Kind::Ping,
            seq: u64::MAX,
            sender,
            members,
            leaving_targets: Vec::new(),
        };
        let len = datagram::Sealer::new("secret").seal(&message).len();
        assert!(len <= datagram::MAX_DATAGRAM_BYTES, "{len}");
    },
}

//! Membership datagrams: sealed messages decode unchanged, and other datagrams are rejected.

use gentianhinge_core::ids::RouterId;
use gentianhinge_core::membership::{Kind, LeavingTarget, Member, Message, Status, message};
use gentianhinge_wire::datagram::{self, DatagramError};

fn random_member(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<Member> {
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
        2 => Kind::PingRequest { target_addr: random_member(u)?.peers_addr },
        3 => Kind::Spread,
        4 => Kind::Sync { after: random_member(u)?.zone },
        _ => Kind::Page { more: u.arbitrary()? },
    };
    let members =
        (0..u.int_in_range(0..=4)?).map(|_| random_member(u)).collect::<Result<_, _>>()?;
    let incarnation = u.arbitrary()?;
    let leaving_targets = vec![LeavingTarget { name: random_member(u)?.region, incarnation }];
    Ok(Message { kind, seq: u.arbitrary()?, sender: random_member(u)?, members, leaving_targets })
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[test]
        fn $name() { $body }
    )* };
}

cases! {
    sealed_message_decodes_unchanged: {
        let sealer = datagram::Sealer::new("secret");
        arbtest::arbtest(|u| {
            let message = random_message(u)?;
            let bytes = sealer.seal(&message);
            assert_eq!(sealer.open(&bytes).unwrap(), message);
            Ok(())
        });
    },
    datagram_with_a_changed_byte_is_rejected: {
        let sealer = datagram::Sealer::new("secret");
        arbtest::arbtest(|u| {
            let mut bytes = sealer.seal(&random_message(u)?);
            let index = u.choose_index(bytes.len())?;
            bytes[index] ^= u.int_in_range(1..=255u8)?;
            assert!(matches!(sealer.open(&bytes), Err(DatagramError::Hash)));
            Ok(())
        });
    },
    datagram_of_another_secret_is_rejected: {
        arbtest::arbtest(|u| {
            let bytes = datagram::Sealer::new("theirs").seal(&random_message(u)?);
            let result = datagram::Sealer::new("ours").open(&bytes);
            assert!(matches!(result, Err(DatagramError::Hash)));
            Ok(())
        });
    },
    datagram_of_invalid_size_is_rejected: {
        let sealer = datagram::Sealer::new("secret");
        for len in [0, 16, datagram::MAX_DATAGRAM_BYTES + 1] {
            let result = sealer.open(&vec![0; len]);
            assert!(matches!(result, Err(DatagramError::Size(_))));
        }
    },
    random_body_with_a_valid_hash_does_not_panic: {
        let sealer = datagram::Sealer::new("secret");
        let key = blake3::derive_key("gentianhinge 2026-12 membership datagram", b"secret");
        arbtest::arbtest(|u| {
            let body = u.arbitrary::<Vec<u8>>()?;
            let mut bytes = blake3::keyed_hash(&key, &body).as_bytes()[..16].to_vec();
            bytes.extend(&body);
            // The hash is valid, so only the size check or the decoder may reject the datagram.
            if let Err(err) = sealer.open(&bytes) {
                assert!(!matches!(err, DatagramError::Hash));
            }
            Ok(())
        });
    },
    largest_message_fits_one_datagram: {
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
        // As many members as the limit on updates allows (48 bytes and the names each), and a sender
        // with names of maximum length.
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

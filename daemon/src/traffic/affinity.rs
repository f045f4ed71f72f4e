//! Cache affinity: which targets are likely to hold a prompt's prefix in their cache.
//!
//! Each router ranks a pool's targets for a prefix by rendezvous hashing. All routers therefore
//! send a prefix to the same few targets without coordination, and adding or removing a target
//! moves only that target's prefixes. The engines' cache events would be more accurate, but they
//! arrive late and with gaps, and every router would have to subscribe to every engine.

use gentianhinge_core::ids::Name;
use gentianhinge_core::message::PreferredTargets;

/// Preferred targets per prefix; the second is used while the first has no free slot.
const PREFERRED_COUNT: usize = 2;

/// Ranks the targets of one pool by rendezvous hashing.
#[derive(Debug)]
pub struct Affinity {
    targets: Vec<(u64, Name)>,
}

impl Affinity {
    /// Creates a ranking over the names of a pool's targets.
    pub fn new<'a>(targets: impl Iterator<Item = &'a Name>) -> Affinity {
        let seeded = targets.map(|name| (hash(name.as_bytes()), name.clone()));
        Affinity { targets: seeded.collect() }
    }

    /// Returns the targets with the highest scores for a prefix, best first.
    pub fn preferred(&self, prefix: &[u8]) -> PreferredTargets {
        let prefix = hash(prefix);
        let mut best = [(0, None); PREFERRED_COUNT];
        for (seed, name) in &self.targets {
            let score = mix(prefix ^ seed);
            let rank = best.iter().position(|(other, name)| name.is_none() || score > *other);
            if let Some(rank) = rank {
                best[rank..].rotate_right(1);
                best[rank] = (score, Some(name));
            }
        }
        best.into_iter().filter_map(|(_, name)| name.cloned()).collect()
    }
}

fn hash(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// The finalizer of SplitMix64: flipping one input bit flips about half of the output bits.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

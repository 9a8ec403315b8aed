//! Compares the map that is kept as a sorted vector with the standard ordered map.

use std::collections::BTreeMap;

use fulmarlift_core::sorted;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn map_agrees_with_ordered_map(entries: Vec<(u8, u16)>, removed: Vec<u8>) {
        let mut map: sorted::Map<u8, u16> = entries.iter().copied().collect();
        let mut known: BTreeMap<u8, u16> = entries.iter().copied().collect();
        for key in removed {
            prop_assert_eq!(map.remove(key), known.remove(&key));
            prop_assert_eq!(map.insert(key.wrapping_add(1), 7), known.insert(key.wrapping_add(1), 7));
        }
        let left: Vec<_> = map.iter().map(|(key, value)| (key, *value)).collect();
        prop_assert_eq!(left, known.into_iter().collect::<Vec<_>>());
    }
}

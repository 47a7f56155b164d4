//! Hash maps whose order of iteration depends on their content alone.

use std::collections::HashMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::BuildHasherDefault;

/// `DeterministicMap` is a hash map without a random seed, so that a run of the state machines can be
/// repeated. For keys that callers choose, take the map of the standard library.
pub type DeterministicMap<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;

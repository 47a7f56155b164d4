//! Hash maps whose iteration order does not depend on a random seed.

use std::collections::HashMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::BuildHasherDefault;

/// `DeterministicMap` is a hash map without a random seed, so that runs of the state machines are
/// reproducible. Use the map of the standard library for keys that callers choose, since they
/// could force collisions.
pub type DeterministicMap<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;

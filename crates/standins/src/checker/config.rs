//! Configurations: never back, and one content for each version.

use {
    crate::checker::{InForce, Violation},
    std::collections::{BTreeMap, BTreeSet},
};

/// Checks what each process had in force.
pub(super) fn check(in_force: &[InForce], found: &mut Vec<Violation>) {
    let mut sorted: Vec<_> = in_force.iter().collect();
    sorted.sort_by_key(|seen| seen.at);
    let mut newest = BTreeMap::new();
    let mut contents = BTreeMap::new();
    let mut differing = BTreeSet::new();
    for seen in sorted {
        let before = newest.insert(seen.node, seen.version);
        if before.is_some_and(|before| before > seen.version) {
            found.push(Violation::ConfigWentBack { node: seen.node, at: seen.at });
        }
        if *contents.entry(seen.version).or_insert(seen.content) != seen.content {
            differing.insert(seen.version);
        }
    }
    found.extend(differing.into_iter().map(|version| Violation::ConfigDiffers { version }));
}

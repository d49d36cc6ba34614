//! Configurations: versions never decrease, and each version has one content.

use {
    crate::checker::{InForce, Violation},
    std::collections::{BTreeMap, BTreeSet},
};

/// Checks the configurations in force at each process.
pub(super) fn check(in_force: &[InForce], violations: &mut Vec<Violation>) {
    let mut sorted: Vec<_> = in_force.iter().collect();
    sorted.sort_by_key(|observation| observation.at);
    let mut newest = BTreeMap::new();
    let mut contents = BTreeMap::new();
    let mut differing = BTreeSet::new();
    for observation in sorted {
        let previous = newest.insert(observation.node, observation.version);
        if previous.is_some_and(|previous| previous > observation.version) {
            violations
                .push(Violation::ConfigWentBack { node: observation.node, at: observation.at });
        }
        if *contents.entry(observation.version).or_insert(observation.content)
            != observation.content
        {
            differing.insert(observation.version);
        }
    }
    violations.extend(differing.into_iter().map(|version| Violation::ConfigDiffers { version }));
}

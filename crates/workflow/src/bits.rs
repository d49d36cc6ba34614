//! A bit set of small integers, such as the finished tasks of a step.

use serde::{Deserialize, Serialize};

/// A growable bit set of integers from 0.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Bits(Vec<u8>);

impl Bits {
    /// Adds `index`.
    pub fn insert(&mut self, index: u32) {
        let byte = (index / 8) as usize;
        if self.0.len() <= byte {
            self.0.resize(byte + 1, 0);
        }
        self.0[byte] |= 1 << (index % 8);
    }

    /// Returns whether `index` is in the set.
    pub fn contains(&self, index: u32) -> bool {
        self.0.get((index / 8) as usize).is_some_and(|byte| byte & (1 << (index % 8)) != 0)
    }

    /// Returns the number of members.
    pub fn count(&self) -> u32 {
        self.0.iter().map(|byte| byte.count_ones()).sum()
    }
}

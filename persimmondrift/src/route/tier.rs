//! The targets of one service at one distance.

use super::Key;

/// A set of targets that supports insertion, removal and random choice in constant time.
#[derive(Debug, Default)]
pub struct RandomSet {
    keys: Vec<Key>,
}

/// The index of a target in a [`RandomSet`]; `None` if it is not in the set.
pub type Position = Option<usize>;

/// The targets of one service at one distance.
#[derive(Debug, Default)]
pub struct Tier {
    /// Targets that accept new requests.
    pub open: RandomSet,
    /// Targets whose load is below their request limit; probed ones are included.
    pub available: RandomSet,
}

impl RandomSet {
    /// Returns the targets in no particular order.
    #[must_use]
    pub fn keys(&self) -> &[Key] {
        &self.keys
    }

    /// Adds a target and returns its position.
    pub fn add(&mut self, key: Key) -> usize {
        self.keys.push(key);
        self.keys.len() - 1
    }

    /// Removes the target at a position. Returns the target that moved to this position, if any.
    pub fn remove(&mut self, position: usize) -> Option<Key> {
        self.keys.swap_remove(position);
        self.keys.get(position).copied()
    }

    /// Draws two targets that are not excluded; they may be the same.
    pub fn draw_two(&self, excluded: &[Key], random: &mut fastrand::Rng) -> Option<(Key, Key)> {
        let first = self.draw_one(excluded, random)?;
        let second = self.draw_one(excluded, random)?;
        Some((first, second))
    }

    fn draw_one(&self, excluded: &[Key], random: &mut fastrand::Rng) -> Option<Key> {
        if self.keys.is_empty() {
            return None;
        }
        let start = random.usize(..self.keys.len());
        let (before, after) = self.keys.split_at(start);
        after.iter().chain(before).find(|key| !excluded.contains(key)).copied()
    }
}

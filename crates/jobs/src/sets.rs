//! Sets of numbers in stored progress, in forms whose size stays small.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Number of tasks above which a set is stored as a bitmap if that is shorter. Earlier versions read
/// lists only, and hold a job whose progress has a bitmap.
const MAX_LISTED_TASKS: usize = 32;
/// Number of consecutive runs from which on they are stored as a range. Earlier versions read single
/// runs only.
const MIN_STORED_RANGE: u64 = 3;

/// Indices of tasks of one step. Many are stored as a bitmap in hexadecimal digits, since a list of
/// the 100,000 tasks that a job may have is longer than a record can be.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskSet(Vec<u16>);

impl TaskSet {
    /// Returns the indices in increasing order.
    pub fn iter(&self) -> impl Iterator<Item = u16> {
        self.0.iter().copied()
    }

    /// Returns the largest size in bytes that a set of tasks of a step takes as stored.
    pub(crate) const fn max_size(tasks: u32) -> usize {
        let listed = if (tasks as usize) < MAX_LISTED_TASKS {
            tasks as usize
        } else {
            MAX_LISTED_TASKS
        };
        // Each index has a separator, and the list two brackets.
        let list = 2 + listed * (digits(tasks) + 1);
        let bitmap = 2 + 2 * (tasks as usize).div_ceil(8);
        let is_listed = listed == tasks as usize || list > bitmap;
        if is_listed { list } else { bitmap }
    }

    fn list_size(&self) -> usize {
        let sizes = self.0.iter().map(|&index| digits(index.into()) + 1);
        2 + sizes.sum::<usize>()
    }

    fn bitmap(&self) -> String {
        let last = self.0.iter().max().copied().unwrap_or(0);
        let mut bytes = vec![0_u8; usize::from(last) / 8 + 1];
        for &index in &self.0 {
            bytes[usize::from(index) / 8] |= 1 << (index % 8);
        }
        bytes.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    fn from_bitmap(text: &str) -> Option<Self> {
        let mut indices = Vec::new();
        let mut first = 0_u16;
        for pair in text.as_bytes().chunks(2) {
            let digits = std::str::from_utf8(pair).ok().filter(|d| d.len() == 2)?;
            let byte = u8::from_str_radix(digits, 16).ok()?;
            let set = (0..8).filter(|bit| byte >> bit & 1 == 1);
            indices.extend(set.map(|bit| first + bit));
            first = first.checked_add(8)?;
        }
        Some(Self(indices))
    }
}

impl FromIterator<u16> for TaskSet {
    fn from_iter<T: IntoIterator<Item = u16>>(indices: T) -> Self {
        let mut indices: Vec<u16> = indices.into_iter().collect();
        indices.sort_unstable();
        Self(indices)
    }
}

impl Serialize for TaskSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let bitmap = match self.0.len() {
            0..=MAX_LISTED_TASKS => None,
            _ => Some(self.bitmap()).filter(|bitmap| bitmap.len() + 2 < self.list_size()),
        };
        match bitmap {
            Some(bitmap) => serializer.serialize_str(&bitmap),
            None => self.0.serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for TaskSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Stored {
            List(Vec<u16>),
            Bitmap(String),
        }
        match Stored::deserialize(deserializer)? {
            Stored::List(indices) => Ok(indices.into_iter().collect()),
            Stored::Bitmap(text) => {
                Self::from_bitmap(&text).ok_or_else(|| de::Error::custom("invalid bitmap of tasks"))
            }
        }
    }
}

/// Returns the number of decimal digits of a number.
const fn digits(number: u32) -> usize {
    match number.checked_ilog10() {
        Some(log) => log as usize + 1,
        None => 1,
    }
}

/// Run numbers of one task, kept as ranges, because runs that fail one after the other have
/// consecutive numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunSet(Vec<(u64, u64)>);

impl RunSet {
    /// Adds a run. Returns false if the set has it already.
    pub(crate) fn insert(&mut self, run: u64) -> bool {
        let next = self.0.partition_point(|&(_, last)| last < run);
        if self.0.get(next).is_some_and(|&(first, _)| first <= run) {
            return false;
        }
        self.0.insert(next, (run, run));
        self.join(next);
        if next > 0 {
            self.join(next - 1);
        }
        true
    }

    /// Returns whether the set has a run.
    pub(crate) fn contains(&self, run: u64) -> bool {
        let next = self.0.partition_point(|&(_, last)| last < run);
        self.0.get(next).is_some_and(|&(first, _)| first <= run)
    }

    /// Joins a range and the next one if no run lies between them.
    fn join(&mut self, index: usize) {
        let next = self.0.get(index + 1).copied();
        if let Some((first, last)) = next
            && self.0[index].1.checked_add(1) == Some(first)
        {
            self.0[index].1 = last;
            self.0.remove(index + 1);
        }
    }

    /// Joins the lowest ranges until at most `count` are left, which adds the runs between them.
    pub(crate) fn limit_ranges(&mut self, count: usize) {
        while self.0.len() > count.max(1) {
            let (_, last) = self.0.remove(1);
            self.0[0].1 = last;
        }
    }

    /// Returns the number of runs.
    #[must_use]
    pub fn len(&self) -> u64 {
        let lengths = self.0.iter().map(|&(first, last)| last - first);
        lengths.fold(0, |sum, length| {
            sum.saturating_add(length).saturating_add(1)
        })
    }

    /// Returns whether the set has no runs.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl FromIterator<u64> for RunSet {
    fn from_iter<T: IntoIterator<Item = u64>>(runs: T) -> Self {
        let mut set = Self::default();
        for run in runs {
            set.insert(run);
        }
        set
    }
}

#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum StoredRuns {
    One(u64),
    Range(u64, u64),
}

impl Serialize for RunSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut stored = Vec::new();
        for &(first, last) in &self.0 {
            if last - first + 1 >= MIN_STORED_RANGE {
                stored.push(StoredRuns::Range(first, last));
            } else {
                stored.extend((first..=last).map(StoredRuns::One));
            }
        }
        stored.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for RunSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut ranges = Vec::new();
        for stored in Vec::<StoredRuns>::deserialize(deserializer)? {
            match stored {
                StoredRuns::One(run) => ranges.push((run, run)),
                StoredRuns::Range(first, last) if first <= last => ranges.push((first, last)),
                StoredRuns::Range(..) => return Err(de::Error::custom("invalid range of runs")),
            }
        }
        // Earlier versions stored runs in the order in which they failed.
        ranges.sort_unstable();
        let mut set = Self::default();
        for (first, last) in ranges {
            match set.0.last_mut() {
                Some(range) if first <= range.1.saturating_add(1) => range.1 = range.1.max(last),
                _ => set.0.push((first, last)),
            }
        }
        Ok(set)
    }
}

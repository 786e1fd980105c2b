//! Limit on messages that a lasting fault would repeat without end.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hyssop_core::Millis;

/// Time over which messages are counted.
const WINDOW: Millis = Millis(1_000);

/// Keys that are counted one by one; the messages of all further keys are counted together.
const KEY_LIMIT: usize = 1_024;

/// Key of the messages beyond [`KEY_LIMIT`] keys.
const SHARED_KEY: &str = "other";

/// Messages that were left out, to be reported once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuppressedCount {
    /// Key of the messages.
    pub key: String,
    /// Number of messages.
    pub count: u64,
}

/// Lets a number of messages per second and key pass and counts the rest.
#[derive(Debug)]
pub struct LogLimiter {
    limit: u32,
    windows: Mutex<BTreeMap<String, Window>>,
}

/// Messages of one key since the start of the window.
#[derive(Clone, Copy, Debug)]
struct Window {
    start: Millis,
    passed: u32,
    suppressed: u64,
}

impl LogLimiter {
    /// Creates a limiter that lets `limit` messages per second and key pass.
    #[must_use]
    pub const fn new(limit: u32) -> Self {
        Self {
            limit,
            windows: Mutex::new(BTreeMap::new()),
        }
    }

    /// Counts a message. Returns `None` if it is to be left out, otherwise the number of messages
    /// of the key that were left out since the last one that passed.
    pub fn admit(&self, now: Millis, key: &str) -> Option<u64> {
        let mut windows = self.lock();
        if !windows.contains_key(key) && windows.len() >= KEY_LIMIT {
            windows.retain(|_, window| window.is_open(now) || window.suppressed > 0);
        }
        let is_counted = windows.contains_key(key) || windows.len() < KEY_LIMIT;
        let key = if is_counted { key } else { SHARED_KEY };
        if !windows.contains_key(key) {
            windows.insert(key.to_owned(), Window::new(now));
        }
        windows.get_mut(key)?.admit(now, self.limit)
    }

    /// Returns the counts of the messages left out in windows that have ended, and forgets them.
    /// Called now and then, so that the last messages of a fault are reported as well.
    pub fn take_suppressed(&self, now: Millis) -> Vec<SuppressedCount> {
        let mut windows = self.lock();
        let ended = windows.iter().filter(|(_, window)| !window.is_open(now));
        let counts = ended.map(|(key, window)| SuppressedCount {
            key: key.clone(),
            count: window.suppressed,
        });
        let counts = counts.filter(|suppressed| suppressed.count > 0).collect();
        windows.retain(|_, window| window.is_open(now));
        counts
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Window>> {
        self.windows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Window {
    const fn new(start: Millis) -> Self {
        Self {
            start,
            passed: 0,
            suppressed: 0,
        }
    }

    fn is_open(&self, now: Millis) -> bool {
        now.since(self.start) < WINDOW
    }

    fn admit(&mut self, now: Millis, limit: u32) -> Option<u64> {
        if !self.is_open(now) {
            self.start = now;
            self.passed = 0;
        }
        if self.passed < limit {
            self.passed += 1;
            return Some(std::mem::take(&mut self.suppressed));
        }
        self.suppressed += 1;
        None
    }
}

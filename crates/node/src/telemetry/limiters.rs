//! Rate limit on log messages that a persistent fault would repeat indefinitely.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hyssop_core::Millis;

/// Length of the window in which messages are counted.
const WINDOW: Millis = Millis(1_000);

/// Most keys with a window of their own; the messages of all further keys share one.
const MAX_KEYS: usize = 1_024;

/// Key that all keys beyond [`MAX_KEYS`] share.
const SHARED_KEY: &str = "other";

/// Number of messages of a key that the limiter has suppressed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuppressedCount {
    /// Key of the messages, `other` for those that share a window.
    pub key: String,
    /// Number of suppressed messages, at least 1.
    pub count: u64,
}

/// Admits a number of messages per second and key and counts the rest.
#[derive(Debug)]
pub struct LogLimiter {
    max_per_window: u32,
    windows: Mutex<BTreeMap<String, Window>>,
}

/// Numbers of messages of one key since the start of the window.
#[derive(Clone, Copy, Debug)]
struct Window {
    start: Millis,
    admitted: u32,
    suppressed: u64,
}

impl LogLimiter {
    /// Creates a limiter that admits `max_per_window` messages per second and key.
    #[must_use]
    pub const fn new(max_per_window: u32) -> Self {
        Self {
            max_per_window,
            windows: Mutex::new(BTreeMap::new()),
        }
    }

    /// Counts a message. Returns `None` if it must be suppressed, otherwise the number of messages
    /// of the key that were suppressed since the last admitted one.
    pub fn admit(&self, now: Millis, key: &str) -> Option<u64> {
        let mut windows = self.lock();
        if !windows.contains_key(key) && windows.len() >= MAX_KEYS {
            windows.retain(|_, window| window.is_open(now) || window.suppressed > 0);
        }
        let is_counted = windows.contains_key(key) || windows.len() < MAX_KEYS;
        let key = if is_counted { key } else { SHARED_KEY };
        if !windows.contains_key(key) {
            windows.insert(key.to_owned(), Window::new(now));
        }
        windows.get_mut(key)?.admit(now, self.max_per_window)
    }

    /// Removes the windows that have ended and returns their counts of suppressed messages. Called
    /// periodically, so that the last messages of a fault are reported as well.
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
            admitted: 0,
            suppressed: 0,
        }
    }

    fn is_open(&self, now: Millis) -> bool {
        now.since(self.start) < WINDOW
    }

    fn admit(&mut self, now: Millis, max_per_window: u32) -> Option<u64> {
        if !self.is_open(now) {
            self.start = now;
            self.admitted = 0;
        }
        if self.admitted < max_per_window {
            self.admitted += 1;
            return Some(std::mem::take(&mut self.suppressed));
        }
        self.suppressed += 1;
        None
    }
}

//! Cursor over a stream: follows the head, and starts from the newest snapshot when the records
//! that it needs are no longer kept.

use std::collections::{HashSet, VecDeque};

use hyssop_core::{Envelope, Offset, ReadReply, RecordId, StoredRecord};
use serde::de::DeserializeOwned;

/// Bounds of a tail.
#[derive(Clone, Copy, Debug)]
pub struct TailOptions {
    /// Most records asked for at once, and length of the steps in which a snapshot is searched
    /// for. Owners write a snapshot at least every 4,096 records.
    pub chunk_size: u32,
    /// Number of latest identifiers in which a repeated record is recognised. Later copies are
    /// made harmless by the preconditions of the records.
    pub dedup_window: usize,
}

impl Default for TailOptions {
    fn default() -> Self {
        Self {
            chunk_size: 4_096,
            dedup_window: 16_384,
        }
    }
}

impl TailOptions {
    /// Sets the most records asked for at once.
    #[must_use]
    pub const fn with_chunk_size(mut self, chunk_size: u32) -> Self {
        self.chunk_size = chunk_size;
        self
    }

    /// Sets the number of latest identifiers in which a repeated record is recognised.
    #[must_use]
    pub const fn with_dedup_window(mut self, dedup_window: usize) -> Self {
        self.dedup_window = dedup_window;
        self
    }
}

/// The read that a tail needs next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TailRequest {
    /// First offset wanted.
    pub from: Offset,
    /// Most records wanted.
    pub max: u32,
    /// Whether the read may wait for records at the head.
    pub can_wait: bool,
}

/// A record with its offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry<T> {
    /// Offset.
    pub offset: Offset,
    /// Contents.
    pub envelope: Envelope<T>,
}

/// What a tail found, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TailEvent<T> {
    /// The stream is kept from its first record; replay starts from the empty state.
    Start,
    /// Replay starts from this snapshot; the records from `upto` on follow.
    Snapshot {
        /// Snapshot record.
        entry: LogEntry<T>,
        /// First offset that it does not cover.
        upto: Offset,
    },
    /// Records are missing and no usable snapshot is kept. What is kept from `first` on follows.
    NoSnapshot {
        /// First offset still kept.
        first: Offset,
        /// Offset after the last record when the search began.
        head: Offset,
    },
    /// A record, each identifier once.
    Record(LogEntry<T>),
    /// A record that cannot be read; it is skipped.
    Malformed {
        /// Offset.
        offset: Offset,
        /// Why.
        cause: String,
    },
}

/// What a reply brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TailProgress<T> {
    /// What was found, in order.
    pub events: Vec<TailEvent<T>>,
    /// Whether all records below the reply's head have now been handed out. Only then does the
    /// read prove that the replayed state was current when the read was sent.
    pub is_at_head: bool,
}

/// A usable snapshot found while reading back.
#[derive(Clone, Debug)]
struct Found<T> {
    entry: LogEntry<T>,
    upto: Offset,
}

/// Search for a snapshot, chunk by chunk from the head down.
#[derive(Clone, Debug)]
struct Search<T> {
    /// Start of the chunk.
    low: Offset,
    /// Next offset to read in the chunk.
    next: Offset,
    /// End of the chunk.
    high: Offset,
    /// Head when the search began.
    head: Offset,
    /// Newest usable snapshot of the chunk so far.
    found: Option<Found<T>>,
}

#[derive(Clone, Debug)]
enum State<T> {
    /// The head is asked for; snapshots at or above the offset are not used.
    Locating { below: Offset },
    /// A snapshot is searched for.
    Searching(Search<T>),
    /// Records are handed out.
    Following,
}

/// Cursor over one stream. Does no I/O.
#[derive(Clone, Debug)]
pub struct Tail<T> {
    options: TailOptions,
    state: State<T>,
    next: Offset,
    window: Window,
}

impl<T: DeserializeOwned> Tail<T> {
    /// Creates a tail that starts from the newest snapshot.
    #[must_use]
    pub fn new(options: TailOptions) -> Self {
        let below = Offset(u64::MAX);
        Self::in_state(options, State::Locating { below }, Offset(0))
    }

    /// Creates a tail for a reader that holds the state of the stream below `next`.
    #[must_use]
    pub fn resume(options: TailOptions, next: Offset) -> Self {
        Self::in_state(options, State::Following, next)
    }

    fn in_state(options: TailOptions, state: State<T>, next: Offset) -> Self {
        let window = Window::new(options.dedup_window);
        Self {
            options,
            state,
            next,
            window,
        }
    }

    /// Returns the first offset that has not been handed out.
    #[must_use]
    pub const fn next_offset(&self) -> Offset {
        self.next
    }

    /// Tells whether records are handed out, and no snapshot is being searched for.
    #[must_use]
    pub const fn is_following(&self) -> bool {
        matches!(self.state, State::Following)
    }

    /// Returns the read that is due.
    #[must_use]
    pub fn next_request(&self) -> TailRequest {
        let (from, max) = match &self.state {
            State::Locating { .. } => (Offset(0), 1),
            State::Searching(search) => {
                let left = search.high.0 - search.next.0;
                (search.next, u32::try_from(left).unwrap_or(u32::MAX))
            }
            State::Following => (self.next, self.options.chunk_size),
        };
        TailRequest {
            from,
            max,
            can_wait: self.is_following(),
        }
    }

    /// Searches again for a snapshot, below the offset of one that the caller found not to be
    /// valid.
    pub fn reject_snapshot(&mut self, snapshot: Offset) {
        self.state = State::Locating { below: snapshot };
    }

    /// Takes the reply to [`Self::next_request`]. `covers` returns the first offset that a record
    /// does not cover if the record is a valid snapshot.
    pub fn apply(
        &mut self,
        reply: &ReadReply,
        covers: impl Fn(&LogEntry<T>) -> Option<Offset>,
    ) -> TailProgress<T> {
        let mut events = Vec::new();
        match &self.state {
            State::Locating { below } => {
                let high = reply.head.min(*below);
                self.search(reply.first, high, reply.head, &mut events);
            }
            State::Searching(_) => self.search_on(reply, covers, &mut events),
            State::Following if reply.first > self.next => {
                self.search(reply.first, reply.head, reply.head, &mut events);
            }
            State::Following => self.follow(reply, &mut events),
        }
        TailProgress {
            events,
            is_at_head: self.is_following() && self.next >= reply.head,
        }
    }

    /// Searches the chunk below `high`, or ends the search if nothing is kept there.
    fn search(
        &mut self,
        first: Offset,
        high: Offset,
        head: Offset,
        events: &mut Vec<TailEvent<T>>,
    ) {
        if high <= first {
            self.end_search(first, head, events);
            return;
        }
        let low = Offset(high.0.saturating_sub(u64::from(self.options.chunk_size))).max(first);
        self.state = State::Searching(Search {
            low,
            next: low,
            high,
            head,
            found: None,
        });
    }

    /// Ends a search without result.
    fn end_search(&mut self, first: Offset, head: Offset, events: &mut Vec<TailEvent<T>>) {
        events.push(if first == Offset(0) {
            TailEvent::Start
        } else {
            TailEvent::NoSnapshot { first, head }
        });
        self.follow_from(first);
    }

    fn follow_from(&mut self, next: Offset) {
        self.state = State::Following;
        self.next = next;
        self.window.clear();
    }

    fn search_on(
        &mut self,
        reply: &ReadReply,
        covers: impl Fn(&LogEntry<T>) -> Option<Offset>,
        events: &mut Vec<TailEvent<T>>,
    ) {
        let State::Searching(search) = &mut self.state else {
            return;
        };
        search.scan(reply, covers);
        if search.next < search.high {
            return;
        }
        // Retention goes on during the search, and may have passed the start of the chunk.
        let (low, head) = (search.low.max(reply.first), search.head);
        match search.found.take().filter(|f| f.upto >= reply.first) {
            Some(Found { entry, upto }) => {
                events.push(TailEvent::Snapshot { entry, upto });
                self.follow_from(upto);
            }
            None => self.search(reply.first, low, head, events),
        }
    }

    fn follow(&mut self, reply: &ReadReply, events: &mut Vec<TailEvent<T>>) {
        for stored in &reply.records {
            if stored.offset < self.next {
                continue;
            }
            self.next = stored.offset.next();
            match parse(stored) {
                Ok(entry) if self.window.insert(entry.envelope.id) => {
                    events.push(TailEvent::Record(entry));
                }
                Ok(_) => {}
                Err(event) => events.push(event),
            }
        }
    }
}

impl<T: DeserializeOwned> Search<T> {
    fn scan(&mut self, reply: &ReadReply, covers: impl Fn(&LogEntry<T>) -> Option<Offset>) {
        self.next = self.next.max(reply.first);
        for stored in &reply.records {
            if stored.offset < self.next || stored.offset >= self.high {
                continue;
            }
            self.next = stored.offset.next();
            let Ok(entry) = parse::<T>(stored) else {
                continue;
            };
            if let Some(upto) = covers(&entry).filter(|upto| *upto <= stored.offset) {
                self.found = Some(Found { entry, upto });
            }
        }
    }
}

fn parse<T: DeserializeOwned>(stored: &StoredRecord) -> Result<LogEntry<T>, TailEvent<T>> {
    let offset = stored.offset;
    match serde_json::from_str(&stored.record) {
        Ok(envelope) => Ok(LogEntry { offset, envelope }),
        Err(e) => Err(TailEvent::Malformed {
            offset,
            cause: e.to_string(),
        }),
    }
}

/// Latest identifiers, of bounded number.
#[derive(Clone, Debug)]
struct Window {
    size: usize,
    order: VecDeque<RecordId>,
    ids: HashSet<RecordId>,
}

impl Window {
    fn new(size: usize) -> Self {
        Self {
            size,
            order: VecDeque::new(),
            ids: HashSet::new(),
        }
    }

    /// Adds an identifier and returns whether it is new.
    fn insert(&mut self, id: RecordId) -> bool {
        if !self.ids.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > self.size {
            self.drop_oldest();
        }
        true
    }

    fn drop_oldest(&mut self) {
        if let Some(id) = self.order.pop_front() {
            self.ids.remove(&id);
        }
    }

    fn clear(&mut self) {
        self.order.clear();
        self.ids.clear();
    }
}

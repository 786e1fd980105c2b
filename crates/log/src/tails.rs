//! Reader of a stream that follows its head, and starts from the newest snapshot if the records
//! that it needs are no longer retained.

use std::collections::{HashSet, VecDeque};

use hyssop_core::{Envelope, Offset, ReadReply, RecordId, StoredRecord};
use serde::de::DeserializeOwned;

/// Bounds of a [`Tail`].
#[derive(Clone, Copy, Debug)]
pub struct TailOptions {
    /// Maximum number of records requested by one read, and number of offsets in each step of the
    /// search for a snapshot. Owners write a snapshot at least every 4,096 records.
    pub chunk_size: u32,
    /// Number of most recent identifiers among which a second copy of a record is recognised. The
    /// preconditions of the records make later copies harmless.
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
    /// Sets the maximum number of records requested by one read.
    #[must_use]
    pub const fn with_chunk_size(mut self, chunk_size: u32) -> Self {
        self.chunk_size = chunk_size;
        self
    }

    /// Sets the number of most recent identifiers among which a second copy is recognised.
    #[must_use]
    pub const fn with_dedup_window(mut self, dedup_window: usize) -> Self {
        self.dedup_window = dedup_window;
        self
    }
}

/// The read that a tail needs next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TailRequest {
    /// First offset to read.
    pub from: Offset,
    /// Maximum number of records to return.
    pub max: u32,
    /// Whether the log service may wait for records if there are none at `from`.
    pub can_wait: bool,
}

/// A decoded record with its offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry<T> {
    /// Offset in the stream.
    pub offset: Offset,
    /// Record with the fields that all records have.
    pub envelope: Envelope<T>,
}

/// Event of the replay of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TailEvent<T> {
    /// The stream is retained from its first record on; replay starts from the empty state.
    Start,
    /// Replay starts from this snapshot. The records from `upto` on follow.
    Snapshot {
        /// Snapshot record.
        entry: LogEntry<T>,
        /// First offset that the snapshot does not cover.
        upto: Offset,
    },
    /// Records are missing and no usable snapshot is retained. The records from `first` on follow.
    NoSnapshot {
        /// First offset still retained.
        first: Offset,
        /// Offset after the last record when the search began.
        head: Offset,
    },
    /// A record. Second copies of recent identifiers are left out.
    Record(LogEntry<T>),
    /// A record that cannot be decoded and is skipped.
    Malformed {
        /// Offset of the record.
        offset: Offset,
        /// Error of the decoder.
        cause: String,
    },
}

/// Result of one read of a tail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TailProgress<T> {
    /// Events in the order of the stream.
    pub events: Vec<TailEvent<T>>,
    /// Whether all records below the reply's head have been returned. Only then does the read
    /// confirm that the replayed state was current when the read was sent.
    pub is_at_head: bool,
}

/// A usable snapshot, and the first offset that it does not cover.
#[derive(Clone, Debug)]
struct FoundSnapshot<T> {
    entry: LogEntry<T>,
    upto: Offset,
}

/// Search for the newest usable snapshot, in chunks from the head backwards.
#[derive(Clone, Debug)]
struct Search<T> {
    /// First offset of the current chunk.
    start: Offset,
    /// Next offset to read in the current chunk.
    next_offset: Offset,
    /// Offset after the current chunk.
    end: Offset,
    /// Head when the search began.
    head: Offset,
    /// Newest usable snapshot found so far in the current chunk.
    found: Option<FoundSnapshot<T>>,
}

#[derive(Clone, Debug)]
enum State<T> {
    /// Reads the head of the stream. Snapshots at or above `below` are not used.
    LocatingHead { below: Offset },
    /// Searches for a snapshot.
    Searching(Search<T>),
    /// Returns records.
    Following,
}

/// Reader of one stream. Does no I/O: the driver carries out [`Self::next_request`] and passes the
/// reply to [`Self::apply`].
#[derive(Clone, Debug)]
pub struct Tail<T> {
    options: TailOptions,
    state: State<T>,
    next_offset: Offset,
    recent_ids: RecentIds,
}

impl<T: DeserializeOwned> Tail<T> {
    /// Creates a tail that starts from the newest snapshot.
    #[must_use]
    pub fn new(options: TailOptions) -> Self {
        let below = Offset(u64::MAX);
        Self::with_state(options, State::LocatingHead { below }, Offset(0))
    }

    /// Creates a tail for a reader that already has the state of the stream below `next_offset`.
    #[must_use]
    pub fn resume(options: TailOptions, next_offset: Offset) -> Self {
        Self::with_state(options, State::Following, next_offset)
    }

    fn with_state(options: TailOptions, state: State<T>, next_offset: Offset) -> Self {
        let recent_ids = RecentIds::new(options.dedup_window);
        Self {
            options,
            state,
            next_offset,
            recent_ids,
        }
    }

    /// Returns the first offset whose record has not been returned.
    #[must_use]
    pub const fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns whether the tail follows the stream and does not search for a snapshot.
    #[must_use]
    pub const fn is_following(&self) -> bool {
        matches!(self.state, State::Following)
    }

    /// Returns the read to carry out next.
    #[must_use]
    pub fn next_request(&self) -> TailRequest {
        let (from, max) = match &self.state {
            State::LocatingHead { .. } => (Offset(0), 1),
            State::Searching(search) => {
                let remaining = search.end.0 - search.next_offset.0;
                (
                    search.next_offset,
                    u32::try_from(remaining).unwrap_or(u32::MAX),
                )
            }
            State::Following => (self.next_offset, self.options.chunk_size),
        };
        TailRequest {
            from,
            max,
            can_wait: self.is_following(),
        }
    }

    /// Restarts the search for a snapshot below the offset of one that the caller found invalid.
    pub fn reject_snapshot(&mut self, snapshot: Offset) {
        self.state = State::LocatingHead { below: snapshot };
    }

    /// Processes the reply to [`Self::next_request`]. For a valid snapshot, `covers` returns the
    /// first offset that the snapshot does not cover; for other records it returns `None`.
    pub fn apply(
        &mut self,
        reply: &ReadReply,
        covers: impl Fn(&LogEntry<T>) -> Option<Offset>,
    ) -> TailProgress<T> {
        let mut events = Vec::new();
        match &self.state {
            State::LocatingHead { below } => {
                let end = reply.head.min(*below);
                self.search_below(reply.first, end, reply.head, &mut events);
            }
            State::Searching(_) => self.continue_search(reply, covers, &mut events),
            State::Following if reply.first > self.next_offset => {
                self.search_below(reply.first, reply.head, reply.head, &mut events);
            }
            State::Following => self.follow(reply, &mut events),
        }
        TailProgress {
            events,
            is_at_head: self.is_following() && self.next_offset >= reply.head,
        }
    }

    /// Searches the chunk below `end`, or ends the search if no record below it is retained.
    fn search_below(
        &mut self,
        first: Offset,
        end: Offset,
        head: Offset,
        events: &mut Vec<TailEvent<T>>,
    ) {
        if end <= first {
            self.end_search(first, head, events);
            return;
        }
        let start = Offset(end.0.saturating_sub(u64::from(self.options.chunk_size))).max(first);
        self.state = State::Searching(Search {
            start,
            next_offset: start,
            end,
            head,
            found: None,
        });
    }

    /// Ends a search that found no usable snapshot.
    fn end_search(&mut self, first: Offset, head: Offset, events: &mut Vec<TailEvent<T>>) {
        events.push(if first == Offset(0) {
            TailEvent::Start
        } else {
            TailEvent::NoSnapshot { first, head }
        });
        self.follow_from(first);
    }

    fn follow_from(&mut self, next_offset: Offset) {
        self.state = State::Following;
        self.next_offset = next_offset;
        self.recent_ids.clear();
    }

    fn continue_search(
        &mut self,
        reply: &ReadReply,
        covers: impl Fn(&LogEntry<T>) -> Option<Offset>,
        events: &mut Vec<TailEvent<T>>,
    ) {
        let State::Searching(search) = &mut self.state else {
            return;
        };
        search.scan(reply, covers);
        if search.next_offset < search.end {
            return;
        }
        // Records are also dropped during the search, possibly beyond the start of the chunk.
        let (start, head) = (search.start.max(reply.first), search.head);
        match search.found.take().filter(|f| f.upto >= reply.first) {
            Some(FoundSnapshot { entry, upto }) => {
                events.push(TailEvent::Snapshot { entry, upto });
                self.follow_from(upto);
            }
            None => self.search_below(reply.first, start, head, events),
        }
    }

    fn follow(&mut self, reply: &ReadReply, events: &mut Vec<TailEvent<T>>) {
        for stored in &reply.records {
            if stored.offset < self.next_offset {
                continue;
            }
            self.next_offset = stored.offset.next();
            match parse(stored) {
                Ok(entry) if self.recent_ids.insert(entry.envelope.id) => {
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
        self.next_offset = self.next_offset.max(reply.first);
        for stored in &reply.records {
            if stored.offset < self.next_offset || stored.offset >= self.end {
                continue;
            }
            self.next_offset = stored.offset.next();
            let Ok(entry) = parse::<T>(stored) else {
                continue;
            };
            if let Some(upto) = covers(&entry).filter(|upto| *upto <= stored.offset) {
                self.found = Some(FoundSnapshot { entry, upto });
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

/// The most recent identifiers, of bounded number.
#[derive(Clone, Debug)]
struct RecentIds {
    capacity: usize,
    queue: VecDeque<RecordId>,
    ids: HashSet<RecordId>,
}

impl RecentIds {
    fn new(capacity: usize) -> Self {
        Self {
            capacity,
            queue: VecDeque::new(),
            ids: HashSet::new(),
        }
    }

    /// Adds an identifier and returns whether it was not present.
    fn insert(&mut self, id: RecordId) -> bool {
        if !self.ids.insert(id) {
            return false;
        }
        self.queue.push_back(id);
        if self.queue.len() > self.capacity {
            self.drop_oldest();
        }
        true
    }

    fn drop_oldest(&mut self) {
        if let Some(id) = self.queue.pop_front() {
            self.ids.remove(&id);
        }
    }

    fn clear(&mut self) {
        self.queue.clear();
        self.ids.clear();
    }
}

//! Tokens, which must not appear in logs or messages.

use std::collections::BTreeMap;
use std::fmt;

use hyssop_core::TeamName;

/// A token whose debug output doesn't contain its text.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Secret(String);

impl Secret {
    /// Shortest token that is accepted, in characters.
    pub const MIN_LEN: usize = 8;

    /// Wraps a token; `None` unless it is 8 to 256 printable ASCII characters other than `,` and
    /// `=`.
    #[must_use]
    pub fn new(text: &str) -> Option<Self> {
        let allowed = |c: char| c.is_ascii_graphic() && c != ',' && c != '=';
        let has_valid_length = (Self::MIN_LEN..=256).contains(&text.len());
        (has_valid_length && text.chars().all(allowed)).then(|| Self(text.to_owned()))
    }

    /// Compares with a token from a request. The time depends only on the lengths, so that it
    /// reveals nothing about the text.
    #[must_use]
    pub fn matches(&self, token: &str) -> bool {
        let pairs = self.0.bytes().zip(token.bytes());
        let differing = pairs.fold(0, |differing, (a, b)| differing | (a ^ b));
        self.0.len() == token.len() && differing == 0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(hidden)")
    }
}

/// Tokens of the teams; each token belongs to one team.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Tokens(BTreeMap<TeamName, Vec<Secret>>);

impl Tokens {
    /// Adds a token of a team. A team may have several, for example while one replaces another.
    /// Returns `false` without adding it if the token is already in use.
    pub fn insert(&mut self, team: TeamName, token: Secret) -> bool {
        let is_unused = self.0.values().flatten().all(|known| *known != token);
        if is_unused {
            self.0.entry(team).or_default().push(token);
        }
        is_unused
    }

    /// Returns the team to which a token belongs; `None` if it is unknown.
    #[must_use]
    pub fn team(&self, token: &str) -> Option<&TeamName> {
        let mut teams = self.0.iter();
        let has_token = |tokens: &[Secret]| tokens.iter().any(|known| known.matches(token));
        teams
            .find(|(_, tokens)| has_token(tokens))
            .map(|(team, _)| team)
    }

    /// Returns the teams that have at least one token.
    pub fn teams(&self) -> impl Iterator<Item = &TeamName> {
        self.0.keys()
    }
}

impl fmt::Debug for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_map().entries(&self.0).finish()
    }
}

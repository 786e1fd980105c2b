//! Who calls: teams and operators by their tokens.

use hyssop_core::TeamName;
use hyssop_core::api::{self, ApiError, ErrorCode};
use salvo::Request;

use super::shared::Shared;

/// A caller whose token is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Caller {
    /// A team.
    Team(TeamName),
    /// An operator of the fleet, who may name a team.
    Operator(Option<TeamName>),
}

impl Caller {
    /// Identifies the caller of a request.
    ///
    /// # Errors
    ///
    /// Returns an error of kind `unauthenticated` without a known token, `forbidden` if a team
    /// names another one, and `invalid` for a team name that is none.
    pub(crate) fn of(shared: &Shared, req: &Request) -> Result<Self, ApiError> {
        let token = req.headers().get(api::AUTHORIZATION);
        let token = token.and_then(|value| api::bearer_token(value.to_str().ok()?));
        let unknown = || {
            let allowed = "Bearer and the token of a team or of the operators";
            ApiError::new(
                ErrorCode::Unauthenticated,
                "the token is missing or unknown",
            )
            .with_field(api::AUTHORIZATION, allowed)
        };
        let token = token.ok_or_else(unknown)?;
        let named = named_team(req)?;
        if shared.operator.matches(token) {
            return Ok(Self::Operator(named));
        }
        let team = shared.tokens.team(token).ok_or_else(unknown)?;
        match named {
            Some(named) if named != *team => Err(forbidden(team, &named)),
            _ => Ok(Self::Team(team.clone())),
        }
    }

    /// Returns the team for which the caller acts; `None` for an operator who names none.
    pub(crate) const fn team(&self) -> Option<&TeamName> {
        match self {
            Self::Team(team) => Some(team),
            Self::Operator(team) => team.as_ref(),
        }
    }

    /// Returns the team for which the caller acts.
    ///
    /// # Errors
    ///
    /// Returns an error of kind `invalid` for an operator who names none.
    pub(crate) fn need_team(&self) -> Result<&TeamName, ApiError> {
        self.team().ok_or_else(|| {
            let message = "the operators' token needs a team for this call";
            ApiError::new(ErrorCode::Invalid, message).with_field(api::TEAM, "the name of a team")
        })
    }

    /// Checks that the caller may touch what belongs to a team.
    ///
    /// # Errors
    ///
    /// Returns an error of kind `forbidden` if the caller acts for another team.
    pub(crate) fn may_touch(&self, owner: &TeamName) -> Result<(), ApiError> {
        match self.team() {
            Some(team) if team != owner => Err(forbidden(team, owner)),
            _ => Ok(()),
        }
    }

    /// Checks that the caller is an operator.
    ///
    /// # Errors
    ///
    /// Returns an error of kind `forbidden` for a team.
    pub(crate) fn need_operator(&self) -> Result<(), ApiError> {
        match self {
            Self::Operator(_) => Ok(()),
            Self::Team(team) => Err(ApiError::new(
                ErrorCode::Forbidden,
                format!("the token of team {team} does not allow this; it needs the operators'"),
            )),
        }
    }
}

fn forbidden(team: &TeamName, owner: &TeamName) -> ApiError {
    let message = format!("belongs to team {owner}; the token acts for team {team}");
    ApiError::new(ErrorCode::Forbidden, message)
}

fn named_team(req: &Request) -> Result<Option<TeamName>, ApiError> {
    let Some(value) = req.headers().get(api::TEAM) else {
        return Ok(None);
    };
    let name = value.to_str().unwrap_or_default();
    Ok(Some(TeamName::new(name)?))
}

//! Authentication of callers by token, and checks of what they may access.

use hyssop_core::TeamName;
use hyssop_core::api::{self, ApiError, ErrorCode};
use salvo::Request;

use super::shared::Shared;

/// A caller that has presented a known token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Caller {
    /// A caller with the token of this team.
    Team(TeamName),
    /// A caller with the operator token, and the team named in the request's team header, if any.
    Operator(Option<TeamName>),
}

impl Caller {
    /// Identifies the caller of a request by its token and team header.
    ///
    /// # Errors
    ///
    /// Returns an error with code `unauthenticated` if the token is missing or unknown, `forbidden`
    /// if the caller is a team and names another one, and `invalid` for an invalid team name.
    pub(crate) fn from_request(shared: &Shared, req: &Request) -> Result<Self, ApiError> {
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
        let requested = requested_team(req)?;
        if shared.operator_token.matches(token) {
            return Ok(Self::Operator(requested));
        }
        let team = shared.tokens.team(token).ok_or_else(unknown)?;
        match requested {
            Some(requested) if requested != *team => Err(forbidden(team, &requested)),
            _ => Ok(Self::Team(team.clone())),
        }
    }

    /// Returns the team on whose behalf the caller acts; `None` for an operator who names no team.
    pub(crate) const fn team(&self) -> Option<&TeamName> {
        match self {
            Self::Team(team) => Some(team),
            Self::Operator(team) => team.as_ref(),
        }
    }

    /// Returns the team on whose behalf the caller acts.
    ///
    /// # Errors
    ///
    /// Returns an error with code `invalid` for an operator who names no team.
    pub(crate) fn require_team(&self) -> Result<&TeamName, ApiError> {
        self.team().ok_or_else(|| {
            let message = "a call with the operator token must name a team";
            ApiError::new(ErrorCode::Invalid, message).with_field(api::TEAM, "the name of a team")
        })
    }

    /// Checks that the caller may read and change what `owner` owns.
    ///
    /// # Errors
    ///
    /// Returns an error with code `forbidden` if the caller acts on behalf of another team.
    pub(crate) fn check_access(&self, owner: &TeamName) -> Result<(), ApiError> {
        match self.team() {
            Some(team) if team != owner => Err(forbidden(team, owner)),
            _ => Ok(()),
        }
    }

    /// Checks that the caller is an operator.
    ///
    /// # Errors
    ///
    /// Returns an error with code `forbidden` if the caller is a team.
    pub(crate) fn require_operator(&self) -> Result<(), ApiError> {
        match self {
            Self::Operator(_) => Ok(()),
            Self::Team(team) => Err(ApiError::new(
                ErrorCode::Forbidden,
                format!(
                    "the token of team {team} does not allow this call; the operator token is required"
                ),
            )),
        }
    }
}

fn forbidden(team: &TeamName, owner: &TeamName) -> ApiError {
    let message = format!("belongs to team {owner}; the token acts for team {team}");
    ApiError::new(ErrorCode::Forbidden, message)
}

fn requested_team(req: &Request) -> Result<Option<TeamName>, ApiError> {
    let Some(value) = req.headers().get(api::TEAM) else {
        return Ok(None);
    };
    let name = value.to_str().unwrap_or_default();
    Ok(Some(TeamName::new(name)?))
}

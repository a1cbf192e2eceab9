//! Failures of operators' requests, and their exit codes.

use std::fmt;

/// Why an operator's request failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorError {
    /// The node can't be reached, or returned an unexpected response.
    Failed(String),
    /// The statement is invalid; the rendered errors.
    InvalidStatement(String),
    /// No credential, or not allowed.
    Forbidden(String),
    /// Refused: the version differs, or the command can't be applied at present.
    Refused(String),
    /// Unavailable at present; nothing was changed.
    Unavailable(String),
    /// The command may or may not have taken effect under this identifier.
    Unknown {
        /// The node's message, or the failure of the request.
        message: String,
        /// The command's identifier.
        id: String,
    },
    /// In force, but not yet at these nodes.
    Lagging(String),
}

impl OperatorError {
    /// Creates [`OperatorError::Failed`].
    pub(super) fn failed(message: impl Into<String>) -> OperatorError {
        OperatorError::Failed(message.into())
    }

    /// Whether a retry of the same query may succeed.
    pub(super) fn is_transient(&self) -> bool {
        matches!(
            self,
            OperatorError::Failed(_) | OperatorError::Unavailable(_)
        )
    }

    /// The exit code, as documented in `--help`.
    pub fn exit_code(&self) -> u8 {
        match self {
            OperatorError::Failed(_) => 1,
            OperatorError::InvalidStatement(_) => 2,
            OperatorError::Forbidden(_) => 3,
            OperatorError::Refused(_) => 4,
            OperatorError::Unavailable(_) => 5,
            OperatorError::Unknown { .. } => 6,
            OperatorError::Lagging(_) => 7,
        }
    }
}

impl fmt::Display for OperatorError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OperatorError::InvalidStatement(rendered) => formatter.write_str(rendered),
            OperatorError::Failed(message)
            | OperatorError::Forbidden(message)
            | OperatorError::Refused(message)
            | OperatorError::Unavailable(message) => writeln!(formatter, "{message}"),
            OperatorError::Unknown { message, id } => {
                writeln!(formatter, "{message}\nretry the command with: --id {id}")
            }
            OperatorError::Lagging(nodes) => writeln!(formatter, "not yet in force at {nodes}"),
        }
    }
}

impl std::error::Error for OperatorError {}

//! Why an operator did not get what was asked for, and the exit code.

use std::fmt;

/// Why an operator did not get what was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorError {
    /// The node can't be reached or did not understand.
    Failed(String),
    /// The statement is wrong; the mistakes, rendered.
    InvalidStatement(String),
    /// No credential, or not allowed.
    Forbidden(String),
    /// Refused as things are now.
    Refused(String),
    /// Not possible at present; nothing was changed.
    Unavailable(String),
    /// It may or may not have taken effect under this identifier.
    Unknown {
        /// What was said.
        message: String,
        /// The command's identifier.
        id: String,
    },
    /// In force, but not yet at these nodes.
    Lagging(String),
}

impl OperatorError {
    /// The node can't be reached or did not understand.
    pub(super) fn failed(message: impl Into<String>) -> OperatorError {
        OperatorError::Failed(message.into())
    }

    /// Whether the same query may succeed later.
    pub(super) fn is_transient(&self) -> bool {
        matches!(
            self,
            OperatorError::Failed(_) | OperatorError::Unavailable(_)
        )
    }

    /// The exit code, as `--help` has it.
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
                writeln!(formatter, "{message}\nrepeat the command with: --id {id}")
            }
            OperatorError::Lagging(nodes) => writeln!(formatter, "not yet in force at {nodes}"),
        }
    }
}

impl std::error::Error for OperatorError {}

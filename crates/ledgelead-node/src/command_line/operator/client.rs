//! HTTP client of the administration interface.

use super::{CREDENTIAL_VARIABLE, OperatorError};
use ledgelead_query::Findings;
use serde_json::{Value, json};
use std::io::{ErrorKind, IsTerminal, Read};
use std::time::Duration;

/// Longest wait for a response. It exceeds the time that a node takes for a command and
/// the wait that follows it.
const ANSWER_TIME: Duration = Duration::from_secs(40);
/// Environment variable that disables colour, see <https://no-color.org>.
const NO_COLOUR_VARIABLE: &str = "NO_COLOR";

/// The format of a query's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseFormat {
    /// Aligned tables.
    Text,
    /// JSON.
    Json,
}

/// A client of one node.
pub(super) struct Client {
    agent: ureq::Agent,
    address: String,
    credential: Option<String>,
}

/// A response as received.
struct Answer {
    status: u16,
    body: String,
}

/// Why there is no response.
struct PostFailure {
    message: String,
    /// Whether the node may have received the request.
    was_sent: bool,
}

impl Client {
    pub(super) fn new(address: &str, credential: Option<String>) -> Client {
        let agent = ureq::Agent::config_builder()
            .proxy(None)
            .http_status_as_error(false)
            .timeout_global(Some(ANSWER_TIME))
            .build()
            .new_agent();
        Client {
            agent,
            address: address.to_owned(),
            credential,
        }
    }

    /// Runs a query; the response is to be printed unchanged.
    pub(super) fn query(
        &self,
        text: &str,
        format: ResponseFormat,
    ) -> Result<String, OperatorError> {
        let accept = match format {
            ResponseFormat::Text => "text/plain",
            ResponseFormat::Json => "application/json",
        };
        let answer = self.post("/v1/query", accept, &json!({"text": text}));
        let answer = answer.map_err(|failure| OperatorError::Failed(failure.message))?;
        match answer.status {
            200 => Ok(answer.body),
            _ => Err(answer.refusal(text, "")),
        }
    }

    /// Runs a command.
    pub(super) fn command(
        &self,
        text: &str,
        id: &str,
        if_version: Option<u64>,
        wait: bool,
    ) -> Result<Value, OperatorError> {
        let body = json!({"text": text, "id": id, "if_version": if_version, "wait": wait});
        let answer = self.post("/v1/command", "application/json", &body);
        let answer = answer.map_err(|failure| match failure.was_sent {
            true => OperatorError::Unknown {
                message: failure.message,
                id: id.to_owned(),
            },
            false => OperatorError::Failed(failure.message),
        })?;
        if answer.status != 200 {
            return Err(answer.refusal(text, id));
        }
        serde_json::from_str(&answer.body)
            .map_err(|error| OperatorError::failed(format!("{}: {error}", self.address)))
    }

    fn post(&self, path: &str, accept: &str, body: &Value) -> Result<Answer, PostFailure> {
        let mut request = self
            .agent
            .post(format!("http://{}{path}", self.address))
            .header("Content-Type", "application/json")
            .header("Accept", accept);
        if let Some(credential) = &self.credential {
            request = request.header("Authorization", format!("Bearer {credential}"));
        }
        let mut response = request
            .send(body.to_string())
            .map_err(|error| self.failed(error))?;
        let mut answer = Answer {
            status: response.status().as_u16(),
            body: String::new(),
        };
        response
            .body_mut()
            .as_reader()
            .read_to_string(&mut answer.body)
            .map_err(|error| self.failed(ureq::Error::Io(error)))?;
        Ok(answer)
    }

    fn failed(&self, error: ureq::Error) -> PostFailure {
        let was_sent = !matches!(&error, ureq::Error::Io(source)
            if source.kind() == ErrorKind::ConnectionRefused);
        PostFailure {
            message: format!("{}: {error}", self.address),
            was_sent,
        }
    }
}

impl Answer {
    fn refusal(&self, text: &str, id: &str) -> OperatorError {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        let error = &body["error"];
        let message = error["message"].as_str().unwrap_or(&self.body).to_owned();
        match self.status {
            422 => OperatorError::InvalidStatement(rendered(error, text).unwrap_or(message)),
            401 => {
                let message =
                    format!("{message}\nthe credential is read from {CREDENTIAL_VARIABLE}");
                OperatorError::Forbidden(message)
            }
            403 => OperatorError::Forbidden(message),
            409 => OperatorError::Refused(message),
            503 => OperatorError::Unavailable(message),
            504 => OperatorError::Unknown {
                message,
                id: id.to_owned(),
            },
            status => OperatorError::Failed(format!("{status}: {message}")),
        }
    }
}

/// The errors rendered below the statement's text, in colour on a terminal.
fn rendered(error: &Value, text: &str) -> Option<String> {
    let colour = std::io::stderr().is_terminal() && std::env::var_os(NO_COLOUR_VARIABLE).is_none();
    let findings: Findings = serde_json::from_value(error["findings"].clone()).ok()?;
    Some(findings.render(text, colour))
}

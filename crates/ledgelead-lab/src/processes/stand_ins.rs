//! A process with the simulated platform and back ends.

use super::ProcessError;
use super::options::StandInOptions;
use crate::demo::demonstration;
use crate::demo::deployment::{Deployment, DeploymentShape};
use serde::Serialize;
use std::io::Write;

/// The same back ends as in the demonstration, without nodes.
const SHAPE: DeploymentShape = DeploymentShape {
    nodes: 0,
    killable: false,
    ..demonstration::SHAPE
};

/// Addresses printed for the process that started this one.
#[derive(Serialize)]
struct Listening {
    platform: String,
    servers: Vec<String>,
}

/// Starts the simulated services, prints their addresses as a line of JSON, and serves until
/// the time is over or the process is killed.
pub(super) fn run(options: &StandInOptions) -> Result<(), ProcessError> {
    let deployment = Deployment::start(&SHAPE)?;
    let servers = deployment.servers.iter();
    let listening = Listening {
        platform: deployment.platform.address().to_string(),
        servers: servers.map(|server| server.address().to_string()).collect(),
    };
    let line = serde_json::to_string(&listening).map_err(std::io::Error::other)?;
    let mut output = std::io::stdout().lock();
    writeln!(output, "{line}")?;
    output.flush()?;
    std::thread::sleep(options.duration.to_std());
    Ok(())
}

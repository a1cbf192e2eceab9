//! Changes of the configuration and their checks, and what reads and writes
//! the platform's store: [`ConfigurationManager`] for the configuration,
//! [`GroupManager`] for the groups' records. Options and arithmetic are in
//! `docs/design/configuration.md`.

mod changes;
mod check;
mod configuration_manager;
mod finding;
mod group_manager;
mod json;
mod placement;
mod readers;
mod swap;

pub use changes::apply_changes;
pub use check::check;
pub use configuration_manager::{
    ConfigurationManager, ConfigurationManagerInput, ConfigurationManagerOutput,
    ConfigurationManagerSettings,
};
pub use finding::{Field, Finding, Location, Problem};
pub use group_manager::{
    GroupManager, GroupManagerInput, GroupManagerOutput, GroupManagerSettings,
};
pub use json::{decode_configuration, encode_configuration};
pub use placement::choose_voters;
pub use readers::is_reader;

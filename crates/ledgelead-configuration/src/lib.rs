//! Applies and checks changes of the configuration, and reads and writes the platform's store:
//! [`ConfigurationManager`] handles the configuration, [`GroupManager`] the groups' records.
//! See `docs/design/configuration.md` for alternatives and calculations.

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

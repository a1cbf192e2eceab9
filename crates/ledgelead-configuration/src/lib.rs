//! Changes of the configuration and their checks, and what reads and writes
//! the platform's store: [`ConfigurationKeeper`] for the configuration,
//! [`GroupFormer`] for the groups' records. Options and arithmetic are in
//! `docs/design/configuration.md`.

mod changes;
mod check;
mod finding;
mod group_manager;
mod json;
mod configuration_manager;
mod placement;
mod readers;
mod swap;

pub use changes::apply_changes;
pub use check::check;
pub use finding::{Field, Finding, Place, Problem};
pub use group_manager::{FormerInput, FormerOutput, FormerSettings, GroupFormer};
pub use json::{decode_configuration, encode_configuration};
pub use configuration_manager::{ConfigurationKeeper, KeeperInput, KeeperOutput, KeeperSettings};
pub use placement::choose_voters;
pub use readers::is_reader;

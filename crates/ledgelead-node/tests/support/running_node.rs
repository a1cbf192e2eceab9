//! A complete node on any free ports, whose platform is unreachable.

use ledgelead_node::settings::Overrides;
use ledgelead_node::{Node, RunningNode, Settings};

/// Settings of the node.
pub const SETTINGS: &str = r#"
[node]
id = 1
zone = 2
[listen]
callers = "127.0.0.1:0"
administration = "127.0.0.1:0"
peers = "127.0.0.1:0"
[cluster]
key = "a key for tests only"
[platform]
address = "127.0.0.1:1"
"#;

/// Starts a node with these settings.
pub fn start_with(text: &str) -> RunningNode {
    let settings = Settings::parse("node.toml", text, &Overrides::default());
    Node::start(settings.expect("the settings are right")).expect("the node starts")
}

/// Starts a node with [`SETTINGS`].
pub fn start() -> RunningNode {
    start_with(SETTINGS)
}

//! Names of services, instances and nodes.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

macro_rules! text_identity {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The text.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// A hash that all nodes agree on.
            pub fn stable_hash(&self) -> u64 {
                xxhash_rust::xxh3::xxh3_64(self.0.as_bytes())
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

text_identity!(
    /// The name of a service.
    ServiceName
);
text_identity!(
    /// The name of one life of an instance; a restart has another.
    InstanceId
);
text_identity!(
    /// The name of a zone.
    ZoneName
);
text_identity!(
    /// The name of a node, the same over restarts.
    NodeName
);

/// One life of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// The node.
    pub node: NodeName,
    /// Drawn at random at each start.
    pub incarnation: u64,
}

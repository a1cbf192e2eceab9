//! Names of services, instances and nodes.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
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

            /// A hash that is identical on all nodes.
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
    /// The name of a zone.
    ZoneName
);
text_identity!(
    /// The name of a node, which stays the same when the node restarts.
    NodeName
);

/// Separates the name and the start time in the text of an id.
const START_MARK: char = '#';

/// Identifies one incarnation of an instance; a restart creates another.
///
/// An instance may restart under the same name. If it announces its start time, that
/// distinguishes its incarnations. Otherwise only the name does.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct InstanceId {
    /// The name, followed by the separator and the start time if known.
    text: Arc<str>,
    /// Length of the name within the text, in bytes.
    name_len: usize,
    born: Option<u64>,
}

impl InstanceId {
    /// The incarnation of an instance that was started at `born`, in Unix milliseconds.
    pub fn with_start_time(name: &str, born: u64) -> InstanceId {
        InstanceId {
            text: Arc::from(format!("{name}{START_MARK}{born}")),
            name_len: name.len(),
            born: Some(born),
        }
    }

    /// Parses the text of an id.
    pub fn parse(text: &str) -> InstanceId {
        let Some((name, born)) = split_start(text) else {
            return InstanceId::from(text);
        };
        InstanceId {
            text: Arc::from(text),
            name_len: name.len(),
            born,
        }
    }

    /// The instance's own name, which all of its incarnations share.
    pub fn name(&self) -> &str {
        &self.text[..self.name_len]
    }

    /// When this incarnation was started, in Unix milliseconds by the clock of its machine.
    pub fn start_ms(&self) -> Option<u64> {
        self.born
    }

    /// The text of the id, for `parse`.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Whether both are the same instance, in any incarnation.
    pub fn shares_name(&self, other: &InstanceId) -> bool {
        self.name() == other.name()
    }

    /// A hash of the id that is identical on all nodes.
    pub fn stable_hash(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64(self.text.as_bytes())
    }
}

/// The name and the start time in the text of an id, if it is more than a plain name.
fn split_start(text: &str) -> Option<(&str, Option<u64>)> {
    let unmarked = text.trim_end_matches(START_MARK);
    let (name, start) = unmarked.rsplit_once(START_MARK)?;
    let born: u64 = start.parse().ok()?;
    // Each id has exactly one text: no leading zeros, and a second separator only after a name
    // that looks like an id with a start time.
    if born.to_string() != start {
        return None;
    }
    match text.strip_suffix(START_MARK) {
        Some(name) => Some((name, None)),
        None => Some((name, Some(born))),
    }
}

impl From<&str> for InstanceId {
    /// An instance without a known start time. Takes the name of an instance; the text of an
    /// id is read by `parse`.
    fn from(name: &str) -> Self {
        // A name that looks like an id with a start time gets a separator at its end.
        let text = match split_start(name) {
            None => Arc::from(name),
            Some(_) => Arc::from(format!("{name}{START_MARK}")),
        };
        InstanceId {
            text,
            name_len: name.len(),
            born: None,
        }
    }
}

impl From<String> for InstanceId {
    /// For serde: takes the text of an id, like `parse`.
    fn from(text: String) -> Self {
        InstanceId::parse(&text)
    }
}

impl From<InstanceId> for String {
    fn from(id: InstanceId) -> Self {
        id.as_str().to_owned()
    }
}

impl PartialEq for InstanceId {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl Eq for InstanceId {}

impl PartialOrd for InstanceId {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for InstanceId {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.name(), self.born).cmp(&(other.name(), other.born))
    }
}

impl Hash for InstanceId {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.text.hash(state);
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.text)
    }
}

/// One incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// The node.
    pub node: NodeName,
    /// A random number that is drawn at each start.
    pub incarnation: u64,
}

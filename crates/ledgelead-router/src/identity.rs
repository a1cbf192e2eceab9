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
    /// The name of a zone.
    ZoneName
);
text_identity!(
    /// The name of a node, the same over restarts.
    NodeName
);

/// Stands between the name and the start of a life in its text.
const START_MARK: char = '#';

/// The name of one life of an instance; a restart has another.
///
/// An instance may start again under the name that it had; where it tells when it
/// was started, that tells its lives apart. Otherwise its name alone does.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct InstanceId {
    /// The name, then the start behind a mark where it is known.
    text: Arc<str>,
    /// Bytes of the text that are the name.
    name_len: usize,
    born: Option<u64>,
}

impl InstanceId {
    /// The life that an instance began at `born`, in Unix milliseconds.
    pub fn with_start_time(name: &str, born: u64) -> InstanceId {
        InstanceId {
            text: Arc::from(format!("{name}{START_MARK}{born}")),
            name_len: name.len(),
            born: Some(born),
        }
    }

    /// The life whose text this is.
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

    /// What the instance calls itself, the same over its lives.
    pub fn name(&self) -> &str {
        &self.text[..self.name_len]
    }

    /// When this life began, in Unix milliseconds by the clock of its machine.
    pub fn start_ms(&self) -> Option<u64> {
        self.born
    }

    /// The text of the whole life, which `parse` reads.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Whether both are lives of one instance, or the same life.
    pub fn shares_name(&self, other: &InstanceId) -> bool {
        self.name() == other.name()
    }

    /// A hash of the life that all nodes agree on.
    pub fn stable_hash(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64(self.text.as_bytes())
    }
}

/// The name and the start in the text of an id that has more than the name.
fn split_start(text: &str) -> Option<(&str, Option<u64>)> {
    let unmarked = text.trim_end_matches(START_MARK);
    let (name, start) = unmarked.rsplit_once(START_MARK)?;
    let born: u64 = start.parse().ok()?;
    // One text for each id: no leading zeros, and a second mark only behind a name that
    // reads like a life.
    if born.to_string() != start {
        return None;
    }
    match text.strip_suffix(START_MARK) {
        Some(name) => Some((name, None)),
        None => Some((name, Some(born))),
    }
}

impl From<&str> for InstanceId {
    /// An instance that doesn't tell when it was started. Takes a name, not a text of an id:
    /// those are read by `parse`.
    fn from(name: &str) -> Self {
        // A name that reads like a life ends with a mark of its own.
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
    /// For serde: takes a text, as `parse` does.
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

/// One life of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// The node.
    pub node: NodeName,
    /// Drawn at random at each start.
    pub incarnation: u64,
}

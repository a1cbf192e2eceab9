//! Revisions of a store that may come back from a copy.
//!
//! Such a store gives its revisions out again, and raises its era. What it says is only
//! comparable within an era. So a node numbers all that it takes from the store by both: the
//! era stands in the high bits, and each revision of an era is above all of earlier ones.

use crate::dialect::{Object, ObjectEvent, StoreAnswer, StoreCall};

/// Bits of a revision that hold the store's own number.
const REVISION_BITS: u32 = 40;
/// Largest era that leaves revisions within those that are exact as numbers of JSON.
pub const MAX_ERA: u64 = (1 << 13) - 1;

/// The era of a revision, an epoch or a fencing token.
pub fn era_of(number: u64) -> u64 {
    number >> REVISION_BITS
}

/// A number above all revisions, epochs and fencing tokens of earlier eras.
pub fn first_in_era(era: u64) -> u64 {
    era << REVISION_BITS
}

/// The store's own number of a revision.
fn own_number(revision: u64) -> u64 {
    revision & (first_in_era(1) - 1)
}

/// A call as the store understands it.
pub fn with_store_revisions(call: &StoreCall) -> StoreCall {
    let mut call = call.clone();
    match &mut call {
        StoreCall::Watch { revision, .. } => *revision = own_number(*revision),
        StoreCall::Replace {
            revision: Some(revision),
            ..
        } => *revision = own_number(*revision),
        StoreCall::List { .. } | StoreCall::Create { .. } | StoreCall::Replace { .. } => {}
    }
    call
}

/// An answer of the store in an era; a finding where its numbers are out of bounds.
pub fn with_era(era: u64, answer: StoreAnswer) -> Result<StoreAnswer, String> {
    let number = |revision: u64| match era_of(revision) {
        0 if era <= MAX_ERA => Ok(first_in_era(era) | revision),
        _ => Err(format!("revision {revision} in era {era}")),
    };
    // An object out of bounds spoils itself alone.
    let numbered = |object: Object| match number(object.revision) {
        Ok(revision) => Object { revision, ..object },
        Err(finding) => Object {
            revision: first_in_era(era.min(MAX_ERA)),
            content: Err(finding),
            ..object
        },
    };
    Ok(match answer {
        StoreAnswer::Objects {
            objects,
            more,
            revision,
        } => StoreAnswer::Objects {
            objects: objects.into_iter().map(numbered).collect(),
            more,
            revision: number(revision)?,
        },
        StoreAnswer::Events { events, revision } => StoreAnswer::Events {
            events: events
                .into_iter()
                .map(|event| ObjectEvent {
                    object: numbered(event.object),
                    ..event
                })
                .collect(),
            revision: number(revision)?,
        },
        StoreAnswer::Written(object) => {
            number(object.revision)?;
            StoreAnswer::Written(numbered(object))
        }
        other => other,
    })
}

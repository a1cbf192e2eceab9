//! Revisions of a store that can be restored from a backup.
//!
//! After a restore the store assigns the same revisions again and increases its era, so
//! revisions are comparable only within an era. A node therefore combines both in one number:
//! the era is stored in the high bits, and every revision of an era is above all revisions of
//! earlier ones.

use crate::dialect::{Object, ObjectEvent, StoreAnswer, StoreCall};

/// Number of low bits that hold the store's own revision.
const REVISION_BITS: u32 = 40;
/// Largest era whose revisions are still exact as JSON numbers.
pub const MAX_ERA: u64 = (1 << 13) - 1;

/// The era of a revision, an epoch or a fencing token.
pub fn era_of(number: u64) -> u64 {
    number >> REVISION_BITS
}

/// A number above all revisions, epochs and fencing tokens of earlier eras.
pub fn first_in_era(era: u64) -> u64 {
    era << REVISION_BITS
}

/// The store's own part of a revision.
fn store_revision(revision: u64) -> u64 {
    revision & (first_in_era(1) - 1)
}

/// Converts the revisions of a call to the store's own.
pub fn with_store_revisions(call: &StoreCall) -> StoreCall {
    let mut call = call.clone();
    match &mut call {
        StoreCall::Watch { revision, .. } => *revision = store_revision(*revision),
        StoreCall::Replace {
            revision: Some(revision),
            ..
        } => *revision = store_revision(*revision),
        StoreCall::List { .. } | StoreCall::Create { .. } | StoreCall::Replace { .. } => {}
    }
    call
}

/// Adds the era to the revisions of an answer; an error if one is out of bounds.
pub fn with_era(era: u64, answer: StoreAnswer) -> Result<StoreAnswer, String> {
    let number = |revision: u64| match era_of(revision) {
        0 if era <= MAX_ERA => Ok(first_in_era(era) | revision),
        _ => Err(format!("revision {revision} in era {era} is out of bounds")),
    };
    // An object with an invalid revision is marked unreadable; the other objects are kept.
    let with_era_revision = |object: Object| match number(object.revision) {
        Ok(revision) => Object { revision, ..object },
        Err(error) => Object {
            revision: first_in_era(era.min(MAX_ERA)),
            content: Err(error),
            ..object
        },
    };
    Ok(match answer {
        StoreAnswer::Objects {
            objects,
            more,
            revision,
        } => StoreAnswer::Objects {
            objects: objects.into_iter().map(with_era_revision).collect(),
            more,
            revision: number(revision)?,
        },
        StoreAnswer::Events { events, revision } => StoreAnswer::Events {
            events: events
                .into_iter()
                .map(|event| ObjectEvent {
                    object: with_era_revision(event.object),
                    ..event
                })
                .collect(),
            revision: number(revision)?,
        },
        StoreAnswer::Written(object) => {
            number(object.revision)?;
            StoreAnswer::Written(with_era_revision(object))
        }
        other => other,
    })
}

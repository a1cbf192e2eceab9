//! Differences between two versions of an item's bytes, independent of their meaning, so
//! that routes, configuration and records share the code.

use ledgelead_types::codec::{decode, encode};
use ledgelead_types::{Bytes, List};
use nanoserde::{DeBin, SerBin};
use std::collections::HashMap;

/// Minimum number of matching bytes for a part of the base to be reused. It is below the
/// size of one slice in a group's routes and above the length that different slices have in
/// common.
const BLOCK_BYTES: usize = 32;
/// Maximum size of the result of a patch.
const MAX_RESULT_BYTES: usize = 4 * 1_024 * 1_024;

/// A step in building the new bytes.
#[derive(Clone, Debug, PartialEq, SerBin, DeBin)]
enum Step {
    /// Copies a part of the base.
    Copy { offset: u32, length: u32 },
    /// Inserts bytes that the base lacks.
    Insert(Bytes),
}

/// A patch from `base` to `new`; `None` unless it is smaller than half of `new`.
pub(super) fn difference(base: &[u8], new: &[u8]) -> Option<Bytes> {
    if base.len().max(new.len()) > MAX_RESULT_BYTES {
        return None;
    }
    let patch = encode(&List(steps(base, new)));
    (patch.len() * 2 < new.len()).then_some(Bytes(patch))
}

fn steps(base: &[u8], new: &[u8]) -> Vec<Step> {
    let blocks = blocks_of(base);
    let mut steps = Vec::new();
    let mut inserted = 0;
    let mut position = 0;
    while position < new.len() {
        let found = find(base, &blocks, new, position);
        let Some((offset, length)) = found else {
            position += 1;
            continue;
        };
        push_insert(&mut steps, &new[inserted..position]);
        steps.push(Step::Copy {
            offset: offset as u32,
            length: length as u32,
        });
        position += length;
        inserted = position;
    }
    push_insert(&mut steps, &new[inserted..]);
    steps
}

fn push_insert(steps: &mut Vec<Step>, bytes: &[u8]) {
    if !bytes.is_empty() {
        steps.push(Step::Insert(Bytes(bytes.to_vec())));
    }
}

/// Start of each block of the base; the first one of equal blocks.
fn blocks_of(base: &[u8]) -> HashMap<&[u8], usize> {
    let mut blocks = HashMap::new();
    for (index, block) in base.chunks_exact(BLOCK_BYTES).enumerate() {
        blocks.entry(block).or_insert(index * BLOCK_BYTES);
    }
    blocks
}

/// The part of the base that matches `new` from `position` on.
fn find(
    base: &[u8],
    blocks: &HashMap<&[u8], usize>,
    new: &[u8],
    position: usize,
) -> Option<(usize, usize)> {
    let wanted = new.get(position..position + BLOCK_BYTES)?;
    let offset = *blocks.get(wanted)?;
    let pairs = base[offset..].iter().zip(&new[position..]);
    let length = pairs.take_while(|(old, new)| old == new).count();
    Some((offset, length))
}

/// Applies a patch to its base; `None` if it does not fit.
pub(super) fn apply(base: &[u8], patch: &Bytes) -> Option<Vec<u8>> {
    let steps = decode::<List<Step>>(&patch.0).ok()?;
    let mut result = Vec::new();
    for step in steps {
        match step {
            Step::Copy { offset, length } => {
                let start = offset as usize;
                let end = start.checked_add(length as usize)?;
                result.extend_from_slice(base.get(start..end)?);
            }
            Step::Insert(bytes) => result.extend_from_slice(&bytes.0),
        }
        if result.len() > MAX_RESULT_BYTES {
            return None;
        }
    }
    Some(result)
}

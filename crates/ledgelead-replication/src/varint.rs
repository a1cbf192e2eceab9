//! Variable-length integers (LEB128). Small numbers take one byte, which keeps heartbeats
//! small.

use ledgelead_types::{Epoch, Revision, Span, Term, Time};
use nanoserde::{DeBin, DeBinErr, SerBin};

/// Bits of the number that one byte carries.
const BITS_PER_BYTE: u32 = 7;
/// Set in every byte but the last.
const CONTINUES: u8 = 0x80;

/// The wire form of an integer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Varint(u64);

impl SerBin for Varint {
    fn ser_bin(&self, output: &mut Vec<u8>) {
        let mut rest = self.0;
        while rest >= u64::from(CONTINUES) {
            output.push(rest as u8 | CONTINUES);
            rest >>= BITS_PER_BYTE;
        }
        output.push(rest as u8);
    }
}

impl DeBin for Varint {
    fn de_bin(offset: &mut usize, bytes: &[u8]) -> Result<Self, DeBinErr> {
        let start = *offset;
        let mut value = 0_u64;
        for shift in (0..u64::BITS).step_by(BITS_PER_BYTE as usize) {
            let byte = u8::de_bin(offset, bytes)?;
            let part = u64::from(byte & !CONTINUES);
            let shifted = part << shift;
            if shifted >> shift != part {
                return Err(DeBinErr::new(start, 0, 0));
            }
            value |= shifted;
            if byte & CONTINUES == 0 {
                return Ok(Varint(value));
            }
        }
        Err(DeBinErr::new(start, 0, 0))
    }
}

macro_rules! wire_form {
    ($($name:ident),*) => {
        $(
            impl From<&$name> for Varint {
                fn from(value: &$name) -> Varint {
                    Varint(value.0)
                }
            }

            impl From<&Varint> for $name {
                fn from(value: &Varint) -> $name {
                    $name(value.0)
                }
            }
        )*
    };
}

wire_form!(Epoch, Revision, Span, Term, Time);

//! Ids in log lines.

use std::fmt;

/// Displays ids in hexadecimal, separated by commas, or a dash if there are none.
pub(crate) struct HexList<'a>(pub &'a [u64]);

impl fmt::Display for HexList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, id) in self.0.iter().enumerate() {
            let separator = if index > 0 { "," } else { "" };
            write!(f, "{separator}{id:x}")?;
        }
        if self.0.is_empty() { f.write_str("-") } else { Ok(()) }
    }
}

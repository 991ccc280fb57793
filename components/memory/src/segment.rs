//! Parts of a body in memory.

use std::io;

use bytes::Bytes;
use memmap2::MmapMut;

/// Smallest segment that is a memory map of its own. The system has its memory back as soon as
/// it is dropped, while freed memory of the heap may stay with the process.
const MAP_MIN_BYTES: usize = 64 << 10;

/// Part of a body that is being filled.
#[derive(Debug)]
pub enum SegmentBuffer {
    /// On the heap.
    Heap(Vec<u8>),
    /// A memory map, and how much of it is filled.
    Map(MmapMut, usize),
}

impl Default for SegmentBuffer {
    fn default() -> Self {
        Self::Heap(Vec::new())
    }
}

impl SegmentBuffer {
    /// Allocates room for `bytes`.
    ///
    /// # Errors
    /// The operating system's error if it has no memory for a map.
    pub fn new(bytes: usize) -> io::Result<Self> {
        if bytes < MAP_MIN_BYTES {
            return Ok(Self::Heap(Vec::with_capacity(bytes)));
        }
        Ok(Self::Map(MmapMut::map_anon(bytes)?, 0))
    }

    /// Copies as much of `data` as there is room for; returns the rest.
    pub fn append<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        match self {
            Self::Heap(bytes) => {
                let room = bytes.capacity() - bytes.len();
                let (fitting, rest) = data.split_at(data.len().min(room));
                bytes.extend_from_slice(fitting);
                rest
            }
            Self::Map(map, filled) => {
                let room = map.len() - *filled;
                let (fitting, rest) = data.split_at(data.len().min(room));
                map[*filled..*filled + fitting.len()].copy_from_slice(fitting);
                *filled += fitting.len();
                rest
            }
        }
    }

    /// Returns what was filled, without copying it.
    #[must_use]
    pub fn finish(self) -> Bytes {
        match self {
            Self::Heap(bytes) => bytes.into(),
            Self::Map(map, filled) => Bytes::from_owner(map).slice(..filled),
        }
    }
}

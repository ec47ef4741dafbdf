use bytes::Bytes;

/// Body of a request, in segments, so that a large one is neither moved nor copied as it grows.
#[derive(Clone, Debug, Default)]
pub struct RequestBody {
    /// The whole body, or its first segment.
    first: Bytes,
    /// Empty for small bodies.
    rest: Vec<Bytes>,
    /// Sum of the segments' lengths.
    len: usize,
}

impl RequestBody {
    pub(crate) fn new(segments: Vec<Bytes>) -> Self {
        let len = segments.iter().map(Bytes::len).sum();
        let mut segments = segments.into_iter();
        Self { first: segments.next().unwrap_or_default(), rest: segments.collect(), len }
    }

    /// Returns the length of the body in bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the segments in order. None of them is empty unless the body is.
    pub fn segments(&self) -> impl Iterator<Item = &Bytes> {
        std::iter::once(&self.first).chain(&self.rest)
    }

    /// Returns the segment with this number; `None` past the last one.
    pub fn segment(&self, number: usize) -> Option<&Bytes> {
        number.checked_sub(1).map_or(Some(&self.first), |index| self.rest.get(index))
    }
}

impl From<Bytes> for RequestBody {
    fn from(body: Bytes) -> Self {
        Self { len: body.len(), first: body, rest: Vec::new() }
    }
}

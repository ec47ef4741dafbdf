use crate::HardState;

/// Starts every frame, so that a search for valid frames after corruption has to check only few
/// offsets.
const MAGIC: [u8; 4] = *b"gwj1";
/// Bytes of the magic, the body length and the checksum.
const HEADER_LEN: usize = 12;
/// Bytes of the kind and the index, which precede the payload in the body.
const BODY_PREFIX_LEN: usize = 9;

const KIND_ENTRY: u8 = 1;
const KIND_TRUNCATE: u8 = 2;
const KIND_HARD_STATE: u8 = 3;
const KIND_SNAPSHOT: u8 = 4;

/// Maximum payload of a frame in bytes.
pub(crate) const MAX_PAYLOAD_LEN: usize = u32::MAX as usize - BODY_PREFIX_LEN;

/// One frame of a segment or snapshot file.
///
/// The checksum covers the file number and the frame's offset, so that a frame copied to another
/// location, or into a payload, is not valid there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Frame<'a> {
    Entry { index: u64, payload: &'a [u8] },
    Truncate { from: u64 },
    HardState(HardState),
    Snapshot { index: u64, payload: &'a [u8] },
}

impl<'a> Frame<'a> {
    /// Appends the encoded frame to `out`. It must be written to file number `file` at `offset`.
    pub(crate) fn encode(&self, file: u64, offset: u64, out: &mut Vec<u8>) {
        let vote_bytes;
        let (kind, index, payload) = match *self {
            Frame::Entry { index, payload } => (KIND_ENTRY, index, payload),
            Frame::Truncate { from } => (KIND_TRUNCATE, from, &[][..]),
            Frame::HardState(HardState { term, vote: None }) => (KIND_HARD_STATE, term, &[][..]),
            Frame::HardState(HardState { term, vote: Some(vote) }) => {
                vote_bytes = vote.to_le_bytes();
                (KIND_HARD_STATE, term, &vote_bytes[..])
            }
            Frame::Snapshot { index, payload } => (KIND_SNAPSHOT, index, payload),
        };
        let start = out.len();
        let body_len = (BODY_PREFIX_LEN + payload.len()) as u32;
        out.extend_from_slice(&MAGIC);
        out.extend_from_slice(&body_len.to_le_bytes());
        out.extend_from_slice(&[0; 4]);
        out.push(kind);
        out.extend_from_slice(&index.to_le_bytes());
        out.extend_from_slice(payload);
        let sum = checksum(file, offset, &[&out[start + HEADER_LEN..]]);
        out[start + 8..start + HEADER_LEN].copy_from_slice(&sum.to_le_bytes());
    }

    /// Encodes what precedes `payload` in the frame of a snapshot, which is written to file number
    /// `file` at offset 0. A large payload is written from where it is, without a copy.
    pub(crate) fn snapshot_prefix(index: u64, payload: &[u8], file: u64) -> Vec<u8> {
        let mut prefix = Vec::with_capacity(HEADER_LEN + BODY_PREFIX_LEN);
        Frame::Snapshot { index, payload: &[] }.encode(file, 0, &mut prefix);
        let body_len = (BODY_PREFIX_LEN + payload.len()) as u32;
        let sum = checksum(file, 0, &[&prefix[HEADER_LEN..], payload]);
        prefix[4..8].copy_from_slice(&body_len.to_le_bytes());
        prefix[8..HEADER_LEN].copy_from_slice(&sum.to_le_bytes());
        prefix
    }

    /// Decodes the frame at `offset` of `bytes` and returns it with the offset of its end.
    pub(crate) fn decode(
        bytes: &'a [u8],
        offset: usize,
        file: u64,
    ) -> Result<(Self, usize), &'static str> {
        let rest = &bytes[offset..];
        let header = rest.get(..HEADER_LEN).ok_or("incomplete header")?;
        if header[..4] != MAGIC {
            return Err("record magic is missing");
        }
        let body_len = read_u32(&header[4..8]) as usize;
        let end = HEADER_LEN.saturating_add(body_len);
        let body = rest.get(HEADER_LEN..end).ok_or("incomplete record")?;
        if checksum(file, offset as u64, &[body]) != read_u32(&header[8..12]) {
            return Err("checksum does not match");
        }
        Ok((Self::decode_body(body)?, offset + end))
    }

    fn decode_body(body: &'a [u8]) -> Result<Self, &'static str> {
        let (prefix, payload) =
            body.split_at_checked(BODY_PREFIX_LEN).ok_or("record is too short")?;
        let index = u64::from_le_bytes(prefix[1..].try_into().map_err(|_| "record is too short")?);
        match (prefix[0], payload) {
            (KIND_ENTRY, payload) => Ok(Frame::Entry { index, payload }),
            (KIND_TRUNCATE, []) => Ok(Frame::Truncate { from: index }),
            (KIND_HARD_STATE, []) => Ok(Frame::HardState(HardState { term: index, vote: None })),
            (KIND_HARD_STATE, &[low, high]) => {
                let vote = Some(u16::from_le_bytes([low, high]));
                Ok(Frame::HardState(HardState { term: index, vote }))
            }
            (KIND_SNAPSHOT, payload) => Ok(Frame::Snapshot { index, payload }),
            _ => Err("unknown record kind"),
        }
    }

    /// Returns whether a valid frame starts at any position at or after `offset`.
    pub(crate) fn any_valid_after(bytes: &[u8], offset: usize, file: u64) -> bool {
        (offset..bytes.len().saturating_sub(HEADER_LEN))
            .filter(|&position| bytes[position..].starts_with(&MAGIC))
            .any(|position| Frame::decode(bytes, position, file).is_ok())
    }
}

fn checksum(file: u64, offset: u64, body: &[&[u8]]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&file.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    body.iter().for_each(|part| hasher.update(part));
    hasher.finalize()
}

fn read_u32(bytes: &[u8]) -> u32 {
    bytes.try_into().map_or(0, u32::from_le_bytes)
}

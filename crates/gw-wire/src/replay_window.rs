use gw_types::BootId;

use crate::FrameError;

const WORD_BITS: u64 = u64::BITS as u64;

/// Sliding window that records which sequences of one sender were accepted (RFC 4303, section
/// 3.4.3).
#[derive(Clone, Debug)]
pub struct ReplayWindow {
    boot: BootId,
    /// Largest accepted sequence.
    highest_sequence: u64,
    /// Bit `sequence % bits` is set if `sequence` is in the window and was accepted.
    words: Box<[u64]>,
    /// Whether any frame was accepted yet.
    has_accepted: bool,
}

impl ReplayWindow {
    /// Creates a window of `bits` sequences, rounded up to a multiple of 64 and at least 64.
    pub fn new(bits: usize) -> Self {
        let words = bits.div_ceil(WORD_BITS as usize).max(1);
        let words = vec![0; words].into_boxed_slice();
        Self { boot: BootId(0), highest_sequence: 0, words, has_accepted: false }
    }

    /// Accepts each sequence of a boot id once. A higher boot id resets the window, a lower one is
    /// rejected.
    pub fn accept(&mut self, boot: BootId, sequence: u64) -> Result<(), FrameError> {
        if !self.has_accepted || boot > self.boot {
            self.restart(boot, sequence);
            return Ok(());
        }
        if boot < self.boot {
            return Err(FrameError::OldBoot);
        }
        if sequence > self.highest_sequence {
            self.advance(sequence);
            return Ok(());
        }
        if self.highest_sequence - sequence >= self.bits() {
            return Err(FrameError::TooOld { sequence });
        }
        if self.is_set(sequence) {
            return Err(FrameError::Replayed { sequence });
        }
        self.set(sequence);
        Ok(())
    }

    fn bits(&self) -> u64 {
        self.words.len() as u64 * WORD_BITS
    }

    fn restart(&mut self, boot: BootId, sequence: u64) {
        self.words.fill(0);
        self.boot = boot;
        self.highest_sequence = sequence;
        self.has_accepted = true;
        self.set(sequence);
    }

    fn advance(&mut self, sequence: u64) {
        if sequence - self.highest_sequence >= self.bits() {
            self.words.fill(0);
        } else {
            for passed in self.highest_sequence + 1..sequence {
                self.clear(passed);
            }
        }
        self.highest_sequence = sequence;
        self.set(sequence);
    }

    fn position(&self, sequence: u64) -> (usize, u64) {
        let bit = sequence % self.bits();
        ((bit / WORD_BITS) as usize, 1 << (bit % WORD_BITS))
    }

    fn is_set(&self, sequence: u64) -> bool {
        let (word, mask) = self.position(sequence);
        self.words[word] & mask != 0
    }

    fn set(&mut self, sequence: u64) {
        let (word, mask) = self.position(sequence);
        self.words[word] |= mask;
    }

    fn clear(&mut self, sequence: u64) {
        let (word, mask) = self.position(sequence);
        self.words[word] &= !mask;
    }
}

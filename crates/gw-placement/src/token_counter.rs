use gw_types::FencingToken;
use gw_types::TermNumber;
use gw_types::ZoneTable;

/// Source of the fencing tokens of a zone leader. The tokens of each slot and key only increase.
#[derive(Clone, Debug)]
pub struct TokenCounter {
    zone_term: TermNumber,
    /// At least the counter value of every token that the adopted table contains or that this
    /// counter issued, for tokens of this term or a later one.
    counter: u32,
}

impl TokenCounter {
    /// Creates the counter of the leader that adopted `table` under `zone_term`.
    ///
    /// The counter starts at 0 unless the table has tokens of a delegation term that is above
    /// `zone_term`: an earlier leader may have issued tokens of that term.
    pub fn new(zone_term: TermNumber, table: &ZoneTable) -> Self {
        let ranges = table.services.iter().flat_map(|service| &service.ranges);
        let overrides = table.services.iter().flat_map(|service| &service.overrides);
        let tokens = ranges.map(|range| range.token).chain(overrides.map(|key| key.token));
        let issued = tokens.filter(|token| token.term() >= zone_term);
        Self { zone_term, counter: issued.map(FencingToken::counter).max().unwrap_or(0) }
    }

    /// Returns the next token for slots that were delegated in `delegation_term` and have the token
    /// `previous`.
    ///
    /// # Panics
    ///
    /// Panics after 2^32 tokens in one term. At 1% of the slots of one service per minute this
    /// takes 49 years.
    pub fn next(&mut self, delegation_term: TermNumber, previous: FencingToken) -> FencingToken {
        let term = self.zone_term.max(delegation_term).max(previous.term());
        self.counter = self.counter.checked_add(1).expect("fewer than 2^32 grants in one term");
        FencingToken::new(term, self.counter)
    }
}

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryClass {
    /// Heads that are not complete, and requests that are read ahead.
    Head,
    /// Bodies that arrive, by what they may become.
    ArrivingBody,
    /// Bodies of requests that wait or run.
    Request,
    /// Responses that are complete and not sent.
    Response,
}

impl MemoryClass {
    /// All classes, in the order of their numbers.
    pub const ALL: [Self; 4] = [Self::Head, Self::ArrivingBody, Self::Request, Self::Response];

    /// Returns the name of the class in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::ArrivingBody => "arriving_body",
            Self::Request => "request",
            Self::Response => "response",
        }
    }
}

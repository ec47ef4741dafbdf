use std::process::ExitCode;

/// Exit status of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// 0: success; for `profile apply`, the change is accepted and in force everywhere.
    Success,
    /// 1: another failure.
    Failed,
    /// 2: invalid arguments or settings.
    Usage,
    /// 3: the change is accepted, but not confirmed by every host in time.
    Unconfirmed,
    /// 4: the change is refused, because of a conflict or an invalid profile.
    Refused,
    /// 5: it is not known whether the change was accepted.
    Unknown,
}

impl ExitStatus {
    /// Returns the exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Unconfirmed => 3,
            Self::Refused => 4,
            Self::Unknown => 5,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status.code())
    }
}

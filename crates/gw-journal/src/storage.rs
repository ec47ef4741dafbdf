use std::io;

/// Access to the files of one data folder. Names are plain file names without a path.
///
/// File content is durable only after [`Storage::sync`]. Created, renamed and removed names are
/// durable only after [`Storage::sync_folder`].
pub trait Storage: Send {
    /// Locks the folder for this process until the storage is dropped.
    ///
    /// Fails with [`io::ErrorKind::WouldBlock`] if another process holds the lock.
    fn lock(&mut self) -> io::Result<()>;
    /// Returns the names of all files, in any order.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// Reads the whole content of a file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends `bytes` to a file, which is created if it does not exist.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Makes created, renamed and removed file names durable.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Renames a file. Replaces an existing file named `to`.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file; fails if it does not exist.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

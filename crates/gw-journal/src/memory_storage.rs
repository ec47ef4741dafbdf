use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::Storage;

/// In-memory [`Storage`] with fault injection, for tests. Clones share one disk.
///
/// A crash loses unsynced data. After a failed sync, the unsynced bytes stay readable but never
/// become durable, as on an operating system that drops pages that it could not write.
#[derive(Default)]
pub struct MemoryStorage {
    disk: Arc<Mutex<Disk>>,
    /// Notified when syncs no longer hang.
    resumed: Arc<Condvar>,
    /// Number of crashes of the disk when this handle locked it, if it did.
    locked_at: Option<u64>,
}

/// Effect of a crash on unsynced data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMode {
    /// All unsynced data is lost.
    LoseUnsynced,
    /// Only the first bytes of each file's unsynced tail remain. Unsynced names are lost.
    TearLastWrite {
        /// Number of unsynced bytes that remain.
        keep: usize,
    },
    /// All data remains, unsynced names included, except for bytes whose sync failed.
    KeepAll,
}

/// Methods of [`Storage`] that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// [`Storage::lock`].
    Lock,
    /// [`Storage::list`].
    List,
    /// [`Storage::read`].
    Read,
    /// [`Storage::append`].
    Append,
    /// [`Storage::sync`].
    Sync,
    /// [`Storage::sync_folder`].
    SyncFolder,
    /// [`Storage::rename`].
    Rename,
    /// [`Storage::remove`].
    Remove,
}

#[derive(Default)]
struct Disk {
    files: BTreeMap<u64, FileContent>,
    next_file: u64,
    names: BTreeMap<String, u64>,
    durable_names: BTreeMap<String, u64>,
    locked: bool,
    crashes: u64,
    calls: u64,
    /// Number of the call that fails, and its error.
    fail_at: Option<(u64, io::ErrorKind)>,
    /// Kind of call whose next occurrence fails, and its error.
    fail_kind: Option<(CallKind, io::ErrorKind)>,
    hangs: bool,
}

#[derive(Default)]
struct FileContent {
    bytes: Vec<u8>,
    durable_len: usize,
    /// Set once a sync has failed: later syncs succeed without effect.
    sync_failed: bool,
}

impl MemoryStorage {
    /// Creates a storage with an empty disk.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of [`Storage`] calls so far, on all handles.
    pub fn calls(&self) -> u64 {
        self.disk().calls
    }

    /// Makes one call fail with `error`, after `after` further calls.
    pub fn fail_call(&self, after: u64, error: io::ErrorKind) {
        let mut disk = self.disk();
        disk.fail_at = Some((disk.calls + after, error));
    }

    /// Makes the next call of `kind` fail with `error`.
    pub fn fail_next(&self, kind: CallKind, error: io::ErrorKind) {
        self.disk().fail_kind = Some((kind, error));
    }

    /// Makes all syncs of files wait, or go on. Only for callers on other threads.
    pub fn hang(&self, hangs: bool) {
        self.disk().hangs = hangs;
        self.resumed.notify_all();
    }

    /// Simulates a crash of the host. Releases the lock, clears injected faults and loses unsynced
    /// data as `mode` specifies.
    pub fn crash(&self, mode: CrashMode) {
        let mut disk = self.disk();
        disk.crashes += 1;
        disk.locked = false;
        disk.fail_at = None;
        disk.fail_kind = None;
        if mode == CrashMode::KeepAll {
            disk.keep_all();
        }
        disk.names = disk.durable_names.clone();
        for file in disk.files.values_mut() {
            let keep = match mode {
                CrashMode::TearLastWrite { keep } => file.durable_len + keep,
                _ => file.durable_len,
            };
            file.bytes.truncate(keep);
            file.durable_len = file.bytes.len();
            file.sync_failed = false;
        }
    }

    /// Returns the names and lengths of all files, sorted by name.
    pub fn files(&self) -> Vec<(String, usize)> {
        let disk = self.disk();
        disk.names.iter().map(|(name, id)| (name.clone(), disk.files[id].bytes.len())).collect()
    }

    /// Inverts one byte of a file. A second call with the same arguments restores it.
    pub fn corrupt(&self, name: &str, offset: usize) {
        let mut disk = self.disk();
        if let Some(file) = disk.file_mut(name)
            && let Some(byte) = file.bytes.get_mut(offset)
        {
            *byte = !*byte;
        }
    }

    /// Removes a file durably.
    pub fn delete(&self, name: &str) {
        let mut disk = self.disk();
        disk.names.remove(name);
        disk.durable_names.remove(name);
    }

    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.disk.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clone for MemoryStorage {
    /// Creates another handle on the same disk. It does not hold the lock.
    fn clone(&self) -> Self {
        let (disk, resumed) = (Arc::clone(&self.disk), Arc::clone(&self.resumed));
        Self { disk, resumed, locked_at: None }
    }
}

impl Drop for MemoryStorage {
    fn drop(&mut self) {
        let mut disk = self.disk.lock().unwrap_or_else(PoisonError::into_inner);
        if self.locked_at == Some(disk.crashes) {
            disk.locked = false;
        }
    }
}

impl Disk {
    fn begin_call(&mut self, kind: CallKind) -> io::Result<()> {
        let call = self.calls;
        self.calls += 1;
        let by_number = self.fail_at.take_if(|(at, _)| *at == call);
        let by_kind = self.fail_kind.take_if(|(failing, _)| *failing == kind);
        let error = by_number.map(|(_, error)| error).or(by_kind.map(|(_, error)| error));
        error.map_or(Ok(()), |error| Err(error.into()))
    }

    fn file_mut(&mut self, name: &str) -> Option<&mut FileContent> {
        self.files.get_mut(self.names.get(name)?)
    }

    fn existing_file(&mut self, name: &str) -> io::Result<&mut FileContent> {
        self.file_mut(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn file_or_create(&mut self, name: &str) -> &mut FileContent {
        let id = *self.names.entry(name.to_owned()).or_insert_with(|| {
            self.next_file += 1;
            self.next_file
        });
        self.files.entry(id).or_default()
    }

    fn keep_all(&mut self) {
        self.durable_names = self.names.clone();
        for file in self.files.values_mut().filter(|file| !file.sync_failed) {
            file.durable_len = file.bytes.len();
        }
    }

    fn drop_unnamed_files(&mut self) {
        let (names, durable) = (&self.names, &self.durable_names);
        self.files.retain(|id, _| names.values().chain(durable.values()).any(|named| named == id));
    }
}

impl Storage for MemoryStorage {
    fn lock(&mut self) -> io::Result<()> {
        let mut disk = self.disk.lock().unwrap_or_else(PoisonError::into_inner);
        disk.begin_call(CallKind::Lock)?;
        if disk.locked {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        disk.locked = true;
        self.locked_at = Some(disk.crashes);
        Ok(())
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut disk = self.disk();
        disk.begin_call(CallKind::List)?;
        Ok(disk.names.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let mut disk = self.disk();
        disk.begin_call(CallKind::Read)?;
        Ok(disk.existing_file(name)?.bytes.clone())
    }

    /// If the call is made to fail, writes the first half of `bytes`.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.disk();
        let result = disk.begin_call(CallKind::Append);
        let written = if result.is_ok() { bytes } else { &bytes[..bytes.len() / 2] };
        disk.file_or_create(name).bytes.extend_from_slice(written);
        result
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let disk = self.resumed.wait_while(self.disk(), |disk| disk.hangs);
        let mut disk = disk.unwrap_or_else(PoisonError::into_inner);
        let result = disk.begin_call(CallKind::Sync);
        let file = disk.existing_file(name)?;
        file.sync_failed |= result.is_err();
        if !file.sync_failed {
            file.durable_len = file.bytes.len();
        }
        result
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut disk = self.disk();
        disk.begin_call(CallKind::SyncFolder)?;
        disk.durable_names = disk.names.clone();
        disk.drop_unnamed_files();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.begin_call(CallKind::Rename)?;
        let id = disk.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        disk.names.insert(to.to_owned(), id);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.begin_call(CallKind::Remove)?;
        disk.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(())
    }
}

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use crate::Storage;

/// File that exists in every folder and is locked by the process that uses the folder.
const LOCK_FILE_NAME: &str = "lock";

/// Implements [`Storage`] in a folder of the file system.
pub struct FileStorage {
    folder: PathBuf,
    /// Lock file; locked until the storage is dropped.
    lock: Option<File>,
    /// Name and handle of the file last appended to. The handle stays open so that its sync reports
    /// errors of earlier writes.
    current: Option<(String, File)>,
}

impl FileStorage {
    /// Creates a storage in `folder`, and the folder itself if it does not exist.
    pub fn new(folder: impl Into<PathBuf>) -> io::Result<Self> {
        let folder = folder.into();
        if !folder.exists() {
            fs::create_dir_all(&folder)?;
            sync_path(folder.parent().unwrap_or(Path::new("/")))?;
        }
        Ok(Self { folder, lock: None, current: None })
    }

    fn open_for_append(&mut self, name: &str) -> io::Result<&mut File> {
        let current = match self.current.take() {
            Some(current) if current.0 == name => current,
            _ => {
                let path = self.folder.join(name);
                (name.to_owned(), OpenOptions::new().append(true).create(true).open(path)?)
            }
        };
        Ok(&mut self.current.insert(current).1)
    }

    fn close_if_current(&mut self, name: &str) {
        self.current.take_if(|current| current.0 == name);
    }
}

impl Storage for FileStorage {
    fn lock(&mut self) -> io::Result<()> {
        let path = self.folder.join(LOCK_FILE_NAME);
        let file = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
        file.try_lock()?;
        self.lock = Some(file);
        Ok(())
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE_NAME {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open_for_append(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_for_append(name)?.sync_data()
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        sync_path(&self.folder)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close_if_current(from);
        self.close_if_current(to);
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.close_if_current(name);
        fs::remove_file(self.folder.join(name))
    }
}

fn sync_path(path: &Path) -> io::Result<()> {
    let path = if path.as_os_str().is_empty() { Path::new(".") } else { path };
    File::open(path)?.sync_all()
}

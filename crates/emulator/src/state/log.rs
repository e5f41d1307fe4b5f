//! The state service's log on disk, kept in an embedded database. Every change is
//! committed to it in one database transaction before the change is answered, so that a
//! kill at any moment leaves either all of a transaction or nothing.

use super::machine::{Change, Entry, Limits, Store};
use finchquay_protocol::{decode, encode};
use redb::backends::FileBackend;
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io;
use std::path::Path;
use std::time::Duration;
use thiserror::Error;

/// Maps each key to its version, its lease (0: none) and its value in CBOR.
const KEYS: TableDefinition<&str, (u64, u64, &[u8])> = TableDefinition::new("keys");
/// Maps each lease to its time to live in milliseconds.
const LEASES: TableDefinition<u64, u64> = TableDefinition::new("leases");
/// Holds two numbers: the revision, as `ledger`, and the next lease id, as `next_lease`.
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");

/// Why the log could not be opened, read or written.
#[derive(Debug, Error)]
pub enum LogError {
    /// The embedded database failed.
    #[error("the state service's log: {0}")]
    Log(Box<redb::Error>),
    /// The value under this key cannot be decoded.
    #[error("the state service's log: the value under {0:?} is not valid CBOR")]
    Corrupt(String),
}

impl<E: Into<redb::Error>> From<E> for LogError {
    fn from(e: E) -> LogError {
        LogError::Log(Box::new(e.into()))
    }
}

/// One write to the log: the effects of several transactions together.
#[derive(Debug, Default)]
pub struct Batch {
    /// Changes to write, oldest first.
    pub changes: Vec<Change>,
    /// Changes of a lost tail, newest first; each key is set back to its value before.
    pub rolled_back: Vec<Change>,
    /// Leases that were granted, with their time to live, or that ended (`None`).
    pub leases: Vec<(u64, Option<Duration>)>,
    /// Revision of the store after the batch.
    pub revision: u64,
    /// Id of the next lease to grant.
    pub next_lease: u64,
}

/// A file whose writes are handed to the operating system but not synced to disk: they
/// survive a kill of this process, but not a crash of the machine.
#[derive(Debug)]
struct UnsyncedFile(FileBackend);

impl StorageBackend for UnsyncedFile {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(offset, data)
    }

    fn close(&self) -> io::Result<()> {
        self.0.close()
    }
}

/// The log: an open database file.
pub struct Log {
    db: Database,
}

impl Log {
    /// Opens or creates the log. Without `fsync` a write survives a kill of the service,
    /// but not a crash of the machine.
    ///
    /// # Errors
    /// The file cannot be opened or is not such a database.
    pub fn open(path: &Path, fsync: bool) -> Result<Log, LogError> {
        let db = if fsync {
            Database::create(path)?
        } else {
            let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
            let file = file.map_err(redb::Error::Io)?;
            Database::builder().create_with_backend(UnsyncedFile(FileBackend::new(file)?))?
        };
        let txn = db.begin_write()?;
        txn.open_table(KEYS)?;
        txn.open_table(LEASES)?;
        txn.open_table(META)?;
        txn.commit()?;
        Ok(Log { db })
    }

    /// Reads the store as it was after the last batch; every lease has its full time again.
    ///
    /// # Errors
    /// The database cannot be read, or holds a value that is not CBOR.
    pub fn load(&self, limits: Limits, now: Duration) -> Result<Store, LogError> {
        let txn = self.db.begin_read()?;
        let mut keys = BTreeMap::new();
        for row in txn.open_table(KEYS)?.iter()? {
            let (key, value) = row?;
            let (version, lease, bytes) = value.value();
            let data = decode(bytes).map_err(|_| LogError::Corrupt(key.value().into()))?;
            keys.insert(key.value().to_string(), Entry { data, version, lease: (lease > 0).then_some(lease) });
        }
        let mut ttls = BTreeMap::new();
        for row in txn.open_table(LEASES)?.iter()? {
            let (id, ttl) = row?;
            ttls.insert(id.value(), Duration::from_millis(ttl.value()));
        }
        let meta = txn.open_table(META)?;
        let number = |name| Ok::<_, LogError>(meta.get(name)?.map(|v| v.value()));
        let (revision, next_lease) = (number("ledger")?.unwrap_or(0), number("next_lease")?.unwrap_or(1));
        Ok(Store::restore(limits, keys, revision, ttls, next_lease, now))
    }

    /// Commits a batch in one database transaction.
    ///
    /// # Errors
    /// The database cannot be written.
    pub fn write(&self, batch: &Batch) -> Result<(), LogError> {
        let txn = self.db.begin_write()?;
        {
            let mut keys = txn.open_table(KEYS)?;
            let after = batch.changes.iter().map(|c| (&c.key, &c.after));
            let rolled_back = batch.rolled_back.iter().map(|c| (&c.key, &c.before));
            for (key, entry) in after.chain(rolled_back) {
                match entry {
                    Some(e) => {
                        let bytes = encode(&e.data);
                        keys.insert(key.as_str(), (e.version, e.lease.unwrap_or(0), bytes.as_slice()))?;
                    }
                    None => {
                        keys.remove(key.as_str())?;
                    }
                }
            }
            let mut leases = txn.open_table(LEASES)?;
            for (id, ttl) in &batch.leases {
                match ttl {
                    Some(ttl) => leases.insert(id, ttl.as_millis() as u64)?,
                    None => leases.remove(id)?,
                };
            }
            let mut meta = txn.open_table(META)?;
            meta.insert("ledger", batch.revision)?;
            meta.insert("next_lease", batch.next_lease)?;
        }
        txn.commit()?;
        Ok(())
    }
}

#[cfg(test)]
mod tests;

//! The state service on disk: an embedded store that gets every change in one
//! transaction of its own before the change is answered, so that a kill at any
//! moment leaves all of a transaction or nothing.

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

/// Key to version, lease (0: none) and value in CBOR.
const KEYS: TableDefinition<&str, (u64, u64, &[u8])> = TableDefinition::new("keys");
/// Lease to its time in milliseconds.
const LEASES: TableDefinition<u64, u64> = TableDefinition::new("leases");
/// `ledger` and `next_lease`.
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");

#[derive(Debug, Error)]
pub enum LogError {
    #[error("the state service's log: {0}")]
    Log(Box<redb::Error>),
    #[error("the state service's log holds a value that is not CBOR under {0:?}")]
    Spoilt(String),
}

impl<E: Into<redb::Error>> From<E> for LogError {
    fn from(e: E) -> LogError {
        LogError::Log(Box::new(e.into()))
    }
}

/// What one write to the log carries: some transactions together.
#[derive(Debug, Default)]
pub struct Batch {
    pub changes: Vec<Change>,
    /// Keys as they are after a lost tail.
    pub undone: Vec<Change>,
    pub leases: Vec<(u64, Option<Duration>)>,
    pub ledger: u64,
    pub next_lease: u64,
}

/// A file whose writes are handed to the system and not forced to disk: they
/// survive a kill of this process, not one of the machine.
#[derive(Debug)]
struct Unforced(FileBackend);

impl StorageBackend for Unforced {
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

pub struct Log {
    db: Database,
}

impl Log {
    /// Opens or creates the log. Without `fsync` a write survives the
    /// service's own kill, not one of the machine.
    pub fn open(path: &Path, fsync: bool) -> Result<Log, LogError> {
        let db = if fsync {
            Database::create(path)?
        } else {
            let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
            let file = file.map_err(redb::Error::Io)?;
            Database::builder().create_with_backend(Unforced(FileBackend::new(file)?))?
        };
        let txn = db.begin_write()?;
        txn.open_table(KEYS)?;
        txn.open_table(LEASES)?;
        txn.open_table(META)?;
        txn.commit()?;
        Ok(Log { db })
    }

    pub fn load(&self, limits: Limits, now: Duration) -> Result<Store, LogError> {
        let txn = self.db.begin_read()?;
        let mut keys = BTreeMap::new();
        for row in txn.open_table(KEYS)?.iter()? {
            let (key, value) = row?;
            let (version, lease, bytes) = value.value();
            let data = decode(bytes).map_err(|_| LogError::Spoilt(key.value().into()))?;
            keys.insert(key.value().to_string(), Entry { data, version, lease: (lease > 0).then_some(lease) });
        }
        let mut ttls = BTreeMap::new();
        for row in txn.open_table(LEASES)?.iter()? {
            let (id, ttl) = row?;
            ttls.insert(id.value(), Duration::from_millis(ttl.value()));
        }
        let meta = txn.open_table(META)?;
        let number = |name| Ok::<_, LogError>(meta.get(name)?.map(|v| v.value()));
        let (ledger, next) = (number("ledger")?.unwrap_or(0), number("next_lease")?.unwrap_or(1));
        Ok(Store::restored(limits, keys, ledger, ttls, next, now))
    }

    pub fn write(&self, batch: &Batch) -> Result<(), LogError> {
        let txn = self.db.begin_write()?;
        {
            let mut keys = txn.open_table(KEYS)?;
            let after = batch.changes.iter().map(|c| (&c.key, &c.after));
            let undone = batch.undone.iter().map(|c| (&c.key, &c.before));
            for (key, entry) in after.chain(undone) {
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
                    Some(t) => leases.insert(id, t.as_millis() as u64)?,
                    None => leases.remove(id)?,
                };
            }
            let mut meta = txn.open_table(META)?;
            meta.insert("ledger", batch.ledger)?;
            meta.insert("next_lease", batch.next_lease)?;
        }
        txn.commit()?;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ciborium::Value;
    use finchquay_protocol::store::{Op, Txn};

    fn limits() -> Limits {
        Limits { rps: 1e6, write_rps: 1e6, value_kb: 8.0, txn_ops: 32 }
    }

    fn batch(st: &mut Store) -> Batch {
        Batch {
            changes: st.take_fresh(),
            ledger: st.ledger(),
            next_lease: st.next_lease(),
            leases: st.leases().map(|(id, t)| (id, Some(t))).collect(),
            ..Batch::default()
        }
    }

    /// What was answered is there after a kill; what was not written in whole is not there in part.
    #[test]
    fn a_reopened_log_has_every_written_change_and_no_other() {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("state.redb");
        let now = Duration::ZERO;
        let put = |k: &str, lease| Op::Put { key: k.into(), data: Value::Text(k.into()), lease };
        {
            let log = Log::open(&path, false).unwrap();
            let mut st = log.load(limits(), now).unwrap();
            let id = st.grant(now, 5000).unwrap();
            st.transact(now, &Txn { conditions: vec![], ops: vec![put("a", Some(id)), put("b", None)] });
            log.write(&batch(&mut st)).unwrap();
            st.transact(now, &Txn { conditions: vec![], ops: vec![put("c", None), Op::Delete { key: "b".into() }] });
            // Killed before this one was written: the process ends here.
        }
        let log = Log::open(&path, false).unwrap();
        let mut st = log.load(limits(), now).unwrap();
        assert_eq!((st.ledger(), st.len(), st.next_lease()), (1, 2, 2));
        assert!(st.get("c").is_none() && st.get("b").is_some());
        assert_eq!(st.changes("", 0), None, "watches from before get 410");
        assert_eq!(st.changes("", 1), Some(vec![]));
        assert_eq!(st.expire(Duration::from_secs(5)), [1]);
        assert!(st.get("a").is_none());
    }
}

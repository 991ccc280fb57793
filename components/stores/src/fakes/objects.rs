//! An object store in memory.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

use async_trait::async_trait;
use errors::PlatformError;
use kernel::ClockSource;

use crate::{
    ObjectStore,
    fakes::{FaultInjector, faults::CallKind},
};

/// An object store in memory, with switchable faults.
#[derive(Debug)]
pub struct MemoryObjects {
    switch: FaultInjector,
    objects: Mutex<BTreeMap<String, Vec<u8>>>,
}

impl MemoryObjects {
    /// An empty store.
    #[must_use]
    pub fn new(clock: ClockSource) -> Self {
        Self {
            switch: FaultInjector::new("memory-objects", clock),
            objects: Mutex::default(),
        }
    }

    /// The faults; a held write is lost.
    #[must_use]
    pub fn fault_injector(&self) -> &FaultInjector {
        &self.switch
    }

    fn locked<T>(&self, change: impl FnOnce(&mut BTreeMap<String, Vec<u8>>) -> T) -> T {
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut objects)
    }
}

#[async_trait]
impl ObjectStore for MemoryObjects {
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let effect = |_| Ok(self.locked(|objects| objects.get(key).cloned()));
        self.switch.run("get", CallKind::Read, effect).await
    }

    async fn put(&self, key: &str, body: Vec<u8>) -> Result<(), PlatformError> {
        let effect = |held: bool| {
            if !held {
                self.locked(|objects| objects.insert(key.to_owned(), body));
            }
            Ok(())
        };
        self.switch.run("put", CallKind::Write, effect).await
    }
}

//! In-memory object store.

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

/// In-memory object store with fault injection.
#[derive(Debug)]
pub struct MemoryObjects {
    injector: FaultInjector,
    objects: Mutex<BTreeMap<String, Vec<u8>>>,
}

impl MemoryObjects {
    /// Creates an empty store.
    #[must_use]
    pub fn new(clock: ClockSource) -> Self {
        Self {
            injector: FaultInjector::new("memory-objects", clock),
            objects: Mutex::default(),
        }
    }

    /// Injector that sets the faults and limits of the calls. A held write is lost.
    #[must_use]
    pub fn fault_injector(&self) -> &FaultInjector {
        &self.injector
    }

    fn with_objects<T>(&self, change: impl FnOnce(&mut BTreeMap<String, Vec<u8>>) -> T) -> T {
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut objects)
    }
}

#[async_trait]
impl ObjectStore for MemoryObjects {
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let effect = |_| Ok(self.with_objects(|objects| objects.get(key).cloned()));
        self.injector.run("get", CallKind::Read, effect).await
    }

    async fn put(&self, key: &str, body: Vec<u8>) -> Result<(), PlatformError> {
        let effect = |held: bool| {
            if !held {
                self.with_objects(|objects| objects.insert(key.to_owned(), body));
            }
            Ok(())
        };
        self.injector.run("put", CallKind::Write, effect).await
    }
}

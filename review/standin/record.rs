//! The record of a case: a line for each thing that was sent, answered or run.

use std::{
    fs::File,
    io::{self, Write as _},
    path::Path,
    sync::{Mutex, PoisonError},
    time::Instant,
};

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            started: Instant::now(),
        })
    }

    /// Writes a line with the time since the start, to the record and to the standard output.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.started.elapsed().as_secs_f64());
        print!("{line}");
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _unwritable = file.write_all(line.as_bytes());
    }
}
